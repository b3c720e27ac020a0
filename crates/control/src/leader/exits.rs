//! Processes tasks that have exited: records done tasks and handles failed ones.
use super::Leader;
use crate::api::Millis;
use crate::cluster::{JobState, Phase, Placement, ResultChunk, StoredState, TaskKey};
use crate::context::LeaderContext;
use crate::scheduling::gang_lifecycle::GangLifecycle;
use std::collections::BTreeMap;
use stonegw_constants::RESULT_CHUNK_TASKS;
use stonegw_wire::msg::ExitCause;

/// The exit of a task that has not been processed yet.
struct TaskExit {
    key: TaskKey,
    cause: ExitCause,
    /// How long the task ran, if that is known.
    run_s: Option<f64>,
}

impl Leader {
    /// Processes the tasks on a machine that have exited since the last call.
    pub(super) fn process_exits(&mut self, context: &mut LeaderContext, machine_id: &str) {
        let now = context.now.monotonic_ms;
        let jobs = &self.cluster.jobs;
        let Some(mut machine) = self.cluster.machines.edit(machine_id) else {
            return;
        };
        let machine_type = machine.machine_type.clone();
        let exits: Vec<TaskExit> = machine
            .placements
            .iter_mut()
            .filter_map(|placement| new_exit(placement, jobs, now))
            .collect();
        drop(machine);
        for exit in exits {
            self.process_exit(now, machine_id, &machine_type, &exit);
        }
    }

    fn process_exit(&mut self, now: Millis, machine_id: &str, machine_type: &str, exit: &TaskExit) {
        let TaskKey { job: job_id, index } = &exit.key;
        self.cluster.scheduling_needed = true;
        let Some(job) = self.cluster.jobs.get(job_id) else {
            return;
        };
        if exit.cause != ExitCause::Done {
            self.handle_task_failure(now, machine_id, job_id, *index, exit.cause);
        } else if job.gang.is_some() {
            let estimates = &mut self.scheduler.state.estimates;
            GangLifecycle::new(&mut self.cluster).finish_gang(estimates, now, job_id, machine_type);
        } else {
            self.finish_task(now, machine_type, exit);
            self.cluster.dequeue(job_id, *index);
        }
    }

    /// Records that a task is done and marks its result to be stored.
    fn finish_task(&mut self, now: Millis, machine_type: &str, exit: &TaskExit) {
        let TaskKey { job: job_id, index } = &exit.key;
        let Some(job) = self.cluster.jobs.get_mut(job_id) else {
            return;
        };
        if !job.done_tasks.set(*index) {
            return;
        }
        job.done_count += 1;
        job.remove_pending(*index);
        job.pruned_tasks.remove(index);
        if job.failures.job_is_broken() {
            job.retry_at = now;
        }
        job.failures.record_success();
        job.result_chunks
            .entry(index / RESULT_CHUNK_TASKS)
            .or_insert_with(|| ResultChunk::new(StoredState::absent()))
            .mark_dirty(now);
        self.cluster.jobs_to_store.insert(job_id.clone());
        if let Some(run_s) = exit.run_s {
            let estimates = &mut self.scheduler.state.estimates;
            estimates.record_run(&job.spec, machine_type, run_s);
        }
    }
}

/// Returns the exit of a placement if it has not been processed yet. Marks the outcome as stored if
/// nothing about it remains to be stored.
fn new_exit(
    placement: &mut Placement,
    jobs: &BTreeMap<String, JobState>,
    now: Millis,
) -> Option<TaskExit> {
    let Phase::Exited {
        cause,
        outcome_stored,
    } = &mut placement.phase
    else {
        return None;
    };
    let cause = *cause;
    if *outcome_stored || (cause == ExitCause::Done && placement.forget_sent) {
        return None;
    }
    if cause == ExitCause::Done {
        // The outcome is stored with the job's results, and `forget_sent` is set only after that.
        let Some(job) = jobs.get(&placement.job) else {
            // The job has ended, so nothing remains to be stored.
            *outcome_stored = true;
            return None;
        };
        if job.done_tasks.get(placement.index) {
            // The task was already known to be done. If that is stored, no later write will mark
            // this outcome as stored.
            *outcome_stored = result_is_stored(job, placement.index);
            return None;
        }
    } else {
        *outcome_stored = true;
    }
    let run_time_known = !placement.inherited && !placement.run_time_unknown;
    let run_ms = placement.running_at.map(|at| now.saturating_sub(at));
    Some(TaskExit {
        key: placement.task_key(),
        cause,
        run_s: run_ms.filter(|_| run_time_known).map(|ms| ms as f64 / 1e3),
    })
}

/// Returns `true` if the stored results include that the task is done.
fn result_is_stored(job: &JobState, index: u32) -> bool {
    let chunk = job.result_chunks.get(&(index / RESULT_CHUNK_TASKS));
    chunk.is_some_and(|chunk| {
        let stored_state = &chunk.stored_state;
        !stored_state.dirty && !stored_state.write_in_flight && stored_state.revision.is_some()
    })
}
