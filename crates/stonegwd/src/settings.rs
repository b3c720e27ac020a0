//! Reads and checks the platform's TOML and the operators' HCL.
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use stonegw_constants::{GANG_PEER_S, GANG_WAIT_S, LEAST_GANG_S};
use stonegw_control::settings::{Promise, Promised, Settings, Team, Tuning};

pub struct Loaded {
    pub core: Settings,
    pub client_listen: SocketAddr,
    pub cluster_listen: SocketAddr,
    pub peer_endpoints: Vec<String>,
    pub cloud: String,
    pub state: String,
}

// The platform may add fields at any time; unknown ones are ignored.
#[derive(Deserialize)]
struct Platform {
    node: String,
    #[serde(default)]
    site: String,
    client_listen: String,
    cluster_listen: String,
    #[serde(default)]
    known: Vec<Known>,
    external: External,
    deployment: Deployment,
}

#[derive(Deserialize)]
struct Known {
    node: String,
    endpoint: String,
}

#[derive(Deserialize)]
struct External {
    cloud: String,
    state: String,
}

#[derive(Deserialize)]
struct Deployment {
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    teams: Vec<PlatformTeam>,
    #[serde(default)]
    objectives: Vec<Objective>,
    workers: Workers,
    state: State,
    cloud: Cloud,
    limits: Limits,
}

#[derive(Deserialize)]
struct PlatformTeam {
    name: String,
    cpus: f64,
    cpus_max: f64,
    #[serde(default)]
    gpus: f64,
    #[serde(default)]
    gpus_max: f64,
}

// Kinds that we don't know are none of ours.
#[derive(Deserialize)]
struct Objective {
    kind: String,
    class: Option<String>,
    within_s: Option<f64>,
}

#[derive(Deserialize)]
struct Workers {
    report_s: f64,
    lease_s: f64,
    cancel_s: f64,
    gang_wait_s: Option<f64>,
    gang_peer_s: Option<f64>,
}

#[derive(Deserialize)]
struct State {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: usize,
    next: Option<NextState>,
}

/// Limits that the state service will have from a moment that nobody announces.
#[derive(Deserialize)]
struct NextState {
    rps: Option<f64>,
    write_rps: Option<f64>,
    value_kb: Option<f64>,
    txn_ops: Option<usize>,
}

/// The limits that we keep to, checked.
struct StateLimits {
    rps: f64,
    write_rps: f64,
    value_bytes: usize,
    txn_ops: usize,
}

#[derive(Deserialize)]
struct Cloud {
    rps: f64,
    list_lag_s: f64,
}

#[derive(Deserialize)]
struct Limits {
    max_sockets: f64,
}

// The operators' file is ours: a field we do not know is a mistake.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct Operators {
    spare_tasks: Option<f64>,
    idle_boots: Option<f64>,
    slack_use: Option<f64>,
    inflow_use: Option<f64>,
    leader_ttl_s: Option<f64>,
    mapping_s: Option<f64>,
}

fn one_line(text: impl ToString) -> String {
    let text = text.to_string();
    let parts: Vec<&str> = text
        .lines()
        .map(str::trim)
        .filter(|l| !l.is_empty())
        .collect();
    parts.join(" ")
}

fn address(field: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("{field}: must be an IP address and port, not {text:?}"))
}

fn within(field: &str, value: f64, least: f64, most: f64) -> Result<f64, String> {
    if value.is_finite() && value >= least && value <= most {
        Ok(value)
    } else {
        Err(format!(
            "{field}: must be from {least} to {most}, not {value}"
        ))
    }
}

/// A time of the workers that platforms without gangs do not state.
fn gang_time(name: &str, stated: Option<f64>, default: f64) -> Result<f64, String> {
    match stated {
        Some(seconds) => within(
            &format!("deployment.workers.{name}"),
            seconds,
            LEAST_GANG_S,
            86_400.0,
        ),
        None => {
            log::info!("deployment.workers.{name} is not stated; {default} s is assumed");
            Ok(default)
        }
    }
}

