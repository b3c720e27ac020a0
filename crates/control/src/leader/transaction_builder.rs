//! The draft of a transaction: its conditions, its writes and the room left in it.
use super::*;
use stonegw_constants::{MAX_TXN_BYTES, TXN_MARGIN_BYTES};

/// A transaction being put together.
pub(super) struct TransactionBuilder {
    pub(super) transaction: Txn<StoredRecord>,
    pub(super) pending_writes: Vec<PendingWrite>,
    bytes: usize,
    pub(super) size: TransactionSize,
    pub(super) max_writes: usize,
    /// Something found no room in it.
    pub(super) is_full: bool,
}

impl TransactionBuilder {
    /// An empty one, which holds only while the leader key has this term.
    pub(super) fn new(term: u64, max_writes: usize) -> TransactionBuilder {
        let ours = Condition {
            key: LEADER_KEY.into(),
            revision: term,
        };
        TransactionBuilder {
            transaction: Txn {
                conditions: vec![ours],
                writes: vec![],
            },
            pending_writes: vec![],
            bytes: TXN_MARGIN_BYTES,
            size: TransactionSize::default(),
            max_writes,
            is_full: false,
        }
    }

    /// Adds a write that replaces `version`. False if it does not fit any more.
    pub(super) fn add_write(
        &mut self,
        key: String,
        version: u64,
        value: Option<StoredRecord>,
        item: PendingWrite,
    ) -> bool {
        let value_bytes = value.as_ref().map_or(0, json_size_bytes);
        let size = value_bytes + 2 * key.len() + 120;
        if self.pending_writes.len() >= self.max_writes || self.bytes + size > MAX_TXN_BYTES {
            self.is_full = true;
            return false;
        }
        self.bytes += size;
        self.size.add_write(value_bytes);
        self.transaction.conditions.push(Condition {
            key: key.clone(),
            revision: version,
        });
        self.transaction.writes.push(match value {
            Some(value) => Write::Put {
                key,
                value,
                lease_id: None,
            },
            None => Write::Delete { key },
        });
        self.pending_writes.push(item);
        true
    }
}
