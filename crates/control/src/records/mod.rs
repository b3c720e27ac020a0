//! The records in the key-value store. Their field names and keys are fixed, because nodes of the
//! previous version read and write them as well.
//!
//! | key | written by | content |
//! | --- | --- | --- |
//! | `c/leader` | the leader, under its lease | name, nonce and lease; the revision is the term |
//! | `c/j/<job>` | any node | the submission and how the job ended |
//! | `c/r/<node>/<slot>` | a node that can't reach the leader | relayed heartbeats of machines |
//! | `d/<job>/<chunk>` | the leader | the finished tasks of one chunk, as a bitmap |
//! | `m/<number>` | the leader | the tasks that may be on a group of machines |
//! | `v/<node>` | that node | the version of the program that it runs |
mod job;
mod keys;
mod leader;
mod machine_group;
mod relayed_heartbeats;
mod result_chunk;
mod version;

pub use job::{JobEnd, JobRecord, ObservedRunTimes};
pub use keys::{
    job_key, machine_group_key, parse_task_name, relayed_heartbeats_key, result_chunk_key,
    task_name, version_key, JOBS_PREFIX, LEADER_KEY, MACHINE_GROUPS_PREFIX,
    RELAYED_HEARTBEATS_PREFIX, REPLICATED_PREFIX, RESULT_CHUNKS_PREFIX, VERSIONS_PREFIX,
};
pub use leader::LeaderRecord;
pub use machine_group::{JobRow, MachineGroupRecord, MachineRow, TaskRow};
pub use relayed_heartbeats::RelayedHeartbeatsRecord;
pub use result_chunk::{Bitmap, BitmapDecodeError, ResultChunkRecord};
pub use version::{VersionRecord, VERSION_FIELD};

use serde::{Deserialize, Serialize};

/// A record whose key begins with [`REPLICATED_PREFIX`]. Every node keeps a copy of these records.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum ReplicatedRecord {
    /// A job.
    Job(Box<JobRecord>),
    /// The current leader.
    Leader(LeaderRecord),
    /// Heartbeats that a node relays to the leader.
    RelayedHeartbeats(Box<RelayedHeartbeatsRecord>),
}

/// A record of any kind that a node writes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum StoredRecord {
    /// The current leader.
    Leader(LeaderRecord),
    /// A job.
    Job(Box<JobRecord>),
    /// The tasks that may be on a group of machines.
    MachineGroup(MachineGroupRecord),
    /// The finished tasks of one chunk of a job.
    ResultChunk(ResultChunkRecord),
    /// Heartbeats that a node relays to the leader.
    RelayedHeartbeats(Box<RelayedHeartbeatsRecord>),
    /// The version that a node runs.
    Version(VersionRecord),
}
