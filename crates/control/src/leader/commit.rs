//! Puts what is due into one transaction at a time and sends it.
use super::transaction_builder::TransactionBuilder;
use super::*;

impl Leader {
    /// Writes what is due, one transaction at a time. Every write names the stamp it replaces,
    /// so that a transaction applied late changes nothing.
    pub fn commit(&mut self, ctx: &mut LeaderContext) {
        let now = ctx.now.monotonic_ms;
        if self.commit_in_flight
            || self.revision_read_in_flight
            || now < self.next_commit_at
            || self.stage == Stage::Loading
        {
            return;
        }
        if self.read_unacknowledged_revision(ctx) {
            return;
        }
        if self.jobs_to_store.is_empty()
            && self.garbage_records.is_empty()
            && !self.machine_groups.values().any(MachineGroup::needs_write)
        {
            return;
        }
        let level = ctx.write_budget.available(now);
        let most = (level.max(0.0) as usize).min(ctx.store_limits.max_transaction_writes());
        if most == 0 {
            return;
        }
        self.split_oversized_groups();
        let mut draft = TransactionBuilder::new(self.term, most);
        // Placements of urgent work are counted in seconds.
        self.add_machine_group_writes(&mut draft, |s| s.stored_state.dirty && s.is_urgent);
        self.add_job_end_writes(ctx, &mut draft);
        // The rest waits for company, and leaves urgent placements their budget.
        let ops =
            (ctx.store_limits.max_transaction_writes() as f64).min(ctx.settings.store_writes_per_s);
        let reserve = ops * k::URGENT_COMMIT_RESERVE_FRACTION;
        if now >= self.next_batch_at && level > reserve {
            // Tasks wait for placements, nobody for results that can be told again: these have a
            // part of each transaction, so that they are stored all the same.
            self.add_result_writes(ctx, &mut draft, most.div_ceil(k::RESULT_TXN_DIVISOR));
            self.add_machine_group_writes(&mut draft, |s| s.stored_state.dirty);
            // A full transaction has no more company to wait for.
            if !draft.pending_writes.is_empty() && !draft.is_full {
                self.next_batch_at = now + k::COMMIT_INTERVAL_MS;
            }
        }
        // Tidying must not eat the budget that placements may need in the next second.
        if now >= self.collect_garbage_at && level > ops * 0.5 {
            self.collect_garbage_at = now + k::GARBAGE_COLLECTION_INTERVAL_MS;
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
        if !ctx.read_budget.try_take(now, 1.0) {
            return self.revert_commit(&items);
        }
        ctx.write_budget
            .take_unconditionally(now, items.len() as f64);
        self.commit_in_flight = true;
        let body = encode(&txn);
        let call = LeaderCall::Commit {
            writes: items,
            size,
        };
        let wait = k::STORE_TIMEOUT_MS;
        ctx.send_call(call, Target::Store, "POST", "/multi".into(), body, wait);
    }
}
