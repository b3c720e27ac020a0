//! One transaction that stores many users' requests.
use super::pending_request::PendingRequest;
use crate::records::{job_key, JobRecord, StoredRecord};
use crate::store_limits::TransactionSize;
use std::collections::HashSet;
use stonegw_constants::{JOB_WRITE_OVERHEAD_BYTES, MAX_TXN_BYTES, TXN_MARGIN_BYTES};
use stonegw_wire::msg::{Condition, Txn, Write};

/// A write of a job's record, conditional on the revision of its key.
pub(super) struct JobWrite {
    pub(super) job_id: String,
    /// The revision at which the key must be; 0 if the key must not exist.
    pub(super) expected_revision: u64,
    pub(super) record: JobRecord,
    /// Size of the record in bytes of JSON.
    pub(super) value_bytes: usize,
}

/// Requests and the transaction that stores them, within the store's limits.
pub(super) struct CommitBatch {
    pub(super) requests: Vec<PendingRequest>,
    pub(super) txn: Txn<StoredRecord>,
    pub(super) size: TransactionSize,
    max_writes: usize,
    total_bytes: usize,
    /// The jobs that the transaction writes. It may write each key only once.
    job_ids: HashSet<String>,
}

impl CommitBatch {
    /// Creates an empty batch for at most `max_writes` writes.
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

    /// Returns whether the batch has no requests.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request with its write. Returns the request as the error if it does not fit into the
    /// transaction or if the transaction already writes its job.
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
