//! The record of a job.
use serde::{Deserialize, Serialize};
use stonegw_wire::msg::{json_size_bytes, JobSpec};

/// How a job ended; an end is final.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobEnd {
    /// All its tasks are done.
    Done,
    /// A user cancelled it.
    Cancelled,
}

/// A submission and how the job ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Number of its tasks.
    pub tasks: u32,
    /// Time of day of the submission, ms.
    #[serde(rename = "at")]
    pub submitted_at_ms: u64,
    /// What was submitted; it may be omitted once the job has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// How it ended, if it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<JobEnd>,
    /// How long its tasks ran relative to the estimate: a later leader learns from it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "seen")]
    pub observed_run_times: Option<ObservedRunTimes>,
}

impl JobRecord {
    /// The record of a new job.
    pub fn submitted(spec: &JobSpec, submitted_at_ms: u64) -> JobRecord {
        JobRecord {
            tasks: spec.task_count,
            submitted_at_ms,
            spec: Some(spec.clone()),
            end: None,
            observed_run_times: None,
        }
    }

    /// The record of the same job once it is cancelled.
    pub fn cancelled(&self) -> JobRecord {
        JobRecord {
            end: Some(JobEnd::Cancelled),
            ..self.clone()
        }
    }

    /// The record as it is stored: without the spec if the job has ended and the record would be
    /// larger than a value may be.
    pub fn fit_within(self, max_value_bytes: usize) -> JobRecord {
        if self.end.is_some() && json_size_bytes(&self) > max_value_bytes {
            JobRecord { spec: None, ..self }
        } else {
            self
        }
    }
}

/// The observed run times of a finished job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObservedRunTimes {
    /// The job's class: jobs of a class have similar ratios.
    pub class: String,
    /// Mean run time divided by the owner's estimate.
    #[serde(rename = "ratio")]
    pub run_to_estimate_ratio: f64,
}
