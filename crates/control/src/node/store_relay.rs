//! Relays heartbeats to the leader through the key-value store while no link to the leader works.
//!
//! The node writes records to a fixed number of slots in turn, each with as many heartbeats as fit.
//! The leader reads the records with its replica. It uses the incarnation and the sequence number
//! to determine the newer of two heartbeats of a worker.
use super::calls::StoreCall;
use super::relay_transaction::{
    AddOutcome, RelayLimits, RelayTransaction, RelayTransactionBuilder,
};
use super::Node;
use crate::api::{CallResult, Millis};
use crate::fencing::HeartbeatPosition;
use crate::settings::Settings;
use crate::store_limits::TransactionSize;
use std::collections::BTreeMap;
use stonegw_constants::{
    MIN_RELAYED_HEARTBEAT_SLOTS, RELAYED_HEARTBEATS_INTERVAL_MS, RELAYED_HEARTBEAT_REPEAT_MS,
    RELAYED_HEARTBEAT_SLOTS_PER_WRITE,
};
use stonegw_wire::msg::{Heartbeat, Txn};

/// The latest heartbeat of a worker that is served without the leader.
struct RelayedHeartbeat {
    heartbeat: Heartbeat,
    /// The heartbeat must be written: it is new, its tasks or its incarnation changed, or the store
    /// rejected it.
    needs_write: bool,
    /// The time of the last write; 0 if the heartbeat was never written.
    written_at: Millis,
}

impl RelayedHeartbeat {
    fn new(heartbeat: Heartbeat) -> RelayedHeartbeat {
        RelayedHeartbeat {
            heartbeat,
            needs_write: true,
            written_at: 0,
        }
    }

    /// Replaces the heartbeat by a newer one; ignores a heartbeat that is not newer.
    fn update(&mut self, newer: Heartbeat) {
        let known = &self.heartbeat;
        if HeartbeatPosition::of(&newer) <= HeartbeatPosition::of(known) {
            return;
        }
        self.needs_write |= known.tasks != newer.tasks || known.incarnation != newer.incarnation;
        self.heartbeat = newer;
    }

    fn is_due(&self, now: Millis) -> bool {
        self.needs_write || now >= self.written_at + RELAYED_HEARTBEAT_REPEAT_MS
    }

    fn mark_written(&mut self, now: Millis) {
        self.needs_write = false;
        self.written_at = now;
    }
}

/// The heartbeats that this node relays to the leader through the store, by machine.
#[derive(Default)]
pub(super) struct StoreRelay {
    heartbeats: BTreeMap<String, RelayedHeartbeat>,
    next_write_at: Millis,
    /// The slot that was written last.
    last_slot: usize,
}

impl StoreRelay {
    /// Adds a worker's heartbeat, or replaces its earlier one.
    pub(super) fn record(&mut self, heartbeat: Heartbeat) {
        let known = self
            .heartbeats
            .entry(heartbeat.machine_id.clone())
            .or_insert_with(|| RelayedHeartbeat::new(heartbeat.clone()));
        known.update(heartbeat);
    }

    /// Removes all heartbeats. After a pause they are older than those that the workers have sent
    /// to other nodes.
    pub(super) fn clear(&mut self) {
        self.heartbeats.clear();
    }

    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.heartbeats.is_empty()
    }

    fn is_write_due(&self, now: Millis) -> bool {
        !self.heartbeats.is_empty() && now >= self.next_write_at
    }

    /// Returns the machines whose heartbeats are due for a write, in the order of their last
    /// writes: the one that has waited longest comes first.
    fn due_machines(&self, now: Millis) -> Vec<String> {
        let mut due: Vec<(Millis, &String)> = self
            .heartbeats
            .iter()
            .filter(|(_, known)| known.is_due(now))
            .map(|(machine, known)| (known.written_at, machine))
            .collect();
        due.sort();
        due.into_iter()
            .map(|(_, machine)| machine.clone())
            .collect()
    }

    /// Adds the heartbeats of these machines to a transaction until it is full. A heartbeat that is
    /// too large is skipped.
    fn fill(
        &mut self,
        machines: Vec<String>,
        mut builder: RelayTransactionBuilder,
        now: Millis,
    ) -> RelayTransaction {
        for machine in machines {
            let Some(known) = self.heartbeats.get_mut(&machine) else {
                continue;
            };
            match builder.add(&known.heartbeat) {
                AddOutcome::Added => known.mark_written(now),
                AddOutcome::TooLarge => {}
                AddOutcome::TransactionFull => break,
            }
        }
        builder.finish()
    }

    /// Marks the heartbeats of these machines as unwritten after the store rejected their
    /// transaction.
    fn mark_unwritten(&mut self, machines: &[String]) {
        for machine in machines {
            if let Some(known) = self.heartbeats.get_mut(machine) {
                known.needs_write = true;
            }
        }
    }
}

