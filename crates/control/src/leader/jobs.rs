//! Accepts submitted jobs, removes ended ones, and counts the tasks of jobs for the other nodes.
use super::{Leader, Stage};
use crate::cluster::{is_urgent_service, JobState};
use crate::context::LeaderContext;
use crate::records::{result_chunk_key, JobEnd};
use stonegw_constants::MAX_MACHINES_PER_PROVISION;
use stonegw_wire::frame::{self, TaskCounts};
use stonegw_wire::msg::{JobKind, JobSpec};

impl Leader {
    /// Processes the jobs that changed in the replica: accepts new jobs and removes ended ones.
    pub(super) fn apply_job_changes(&mut self, context: &mut LeaderContext) {
        let changed_jobs = std::mem::take(&mut context.replica.changed_jobs);
        if !changed_jobs.is_empty() {
            for entry in std::mem::take(&mut self.unmatched_results) {
                self.load_result_chunk(context, entry);
            }
        }
        for job_id in changed_jobs {
            let Some(replicated) = context.replica.jobs.get(&job_id) else {
                continue;
            };
            let record = &replicated.record;
            match (record.end, &record.spec) {
                (None, Some(spec)) => {
                    self.accept_job(context, &job_id, spec, record.submitted_at_ms);
                }
                (None, None) => log::error!("ignoring job {job_id}: its record lacks spec and end"),
                (Some(end), _) => {
                    let job = self.cluster.jobs.get(&job_id);
                    if job.is_some_and(|job| is_urgent_service(&job.spec)) {
                        self.autoscaler
                            .record_urgent_departure(context.now.monotonic_ms);
                    }
                    self.end_job(&job_id, end);
                }
            }
        }
    }

    fn accept_job(
        &mut self,
        context: &LeaderContext,
        job_id: &str,
        spec: &JobSpec,
        submitted_at_ms: u64,
    ) {
        let JobSpec {
            task_count,
            kind,
            class,
            ..
        } = spec;
        log::debug!("accepting job {job_id}: {task_count} tasks, {kind:?}, class {class}");
        if !self.cluster.jobs.contains_key(job_id) {
            self.record_arrival(context, spec, submitted_at_ms);
        }
        let job = self
            .cluster
            .jobs
            .entry(job_id.to_owned())
            .or_insert_with(|| JobState::new(spec.clone(), submitted_at_ms));
        for index in self.cluster.machines.present_tasks(job_id) {
            job.remove_pending(index);
        }
        self.cluster.scheduling_needed = true;
    }

    /// Records the arrival of a job for the autoscaler, which sizes the cluster for future jobs by
    /// the recent arrivals.
    fn record_arrival(&mut self, context: &LeaderContext, spec: &JobSpec, submitted_at_ms: u64) {
        let now = context.now.monotonic_ms;
        if spec.deadline_s.is_some() {
            let age_ms = context.now.wall_ms.saturating_sub(submitted_at_ms);
            let run_s = self.scheduler.state.estimates.mean_run_s(spec);
            self.autoscaler
                .record_deadline_arrival(now, age_ms, spec, run_s);
        }
        // Jobs that were found before the leader became active may have arrived at any time, so
        // they count neither as urgent arrivals nor as gang arrivals.
        if self.stage != Stage::Active {
            return;
        }
        if is_urgent_service(spec) {
            for _ in 0..spec.task_count.min(MAX_MACHINES_PER_PROVISION) {
                self.autoscaler.record_urgent_arrival(now);
            }
        }
        if spec.kind == JobKind::Gang {
            self.autoscaler.record_gang_arrival(now, spec);
        }
    }

    /// Removes a job that has ended and schedules its result records for deletion. The tasks of a
    /// cancelled job are stopped.
    pub(super) fn end_job(&mut self, job_id: &str, end: JobEnd) {
        let now = self.cluster.now_ms;
        if let Some(job) = self.cluster.jobs.remove(job_id) {
            for (number, chunk) in job.result_chunks {
                let key = result_chunk_key(job_id, number);
                self.writer.add_garbage(key, chunk.stored_state);
            }
        }
        self.cluster.jobs_to_store.remove(job_id);
        self.scheduler.state.estimates.forget_job(job_id);
        for machine_id in self.cluster.machines.machines_of_job(job_id) {
            let Some(mut machine) = self.cluster.machines.edit(&machine_id) else {
                continue;
            };
            machine.queued.retain(|task| task.job != job_id);
            for placement in &mut machine.placements {
                if placement.job != job_id {
                    continue;
                }
                if !placement.is_present() {
                    placement.mark_outcome_stored();
                } else if end == JobEnd::Cancelled {
                    placement.stop_grace_s = Some(0.0);
                    placement.cancelled_at.get_or_insert(now);
                }
            }
        }
        self.cluster.scheduling_needed = true;
    }

    /// Returns the number of done tasks and the number of running tasks of a job.
    pub fn task_counts(&self, job_id: &str) -> (u32, u32) {
        let done = self
            .cluster
            .jobs
            .get(job_id)
            .map_or(0, |job| job.done_count);
        (done, self.cluster.machines.running_count(job_id))
    }

    fn task_counts_message(&self, job_id: &str) -> TaskCounts {
        let (done, running) = self.task_counts(job_id);
        TaskCounts {
            job_id: frame::to_padded_text(job_id),
            done: done.into(),
            running: running.into(),
        }
    }

    /// Returns the task counts of the jobs whose number of running tasks changed since the last
    /// call.
    pub fn changed_counts(&mut self) -> Vec<TaskCounts> {
        let changed_jobs = self.cluster.machines.take_jobs_with_changed_counts();
        changed_jobs
            .iter()
            .map(|job_id| self.task_counts_message(job_id))
            .collect()
    }

    /// Returns the task counts of all jobs that have not ended, for a node that has received none
    /// yet.
    pub fn all_counts(&self) -> Vec<TaskCounts> {
        self.cluster
            .jobs
            .keys()
            .map(|job_id| self.task_counts_message(job_id))
            .collect()
    }
}
