//! Up to when a node surely knows every cancellation that any node may have told a user.
//!
//! A lease that is renewed keeps alive what was cancelled meanwhile without our knowledge, so it
//! is renewed only for so long past this time that it still runs out within the limit for
//! cancellations. Two things move it: a read of the state service covers all up to its sending,
//! since nothing is told before it is stored; and during an outage all the other nodes' answers
//! together do, since each tells what it knows before it answers. That a node answers proves
//! nothing of what an earlier life of it told: its answers count only from when a read, or
//! the coverage as it was, has passed the moment at which the new life was first heard.
use crate::api::Millis;

struct PeerWatermark {
    incarnation: u64,
    /// What earlier lives told, they told before this.
    first_heard_at: Millis,
    watermark: Millis,
}

pub(super) struct CancellationWatermark {
    watermark: Option<Millis>,
    peer_watermarks: Vec<Option<PeerWatermark>>,
}

impl CancellationWatermark {
    pub fn new(peers: usize) -> CancellationWatermark {
        CancellationWatermark {
            watermark: None,
            peer_watermarks: (0..peers).map(|_| None).collect(),
        }
    }

    /// `None` until the state service has been read once: our own earlier life may have told.
    pub fn watermark(&self, now: Millis) -> Option<Millis> {
        // Where there is no other node, nobody else can have told anything.
        self.watermark.map(|at| {
            if self.peer_watermarks.is_empty() {
                now
            } else {
                at
            }
        })
    }

    /// All changes were read by a request sent at this time.
    pub fn record_read(&mut self, sent: Millis) {
        self.watermark = self.watermark.max(Some(sent));
        self.advance();
    }

    /// A node has told all it knows, later than we asked it.
    pub fn record_peer_answer(&mut self, peer: usize, life: u64, asked: Millis, now: Millis) {
        match &mut self.peer_watermarks[peer] {
            Some(a) if a.incarnation == life => a.watermark = a.watermark.max(asked),
            other => {
                *other = Some(PeerWatermark {
                    incarnation: life,
                    first_heard_at: now,
                    watermark: asked,
                });
            }
        }
        self.advance();
    }

    fn advance(&mut self) {
        let Some(upto) = self.watermark else { return };
        let after = |a: &Option<PeerWatermark>| {
            let a = a.as_ref().filter(|a| a.first_heard_at <= upto);
            a.map(|a| a.watermark)
        };
        let all: Option<Vec<Millis>> = self.peer_watermarks.iter().map(after).collect();
        if let Some(first) = all.and_then(|all| all.into_iter().min()) {
            self.watermark = Some(upto.max(first));
        }
    }
}

#[cfg(test)]
#[path = "cancellation_watermark_tests.rs"]
mod tests;
