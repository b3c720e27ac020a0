//! The record of heartbeats that are relayed through the store.
use serde::{Deserialize, Serialize};
use stonegw_wire::msg::Heartbeat;

/// Workers' heartbeats on their way to a leader that the receiving node can't reach. Many in one
/// record, since a network partition may separate a hundred machines from the leader and the store
/// limits the rate of writes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedHeartbeatsRecord {
    /// The node that relays them.
    #[serde(rename = "via")]
    pub relay_node: String,
    /// The heartbeats, one of each machine.
    #[serde(rename = "reports")]
    pub heartbeats: Vec<Heartbeat>,
}