impl Node {
    /// Handles a heartbeat that can't be relayed over a link, from a worker that may be partitioned
    /// from the leader together with this node. A worker that is due to probe for the leader is
    /// redirected to it. For other workers, the lease is renewed under the leader's term, and the
    /// heartbeat is relayed through the store. Tasks of cancelled jobs are stopped, and commands on
    /// their way can no longer start them.
    pub(super) fn handle_heartbeat_via_store(
        &mut self,
        request_id: u64,
        heartbeat: Heartbeat,
        leader_node: String,
    ) {
        let now = self.now.monotonic_ms;
        let peers = self.settings.peers.len();
        let machine_id = &heartbeat.machine_id;
        self.leader_probes.record_heartbeat(machine_id, now, peers);
        // A worker without a token rejects no command. If it restarted, it must get a token before
        // a copy of an earlier command arrives.
        let has_token = heartbeat.fencing_token > 0;
        if has_token && self.leader_probes.try_start(machine_id, now) {
            return self.redirect_worker(request_id, Some(leader_node));
        }
        // Leases are renewed only while the replica is recent enough that tasks cancelled through
        // other nodes still end in time.
        let Some(token) = self.renewal_token(&heartbeat) else {
            return self.reply_partitioned(request_id);
        };
        self.renew_lease_without_leader(request_id, &heartbeat, token);
        self.store_relay.record(heartbeat);
    }

    /// Writes the heartbeats that are due, as many as the budget allows.
    pub(super) fn advance_store_relay(&mut self) {
        let now = self.now.monotonic_ms;
        if !self.store_relay.is_write_due(now) || !self.replica_sync.is_live() {
            return;
        }
        self.store_relay.next_write_at = now + RELAYED_HEARTBEATS_INTERVAL_MS;
        let leader_probes = &self.leader_probes;
        self.store_relay
            .heartbeats
            .retain(|machine, _| leader_probes.is_served_here(machine));
        let due = self.store_relay.due_machines(now);
        let slot_count = slot_count(&self.settings);
        // A slot must not be overwritten by the transaction that wrote it, nor by the next one.
        let max_records = (self.write_budget.available(now).max(0.0) as usize)
            .min(self.store_limits.max_transaction_writes())
            .min(slot_count / RELAYED_HEARTBEAT_SLOTS_PER_WRITE);
        if due.is_empty() || max_records == 0 || !self.read_budget.try_take(now, 1.0) {
            return;
        }
        let limits = RelayLimits {
            slot_count,
            max_records,
            max_value_bytes: self.store_limits.max_value_bytes(),
        };
        let last_slot = self.store_relay.last_slot;
        let builder = RelayTransactionBuilder::new(&self.settings.node_name, last_slot, limits);
        let transaction = self.store_relay.fill(due, builder, now);
        self.store_relay.last_slot = transaction.last_slot;
        self.send_relay_transaction(transaction);
    }

    fn send_relay_transaction(&mut self, transaction: RelayTransaction) {
        if transaction.writes.is_empty() {
            return;
        }
        let now = self.now.monotonic_ms;
        self.write_budget
            .take_unconditionally(now, transaction.writes.len() as f64);
        let call = StoreCall::RelayHeartbeats {
            machines: transaction.machines,
            size: transaction.size,
        };
        let txn = Txn {
            conditions: vec![],
            writes: transaction.writes,
        };
        self.send_transaction(call, &txn);
    }

    /// Handles the response to a transaction with relayed heartbeats. Rejected heartbeats are
    /// written again, in smaller transactions if their size may be the cause.
    pub(super) fn handle_store_relay_result(
        &mut self,
        machines: Vec<String>,
        size: TransactionSize,
        result: CallResult,
    ) {
        match result {
            Ok((200, _)) => return self.store_limits.record_accepted(),
            Ok((429, _)) => self.store_limits.record_rate_rejected(),
            Ok((400, _)) => {
                self.store_limits.record_size_rejected(size);
            }
            // The heartbeats may have been written, and each is written again after a while anyway.
            _ => return,
        }
        self.store_relay.mark_unwritten(&machines);
    }
}

/// Returns the number of slots to which this node writes its records in turn.
fn slot_count(settings: &Settings) -> usize {
    MIN_RELAYED_HEARTBEAT_SLOTS
        .max(settings.max_transaction_writes * RELAYED_HEARTBEAT_SLOTS_PER_WRITE)
}

#[cfg(test)]
#[path = "store_relay_tests.rs"]
mod tests;
