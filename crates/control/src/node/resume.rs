//! What a node does when it runs again after a pause; see [`crate::pause`].
use super::role::Role;
use super::Node;
use crate::api::Millis;
use crate::pause::{Pause, PauseDetector};
use rand::Rng;
use stonegw_constants::ELECTION_JITTER_MS;

/// Watches for pauses of the process and remembers the last one.
#[derive(Default)]
pub(super) struct PauseTracker {
    detector: PauseDetector,
    resumed_at: Option<Millis>,
}

impl PauseTracker {
    /// Records a turn. `Some`: the process paused before it.
    pub(super) fn record_turn(&mut self, now: Millis) -> Option<Pause> {
        let pause = self.detector.record_turn(now)?;
        self.resumed_at = Some(pause.now);
        Some(pause)
    }
}

impl Node {
    /// Nothing that the node knew before the pause entitles it to anything, and nobody else is
    /// judged by the time that passed.
    pub(super) fn resume(&mut self, pause: Pause) {
        log::warn!("process paused for {} ms", pause.duration_ms);
        // Confirmation by the store is requested at once.
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

    /// Whether the node has read the store, or heard all other nodes, since its last pause. Until
    /// then another node may lead, and cancellations may have been confirmed.
    pub(super) fn has_synced_since_pause(&self) -> bool {
        let Some(resumed_at) = self.pauses.resumed_at else {
            return true;
        };
        self.cancellation_watermark
            .watermark(self.now.monotonic_ms)
            .is_some_and(|watermark| watermark >= resumed_at)
    }

    /// No election is due for the time that passed.
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
