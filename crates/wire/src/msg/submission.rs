//! Status of a submitted job as users see it.
use serde::{Deserialize, Serialize};

/// State of a job as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// The job has not ended, and no task of it runs at present.
    Queued,
    /// At least one task runs.
    Running,
    /// All tasks are done.
    Done,
    /// Cancelled by its owner.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// The response to a status query for a job.
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
