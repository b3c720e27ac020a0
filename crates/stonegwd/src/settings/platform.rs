//! Checks the platform's settings and converts them to the settings of the controller.
use super::check::{check_lower_limit, check_range, parse_address};
use super::error::InvalidSettings;
use super::platform_file::{
    DeploymentSettings, KnownNode, Objective, PlatformSettings, PlatformTeam, StoreSettings,
    WorkerSettings,
};
use super::LoadedSettings;
use stonegw_constants::{
    DEFAULT_GANG_LOSS_DETECTION_S, DEFAULT_GANG_START_TIMEOUT_S, MIN_GANG_TIMEOUT_S, MIN_SOCKETS,
};
use stonegw_control::settings::{ClassSlo, Settings, SloMilestone, Team, Tuning};

/// Maximum length of a node's name in bytes: frames between controllers hold it in a field of fixed
/// size.
const MAX_NODE_NAME_BYTES: usize = 30;
/// Maximum of the worker lease, the cancellation deadline and the gang timeouts in seconds: one
/// day.
const MAX_WORKER_TIME_S: f64 = 86_400.0;
/// Maximum of the heartbeat interval and the listing lag in seconds: one hour, the longest that is
/// plausible.
const MAX_INTERVAL_S: f64 = 3_600.0;
/// Maximum of a team's quotas and limits, and of the time of an objective in seconds.
const MAX_AMOUNT: f64 = 1e9;
/// Maximum of any limit of a service, in requests per second, writes per second or kB.
const MAX_SERVICE_LIMIT: f64 = 1e6;
/// Maximum of the limit on the writes of a transaction.
const MAX_TRANSACTION_WRITES: f64 = 10_000.0;
/// Maximum of the limit on open sockets.
const MAX_SOCKETS: f64 = 1e7;

/// Parses and checks the text of the file.
pub(super) fn parse_platform_settings(
    text: &str,
    tuning: Tuning,
) -> Result<LoadedSettings, InvalidSettings> {
    let file = parse_platform_file(text)?;
    check_node_names(&file.node_name, &file.known_nodes)?;
    let deployment = file.deployment;
    let teams = check_teams(&deployment.teams)?;
    let class_slos = check_objectives(&deployment.objectives)?;
    let store_limits = StoreLimits::check(&deployment.store)?;
    let services = file.external_services;
    parse_address("external.cloud", &services.cloud_endpoint)?;
    parse_address("external.state", &services.store_endpoint)?;
    let worker_times = WorkerTimes::check(&deployment.workers)?;
    let cloud_limits = CloudLimits::check(&deployment)?;
    let max_sockets = check_range(
        "deployment.limits.max_sockets",
        deployment.limits.max_sockets,
        MIN_SOCKETS,
        MAX_SOCKETS,
    )?;
    let client_listen = parse_address("client_listen", &file.client_listen)?;
    let cluster_listen = parse_address("cluster_listen", &file.cluster_listen)?;
    let peer_names = file.known_nodes.iter().map(|peer| peer.node_name.clone());
    let settings = Settings {
        node_name: file.node_name,
        zone: file.zone,
        peers: peer_names.collect(),
        zones: deployment.zones,
        teams,
        class_slos,
        heartbeat_interval_s: worker_times.heartbeat_interval_s,
        worker_lease_s: worker_times.worker_lease_s,
        cancellation_deadline_s: worker_times.cancellation_deadline_s,
        gang_start_timeout_s: worker_times.gang_start_timeout_s,
        gang_loss_detection_s: worker_times.gang_loss_detection_s,
        store_requests_per_s: store_limits.requests_per_s,
        store_writes_per_s: store_limits.writes_per_s,
        max_value_bytes: store_limits.max_value_bytes,
        max_transaction_writes: store_limits.max_transaction_writes,
        cloud_requests_per_s: cloud_limits.requests_per_s,
        cloud_listing_lag_s: cloud_limits.listing_lag_s,
        max_sockets: max_sockets as usize,
        tuning,
    };
    let peer_endpoints = file.known_nodes.into_iter().map(|peer| peer.endpoint);
    Ok(LoadedSettings {
        settings,
        client_listen,
        cluster_listen,
        peer_endpoints: peer_endpoints.collect(),
        cloud_endpoint: services.cloud_endpoint,
        store_endpoint: services.store_endpoint,
    })
}

