//! Tracks the records that the leader stores: their revisions and whether they have to be written.
use crate::api::Millis;
use std::collections::{BTreeSet, HashSet};
use stonegw_constants::{
    MACHINE_GROUP_BYTES_PER_JOB, MACHINE_GROUP_BYTES_PER_TASK, MACHINE_GROUP_OVERHEAD_BYTES,
};

/// The state of the stored copy of a record that the leader writes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoredState {
    /// The revision of the stored record, or 0 if none is stored. `None` means that the outcome of
    /// a write is unknown, so the revision must be read before the next write.
    pub revision: Option<u64>,
    /// Whether the record must be written because the stored copy lacks something.
    pub dirty: bool,
    /// Whether the stored record contains more than it needs to; it is rewritten only when the
    /// request budget allows.
    pub stale: bool,
    /// Whether a write is in flight.
    pub write_in_flight: bool,
}

impl StoredState {
    /// Returns the state of a record that is not stored.
    pub fn absent() -> StoredState {
        StoredState::at_revision(0)
    }

    /// Returns the state of a record that is stored at the revision and up to date.
    pub fn at_revision(revision: u64) -> StoredState {
        StoredState {
            revision: Some(revision),
            dirty: false,
            stale: false,
            write_in_flight: false,
        }
    }
}

/// A group of machines whose placements are stored in one record.
#[derive(Clone, Debug)]
pub struct MachineGroup {
    /// The state of the stored record.
    pub stored_state: StoredState,
    /// The ids of the machines in the group.
    pub machines: BTreeSet<String>,
    /// An upper estimate of the size of the group's record, in bytes of JSON.
    pub estimated_bytes: usize,
    /// The ids of the jobs that are counted in `estimated_bytes`.
    pub jobs: HashSet<String>,
    /// Whether an urgent task waits for the write of the record.
    pub is_urgent: bool,
    /// Since when the record has been dirty.
    pub dirty_since: Millis,
    /// The numbers of the groups that took over machines from this one. Until their records are
    /// stored, the record of this group is not rewritten.
    pub successors: BTreeSet<u32>,
}

impl MachineGroup {
    /// Creates a group without machines.
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

    /// Returns `true` if the record is dirty or stale.
    pub fn needs_write(&self) -> bool {
        self.stored_state.dirty || self.stored_state.stale
    }

    /// Accounts for one more task of the job and marks the record as dirty.
    pub fn add_task(&mut self, now: Millis, job: &str) {
        self.estimated_bytes += self.bytes_for_task(job);
        self.jobs.insert(job.to_owned());
        self.mark_dirty(now);
    }

    /// Marks the record as having to be written.
    pub fn mark_dirty(&mut self, now: Millis) {
        if !self.stored_state.dirty {
            self.dirty_since = now;
        }
        self.stored_state.dirty = true;
    }

    /// Returns an upper estimate of the bytes that one more task of the job takes in the record.
    pub fn bytes_for_task(&self, job: &str) -> usize {
        let job_bytes = if self.jobs.contains(job) {
            0
        } else {
            MACHINE_GROUP_BYTES_PER_JOB
        };
        MACHINE_GROUP_BYTES_PER_TASK + job_bytes
    }
}

/// A chunk of a job's results, which records some of its finished tasks.
#[derive(Clone, Debug)]
pub struct ResultChunk {
    /// The state of the stored record.
    pub stored_state: StoredState,
    /// Since when the chunk has been dirty.
    pub dirty_since: Millis,
}

impl ResultChunk {
    /// Creates a chunk that does not have to be written.
    pub fn new(stored_state: StoredState) -> ResultChunk {
        ResultChunk {
            stored_state,
            dirty_since: 0,
        }
    }

    /// Marks the chunk as having to be written.
    pub fn mark_dirty(&mut self, now: Millis) {
        if !self.stored_state.dirty {
            self.dirty_since = now;
        }
        self.stored_state.dirty = true;
    }
}
