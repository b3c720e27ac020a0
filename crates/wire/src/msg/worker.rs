//! Messages between workers and the scheduler: reports and commands.
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    Fetching,
    /// A gang's task that waits for the other tasks of its attempt.
    Gathering,
    Running,
    #[serde(rename = "flushing")]
    Saving,
    Exited,
    /// States of later protocol versions; the task is there.
    #[serde(other)]
    Other,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    Done,
    Stopped,
    Error,
    #[serde(rename = "full")]
    NoRoom,
    Busy,
    #[serde(rename = "no_such")]
    Unknown,
    /// Another task of its gang is gone.
    #[serde(rename = "mates_gone")]
    PeersGone,
    /// Its gang was not complete in time.
    Incomplete,
    /// Causes of later protocol versions; treated as a stop.
    #[serde(other)]
    Other,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    #[serde(rename = "piece")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "phase")]
    pub state: TaskState,
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<ExitCause>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    #[serde(rename = "hearth")]
    pub machine: String,
    pub addr: String,
    #[serde(rename = "build")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "tenure")]
    pub session: u64,
    #[serde(rename = "tally")]
    pub seq: u64,
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "recallS", default, skip_serializing_if = "Option::is_none")]
    pub notice_s: Option<f64>,
    #[serde(rename = "pieces")]
    pub tasks: Vec<TaskReport>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    #[serde(rename = "run")]
    Start {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    #[serde(rename = "kill")]
    Stop {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    #[serde(rename = "clear")]
    Forget {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    #[serde(rename = "baton")]
    pub token: u64,
    /// Only in direct commands.
    #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
    pub session: Option<u64>,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportTo {
    #[serde(rename = "steward", default, skip_serializing_if = "Option::is_none")]
    pub node: Option<String>,
}
