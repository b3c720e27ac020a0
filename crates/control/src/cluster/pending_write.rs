//! What one transaction changes, and the key of each such change.
use crate::records::{job_key, machine_group_key, result_chunk_key};

/// A machine's name and an attempt on it.
pub type PlacementRef = (String, u64);

/// What of the store one transaction changes, to be marked when its answer comes.
#[derive(Clone, Debug)]
pub enum PendingWrite {
    /// The unstored attempts that the record now holds.
    MachineGroup {
        machine_group: u32,
        new_placements: Vec<PlacementRef>,
    },
    DeleteMachineGroup {
        machine_group: u32,
    },
    ResultChunk {
        job: String,
        chunk: u32,
        exited_placements: Vec<PlacementRef>,
    },
    JobEnd {
        job: String,
        exited_placements: Vec<PlacementRef>,
    },
    DeleteResultChunk {
        key: String,
    },
}

/// The key of the record that an item changes.
pub(crate) fn pending_write_key(item: &PendingWrite) -> String {
    match item {
        PendingWrite::MachineGroup {
            machine_group: shard,
            ..
        }
        | PendingWrite::DeleteMachineGroup {
            machine_group: shard,
        } => machine_group_key(*shard),
        PendingWrite::ResultChunk { job, chunk, .. } => result_chunk_key(job, *chunk),
        PendingWrite::JobEnd { job, .. } => job_key(job),
        PendingWrite::DeleteResultChunk { key } => key.clone(),
    }
}
