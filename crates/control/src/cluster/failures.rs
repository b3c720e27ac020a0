//! Tracks a job's failed starts, which decide how long it waits before the next start and whether
//! the job itself or a machine is considered faulty.
use crate::api::Millis;
use rand::{rngs::SmallRng, Rng};
use std::collections::BTreeSet;
use stonegw_constants::{
    BROKEN_JOB_MIN_MACHINES, START_BACKOFF_JITTER_DIVISOR, START_BACKOFF_MAX_DOUBLINGS,
    START_BACKOFF_MAX_MS, START_BACKOFF_MS,
};

/// The failed starts of one job.
#[derive(Clone, Debug, Default)]
pub struct Failures {
    /// The number of rounds of starts that failed since a task last finished. Tasks that fail
    /// together count as one round.
    failed_rounds: u32,
    /// Whether a task has finished, which shows that the job itself is not faulty.
    has_succeeded: bool,
    /// The ids of the machines on which a task failed.
    failed_machines: BTreeSet<String>,
}

impl Failures {
    /// Records that a task failed on the machine.
    pub fn record_failure(&mut self, machine: &str) {
        self.failed_machines.insert(machine.to_owned());
    }

    /// Records one more failed round and returns the wait before the next start, in ms. The wait is
    /// an exponential backoff up to a limit, with jitter, so that jobs that failed together do not
    /// retry together.
    pub fn next_backoff_ms(&mut self, rng: &mut SmallRng) -> Millis {
        self.failed_rounds += 1;
        let doublings = self.failed_rounds.min(START_BACKOFF_MAX_DOUBLINGS);
        let wait = (START_BACKOFF_MS << doublings).min(START_BACKOFF_MAX_MS);
        wait - rng.random_range(0..=wait / START_BACKOFF_JITTER_DIVISOR)
    }

    /// Records that a task of the job finished, so that its failures are attributed to the
    /// machines. If the job counted as broken until now, the failed machines are cleared: there
    /// were so many of them that the job seemed faulty, so no machine is known to be faulty.
    pub fn record_success(&mut self) {
        if self.job_is_broken() {
            self.failed_machines.clear();
        }
        self.failed_rounds = 0;
        self.has_succeeded = true;
    }

    /// Returns `true` if tasks failed on at least [`BROKEN_JOB_MIN_MACHINES`] machines and none has
    /// finished, so that the job most likely fails on every machine.
    pub fn job_is_broken(&self) -> bool {
        !self.has_succeeded && self.failed_machines.len() >= BROKEN_JOB_MIN_MACHINES
    }

    /// Returns `true` if the job's tasks must not be placed on the machine because one failed
    /// there. A broken job avoids no machine.
    pub fn avoids(&self, machine: &str) -> bool {
        !self.job_is_broken() && self.failed_machines.contains(machine)
    }

    /// Returns `true` if the job avoids at least one machine.
    pub fn avoids_any(&self) -> bool {
        !self.job_is_broken() && !self.failed_machines.is_empty()
    }
}

#[cfg(test)]
#[path = "failures_tests.rs"]
mod tests;
