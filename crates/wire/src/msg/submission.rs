//! The status of a submitted job, as users see it.
use serde::{Deserialize, Serialize};

/// The state of a job, as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// The job has not ended, and none of its tasks is running at present.
    Queued,
    /// At least one task is running.
    Running,
    /// All tasks have completed.
    Done,
    /// The owner has cancelled the job.
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
    /// Number of completed tasks, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "done")]
    pub tasks_done: Option<u32>,
    /// Number of running tasks, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "running")]
    pub tasks_running: Option<u32>,
}
