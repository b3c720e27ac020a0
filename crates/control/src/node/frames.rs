//! Frames between controllers: pings, relayed heartbeats, cancellations and task counts of jobs.
use super::role::Role;
use super::Node;
use crate::api::{Action, Link, Millis};
use stonegw_wire::frame::{
    from_padded_text, to_padded_text, Cancellation, Frame, Hello, TaskCounts, MAX_FRAME_BODY_BYTES,
};
use stonegw_wire::msg::{decode, encode, ErrorBody, Heartbeat};

/// The revision that a node without a replica sends in its pings. A ping with this revision
/// requests no cancellations.
const NO_CANCELLATIONS_NEEDED: u64 = u64::MAX;

impl Node {
    /// Handles the opening of the link to a peer.
    pub(super) fn handle_link_up(&mut self, peer: usize) {
        self.peers.record_link_up(peer, self.now.monotonic_ms);
        self.send_ping(peer);
    }

    /// Handles a frame from another controller.
    pub(super) fn handle_frame(&mut self, from: Link, frame: Frame) {
        match frame {
            Frame::Hello(hello) => self.handle_hello(from, &hello),
            Frame::Heartbeat { request_id, body } => {
                self.handle_relayed_heartbeat(from, request_id, &body);
            }
            Frame::HeartbeatReply {
                request_id,
                status,
                body,
            } => self.handle_relay_reply(request_id, status, body),
            Frame::Cancellations(cancellations) => self.handle_cancellations(&cancellations),
            Frame::TaskCounts(counts) => self.handle_job_counts(&counts),
        }
    }

    fn handle_hello(&mut self, from: Link, hello: &Hello) {
        self.observe_token(hello.term.get());
        match from {
            Link::Outbound(peer) => self.handle_pong(peer, hello),
            Link::Inbound(_) => self.handle_ping(from, hello),
        }
    }

    /// Handles a peer's answer to a ping of this node.
    fn handle_pong(&mut self, peer: usize, hello: &Hello) {
        let now = self.now.monotonic_ms;
        let is_store_reachable = hello.is_store_reachable != 0;
        self.peers.record_hello(peer, now, is_store_reachable);
        let (incarnation, ping_sent_at) = (hello.process_nonce.get(), hello.ping_sent_at.get());
        if ping_sent_at > 0 {
            self.cancellation_watermark
                .record_peer_answer(peer, incarnation, ping_sent_at, now);
        }
    }

    /// Answers a peer's ping, so that both ends of the link receive frames.
    fn handle_ping(&mut self, from: Link, hello: &Hello) {
        let node_name = from_padded_text(&hello.node_name);
        if !self.settings.peers.iter().any(|peer| peer == node_name) {
            log::warn!("ignoring a hello from the unknown node {node_name:?}");
            return;
        }
        // The cancellations that the peer lacks are sent before the answer, over the same link.
        let revision = hello.jobs_revision.get();
        let missing: Vec<_> = self
            .replica
            .cancellations_since(revision)
            .cloned()
            .collect();
        self.send_cancellations(from, &missing);
        self.send_hello(from, hello.ping_sent_at.get(), self.replica.revision);
    }

    /// Pings all connected peers.
    pub(super) fn send_pings(&mut self) {
        for peer in 0..self.peers.len() {
            if self.peers.is_connected(peer) {
                self.send_ping(peer);
            }
        }
    }

    /// Pings a peer. While this node has read nothing, the ping carries no time, because its answer
    /// need not advance the watermark. It also requests no cancellations; otherwise the peer would
    /// send all cancellations ever stored with each answer, every second.
    fn send_ping(&mut self, peer: usize) {
        let (ping_sent_at, revision) = match self.replica.revision {
            0 => (0, NO_CANCELLATIONS_NEEDED),
            revision => (self.now.monotonic_ms.max(1), revision),
        };
        self.send_hello(Link::Outbound(peer), ping_sent_at, revision);
    }

    /// Returns the highest term that this node knows, or a token whose term it has not read: the
    /// term of a leader that this node does not know yet may be the highest.
    fn highest_term_to_announce(&self) -> u64 {
        let known_term = self.replica.highest_term;
        match self.knows_observed_tokens() {
            true => known_term,
            false => known_term.max(self.highest_observed_token),
        }
    }

