//! Packs heartbeats into the records of one transaction, within the store's limits.
use crate::records::{relayed_heartbeats_key, RelayedHeartbeatsRecord, StoredRecord};
use crate::store_limits::TransactionSize;
use stonegw_constants::{MAX_TXN_BYTES, RELAYED_HEARTBEATS_OVERHEAD_BYTES, TXN_MARGIN_BYTES};
use stonegw_wire::msg::{json_size_bytes, Heartbeat, Write};

/// Heartbeats packed into records, ready to be sent.
pub(super) struct RelayTransaction {
    pub(super) writes: Vec<Write<StoredRecord>>,
    /// The machines whose heartbeats it holds.
    pub(super) machines: Vec<String>,
    pub(super) size: TransactionSize,
    /// The slot of its last record.
    pub(super) last_slot: usize,
}

/// Whether a heartbeat found a place in a transaction.
pub(super) enum AddOutcome {
    Added,
    /// It is larger than a record, or than what is left of the transaction.
    TooLarge,
    /// No further record may be added.
    TransactionFull,
}

/// Fills records with heartbeats one after the other.
pub(super) struct RelayTransactionBuilder<'a> {
    node_name: &'a str,
    slot_count: usize,
    max_records: usize,
    /// Bytes of JSON that the heartbeats of one record may take.
    max_record_bytes: usize,
    /// The heartbeats of the record that is being filled, and their bytes.
    record: Vec<Heartbeat>,
    record_bytes: usize,
    total_bytes: usize,
    transaction: RelayTransaction,
}

impl<'a> RelayTransactionBuilder<'a> {
    /// An empty transaction of a node whose last record went into `last_slot`.
    pub(super) fn new(
        node_name: &'a str,
        last_slot: usize,
        slot_count: usize,
        max_records: usize,
        max_value_bytes: usize,
    ) -> RelayTransactionBuilder<'a> {
        RelayTransactionBuilder {
            node_name,
            slot_count,
            max_records,
            max_record_bytes: max_value_bytes.saturating_sub(RELAYED_HEARTBEATS_OVERHEAD_BYTES),
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

    /// Adds a heartbeat to the present record, or to a new one if it does not fit.
    pub(super) fn add(&mut self, heartbeat: &Heartbeat) -> AddOutcome {
        // With the comma that separates it from the next.
        let bytes = json_size_bytes(heartbeat) + 1;
        if bytes > self.max_record_bytes || self.total_bytes + bytes > MAX_TXN_BYTES {
            return AddOutcome::TooLarge;
        }
        if self.record_bytes + bytes > self.max_record_bytes {
            self.finish_record();
            if self.transaction.writes.len() >= self.max_records {
                return AddOutcome::TransactionFull;
            }
        }
        self.record_bytes += bytes;
        self.total_bytes += bytes;
        self.record.push(heartbeat.clone());
        self.transaction.machines.push(heartbeat.machine_id.clone());
        AddOutcome::Added
    }

    /// The transaction with all that was added.
    pub(super) fn finish(mut self) -> RelayTransaction {
        if !self.record.is_empty() {
            self.finish_record();
        }
        self.transaction
    }

    fn finish_record(&mut self) {
        let slot = (self.transaction.last_slot + 1) % self.slot_count;
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
