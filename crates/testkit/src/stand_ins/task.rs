//! Tasks on a worker and their names.
use super::parameters::Ms;
use std::fmt;
use stonegw_wire::msg::{ExitCause, TaskState};

/// The number of one run of a gang.
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
    /// The key of that attempt of a task.
    pub fn new(task_id: &str, attempt: u64) -> TaskKey {
        TaskKey {
            task_id: task_id.to_owned(),
            attempt,
        }
    }

    /// The id of the task's job.
    pub fn job_id(&self) -> &str {
        job_id_of(&self.task_id)
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}#{}", self.task_id, self.attempt)
    }
}

/// The job and the index of a task.
pub fn parse_task_id(task_id: &str) -> (&str, u32) {
    let (job_id, index) = task_id.split_once('/').expect("task id");
    (job_id, index.parse().expect("task index"))
}

/// The job of a task.
pub fn job_id_of(task_id: &str) -> &str {
    task_id.split('/').next().unwrap_or("")
}

/// An attempt of a task on a worker, also one that has exited.
#[derive(Clone, Debug)]
pub struct Task {
    /// Its state, as heartbeats carry it.
    pub state: TaskState,
    /// Why it exited, if it has.
    pub exit_cause: Option<ExitCause>,
    /// Whether its progress was saved when it was stopped; none if it never saves.
    pub progress_saved: Option<bool>,
    /// The run of its gang that it is part of, once that has started.
    pub gang_run_id: Option<GangRunId>,
    /// When its state ends by itself.
    pub state_ends_at: Ms,
}

impl Task {
    /// A task in that state, which ends by itself at that time.
    pub fn new(state: TaskState, state_ends_at: Ms) -> Task {
        Task {
            state,
            exit_cause: None,
            progress_saved: None,
            gang_run_id: None,
            state_ends_at,
        }
    }

    /// A task whose start the worker rejects.
    pub fn rejected(cause: ExitCause) -> Task {
        let mut task = Task::new(TaskState::Exited, Ms::MAX);
        task.exit_cause = Some(cause);
        task
    }

    /// Ends the task.
    pub fn exit(&mut self, cause: ExitCause) {
        self.state = TaskState::Exited;
        self.exit_cause = Some(cause);
        self.state_ends_at = Ms::MAX;
    }

    /// Whether it has its image and has not exited.
    pub fn is_on_machine(&self) -> bool {
        matches!(
            self.state,
            TaskState::WaitingForGang | TaskState::Running | TaskState::Checkpointing
        )
    }

    /// Whether it takes capacity of its machine.
    pub fn is_present(&self) -> bool {
        self.state != TaskState::Exited
    }

    /// Whether its state ends by itself: it fetches, waits for its gang or runs.
    pub(crate) fn has_timed_state(&self) -> bool {
        matches!(
            self.state,
            TaskState::Fetching | TaskState::WaitingForGang | TaskState::Running
        )
    }
}
