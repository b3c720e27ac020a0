//! The record of the leader.
use serde::{Deserialize, Serialize};

/// Who leads. It is stored under a lease and disappears at the lease's expiry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leader's name.
    pub node: String,
    /// Distinguishes this process from earlier ones of the same name.
    pub nonce: u64,
    /// The store's number of the lease.
    pub lease: u64,
}
