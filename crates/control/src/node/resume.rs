//! What a node does when it runs again after a pause of the process; see [`crate::pause`].
use super::role::Role;
use super::Node;
use crate::api::Millis;
use crate::pause::{Pause, PauseDetector};
use rand::Rng;
use stonegw_constants::ELECTION_JITTER_MS;

/// Detects pauses of the process and remembers the end of the last one.
#[derive(Default)]
pub(super) struct PauseTracker {
    detector: PauseDetector,
    resumed_at: Option<Millis>,
}

impl PauseTracker {
    /// Records a turn. Returns the pause that preceded it, if any.
    pub(super) fn record_turn(&mut self, now: Millis) -> Option<Pause> {
        let pause = self.detector.record_turn(now)?;
        self.resumed_at = Some(pause.now);
        Some(pause)
    }
}

impl Node {
    /// Adjusts the node's state after a pause. What the node knew before the pause no longer allows
    /// it to act as leader or to renew leases until it has synchronized again, and the elapsed time
    /// does not count as silence of other processes.
    pub(super) fn resume(&mut self, pause: Pause) {
        log::warn!("process paused for {} ms", pause.duration_ms);
        // A read of the store may be sent at once, to confirm what the node knows.
        self.read_barriers.resume(pause.now);
        self.resume_election(pause);
        self.peers.resume(pause);
        self.store_availability.resume(pause);
        self.isolation.resume(pause);
        self.leader_probes.resume(pause);
        self.store_relay.clear();
        let wall_ms = self.now.wall_ms;
        if let Some(leader) = &mut self.leader {
            leader.resume(pause, wall_ms);
        }
    }

    /// Returns whether the node has read the store, or received answers from all other nodes, since
    /// its last pause. Until then another node may lead, and cancellations may have been confirmed.
    pub(super) fn has_synced_since_pause(&self) -> bool {
        let Some(resumed_at) = self.pauses.resumed_at else {
            return true;
        };
        self.cancellation_watermark
            .watermark(self.now.monotonic_ms)
            .is_some_and(|watermark| watermark >= resumed_at)
    }

    /// Restarts the election backoff with a new random delay and shifts the other timestamps of the
    /// election by the pause, so that its duration does not make an election step due.
    fn resume_election(&mut self, pause: Pause) {
        let jitter = self.rng.random_range(0..ELECTION_JITTER_MS);
        match &mut self.role {
            Role::ElectionBackoff { until } => *until = pause.now + jitter,
            Role::CampaignUnconfirmed { until, .. } => pause.shift(until),
            Role::Follower | Role::AcquiringLease | Role::Campaigning { .. } | Role::Leader => {}
        }
        self.election.resume(pause);
    }
}
