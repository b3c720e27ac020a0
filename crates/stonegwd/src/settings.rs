//! Reads and checks the platform's TOML and the operators' HCL.
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use stonegw_constants::{
    DEFAULT_GANG_LOSS_DETECTION_S, DEFAULT_GANG_START_TIMEOUT_S, MIN_GANG_TIMEOUT_S,
};
use stonegw_control::settings::{ClassSlo, Settings, SloMilestone, Team, Tuning};

pub struct LoadedSettings {
    pub settings: Settings,
    pub client_listen: SocketAddr,
    pub cluster_listen: SocketAddr,
    pub peer_endpoints: Vec<String>,
    pub cloud_endpoint: String,
    pub store_endpoint: String,
}

// The platform may add fields at any time; unknown ones are ignored.
#[derive(Deserialize)]
struct PlatformSettings {
    #[serde(rename = "node")]
    node_name: String,
    #[serde(default)]
    #[serde(rename = "site")]
    zone: String,
    client_listen: String,
    cluster_listen: String,
    #[serde(default)]
    #[serde(rename = "known")]
    known_nodes: Vec<KnownNode>,
    #[serde(rename = "external")]
    external_services: ExternalServices,
    deployment: DeploymentSettings,
}

#[derive(Deserialize)]
struct KnownNode {
    #[serde(rename = "node")]
    node_name: String,
    endpoint: String,
}

#[derive(Deserialize)]
struct ExternalServices {
    #[serde(rename = "cloud")]
    cloud_endpoint: String,
    #[serde(rename = "state")]
    store_endpoint: String,
}

#[derive(Deserialize)]
struct DeploymentSettings {
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    teams: Vec<PlatformTeam>,
    #[serde(default)]
    objectives: Vec<Objective>,
    workers: WorkerSettings,
    #[serde(rename = "state")]
    store: StoreSettings,
    cloud: CloudSettings,
    limits: ProcessLimits,
}

#[derive(Deserialize)]
struct PlatformTeam {
    name: String,
    #[serde(rename = "cpus")]
    quota_cpus: f64,
    #[serde(rename = "cpus_max")]
    limit_cpus: f64,
    #[serde(default)]
    #[serde(rename = "gpus")]
    quota_gpus: f64,
    #[serde(default)]
    #[serde(rename = "gpus_max")]
    limit_gpus: f64,
}

// Kinds that we don't know are none of ours.
#[derive(Deserialize)]
struct Objective {
    kind: String,
    #[serde(rename = "class")]
    job_class: Option<String>,
    within_s: Option<f64>,
}

#[derive(Deserialize)]
struct WorkerSettings {
    #[serde(rename = "report_s")]
    heartbeat_interval_s: f64,
    #[serde(rename = "lease_s")]
    worker_lease_s: f64,
    #[serde(rename = "cancel_s")]
    cancellation_deadline_s: f64,
    #[serde(rename = "gang_wait_s")]
    gang_start_timeout_s: Option<f64>,
    #[serde(rename = "gang_peer_s")]
    gang_loss_detection_s: Option<f64>,
}

#[derive(Deserialize)]
struct StoreSettings {
    #[serde(rename = "rps")]
    requests_per_s: f64,
    #[serde(rename = "write_rps")]
    writes_per_s: f64,
    #[serde(rename = "value_kb")]
    max_value_kb: f64,
    #[serde(rename = "txn_ops")]
    max_transaction_writes: usize,
    #[serde(rename = "next")]
    upcoming_limits: Option<UpcomingStoreLimits>,
}

/// Limits that the state service will have from a moment that nobody announces.
#[derive(Deserialize)]
struct UpcomingStoreLimits {
    #[serde(rename = "rps")]
    requests_per_s: Option<f64>,
    #[serde(rename = "write_rps")]
    writes_per_s: Option<f64>,
    #[serde(rename = "value_kb")]
    max_value_kb: Option<f64>,
    #[serde(rename = "txn_ops")]
    max_transaction_writes: Option<usize>,
}

/// The limits that we keep to, checked.
struct CheckedStoreLimits {
    requests_per_s: f64,
    writes_per_s: f64,
    max_value_bytes: usize,
    max_transaction_writes: usize,
}

#[derive(Deserialize)]
struct CloudSettings {
    #[serde(rename = "rps")]
    requests_per_s: f64,
    #[serde(rename = "list_lag_s")]
    listing_lag_s: f64,
}

#[derive(Deserialize)]
struct ProcessLimits {
    max_sockets: f64,
}

