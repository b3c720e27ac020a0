//! What stands in the state service.
//!
//! | key | written by | holds |
//! | --- | --- | --- |
//! | `c/leader` | whoever is elected, under its lease | name, nonce and lease; its stamp is the term |
//! | `c/j/<job>` | any node | the submission and how it ended |
//! | `c/r/<node>/<slot>` | a node that can't reach the leader | machines' reports, handed on |
//! | `d/<job>/<chunk>` | the leader | finished tasks of one chunk, as a bitmap |
//! | `m/<number>` | the leader | what may be on a group of machines |
//! | `v/<node>` | that node | the release that it runs; earlier releases never read it |
use base64::{engine::general_purpose::STANDARD_NO_PAD, Engine};
use serde::{Deserialize, Serialize};
use stonegw_wire::msg::{json_len, JobSpec, Report};

pub const COMMON: &str = "c/";
pub const LEADER: &str = "c/leader";
pub const JOBS: &str = "c/j/";
pub const FAR: &str = "c/r/";
pub const DONE: &str = "d/";
pub const MACHINES: &str = "m/";
pub const RELEASES: &str = "v/";

pub fn job_key(job: &str) -> String {
    format!("{JOBS}{job}")
}
pub fn done_key(job: &str, chunk: u32) -> String {
    format!("{DONE}{job}/{chunk}")
}
pub fn far_key(node: &str, slot: usize) -> String {
    format!("{FAR}{node}/{slot}")
}
pub fn shard_key(shard: u32) -> String {
    format!("{MACHINES}{shard}")
}

pub fn release_key(node: &str) -> String {
    format!("{RELEASES}{node}")
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    Done,
    Cancelled,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub tasks: u32,
    /// Time of day of the submission, ms.
    pub at: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<End>,
    /// How long its tasks ran against the estimate: a later leader learns from it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seen: Option<Seen>,
}

impl JobRecord {
    pub fn submitted(spec: &JobSpec, at: u64) -> JobRecord {
        JobRecord {
            tasks: spec.tasks,
            at,
            spec: Some(spec.clone()),
            end: None,
            seen: None,
        }
    }

    pub fn cancelled(&self) -> JobRecord {
        JobRecord {
            end: Some(End::Cancelled),
            ..self.clone()
        }
    }

    /// The record as it is stored: without the description of a job that has ended, if it would be larger
    /// than a value may be.
    pub fn within(self, value_bytes: usize) -> JobRecord {
        if self.end.is_some() && json_len(&self) > value_bytes {
            JobRecord { spec: None, ..self }
        } else {
            self
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    pub class: String,
    pub ratio: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub node: String,
    /// Tells this process from earlier ones of the same name.
    pub nonce: u64,
    pub lease: u64,
}

/// Anything under `c/`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Common {
    Job(Box<JobRecord>),
    Leader(LeaderRecord),
    Far(Box<FarRecord>),
}

/// Workers' reports on their way to a leader that their node can't reach: many in one record,
/// since a cut may part a hundred machines from the leader and changes are scarce.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FarRecord {
    pub via: String,
    pub reports: Vec<Report>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DoneRecord {
    pub bits: String,
    /// Runs observed in the whole job and their mean, s: a new leader goes on from them.
    #[serde(default)]
    pub runs: u32,
    #[serde(default)]
    pub run_s: f64,
}

/// What may be on a group of machines: one record for many, since changes a second are scarce.
/// Self-contained, so that a new leader can count it whatever became of the jobs. Rows instead
/// of named fields keep it short.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShardRecord {
    pub teams: Vec<String>,
    pub jobs: Vec<JobRow>,
    pub machines: Vec<MachineRow>,
}

/// Job, its team's place in `teams`, and what a task takes: CPUs, cards, GB.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRow(pub String, pub usize, pub f64, pub f64, pub f64);

/// Machine, type, zone, whether it is spot, and its tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRow(
    pub String,
    pub String,
    pub String,
    pub bool,
    pub Vec<TaskRow>,
);

/// The job's place in `jobs`, the task's number, the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskRow(pub usize, pub u32, pub u64);

/// The release that a node runs. Later releases must keep this field: nodes of this one read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRecord {
    pub release: u64,
}
/// The name of that field.
pub const RELEASE_FIELD: &str = "release";

/// Anything that is written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    Leader(LeaderRecord),
    Job(Box<JobRecord>),
    Shard(ShardRecord),
    Done(DoneRecord),
    Far(Box<FarRecord>),
    Release(ReleaseRecord),
}

/// Which tasks are done.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bitmap(Vec<u8>);

impl Bitmap {
    pub fn get(&self, n: u32) -> bool {
        self.0
            .get(n as usize / 8)
            .is_some_and(|b| b & (1 << (n % 8)) != 0)
    }

    /// True if it was not set before.
    pub fn set(&mut self, n: u32) -> bool {
        let at = n as usize / 8;
        if self.0.len() <= at {
            self.0.resize(at + 1, 0);
        }
        let new = self.0[at] & (1 << (n % 8)) == 0;
        self.0[at] |= 1 << (n % 8);
        new
    }

    /// The part from task `first`, `tasks` long (both multiples of 8 but the last).
    pub fn encode(&self, first: u32, tasks: u32) -> String {
        let from = (first as usize / 8).min(self.0.len());
        let to = (first as usize + tasks as usize)
            .div_ceil(8)
            .min(self.0.len());
        STANDARD_NO_PAD.encode(&self.0[from..to])
    }

    pub fn merge(&mut self, first: u32, bits: &str) -> Result<(), String> {
        let bytes = STANDARD_NO_PAD.decode(bits).map_err(|e| e.to_string())?;
        for (i, byte) in bytes.iter().enumerate() {
            for bit in 0..8 {
                if byte & (1 << bit) != 0 {
                    self.set(first + (i as u32) * 8 + bit);
                }
            }
        }
        Ok(())
    }
}

pub fn task_name(job: &str, index: u32) -> String {
    format!("{job}/{index}")
}

pub fn parse_task(task: &str) -> Option<(&str, u32)> {
    let (job, index) = task.rsplit_once('/')?;
    Some((job, index.parse().ok()?))
}
