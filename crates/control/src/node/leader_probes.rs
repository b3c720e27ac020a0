//! Redirects workers that are served without the leader to the leader, to find out whether they can
//! reach it.
//!
//! While no link between this node and the leader works, the node serves its workers without the
//! leader ([`super::store_relay`]). Whether the workers themselves can reach the leader is found
//! out by a *probe*: a worker that is redirected to the leader. A probe must not cost the worker
//! its lease, so only a worker that has been served here for [`LEADER_PROBE_DELAY_MS`] is
//! redirected, and workers are redirected in batches.
//!
//! - `Open`: a fraction of the workers, but at least [`MIN_LEADER_PROBES`], may probe at a time.
//!   Becomes `Blocked` when a probing worker returns, because it did not reach the leader.
//! - `Blocked`: after a delay, only [`MIN_LEADER_PROBES`] workers may probe at a time. Becomes
//!   `Open` when a probe has been away for longer than unsuccessful attempts at all other nodes
//!   take.
use crate::api::Millis;
use crate::pause::Pause;
use std::collections::HashMap;
use stonegw_constants::{
    LEADER_PROBE_BATCH_DIVISOR, LEADER_PROBE_BATCH_INTERVAL_MS, LEADER_PROBE_DELAY_MS,
    LEADER_PROBE_MARGIN_MS, MIN_LEADER_PROBES, WORKER_ATTEMPT_TIMEOUT_MS,
};

/// Whether workers can reach the leader, according to the last probe whose outcome is known; the
/// module documentation describes the states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LeaderPath {
    #[default]
    Open,
    Blocked,
}

/// The workers that are served without the leader, and which of them are probing for it.
#[derive(Default)]
pub(super) struct LeaderProbes {
    /// Machines served without the leader, and since when; for a machine that has probed, since its
    /// last probe.
    served_since: HashMap<String, Millis>,
    /// Machines that were redirected to the leader and have not returned, and when they were
    /// redirected.
    probing: HashMap<String, Millis>,
    path: LeaderPath,
    next_probe_at: Millis,
}

impl LeaderProbes {
    /// Records the heartbeat of a worker that can only be served without the leader, on a node with
    /// this many peers.
    pub(super) fn record_heartbeat(&mut self, machine: &str, now: Millis, peers: usize) {
        self.served_since
            .retain(|_, since| now < *since + 2 * LEADER_PROBE_DELAY_MS);
        self.record_return(machine, now);
        self.record_successful_probes(now, peers);
        self.served_since.entry(machine.to_owned()).or_insert(now);
    }

    /// Returns `true` if the worker whose heartbeat was recorded is to probe for the leader.
    pub(super) fn try_start(&mut self, machine: &str, now: Millis) -> bool {
        let max_batch = self.max_batch();
        let batch = self.count_recent_probes(now);
        let Some(since) = self.served_since.get_mut(machine) else {
            return false;
        };
        let served_long_enough = now >= *since + LEADER_PROBE_DELAY_MS;
        if !served_long_enough || now < self.next_probe_at || batch >= max_batch {
            return false;
        }
        *since = now;
        self.probing.insert(machine.to_owned(), now);
        true
    }

    /// Returns whether this machine is served without the leader.
    pub(super) fn is_served_here(&self, machine: &str) -> bool {
        self.served_since.contains_key(machine)
    }

    /// Shifts the timestamps by the pause, so that it does not count as elapsed time.
    pub(super) fn resume(&mut self, pause: Pause) {
        for map in [&mut self.probing, &mut self.served_since] {
            map.values_mut().for_each(|at| pause.shift(at));
        }
    }

    /// Records that a machine is back. If it was probing, it did not reach the leader.
    fn record_return(&mut self, machine: &str, now: Millis) {
        if self.probing.remove(machine).is_some() {
            self.path = LeaderPath::Blocked;
            self.next_probe_at = now + LEADER_PROBE_DELAY_MS;
        }
    }

    /// Records that the leader was reached if a probe has been away for longer than unsuccessful
    /// attempts at all other nodes take.
    fn record_successful_probes(&mut self, now: Millis, peers: usize) {
        let unsuccessful_search_ms =
            peers as u64 * WORKER_ATTEMPT_TIMEOUT_MS + LEADER_PROBE_MARGIN_MS;
        let has_succeeded = |redirected_at: &Millis| now >= redirected_at + unsuccessful_search_ms;
        if self.probing.values().any(has_succeeded) {
            self.path = LeaderPath::Open;
            self.probing
                .retain(|_, redirected_at| !has_succeeded(redirected_at));
        }
    }

    /// Returns the maximum number of probes in one batch.
    fn max_batch(&self) -> usize {
        match self.path {
            LeaderPath::Open => {
                (self.served_since.len() / LEADER_PROBE_BATCH_DIVISOR).max(MIN_LEADER_PROBES)
            }
            LeaderPath::Blocked => MIN_LEADER_PROBES,
        }
    }

    fn count_recent_probes(&self, now: Millis) -> usize {
        self.probing
            .values()
            .filter(|redirected_at| now < **redirected_at + LEADER_PROBE_BATCH_INTERVAL_MS)
            .count()
    }

    #[cfg(test)]
    pub(super) fn add_served(&mut self, machine: String, since: Millis) {
        self.served_since.insert(machine, since);
    }
}
