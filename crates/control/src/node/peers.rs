//! What a node knows of the other controllers from its links to them.
use crate::api::Millis;
use crate::pause::Pause;
use stonegw_constants::{PEER_PING_INTERVAL_MS, PEER_TIMEOUT_MS};

/// Another controller, as the link that we dialled shows it.
#[derive(Default)]
struct Peer {
    is_connected: bool,
    last_heard_at: Millis,
    is_store_reachable: bool,
    /// It has the counts of all jobs from us and needs only those that change.
    has_all_counts: bool,
}

impl Peer {
    fn is_reachable(&self, now: Millis) -> bool {
        self.is_connected && now < self.last_heard_at + PEER_TIMEOUT_MS
    }
}

/// All other controllers, in the order of the settings, and when they are pinged next.
pub(super) struct Peers {
    peers: Vec<Peer>,
    next_ping_at: Millis,
}

impl Peers {
    /// So many peers, none of them connected yet.
    pub(super) fn new(count: usize) -> Peers {
        Peers {
            peers: (0..count).map(|_| Peer::default()).collect(),
            next_ping_at: 0,
        }
    }

    /// This node is the only controller.
    pub(super) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// How many other controllers there are.
    pub(super) fn len(&self) -> usize {
        self.peers.len()
    }

    /// The link to a peer came up.
    pub(super) fn record_link_up(&mut self, peer: usize, now: Millis) {
        let peer = &mut self.peers[peer];
        peer.is_connected = true;
        peer.last_heard_at = now;
        peer.has_all_counts = false;
    }

    /// The link to a peer went down.
    pub(super) fn record_link_down(&mut self, peer: usize) {
        self.peers[peer].is_connected = false;
    }

    /// A peer answered a hello.
    pub(super) fn record_hello(&mut self, peer: usize, now: Millis, is_store_reachable: bool) {
        self.peers[peer].last_heard_at = now;
        self.peers[peer].is_store_reachable = is_store_reachable;
    }

    /// Its link is up.
    pub(super) fn is_connected(&self, peer: usize) -> bool {
        self.peers[peer].is_connected
    }

    /// Its link is up and it was heard lately.
    pub(super) fn is_reachable(&self, peer: usize, now: Millis) -> bool {
        self.peers[peer].is_reachable(now)
    }

    /// At least one peer is reachable.
    pub(super) fn is_any_reachable(&self, now: Millis) -> bool {
        self.peers.iter().any(|peer| peer.is_reachable(now))
    }

    /// At least one peer is reachable and says that it reaches the store.
    pub(super) fn is_any_reachable_with_store(&self, now: Millis) -> bool {
        self.peers
            .iter()
            .any(|peer| peer.is_reachable(now) && peer.is_store_reachable)
    }

    /// There are peers, and none of them is reachable.
    pub(super) fn are_all_unreachable(&self, now: Millis) -> bool {
        !self.is_empty() && !self.is_any_reachable(now)
    }

    /// Whether the peers are to be pinged now; if so, the next ping is due an interval later.
    pub(super) fn take_due_ping(&mut self, now: Millis) -> bool {
        let is_due = now >= self.next_ping_at;
        if is_due {
            self.next_ping_at = now + PEER_PING_INTERVAL_MS;
        }
        is_due
    }

    /// Records that a peer is being sent the counts of all jobs. False: it had them before.
    pub(super) fn mark_all_counts_sent(&mut self, peer: usize) -> bool {
        !std::mem::replace(&mut self.peers[peer].has_all_counts, true)
    }

    /// The role changed: the next leader begins with the counts of all jobs.
    pub(super) fn forget_sent_counts(&mut self) {
        for peer in &mut self.peers {
            peer.has_all_counts = false;
        }
    }

    /// During a pause the peers were not silent: nobody read their frames.
    pub(super) fn resume(&mut self, pause: Pause) {
        for peer in self.peers.iter_mut().filter(|peer| peer.is_connected) {
            peer.last_heard_at = pause.now;
        }
    }
}
