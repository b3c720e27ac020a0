//! Tracks the workers of an isolated node: one that reaches neither the store nor any other node.
//!
//! - `Connected` becomes `Rejecting` with the first heartbeat that finds the node isolated, or
//!   `RenewingLeases` if the worker that sent this heartbeat used another node before.
//! - `Rejecting` becomes `RenewingLeases` when a rejected worker returns after enough time to have
//!   tried all other nodes without success, or when a worker that used another node before sends a
//!   heartbeat here. Such workers are partitioned together with this node.
//! - `Rejecting` and `RenewingLeases` become `Connected` with the first heartbeat that finds the
//!   node no longer isolated.
//!
//! In state `Rejecting`, the node tells workers to try other nodes. In state `RenewingLeases`, it
//! renews leases itself for as long as its cancellation watermark is recent enough that it can't
//! miss a cancellation.
use crate::api::Millis;
use crate::pause::Pause;
use std::collections::HashMap;
use stonegw_constants::WORKER_ATTEMPT_TIMEOUT_MS;

/// Whether the node is isolated and, if so, what it does with its workers; the module documentation
/// describes the states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum IsolationState {
    #[default]
    Connected,
    Rejecting,
    RenewingLeases,
}

/// The workers that send their heartbeats to this node, and what happened to them while it was
/// isolated.
#[derive(Default)]
pub(super) struct IsolationTracker {
    state: IsolationState,
    /// Machines whose workers sent heartbeats here while the node was not isolated, and the time of
    /// the last of these heartbeats.
    last_heartbeat_at: HashMap<String, Millis>,
    /// Machines whose workers were told to try other nodes, and when they were first told.
    first_rejected_at: HashMap<String, Millis>,
}

impl IsolationTracker {
    /// Records a heartbeat while this node is not isolated.
    pub(super) fn record_heartbeat(&mut self, machine: &str, now: Millis) {
        self.state = IsolationState::Connected;
        self.first_rejected_at.clear();
        match self.last_heartbeat_at.get_mut(machine) {
            Some(at) => *at = now,
            None => {
                self.last_heartbeat_at.insert(machine.to_owned(), now);
            }
        }
    }

    /// Records a heartbeat while this node is isolated. Its worker can try `peers` other nodes.
    /// Returns the state that decides how the heartbeat is answered.
    pub(super) fn record_isolated_heartbeat(
        &mut self,
        machine: &str,
        now: Millis,
        peers: usize,
    ) -> IsolationState {
        let is_partitioned_with_this_node = match self.first_rejected_at.get(machine) {
            Some(rejected_at) => {
                let all_tried_ms = peers as u64 * WORKER_ATTEMPT_TIMEOUT_MS;
                now + WORKER_ATTEMPT_TIMEOUT_MS / 2 > rejected_at + all_tried_ms
            }
            None => !self.last_heartbeat_at.contains_key(machine),
        };
        self.state = match self.state {
            IsolationState::RenewingLeases => IsolationState::RenewingLeases,
            _ if is_partitioned_with_this_node => IsolationState::RenewingLeases,
            _ => IsolationState::Rejecting,
        };
        self.state
    }

    /// Records that a worker is told to try other nodes.
    pub(super) fn record_rejection(&mut self, machine: String, now: Millis) {
        self.first_rejected_at.entry(machine).or_insert(now);
    }

    /// Removes machines whose last heartbeat is at least `age_ms` old.
    pub(super) fn remove_stale(&mut self, now: Millis, age_ms: Millis) {
        self.last_heartbeat_at.retain(|_, at| now < *at + age_ms);
    }

    /// Shifts the timestamps by the pause, so that it does not count as elapsed time.
    pub(super) fn resume(&mut self, pause: Pause) {
        for map in [&mut self.last_heartbeat_at, &mut self.first_rejected_at] {
            map.values_mut().for_each(|at| pause.shift(at));
        }
    }
}
