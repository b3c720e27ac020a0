//! The draft of a transaction: its conditions, its writes and the room left in it.
use super::*;

/// A transaction being put together.
pub(super) struct Draft {
    pub(super) txn: Txn<Value>,
    pub(super) items: Vec<Item>,
    bytes: usize,
    pub(super) size: TransactionSize,
    pub(super) most: usize,
    /// Something found no room in it.
    pub(super) full: bool,
}

impl Draft {
    /// An empty one, which holds only while the leader key has this term.
    pub(super) fn new(term: u64, most: usize) -> Draft {
        let ours = Condition {
            key: LEADER.into(),
            version: term,
        };
        Draft {
            txn: Txn {
                conditions: vec![ours],
                writes: vec![],
            },
            items: vec![],
            bytes: k::TXN_MARGIN,
            size: TransactionSize::default(),
            most,
            full: false,
        }
    }

    /// Adds a write that replaces `version`. False if it does not fit any more.
    pub(super) fn add(
        &mut self,
        key: String,
        version: u64,
        value: Option<Value>,
        item: Item,
    ) -> bool {
        let value_bytes = value.as_ref().map_or(0, json_len);
        let size = value_bytes + 2 * key.len() + 120;
        if self.items.len() >= self.most || self.bytes + size > k::TXN_BYTES {
            self.full = true;
            return false;
        }
        self.bytes += size;
        self.size.add(value_bytes);
        self.txn.conditions.push(Condition {
            key: key.clone(),
            version,
        });
        self.txn.writes.push(match value {
            Some(value) => Write::Put {
                key,
                value,
                lease: None,
            },
            None => Write::Delete { key },
        });
        self.items.push(item);
        true
    }
}
