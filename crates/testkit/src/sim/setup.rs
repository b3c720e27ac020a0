//! The initial state of a simulation: the nodes' settings, the store's limits and an empty cloud.
use crate::stand_ins::{
    Cloud, Ms, StoreLimits, CANCELLATION_DEADLINE_MS, GANG_PEER_TIMEOUT_MS, GANG_WAIT_TIMEOUT_MS,
    HEARTBEAT_INTERVAL_MS, MACHINE_CPUS, MACHINE_MEMORY_GB, WORKER_LEASE_MS,
};
use std::collections::BTreeMap;
use stonegw_control::settings::{Settings, Team, Tuning};
use stonegw_wire::msg::{Catalog, MachineType};

/// The store's default limits: bytes in a value, writes in a transaction, writes per second.
const MAX_VALUE_BYTES: usize = 8 * 1024;
const MAX_TRANSACTION_WRITES: usize = 8;
const MAX_WRITES_PER_SECOND: f64 = 60.0;
const MACHINE_BOOT_MS: Ms = 10_000;
const CLOUD_CAPACITY: usize = 20;

fn team_settings(name: &str, quota_cpus: f64, limit_cpus: f64) -> Team {
    Team {
        name: name.into(),
        quota_cpus,
        limit_cpus,
        quota_gpus: 0.0,
        limit_gpus: 0.0,
    }
}

/// Returns the settings of each node of a cluster with `nodes` nodes.
pub(super) fn cluster_settings(nodes: usize) -> Vec<Settings> {
    let names: Vec<String> = (0..nodes).map(|node| format!("node-{node}")).collect();
    let settings = names.iter().map(|name| node_settings(name, &names));
    settings.collect()
}

fn node_settings(name: &str, names: &[String]) -> Settings {
    Settings {
        node_name: name.to_owned(),
        zone: "a".into(),
        peers: names.iter().filter(|peer| *peer != name).cloned().collect(),
        zones: vec!["a".into(), "b".into()],
        teams: vec![
            team_settings("red", 8.0, 32.0),
            team_settings("blue", 4.0, 4.0),
        ],
        class_slos: vec![],
        heartbeat_interval_s: HEARTBEAT_INTERVAL_MS as f64 / 1e3,
        worker_lease_s: WORKER_LEASE_MS as f64 / 1e3,
        cancellation_deadline_s: CANCELLATION_DEADLINE_MS as f64 / 1e3,
        gang_start_timeout_s: GANG_WAIT_TIMEOUT_MS as f64 / 1e3,
        gang_loss_detection_s: GANG_PEER_TIMEOUT_MS as f64 / 1e3,
        store_requests_per_s: 150.0,
        store_writes_per_s: MAX_WRITES_PER_SECOND,
        max_value_bytes: MAX_VALUE_BYTES,
        max_transaction_writes: MAX_TRANSACTION_WRITES,
        cloud_requests_per_s: 5.0,
        cloud_listing_lag_s: 4.0,
        max_sockets: 1000,
        tuning: Tuning {
            headroom_tasks: 0.0,
            idle_retention_boots: 100.0,
            ..Tuning::default()
        },
    }
}

fn machine_type(name: &str, zone: &str, hourly_price: f64) -> MachineType {
    MachineType {
        name: name.into(),
        cpus: MACHINE_CPUS,
        gpus: 0.0,
        memory_gb: MACHINE_MEMORY_GB,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        hourly_price,
        hourly_spot_price: None,
        boot_s: 10.0,
        zones: vec![zone.into()],
    }
}

/// Returns a cloud with one machine type in each zone and no machines.
pub(super) fn empty_cloud() -> Cloud {
    Cloud {
        catalog: Catalog {
            machine_types: vec![
                machine_type("small", "a", 1.0),
                machine_type("far", "b", 2.0),
            ],
        },
        next_machine_number: 0,
        machines: BTreeMap::new(),
        machines_by_request: BTreeMap::new(),
        boot_ms: MACHINE_BOOT_MS,
        capacity: CLOUD_CAPACITY,
    }
}

/// Returns the limits that the store enforces: those in the nodes' settings, but never below the
/// defaults. Lower limits in the settings thus only make the nodes write less, or smaller records,
/// than the store accepts.
pub(super) fn store_limits(settings: &Settings) -> StoreLimits {
    StoreLimits {
        max_value_bytes: settings.max_value_bytes.max(MAX_VALUE_BYTES),
        max_transaction_writes: settings.max_transaction_writes.max(MAX_TRANSACTION_WRITES),
        max_writes_per_second: settings.store_writes_per_s.max(MAX_WRITES_PER_SECOND),
    }
}
