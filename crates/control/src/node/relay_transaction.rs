//! Packs heartbeats into the records of one transaction, within the store's limits.
use crate::records::{relayed_heartbeats_key, RelayedHeartbeatsRecord, StoredRecord};
use crate::store_limits::TransactionSize;
use stonegw_constants::{MAX_TXN_BYTES, RELAYED_HEARTBEATS_OVERHEAD_BYTES, TXN_MARGIN_BYTES};
use stonegw_wire::msg::{json_size_bytes, Heartbeat, Write};

/// Limits of a transaction with relayed heartbeats.
pub(super) struct RelayLimits {
    /// Number of slots to which a node writes its records in turn.
    pub(super) slot_count: usize,
    /// Maximum number of records in one transaction.
    pub(super) max_records: usize,
    /// Maximum size of a record, in bytes of JSON.
    pub(super) max_value_bytes: usize,
}

/// Heartbeats packed into records, ready to be sent.
pub(super) struct RelayTransaction {
    pub(super) writes: Vec<Write<StoredRecord>>,
    /// The machines whose heartbeats the transaction contains.
    pub(super) machines: Vec<String>,
    pub(super) size: TransactionSize,
    /// The slot of the last record in the transaction.
    pub(super) last_slot: usize,
}

/// The result of adding a heartbeat to a transaction.
pub(super) enum AddOutcome {
    Added,
    /// The heartbeat is larger than a record may be, or than the space left in the transaction.
    TooLarge,
    /// The transaction already has the maximum number of records.
    TransactionFull,
}

/// Packs heartbeats into one record after another.
pub(super) struct RelayTransactionBuilder<'a> {
    node_name: &'a str,
    limits: RelayLimits,
    /// The heartbeats of the record that is being filled, and their size in bytes of JSON.
    record: Vec<Heartbeat>,
    record_bytes: usize,
    total_bytes: usize,
    transaction: RelayTransaction,
}

impl<'a> RelayTransactionBuilder<'a> {
    /// Creates an empty transaction for a node that wrote its last record to `last_slot`.
    pub(super) fn new(
        node_name: &'a str,
        last_slot: usize,
        limits: RelayLimits,
    ) -> RelayTransactionBuilder<'a> {
        RelayTransactionBuilder {
            node_name,
            limits,
            record: vec![],
            record_bytes: 0,
            total_bytes: TXN_MARGIN_BYTES,
            transaction: RelayTransaction {
                writes: vec![],
                machines: vec![],
                size: TransactionSize::default(),
                last_slot,
            },
        }
    }

    /// Adds a heartbeat to the current record, or to a new one if it does not fit.
    pub(super) fn add(&mut self, heartbeat: &Heartbeat) -> AddOutcome {
        // The extra byte is the comma that separates the heartbeat from the next one.
        let bytes = json_size_bytes(heartbeat) + 1;
        let max_record_bytes = self.max_record_bytes();
        if bytes > max_record_bytes || self.total_bytes + bytes > MAX_TXN_BYTES {
            return AddOutcome::TooLarge;
        }
        if self.record_bytes + bytes > max_record_bytes {
            self.finish_record();
            if self.transaction.writes.len() >= self.limits.max_records {
                return AddOutcome::TransactionFull;
            }
        }
        self.record_bytes += bytes;
        self.total_bytes += bytes;
        self.record.push(heartbeat.clone());
        self.transaction.machines.push(heartbeat.machine_id.clone());
        AddOutcome::Added
    }

    /// Returns the transaction with all heartbeats that were added.
    pub(super) fn finish(mut self) -> RelayTransaction {
        if !self.record.is_empty() {
            self.finish_record();
        }
        self.transaction
    }

    /// Returns the maximum total size of the heartbeats in one record, in bytes of JSON.
    fn max_record_bytes(&self) -> usize {
        self.limits
            .max_value_bytes
            .saturating_sub(RELAYED_HEARTBEATS_OVERHEAD_BYTES)
    }

    fn finish_record(&mut self) {
        let slot = (self.transaction.last_slot + 1) % self.limits.slot_count;
        let record = RelayedHeartbeatsRecord {
            relay_node: self.node_name.to_owned(),
            heartbeats: std::mem::take(&mut self.record),
        };
        self.transaction.writes.push(Write::Put {
            key: relayed_heartbeats_key(self.node_name, slot),
            value: StoredRecord::RelayedHeartbeats(Box::new(record)),
            lease_id: None,
        });
        self.transaction
            .size
            .add_write(self.record_bytes + RELAYED_HEARTBEATS_OVERHEAD_BYTES);
        self.transaction.last_slot = slot;
        self.record_bytes = 0;
    }
}
