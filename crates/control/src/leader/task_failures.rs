//! Handles tasks that exit without being done: decides whether the job or the machine is at fault,
//! and when the job is retried.
use super::Leader;
use crate::api::Millis;
use crate::cluster::Lifecycle;
use stonegw_constants::{FAULTY_MACHINE_EVIDENCE, PROVEN_JOB_EVIDENCE, START_BACKOFF_MS};
use stonegw_wire::msg::ExitCause;

impl Leader {
    /// Records the failure of a task and makes the task pending again.
    pub(super) fn handle_task_failure(
        &mut self,
        now: Millis,
        machine_id: &str,
        job_id: &str,
        index: u32,
        cause: ExitCause,
    ) {
        log::info!("task {job_id}/{index} failed on machine {machine_id}: {cause:?}");
        match cause {
            ExitCause::Error => {
                self.record_error(machine_id, job_id);
                self.delay_retry(now, job_id);
            }
            ExitCause::UnknownTask | ExitCause::AttemptConflict => self.delay_retry(now, job_id),
            ExitCause::NoCapacity => {
                if let Some(mut machine) = self.cluster.machines.edit(machine_id) {
                    machine.full_until = now + START_BACKOFF_MS * 2;
                }
            }
            _ => {}
        }
        self.cluster.requeue_task(job_id, index);
    }

    /// Counts the error against the job and the machine. Errors of a job that fails on every
    /// machine say nothing about the machines on which it was tried.
    fn record_error(&mut self, machine_id: &str, job_id: &str) {
        let Some(job) = self.cluster.jobs.get_mut(job_id) else {
            return;
        };
        let known_as_broken = job.failures.job_is_broken();
        job.failures.record_failure(machine_id);
        if known_as_broken {
            return;
        }
        if job.failures.job_is_broken() {
            log::warn!("job {job_id} fails on every machine");
            return self.cluster.machines.edit_all(|machine| {
                machine.failed_jobs.remove(job_id);
            });
        }
        if let Some(mut machine) = self.cluster.machines.edit(machine_id) {
            machine.failed_jobs.insert(job_id.to_owned());
        }
        self.drain_if_faulty(machine_id);
    }

    /// Drains a machine, so that it gets no more tasks, once several jobs failed on it that do not
    /// fail on every machine. A job that has done tasks, or has ended, is stronger evidence than a
    /// job that may itself be broken.
    fn drain_if_faulty(&mut self, machine_id: &str) {
        let Some(machine) = self.cluster.machines.get(machine_id) else {
            return;
        };
        let jobs = &self.cluster.jobs;
        let weight = |job_id: &String| match jobs.get(job_id) {
            Some(job) if job.done_count == 0 => 1,
            _ => PROVEN_JOB_EVIDENCE,
        };
        let evidence: usize = machine.failed_jobs.iter().map(weight).sum();
        if evidence < FAULTY_MACHINE_EVIDENCE || machine.lifecycle != Lifecycle::Ready {
            return;
        }
        if let Some(mut machine) = self.cluster.machines.edit(machine_id) {
            machine.set_lifecycle(Lifecycle::Draining);
        }
    }

    /// Delays the next start of the job. Tasks that fail while the job already waits belong to the
    /// same round of failures and do not extend the wait. Tasks of the job that are queued on
    /// machines become pending again: in a queue they would keep capacity from other jobs.
    fn delay_retry(&mut self, now: Millis, job_id: &str) {
        let Some(job) = self.cluster.jobs.get_mut(job_id) else {
            return;
        };
        if now >= job.retry_at {
            job.retry_at = now + job.failures.next_backoff_ms(&mut self.rng);
        }
        while let Some(index) = self.cluster.machines.any_queued(job_id) {
            self.cluster.dequeue(job_id, index);
            self.cluster.requeue_task(job_id, index);
        }
    }
}

#[cfg(test)]
#[path = "task_failures_tests.rs"]
mod tests;
