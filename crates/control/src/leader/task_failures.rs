//! Tasks that exit without being done: who is at fault, the job or the machine, and when the job is
//! tried again.
use super::*;
use stonegw_constants::{FAULTY_MACHINE_EVIDENCE, PROVEN_JOB_EVIDENCE, START_BACKOFF_MS};

impl Leader {
    /// A task exited without being done.
    pub(super) fn handle_task_failure(
        &mut self,
        now: Millis,
        id: &str,
        job: &str,
        index: u32,
        cause: ExitCause,
    ) {
        log::info!("{job}/{index} on {id}: {cause:?}");
        match cause {
            ExitCause::Error => {
                self.record_error(id, job);
                self.delay_retry(now, job);
            }
            ExitCause::UnknownTask | ExitCause::AttemptConflict => self.delay_retry(now, job),
            ExitCause::NoCapacity => {
                if let Some(mut m) = self.cluster.machines.edit(id) {
                    m.full_until = now + START_BACKOFF_MS * 2;
                }
            }
            _ => {}
        }
        self.cluster.requeue_task(job, index);
    }

    /// Notes the error with the job and with the machine. Errors of a job that fails everywhere say
    /// nothing of the machines that it was tried on.
    fn record_error(&mut self, id: &str, job: &str) {
        let Some(work) = self.cluster.jobs.get_mut(job) else {
            return;
        };
        let known_as_broken = work.failures.job_is_broken();
        work.failures.record_failure(id);
        if known_as_broken {
            return;
        }
        if work.failures.job_is_broken() {
            log::warn!("job {job} fails on every machine");
            return self.cluster.machines.edit_all(|m| {
                m.failed_jobs.remove(job);
            });
        }
        if let Some(mut m) = self.cluster.machines.edit(id) {
            m.failed_jobs.insert(job.to_owned());
        }
        self.drain_if_faulty(id);
    }

    /// A machine on which several jobs failed that don't fail elsewhere gets no more work.
    fn drain_if_faulty(&mut self, id: &str) {
        let Some(machine) = self.cluster.machines.get(id) else {
            return;
        };
        let works = &self.cluster.jobs;
        let weight = |job: &String| match works.get(job) {
            Some(work) if work.done_count == 0 => 1,
            _ => PROVEN_JOB_EVIDENCE,
        };
        let evidence: usize = machine.failed_jobs.iter().map(weight).sum();
        if evidence < FAULTY_MACHINE_EVIDENCE || machine.lifecycle != Lifecycle::Ready {
            return;
        }
        if let Some(mut m) = self.cluster.machines.edit(id) {
            m.set_lifecycle(Lifecycle::Draining);
        }
    }

    /// The job waits before its next start. Tasks that fail while it waits already are of the same round.
    /// Nothing of it stays in a queue meanwhile, where it would keep room from others.
    fn delay_retry(&mut self, now: Millis, job: &str) {
        let Some(work) = self.cluster.jobs.get_mut(job) else {
            return;
        };
        if now >= work.retry_at {
            work.retry_at = now + work.failures.next_backoff_ms(&mut self.rng);
        }
        while let Some(index) = self.cluster.machines.first_queued(job) {
            self.cluster.dequeue(job, index);
            self.cluster.requeue_task(job, index);
        }
    }
}

#[cfg(test)]
#[path = "task_failures_tests.rs"]
mod tests;
