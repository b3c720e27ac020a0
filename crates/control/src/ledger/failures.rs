//! A job's failed starts: how long it waits before the next, and whether it is the job that fails or a
//! machine.
use crate::api::Ms;
use rand::{rngs::SmallRng, Rng};
use std::collections::BTreeSet;
use stonegw_constants as k;

/// Failed starts of one job.
#[derive(Clone, Debug, Default)]
pub struct Failures {
    /// Rounds of starts that failed since a task was last done; tasks that fail together count once.
    rounds: u32,
    /// A task was done, so the job itself is in order.
    succeeded: bool,
    /// Machines on which a task failed.
    machines: BTreeSet<String>,
}

impl Failures {
    /// A task failed on the machine.
    pub fn on_machine(&mut self, machine: &str) {
        self.machines.insert(machine.to_owned());
    }

    /// One more round failed. Returns how long to wait for the next: twice as long each time, up to a
    /// limit, and shortened by chance, so that jobs that failed together don't come back together.
    pub fn next_wait_ms(&mut self, rng: &mut SmallRng) -> Ms {
        self.rounds += 1;
        let doublings = self.rounds.min(k::START_RETRY_DOUBLINGS);
        let wait = (k::START_RETRY_MS << doublings).min(k::START_RETRY_MAX_MS);
        wait - rng.random_range(0..=wait / k::START_RETRY_JITTER_PART)
    }

    /// A task of the job was done: whatever failed was a machine's fault. Where so many failed before that it
    /// seemed to be the job's, no machine is known to be at fault.
    pub fn task_done(&mut self) {
        if self.job_is_broken() {
            self.machines.clear();
        }
        self.rounds = 0;
        self.succeeded = true;
    }

    /// It failed on so many machines, with no task done, that it most likely fails on every one.
    pub fn job_is_broken(&self) -> bool {
        !self.succeeded && self.machines.len() >= k::BROKEN_JOB_MACHINES
    }

    /// Whether its tasks keep off the machine. Where the job itself fails no machine is avoided.
    pub fn avoids(&self, machine: &str) -> bool {
        !self.job_is_broken() && self.machines.contains(machine)
    }

    /// Whether it keeps off any machine.
    pub fn avoids_any(&self) -> bool {
        !self.job_is_broken() && !self.machines.is_empty()
    }
}

#[cfg(test)]
#[path = "failures_tests.rs"]
mod tests;
