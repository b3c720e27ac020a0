//! Adds to a transaction the job ends and the task results that are due.
use super::transaction_builder::TransactionBuilder;
use super::Leader;
use crate::api::Millis;
use crate::cluster::{JobState, Machines, Phase};
use crate::context::LeaderContext;
use crate::pending_write::{PendingWrite, PlacementRef};
use crate::records::{
    job_key, result_chunk_key, JobEnd, JobRecord, ResultChunkRecord, StoredRecord,
};
use crate::scheduling::estimates::RunTimeEstimates;
use stonegw_constants::{
    LEADER_WRITE_FRACTION, RESULT_CHUNK_TASKS, RESULT_COMMIT_DELAY_MS, RESULT_WRITE_FRACTION,
};
use stonegw_wire::msg::ExitCause;

/// Returns the placements of a job's done tasks, or of those in one chunk, whose outcome is not
/// stored yet.
fn done_placements(machines: &Machines, job_id: &str, chunk: Option<u32>) -> Vec<PlacementRef> {
    let done = Phase::Exited {
        cause: ExitCause::Done,
        outcome_stored: false,
    };
    let in_chunk = |index: u32| chunk.is_none_or(|chunk| index / RESULT_CHUNK_TASKS == chunk);
    let mut done_placements = vec![];
    for machine_id in machines.machines_of_job(job_id) {
        let machine = machines.get(&machine_id);
        for placement in machine.iter().flat_map(|machine| &machine.placements) {
            if placement.job == job_id && placement.phase == done && in_chunk(placement.index) {
                done_placements.push(PlacementRef {
                    machine: machine_id.clone(),
                    attempt: placement.attempt,
                });
            }
        }
    }
    done_placements
}

/// Adds task results to a transaction.
struct ResultWriter<'a> {
    machines: &'a Machines,
    estimates: &'a RunTimeEstimates,
    /// A chunk waits for more results if its first unstored change is later than this time. If
    /// `due_before` is `None`, all chunks wait.
    due_before: Option<Millis>,
    /// How many more chunks may be added.
    remaining: usize,
}

impl ResultWriter<'_> {
    /// Adds the due chunks of a job.
    fn add_chunks(
        &mut self,
        transaction: &mut TransactionBuilder,
        job_id: &str,
        job: &mut JobState,
    ) {
        for (number, chunk) in &mut job.result_chunks {
            let stored_state = &mut chunk.stored_state;
            let (true, Some(revision), false) = (
                stored_state.dirty,
                stored_state.revision,
                stored_state.write_in_flight,
            ) else {
                continue;
            };
            let is_due = self.due_before.is_some_and(|at| chunk.dirty_since <= at);
            if !is_due || self.remaining == 0 {
                continue;
            }
            let first_task = number * RESULT_CHUNK_TASKS;
            let write = PendingWrite::ResultChunk {
                job: job_id.to_owned(),
                chunk: *number,
                exited_placements: done_placements(self.machines, job_id, Some(*number)),
            };
            let observed = self.estimates.observed_runs(job_id);
            let record = StoredRecord::ResultChunk(ResultChunkRecord {
                done_bitmap: job.done_tasks.encode(first_task, RESULT_CHUNK_TASKS),
                observed_runs: observed.count,
                mean_run_s: observed.mean_s(),
            });
            let key = result_chunk_key(job_id, *number);
            if transaction.add_write(key, revision, Some(record), write) {
                self.remaining -= 1;
                stored_state.dirty = false;
                stored_state.write_in_flight = true;
            }
        }
    }
}

impl Leader {
    /// Adds the ends of jobs whose tasks are all done. Users wait for these ends to be stored.
    pub(super) fn add_job_end_writes(
        &mut self,
        context: &LeaderContext,
        transaction: &mut TransactionBuilder,
    ) {
        for job_id in &self.cluster.jobs_to_store {
            let (Some(job), Some(replicated)) = (
                self.cluster.jobs.get_mut(job_id),
                context.replica.jobs.get(job_id),
            ) else {
                continue;
            };
            if job.done_count != job.spec.task_count || job.end_write_in_flight {
                continue;
            }
            let estimates = &self.scheduler.state.estimates;
            let record = JobRecord {
                spec: None,
                end: Some(JobEnd::Done),
                observed_run_times: estimates.observed_run_times(&job.spec),
                ..replicated.record.clone()
            };
            let write = PendingWrite::JobEnd {
                job: job_id.clone(),
                exited_placements: done_placements(&self.cluster.machines, job_id, None),
            };
            let value = Some(StoredRecord::Job(Box::new(record)));
            if transaction.add_write(job_key(job_id), replicated.revision, value, write) {
                job.end_write_in_flight = true;
            }
        }
    }

    /// Adds results of jobs that have not ended, at most `max_chunks` chunks. Results wait a
    /// little, so that one write holds several of them. The workers report them until they are
    /// stored.
    pub(super) fn add_result_writes(
        &mut self,
        context: &LeaderContext,
        transaction: &mut TransactionBuilder,
        max_chunks: usize,
    ) {
        let delay_ms = self.result_delay_ms(context);
        let mut writer = ResultWriter {
            machines: &self.cluster.machines,
            estimates: &self.scheduler.state.estimates,
            due_before: context.now.monotonic_ms.checked_sub(delay_ms),
            remaining: max_chunks,
        };
        let mut stored_jobs = vec![];
        // The jobs take turns, so that none is passed over for long.
        let first = std::mem::take(&mut self.writer.next_results_job);
        let jobs_to_store = &self.cluster.jobs_to_store;
        let from_first = jobs_to_store.range(first.clone()..);
        for job_id in from_first.chain(jobs_to_store.range(..first)) {
            if writer.remaining == 0 {
                self.writer.next_results_job = job_id.clone();
                break;
            }
            let Some(job) = self.cluster.jobs.get_mut(job_id) else {
                stored_jobs.push(job_id.clone());
                continue;
            };
            if job.done_count == job.spec.task_count {
                continue;
            }
            writer.add_chunks(transaction, job_id, job);
            let mut chunks = job.result_chunks.values();
            if !chunks.any(|chunk| chunk.stored_state.dirty) {
                stored_jobs.push(job_id.clone());
            }
        }
        for job_id in stored_jobs {
            self.cluster.jobs_to_store.remove(&job_id);
        }
    }

    /// Returns how long results wait. The more jobs have results, the longer they wait, so that
    /// together they take only a fraction of the write budget.
    fn result_delay_ms(&self, context: &LeaderContext) -> Millis {
        let writes_per_s =
            (context.settings.store_writes_per_s * LEADER_WRITE_FRACTION * RESULT_WRITE_FRACTION)
                .max(0.1);
        let jobs = self.cluster.jobs_to_store.len() as f64;
        RESULT_COMMIT_DELAY_MS.max((jobs / writes_per_s * 1e3) as u64)
    }
}
