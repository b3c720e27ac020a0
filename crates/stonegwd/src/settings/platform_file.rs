//! The platform's settings file (TOML), as it is written. The serde attributes contain the keys of
//! the file; [`super::platform`] checks the values.
use serde::Deserialize;

/// The whole file. Unknown keys are ignored here and in all tables, since the platform may add keys
/// at any time.
#[derive(Deserialize)]
pub(super) struct PlatformSettings {
    #[serde(rename = "node")]
    pub(super) node_name: String,
    #[serde(rename = "site", default)]
    pub(super) zone: String,
    pub(super) client_listen: String,
    pub(super) cluster_listen: String,
    #[serde(rename = "known", default)]
    pub(super) known_nodes: Vec<KnownNode>,
    #[serde(rename = "external")]
    pub(super) external_services: ExternalServices,
    pub(super) deployment: DeploymentSettings,
}

/// Another controller.
#[derive(Deserialize)]
pub(super) struct KnownNode {
    #[serde(rename = "node")]
    pub(super) node_name: String,
    pub(super) endpoint: String,
}

/// Addresses of the external services that the controllers use.
#[derive(Deserialize)]
pub(super) struct ExternalServices {
    #[serde(rename = "cloud")]
    pub(super) cloud_endpoint: String,
    #[serde(rename = "state")]
    pub(super) store_endpoint: String,
}

/// The settings that all controllers of a deployment share.
#[derive(Deserialize)]
pub(super) struct DeploymentSettings {
    #[serde(default)]
    pub(super) zones: Vec<String>,
    #[serde(default)]
    pub(super) teams: Vec<PlatformTeam>,
    #[serde(default)]
    pub(super) objectives: Vec<Objective>,
    pub(super) workers: WorkerSettings,
    #[serde(rename = "state")]
    pub(super) store: StoreSettings,
    pub(super) cloud: CloudSettings,
    pub(super) limits: ProcessLimits,
}

/// The quotas and limits of a team.
#[derive(Deserialize)]
pub(super) struct PlatformTeam {
    pub(super) name: String,
    #[serde(rename = "cpus")]
    pub(super) quota_cpus: f64,
    #[serde(rename = "cpus_max")]
    pub(super) limit_cpus: f64,
    #[serde(rename = "gpus", default)]
    pub(super) quota_gpus: f64,
    #[serde(rename = "gpus_max", default)]
    pub(super) limit_gpus: f64,
}

/// A service-level objective. Objectives of unknown kinds do not concern the scheduler.
#[derive(Deserialize)]
pub(super) struct Objective {
    pub(super) kind: String,
    #[serde(rename = "class")]
    pub(super) job_class: Option<String>,
    pub(super) within_s: Option<f64>,
}

/// Intervals and timeouts of the workers in seconds.
#[derive(Deserialize)]
pub(super) struct WorkerSettings {
    #[serde(rename = "report_s")]
    pub(super) heartbeat_interval_s: f64,
    #[serde(rename = "lease_s")]
    pub(super) worker_lease_s: f64,
    #[serde(rename = "cancel_s")]
    pub(super) cancellation_deadline_s: f64,
    #[serde(rename = "gang_wait_s")]
    pub(super) gang_start_timeout_s: Option<f64>,
    #[serde(rename = "gang_peer_s")]
    pub(super) gang_loss_detection_s: Option<f64>,
}

/// Limits of the key-value store.
#[derive(Deserialize)]
pub(super) struct StoreSettings {
    #[serde(rename = "rps")]
    pub(super) requests_per_s: f64,
    #[serde(rename = "write_rps")]
    pub(super) writes_per_s: f64,
    #[serde(rename = "value_kb")]
    pub(super) max_value_kb: f64,
    #[serde(rename = "txn_ops")]
    pub(super) max_transaction_writes: usize,
    #[serde(rename = "next")]
    pub(super) upcoming_limits: Option<UpcomingStoreLimits>,
}

/// Limits that will apply to the key-value store from an unannounced time on. A limit that is
/// `None` will not change.
#[derive(Deserialize)]
pub(super) struct UpcomingStoreLimits {
    #[serde(rename = "rps")]
    pub(super) requests_per_s: Option<f64>,
    #[serde(rename = "write_rps")]
    pub(super) writes_per_s: Option<f64>,
    #[serde(rename = "value_kb")]
    pub(super) max_value_kb: Option<f64>,
    #[serde(rename = "txn_ops")]
    pub(super) max_transaction_writes: Option<usize>,
}

/// Limits of the cloud.
#[derive(Deserialize)]
pub(super) struct CloudSettings {
    #[serde(rename = "rps")]
    pub(super) requests_per_s: f64,
    #[serde(rename = "list_lag_s")]
    pub(super) listing_lag_s: f64,
}

/// Limits of this process.
#[derive(Deserialize)]
pub(super) struct ProcessLimits {
    pub(super) max_sockets: f64,
}
