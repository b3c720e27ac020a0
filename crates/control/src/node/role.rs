//! The steps by which a node comes to lead.
use crate::api::Millis;

/// Standing for election, step by step. The leader key is created under a fresh lease and only
/// if there is none; the stamp it gets is the term.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// Another node leads, or none is known yet.
    Follower,
    /// No leader is known; waits a little so that not all stand at once.
    ElectionBackoff { until: Millis },
    /// Has asked for a lease.
    AcquiringLease,
    /// Has sent the claim.
    Campaigning { lease: u64 },
    /// The claim went unanswered; the next read tells.
    CampaignUnconfirmed { lease: u64, until: Millis },
    /// The leader key is held under our lease.
    Leader,
}
