//! The writes of a transaction that is in flight, and the keys that they change.
use crate::records::{job_key, machine_group_key, result_chunk_key};

/// A reference to an attempt to run a task on a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementRef {
    /// The machine's id.
    pub machine: String,
    /// The number of the attempt.
    pub attempt: u64,
}

/// One write of a transaction, with the data that is needed to update the leader's state when the
/// response arrives.
#[derive(Clone, Debug)]
pub enum PendingWrite {
    /// Stores the record of a machine group.
    MachineGroup {
        /// The number of the group.
        machine_group: u32,
        /// The attempts in the record that have not been stored before.
        new_placements: Vec<PlacementRef>,
    },
    /// Deletes the record of an empty machine group.
    DeleteMachineGroup {
        /// The number of the group.
        machine_group: u32,
    },
    /// Stores a chunk of a job's results.
    ResultChunk {
        /// The job's id.
        job: String,
        /// The number of the chunk.
        chunk: u32,
        /// The exited placements whose outcomes the write stores.
        exited_placements: Vec<PlacementRef>,
    },
    /// Stores the end of a job whose tasks are all done.
    JobEnd {
        /// The job's id.
        job: String,
        /// The exited placements whose outcomes the write stores.
        exited_placements: Vec<PlacementRef>,
    },
    /// Deletes a chunk of the results of a job that has ended.
    DeleteResultChunk {
        /// The key of the record.
        key: String,
    },
}

impl PendingWrite {
    /// Returns the key of the record that the write changes.
    pub(crate) fn key(&self) -> String {
        match self {
            PendingWrite::MachineGroup { machine_group, .. }
            | PendingWrite::DeleteMachineGroup { machine_group } => {
                machine_group_key(*machine_group)
            }
            PendingWrite::ResultChunk { job, chunk, .. } => result_chunk_key(job, *chunk),
            PendingWrite::JobEnd { job, .. } => job_key(job),
            PendingWrite::DeleteResultChunk { key } => key.clone(),
        }
    }
}
