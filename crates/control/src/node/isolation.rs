//! Workers of a node that is isolated: it hears neither the store nor any other node.
//!
//! | state | left when |
//! | --- | --- |
//! | connected | the node is isolated: workers are *released*, that is told to try other nodes |
//! | isolated, releasing | a released worker returns after it has tried all other nodes in vain, or a worker comes that was with another node: both are partitioned with us, and the node is *confined* |
//! | isolated, confined | a heartbeat comes while the node is no longer isolated |
//!
//! A confined node renews leases by itself, for as long as no cancellation can be overlooked.
use crate::api::Millis;
use crate::pause::Pause;
use std::collections::HashMap;
use stonegw_constants::WORKER_ATTEMPT_TIMEOUT_MS;

/// Which workers send their heartbeats here, and what became of them while we were isolated.
#[derive(Default)]
pub(super) struct IsolationTracker {
    /// Machines whose workers sent heartbeats here, and when last.
    last_heartbeat_at: HashMap<String, Millis>,
    /// Machines whose workers were told to try other nodes, and since when.
    released: HashMap<String, Millis>,
    is_confined: bool,
}

impl IsolationTracker {
    /// A heartbeat while we are not isolated.
    pub(super) fn record_heartbeat(&mut self, machine: &str, now: Millis) {
        self.released.clear();
        self.is_confined = false;
        match self.last_heartbeat_at.get_mut(machine) {
            Some(at) => *at = now,
            None => {
                self.last_heartbeat_at.insert(machine.to_owned(), now);
            }
        }
    }

    /// A heartbeat while we are isolated, with so many other nodes to try. True: we are confined.
    pub(super) fn record_isolated_heartbeat(
        &mut self,
        machine: &str,
        now: Millis,
        peers: usize,
    ) -> bool {
        self.is_confined |= match self.released.get(machine) {
            Some(released_at) => {
                let all_tried_ms = peers as u64 * WORKER_ATTEMPT_TIMEOUT_MS;
                now + WORKER_ATTEMPT_TIMEOUT_MS / 2 > released_at + all_tried_ms
            }
            None => !self.last_heartbeat_at.contains_key(machine),
        };
        self.is_confined
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
