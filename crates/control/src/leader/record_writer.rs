//! What the leader still has to write to the store, and when.
use crate::api::Millis;
use crate::cluster::StoredState;
use crate::pending_write::PendingWrite;

/// A record that is to be deleted: a result chunk of a job that has ended.
#[derive(Debug)]
pub(super) struct GarbageRecord {
    /// The key of the record.
    pub(super) key: String,
    /// Its copy in the store.
    pub(super) stored_state: StoredState,
}

/// The state of the leader's writes: one request to the store at a time.
#[derive(Debug, Default)]
pub(super) struct RecordWriter {
    /// A transaction, or the read of a revision, has no answer yet.
    pub(super) request_in_flight: bool,
    /// No transaction is sent before.
    pub(super) next_commit_at: Millis,
    /// What can wait for other writes is not written before.
    pub(super) next_batch_at: Millis,
    /// Garbage is not collected before.
    pub(super) collect_garbage_at: Millis,
    /// The job whose results are written first, since the last transaction had no capacity for
    /// them.
    pub(super) next_results_job: String,
    /// Writes that may or may not have been carried out: the revision of each record is read before
    /// it is written again.
    pub(super) unacknowledged_writes: Vec<PendingWrite>,
    /// Records to be deleted.
    pub(super) garbage_records: Vec<GarbageRecord>,
}

impl RecordWriter {
    /// Whether nothing may be sent to the store at present.
    pub(super) fn must_wait(&self, now: Millis) -> bool {
        self.request_in_flight || now < self.next_commit_at
    }

    /// A record is to be deleted.
    pub(super) fn add_garbage(&mut self, key: String, stored_state: StoredState) {
        self.garbage_records
            .push(GarbageRecord { key, stored_state });
    }

    /// The record of that key is deleted.
    pub(super) fn remove_garbage(&mut self, key: &str) {
        self.garbage_records.retain(|record| record.key != key);
    }

    /// The bookkeeping of the record to be deleted with that key.
    pub(super) fn garbage_state(&mut self, key: &str) -> Option<&mut StoredState> {
        self.garbage_records
            .iter_mut()
            .find(|record| record.key == key)
            .map(|record| &mut record.stored_state)
    }
}
