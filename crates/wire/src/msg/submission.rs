//! Messages between users and the scheduler: jobs and their status.
use super::encoding::{decode, json_size_bytes};
use serde::{Deserialize, Serialize};

/// How the tasks of a job belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks that each run to their end.
    #[serde(rename = "sweep")]
    Array,
    /// Tasks that all run at the same time, or none does.
    #[serde(rename = "ensemble")]
    Gang,
    /// Tasks that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority of a job, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Below normal.
    #[serde(rename = "low")]
    Low,
    /// The usual priority.
    #[serde(rename = "normal")]
    Normal,
    /// Above normal.
    #[serde(rename = "high")]
    High,
    /// The highest priority.
    #[serde(rename = "prod")]
    Production,
}

/// A job as submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Job id: `run-` and digits.
    #[serde(rename = "uid")]
    pub id: String,
    /// Class of work that the job belongs to.
    #[serde(rename = "lane")]
    pub class: String,
    /// Team that the job belongs to.
    #[serde(rename = "crew")]
    pub team: String,
    /// How its tasks belong together.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Its priority.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks, 1 to [`MAX_TASKS`].
    #[serde(rename = "pieces")]
    pub task_count: u32,
    /// CPUs per task.
    pub cpus: f64,
    /// GPUs per task.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory per task, GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Image that the tasks run.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image, GB.
    #[serde(rename = "pullGb")]
    pub image_size_gb: f64,
    /// Machine types that it may run on; `None`: any.
    #[serde(rename = "builds", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// Zone that it must run in; `None`: any.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all its tasks must run in the same zone.
    #[serde(rename = "oneZone")]
    pub requires_single_zone: bool,
    /// Whether at most half of its tasks, rounded up, may run in the same zone.
    #[serde(rename = "spread")]
    pub spreads_across_zones: bool,
    /// Whether it may run on spot machines.
    #[serde(rename = "loaners")]
    pub allows_spot: bool,
    /// The owner's estimate of a task's run time, s.
    #[serde(rename = "expectS")]
    pub estimated_run_time_s: f64,
    /// Time between two checkpoints, s; 0: it saves none.
    #[serde(rename = "markEveryS")]
    pub checkpoint_interval_s: f64,
    /// Time that a checkpoint takes, s.
    #[serde(rename = "markCostS")]
    pub checkpoint_duration_s: f64,
    /// Deadline, in seconds from submission; `None`: there is none.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// Most tasks of a job (the protocol's limit).
pub const MAX_TASKS: u32 = 100_000;

/// Job ids are always `run-` and digits.
pub fn is_job_id(id: &str) -> bool {
    match id.strip_prefix("run-") {
        Some(n) => !n.is_empty() && n.len() <= 20 && n.bytes().all(|b| b.is_ascii_digit()),
        None => false,
    }
}

impl JobSpec {
    /// Decodes and checks a submission. The error names the field on the wire.
    pub fn parse(body: &[u8]) -> Result<JobSpec, String> {
        let spec: JobSpec = decode(body)?;
        spec.validate()?;
        Ok(spec)
    }

    fn validate(&self) -> Result<(), String> {
        if !is_job_id(&self.id) {
            return Err("uid: must be run- and digits".into());
        }
        for (name, text) in [
            ("lane", &self.class),
            ("crew", &self.team),
            ("bundle", &self.image),
        ] {
            if text.is_empty() || text.len() > 200 {
                return Err(format!("{name}: must be 1 to 200 bytes"));
            }
        }
        if self.task_count == 0 || self.task_count > MAX_TASKS {
            return Err(format!("pieces: must be 1 to {MAX_TASKS}"));
        }
        for (name, n) in [
            ("cpus", self.cpus),
            ("cards", self.gpus),
            ("memGb", self.memory_gb),
            ("pullGb", self.image_size_gb),
            ("expectS", self.estimated_run_time_s),
            ("markEveryS", self.checkpoint_interval_s),
            ("markCostS", self.checkpoint_duration_s),
            ("dueS", self.deadline_s.unwrap_or(0.0)),
        ] {
            if !n.is_finite() || !(0.0..=1e9).contains(&n) {
                return Err(format!("{name}: must be a number from 0 to 1e9"));
            }
        }
        if self.machine_types.as_ref().is_some_and(|t| t.len() > 64)
            || json_size_bytes(self) > 6 * 1024
        {
            return Err("too large".into());
        }
        Ok(())
    }
}

/// State of a job as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// It has not ended, and no task runs at present.
    Queued,
    /// At least one task runs.
    Running,
    /// All tasks are done.
    Done,
    /// Cancelled by its owner.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// The answer to a question about a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job id.
    #[serde(rename = "uid")]
    pub id: String,
    /// State of the job.
    #[serde(rename = "phase")]
    pub phase: JobPhase,
    /// Number of tasks done, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "done")]
    pub tasks_done: Option<u32>,
    /// Number of tasks running, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "running")]
    pub tasks_running: Option<u32>,
}
