//! Tasks on a worker, and their ids.
use super::parameters::Ms;
use std::fmt;
use stonegw_wire::msg::{ExitCause, TaskState};

/// The id of one run of a gang.
pub type GangRunId = u64;

/// One attempt of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskKey {
    /// The task's id, `JOB/INDEX`.
    pub task_id: String,
    /// The number of the attempt.
    pub attempt: u64,
}

impl TaskKey {
    /// Creates the key of an attempt of a task.
    pub fn new(task_id: &str, attempt: u64) -> TaskKey {
        TaskKey {
            task_id: task_id.to_owned(),
            attempt,
        }
    }

    /// Returns the id of the task's job.
    pub fn job_id(&self) -> &str {
        job_id_of(&self.task_id)
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}#{}", self.task_id, self.attempt)
    }
}

/// Splits a task's id into the job's id and the task's index.
pub fn parse_task_id(task_id: &str) -> (&str, u32) {
    let (job_id, index) = task_id.split_once('/').expect("a task id is JOB/INDEX");
    (job_id, index.parse().expect("a task index is a number"))
}

/// Returns the job's id from a task's id.
pub fn job_id_of(task_id: &str) -> &str {
    task_id.split('/').next().unwrap_or("")
}

/// An attempt of a task that a worker knows; it may have exited.
#[derive(Clone, Debug)]
pub struct Task {
    /// The state that heartbeats report.
    pub state: TaskState,
    /// The cause of its exit, if it has exited.
    pub exit_cause: Option<ExitCause>,
    /// Whether a gang's task that was stopped had saved its progress; `None` for tasks that were
    /// not stopped and for jobs without checkpoints.
    pub progress_saved: Option<bool>,
    /// The run of its gang that it takes part in, once the gang has started.
    pub gang_run_id: Option<GangRunId>,
    /// When its current state ends if no command changes it before.
    pub state_ends_at: Ms,
}

impl Task {
    /// Creates a task in a state that ends at `state_ends_at`.
    pub fn new(state: TaskState, state_ends_at: Ms) -> Task {
        Task {
            state,
            exit_cause: None,
            progress_saved: None,
            gang_run_id: None,
            state_ends_at,
        }
    }

    /// Creates a task whose start the worker rejected.
    pub fn rejected(cause: ExitCause) -> Task {
        let mut task = Task::new(TaskState::Exited, Ms::MAX);
        task.exit_cause = Some(cause);
        task
    }

    /// Makes the task exit.
    pub fn exit(&mut self, cause: ExitCause) {
        self.state = TaskState::Exited;
        self.exit_cause = Some(cause);
        self.state_ends_at = Ms::MAX;
    }

    /// Returns whether the task has its image and has not exited.
    pub fn is_on_machine(&self) -> bool {
        matches!(
            self.state,
            TaskState::WaitingForGang | TaskState::Running | TaskState::Checkpointing
        )
    }

    /// Returns whether the task has not exited; it then occupies capacity of its machine.
    pub fn is_present(&self) -> bool {
        self.state != TaskState::Exited
    }

    /// Returns whether the task's state can end without a command: it fetches its image, waits for
    /// its gang or runs.
    pub(crate) fn has_timed_state(&self) -> bool {
        matches!(
            self.state,
            TaskState::Fetching | TaskState::WaitingForGang | TaskState::Running
        )
    }
}