fn parse_platform_file(text: &str) -> Result<PlatformSettings, InvalidSettings> {
    let deserializer = toml::Deserializer::parse(text)
        .map_err(|error| InvalidSettings::syntax(error.message()))?;
    serde_path_to_error::deserialize(deserializer)
        .map_err(|error| InvalidSettings::wrong_field(error.path(), error.inner().message()))
}

fn check_node_names(node_name: &str, peers: &[KnownNode]) -> Result<(), InvalidSettings> {
    if node_name.is_empty() || node_name.len() > MAX_NODE_NAME_BYTES {
        return Err(InvalidSettings::WrongLength {
            key: "node",
            min: 1,
            max: MAX_NODE_NAME_BYTES,
        });
    }
    for peer in peers {
        parse_address("known.endpoint", &peer.endpoint)?;
        if peer.node_name.is_empty() || peer.node_name == node_name {
            return Err(InvalidSettings::NotAPeer {
                name: peer.node_name.clone(),
            });
        }
    }
    Ok(())
}

fn check_teams(teams: &[PlatformTeam]) -> Result<Vec<Team>, InvalidSettings> {
    let mut checked: Vec<Team> = vec![];
    for team in teams {
        let is_taken = checked.iter().any(|other| other.name == team.name);
        if team.name.is_empty() || is_taken {
            return Err(InvalidSettings::DuplicateTeam {
                name: team.name.clone(),
            });
        }
        checked.push(check_team(team)?);
    }
    Ok(checked)
}

/// Checks the quotas and limits of a team. Limits of 0 CPUs and 0 GPUs mean that the team has no
/// limit: it is a guest, which uses the resources that other teams leave free.
fn check_team(team: &PlatformTeam) -> Result<Team, InvalidSettings> {
    let check = |name: &str, value| {
        check_range(&format!("deployment.teams.{name}"), value, 0.0, MAX_AMOUNT)
    };
    let limit_cpus = check("cpus_max", team.limit_cpus)?;
    let limit_gpus = check("gpus_max", team.limit_gpus)?;
    let quota_cpus = check("cpus", team.quota_cpus)?;
    let quota_gpus = check("gpus", team.quota_gpus)?;
    let is_unlimited = limit_cpus == 0.0 && limit_gpus == 0.0;
    let or_infinite = |limit: f64| if is_unlimited { f64::INFINITY } else { limit };
    Ok(Team {
        name: team.name.clone(),
        quota_cpus,
        limit_cpus: or_infinite(limit_cpus),
        quota_gpus,
        limit_gpus: or_infinite(limit_gpus),
    })
}

/// Checks and returns the objectives for classes of jobs. Other objectives do not concern the
/// scheduler.
fn check_objectives(objectives: &[Objective]) -> Result<Vec<ClassSlo>, InvalidSettings> {
    let mut class_slos = vec![];
    for objective in objectives {
        let milestone = match objective.kind.as_str() {
            "wait" => SloMilestone::Start,
            "finished" => SloMilestone::Finish,
            _ => continue,
        };
        let (Some(class), Some(within_s)) = (&objective.job_class, objective.within_s) else {
            continue;
        };
        let key = "deployment.objectives.within_s";
        class_slos.push(ClassSlo {
            class: class.clone(),
            milestone,
            within_s: check_range(key, within_s, 0.0, MAX_AMOUNT)?,
        });
    }
    Ok(class_slos)
}

/// The limits of the key-value store that the controller must not exceed. Each is the lower of the
/// current and the upcoming limit.
struct StoreLimits {
    requests_per_s: f64,
    writes_per_s: f64,
    max_value_bytes: usize,
    max_transaction_writes: usize,
}

