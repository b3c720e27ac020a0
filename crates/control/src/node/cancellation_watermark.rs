//! The cancellation watermark: the time up to which a node surely knows every cancellation that any
//! node may have confirmed to a user.
//!
//! Renewing a worker's lease keeps alive what was cancelled without our knowledge, so a lease is
//! renewed only for so long past the watermark that it still runs out within the deadline for
//! cancellations. Two things advance the watermark:
//!
//! - A read of the store, up to the moment at which it was sent, since no cancellation is confirmed
//!   before it is stored.
//! - During an outage of the store, the answers of all other nodes together, since each sends the
//!   cancellations that it knows before it answers.
//!
//! An answer proves nothing of what an earlier incarnation of that node confirmed: it counts only
//! once the watermark has passed the moment at which the present incarnation was first heard.
use crate::api::Millis;

/// What one incarnation of a peer has told us.
struct PeerWatermark {
    incarnation: u64,
    /// Earlier incarnations confirmed what they confirmed before this.
    first_heard_at: Millis,
    /// All that this incarnation confirmed before this has reached us.
    watermark: Millis,
}

/// The node's own watermark, and those of its peers, from which it advances.
pub(super) struct CancellationWatermark {
    watermark: Option<Millis>,
    peer_watermarks: Vec<Option<PeerWatermark>>,
}

impl CancellationWatermark {
    /// Unset, with this many peers that have not been heard.
    pub(super) fn new(peers: usize) -> CancellationWatermark {
        CancellationWatermark {
            watermark: None,
            peer_watermarks: (0..peers).map(|_| None).collect(),
        }
    }

    /// `None` until the store has been read once: our own earlier incarnation may have confirmed
    /// cancellations.
    pub(super) fn watermark(&self, now: Millis) -> Option<Millis> {
        // Without peers nobody else can have confirmed anything.
        let is_only_node = self.peer_watermarks.is_empty();
        self.watermark
            .map(|watermark| if is_only_node { now } else { watermark })
    }

    /// All changes were read by a request sent at this time.
    pub(super) fn record_read(&mut self, sent_at: Millis) {
        self.watermark = self.watermark.max(Some(sent_at));
        self.advance();
    }

    /// A peer has sent all it knows, in answer to a question that we asked at this time.
    pub(super) fn record_peer_answer(
        &mut self,
        peer: usize,
        incarnation: u64,
        asked_at: Millis,
        now: Millis,
    ) {
        match &mut self.peer_watermarks[peer] {
            Some(known) if known.incarnation == incarnation => {
                known.watermark = known.watermark.max(asked_at);
            }
            other => {
                *other = Some(PeerWatermark {
                    incarnation,
                    first_heard_at: now,
                    watermark: asked_at,
                });
            }
        }
        self.advance();
    }

    /// Advances to the lowest of the peers' watermarks, if all of them count.
    fn advance(&mut self) {
        let Some(watermark) = self.watermark else {
            return;
        };
        let lowest_of_peers = self
            .peer_watermarks
            .iter()
            .map(|known| {
                let known = known.as_ref()?;
                (known.first_heard_at <= watermark).then_some(known.watermark)
            })
            .collect::<Option<Vec<Millis>>>()
            .and_then(|watermarks| watermarks.into_iter().min());
        if let Some(lowest) = lowest_of_peers {
            self.watermark = Some(watermark.max(lowest));
        }
    }
}

#[cfg(test)]
#[path = "cancellation_watermark_tests.rs"]
mod tests;
