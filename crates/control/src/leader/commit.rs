//! Puts what is due into one transaction at a time and sends it.
use super::transaction_builder::TransactionBuilder;
use super::*;
use stonegw_constants::{
    COMMIT_INTERVAL_MS, GARBAGE_COLLECTION_INTERVAL_MS, RESULT_TXN_DIVISOR, STORE_TIMEOUT_MS,
    URGENT_COMMIT_RESERVE_FRACTION,
};

impl Leader {
    /// Writes what is due, one transaction at a time. Every write names the stamp it replaces,
    /// so that a transaction applied late changes nothing.
    pub fn commit(&mut self, context: &mut LeaderContext) {
        let now = context.now.monotonic_ms;
        if self.commit_in_flight
            || self.revision_read_in_flight
            || now < self.next_commit_at
            || self.stage == Stage::Loading
        {
            return;
        }
        if self.read_unacknowledged_revision(context) {
            return;
        }
        if self.cluster.jobs_to_store.is_empty()
            && self.garbage_records.is_empty()
            && !self
                .cluster
                .machine_groups
                .values()
                .any(MachineGroup::needs_write)
        {
            return;
        }
        let level = context.write_budget.available(now);
        let most = (level.max(0.0) as usize).min(context.store_limits.max_transaction_writes());
        if most == 0 {
            return;
        }
        self.cluster.split_oversized_groups();
        let mut draft = TransactionBuilder::new(self.term, most);
        // Placements of urgent work are counted in seconds.
        self.add_machine_group_writes(&mut draft, |s| s.stored_state.dirty && s.is_urgent);
        self.add_job_end_writes(context, &mut draft);
        // The rest waits for company, and leaves urgent placements their budget.
        let ops = (context.store_limits.max_transaction_writes() as f64)
            .min(context.settings.store_writes_per_s);
        let reserve = ops * URGENT_COMMIT_RESERVE_FRACTION;
        if now >= self.next_batch_at && level > reserve {
            // Tasks wait for placements, nobody for results that can be told again: these have a
            // part of each transaction, so that they are stored all the same.
            self.add_result_writes(context, &mut draft, most.div_ceil(RESULT_TXN_DIVISOR));
            self.add_machine_group_writes(&mut draft, |s| s.stored_state.dirty);
            // A full transaction has no more company to wait for.
            if !draft.pending_writes.is_empty() && !draft.is_full {
                self.next_batch_at = now + COMMIT_INTERVAL_MS;
            }
        }
        // Tidying must not eat the budget that placements may need in the next second.
        if now >= self.collect_garbage_at && level > ops * 0.5 {
            self.collect_garbage_at = now + GARBAGE_COLLECTION_INTERVAL_MS;
            self.add_machine_group_writes(&mut draft, |s| s.stored_state.stale);
            for (key, stored) in &mut self.garbage_records {
                if let (Some(version), false) = (stored.revision, stored.write_in_flight) {
                    let item = PendingWrite::DeleteResultChunk { key: key.clone() };
                    if version != 0 && draft.add_write(key.clone(), version, None, item) {
                        stored.write_in_flight = true;
                    }
                }
            }
            self.garbage_records.retain(|(_, s)| s.revision != Some(0));
        }
        let TransactionBuilder {
            transaction: txn,
            pending_writes: items,
            size,
            ..
        } = draft;
        if items.is_empty() {
            return;
        }
        if !context.read_budget.try_take(now, 1.0) {
            return self.revert_commit(&items);
        }
        context
            .write_budget
            .take_unconditionally(now, items.len() as f64);
        self.commit_in_flight = true;
        let body = encode(&txn);
        let call = LeaderCall::Commit {
            writes: items,
            size,
        };
        let wait = STORE_TIMEOUT_MS;
        context.send_call(call, Target::Store, "POST", "/multi".into(), body, wait);
    }
}
