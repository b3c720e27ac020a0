//! What follows from the answer to a transaction.
use super::*;
use stonegw_constants::{STORE_RETRY_BACKOFF_MAX_MS, STORE_RETRY_BACKOFF_MS};

impl Leader {
    /// The bookkeeping of the record that an item changes.
    pub(super) fn stored_state_of(&mut self, item: &PendingWrite) -> Option<&mut StoredState> {
        match item {
            PendingWrite::MachineGroup {
                machine_group: shard,
                ..
            }
            | PendingWrite::DeleteMachineGroup {
                machine_group: shard,
            } => self
                .cluster
                .machine_groups
                .get_mut(shard)
                .map(|s| &mut s.stored_state),
            PendingWrite::ResultChunk { job, chunk, .. } => {
                if let Some(w) = self.cluster.jobs.get_mut(job) {
                    return w.result_chunks.get_mut(chunk).map(|c| &mut c.stored_state);
                }
                let key = result_chunk_key(job, *chunk);
                self.garbage_records
                    .iter_mut()
                    .find(|d| d.0 == key)
                    .map(|d| &mut d.1)
            }
            PendingWrite::DeleteResultChunk { key } => {
                let key = key.clone();
                self.garbage_records
                    .iter_mut()
                    .find(|d| d.0 == key)
                    .map(|d| &mut d.1)
            }
            PendingWrite::JobEnd { .. } => None,
        }
    }

    /// Nothing of it was carried out: all is due again.
    pub(super) fn revert_commit(&mut self, items: &[PendingWrite]) {
        for item in items {
            if let PendingWrite::JobEnd { job, .. } | PendingWrite::ResultChunk { job, .. } = item {
                self.cluster.jobs_to_store.insert(job.clone());
            }
            if let PendingWrite::JobEnd { job, .. } = item {
                if let Some(w) = self.cluster.jobs.get_mut(job) {
                    w.end_write_in_flight = false;
                }
            } else if let Some(s) = self.stored_state_of(item) {
                s.write_in_flight = false;
                s.dirty = true;
            }
        }
    }

    /// Takes the answer of the state service to a transaction.
    pub(super) fn commit_done(
        &mut self,
        context: &mut LeaderContext,
        items: Vec<PendingWrite>,
        size: TransactionSize,
        result: CallResult,
    ) {
        let now = context.now.monotonic_ms;
        self.commit_in_flight = false;
        match &result {
            Ok((200, _)) => context.store_limits.record_accepted(),
            Ok((429, _)) => context.store_limits.record_rate_rejected(),
            _ => {}
        }
        match result {
            Ok((200, body)) => match decode::<TxnResponse>(&body) {
                Ok(a) => self.apply_commit(context, items, a.revision),
                Err(e) => {
                    log::warn!("transaction answer not understood: {e}");
                    self.revert_unacknowledged(&items);
                }
            },
            Ok((409, body)) => {
                let failed = decode::<TxnResponse>(&body)
                    .map(|a| a.failed_keys)
                    .unwrap_or_default();
                if failed.iter().any(|f| f == LEADER_KEY) {
                    log::warn!("term {}: the leader key is no longer ours", self.term);
                    self.deposed = true;
                    return;
                }
                self.revert_commit(&items);
                for item in &items {
                    let key = pending_write_key(item);
                    if failed.contains(&key) {
                        self.mark_unacknowledged(item);
                    }
                }
                self.next_commit_at = now + STORE_RETRY_BACKOFF_MS;
            }
            Ok((429 | 503, _)) | Err(CallError::NotSent) => {
                self.revert_commit(&items);
                self.next_commit_at = now + STORE_RETRY_BACKOFF_MS;
            }
            // The limits were lowered: the same again, in smaller parts.
            Ok((400, _)) if context.store_limits.record_size_rejected(size) => {
                self.revert_commit(&items);
                self.next_commit_at = now + STORE_RETRY_BACKOFF_MS;
            }
            Ok((status, body)) => {
                log::error!(
                    "transaction refused: {status} {}",
                    String::from_utf8_lossy(&body)
                );
                self.revert_commit(&items);
                self.deprioritize_writes(now, &items);
                self.next_commit_at = now + STORE_RETRY_BACKOFF_MAX_MS;
            }
            // It may have been carried out, or be applied yet: read the stamps before writing.
            Err(CallError::OutcomeUnknown | CallError::ResponseTooLarge) => {
                self.revert_unacknowledged(&items);
                self.next_commit_at = now + STORE_RETRY_BACKOFF_MS;
            }
        }
    }

