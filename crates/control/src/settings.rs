//! The settings in the form that the state machines use. The daemon reads and validates the files.
use crate::api::Millis;
use crate::resources::Resources;
pub use crate::token_bucket::TokenBucket;
use stonegw_constants::{
    ARRIVAL_RATE_FRACTION, HEADROOM_TASKS, IDLE_RETENTION_BOOTS, LEADER_LEASE_TTL_MS,
    SCHEDULING_INTERVAL_MS, SLACK_FRACTION, WATERMARK_LAG_FRACTION,
};

/// A team's quotas and limits. A team without limits in the settings file is a guest: it is meant
/// to have no quota, and its limits are infinite.
#[derive(Clone, Debug)]
pub struct Team {
    /// Name of the team in submissions.
    pub name: String,
    /// Number of CPUs that the team is guaranteed.
    pub quota_cpus: f64,
    /// Maximum number of CPUs that the team's tasks may use at the same time.
    pub limit_cpus: f64,
    /// Number of GPUs that the team is guaranteed.
    pub quota_gpus: f64,
    /// Maximum number of GPUs that the team's tasks may use at the same time.
    pub limit_gpus: f64,
}

impl Team {
    /// Returns the resources that the team is guaranteed. Memory is infinite, because it is not
    /// counted against teams.
    pub fn quota(&self) -> Resources {
        Resources {
            cpus: self.quota_cpus,
            gpus: self.quota_gpus,
            memory_gb: f64::INFINITY,
        }
    }

    /// Returns the resources that the team's tasks may use at the same time. Memory is infinite,
    /// because it is not counted against teams.
    pub fn limit(&self) -> Resources {
        Resources {
            cpus: self.limit_cpus,
            gpus: self.limit_gpus,
            memory_gb: f64::INFINITY,
        }
    }
}

/// A service-level objective of a class of jobs, in addition to the jobs' own deadlines: arrays of
/// the class start or finish within a given time.
#[derive(Clone, Debug)]
pub struct ClassSlo {
    /// Name of the class in submissions.
    pub class: String,
    /// The milestone that must be reached in time.
    pub milestone: SloMilestone,
    /// Time limit in seconds after the submission.
    pub within_s: f64,
}

/// The milestone for which an objective sets a time limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SloMilestone {
    /// All tasks have started.
    Start,
    /// All tasks are done.
    Finish,
}

/// Parameters that an operator may tune in the HCL file. The defaults are constants.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// Constant part of the headroom for urgent services, in reference tasks (tasks of the latest
    /// urgent service).
    pub headroom_tasks: f64,
    /// Time for which an idle machine is kept, as a multiple of its type's boot time.
    pub idle_retention_boots: f64,
    /// Fraction of the time to a deadline within which the autoscaler plans to complete the work.
    pub slack_fraction: f64,
    /// Fraction of the recent arrival rate of deadline-constrained work for which the autoscaler
    /// keeps capacity.
    pub arrival_rate_fraction: f64,
    /// Time to live of the leader's lease, in ms.
    pub leader_lease_ttl_ms: u64,
    /// Time between scheduling passes, in ms.
    pub scheduling_interval_ms: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            headroom_tasks: HEADROOM_TASKS,
            idle_retention_boots: IDLE_RETENTION_BOOTS,
            slack_fraction: SLACK_FRACTION,
            arrival_rate_fraction: ARRIVAL_RATE_FRACTION,
            leader_lease_ttl_ms: LEADER_LEASE_TTL_MS,
            scheduling_interval_ms: SCHEDULING_INTERVAL_MS,
        }
    }
}

/// The settings of a node and of the deployment that it belongs to.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this node.
    pub node_name: String,
    /// Zone of this node.
    pub zone: String,
    /// Names of the other nodes.
    pub peers: Vec<String>,
    /// All zones of the deployment.
    pub zones: Vec<String>,
    /// The teams that may submit jobs.
    pub teams: Vec<Team>,
    /// Service-level objectives of job classes.
    pub class_slos: Vec<ClassSlo>,
    /// Time between two heartbeats of a worker, in s.
    pub heartbeat_interval_s: f64,
    /// Time without contact after which a worker stops its tasks, in s.
    pub worker_lease_s: f64,
    /// Time within which all tasks of a cancelled job must have ended, in s.
    pub cancellation_deadline_s: f64,
    /// Time after which a task of a gang exits if the gang is not complete, in s.
    pub gang_start_timeout_s: f64,
    /// Time within which the tasks of a gang detect the loss of one of them, in s. Stop commands
    /// for a gang must reach all of its tasks within this time.
    pub gang_loss_detection_s: f64,
    /// Requests per second that the key-value store accepts from all nodes together.
    pub store_requests_per_s: f64,
    /// Writes per second that the store accepts from all nodes together.
    pub store_writes_per_s: f64,
    /// Maximum size of a value in the store, in bytes of JSON.
    pub max_value_bytes: usize,
    /// Maximum number of writes in a transaction.
    pub max_transaction_writes: usize,
    /// Requests per second that the cloud provider's API accepts.
    pub cloud_requests_per_s: f64,
    /// Time by which the cloud provider's list of machines may be out of date, in s.
    pub cloud_listing_lag_s: f64,
    /// Maximum number of open sockets.
    pub max_sockets: usize,
    /// Parameters that an operator may tune.
    pub tuning: Tuning,
}

impl Settings {
    /// Returns the team with this name, if there is one.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }

    /// Returns how far a node's cancellation watermark may lag while it renews leases, in ms: tasks
    /// cancelled after the watermark still end before the cancellation deadline if a renewal is the
    /// last.
    pub fn max_watermark_lag_ms(&self) -> Millis {
        let margin_s = (self.cancellation_deadline_s - self.worker_lease_s).max(0.0);
        (margin_s * WATERMARK_LAG_FRACTION * 1e3) as Millis
    }

    /// Returns the deadlines that the objectives of a class imply for tasks that run for `run_s`
    /// seconds. They are in seconds after the submission.
    pub fn slo_deadlines(&self, class: &str, run_s: f64) -> impl Iterator<Item = f64> + '_ {
        let class = class.to_owned();
        let of_class = self.class_slos.iter().filter(move |slo| slo.class == class);
        of_class.map(move |slo| match slo.milestone {
            SloMilestone::Start => slo.within_s + run_s,
            SloMilestone::Finish => slo.within_s,
        })
    }
}
