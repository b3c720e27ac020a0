//! The world as a trace's header lines set it up: nodes, teams, limits, machines.
use super::{Sim, CANCEL_MS, GANG_PEER_MS, GANG_WAIT_MS, LEASE_MS, REPORT_MS};
use crate::outside::{Cloud, Limits, Ms};
use std::collections::BTreeMap;
use stonegw_control::settings::{Settings, Team, Tuning};
use stonegw_wire::msg::*;

/// What every machine has.
pub(super) const MACHINE_CPUS: f64 = 4.0;
pub(super) const MACHINE_GB: f64 = 16.0;
/// The usual limits of the state service: bytes of a value, changes in a transaction and a second.
const VALUE_BYTES: usize = 8 * 1024;
const TXN_OPS: usize = 8;
const WRITE_RPS: f64 = 60.0;
const BOOT_MS: Ms = 10_000;
const CAPACITY: usize = 20;

fn team(name: &str, cpus: f64, cpus_max: f64) -> Team {
    Team {
        name: name.into(),
        cpus,
        cpus_max,
        gpus: 0.0,
        gpus_max: 0.0,
    }
}

/// The settings of each of so many nodes.
pub(super) fn settings(nodes: usize) -> Vec<Settings> {
    let names: Vec<String> = (0..nodes).map(|i| format!("node-{i}")).collect();
    names.iter().map(|n| node_settings(n, &names)).collect()
}

fn node_settings(name: &str, names: &[String]) -> Settings {
    Settings {
        node: name.to_owned(),
        zone: "a".into(),
        peers: names.iter().filter(|n| *n != name).cloned().collect(),
        zones: vec!["a".into(), "b".into()],
        teams: vec![team("red", 8.0, 32.0), team("blue", 4.0, 4.0)],
        promises: vec![],
        report_s: REPORT_MS as f64 / 1e3,
        lease_s: LEASE_MS as f64 / 1e3,
        cancel_s: CANCEL_MS as f64 / 1e3,
        gang_wait_s: GANG_WAIT_MS as f64 / 1e3,
        gang_peer_s: GANG_PEER_MS as f64 / 1e3,
        state_rps: 150.0,
        state_write_rps: WRITE_RPS,
        value_bytes: VALUE_BYTES,
        txn_ops: TXN_OPS,
        cloud_rps: 5.0,
        list_lag_s: 4.0,
        max_sockets: 1000,
        tuning: Tuning {
            spare_tasks: 0.0,
            idle_boots: 100.0,
            ..Tuning::default()
        },
    }
}

fn machine_type(name: &str, zone: &str, price: f64) -> MachineType {
    MachineType {
        name: name.into(),
        cpus: MACHINE_CPUS,
        gpus: 0.0,
        memory_gb: MACHINE_GB,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price,
        spot_price: None,
        boot_s: 10.0,
        zones: vec![zone.into()],
    }
}

/// A cloud with one machine type in each zone and no machine yet.
pub(super) fn cloud() -> Cloud {
    Cloud {
        catalog: Catalog {
            types: vec![
                machine_type("small", "a", 1.0),
                machine_type("far", "b", 2.0),
            ],
        },
        next: 0,
        machines: BTreeMap::new(),
        answered: BTreeMap::new(),
        boot_ms: BOOT_MS,
        capacity: CAPACITY,
    }
}

impl Sim {
    /// The limit on changes that nodes are told of; takes effect on nodes that start later.
    pub fn write_rps(&mut self, rps: f64) {
        for s in &mut self.settings {
            s.state_write_rps = rps;
        }
        self.adopt_limits();
    }

    /// The state service's limit on requests; likewise.
    pub fn state_rps(&mut self, rps: f64) {
        for s in &mut self.settings {
            s.state_rps = rps;
        }
    }

    /// A team's guarantee and limit, in CPUs; likewise.
    pub fn team(&mut self, name: &str, cpus: f64, cpus_max: f64) {
        for t in self.settings.iter_mut().flat_map(|s| &mut s.teams) {
            if t.name == name {
                (t.cpus, t.cpus_max) = (cpus, cpus_max);
            }
        }
    }

    /// How large a record may be; likewise.
    pub fn value_bytes(&mut self, bytes: usize) {
        for s in &mut self.settings {
            s.value_bytes = bytes;
        }
        self.adopt_limits();
    }

    /// How many changes a transaction may take; likewise.
    pub fn txn_ops(&mut self, ops: usize) {
        for s in &mut self.settings {
            s.txn_ops = ops;
        }
        self.adopt_limits();
    }

    /// The state service takes what the nodes are told that it does, and no less than usual: nodes
    /// told of less than that are made to write less, or smaller records, than they could.
    pub(super) fn adopt_limits(&mut self) {
        let s = &self.settings[0];
        self.state.limits = Limits {
            value_bytes: s.value_bytes.max(VALUE_BYTES),
            txn_ops: s.txn_ops.max(TXN_OPS),
            write_rps: s.state_write_rps.max(WRITE_RPS),
        };
    }

    /// The cloud also has spot machines of every type, at a third of the price.
    pub fn spot_machines(&mut self) {
        for t in &mut self.cloud.catalog.types {
            t.spot_price = Some(t.price / 3.0);
        }
    }

    /// One more machine that is up at once.
    pub fn add_machine(&mut self, zone: &str) {
        let kind = if zone == "a" { "small" } else { "far" };
        let hire = Hire {
            request: String::new(),
            machine_type: kind.into(),
            zone: zone.into(),
            spot: false,
            count: 1,
        };
        let now = self.now;
        self.cloud.create(now, &hire, 0);
        self.boot();
    }
}
