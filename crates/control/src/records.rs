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
use stonegw_wire::msg::{json_size_bytes, Heartbeat, JobSpec};

pub const REPLICATED_PREFIX: &str = "c/";
pub const LEADER_KEY: &str = "c/leader";
pub const JOBS_PREFIX: &str = "c/j/";
pub const RELAYED_HEARTBEATS_PREFIX: &str = "c/r/";
pub const RESULT_CHUNKS_PREFIX: &str = "d/";
pub const MACHINE_GROUPS_PREFIX: &str = "m/";
pub const VERSIONS_PREFIX: &str = "v/";

pub fn job_key(job: &str) -> String {
    format!("{JOBS_PREFIX}{job}")
}
pub fn result_chunk_key(job: &str, chunk: u32) -> String {
    format!("{RESULT_CHUNKS_PREFIX}{job}/{chunk}")
}
pub fn relayed_heartbeats_key(node: &str, slot: usize) -> String {
    format!("{RELAYED_HEARTBEATS_PREFIX}{node}/{slot}")
}
pub fn machine_group_key(shard: u32) -> String {
    format!("{MACHINE_GROUPS_PREFIX}{shard}")
}

pub fn version_key(node: &str) -> String {
    format!("{VERSIONS_PREFIX}{node}")
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobEnd {
    Done,
    Cancelled,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub tasks: u32,
    /// Time of day of the submission, ms.
    #[serde(rename = "at")]
    pub submitted_at_ms: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<JobEnd>,
    /// How long its tasks ran against the estimate: a later leader learns from it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "seen")]
    pub observed_run_times: Option<ObservedRunTimes>,
}

impl JobRecord {
    pub fn submitted(spec: &JobSpec, submitted_at_ms: u64) -> JobRecord {
        JobRecord {
            tasks: spec.task_count,
            submitted_at_ms,
            spec: Some(spec.clone()),
            end: None,
            observed_run_times: None,
        }
    }

    pub fn cancelled(&self) -> JobRecord {
        JobRecord {
            end: Some(JobEnd::Cancelled),
            ..self.clone()
        }
    }

    /// The record as it is stored: without the description of a job that has ended, if it would be larger
    /// than a value may be.
    pub fn fit_within(self, value_bytes: usize) -> JobRecord {
        if self.end.is_some() && json_size_bytes(&self) > value_bytes {
            JobRecord { spec: None, ..self }
        } else {
            self
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObservedRunTimes {
    pub class: String,
    #[serde(rename = "ratio")]
    pub run_to_estimate_ratio: f64,
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
pub enum ReplicatedRecord {
    Job(Box<JobRecord>),
    Leader(LeaderRecord),
    RelayedHeartbeats(Box<RelayedHeartbeatsRecord>),
}

/// Workers' reports on their way to a leader that their node can't reach: many in one record,
/// since a cut may part a hundred machines from the leader and changes are scarce.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedHeartbeatsRecord {
    #[serde(rename = "via")]
    pub relay_node: String,
    #[serde(rename = "reports")]
    pub heartbeats: Vec<Heartbeat>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResultChunkRecord {
    #[serde(rename = "bits")]
    pub done_bitmap: String,
    /// Runs observed in the whole job and their mean, s: a new leader goes on from them.
    #[serde(default)]
    #[serde(rename = "runs")]
    pub observed_runs: u32,
    #[serde(default)]
    #[serde(rename = "run_s")]
    pub mean_run_s: f64,
}

/// What may be on a group of machines: one record for many, since changes a second are scarce.
/// Self-contained, so that a new leader can count it whatever became of the jobs. Rows instead
/// of named fields keep it short.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineGroupRecord {
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
pub struct VersionRecord {
    #[serde(rename = "release")]
    pub version: u64,
}
/// The name of that field.
pub const VERSION_FIELD: &str = "release";

/// Anything that is written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum StoredRecord {
    Leader(LeaderRecord),
    Job(Box<JobRecord>),
    MachineGroup(MachineGroupRecord),
    ResultChunk(ResultChunkRecord),
    RelayedHeartbeats(Box<RelayedHeartbeatsRecord>),
    Version(VersionRecord),
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

pub fn parse_task_name(task: &str) -> Option<(&str, u32)> {
    let (job, index) = task.rsplit_once('/')?;
    Some((job, index.parse().ok()?))
}