/// A limit and the one that may follow it: the lower of both holds from the start, since the moment
/// of the change is not known.
fn lower<T: PartialOrd + Copy>(
    field: &str,
    now: T,
    next: Option<T>,
    check: impl Fn(&str, T) -> Result<T, String>,
) -> Result<T, String> {
    let now = check(&format!("deployment.state.{field}"), now)?;
    let Some(next) = next else {
        return Ok(now);
    };
    let next = check(&format!("deployment.state.next.{field}"), next)?;
    Ok(if next < now { next } else { now })
}

fn transaction_size(field: &str, writes: usize) -> Result<usize, String> {
    if (1..=10_000).contains(&writes) {
        Ok(writes)
    } else {
        Err(format!("{field}: must be from 1 to 10000"))
    }
}

fn state_limits(state: &State) -> Result<StateLimits, String> {
    let rate = |field: &str, value| within(field, value, 1.0, 1e6);
    let next = state.next.as_ref();
    let next_kb = next.and_then(|n| n.value_kb);
    let value_kb = lower("value_kb", state.value_kb, next_kb, rate)?;
    let next_ops = next.and_then(|n| n.txn_ops);
    let next_writes = next.and_then(|n| n.write_rps);
    Ok(StateLimits {
        rps: lower("rps", state.rps, next.and_then(|n| n.rps), rate)?,
        write_rps: lower("write_rps", state.write_rps, next_writes, rate)?,
        value_bytes: (value_kb * 1024.0) as usize,
        txn_ops: lower("txn_ops", state.txn_ops, next_ops, transaction_size)?,
    })
}

pub fn load(config: &Path, tuning: Option<&Path>) -> Result<Loaded, String> {
    let read = |p: &Path| std::fs::read_to_string(p).map_err(|e| format!("{}: {e}", p.display()));
    let tuning = match tuning {
        Some(p) => operators(&read(p)?).map_err(|e| format!("{}: {e}", p.display()))?,
        None => Tuning::default(),
    };
    platform(&read(config)?, tuning).map_err(|e| format!("{}: {e}", config.display()))
}

fn operators(text: &str) -> Result<Tuning, String> {
    let o: Operators = hcl::from_str(text).map_err(one_line)?;
    let mut t = Tuning::default();
    if let Some(v) = o.spare_tasks {
        t.spare_tasks = within("spare_tasks", v, 0.0, 10_000.0)?;
    }
    if let Some(v) = o.idle_boots {
        t.idle_boots = within("idle_boots", v, 0.0, 1e6)?;
    }
    if let Some(v) = o.slack_use {
        t.slack_use = within("slack_use", v, 0.05, 1.0)?;
    }
    if let Some(v) = o.inflow_use {
        t.inflow_use = within("inflow_use", v, 0.0, 2.0)?;
    }
    if let Some(v) = o.leader_ttl_s {
        t.leader_ttl_ms = (within("leader_ttl_s", v, 1.0, 600.0)? * 1e3) as u64;
    }
    if let Some(v) = o.mapping_s {
        t.map_ms = (within("mapping_s", v, 0.05, 60.0)? * 1e3) as u64;
    }
    Ok(t)
}

/// A team's limits, checked. One of 0 CPUs and 0 cards is none at all: such a team is a guest, which
/// uses what others leave.
fn team(t: PlatformTeam) -> Result<Team, String> {
    let cpus_max = within("deployment.teams.cpus_max", t.cpus_max, 0.0, 1e9)?;
    let gpus_max = within("deployment.teams.gpus_max", t.gpus_max, 0.0, 1e9)?;
    let unlimited = cpus_max == 0.0 && gpus_max == 0.0;
    let limit = |most: f64| if unlimited { f64::INFINITY } else { most };
    Ok(Team {
        cpus: within("deployment.teams.cpus", t.cpus, 0.0, 1e9)?,
        cpus_max: limit(cpus_max),
        gpus: within("deployment.teams.gpus", t.gpus, 0.0, 1e9)?,
        gpus_max: limit(gpus_max),
        name: t.name,
    })
}

