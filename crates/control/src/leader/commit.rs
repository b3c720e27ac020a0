//! Builds a transaction of the writes that are due and sends it.
use super::record_writer::GarbageRecord;
use super::transaction_builder::TransactionBuilder;
use super::{Leader, Stage};
use crate::api::{Millis, Target};
use crate::calls::LeaderCall;
use crate::cluster::MachineGroup;
use crate::context::LeaderContext;
use crate::pending_write::PendingWrite;
use stonegw_constants::{
    COMMIT_INTERVAL_MS, GARBAGE_COLLECTION_INTERVAL_MS, RESULT_TXN_DIVISOR, STORE_TIMEOUT_MS,
    URGENT_COMMIT_RESERVE_FRACTION,
};
use stonegw_wire::msg::encode;

/// Fraction of a second's writes that garbage collection leaves to placements.
const GARBAGE_COLLECTION_RESERVE_FRACTION: f64 = 0.5;

impl Leader {
    /// Writes what is due, with one transaction in flight at a time. Every write names the revision
    /// that it replaces, so that a transaction that is applied late changes nothing.
    pub fn commit(&mut self, context: &mut LeaderContext) {
        let now = context.now.monotonic_ms;
        if self.writer.must_wait(now) || self.stage == Stage::Loading {
            return;
        }
        if self.read_unacknowledged_revision(context) || !self.has_writes() {
            return;
        }
        if let Some(transaction) = self.build_transaction(context) {
            self.send_transaction(context, transaction);
        }
    }

    fn has_writes(&self) -> bool {
        let mut groups = self.cluster.machine_groups.values();
        !self.cluster.jobs_to_store.is_empty()
            || !self.writer.garbage_records.is_empty()
            || groups.any(MachineGroup::needs_write)
    }

    /// Builds a transaction of the writes that are due, as far as the budget allows. Returns `None`
    /// if nothing may be written at present.
    fn build_transaction(&mut self, context: &mut LeaderContext) -> Option<TransactionBuilder> {
        let now = context.now.monotonic_ms;
        let available_writes = context.write_budget.available(now);
        let max_transaction_writes = context.store_limits.max_transaction_writes();
        let max_writes = (available_writes.max(0.0) as usize).min(max_transaction_writes);
        if max_writes == 0 {
            return None;
        }
        self.cluster.split_oversized_groups();
        let mut transaction = TransactionBuilder::new(self.term, max_writes);
        // For urgent tasks a delay of seconds matters, so their placements are added first.
        self.add_machine_group_writes(&mut transaction, |group| {
            group.stored_state.dirty && group.is_urgent
        });
        self.add_job_end_writes(context, &mut transaction);
        // All other writes are batched, and leave urgent placements a reserve of the budget.
        let writes_per_s = (max_transaction_writes as f64).min(context.settings.store_writes_per_s);
        let urgent_reserve = writes_per_s * URGENT_COMMIT_RESERVE_FRACTION;
        if now >= self.writer.next_batch_at && available_writes > urgent_reserve {
            self.add_batched_writes(context, &mut transaction);
        }
        // Garbage collection must leave the budget that placements may need in the next second.
        let placement_reserve = writes_per_s * GARBAGE_COLLECTION_RESERVE_FRACTION;
        if now >= self.writer.collect_garbage_at && available_writes > placement_reserve {
            self.add_garbage_writes(now, &mut transaction);
        }
        Some(transaction)
    }

    /// Adds results and the placements that are not urgent. Tasks cannot start until their
    /// placements are stored. Nothing waits for results, since the workers keep reporting them, but
    /// results may take a share of each transaction, so that placements do not displace them.
    fn add_batched_writes(
        &mut self,
        context: &LeaderContext,
        transaction: &mut TransactionBuilder,
    ) {
        let max_results = transaction.max_writes.div_ceil(RESULT_TXN_DIVISOR);
        self.add_result_writes(context, transaction, max_results);
        self.add_machine_group_writes(transaction, |group| group.stored_state.dirty);
        // The next batch waits so that more writes accumulate, but not after a full transaction.
        if !transaction.pending_writes.is_empty() && !transaction.is_full {
            self.writer.next_batch_at = context.now.monotonic_ms + COMMIT_INTERVAL_MS;
        }
    }

    /// Adds records that hold more than they need to, and deletions of ended jobs' result records.
    fn add_garbage_writes(&mut self, now: Millis, transaction: &mut TransactionBuilder) {
        self.writer.collect_garbage_at = now + GARBAGE_COLLECTION_INTERVAL_MS;
        self.add_machine_group_writes(transaction, |group| group.stored_state.stale);
        for GarbageRecord { key, stored_state } in &mut self.writer.garbage_records {
            let (Some(revision), false) = (stored_state.revision, stored_state.write_in_flight)
            else {
                continue;
            };
            let write = PendingWrite::DeleteResultChunk { key: key.clone() };
            if revision != 0 && transaction.add_write(key.clone(), revision, None, write) {
                stored_state.write_in_flight = true;
            }
        }
        self.writer
            .garbage_records
            .retain(|record| record.stored_state.revision != Some(0));
    }

    fn send_transaction(&mut self, context: &mut LeaderContext, transaction: TransactionBuilder) {
        let now = context.now.monotonic_ms;
        let writes = transaction.pending_writes;
        if writes.is_empty() {
            return;
        }
        if !context.read_budget.try_take(now, 1.0) {
            return self.revert_commit(&writes);
        }
        context
            .write_budget
            .take_unconditionally(now, writes.len() as f64);
        self.writer.request_in_flight = true;
        let body = encode(&transaction.transaction);
        let size = transaction.size;
        let call = LeaderCall::Commit { writes, size };
        let path = "/multi".into();
        context.send_call(call, Target::Store, "POST", path, body, STORE_TIMEOUT_MS);
    }
}
