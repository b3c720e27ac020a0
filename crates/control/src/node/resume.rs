//! What a node does when it runs again after a pause; see [`crate::pause`].
use super::*;
use crate::pause::Pause;
use stonegw_constants::ELECTION_JITTER_MS;

impl Node {
    /// Nothing that the node knew before the pause entitles it to anything, and nobody else is judged by
    /// the time that went by.
    pub(super) fn resume(&mut self, pause: Pause) {
        log::warn!("stood still for {} ms", pause.duration_ms);
        self.resumed_at = pause.now;
        // The proof is asked for at once.
        self.next_barrier_at = pause.now;
        self.resume_election(pause);
        self.resume_links(pause);
        self.resume_workers(pause);
        let wall_ms = self.now.wall_ms;
        if let Some(leader) = &mut self.leader {
            leader.resume(pause, wall_ms);
        }
    }

    /// Whether the node has read the state service, or heard all other nodes, since its last pause. Until then
    /// another node may lead, and cancellations may have been confirmed.
    pub(super) fn has_synced_since_pause(&self) -> bool {
        let read = self.cancellation_watermark.watermark(self.now.monotonic_ms);
        self.resumed_at == 0 || read.is_some_and(|at| at >= self.resumed_at)
    }

    /// No election is due for the time that went by.
    fn resume_election(&mut self, pause: Pause) {
        let wait = self.rng.random_range(0..ELECTION_JITTER_MS);
        match &mut self.role {
            Role::ElectionBackoff { until } => *until = pause.now + wait,
            Role::CampaignUnconfirmed { until, .. } => pause.shift(until),
            _ => {}
        }
        pause.shift(&mut self.next_campaign_at);
        pause.shift_if_set(&mut self.resigned_at);
    }

    /// The other nodes and the state service were not silent; nobody listened.
    fn resume_links(&mut self, pause: Pause) {
        for peer in self.peers.iter_mut().filter(|p| p.is_connected) {
            peer.last_heard_at = pause.now;
        }
        self.last_store_success_at = self.last_store_success_at.max(pause.now);
    }

    /// What was concluded of workers from where they report goes on from here.
    fn resume_workers(&mut self, pause: Pause) {
        let times = [
            &mut self.last_heartbeat_at,
            &mut self.released,
            &mut self.probing,
            &mut self.served_without_leader_since,
        ];
        for at in times.into_iter().flat_map(|map| map.values_mut()) {
            pause.shift(at);
        }
        // They are older than what the workers told others meanwhile.
        self.heartbeats_via_store.clear();
    }
}
