//! Fixtures shared by the tests of the node.
use super::Node;
use crate::records::LeaderRecord;
use crate::settings::Settings;
use crate::test_support::single_node_settings;
use stonegw_wire::msg::Heartbeat;

/// Returns the settings of a deployment with one node.
pub(super) fn settings(store_writes_per_s: f64, max_transaction_writes: usize) -> Settings {
    Settings {
        store_writes_per_s,
        max_transaction_writes,
        ..single_node_settings()
    }
}

/// Returns a heartbeat of a worker without tasks.
pub(super) fn heartbeat(machine: &str) -> Heartbeat {
    Heartbeat {
        machine_id: machine.into(),
        addr: "10.0.0.1:9000".into(),
        machine_type: "small".into(),
        zone: "a".into(),
        is_spot: false,
        incarnation: 1,
        sequence: 1,
        fencing_token: 1,
        eviction_in_s: None,
        tasks: vec![],
    }
}

/// Makes the node's replica hold the leader key of the peer `node-1`.
pub(super) fn follow_leader(node: &mut Node, term: u64) {
    let record = LeaderRecord {
        node: "node-1".into(),
        nonce: 1,
        lease: 1,
    };
    node.replica.record_own_election(record, term);
}

/// Returns a node with a live replica that serves this many machines without the leader.
pub(super) fn node_serving_without_leader(settings: Settings, machines: usize) -> Node {
    let mut node = Node::new(settings, 1);
    node.replica_sync.mark_live();
    for number in 0..machines {
        let machine = format!("host-{number}");
        node.store_relay.record(heartbeat(&machine));
        node.leader_probes.add_served(machine, 0);
    }
    node
}
