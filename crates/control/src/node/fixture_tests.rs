//! What the tests of the node share.
use super::Node;
use crate::settings::Settings;
use stonegw_wire::msg::Heartbeat;

/// Settings of a platform with one node.
pub(super) fn settings(store_writes_per_s: f64, max_transaction_writes: usize) -> Settings {
    Settings {
        node_name: "node-0".into(),
        zone: "a".into(),
        peers: vec![],
        zones: vec!["a".into()],
        teams: vec![],
        class_slos: vec![],
        heartbeat_interval_s: 4.0,
        worker_lease_s: 24.0,
        cancellation_deadline_s: 54.0,
        gang_start_timeout_s: 35.0,
        gang_loss_detection_s: 8.0,
        store_requests_per_s: 100.0,
        store_writes_per_s,
        max_value_bytes: 8 * 1024,
        max_transaction_writes,
        cloud_requests_per_s: 1.0,
        cloud_listing_lag_s: 1.0,
        max_sockets: 1_000,
        tuning: Default::default(),
    }
}

/// A heartbeat of a worker without tasks.
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

/// A node with a live replica and so many machines that are served without the leader.
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
