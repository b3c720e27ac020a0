//! Bookkeeping of the records that the leader stores: their revisions and what must be written.
use crate::api::Millis;
use std::collections::{BTreeSet, HashSet};
use stonegw_constants::{
    MACHINE_GROUP_BYTES_PER_JOB, MACHINE_GROUP_BYTES_PER_TASK, MACHINE_GROUP_OVERHEAD_BYTES,
};

/// The stored copy of something the leader writes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoredState {
    /// The revision it has, 0 if absent; `None`: a write is unacknowledged, so it is read before it
    /// is written again.
    pub revision: Option<u64>,
    /// Must be written: something waits for that.
    pub dirty: bool,
    /// Holds more than it needs to; written when there is budget left.
    pub stale: bool,
    /// A write is in flight.
    pub write_in_flight: bool,
}

impl StoredState {
    /// Nothing is stored yet.
    pub fn absent() -> StoredState {
        StoredState::at_revision(0)
    }

    /// Stored at that revision, and up to date.
    pub fn at_revision(revision: u64) -> StoredState {
        StoredState {
            revision: Some(revision),
            dirty: false,
            stale: false,
            write_in_flight: false,
        }
    }
}

/// A group of machines whose placements share one record.
#[derive(Clone, Debug)]
pub struct MachineGroup {
    /// Its copy in the store.
    pub stored_state: StoredState,
    /// The machines in it.
    pub machines: BTreeSet<String>,
    /// Bytes of JSON that its record takes at most.
    pub estimated_bytes: usize,
    /// The jobs counted in `estimated_bytes`.
    pub jobs: HashSet<String>,
    /// Urgent work waits for its write.
    pub is_urgent: bool,
    /// Since when something in it waits to be written.
    pub dirty_since: Millis,
    /// Groups that took over machines from this one: until their records are stored, the record of
    /// this one stays as it is.
    pub successors: BTreeSet<u32>,
}

impl MachineGroup {
    /// A group without machines.
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
        self.mark_dirty(now);
    }

    /// Its record must be written.
    pub fn mark_dirty(&mut self, now: Millis) {
        if !self.stored_state.dirty {
            self.dirty_since = now;
        }
        self.stored_state.dirty = true;
    }

    /// Bytes that one more task of the job takes at most.
    pub fn bytes_for_task(&self, job: &str) -> usize {
        let job_bytes = if self.jobs.contains(job) {
            0
        } else {
            MACHINE_GROUP_BYTES_PER_JOB
        };
        MACHINE_GROUP_BYTES_PER_TASK + job_bytes
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

    /// It must be written.
    pub fn mark_dirty(&mut self, now: Millis) {
        if !self.stored_state.dirty {
            self.dirty_since = now;
        }
        self.stored_state.dirty = true;
    }
}
