//! The specification of a job in a submission, and its validation.
use super::encoding::{decode, json_size_bytes, DecodeError};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The kind of a job, which determines how its tasks run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks that each run to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Tasks that run all at the same time or not at all.
    #[serde(rename = "ensemble")]
    Gang,
    /// Tasks that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// The priority of a job. The order is from the lowest to the highest priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Lower than the usual priority.
    #[serde(rename = "low")]
    Low,
    /// The usual priority, which most jobs have.
    #[serde(rename = "normal")]
    Normal,
    /// Higher than the usual priority.
    #[serde(rename = "high")]
    High,
    /// The highest priority.
    #[serde(rename = "prod")]
    Production,
}

/// The specification of a job, as submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job id: `run-` followed by digits.
    #[serde(rename = "uid")]
    pub id: String,
    /// Class of work that the job belongs to.
    #[serde(rename = "lane")]
    pub class: String,
    /// Name of the team that owns the job.
    #[serde(rename = "crew")]
    pub team: String,
    /// Kind of the job.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority of the job.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks, 1 to [`MAX_TASKS`].
    #[serde(rename = "pieces")]
    pub task_count: u32,
    /// Number of CPUs per task.
    pub cpus: f64,
    /// Number of GPUs per task.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory per task in GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Name of the image that the tasks run.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image in GB.
    #[serde(rename = "pullGb")]
    pub image_size_gb: f64,
    /// Machine types that the job may run on; `None` allows any type.
    #[serde(rename = "builds", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// Zone that the job must run in; `None` allows any zone.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks of the job must run in the same zone.
    #[serde(rename = "oneZone")]
    pub requires_single_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in the same zone.
    #[serde(rename = "spread")]
    pub spreads_across_zones: bool,
    /// Whether the job may run on spot machines.
    #[serde(rename = "loaners")]
    pub allows_spot: bool,
    /// The owner's estimate of a task's run time in seconds.
    #[serde(rename = "expectS")]
    pub estimated_run_time_s: f64,
    /// Time between two checkpoints in seconds; 0 if the tasks save no checkpoints.
    #[serde(rename = "markEveryS")]
    pub checkpoint_interval_s: f64,
    /// Time that saving a checkpoint takes, in seconds.
    #[serde(rename = "markCostS")]
    pub checkpoint_duration_s: f64,
    /// Deadline in seconds from the submission; `None` if the job has no deadline.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// Maximum number of tasks of a job, set by the protocol.
pub const MAX_TASKS: u32 = 100_000;

/// Maximum number of digits in a job id: frames between controllers hold ids in fields of fixed
/// size.
const MAX_JOB_ID_DIGITS: usize = 20;
/// Maximum length of a class, team or image name in bytes.
const MAX_NAME_BYTES: usize = 200;
/// Maximum of any size or time in a submission: far above real values, and exact as a float.
const MAX_NUMBER: f64 = 1e9;
/// Maximum number of machine types that a submission may list.
const MAX_MACHINE_TYPES: usize = 64;
/// Maximum size of a submission as JSON in bytes, so that its record fits into one value of the
/// store.
const MAX_JOB_SPEC_BYTES: usize = 6 * 1024;

/// Returns `true` if the text is a valid job id: `run-` followed by digits.
pub fn is_job_id(id: &str) -> bool {
    let Some(number) = id.strip_prefix("run-") else {
        return false;
    };
    !number.is_empty()
        && number.len() <= MAX_JOB_ID_DIGITS
        && number.bytes().all(|byte| byte.is_ascii_digit())
}

/// The reason for rejecting a submission. The text names the field as on the wire and is sent in
/// the body of the 400 response.
#[derive(Debug, Error)]
pub enum JobSpecError {
    /// The body cannot be decoded as a submission.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// The job id does not consist of `run-` and digits, or has too many digits.
    #[error("uid: must be run- and digits")]
    InvalidId,
    /// A name is empty or too long.
    #[error("{field}: must be 1 to {MAX_NAME_BYTES} bytes")]
    InvalidNameLength {
        /// Name of the field on the wire.
        field: &'static str,
    },
    /// The number of tasks is out of range.
    #[error("pieces: must be 1 to {MAX_TASKS}")]
    InvalidTaskCount,
    /// A size or time is out of range.
    #[error("{field}: must be a number from 0 to 1e9")]
    NumberOutOfRange {
        /// Name of the field on the wire.
        field: &'static str,
    },
    /// The submission as a whole is too large to store.
    #[error("too large")]
    TooLarge,
}

impl JobSpec {
    /// Decodes and validates a submission.
    ///
    /// # Errors
    ///
    /// Returns the first error that is found. If a single field is invalid, the text gives its name
    /// on the wire.
    pub fn parse(body: &[u8]) -> Result<JobSpec, JobSpecError> {
        let spec: JobSpec = decode(body)?;
        spec.validate()?;
        Ok(spec)
    }

    fn validate(&self) -> Result<(), JobSpecError> {
        if !is_job_id(&self.id) {
            return Err(JobSpecError::InvalidId);
        }
        self.validate_names()?;
        if self.task_count == 0 || self.task_count > MAX_TASKS {
            return Err(JobSpecError::InvalidTaskCount);
        }
        self.validate_numbers()?;
        self.validate_size()
    }

    fn validate_names(&self) -> Result<(), JobSpecError> {
        let names = [
            ("lane", &self.class),
            ("crew", &self.team),
            ("bundle", &self.image),
        ];
        for (field, name) in names {
            if name.is_empty() || name.len() > MAX_NAME_BYTES {
                return Err(JobSpecError::InvalidNameLength { field });
            }
        }
        Ok(())
    }

    fn validate_numbers(&self) -> Result<(), JobSpecError> {
        let numbers = [
            ("cpus", self.cpus),
            ("cards", self.gpus),
            ("memGb", self.memory_gb),
            ("pullGb", self.image_size_gb),
            ("expectS", self.estimated_run_time_s),
            ("markEveryS", self.checkpoint_interval_s),
            ("markCostS", self.checkpoint_duration_s),
            ("dueS", self.deadline_s.unwrap_or(0.0)),
        ];
        for (field, number) in numbers {
            // Neither NaN nor an infinity is in the range.
            if !(0.0..=MAX_NUMBER).contains(&number) {
                return Err(JobSpecError::NumberOutOfRange { field });
            }
        }
        Ok(())
    }

    fn validate_size(&self) -> Result<(), JobSpecError> {
        let machine_types = self.machine_types.as_ref().map_or(0, Vec::len);
        if machine_types > MAX_MACHINE_TYPES || json_size_bytes(self) > MAX_JOB_SPEC_BYTES {
            return Err(JobSpecError::TooLarge);
        }
        Ok(())
    }
}
