//! One transaction with the writes of many users' requests.
use super::pending_request::PendingRequest;
use crate::records::{job_key, JobRecord, StoredRecord};
use crate::store_limits::TransactionSize;
use std::collections::HashSet;
use stonegw_constants::{JOB_WRITE_OVERHEAD_BYTES, MAX_TXN_BYTES, TXN_MARGIN_BYTES};
use stonegw_wire::msg::{Condition, Txn, Write};

/// The write of a job's record, on condition that its key is still at a revision.
pub(super) struct JobWrite {
    pub(super) job_id: String,
    /// 0: there is no such key.
    pub(super) expected_revision: u64,
    pub(super) record: JobRecord,
    /// Bytes of JSON of the record.
    pub(super) value_bytes: usize,
}

/// Requests and the transaction that stores them, within the store's limits.
pub(super) struct CommitBatch {
    pub(super) requests: Vec<PendingRequest>,
    pub(super) txn: Txn<StoredRecord>,
    pub(super) size: TransactionSize,
    max_writes: usize,
    total_bytes: usize,
    /// The jobs that it writes: each key may be written once.
    job_ids: HashSet<String>,
}

impl CommitBatch {
    /// An empty transaction for at most so many writes.
    pub(super) fn new(max_writes: usize) -> CommitBatch {
        CommitBatch {
            requests: vec![],
            txn: Txn {
                conditions: vec![],
                writes: vec![],
            },
            size: TransactionSize::default(),
            max_writes,
            total_bytes: TXN_MARGIN_BYTES,
            job_ids: HashSet::new(),
        }
    }

    /// Nothing has been added.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request with its write, or gives the request back if there is no place for it.
    pub(super) fn try_add(
        &mut self,
        pending: PendingRequest,
        write: JobWrite,
    ) -> Result<(), PendingRequest> {
        let bytes = write.value_bytes + JOB_WRITE_OVERHEAD_BYTES;
        if self.requests.len() >= self.max_writes
            || self.total_bytes + bytes > MAX_TXN_BYTES
            || self.job_ids.contains(&write.job_id)
        {
            return Err(pending);
        }
        self.total_bytes += bytes;
        self.size.add_write(write.value_bytes);
        let key = job_key(&write.job_id);
        self.txn.conditions.push(Condition {
            key: key.clone(),
            revision: write.expected_revision,
        });
        self.txn.writes.push(Write::Put {
            key,
            value: StoredRecord::Job(Box::new(write.record)),
            lease_id: None,
        });
        self.job_ids.insert(write.job_id);
        self.requests.push(pending);
        Ok(())
    }
}
