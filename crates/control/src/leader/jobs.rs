//! Jobs that come and end, and what is told of them.
use super::*;
use stonegw_constants::MAX_MACHINES_PER_PROVISION;

impl Leader {
    /// New jobs, and jobs that ended.
    pub(super) fn apply_job_changes(&mut self, context: &mut LeaderContext) {
        let changed = std::mem::take(&mut context.replica.changed_jobs);
        if !changed.is_empty() {
            for e in std::mem::take(&mut self.unmatched_results) {
                self.load_result_chunk(context, e);
            }
        }
        for id in changed {
            let Some(j) = context.replica.jobs.get(&id) else {
                continue;
            };
            match (j.record.end, &j.record.spec) {
                (None, Some(spec)) => {
                    log::debug!(
                        "job {id}: {} x {:?} of {}",
                        spec.task_count,
                        spec.kind,
                        spec.class
                    );
                    let at = j.record.submitted_at_ms;
                    let spec = spec.clone();
                    if spec.deadline_s.is_some() && !self.cluster.jobs.contains_key(&id) {
                        let age = context.now.wall_ms.saturating_sub(at);
                        let run_s = self.scheduler.state.estimates.mean_run_s(&spec);
                        self.autoscaler.record_deadline_arrival(
                            context.now.monotonic_ms,
                            age,
                            &spec,
                            run_s,
                        );
                    }
                    let new = !self.cluster.jobs.contains_key(&id) && self.stage == Stage::Active;
                    if new && spec.kind == JobKind::Service && spec.priority >= Priority::High {
                        let now = context.now.monotonic_ms;
                        for _ in 0..spec.task_count.min(MAX_MACHINES_PER_PROVISION) {
                            self.autoscaler.record_urgent_arrival(now);
                        }
                    }
                    if new && spec.kind == JobKind::Gang {
                        self.autoscaler
                            .record_gang_arrival(context.now.monotonic_ms, &spec);
                    }
                    let work = self
                        .cluster
                        .jobs
                        .entry(id.clone())
                        .or_insert_with(|| JobState::new(spec, at));
                    for index in self.cluster.machines.present_tasks(&id) {
                        work.remove_pending(index);
                    }
                    self.cluster.scheduling_needed = true;
                }
                (None, None) => log::error!("job {id} has neither description nor end"),
                (Some(end), _) => {
                    let urgent = self.cluster.jobs.get(&id).is_some_and(|w| {
                        w.spec.kind == JobKind::Service && w.spec.priority >= Priority::High
                    });
                    if urgent {
                        self.autoscaler
                            .record_urgent_departure(context.now.monotonic_ms);
                    }
                    self.end_job(&id, end);
                }
            }
        }
    }

    pub(super) fn end_job(&mut self, id: &str, end: JobEnd) {
        if let Some(work) = self.cluster.jobs.remove(id) {
            for (chunk, c) in work.result_chunks {
                self.garbage_records
                    .push((result_chunk_key(id, chunk), c.stored_state));
            }
        }
        self.cluster.jobs_to_store.remove(id);
        self.scheduler.state.estimates.forget_job(id);
        for machine in self.cluster.machines.machines_of_job(id) {
            let Some(mut m) = self.cluster.machines.edit(&machine) else {
                continue;
            };
            m.queued.retain(|(j, _)| j != id);
            for p in m.placements.iter_mut().filter(|p| p.job == id) {
                if let Phase::Exited {
                    outcome_stored: settled,
                    ..
                } = &mut p.phase
                {
                    *settled = true;
                } else if end == JobEnd::Cancelled {
                    p.stop_grace_s = Some(0.0);
                }
            }
        }
        self.cluster.scheduling_needed = true;
    }

    pub fn task_counts(&self, job: &str) -> (u32, u32) {
        let done = self.cluster.jobs.get(job).map_or(0, |w| w.done_count);
        (done, self.cluster.machines.running_count(job))
    }

    fn task_counts_message(&self, job: &str) -> TaskCounts {
        let (done, running) = self.task_counts(job);
        TaskCounts {
            job_id: frame::to_padded_text(job),
            done: done.into(),
            running: running.into(),
        }
    }

    /// Counts of jobs whose running tasks changed since the last time.
    pub fn changed_counts(&mut self) -> Vec<TaskCounts> {
        let changed = self.cluster.machines.take_jobs_with_changed_counts();
        changed
            .iter()
            .map(|job| self.task_counts_message(job))
            .collect()
    }

    /// Counts of all jobs that are not finished, for a node that knows none.
    pub fn all_counts(&self) -> Vec<TaskCounts> {
        self.cluster
            .jobs
            .keys()
            .map(|job| self.task_counts_message(job))
            .collect()
    }
}
