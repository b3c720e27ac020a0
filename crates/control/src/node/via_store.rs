//! Hands reports to the leader through the state service, where no node reaches it directly.
use super::*;
use stonegw_constants::{
    MAX_TXN_BYTES, MIN_RELAYED_HEARTBEAT_SLOTS, RELAYED_HEARTBEATS_INTERVAL_MS,
    RELAYED_HEARTBEATS_OVERHEAD_BYTES, RELAYED_HEARTBEAT_REPEAT_MS,
    RELAYED_HEARTBEAT_SLOTS_PER_WRITE, TXN_MARGIN_BYTES,
};

impl Node {
    /// A report that can't be relayed, from a worker that may be cut off with us. Its lease is
    /// kept alive with the leader's token, what is cancelled is ended, and the report goes on
    /// through the state service.
    pub(super) fn handle_heartbeat_via_store(
        &mut self,
        id: u64,
        report: Heartbeat,
        leader: String,
    ) {
        if self.try_start_leader_probe(&report.machine_id) {
            let node = Some(leader);
            return self
                .outbox
                .reply(id, 421, None, &Redirect { target_node: node });
        }
        // Only while our copy of the jobs and of the term is fresh enough to end in time what
        // is cancelled elsewhere.
        let term = self.replica.term().unwrap_or(0);
        if !self.watermark_current() || report.fencing_token > term {
            return self.reply_partitioned(id);
        }
        self.renew_lease_without_leader(id, &report, term);
        let entry = self
            .heartbeats_via_store
            .entry(report.machine_id.clone())
            .or_insert_with(|| (report.clone(), true, 0));
        // A late copy of an older report must not replace a newer one.
        if (report.incarnation, report.sequence) > (entry.0.incarnation, entry.0.sequence) {
            entry.1 |= entry.0.tasks != report.tasks || entry.0.incarnation != report.incarnation;
            entry.0 = report;
        }
    }

    /// Hands reports on, the longest unheard first, as many as the budget allows.
    pub(super) fn advance_via_store(&mut self) {
        let now = self.now.monotonic_ms;
        if self.heartbeats_via_store.is_empty()
            || now < self.next_via_store_at
            || self.replica_sync != ReplicaSync::Live
        {
            return;
        }
        self.next_via_store_at = now + RELAYED_HEARTBEATS_INTERVAL_MS;
        let redirected = &self.served_without_leader_since;
        self.heartbeats_via_store
            .retain(|m, _| redirected.contains_key(m));
        let mut due: Vec<(Millis, String)> = self
            .heartbeats_via_store
            .iter()
            .filter(|(_, (_, changed, at))| *changed || now >= at + RELAYED_HEARTBEAT_REPEAT_MS)
            .map(|(m, (_, _, at))| (*at, m.clone()))
            .collect();
        due.sort();
        let most = (self.write_budget.available(now).max(0.0) as usize)
            .min(self.store_limits.max_transaction_writes());
        // Small records are many: none may be written over in the transaction that wrote it.
        let slots = self.via_store_slots();
        let most = most.min(slots / RELAYED_HEARTBEAT_SLOTS_PER_WRITE);
        if due.is_empty() || most == 0 || !self.read_budget.try_take(now, 1.0) {
            return;
        }
        let mut txn = Txn {
            conditions: vec![],
            writes: vec![],
        };
        // As many reports as a record holds, as many records as the budget allows. Records are
        // written over in turn; whoever reads them tells the newer report by its number.
        let (mut batch, mut bytes, mut total) = (vec![], 0, TXN_MARGIN_BYTES);
        let (mut machines, mut sent) = (vec![], TransactionSize::default());
        for (_, machine) in due {
            let Some((report, changed, at)) = self.heartbeats_via_store.get_mut(&machine) else {
                continue;
            };
            let size = json_size_bytes(report) + 1;
            let room = self
                .store_limits
                .max_value_bytes()
                .saturating_sub(RELAYED_HEARTBEATS_OVERHEAD_BYTES);
            if size > room || total + size > MAX_TXN_BYTES {
                continue;
            }
            if bytes + size > room {
                let full = build_relayed_heartbeats_write(
                    &self.settings.node_name,
                    &mut self.via_store_slot,
                    slots,
                    &mut batch,
                );
                txn.writes.push(full);
                sent.add_write(bytes + RELAYED_HEARTBEATS_OVERHEAD_BYTES);
                bytes = 0;
                if txn.writes.len() >= most {
                    break;
                }
            }
            (bytes, total) = (bytes + size, total + size);
            (*changed, *at) = (false, now);
            batch.push(report.clone());
            machines.push(machine);
        }
        if !batch.is_empty() {
            let rest = build_relayed_heartbeats_write(
                &self.settings.node_name,
                &mut self.via_store_slot,
                slots,
                &mut batch,
            );
            txn.writes.push(rest);
            sent.add_write(bytes + RELAYED_HEARTBEATS_OVERHEAD_BYTES);
        }
        if txn.writes.is_empty() {
            return;
        }
        self.write_budget
            .take_unconditionally(now, txn.writes.len() as f64);
        let call = NodeCall::HeartbeatsViaStore {
            machines,
            size: sent,
        };
        self.send_transaction(&txn, call);
    }

    /// Reports that the state service refused are handed on again, at once or in smaller parts.
    pub(super) fn handle_via_store_result(
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
            _ => return,
        }
        for machine in machines {
            if let Some((_, changed, _)) = self.heartbeats_via_store.get_mut(&machine) {
                *changed = true;
            }
        }
    }

    /// Records in which this node hands reports on in turn.
    fn via_store_slots(&self) -> usize {
        MIN_RELAYED_HEARTBEAT_SLOTS
            .max(self.settings.max_transaction_writes * RELAYED_HEARTBEAT_SLOTS_PER_WRITE)
    }
}

/// A record of reports, in the next of so many slots of a node.
fn build_relayed_heartbeats_write(
    node: &str,
    slot: &mut usize,
    slots: usize,
    batch: &mut Vec<Heartbeat>,
) -> Write<StoredRecord> {
    *slot = (*slot + 1) % slots;
    let reports = std::mem::take(batch);
    let via = node.to_owned();
    Write::Put {
        key: records::relayed_heartbeats_key(node, *slot),
        value: StoredRecord::RelayedHeartbeats(Box::new(RelayedHeartbeatsRecord {
            relay_node: via,
            heartbeats: reports,
        })),
        lease_id: None,
    }
}
