//! The cancellation watermark of a node: a point in time such that the node knows every
//! cancellation that any node confirmed to a user before it.
//!
//! Renewing a worker's lease keeps its tasks running, including tasks of jobs whose cancellation
//! this node does not know yet. A lease is therefore renewed only while the watermark is recent
//! enough that the renewed lease expires within the cancellation deadline. Two things advance the
//! watermark:
//!
//! - A read of the store, up to the time at which it was sent, because a cancellation is stored
//!   before it is confirmed.
//! - During an outage of the store, answers to pings from all other nodes together, because each
//!   node sends the cancellations that it knows before its answer.
//!
//! A peer's answer does not cover cancellations that an earlier incarnation of the peer confirmed.
//! The answer counts only once the watermark has reached the time at which the present incarnation
//! first answered.
use crate::api::Millis;

/// The watermark of one incarnation of a peer, from its answers to pings.
struct PeerWatermark {
    incarnation: u64,
    /// Time of the first answer from this incarnation. Earlier incarnations confirmed no
    /// cancellation after it.
    first_answer_at: Millis,
    /// Time before which every cancellation confirmed by this incarnation has been received here.
    watermark: Millis,
}

/// The node's own watermark, and the watermarks of its peers, which advance it.
pub(super) struct CancellationWatermark {
    watermark: Option<Millis>,
    /// Since when this node has known a cancellation that its replica has not read in the store.
    unread_since: Option<Millis>,
    peer_watermarks: Vec<Option<PeerWatermark>>,
}

impl CancellationWatermark {
    /// Creates an unset watermark for a node with this many peers.
    pub(super) fn new(peers: usize) -> CancellationWatermark {
        CancellationWatermark {
            watermark: None,
            unread_since: None,
            peer_watermarks: (0..peers).map(|_| None).collect(),
        }
    }

    /// Returns the watermark, or `None` until the store has been read once: an earlier incarnation
    /// of this node may have confirmed cancellations.
    pub(super) fn watermark(&self, now: Millis) -> Option<Millis> {
        // Without peers, no other node can have confirmed a cancellation.
        let is_only_node = self.peer_watermarks.is_empty();
        self.watermark
            .map(|watermark| if is_only_node { now } else { watermark })
    }

    /// Records whether this node knows a cancellation that its replica has not read in the store.
    pub(super) fn record_unread_cancellation(&mut self, has_unread: bool, now: Millis) {
        match has_unread {
            true => _ = self.unread_since.get_or_insert(now),
            false => self.unread_since = None,
        }
    }

    /// Returns since when this node has known a cancellation that its replica has not read.
    pub(super) fn unread_since(&self) -> Option<Millis> {
        self.unread_since
    }

    /// Records that a read request sent at `sent_at` returned all changes.
    pub(super) fn record_read(&mut self, sent_at: Millis) {
        self.watermark = self.watermark.max(Some(sent_at));
        self.advance();
    }

    /// Records a peer's answer to a ping that this node sent at `ping_sent_at`. The peer has sent
    /// all cancellations that it knows before the answer.
    pub(super) fn record_peer_answer(
        &mut self,
        peer: usize,
        incarnation: u64,
        ping_sent_at: Millis,
        now: Millis,
    ) {
        match &mut self.peer_watermarks[peer] {
            Some(known) if known.incarnation == incarnation => {
                known.watermark = known.watermark.max(ping_sent_at);
            }
            other => {
                *other = Some(PeerWatermark {
                    incarnation,
                    first_answer_at: now,
                    watermark: ping_sent_at,
                });
            }
        }
        self.advance();
    }

    /// Advances the watermark to the lowest of the peers' watermarks if all of them count: the
    /// watermark has reached the time of the first answer from each peer's incarnation.
    fn advance(&mut self) {
        let Some(watermark) = self.watermark else {
            return;
        };
        let lowest_of_peers = self
            .peer_watermarks
            .iter()
            .map(|known| {
                let known = known.as_ref()?;
                (known.first_answer_at <= watermark).then_some(known.watermark)
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
