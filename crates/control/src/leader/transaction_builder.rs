//! Builds one transaction: its conditions, its writes, and the size limits that they must fit.
use crate::pending_write::PendingWrite;
use crate::records::{StoredRecord, LEADER_KEY};
use crate::store_limits::TransactionSize;
use stonegw_constants::{MAX_TXN_BYTES, TXN_MARGIN_BYTES};
use stonegw_wire::msg::{json_size_bytes, Condition, Txn, Write};

/// Upper bound of the JSON bytes that one write takes, with its condition, besides the value and
/// the key (which occurs twice).
const WRITE_OVERHEAD_BYTES: usize = 120;

/// A transaction under construction.
pub(super) struct TransactionBuilder {
    /// The transaction as it is sent to the store.
    pub(super) transaction: Txn<StoredRecord>,
    /// The purpose of each write, in the order of the writes.
    pub(super) pending_writes: Vec<PendingWrite>,
    bytes: usize,
    /// The size of the transaction, as far as the store limits it.
    pub(super) size: TransactionSize,
    /// The maximum number of writes.
    pub(super) max_writes: usize,
    /// Whether some write did not fit.
    pub(super) is_full: bool,
}

impl TransactionBuilder {
    /// Creates an empty transaction that is applied only while the leader key has the revision
    /// `term`.
    pub(super) fn new(term: u64, max_writes: usize) -> TransactionBuilder {
        let is_leader = Condition {
            key: LEADER_KEY.into(),
            revision: term,
        };
        TransactionBuilder {
            transaction: Txn {
                conditions: vec![is_leader],
                writes: vec![],
            },
            pending_writes: vec![],
            bytes: TXN_MARGIN_BYTES,
            size: TransactionSize::default(),
            max_writes,
            is_full: false,
        }
    }

    /// Adds a write that replaces the record at `revision`; without a value it deletes the key.
    /// Returns `false` if the write does not fit.
    pub(super) fn add_write(
        &mut self,
        key: String,
        revision: u64,
        value: Option<StoredRecord>,
        pending_write: PendingWrite,
    ) -> bool {
        let value_bytes = value.as_ref().map_or(0, json_size_bytes);
        let write_bytes = value_bytes + 2 * key.len() + WRITE_OVERHEAD_BYTES;
        if self.has_no_write_left() || self.bytes + write_bytes > MAX_TXN_BYTES {
            self.is_full = true;
            return false;
        }
        self.bytes += write_bytes;
        self.size.add_write(value_bytes);
        self.transaction.conditions.push(Condition {
            key: key.clone(),
            revision,
        });
        self.transaction.writes.push(match value {
            Some(value) => Write::Put {
                key,
                value,
                lease_id: None,
            },
            None => Write::Delete { key },
        });
        self.pending_writes.push(pending_write);
        true
    }

    /// Returns `true` if the transaction holds the maximum number of writes.
    pub(super) fn has_no_write_left(&self) -> bool {
        self.pending_writes.len() >= self.max_writes
    }
}
