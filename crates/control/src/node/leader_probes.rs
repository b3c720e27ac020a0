//! Sends workers that are served without the leader to look for it themselves.
//!
//! When no link between this node and the leader works, it serves its workers without the leader
//! ([`super::store_relay`]). Whether the workers themselves can reach the leader only a try shows:
//! a *probe* is a worker redirected to the leader. Its lease comes first, so only a worker that has
//! been served here for [`LEADER_PROBE_DELAY_MS`] is sent, and they leave in batches.
//!
//! | state | goes to |
//! | --- | --- |
//! | `Open`: a part of the workers may leave together | `Blocked`, when a probe returns: it did not find the leader |
//! | `Blocked`: after a wait, only [`MIN_LEADER_PROBES`] at a time | `Open`, when a probe has stayed away for longer than vain tries take |
use crate::api::Millis;
use crate::pause::Pause;
use std::collections::HashMap;
use stonegw_constants::{
    LEADER_PROBE_BATCH_DIVISOR, LEADER_PROBE_BATCH_INTERVAL_MS, LEADER_PROBE_DELAY_MS,
    LEADER_PROBE_MARGIN_MS, MIN_LEADER_PROBES, WORKER_ATTEMPT_TIMEOUT_MS,
};

/// Whether workers reach the leader, as the last probe with an outcome shows; see the module.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LeaderPath {
    #[default]
    Open,
    Blocked,
}

/// Which workers are served without the leader, and which of them are probing for it.
#[derive(Default)]
pub(super) struct LeaderProbes {
    /// Machines served without the leader: since when, or when last sent to probe.
    served_since: HashMap<String, Millis>,
    /// Machines that are away to probe, and since when.
    probing: HashMap<String, Millis>,
    path: LeaderPath,
    next_probe_at: Millis,
}

impl LeaderProbes {
    /// A worker that can only be served without the leader sends a heartbeat; the controller has
    /// so many peers. True: the worker is to probe for the leader.
    pub(super) fn try_start(&mut self, machine: &str, now: Millis, peers: usize) -> bool {
        self.served_since
            .retain(|_, since| now < *since + 2 * LEADER_PROBE_DELAY_MS);
        self.record_return(machine, now);
        self.record_arrivals(now, peers);
        let max_batch = self.max_batch();
        let batch = self.count_left_lately(now);
        let since = self.served_since.entry(machine.to_owned()).or_insert(now);
        let served_long_enough = now >= *since + LEADER_PROBE_DELAY_MS;
        if !served_long_enough || now < self.next_probe_at || batch >= max_batch {
            return false;
        }
        *since = now;
        self.probing.insert(machine.to_owned(), now);
        true
    }

    /// Whether this machine is served without the leader.
    pub(super) fn is_served_here(&self, machine: &str) -> bool {
        self.served_since.contains_key(machine)
    }

    /// The pause does not count as time passed.
    pub(super) fn resume(&mut self, pause: Pause) {
        for map in [&mut self.probing, &mut self.served_since] {
            map.values_mut().for_each(|at| pause.shift(at));
        }
    }

    /// A probe that returns did not find the leader.
    fn record_return(&mut self, machine: &str, now: Millis) {
        if self.probing.remove(machine).is_some() {
            self.path = LeaderPath::Blocked;
            self.next_probe_at = now + LEADER_PROBE_DELAY_MS;
        }
    }

    /// A probe that is away for longer than vain tries of all other nodes take found the leader.
    fn record_arrivals(&mut self, now: Millis, peers: usize) {
        let vain_tries_ms = peers as u64 * WORKER_ATTEMPT_TIMEOUT_MS + LEADER_PROBE_MARGIN_MS;
        let has_arrived = |left_at: &Millis| now >= left_at + vain_tries_ms;
        if self.probing.values().any(has_arrived) {
            self.path = LeaderPath::Open;
            self.probing.retain(|_, left_at| !has_arrived(left_at));
        }
    }

    /// How many may be away together. The machine that asks counts only if it was served before.
    fn max_batch(&self) -> usize {
        match self.path {
            LeaderPath::Open => {
                (self.served_since.len() / LEADER_PROBE_BATCH_DIVISOR).max(MIN_LEADER_PROBES)
            }
            LeaderPath::Blocked => MIN_LEADER_PROBES,
        }
    }

    fn count_left_lately(&self, now: Millis) -> usize {
        self.probing
            .values()
            .filter(|left_at| now < **left_at + LEADER_PROBE_BATCH_INTERVAL_MS)
            .count()
    }

    #[cfg(test)]
    pub(super) fn add_served(&mut self, machine: String, since: Millis) {
        self.served_since.insert(machine, since);
    }
}
