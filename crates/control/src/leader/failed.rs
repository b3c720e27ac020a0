//! Tasks that exit without being done: who is at fault, the job or the machine, and when the job is
//! tried again.
use super::*;

impl Leader {
    /// A task exited without being done.
    pub(super) fn failed(&mut self, now: Ms, id: &str, job: &str, index: u32, cause: ExitCause) {
        log::info!("{job}/{index} on {id}: {cause:?}");
        match cause {
            ExitCause::Error => {
                self.count_error(id, job);
                self.delay_retry(now, job);
            }
            ExitCause::Unknown | ExitCause::Busy => self.delay_retry(now, job),
            ExitCause::NoRoom => {
                if let Some(mut m) = self.machines.edit(id) {
                    m.full_until = now + k::START_RETRY_MS * 2;
                }
            }
            _ => {}
        }
        self.back(job, index);
    }

    /// Notes the error with the job and with the machine. Errors of a job that fails everywhere say
    /// nothing of the machines that it was tried on.
    fn count_error(&mut self, id: &str, job: &str) {
        let Some(work) = self.works.get_mut(job) else {
            return;
        };
        let known_as_broken = work.failures.job_is_broken();
        work.failures.on_machine(id);
        if known_as_broken {
            return;
        }
        if work.failures.job_is_broken() {
            log::warn!("job {job} fails on every machine");
            return self.machines.edit_all(|m| {
                m.errors.remove(job);
            });
        }
        if let Some(mut m) = self.machines.edit(id) {
            m.errors.insert(job.to_owned());
        }
        self.drain_if_faulty(id);
    }

    /// A machine on which several jobs failed that don't fail elsewhere gets no more work.
    fn drain_if_faulty(&mut self, id: &str) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let works = &self.works;
        let weight = |job: &String| match works.get(job) {
            Some(work) if work.done_count == 0 => 1,
            _ => k::PROVEN_JOB_EVIDENCE,
        };
        let evidence: usize = machine.errors.iter().map(weight).sum();
        if evidence < k::FAULTY_EVIDENCE || machine.life != Life::Up {
            return;
        }
        if let Some(mut m) = self.machines.edit(id) {
            m.set_life(Life::Draining);
        }
    }

    /// The job waits before its next start. Tasks that fail while it waits already are of the same round.
    /// Nothing of it stays in a queue meanwhile, where it would keep room from others.
    fn delay_retry(&mut self, now: Ms, job: &str) {
        let Some(work) = self.works.get_mut(job) else {
            return;
        };
        if now >= work.retry_at {
            work.retry_at = now + work.failures.next_wait_ms(&mut self.rng);
        }
        while let Some(index) = self.machines.first_held(job) {
            self.unhold(job, index);
            self.back(job, index);
        }
    }
}

#[cfg(test)]
#[path = "failed_tests.rs"]
mod tests;
