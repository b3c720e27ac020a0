//! Up to when a node surely knows every cancellation that any node may have told a user.
//!
//! A lease that is renewed keeps alive what was cancelled meanwhile without our knowledge, so it
//! is renewed only for so long past this time that it still runs out within the limit for
//! cancellations. Two things move it: a read of the state service covers all up to its sending,
//! since nothing is told before it is stored; and during an outage all the other nodes' answers
//! together do, since each tells what it knows before it answers. That a node answers proves
//! nothing of what an earlier life of it told: its answers count only from when a read, or
//! the coverage as it was, has passed the moment at which the new life was first heard.
use crate::api::Ms;

struct Attested {
    life: u64,
    /// What earlier lives told, they told before this.
    from: Ms,
    upto: Ms,
}

pub(super) struct Coverage {
    upto: Option<Ms>,
    peers: Vec<Option<Attested>>,
}

impl Coverage {
    pub fn new(peers: usize) -> Coverage {
        Coverage {
            upto: None,
            peers: (0..peers).map(|_| None).collect(),
        }
    }

    /// `None` until the state service has been read once: our own earlier life may have told.
    pub fn upto(&self, now: Ms) -> Option<Ms> {
        // Where there is no other node, nobody else can have told anything.
        self.upto
            .map(|at| if self.peers.is_empty() { now } else { at })
    }

    /// All changes were read by a request sent at this time.
    pub fn read(&mut self, sent: Ms) {
        self.upto = self.upto.max(Some(sent));
        self.extend();
    }

    /// A node has told all it knows, later than we asked it.
    pub fn attested(&mut self, peer: usize, life: u64, asked: Ms, now: Ms) {
        match &mut self.peers[peer] {
            Some(a) if a.life == life => a.upto = a.upto.max(asked),
            other => {
                *other = Some(Attested {
                    life,
                    from: now,
                    upto: asked,
                });
            }
        }
        self.extend();
    }

    fn extend(&mut self) {
        let Some(upto) = self.upto else { return };
        let after = |a: &Option<Attested>| {
            let a = a.as_ref().filter(|a| a.from <= upto);
            a.map(|a| a.upto)
        };
        let all: Option<Vec<Ms>> = self.peers.iter().map(after).collect();
        if let Some(first) = all.and_then(|all| all.into_iter().min()) {
            self.upto = Some(upto.max(first));
        }
    }
}

#[cfg(test)]
#[path = "coverage_tests.rs"]
mod tests;
