//! The record of a job.
use serde::{Deserialize, Serialize};
use stonegw_wire::msg::{json_size_bytes, JobSpec};

/// How a job ended. An end is final.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobEnd {
    /// All tasks of the job are done.
    Done,
    /// A user cancelled the job.
    Cancelled,
}

/// The record of a job: what was submitted and how the job ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Number of tasks of the job.
    pub tasks: u32,
    /// Time of day of the submission, ms.
    #[serde(rename = "at")]
    pub submitted_at_ms: u64,
    /// The submitted spec. It may be omitted once the job has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// How the job ended, if it has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<JobEnd>,
    /// How long the job's tasks ran relative to the estimate. A later leader uses this ratio to
    /// correct the estimates of other jobs of the class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "seen")]
    pub observed_run_times: Option<ObservedRunTimes>,
}

impl JobRecord {
    /// Returns the record of a new job.
    pub fn submitted(spec: &JobSpec, submitted_at_ms: u64) -> JobRecord {
        JobRecord {
            tasks: spec.task_count,
            submitted_at_ms,
            spec: Some(spec.clone()),
            end: None,
            observed_run_times: None,
        }
    }

    /// Returns the record of the same job after its cancellation.
    pub fn cancelled(&self) -> JobRecord {
        JobRecord {
            end: Some(JobEnd::Cancelled),
            ..self.clone()
        }
    }

    /// Returns the record as it is stored: without the spec if the job has ended and the record
    /// would otherwise exceed `max_value_bytes` bytes of JSON.
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
    /// The job's class. Jobs of a class have similar ratios.
    pub class: String,
    /// The mean run time divided by the owner's estimate.
    #[serde(rename = "ratio")]
    pub run_to_estimate_ratio: f64,
}
