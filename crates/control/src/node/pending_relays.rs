//! Heartbeats that were relayed to the leader and await its reply.
use crate::api::Millis;
use std::collections::HashMap;
use stonegw_constants::HEARTBEAT_RELAY_TIMEOUT_MS;
use stonegw_wire::msg::Heartbeat;

/// A worker's heartbeat that was relayed to the leader.
pub(super) struct PendingRelay {
    /// The worker's HTTP request, to be answered with the leader's reply.
    pub(super) request_id: u64,
    pub(super) expires_at: Millis,
    pub(super) heartbeat: Heartbeat,
}

/// Relayed heartbeats by the request id in their frames.
#[derive(Default)]
pub(super) struct PendingRelays {
    by_relay_id: HashMap<u64, PendingRelay>,
    last_relay_id: u64,
}

impl PendingRelays {
    /// Adds a heartbeat that is being relayed. Returns the request id for its frame.
    pub(super) fn add(&mut self, request_id: u64, heartbeat: Heartbeat, now: Millis) -> u64 {
        self.last_relay_id += 1;
        let relay = PendingRelay {
            request_id,
            expires_at: now + HEARTBEAT_RELAY_TIMEOUT_MS,
            heartbeat,
        };
        self.by_relay_id.insert(self.last_relay_id, relay);
        self.last_relay_id
    }

    /// Removes and returns the heartbeat to which the leader replied.
    pub(super) fn take(&mut self, relay_id: u64) -> Option<PendingRelay> {
        self.by_relay_id.remove(&relay_id)
    }

    /// Removes and returns the heartbeats to which the leader did not reply in time.
    pub(super) fn take_expired(&mut self, now: Millis) -> Vec<PendingRelay> {
        let expired: Vec<u64> = self
            .by_relay_id
            .iter()
            .filter(|(_, relay)| now >= relay.expires_at)
            .map(|(relay_id, _)| *relay_id)
            .collect();
        expired
            .iter()
            .filter_map(|relay_id| self.by_relay_id.remove(relay_id))
            .collect()
    }

    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.by_relay_id.is_empty()
    }
}
