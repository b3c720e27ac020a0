//! A job's failed starts: how long it waits before the next, and whether it is the job that fails or a
//! machine.
use crate::api::Millis;
use rand::{rngs::SmallRng, Rng};
use std::collections::BTreeSet;
use stonegw_constants::{
    BROKEN_JOB_MIN_MACHINES, START_BACKOFF_JITTER_DIVISOR, START_BACKOFF_MAX_DOUBLINGS,
    START_BACKOFF_MAX_MS, START_BACKOFF_MS,
};

/// Failed starts of one job.
#[derive(Clone, Debug, Default)]
pub struct Failures {
    /// Rounds of starts that failed since a task was last done; tasks that fail together count once.
    failed_rounds: u32,
    /// A task was done, so the job itself is in order.
    has_succeeded: bool,
    /// Machines on which a task failed.
    failed_machines: BTreeSet<String>,
}

impl Failures {
    /// A task failed on the machine.
    pub fn record_failure(&mut self, machine: &str) {
        self.failed_machines.insert(machine.to_owned());
    }

    /// One more round failed. Returns how long to wait for the next: an exponential backoff up to a
    /// limit, with jitter, so that jobs that failed together don't retry together.
    pub fn next_backoff_ms(&mut self, rng: &mut SmallRng) -> Millis {
        self.failed_rounds += 1;
        let doublings = self.failed_rounds.min(START_BACKOFF_MAX_DOUBLINGS);
        let wait = (START_BACKOFF_MS << doublings).min(START_BACKOFF_MAX_MS);
        wait - rng.random_range(0..=wait / START_BACKOFF_JITTER_DIVISOR)
    }

    /// A task of the job was done: whatever failed was a machine's fault. Where so many failed before that it
    /// seemed to be the job's, no machine is known to be at fault.
    pub fn record_success(&mut self) {
        if self.job_is_broken() {
            self.failed_machines.clear();
        }
        self.failed_rounds = 0;
        self.has_succeeded = true;
    }

    /// It failed on so many machines, with no task done, that it most likely fails on every one.
    pub fn job_is_broken(&self) -> bool {
        !self.has_succeeded && self.failed_machines.len() >= BROKEN_JOB_MIN_MACHINES
    }

    /// Whether its tasks keep off the machine. Where the job itself fails no machine is avoided.
    pub fn avoids(&self, machine: &str) -> bool {
        !self.job_is_broken() && self.failed_machines.contains(machine)
    }

    /// Whether it keeps off any machine.
    pub fn avoids_any(&self) -> bool {
        !self.job_is_broken() && !self.failed_machines.is_empty()
    }
}

#[cfg(test)]
#[path = "failures_tests.rs"]
mod tests;
