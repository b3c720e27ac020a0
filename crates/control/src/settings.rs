//! The settings as the core uses them; the daemon reads and checks the files.
use stonegw_constants::{
    ARRIVAL_RATE_FRACTION, HEADROOM_TASKS, IDLE_RETENTION_BOOTS, LEADER_LEASE_TTL_MS,
    SCHEDULING_INTERVAL_MS, SLACK_FRACTION,
};

/// A team's guarantee and limits. A guest has neither: no guarantee, and limits that are infinite.
#[derive(Clone, Debug)]
pub struct Team {
    /// Its name in submissions.
    pub name: String,
    /// CPUs it is guaranteed.
    pub quota_cpus: f64,
    /// CPUs its tasks may use at any time.
    pub limit_cpus: f64,
    /// Cards it is guaranteed.
    pub quota_gpus: f64,
    /// Cards its tasks may use at any time.
    pub limit_gpus: f64,
}

/// What is promised of a class besides its jobs' own deadlines: its arrays start, or are done, within
/// so long.
#[derive(Clone, Debug)]
pub struct ClassSlo {
    pub class: String,
    pub milestone: SloMilestone,
    pub within_s: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SloMilestone {
    Start,
    Finish,
}

/// What an operator may tune (the HCL file); the defaults stand in the constants.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// Tasks of the usual urgent size kept free.
    pub headroom_tasks: f64,
    /// Boot times that an idle machine is kept.
    pub idle_retention_boots: f64,
    /// Part of the time to a deadline the fleet is sized for.
    pub slack_fraction: f64,
    /// Part of the room that arriving deadline work takes, as of late, that is kept for it.
    pub arrival_rate_fraction: f64,
    /// ms the leader key outlives its last renewal.
    pub leader_lease_ttl_ms: u64,
    /// ms between mappings.
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

#[derive(Clone, Debug)]
pub struct Settings {
    pub node_name: String,
    pub zone: String,
    pub peers: Vec<String>,
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    pub class_slos: Vec<ClassSlo>,
    pub heartbeat_interval_s: f64,
    pub worker_lease_s: f64,
    pub cancellation_deadline_s: f64,
    /// A gang's task exits if its gang is not complete after so long, s.
    pub gang_start_timeout_s: f64,
    /// A gang's tasks notice the loss of one within so long, s; stops must reach all within it.
    pub gang_loss_detection_s: f64,
    pub store_requests_per_s: f64,
    pub store_writes_per_s: f64,
    pub max_value_bytes: usize,
    pub max_transaction_writes: usize,
    pub cloud_requests_per_s: f64,
    pub cloud_listing_lag_s: f64,
    pub max_sockets: usize,
    pub tuning: Tuning,
}

impl Settings {
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }

    /// Seconds after their submission by which tasks of a class are to be done, as far as that is
    /// promised; each runs for `run` seconds.
    pub fn slo_deadlines(&self, class: &str, run: f64) -> impl Iterator<Item = f64> + '_ {
        let class = class.to_owned();
        let of_class = self.class_slos.iter().filter(move |p| p.class == class);
        of_class.map(move |p| match p.milestone {
            SloMilestone::Start => p.within_s + run,
            SloMilestone::Finish => p.within_s,
        })
    }
}

/// A rate budget that refills steadily.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: u64,
}

impl TokenBucket {
    pub fn new(tokens_per_s: f64, burst: f64) -> TokenBucket {
        TokenBucket {
            tokens_per_s,
            burst,
            tokens: burst,
            refilled_at: 0,
        }
    }

    /// Units a second.
    pub fn tokens_per_s(&self) -> f64 {
        self.tokens_per_s
    }

    pub fn available(&mut self, now: u64) -> f64 {
        let passed = now.saturating_sub(self.refilled_at) as f64 / 1e3;
        self.tokens = (self.tokens + passed * self.tokens_per_s).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
        self.tokens
    }

    pub fn try_take(&mut self, now: u64, n: f64) -> bool {
        let ok = self.available(now) >= n;
        if ok {
            self.tokens -= n;
        }
        ok
    }

    /// For what must go out in any case; later takers wait for it.
    pub fn take_unconditionally(&mut self, now: u64, n: f64) {
        self.available(now);
        self.tokens -= n;
    }

    pub fn set_rate(&mut self, rate: f64, burst: f64) {
        self.tokens_per_s = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }
}
