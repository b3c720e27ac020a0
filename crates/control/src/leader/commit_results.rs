//! Processes the results of transactions.
use super::Leader;
use crate::api::{CallError, CallResult, Millis};
use crate::cluster::{Phase, StoredState};
use crate::context::LeaderContext;
use crate::pending_write::{PendingWrite, PlacementRef};
use crate::records::{result_chunk_key, JobEnd, JobRecord, LEADER_KEY};
use crate::store_limits::TransactionSize;
use stonegw_constants::{STORE_ERROR_BACKOFF_MS, STORE_RETRY_BACKOFF_MS};
use stonegw_wire::msg::{decode, TxnResponse};

impl Leader {
    /// Returns the stored state of the record that a write changes.
    pub(super) fn stored_state_of(&mut self, write: &PendingWrite) -> Option<&mut StoredState> {
        match write {
            PendingWrite::MachineGroup { machine_group, .. }
            | PendingWrite::DeleteMachineGroup { machine_group } => {
                let group = self.cluster.machine_groups.get_mut(machine_group);
                group.map(|group| &mut group.stored_state)
            }
            PendingWrite::ResultChunk { job, chunk, .. } => {
                if let Some(job) = self.cluster.jobs.get_mut(job) {
                    let chunk = job.result_chunks.get_mut(chunk);
                    return chunk.map(|chunk| &mut chunk.stored_state);
                }
                self.writer.garbage_state(&result_chunk_key(job, *chunk))
            }
            PendingWrite::DeleteResultChunk { key } => self.writer.garbage_state(key),
            PendingWrite::JobEnd { .. } => None,
        }
    }

    /// Makes the writes of a transaction due again, because none of them was applied.
    pub(super) fn revert_commit(&mut self, writes: &[PendingWrite]) {
        for write in writes {
            if let PendingWrite::JobEnd { job, .. } | PendingWrite::ResultChunk { job, .. } = write
            {
                self.cluster.jobs_to_store.insert(job.clone());
            }
            if let PendingWrite::JobEnd { job, .. } = write {
                if let Some(job) = self.cluster.jobs.get_mut(job) {
                    job.end_write_in_flight = false;
                }
            } else if let Some(stored_state) = self.stored_state_of(write) {
                stored_state.write_in_flight = false;
                stored_state.dirty = true;
            }
        }
    }

    /// Processes the result of a transaction.
    pub(super) fn commit_done(
        &mut self,
        context: &mut LeaderContext,
        writes: Vec<PendingWrite>,
        size: TransactionSize,
        result: CallResult,
    ) {
        let retry_at = context.now.monotonic_ms + STORE_RETRY_BACKOFF_MS;
        self.writer.request_in_flight = false;
        match result {
            Ok((200, body)) => {
                context.store_limits.record_accepted();
                self.commit_accepted(context, writes, &body);
            }
            Ok((409, body)) => self.commit_conflicted(&writes, &body, retry_at),
            Ok((429, _)) => {
                context.store_limits.record_rate_rejected();
                self.revert_commit(&writes);
                self.writer.next_commit_at = retry_at;
            }
            Ok((503, _)) | Err(CallError::NotSent) => {
                self.revert_commit(&writes);
                self.writer.next_commit_at = retry_at;
            }
            // The store has lowered its limits: the same writes are sent again in smaller parts.
            Ok((400, _)) if context.store_limits.record_size_rejected(size) => {
                self.revert_commit(&writes);
                self.writer.next_commit_at = retry_at;
            }
            Ok((status, body)) => {
                let now = context.now.monotonic_ms;
                let reason = String::from_utf8_lossy(&body);
                log::error!("the store rejected a transaction with status {status}: {reason}");
                self.revert_commit(&writes);
                self.deprioritize_writes(now, &writes);
                self.writer.next_commit_at = now + STORE_ERROR_BACKOFF_MS;
            }
            // The transaction may have been applied, or may still be applied later, so the
            // revisions are read before the next write.
            Err(CallError::OutcomeUnknown | CallError::ResponseTooLarge) => {
                self.revert_unacknowledged(&writes);
                self.writer.next_commit_at = retry_at;
            }
        }
    }

    fn commit_accepted(
        &mut self,
        context: &mut LeaderContext,
        writes: Vec<PendingWrite>,
        body: &[u8],
    ) {
        match decode::<TxnResponse>(body) {
            Ok(response) => self.apply_commit(context, writes, response.revision),
            Err(error) => {
                log::warn!("can't decode the response to a transaction, outcome unknown: {error}");
                self.revert_unacknowledged(&writes);
            }
        }
    }

    /// Handles a transaction that was rejected because some record has another revision than the
    /// leader expects: another leader wrote it, or an earlier write of this leader was applied
    /// late.
    fn commit_conflicted(&mut self, writes: &[PendingWrite], body: &[u8], retry_at: Millis) {
        let failed_keys = decode::<TxnResponse>(body)
            .map(|response| response.failed_keys)
            .unwrap_or_default();
        if failed_keys.iter().any(|key| key == LEADER_KEY) {
            log::warn!(
                "term {}: this node no longer holds the leader key; stepping down",
                self.term
            );
            self.deposed = true;
            return;
        }
        self.revert_commit(writes);
        for write in writes {
            if failed_keys.contains(&write.key()) {
                self.mark_unacknowledged(write);
            }
        }
        self.writer.next_commit_at = retry_at;
    }

