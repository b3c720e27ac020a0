//! What one transaction changes, and the key of each such change.
use crate::records::{job_key, machine_group_key, result_chunk_key};

/// An attempt on a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementRef {
    /// The machine's id.
    pub machine: String,
    /// The number of the attempt.
    pub attempt: u64,
}

/// One write of a transaction, with what has to be marked when its answer comes.
#[derive(Clone, Debug)]
pub enum PendingWrite {
    /// The record of a machine group.
    MachineGroup {
        /// The number of the group.
        machine_group: u32,
        /// The unstored attempts that the record now holds.
        new_placements: Vec<PlacementRef>,
    },
    /// The removal of an empty machine group's record.
    DeleteMachineGroup {
        /// The number of the group.
        machine_group: u32,
    },
    /// A chunk of a job's results.
    ResultChunk {
        /// The job's id.
        job: String,
        /// The number of the chunk.
        chunk: u32,
        /// Exited placements whose outcome it stores.
        exited_placements: Vec<PlacementRef>,
    },
    /// The end of a job whose tasks are all done.
    JobEnd {
        /// The job's id.
        job: String,
        /// Exited placements whose outcome it stores.
        exited_placements: Vec<PlacementRef>,
    },
    /// The removal of a chunk of results of a job that has ended.
    DeleteResultChunk {
        /// The key of the record.
        key: String,
    },
}

impl PendingWrite {
    /// The key of the record that it changes.
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
