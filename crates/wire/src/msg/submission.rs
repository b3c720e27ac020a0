//! Messages between users and the scheduler: jobs and their status.
use super::encoding::{decode, json_len};
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    #[serde(rename = "sweep")]
    Array,
    /// Tasks that all run at the same time, or none does.
    #[serde(rename = "ensemble")]
    Gang,
    #[serde(rename = "standing")]
    Service,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "low")]
    Low,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "prod")]
    Production,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "uid")]
    pub id: String,
    #[serde(rename = "lane")]
    pub class: String,
    #[serde(rename = "crew")]
    pub team: String,
    #[serde(rename = "shape")]
    pub kind: JobKind,
    #[serde(rename = "urgency")]
    pub priority: Priority,
    #[serde(rename = "pieces")]
    pub tasks: u32,
    pub cpus: f64,
    #[serde(rename = "cards")]
    pub gpus: f64,
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    #[serde(rename = "bundle")]
    pub image: String,
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    #[serde(rename = "builds", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(rename = "oneZone")]
    pub one_zone: bool,
    pub spread: bool,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "expectS")]
    pub estimate_s: f64,
    #[serde(rename = "markEveryS")]
    pub checkpoint_s: f64,
    #[serde(rename = "markCostS")]
    pub save_s: f64,
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
    pub fn parse(body: &[u8]) -> Result<JobSpec, String> {
        let spec: JobSpec = decode(body)?;
        spec.check()?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), String> {
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
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(format!("pieces: must be 1 to {MAX_TASKS}"));
        }
        for (name, n) in [
            ("cpus", self.cpus),
            ("cards", self.gpus),
            ("memGb", self.memory_gb),
            ("pullGb", self.image_gb),
            ("expectS", self.estimate_s),
            ("markEveryS", self.checkpoint_s),
            ("markCostS", self.save_s),
            ("dueS", self.deadline_s.unwrap_or(0.0)),
        ] {
            if !n.is_finite() || !(0.0..=1e9).contains(&n) {
                return Err(format!("{name}: must be a number from 0 to 1e9"));
            }
        }
        if self.types.as_ref().is_some_and(|t| t.len() > 64) || json_len(self) > 6 * 1024 {
            return Err("too large".into());
        }
        Ok(())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    Queued,
    Running,
    Done,
    #[serde(rename = "withdrawn")]
    Cancelled,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    #[serde(rename = "uid")]
    pub id: String,
    #[serde(rename = "phase")]
    pub state: JobPhase,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}
