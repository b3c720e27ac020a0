//! The record of the leader.
use serde::{Deserialize, Serialize};

/// The record of the current leader. It is stored under a lease, and the store deletes it when the
/// lease expires.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The name of the leader's node.
    pub node: String,
    /// A number that distinguishes the leader's process from earlier processes of the same node.
    pub nonce: u64,
    /// The id of the lease in the store.
    pub lease: u64,
}
