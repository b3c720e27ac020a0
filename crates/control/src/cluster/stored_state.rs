//! Bookkeeping of the records that the leader stores: their versions and what must be written.
use crate::api::Millis;
use std::collections::{BTreeSet, HashSet};
use stonegw_constants::{
    MACHINE_GROUP_BYTES_PER_JOB, MACHINE_GROUP_BYTES_PER_TASK, MACHINE_GROUP_OVERHEAD_BYTES,
};

/// The stored copy of something the leader writes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoredState {
    /// The stamp it has; `None`: a write went unanswered, read before writing again.
    pub revision: Option<u64>,
    /// Must be written before something goes on.
    pub dirty: bool,
    /// Holds more than it need; written when there is nothing better to do.
    pub stale: bool,
    /// A write is under way.
    pub write_in_flight: bool,
}

impl StoredState {
    /// Nothing is stored yet.
    pub fn absent() -> StoredState {
        StoredState::at_revision(0)
    }

    /// Stored with that stamp, and up to date.
    pub fn at_revision(version: u64) -> StoredState {
        StoredState {
            revision: Some(version),
            dirty: false,
            stale: false,
            write_in_flight: false,
        }
    }
}

/// The record that tells of a group of machines.
#[derive(Clone, Debug)]
pub struct MachineGroup {
    /// Its copy in the store.
    pub stored_state: StoredState,
    /// The machines it tells of.
    pub machines: BTreeSet<String>,
    /// Bytes of JSON it takes at most.
    pub estimated_bytes: usize,
    /// The jobs counted in `bytes`.
    pub jobs: HashSet<String>,
    /// Urgent work waits for its write.
    pub is_urgent: bool,
    /// Since when something in it waits to be written.
    pub dirty_since: Millis,
    /// Records that took over machines this one tells of: until they are stored it stays as it is.
    pub successors: BTreeSet<u32>,
}

impl MachineGroup {
    /// A shard that tells of no machine yet.
    pub fn new(stored_state: StoredState) -> MachineGroup {
        MachineGroup {
            stored_state,
            machines: BTreeSet::new(),
            estimated_bytes: MACHINE_GROUP_OVERHEAD_BYTES,
            jobs: HashSet::new(),
            is_urgent: false,
            dirty_since: 0,
            successors: BTreeSet::new(),
        }
    }

    /// Whether it has anything to write.
    pub fn needs_write(&self) -> bool {
        self.stored_state.dirty || self.stored_state.stale
    }

    /// One more task of the job goes in.
    pub fn add_task(&mut self, now: Millis, job: &str) {
        self.estimated_bytes += self.bytes_for_task(job);
        self.jobs.insert(job.to_owned());
        if !self.stored_state.dirty {
            self.dirty_since = now;
        }
        self.stored_state.dirty = true;
    }

    /// Bytes that one more task of the job takes at most.
    pub fn bytes_for_task(&self, job: &str) -> usize {
        let new = !self.jobs.contains(job);
        MACHINE_GROUP_BYTES_PER_TASK + if new { MACHINE_GROUP_BYTES_PER_JOB } else { 0 }
    }
}

/// A chunk of a job's finished tasks.
#[derive(Clone, Debug)]
pub struct ResultChunk {
    /// Its copy in the store.
    pub stored_state: StoredState,
    /// Since when it has to be written.
    pub dirty_since: Millis,
}

impl ResultChunk {
    /// A chunk with nothing to write.
    pub fn new(stored_state: StoredState) -> ResultChunk {
        ResultChunk {
            stored_state,
            dirty_since: 0,
        }
    }
}