// The operators' file is ours: a field we do not know is a mistake.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct OperatorTuning {
    #[serde(rename = "spare_tasks")]
    headroom_tasks: Option<f64>,
    #[serde(rename = "idle_boots")]
    idle_retention_boots: Option<f64>,
    #[serde(rename = "slack_use")]
    slack_fraction: Option<f64>,
    #[serde(rename = "inflow_use")]
    arrival_rate_fraction: Option<f64>,
    #[serde(rename = "leader_ttl_s")]
    leader_lease_ttl_s: Option<f64>,
    #[serde(rename = "mapping_s")]
    scheduling_interval_s: Option<f64>,
}

fn to_one_line(text: impl ToString) -> String {
    let text = text.to_string();
    let parts: Vec<&str> = text
        .lines()
        .map(str::trim)
        .filter(|l| !l.is_empty())
        .collect();
    parts.join(" ")
}

fn parse_address(field: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("{field}: must be an IP address and port, not {text:?}"))
}

fn check_range(field: &str, value: f64, least: f64, most: f64) -> Result<f64, String> {
    if value.is_finite() && value >= least && value <= most {
        Ok(value)
    } else {
        Err(format!(
            "{field}: must be from {least} to {most}, not {value}"
        ))
    }
}

/// A time of the workers that platforms without gangs do not state.
fn check_gang_timeout(name: &str, stated: Option<f64>, default: f64) -> Result<f64, String> {
    match stated {
        Some(seconds) => check_range(
            &format!("deployment.workers.{name}"),
            seconds,
            MIN_GANG_TIMEOUT_S,
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
fn check_lower_limit<T: PartialOrd + Copy>(
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

fn check_transaction_writes(field: &str, writes: usize) -> Result<usize, String> {
    if (1..=10_000).contains(&writes) {
        Ok(writes)
    } else {
        Err(format!("{field}: must be from 1 to 10000"))
    }
}

fn check_store_limits(state: &StoreSettings) -> Result<CheckedStoreLimits, String> {
    let rate = |field: &str, value| check_range(field, value, 1.0, 1e6);
    let next = state.upcoming_limits.as_ref();
    let next_kb = next.and_then(|n| n.max_value_kb);
    let value_kb = check_lower_limit("value_kb", state.max_value_kb, next_kb, rate)?;
    let next_ops = next.and_then(|n| n.max_transaction_writes);
    let next_writes = next.and_then(|n| n.writes_per_s);
    Ok(CheckedStoreLimits {
        requests_per_s: check_lower_limit(
            "rps",
            state.requests_per_s,
            next.and_then(|n| n.requests_per_s),
            rate,
        )?,
        writes_per_s: check_lower_limit("write_rps", state.writes_per_s, next_writes, rate)?,
        max_value_bytes: (value_kb * 1024.0) as usize,
        max_transaction_writes: check_lower_limit(
            "txn_ops",
            state.max_transaction_writes,
            next_ops,
            check_transaction_writes,
        )?,
    })
}

pub fn load_settings(config: &Path, tuning: Option<&Path>) -> Result<LoadedSettings, String> {
    let read = |p: &Path| std::fs::read_to_string(p).map_err(|e| format!("{}: {e}", p.display()));
    let tuning = match tuning {
        Some(p) => parse_operator_tuning(&read(p)?).map_err(|e| format!("{}: {e}", p.display()))?,
        None => Tuning::default(),
    };
    parse_platform_settings(&read(config)?, tuning)
        .map_err(|e| format!("{}: {e}", config.display()))
}

fn parse_operator_tuning(text: &str) -> Result<Tuning, String> {
    let o: OperatorTuning = hcl::from_str(text).map_err(to_one_line)?;
    let mut t = Tuning::default();
    if let Some(v) = o.headroom_tasks {
        t.headroom_tasks = check_range("spare_tasks", v, 0.0, 10_000.0)?;
    }
    if let Some(v) = o.idle_retention_boots {
        t.idle_retention_boots = check_range("idle_boots", v, 0.0, 1e6)?;
    }
    if let Some(v) = o.slack_fraction {
        t.slack_fraction = check_range("slack_use", v, 0.05, 1.0)?;
    }
    if let Some(v) = o.arrival_rate_fraction {
        t.arrival_rate_fraction = check_range("inflow_use", v, 0.0, 2.0)?;
    }
    if let Some(v) = o.leader_lease_ttl_s {
        t.leader_lease_ttl_ms = (check_range("leader_ttl_s", v, 1.0, 600.0)? * 1e3) as u64;
    }
    if let Some(v) = o.scheduling_interval_s {
        t.scheduling_interval_ms = (check_range("mapping_s", v, 0.05, 60.0)? * 1e3) as u64;
    }
    Ok(t)
}

/// A team's limits, checked. One of 0 CPUs and 0 cards is none at all: such a team is a guest, which
/// uses what others leave.
fn check_team(t: PlatformTeam) -> Result<Team, String> {
    let cpus_max = check_range("deployment.teams.cpus_max", t.limit_cpus, 0.0, 1e9)?;
    let gpus_max = check_range("deployment.teams.gpus_max", t.limit_gpus, 0.0, 1e9)?;
    let unlimited = cpus_max == 0.0 && gpus_max == 0.0;
    let limit = |most: f64| if unlimited { f64::INFINITY } else { most };
    Ok(Team {
        quota_cpus: check_range("deployment.teams.cpus", t.quota_cpus, 0.0, 1e9)?,
        limit_cpus: limit(cpus_max),
        quota_gpus: check_range("deployment.teams.gpus", t.quota_gpus, 0.0, 1e9)?,
        limit_gpus: limit(gpus_max),
        name: t.name,
    })
}

fn parse_platform_settings(text: &str, tuning: Tuning) -> Result<LoadedSettings, String> {
    let source = toml::Deserializer::parse(text).map_err(|e| to_one_line(e.message()))?;
    let mut p: PlatformSettings = serde_path_to_error::deserialize(source)
        .map_err(|e| format!("{}: {}", e.path(), to_one_line(e.inner().message())))?;
    if p.node_name.is_empty() || p.node_name.len() > 30 {
        return Err("node: must be 1 to 30 bytes".into());
    }
    for k in &p.known_nodes {
        parse_address("known.endpoint", &k.endpoint)?;
        if k.node_name.is_empty() || k.node_name == p.node_name {
            return Err(format!(
                "known.node: must name another node, not {:?}",
                k.node_name
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
        teams.push(check_team(t)?);
    }
    let mut promises = vec![];
    for o in std::mem::take(&mut p.deployment.objectives) {
        let what = match o.kind.as_str() {
            "wait" => SloMilestone::Start,
            "finished" => SloMilestone::Finish,
            _ => continue,
        };
        if let (Some(class), Some(s)) = (o.job_class, o.within_s) {
            let within_s = check_range("deployment.objectives.within_s", s, 0.0, 1e9)?;
            promises.push(ClassSlo {
                class,
                milestone: what,
                within_s,
            });
        }
    }
    let d = &p.deployment;
    let state = check_store_limits(&d.store)?;
    parse_address("external.cloud", &p.external_services.cloud_endpoint)?;
    parse_address("external.state", &p.external_services.store_endpoint)?;
    let core = Settings {
        node_name: p.node_name,
        zone: p.zone,
        peers: p.known_nodes.iter().map(|k| k.node_name.clone()).collect(),
        zones: d.zones.clone(),
        teams,
        class_slos: promises,
        heartbeat_interval_s: check_range(
            "deployment.workers.report_s",
            d.workers.heartbeat_interval_s,
            0.1,
            3600.0,
        )?,
        worker_lease_s: check_range(
            "deployment.workers.lease_s",
            d.workers.worker_lease_s,
            0.5,
            86_400.0,
        )?,
        cancellation_deadline_s: check_range(
            "deployment.workers.cancel_s",
            d.workers.cancellation_deadline_s,
            0.5,
            86_400.0,
        )?,
        gang_start_timeout_s: check_gang_timeout(
            "gang_wait_s",
            d.workers.gang_start_timeout_s,
            DEFAULT_GANG_START_TIMEOUT_S,
        )?,
        gang_loss_detection_s: check_gang_timeout(
            "gang_peer_s",
            d.workers.gang_loss_detection_s,
            DEFAULT_GANG_LOSS_DETECTION_S,
        )?,
        store_requests_per_s: state.requests_per_s,
        store_writes_per_s: state.writes_per_s,
        max_value_bytes: state.max_value_bytes,
        max_transaction_writes: state.max_transaction_writes,
        cloud_requests_per_s: check_range(
            "deployment.cloud.rps",
            d.cloud.requests_per_s,
            0.01,
            1e6,
        )?,
        cloud_listing_lag_s: check_range(
            "deployment.cloud.list_lag_s",
            d.cloud.listing_lag_s,
            0.0,
            3600.0,
        )?,
        max_sockets: check_range(
            "deployment.limits.max_sockets",
            d.limits.max_sockets,
            stonegw_constants::MIN_SOCKETS,
            1e7,
        )? as usize,
        tuning,
    };
    Ok(LoadedSettings {
        client_listen: parse_address("client_listen", &p.client_listen)?,
        cluster_listen: parse_address("cluster_listen", &p.cluster_listen)?,
        peer_endpoints: p.known_nodes.into_iter().map(|k| k.endpoint).collect(),
        cloud_endpoint: p.external_services.cloud_endpoint,
        store_endpoint: p.external_services.store_endpoint,
        settings: core,
    })
}

#[cfg(test)]
#[path = "settings_tests.rs"]
mod tests;
