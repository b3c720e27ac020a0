//! Messages between workers and the scheduler: reports and commands.
use serde::{Deserialize, Serialize};

/// State of a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Its image is being fetched.
    Fetching,
    /// A gang's task that waits for the other tasks of its attempt.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// It runs.
    Running,
    /// It saves its progress before it ends.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// It has ended; the cause stands beside.
    Exited,
    /// States of later protocol versions; the task is there.
    #[serde(other)]
    Other,
}

/// Why a task has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// It has finished.
    Done,
    /// It was stopped.
    Stopped,
    /// It failed.
    Error,
    /// The machine has no room for it.
    #[serde(rename = "full")]
    NoCapacity,
    /// Another attempt at the same task is still on the machine.
    #[serde(rename = "busy")]
    AttemptConflict,
    /// The machine knows no such task.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// Another task of its gang is gone.
    #[serde(rename = "mates_gone")]
    GangMembersGone,
    /// Its gang was not complete in time.
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// Causes of later protocol versions; treated as a stop.
    #[serde(other)]
    Other,
}

/// One task in a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task id.
    #[serde(rename = "piece")]
    pub task_id: String,
    /// Number of the attempt at the task.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the task.
    #[serde(rename = "phase")]
    pub state: TaskState,
    /// Why it has ended; only if it has.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_cause: Option<ExitCause>,
    /// Whether its progress was saved, if told.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "saved")]
    pub progress_saved: Option<bool>,
}

/// A worker's report on its machine and all tasks there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine id.
    #[serde(rename = "hearth")]
    pub machine_id: String,
    /// IP address and port for commands.
    pub addr: String,
    /// Name of the machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub is_spot: bool,
    /// Number of the worker's session.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Sequence number of the report within the session.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Time until the machine is taken back, s; `None`: no notice was given.
    #[serde(rename = "recallS", default, skip_serializing_if = "Option::is_none")]
    pub eviction_in_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "pieces")]
    pub tasks: Vec<TaskStatus>,
}

/// What a worker is to do with a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    /// Start the task.
    #[serde(rename = "run")]
    Start {
        /// The task id.
        #[serde(rename = "piece")]
        task_id: String,
        /// Number of the attempt at the task.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop the task.
    #[serde(rename = "kill")]
    Stop {
        /// The task id.
        #[serde(rename = "piece")]
        task_id: String,
        /// Number of the attempt at the task.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time for saving before the task is ended, s.
        #[serde(rename = "windDownS")]
        grace_period_s: f64,
    },
    /// Drop the record of an exited task.
    #[serde(rename = "clear")]
    Forget {
        /// The task id.
        #[serde(rename = "piece")]
        task_id: String,
        /// Number of the attempt at the task.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Commands to one worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommandBatch {
    /// Fencing token of the sending leader.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Only in direct commands.
    #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<u64>,
    /// The commands, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The answer of a controller that does not lead.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// Where to report; `None`: not known.
    #[serde(rename = "steward", default, skip_serializing_if = "Option::is_none")]
    pub target_node: Option<String>,
}
