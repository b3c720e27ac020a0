//! The record of heartbeats that are relayed through the store.
use serde::{Deserialize, Serialize};
use stonegw_wire::msg::Heartbeat;

/// Workers' heartbeats for the leader, stored by a node that received them and can't reach the
/// leader. One record holds many heartbeats, because a network partition may separate a hundred
/// machines from the leader and the store limits the rate of writes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedHeartbeatsRecord {
    /// Name of the node that relays the heartbeats.
    #[serde(rename = "via")]
    pub relay_node: String,
    /// The heartbeats, one per machine.
    #[serde(rename = "reports")]
    pub heartbeats: Vec<Heartbeat>,
}
