//! Workers of a node that is isolated: it hears neither the store nor any other node.
//!
//! | state | goes to |
//! | --- | --- |
//! | `Connected` | `Releasing`, with the first heartbeat that finds the node isolated |
//! | `Releasing` | `Confined`, when a released worker returns after it has tried all other nodes in vain, or a worker comes that was with another node before: they are partitioned together with us |
//! | `Releasing`, `Confined` | `Connected`, with the first heartbeat that finds the node no longer isolated |
//!
//! While `Releasing`, workers are told to try other nodes. A `Confined` node renews leases by itself,
//! for as long as it can't overlook a cancellation.
use crate::api::Millis;
use crate::pause::Pause;
use std::collections::HashMap;
use stonegw_constants::WORKER_ATTEMPT_TIMEOUT_MS;

/// What an isolated node does with its workers; see the module.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum IsolationState {
    #[default]
    Connected,
    Releasing,
    Confined,
}

/// Which workers send their heartbeats here, and what became of them while we were isolated.
#[derive(Default)]
pub(super) struct IsolationTracker {
    state: IsolationState,
    /// Machines whose workers sent heartbeats here, and when last.
    last_heartbeat_at: HashMap<String, Millis>,
    /// Machines whose workers were told to try other nodes, and since when.
    released: HashMap<String, Millis>,
}

impl IsolationTracker {
    /// A heartbeat while we are not isolated.
    pub(super) fn record_heartbeat(&mut self, machine: &str, now: Millis) {
        self.state = IsolationState::Connected;
        self.released.clear();
        match self.last_heartbeat_at.get_mut(machine) {
            Some(at) => *at = now,
            None => {
                self.last_heartbeat_at.insert(machine.to_owned(), now);
            }
        }
    }

    /// A heartbeat while we are isolated; its worker has so many other nodes to try. Returns the
    /// state that decides on it.
    pub(super) fn record_isolated_heartbeat(
        &mut self,
        machine: &str,
        now: Millis,
        peers: usize,
    ) -> IsolationState {
        let is_partitioned_with_us = match self.released.get(machine) {
            Some(released_at) => {
                let all_tried_ms = peers as u64 * WORKER_ATTEMPT_TIMEOUT_MS;
                now + WORKER_ATTEMPT_TIMEOUT_MS / 2 > released_at + all_tried_ms
            }
            None => !self.last_heartbeat_at.contains_key(machine),
        };
        self.state = match self.state {
            IsolationState::Confined => IsolationState::Confined,
            _ if is_partitioned_with_us => IsolationState::Confined,
            _ => IsolationState::Releasing,
        };
        self.state
    }

    /// A worker is told to try other nodes.
    pub(super) fn release(&mut self, machine: String, now: Millis) {
        self.released.entry(machine).or_insert(now);
    }

    /// Forgets machines whose last heartbeat is this old.
    pub(super) fn forget_silent(&mut self, now: Millis, age_ms: Millis) {
        self.last_heartbeat_at.retain(|_, at| now < *at + age_ms);
    }

    /// The pause does not count as time passed.
    pub(super) fn resume(&mut self, pause: Pause) {
        for map in [&mut self.last_heartbeat_at, &mut self.released] {
            map.values_mut().for_each(|at| pause.shift(at));
        }
    }
}
