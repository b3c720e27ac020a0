//! Puts the ends and the results of jobs that are due into a transaction.
use super::transaction_builder::TransactionBuilder;
use super::*;
use stonegw_constants::{
    LEADER_WRITE_FRACTION, RESULT_CHUNK_TASKS, RESULT_COMMIT_DELAY_MS, RESULT_WRITE_FRACTION,
};

/// What was done of a job, or of one chunk of it, and is still shown by a worker.
fn done_placements(machines: &Machines, job: &str, chunk: Option<u32>) -> Vec<PlacementRef> {
    let mut out = vec![];
    for id in machines.machines_of_job(job) {
        for p in machines.get(&id).iter().flat_map(|m| &m.placements) {
            let done = Phase::Exited {
                cause: ExitCause::Done,
                outcome_stored: false,
            };
            let here = chunk.is_none_or(|c| p.index / RESULT_CHUNK_TASKS == c);
            if p.job == job && p.phase == done && here {
                out.push((id.clone(), p.attempt));
            }
        }
    }
    out
}

impl Leader {
    /// Jobs of which all tasks are done: users wait for it.
    pub(super) fn add_job_end_writes(
        &mut self,
        context: &LeaderContext,
        draft: &mut TransactionBuilder,
    ) {
        for id in &self.cluster.jobs_to_store {
            let (Some(w), Some(j)) = (self.cluster.jobs.get_mut(id), context.replica.jobs.get(id))
            else {
                continue;
            };
            if w.done_count != w.spec.task_count || w.end_write_in_flight {
                continue;
            }
            let record = JobRecord {
                spec: None,
                end: Some(JobEnd::Done),
                observed_run_times: self.scheduler.state.estimates.observed_run_times(&w.spec),
                ..j.record.clone()
            };
            let item = PendingWrite::JobEnd {
                job: id.clone(),
                exited_placements: done_placements(&self.cluster.machines, id, None),
            };
            let value = Some(StoredRecord::Job(Box::new(record)));
            if draft.add_write(job_key(id), j.revision, value, item) {
                w.end_write_in_flight = true;
            }
        }
    }

    /// Results of jobs that go on. They wait a little, so that one write holds several; the
    /// worker tells them until they are stored.
    pub(super) fn add_result_writes(
        &mut self,
        context: &LeaderContext,
        draft: &mut TransactionBuilder,
        most: usize,
    ) {
        let now = context.now.monotonic_ms;
        // The more jobs have results, the longer each waits: together they take a part of what
        // may be written.
        let rate =
            (context.settings.store_writes_per_s * LEADER_WRITE_FRACTION * RESULT_WRITE_FRACTION)
                .max(0.1);
        let wait = RESULT_COMMIT_DELAY_MS
            .max((self.cluster.jobs_to_store.len() as f64 / rate * 1e3) as u64);
        let mut left = most;
        let mut settled = vec![];
        // In turn, so that none is passed over for long.
        let next = std::mem::take(&mut self.next_results_job);
        for id in self
            .cluster
            .jobs_to_store
            .range(next.clone()..)
            .chain(self.cluster.jobs_to_store.range(..next))
        {
            if left == 0 {
                self.next_results_job = id.clone();
                break;
            }
            let Some(w) = self.cluster.jobs.get_mut(id) else {
                settled.push(id.clone());
                continue;
            };
            if w.done_count == w.spec.task_count {
                continue;
            }
            for (n, c) in &mut w.result_chunks {
                let (true, Some(version), false) = (
                    c.stored_state.dirty,
                    c.stored_state.revision,
                    c.stored_state.write_in_flight,
                ) else {
                    continue;
                };
                if now < c.dirty_since + wait || left == 0 {
                    continue;
                }
                let bits = w
                    .done_tasks
                    .encode(n * RESULT_CHUNK_TASKS, RESULT_CHUNK_TASKS);
                let item = PendingWrite::ResultChunk {
                    job: id.clone(),
                    chunk: *n,
                    exited_placements: done_placements(&self.cluster.machines, id, Some(*n)),
                };
                let (runs, run_s) = self.scheduler.state.estimates.observed_runs(id);
                let value = StoredRecord::ResultChunk(ResultChunkRecord {
                    done_bitmap: bits,
                    observed_runs: runs,
                    mean_run_s: run_s,
                });
                if draft.add_write(result_chunk_key(id, *n), version, Some(value), item) {
                    left -= 1;
                    c.stored_state.dirty = false;
                    c.stored_state.write_in_flight = true;
                }
            }
            if !w.result_chunks.values().any(|c| c.stored_state.dirty) {
                settled.push(id.clone());
            }
        }
        for id in settled {
            self.cluster.jobs_to_store.remove(&id);
        }
    }
}