fn platform(text: &str, tuning: Tuning) -> Result<Loaded, String> {
    let source = toml::Deserializer::parse(text).map_err(|e| one_line(e.message()))?;
    let mut p: Platform = serde_path_to_error::deserialize(source)
        .map_err(|e| format!("{}: {}", e.path(), one_line(e.inner().message())))?;
    if p.node.is_empty() || p.node.len() > 30 {
        return Err("node: must be 1 to 30 bytes".into());
    }
    for k in &p.known {
        address("known.endpoint", &k.endpoint)?;
        if k.node.is_empty() || k.node == p.node {
            return Err(format!(
                "known.node: must name another node, not {:?}",
                k.node
            ));
        }
    }
    let mut teams = vec![];
    for t in std::mem::take(&mut p.deployment.teams) {
        if t.name.is_empty() || teams.iter().any(|o: &Team| o.name == t.name) {
            return Err(format!(
                "deployment.teams.name: must be unique, not {:?}",
                t.name
            ));
        }
        teams.push(team(t)?);
    }
    let mut promises = vec![];
    for o in std::mem::take(&mut p.deployment.objectives) {
        let what = match o.kind.as_str() {
            "wait" => Promised::Start,
            "finished" => Promised::Finish,
            _ => continue,
        };
        if let (Some(class), Some(s)) = (o.class, o.within_s) {
            let within_s = within("deployment.objectives.within_s", s, 0.0, 1e9)?;
            promises.push(Promise {
                class,
                what,
                within_s,
            });
        }
    }
    let d = &p.deployment;
    let state = state_limits(&d.state)?;
    address("external.cloud", &p.external.cloud)?;
    address("external.state", &p.external.state)?;
    let core = Settings {
        node: p.node,
        zone: p.site,
        peers: p.known.iter().map(|k| k.node.clone()).collect(),
        zones: d.zones.clone(),
        teams,
        promises,
        report_s: within(
            "deployment.workers.report_s",
            d.workers.report_s,
            0.1,
            3600.0,
        )?,
        lease_s: within(
            "deployment.workers.lease_s",
            d.workers.lease_s,
            0.5,
            86_400.0,
        )?,
        cancel_s: within(
            "deployment.workers.cancel_s",
            d.workers.cancel_s,
            0.5,
            86_400.0,
        )?,
        gang_wait_s: gang_time("gang_wait_s", d.workers.gang_wait_s, GANG_WAIT_S)?,
        gang_peer_s: gang_time("gang_peer_s", d.workers.gang_peer_s, GANG_PEER_S)?,
        state_rps: state.rps,
        state_write_rps: state.write_rps,
        value_bytes: state.value_bytes,
        txn_ops: state.txn_ops,
        cloud_rps: within("deployment.cloud.rps", d.cloud.rps, 0.01, 1e6)?,
        list_lag_s: within(
            "deployment.cloud.list_lag_s",
            d.cloud.list_lag_s,
            0.0,
            3600.0,
        )?,
        max_sockets: within(
            "deployment.limits.max_sockets",
            d.limits.max_sockets,
            stonegw_constants::LEAST_SOCKETS,
            1e7,
        )? as usize,
        tuning,
    };
    Ok(Loaded {
        client_listen: address("client_listen", &p.client_listen)?,
        cluster_listen: address("cluster_listen", &p.cluster_listen)?,
        peer_endpoints: p.known.into_iter().map(|k| k.endpoint).collect(),
        cloud: p.external.cloud,
        state: p.external.state,
        core,
    })
}

#[cfg(test)]
#[path = "settings_tests.rs"]
mod tests;
