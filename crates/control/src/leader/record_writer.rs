//! Tracks the leader's writes to the store: the request in flight, the times of the next writes,
//! and the records to be read or deleted.
use crate::api::Millis;
use crate::cluster::StoredState;
use crate::pending_write::PendingWrite;

/// A record to delete: a result chunk of a job that has ended.
#[derive(Debug)]
pub(super) struct GarbageRecord {
    /// The key of the record.
    pub(super) key: String,
    /// The state of its copy in the store.
    pub(super) stored_state: StoredState,
}

/// The state of the leader's writes. The leader sends one request at a time to the store.
#[derive(Debug, Default)]
pub(super) struct RecordWriter {
    /// Whether a transaction or the read of a revision has no response yet.
    pub(super) request_in_flight: bool,
    /// The earliest time of the next transaction.
    pub(super) next_commit_at: Millis,
    /// The earliest time of the next batch of writes that are not urgent.
    pub(super) next_batch_at: Millis,
    /// The earliest time of the next garbage collection.
    pub(super) collect_garbage_at: Millis,
    /// The job whose results are written first next time, because the last transaction had no
    /// capacity left for them.
    pub(super) next_results_job: String,
    /// Writes that may or may not have been applied. The revision of each record is read before the
    /// record is written again.
    pub(super) unacknowledged_writes: Vec<PendingWrite>,
    /// Records to delete.
    pub(super) garbage_records: Vec<GarbageRecord>,
}

impl RecordWriter {
    /// Returns `true` if nothing may be sent to the store at present.
    pub(super) fn must_wait(&self, now: Millis) -> bool {
        self.request_in_flight || now < self.next_commit_at
    }

    /// Adds a record to delete.
    pub(super) fn add_garbage(&mut self, key: String, stored_state: StoredState) {
        self.garbage_records
            .push(GarbageRecord { key, stored_state });
    }

    /// Removes the entry of a record that has been deleted.
    pub(super) fn remove_garbage(&mut self, key: &str) {
        self.garbage_records.retain(|record| record.key != key);
    }

    /// Returns the stored state of the garbage record with this key.
    pub(super) fn garbage_state(&mut self, key: &str) -> Option<&mut StoredState> {
        self.garbage_records
            .iter_mut()
            .find(|record| record.key == key)
            .map(|record| &mut record.stored_state)
    }
}
