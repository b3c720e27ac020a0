//! The steps by which a node comes to lead.
use crate::api::Ms;

/// Standing for election, step by step. The leader key is created under a fresh lease and only
/// if there is none; the stamp it gets is the term.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// Another node leads, or none is known yet.
    Follower,
    /// No leader is known; waits a little so that not all stand at once.
    Waiting { until: Ms },
    /// Has asked for a lease.
    Granting,
    /// Has sent the claim.
    Claiming { lease: u64 },
    /// The claim went unanswered; the next read tells.
    Checking { lease: u64, until: Ms },
    /// The leader key is held under our lease.
    Leading,
}
