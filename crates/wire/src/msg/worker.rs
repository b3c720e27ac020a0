//! Messages between workers and the scheduler: heartbeats and commands.
use serde::{Deserialize, Serialize};

/// State of a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Its image is being pulled.
    Fetching,
    /// A task of a gang, waiting for the other tasks of its attempt.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// It is running.
    Running,
    /// It is saving a checkpoint before it ends.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// It has ended; [`TaskStatus::exit_cause`] says why.
    Exited,
    /// A state of a later protocol version; the task is on the machine.
    #[serde(other)]
    Other,
}

/// Why a task has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// It completed.
    Done,
    /// It was stopped.
    Stopped,
    /// It failed.
    Error,
    /// The machine has too little free capacity for it.
    #[serde(rename = "full")]
    NoCapacity,
    /// Another attempt at the same task is still on the machine.
    #[serde(rename = "busy")]
    AttemptConflict,
    /// The machine knows no such task.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// Another task of its gang ended or was lost.
    #[serde(rename = "mates_gone")]
    GangMembersGone,
    /// Not all tasks of its gang started in time.
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// A cause of a later protocol version; treated as a stop.
    #[serde(other)]
    Other,
}

/// The status of one task in a heartbeat.
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
    /// Whether its progress was saved; `None`: the worker does not say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "saved")]
    pub progress_saved: Option<bool>,
}

/// A worker's heartbeat, with the status of its machine and of all tasks there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine id.
    #[serde(rename = "hearth")]
    pub machine_id: String,
    /// IP address and port for direct commands.
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
    /// Incarnation of the worker: starts at 1 and increases each time its lease expires.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Sequence number: of two heartbeats the one with the larger (incarnation, sequence) is newer.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Time until the cloud evicts the spot machine, s; `None`: no notice was given.
    #[serde(rename = "recallS", default, skip_serializing_if = "Option::is_none")]
    pub eviction_in_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "pieces")]
    pub tasks: Vec<TaskStatus>,
}

/// A command on one task.
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
        /// Time for saving a checkpoint before the task is killed, s.
        #[serde(rename = "windDownS")]
        grace_period_s: f64,
    },
    /// Forget an exited task, whose result is stored.
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
    /// Fencing token of the sending leader: its term. Workers refuse lower ones than they have seen.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// The incarnation that the commands are for; only in direct commands.
    #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<u64>,
    /// The commands, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The reply of a controller that is not the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// The leader, where heartbeats belong; `None`: not known.
    #[serde(rename = "steward", default, skip_serializing_if = "Option::is_none")]
    pub target_node: Option<String>,
}