    /// Sends a hello. `ping_sent_at` is this node's time in a ping; in an answer, it is the time
    /// that the peer's ping carried.
    fn send_hello(&mut self, to: Link, ping_sent_at: Millis, revision: u64) {
        let is_store_reachable =
            self.replica_sync.is_live() && !self.store_availability.is_failing();
        let hello = Hello {
            term: self.highest_term_to_announce().into(),
            process_nonce: self.incarnation.into(),
            ping_sent_at: ping_sent_at.into(),
            jobs_revision: revision.into(),
            is_leader: u8::from(self.role == Role::Leader),
            is_store_reachable: u8::from(is_store_reachable),
            node_name: to_padded_text(&self.settings.node_name),
        };
        self.send_frame(to, Frame::Hello(hello));
    }

    /// Handles a heartbeat that another node relays to the leader on this node.
    fn handle_relayed_heartbeat(&mut self, from: Link, request_id: u64, body: &[u8]) {
        let (status, body) = match decode::<Heartbeat>(body) {
            Ok(heartbeat) => match self.handle_heartbeat_as_leader(heartbeat) {
                Some(commands) => (200, encode(&commands)),
                None => (503, vec![]),
            },
            Err(error) => {
                let error = error.to_string();
                (400, encode(&ErrorBody { error }))
            }
        };
        let reply = Frame::HeartbeatReply {
            request_id,
            status,
            body,
        };
        self.send_frame(from, reply);
    }

    pub(super) fn handle_cancellations(&mut self, cancellations: &[Cancellation]) {
        for cancellation in cancellations {
            let job = from_padded_text(&cancellation.job_id);
            let revision = cancellation.revision.get();
            self.replica.apply_announced_cancellation(job, revision);
        }
        self.announce_cancellations();
    }

    /// Sends cancellations that this node has just learned of to all connected peers.
    pub(super) fn announce_cancellations(&mut self) {
        let unsent = std::mem::take(&mut self.replica.unsent_cancellations);
        for peer in 0..self.peers.len() {
            if self.peers.is_connected(peer) {
                self.send_cancellations(Link::Outbound(peer), &unsent);
            }
        }
    }

    fn send_cancellations(&mut self, to: Link, cancellations: &[(u64, String)]) {
        let cancellations: Vec<Cancellation> = cancellations
            .iter()
            .map(|(revision, job)| Cancellation {
                job_id: to_padded_text(job),
                revision: (*revision).into(),
            })
            .collect();
        for chunk in cancellations.chunks(MAX_FRAME_BODY_BYTES / size_of::<Cancellation>()) {
            self.send_frame(to, Frame::Cancellations(chunk.to_vec()));
        }
    }

    fn handle_job_counts(&mut self, counts: &[TaskCounts]) {
        for job_counts in counts {
            let job = from_padded_text(&job_counts.job_id);
            // The status of a job that has ended is taken from its record.
            if self.replica.end_of(job).is_some() {
                self.job_counts.remove(job);
            } else {
                self.job_counts.insert(job.to_owned(), job_counts.into());
            }
        }
    }

    /// Sends the peers the task counts that changed, and all counts to peers that have none yet.
    /// Only the leader sends counts.
    pub(super) fn send_job_counts(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let changed = leader.changed_counts();
        let mut all = None;
        for peer in 0..self.peers.len() {
            if !self.peers.is_connected(peer) {
                continue;
            }
            let counts = if self.peers.mark_all_counts_sent(peer) {
                all.get_or_insert_with(|| leader.all_counts())
            } else {
                &changed
            };
            for chunk in counts.chunks(MAX_FRAME_BODY_BYTES / size_of::<TaskCounts>()) {
                self.outbox.actions.push(Action::SendFrame {
                    to: Link::Outbound(peer),
                    frame: Frame::TaskCounts(chunk.to_vec()),
                });
            }
        }
    }

    fn send_frame(&mut self, to: Link, frame: Frame) {
        self.outbox.actions.push(Action::SendFrame { to, frame });
    }
}