    /// What can't be written must not keep other records waiting.
    fn deprioritize_writes(&mut self, now: Millis, items: &[PendingWrite]) {
        for item in items {
            if let PendingWrite::MachineGroup {
                machine_group: shard,
                ..
            } = item
            {
                if let Some(s) = self.cluster.machine_groups.get_mut(shard) {
                    s.dirty_since = now;
                    s.is_urgent = false;
                }
            }
        }
    }

    /// It is not known whether these were carried out.
    fn revert_unacknowledged(&mut self, items: &[PendingWrite]) {
        self.revert_commit(items);
        for item in items {
            self.mark_unacknowledged(item);
        }
    }

    /// Has the stamp of a record read before it is written again.
    fn mark_unacknowledged(&mut self, item: &PendingWrite) {
        let Some(s) = self.stored_state_of(item) else {
            return;
        };
        if s.revision.take().is_some() {
            self.unacknowledged_writes.push(item.clone());
        }
    }

    /// All of it was carried out, at this revision.
    fn apply_commit(
        &mut self,
        context: &mut LeaderContext,
        items: Vec<PendingWrite>,
        revision: u64,
    ) {
        let mut settled: Vec<PlacementRef> = vec![];
        for item in items {
            let gone = matches!(item, PendingWrite::DeleteMachineGroup { .. });
            if let Some(s) = self.stored_state_of(&item) {
                s.write_in_flight = false;
                s.revision = Some(if gone { 0 } else { revision });
            }
            match item {
                PendingWrite::MachineGroup {
                    machine_group: shard,
                    new_placements: new,
                } => {
                    self.cluster.clear_stored_successor(shard);
                    for on in new {
                        self.mark_placement_stored(&on);
                    }
                }
                // Something may have gone into it since.
                PendingWrite::DeleteMachineGroup {
                    machine_group: shard,
                } => {
                    if self
                        .cluster
                        .machine_groups
                        .get(&shard)
                        .is_some_and(|s| s.machines.is_empty())
                    {
                        self.cluster.machine_groups.remove(&shard);
                    }
                }
                PendingWrite::ResultChunk {
                    exited_placements: exits,
                    ..
                } => settled.extend(exits),
                PendingWrite::DeleteResultChunk { key } => {
                    self.garbage_records.retain(|d| d.0 != key)
                }
                PendingWrite::JobEnd {
                    job,
                    exited_placements: exits,
                } => {
                    settled.extend(exits);
                    if let Some(j) = context.replica.jobs.get(&job) {
                        let record = JobRecord {
                            spec: None,
                            end: Some(JobEnd::Done),
                            observed_run_times: None,
                            ..j.record.clone()
                        };
                        context.replica.put_job(&job, record, revision);
                    }
                    if let Some(s) =
                        self.cluster.jobs.get(&job).and_then(|w| {
                            self.scheduler.state.estimates.observed_run_times(&w.spec)
                        })
                    {
                        self.scheduler
                            .state
                            .estimates
                            .record_estimate_ratio(&s.class, s.run_to_estimate_ratio);
                    }
                    log::info!("job {job} done");
                    self.end_job(&job, JobEnd::Done);
                }
            }
        }
        for on in settled {
            self.update_placements(&on, |p| {
                if let Phase::Exited {
                    outcome_stored: settled,
                    ..
                } = &mut p.phase
                {
                    *settled = true;
                }
            });
        }
    }

    /// A single task may be started now; one of a gang waits for the gang's other placements.
    fn mark_placement_stored(&mut self, on: &PlacementRef) {
        let works = &self.cluster.jobs;
        let Some(mut m) = self.cluster.machines.edit(&on.0) else {
            return;
        };
        for p in m.placements.iter_mut() {
            if p.attempt != on.1 || p.phase != Phase::Unstored {
                continue;
            }
            let in_gang = works.get(&p.job).is_some_and(|w| w.gang.is_some());
            self.cluster.gangs_changed |= in_gang;
            p.set_phase(if in_gang {
                Phase::Stored
            } else {
                Phase::Startable
            });
        }
    }

    /// Changes an attempt's placements, as far as they are still there.
    fn update_placements(
        &mut self,
        (machine, attempt): &PlacementRef,
        change: impl Fn(&mut Placement),
    ) {
        if let Some(mut m) = self.cluster.machines.edit(machine) {
            let of_attempt = m.placements.iter_mut().filter(|p| p.attempt == *attempt);
            of_attempt.for_each(change);
        }
    }
}