    /// Moves the groups of a rejected transaction to the end of the write order, so that a record
    /// that can't be written does not delay the others.
    fn deprioritize_writes(&mut self, now: Millis, writes: &[PendingWrite]) {
        for write in writes {
            let PendingWrite::MachineGroup { machine_group, .. } = write else {
                continue;
            };
            if let Some(group) = self.cluster.machine_groups.get_mut(machine_group) {
                group.dirty_since = now;
                group.is_urgent = false;
            }
        }
    }

    /// Makes writes due again whose outcome is unknown.
    fn revert_unacknowledged(&mut self, writes: &[PendingWrite]) {
        self.revert_commit(writes);
        for write in writes {
            self.mark_unacknowledged(write);
        }
    }

    /// Forgets the revision of a record, so that the revision is read before the record is written
    /// again.
    fn mark_unacknowledged(&mut self, write: &PendingWrite) {
        let Some(stored_state) = self.stored_state_of(write) else {
            return;
        };
        if stored_state.revision.take().is_some() {
            self.writer.unacknowledged_writes.push(write.clone());
        }
    }

    /// Updates the leader's state after a transaction was applied at `revision`.
    fn apply_commit(
        &mut self,
        context: &mut LeaderContext,
        writes: Vec<PendingWrite>,
        revision: u64,
    ) {
        let mut stored_exits: Vec<PlacementRef> = vec![];
        for write in writes {
            let is_delete = matches!(write, PendingWrite::DeleteMachineGroup { .. });
            if let Some(stored_state) = self.stored_state_of(&write) {
                stored_state.write_in_flight = false;
                stored_state.revision = Some(if is_delete { 0 } else { revision });
            }
            match write {
                PendingWrite::MachineGroup {
                    machine_group,
                    new_placements,
                } => {
                    self.cluster.clear_stored_successor(machine_group);
                    for placement in &new_placements {
                        self.mark_placement_stored(placement);
                    }
                }
                PendingWrite::DeleteMachineGroup { machine_group } => {
                    self.remove_empty_group(machine_group);
                }
                PendingWrite::ResultChunk {
                    exited_placements, ..
                } => stored_exits.extend(exited_placements),
                PendingWrite::DeleteResultChunk { key } => self.writer.remove_garbage(&key),
                PendingWrite::JobEnd {
                    job,
                    exited_placements,
                } => {
                    stored_exits.extend(exited_placements);
                    self.finish_job(context, &job, revision);
                }
            }
        }
        for placement in &stored_exits {
            self.mark_outcome_stored(placement);
        }
    }

    /// Removes a group whose record was deleted, unless machines have joined it since.
    fn remove_empty_group(&mut self, number: u32) {
        let group = self.cluster.machine_groups.get(&number);
        if group.is_some_and(|group| group.machines.is_empty()) {
            self.cluster.machine_groups.remove(&number);
        }
    }

    /// Ends a job whose tasks are all done, once its end is stored.
    fn finish_job(&mut self, context: &mut LeaderContext, job_id: &str, revision: u64) {
        if let Some(job) = context.replica.jobs.get(job_id) {
            let record = JobRecord {
                spec: None,
                end: Some(JobEnd::Done),
                observed_run_times: None,
                ..job.record.clone()
            };
            context.replica.put_job(job_id, record, revision);
        }
        let estimates = &mut self.scheduler.state.estimates;
        let job = self.cluster.jobs.get(job_id);
        if let Some(observed) = job.and_then(|job| estimates.observed_run_times(&job.spec)) {
            estimates.record_estimate_ratio(&observed.class, observed.run_to_estimate_ratio);
        }
        log::info!("job {job_id} is done: the end is stored");
        self.end_job(job_id, JobEnd::Done);
    }

    /// Marks a placement as stored. A single task may be started now; a gang's task waits until the
    /// gang's other placements are stored.
    fn mark_placement_stored(&mut self, stored: &PlacementRef) {
        let jobs = &self.cluster.jobs;
        let Some(mut machine) = self.cluster.machines.edit(&stored.machine) else {
            return;
        };
        for placement in machine.placements.iter_mut() {
            if placement.attempt != stored.attempt || placement.phase != Phase::Unstored {
                continue;
            }
            let job = jobs.get(&placement.job);
            let is_in_gang = job.is_some_and(|job| job.gang.is_some());
            self.cluster.gangs_changed |= is_in_gang;
            placement.set_phase(if is_in_gang {
                Phase::Stored
            } else {
                Phase::Startable
            });
        }
    }

    /// Marks the outcome of an exited attempt as stored, so that the worker may forget the attempt.
    fn mark_outcome_stored(&mut self, exited: &PlacementRef) {
        let Some(mut machine) = self.cluster.machines.edit(&exited.machine) else {
            return;
        };
        for placement in &mut machine.placements {
            if placement.attempt == exited.attempt {
                placement.mark_outcome_stored();
            }
        }
    }
}
