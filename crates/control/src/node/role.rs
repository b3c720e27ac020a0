//! The steps by which a node becomes the leader.
use crate::api::Millis;

/// A node's role in the election of the leader.
///
/// A candidate creates the leader key under a fresh lease, on condition that there is none. The
/// revision at which the key was created is the leader's term.
///
/// | role | goes to |
/// | --- | --- |
/// | `Follower` | `ElectionBackoff`, when no leader is known |
/// | `ElectionBackoff` | `AcquiringLease`, when its wait is over; `Follower`, when a leader appears |
/// | `AcquiringLease` | `Campaigning` with the lease; `ElectionBackoff` without |
/// | `Campaigning` | `Leader`, when the key was created; `ElectionBackoff`, when it was not; `CampaignUnconfirmed`, when the outcome is unknown |
/// | `CampaignUnconfirmed` | `Leader`, when the key turns out to be ours; `Follower`, when the lease has run out |
/// | `Leader` | `Follower`, when a higher term is seen, the lease is lost or it resigns |
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// Another node leads, or none is known yet.
    Follower,
    /// No leader is known; waits for a random time so that not all nodes campaign at once.
    ElectionBackoff {
        /// When the wait is over.
        until: Millis,
    },
    /// Has requested a lease.
    AcquiringLease,
    /// Has sent the transaction that creates the leader key.
    Campaigning {
        /// The lease under which the key is created.
        lease: u64,
    },
    /// That transaction had no response; the next read shows its outcome.
    CampaignUnconfirmed {
        /// The lease under which the key may have been created.
        lease: u64,
        /// When the lease has run out, and with it the chance of a late transaction.
        until: Millis,
    },
    /// The leader key is stored under our lease.
    Leader,
}
