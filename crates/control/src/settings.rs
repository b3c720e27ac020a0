//! The settings as the core uses them; the daemon reads and checks the files.
use stonegw_constants as k;

/// A team's guarantee and limits. A guest has neither: no guarantee, and limits that are infinite.
#[derive(Clone, Debug)]
pub struct Team {
    /// Its name in submissions.
    pub name: String,
    /// CPUs it is guaranteed.
    pub cpus: f64,
    /// CPUs its tasks may use at any time.
    pub cpus_max: f64,
    /// Cards it is guaranteed.
    pub gpus: f64,
    /// Cards its tasks may use at any time.
    pub gpus_max: f64,
}

/// What is promised of a class besides its jobs' own deadlines: its arrays start, or are done, within
/// so long.
#[derive(Clone, Debug)]
pub struct Promise {
    pub class: String,
    pub what: Promised,
    pub within_s: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Promised {
    Start,
    Finish,
}

/// What an operator may tune (the HCL file); the defaults stand in the constants.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// Tasks of the usual urgent size kept free.
    pub spare_tasks: f64,
    /// Boot times that an idle machine is kept.
    pub idle_boots: f64,
    /// Part of the time to a deadline the fleet is sized for.
    pub slack_use: f64,
    /// Part of the room that arriving deadline work takes, as of late, that is kept for it.
    pub inflow_use: f64,
    /// ms the leader key outlives its last renewal.
    pub leader_ttl_ms: u64,
    /// ms between mappings.
    pub map_ms: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            spare_tasks: k::SPARE_TASKS,
            idle_boots: k::IDLE_BOOTS,
            slack_use: k::SLACK_USE,
            inflow_use: k::INFLOW_USE,
            leader_ttl_ms: k::LEADER_TTL_MS,
            map_ms: k::MAP_MS,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub node: String,
    pub zone: String,
    pub peers: Vec<String>,
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    pub promises: Vec<Promise>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    /// A gang's task exits if its gang is not complete after so long, s.
    pub gang_wait_s: f64,
    /// A gang's tasks notice the loss of one within so long, s; stops must reach all within it.
    pub gang_peer_s: f64,
    pub state_rps: f64,
    pub state_write_rps: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub max_sockets: usize,
    pub tuning: Tuning,
}

impl Settings {
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }

    /// Seconds after their submission by which tasks of a class are to be done, as far as that is
    /// promised; each runs for `run` seconds.
    pub fn promised(&self, class: &str, run: f64) -> impl Iterator<Item = f64> + '_ {
        let class = class.to_owned();
        let of_class = self.promises.iter().filter(move |p| p.class == class);
        of_class.map(move |p| match p.what {
            Promised::Start => p.within_s + run,
            Promised::Finish => p.within_s,
        })
    }
}

/// A rate budget that refills steadily.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: u64,
}

impl Bucket {
    pub fn new(rate: f64, burst: f64) -> Bucket {
        Bucket {
            rate,
            burst,
            level: burst,
            at: 0,
        }
    }

    /// Units a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    pub fn level(&mut self, now: u64) -> f64 {
        let passed = now.saturating_sub(self.at) as f64 / 1e3;
        self.level = (self.level + passed * self.rate).min(self.burst);
        self.at = self.at.max(now);
        self.level
    }

    pub fn take(&mut self, now: u64, n: f64) -> bool {
        let ok = self.level(now) >= n;
        if ok {
            self.level -= n;
        }
        ok
    }

    /// For what must go out in any case; later takers wait for it.
    pub fn force(&mut self, now: u64, n: f64) {
        self.level(now);
        self.level -= n;
    }

    pub fn set_rate(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }
}
