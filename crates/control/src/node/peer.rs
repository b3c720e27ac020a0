//! What a node knows of each other controller.
use crate::api::Millis;
use stonegw_constants::PEER_TIMEOUT_MS;

/// Another controller, as its link shows it.
#[derive(Default)]
pub(super) struct Peer {
    pub(super) is_connected: bool,
    pub(super) last_heard_at: Millis,
    pub(super) is_store_reachable: bool,
    /// Has been told the counts of all jobs over this link.
    pub(super) has_all_counts: bool,
}

impl Peer {
    /// Its link is up and it was heard lately.
    pub(super) fn is_reachable(&self, now: Millis) -> bool {
        self.is_connected && now < self.last_heard_at + PEER_TIMEOUT_MS
    }
}
