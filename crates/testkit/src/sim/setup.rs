//! The world as a trace's header lines set it up: nodes, teams, limits, machines.
use super::{
    Simulation, CANCELLATION_DEADLINE_MS, GANG_PEER_TIMEOUT_MS, GANG_WAIT_TIMEOUT_MS,
    HEARTBEAT_INTERVAL_MS, WORKER_LEASE_MS,
};
use crate::stand_ins::{Cloud, Ms, StoreLimits};
use std::collections::BTreeMap;
use stonegw_control::settings::{Settings, Team, Tuning};
use stonegw_wire::msg::*;

/// What every machine has.
pub(super) const MACHINE_CPUS: f64 = 4.0;
pub(super) const MACHINE_MEMORY_GB: f64 = 16.0;
/// The usual limits of the state service: bytes of a value, changes in a transaction and a second.
const MAX_VALUE_BYTES: usize = 8 * 1024;
const MAX_TRANSACTION_WRITES: usize = 8;
const MAX_WRITES_PER_SECOND: f64 = 60.0;
const MACHINE_BOOT_MS: Ms = 10_000;
const CLOUD_CAPACITY: usize = 20;

fn team_settings(name: &str, cpus: f64, cpus_max: f64) -> Team {
    Team {
        name: name.into(),
        quota_cpus: cpus,
        limit_cpus: cpus_max,
        quota_gpus: 0.0,
        limit_gpus: 0.0,
    }
}

/// The settings of each of so many nodes.
pub(super) fn cluster_settings(nodes: usize) -> Vec<Settings> {
    let names: Vec<String> = (0..nodes).map(|i| format!("node-{i}")).collect();
    names.iter().map(|n| node_settings(n, &names)).collect()
}

fn node_settings(name: &str, names: &[String]) -> Settings {
    Settings {
        node_name: name.to_owned(),
        zone: "a".into(),
        peers: names.iter().filter(|n| *n != name).cloned().collect(),
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

fn machine_type(name: &str, zone: &str, price: f64) -> MachineType {
    MachineType {
        name: name.into(),
        cpus: MACHINE_CPUS,
        gpus: 0.0,
        memory_gb: MACHINE_MEMORY_GB,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        hourly_price: price,
        hourly_spot_price: None,
        boot_s: 10.0,
        zones: vec![zone.into()],
    }
}

/// A cloud with one machine type in each zone and no machine yet.
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

impl Simulation {
    /// The limit on changes that nodes are told of; takes effect on nodes that start later.
    pub fn set_write_rate_limit(&mut self, rps: f64) {
        for s in &mut self.settings {
            s.store_writes_per_s = rps;
        }
        self.apply_store_limits();
    }

    /// The state service's limit on requests; likewise.
    pub fn set_request_rate_limit(&mut self, rps: f64) {
        for s in &mut self.settings {
            s.store_requests_per_s = rps;
        }
    }

    /// A team's guarantee and limit, in CPUs; likewise.
    pub fn set_team_quota(&mut self, name: &str, cpus: f64, cpus_max: f64) {
        for t in self.settings.iter_mut().flat_map(|s| &mut s.teams) {
            if t.name == name {
                (t.quota_cpus, t.limit_cpus) = (cpus, cpus_max);
            }
        }
    }

    /// How large a record may be; likewise.
    pub fn set_max_value_bytes(&mut self, bytes: usize) {
        for s in &mut self.settings {
            s.max_value_bytes = bytes;
        }
        self.apply_store_limits();
    }

    /// How many changes a transaction may take; likewise.
    pub fn set_max_transaction_writes(&mut self, ops: usize) {
        for s in &mut self.settings {
            s.max_transaction_writes = ops;
        }
        self.apply_store_limits();
    }

    /// The state service takes what the nodes are told that it does, and no less than usual: nodes
    /// told of less than that are made to write less, or smaller records, than they could.
    pub(super) fn apply_store_limits(&mut self) {
        let s = &self.settings[0];
        self.store.limits = StoreLimits {
            max_value_bytes: s.max_value_bytes.max(MAX_VALUE_BYTES),
            max_transaction_writes: s.max_transaction_writes.max(MAX_TRANSACTION_WRITES),
            max_writes_per_second: s.store_writes_per_s.max(MAX_WRITES_PER_SECOND),
        };
    }

    /// The cloud also has spot machines of every type, at a third of the price.
    pub fn offer_spot_machines(&mut self) {
        for t in &mut self.cloud.catalog.machine_types {
            t.hourly_spot_price = Some(t.hourly_price / 3.0);
        }
    }

    /// One more machine that is up at once.
    pub fn add_machine(&mut self, zone: &str) {
        let kind = if zone == "a" { "small" } else { "far" };
        let hire = ProvisionRequest {
            request_id: String::new(),
            machine_type: kind.into(),
            zone: zone.into(),
            is_spot: false,
            count: 1,
        };
        let now = self.now;
        self.cloud.create_machine(now, &hire, 0);
        self.start_new_workers();
    }
}