impl StoreLimits {
    fn check(store: &StoreSettings) -> Result<StoreLimits, InvalidSettings> {
        let upcoming = store.upcoming_limits.as_ref();
        let max_value_kb = check_lower_limit(
            "value_kb",
            store.max_value_kb,
            upcoming.and_then(|limits| limits.max_value_kb),
            MAX_SERVICE_LIMIT,
        )?;
        let requests_per_s = check_lower_limit(
            "rps",
            store.requests_per_s,
            upcoming.and_then(|limits| limits.requests_per_s),
            MAX_SERVICE_LIMIT,
        )?;
        let writes_per_s = check_lower_limit(
            "write_rps",
            store.writes_per_s,
            upcoming.and_then(|limits| limits.writes_per_s),
            MAX_SERVICE_LIMIT,
        )?;
        let upcoming_writes = upcoming.and_then(|limits| limits.max_transaction_writes);
        let max_transaction_writes = check_lower_limit(
            "txn_ops",
            store.max_transaction_writes as f64,
            upcoming_writes.map(|writes| writes as f64),
            MAX_TRANSACTION_WRITES,
        )?;
        Ok(StoreLimits {
            requests_per_s,
            writes_per_s,
            max_value_bytes: (max_value_kb * 1024.0) as usize,
            max_transaction_writes: max_transaction_writes as usize,
        })
    }
}

/// The intervals and timeouts of the workers in seconds.
struct WorkerTimes {
    heartbeat_interval_s: f64,
    worker_lease_s: f64,
    cancellation_deadline_s: f64,
    gang_start_timeout_s: f64,
    gang_loss_detection_s: f64,
}

impl WorkerTimes {
    fn check(workers: &WorkerSettings) -> Result<WorkerTimes, InvalidSettings> {
        Ok(WorkerTimes {
            heartbeat_interval_s: check_range(
                "deployment.workers.report_s",
                workers.heartbeat_interval_s,
                0.1,
                MAX_INTERVAL_S,
            )?,
            worker_lease_s: check_range(
                "deployment.workers.lease_s",
                workers.worker_lease_s,
                0.5,
                MAX_WORKER_TIME_S,
            )?,
            cancellation_deadline_s: check_range(
                "deployment.workers.cancel_s",
                workers.cancellation_deadline_s,
                0.5,
                MAX_WORKER_TIME_S,
            )?,
            gang_start_timeout_s: check_gang_timeout(
                "deployment.workers.gang_wait_s",
                workers.gang_start_timeout_s,
                DEFAULT_GANG_START_TIMEOUT_S,
            )?,
            gang_loss_detection_s: check_gang_timeout(
                "deployment.workers.gang_peer_s",
                workers.gang_loss_detection_s,
                DEFAULT_GANG_LOSS_DETECTION_S,
            )?,
        })
    }
}

/// Checks a gang timeout, or returns the default if the key is missing, as on platforms without
/// gangs.
fn check_gang_timeout(
    key: &str,
    seconds: Option<f64>,
    default_s: f64,
) -> Result<f64, InvalidSettings> {
    let Some(seconds) = seconds else {
        log::info!("{key} is not set; using the default of {default_s} s");
        return Ok(default_s);
    };
    check_range(key, seconds, MIN_GANG_TIMEOUT_S, MAX_WORKER_TIME_S)
}

struct CloudLimits {
    requests_per_s: f64,
    listing_lag_s: f64,
}

impl CloudLimits {
    fn check(deployment: &DeploymentSettings) -> Result<CloudLimits, InvalidSettings> {
        let cloud = &deployment.cloud;
        Ok(CloudLimits {
            requests_per_s: check_range(
                "deployment.cloud.rps",
                cloud.requests_per_s,
                0.01,
                MAX_SERVICE_LIMIT,
            )?,
            listing_lag_s: check_range(
                "deployment.cloud.list_lag_s",
                cloud.listing_lag_s,
                0.0,
                MAX_INTERVAL_S,
            )?,
        })
    }
}
