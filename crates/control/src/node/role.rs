//! The roles of a node in the election of the leader.
use crate::api::Millis;

/// A node's role in the election of the leader.
///
/// A candidate creates the leader key, attached to a new lease, on condition that the key does not
/// exist. The revision at which the key was created is the leader's term.
///
/// - `Follower` becomes `ElectionBackoff` when no leader is known.
/// - `ElectionBackoff` becomes `AcquiringLease` when the backoff is over, or `Follower` when a
///   leader is known.
/// - `AcquiringLease` becomes `Campaigning` when the lease was granted, or `ElectionBackoff` when
///   it was not.
/// - `Campaigning` becomes `Leader` when the key was created, `ElectionBackoff` when it was not,
///   `CampaignUnconfirmed` when the outcome is unknown, or `Follower` when the success response
///   can't be decoded or the replica shows that the key is no longer this node's.
/// - `CampaignUnconfirmed` becomes `Leader` when a read shows that this node created the key, or
///   `Follower` when the lease has expired.
/// - `Leader` becomes `Follower` when a higher term is seen, the lease is lost or the leader
///   resigns.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// Another node leads, or no leader is known yet.
    Follower,
    /// No leader is known. The node waits for a random time, so that not all nodes campaign at
    /// once.
    ElectionBackoff {
        /// The end of the backoff.
        until: Millis,
    },
    /// The node has requested a lease.
    AcquiringLease,
    /// The node has sent the transaction that creates the leader key.
    Campaigning {
        /// The lease to which the key is attached.
        lease: u64,
    },
    /// The transaction that creates the leader key had no response; the next read shows its
    /// outcome.
    CampaignUnconfirmed {
        /// The lease to which the key may be attached.
        lease: u64,
        /// The time at which the lease has expired, so that the transaction can no longer succeed.
        until: Millis,
    },
    /// The leader key is stored, attached to this node's lease.
    Leader,
}
