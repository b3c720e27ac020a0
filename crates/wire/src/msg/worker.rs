//! Messages between workers and the scheduler: heartbeats and commands.
use serde::{Deserialize, Serialize};

/// The state of a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// The image of the task is being pulled.
    Fetching,
    /// The task belongs to a gang and waits for the other tasks of the same attempt.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// The task is running.
    Running,
    /// The task is saving a checkpoint before it ends.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// The task has ended; [`TaskStatus::exit_cause`] gives the reason.
    Exited,
    /// A state that only later protocol versions define. The task is on the machine.
    #[serde(other)]
    Other,
}

/// The reason why a task has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// The task completed.
    Done,
    /// The task was stopped.
    Stopped,
    /// The task failed.
    Error,
    /// The machine has too little free capacity for the task.
    #[serde(rename = "full")]
    NoCapacity,
    /// Another attempt at the same task is still on the machine.
    #[serde(rename = "busy")]
    AttemptConflict,
    /// The machine knows no such task.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// Another task of the same gang ended or was lost.
    #[serde(rename = "mates_gone")]
    GangMembersGone,
    /// Not all tasks of the gang started in time.
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// A cause that only later protocol versions define; it is treated like a stop.
    #[serde(other)]
    Other,
}

/// The status of one task in a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task id.
    #[serde(rename = "piece")]
    pub task_id: String,
    /// Number of the attempt to run the task.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the task.
    #[serde(rename = "phase")]
    pub state: TaskState,
    /// The reason why the task has ended; `None` if it has not ended.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_cause: Option<ExitCause>,
    /// Whether the progress of the task was saved; `None` if the worker does not report it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "saved")]
    pub progress_saved: Option<bool>,
}

/// A worker's heartbeat, which reports the status of its machine and of all tasks on it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine id.
    #[serde(rename = "hearth")]
    pub machine_id: String,
    /// IP address and port at which the worker accepts direct commands.
    pub addr: String,
    /// Name of the machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machine is a spot machine.
    #[serde(rename = "loaners")]
    pub is_spot: bool,
    /// Incarnation of the worker, which starts at 1 and increases each time the worker's lease
    /// expires.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Sequence number. Of two heartbeats of one process, the one with the larger (incarnation,
    /// sequence) is newer.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has received.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Time until the cloud evicts the spot machine, in seconds; `None` without an eviction notice.
    #[serde(rename = "recallS", default, skip_serializing_if = "Option::is_none")]
    pub eviction_in_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "pieces")]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker that concerns one task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    /// Starts the task.
    #[serde(rename = "run")]
    Start {
        /// The task id.
        #[serde(rename = "piece")]
        task_id: String,
        /// Number of the attempt to run the task.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops the task.
    #[serde(rename = "kill")]
    Stop {
        /// The task id.
        #[serde(rename = "piece")]
        task_id: String,
        /// Number of the attempt to run the task.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time that the task gets to save a checkpoint before it is killed, in seconds.
        #[serde(rename = "windDownS")]
        grace_period_s: f64,
    },
    /// Lets the worker forget an exited task, because its result is stored.
    #[serde(rename = "clear")]
    Forget {
        /// The task id.
        #[serde(rename = "piece")]
        task_id: String,
        /// Number of the attempt to run the task.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Commands to one worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommandBatch {
    /// Fencing token: the sending leader's term, or a later revision of the key-value store before
    /// the next leader's term. Workers reject a token that is lower than the highest that they have
    /// received.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Incarnation of the worker that the commands are for; set only in direct commands.
    #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<u64>,
    /// The commands in the order of their execution.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The reply of a controller that is not the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// The leader's node, to which the worker should send its heartbeats; `None` if it is not
    /// known.
    #[serde(rename = "steward", default, skip_serializing_if = "Option::is_none")]
    pub target_node: Option<String>,
}
