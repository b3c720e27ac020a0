//! The state of the other controllers, as far as this node knows it from its links to them.
use crate::api::Millis;
use crate::pause::Pause;
use stonegw_constants::{PEER_PING_INTERVAL_MS, PEER_TIMEOUT_MS};

/// Another controller, according to the link that this node opened to it.
#[derive(Default)]
struct Peer {
    is_connected: bool,
    last_contact_at: Millis,
    is_store_reachable: bool,
    /// The peer has the task counts of all jobs from this node and needs only those that change.
    has_all_counts: bool,
}

impl Peer {
    fn is_reachable(&self, now: Millis) -> bool {
        self.is_connected && now < self.last_contact_at + PEER_TIMEOUT_MS
    }
}

/// All other controllers, in the order of the settings, and the time of the next ping.
pub(super) struct Peers {
    peers: Vec<Peer>,
    next_ping_at: Millis,
}

impl Peers {
    /// Creates this many peers, none of them connected yet.
    pub(super) fn new(count: usize) -> Peers {
        Peers {
            peers: (0..count).map(|_| Peer::default()).collect(),
            next_ping_at: 0,
        }
    }

    /// Returns whether this node is the only controller.
    pub(super) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the number of other controllers.
    pub(super) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Records that the link to a peer came up.
    pub(super) fn record_link_up(&mut self, peer: usize, now: Millis) {
        let peer = &mut self.peers[peer];
        peer.is_connected = true;
        peer.last_contact_at = now;
        peer.has_all_counts = false;
    }

    /// Records that the link to a peer went down.
    pub(super) fn record_link_down(&mut self, peer: usize) {
        self.peers[peer].is_connected = false;
    }

    /// Records a peer's answer to a ping, which states whether the peer reaches the store.
    pub(super) fn record_hello(&mut self, peer: usize, now: Millis, is_store_reachable: bool) {
        self.peers[peer].last_contact_at = now;
        self.peers[peer].is_store_reachable = is_store_reachable;
    }

    /// Returns whether the link to a peer is up.
    pub(super) fn is_connected(&self, peer: usize) -> bool {
        self.peers[peer].is_connected
    }

    /// Returns whether the link to a peer is up, and either came up or carried an answer of the
    /// peer within the last [`PEER_TIMEOUT_MS`].
    pub(super) fn is_reachable(&self, peer: usize, now: Millis) -> bool {
        self.peers[peer].is_reachable(now)
    }

    /// Returns whether at least one peer is reachable.
    pub(super) fn is_any_reachable(&self, now: Millis) -> bool {
        self.peers.iter().any(|peer| peer.is_reachable(now))
    }

    /// Returns whether at least one peer is reachable and has reported that it reaches the store.
    pub(super) fn is_any_reachable_with_store(&self, now: Millis) -> bool {
        self.peers
            .iter()
            .any(|peer| peer.is_reachable(now) && peer.is_store_reachable)
    }

    /// Returns whether there are peers and none of them is reachable.
    pub(super) fn are_all_unreachable(&self, now: Millis) -> bool {
        !self.is_empty() && !self.is_any_reachable(now)
    }

    /// Returns whether the peers are to be pinged now. If so, the next ping is due one interval
    /// later.
    pub(super) fn take_due_ping(&mut self, now: Millis) -> bool {
        let is_due = now >= self.next_ping_at;
        if is_due {
            self.next_ping_at = now + PEER_PING_INTERVAL_MS;
        }
        is_due
    }

    /// Records that a peer is being sent the task counts of all jobs. Returns `false` if the peer
    /// has them already.
    pub(super) fn mark_all_counts_sent(&mut self, peer: usize) -> bool {
        !std::mem::replace(&mut self.peers[peer].has_all_counts, true)
    }

    /// Forgets which peers have the counts of all jobs. Called when the role changes, because a new
    /// leader first sends all counts.
    pub(super) fn forget_sent_counts(&mut self) {
        for peer in &mut self.peers {
            peer.has_all_counts = false;
        }
    }

    /// Resets the time of the last answer of connected peers. The pause does not count as silence
    /// of the peers, because this process did not read their frames.
    pub(super) fn resume(&mut self, pause: Pause) {
        for peer in self.peers.iter_mut().filter(|peer| peer.is_connected) {
            peer.last_contact_at = pause.now;
        }
    }
}
