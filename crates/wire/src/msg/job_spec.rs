//! A job as submitted, and the checks on it.
use super::encoding::{decode, json_size_bytes, DecodeError};
use serde::{Deserialize, Serialize};
use thiserror::Error;

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
    /// The default of most jobs.
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

/// Digits of a job id at most: ids are kept in fixed-size fields of frames between controllers.
const MAX_JOB_ID_DIGITS: usize = 20;
/// Bytes of a class, team or image name at most.
const MAX_NAME_BYTES: usize = 200;
/// Largest size or time in a submission: far above any real one, and exact as a float.
const MAX_NUMBER: f64 = 1e9;
/// Machine types that a submission may list.
const MAX_MACHINE_TYPES: usize = 64;
/// Bytes of JSON that a submission may take, so that its record fits one value of the store.
const MAX_JOB_SPEC_BYTES: usize = 6 * 1024;

/// Whether this is a job id: `run-` and digits.
pub fn is_job_id(id: &str) -> bool {
    let Some(number) = id.strip_prefix("run-") else {
        return false;
    };
    !number.is_empty()
        && number.len() <= MAX_JOB_ID_DIGITS
        && number.bytes().all(|byte| byte.is_ascii_digit())
}

/// Why a submission is refused. The text names the field as it is called on the wire; it goes out
/// in the body of the 400 response.
#[derive(Debug, Error)]
pub enum JobSpecError {
    /// The body is not a submission.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// The job id has another form.
    #[error("uid: must be run- and digits")]
    InvalidId,
    /// A name is empty or too long.
    #[error("{field}: must be 1 to {MAX_NAME_BYTES} bytes")]
    InvalidNameLength {
        /// The field on the wire.
        field: &'static str,
    },
    /// The number of tasks is out of range.
    #[error("pieces: must be 1 to {MAX_TASKS}")]
    InvalidTaskCount,
    /// A size or time is out of range.
    #[error("{field}: must be a number from 0 to 1e9")]
    NumberOutOfRange {
        /// The field on the wire.
        field: &'static str,
    },
    /// The submission as a whole is too large to store.
    #[error("too large")]
    TooLarge,
}

impl JobSpec {
    /// Decodes and checks a submission.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong, with the name of the field on the wire.
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
