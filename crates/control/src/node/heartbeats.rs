//! Handles the heartbeats that workers send to a node. A heartbeat is handled by the leader if it
//! runs on this node, is relayed to the leader on another node, or is answered without the leader.
use super::isolation::IsolationState;
use super::Node;
use crate::api::{Action, Link, Millis};
use stonegw_constants::{ISOLATION_TIMEOUT_MS, RETRY_AFTER_STORE_FAILURE_S};
use stonegw_wire::frame::Frame;
use stonegw_wire::msg::{decode, CommandBatch, Heartbeat, Redirect};

impl Node {
    /// Handles a heartbeat that a worker sent to this node.
    pub(super) fn handle_heartbeat(&mut self, request_id: u64, body: Vec<u8>) {
        let heartbeat: Heartbeat = match decode(&body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                return self
                    .outbox
                    .reply_error(request_id, 400, None, &error.to_string())
            }
        };
        if self.is_isolated() {
            return self.handle_heartbeat_isolated(request_id, heartbeat);
        }
        self.isolation
            .record_heartbeat(&heartbeat.machine_id, self.now.monotonic_ms);
        if self.leader.is_some() {
            return match self.handle_heartbeat_as_leader(heartbeat) {
                Some(commands) => self.outbox.reply(request_id, 200, None, &commands),
                None => self.reply_retry_later(request_id, "no lease to give"),
            };
        }
        self.observe_token(heartbeat.fencing_token);
        let Some((leader, _)) = self.known_leader() else {
            return self.reply_retry_later(request_id, "no leader");
        };
        let leader_node = leader.node.clone();
        let leader_peer = self
            .settings
            .peers
            .iter()
            .position(|peer| *peer == leader_node);
        match leader_peer {
            Some(peer) if self.peers.is_reachable(peer, self.now.monotonic_ms) => {
                self.relay_heartbeat(request_id, heartbeat, body, peer);
            }
            Some(_) => self.handle_heartbeat_via_store(request_id, heartbeat, leader_node),
            None => self.redirect_worker(request_id, None),
        }
    }

    /// Handles a heartbeat for the leader on this node. Returns `None` if the node no longer leads
    /// or can't renew the worker's lease now.
    pub(super) fn handle_heartbeat_as_leader(
        &mut self,
        heartbeat: Heartbeat,
    ) -> Option<CommandBatch> {
        self.observe_token(heartbeat.fencing_token);
        if !self.knows_observed_tokens() {
            return None;
        }
        let mut commands = None;
        self.with_leader(|leader, context| commands = leader.handle_heartbeat(context, heartbeat));
        commands
    }

    fn relay_heartbeat(
        &mut self,
        request_id: u64,
        heartbeat: Heartbeat,
        body: Vec<u8>,
        peer: usize,
    ) {
        let now = self.now.monotonic_ms;
        let relay_id = self.pending_relays.add(request_id, heartbeat, now);
        self.outbox.actions.push(Action::SendFrame {
            to: Link::Outbound(peer),
            frame: Frame::Heartbeat {
                request_id: relay_id,
                body,
            },
        });
    }

    /// Passes the leader's reply to a relayed heartbeat on to the worker.
    pub(super) fn handle_relay_reply(&mut self, relay_id: u64, status: u16, body: Vec<u8>) {
        let Some(relay) = self.pending_relays.take(relay_id) else {
            return;
        };
        self.outbox.actions.push(Action::Reply {
            request_id: relay.request_id,
            status,
            retry_after_s: (status == 503).then_some(RETRY_AFTER_STORE_FAILURE_S),
            body,
        });
    }

    /// Handles relayed heartbeats to which the leader did not reply in time. The leader may just
    /// have been partitioned from this node and its workers. If the workers were sent away, they
    /// would then look for other nodes without success. Their heartbeats are therefore handled
    /// through the store, unless this node is isolated, leads or knows no leader.
    pub(super) fn expire_pending_relays(&mut self) {
        for relay in self.pending_relays.take_expired(self.now.monotonic_ms) {
            let leader_node = self.known_leader().map(|(leader, _)| leader.node.clone());
            match leader_node {
                Some(leader_node) if !self.is_isolated() && self.leader.is_none() => {
                    let (request_id, heartbeat) = (relay.request_id, relay.heartbeat);
                    self.handle_heartbeat_via_store(request_id, heartbeat, leader_node);
                }
                _ => self.reply_partitioned(relay.request_id),
            }
        }
    }

    /// Handles a heartbeat while this node is isolated. The worker is told to try other nodes,
    /// which can most likely receive its heartbeats. In state `RenewingLeases`, the machines here
    /// are partitioned together with this node: their leases are renewed for as long as the
    /// cancellation watermark is current.
    fn handle_heartbeat_isolated(&mut self, request_id: u64, heartbeat: Heartbeat) {
        let now = self.now.monotonic_ms;
        let peers = self.settings.peers.len();
        let isolation = self
            .isolation
            .record_isolated_heartbeat(&heartbeat.machine_id, now, peers);
        self.observe_token(heartbeat.fencing_token);
        let token = self.renewal_token(&heartbeat);
        let token = token.filter(|_| self.knows_observed_tokens());
        if let (IsolationState::RenewingLeases, Some(token)) = (isolation, token) {
            return self.renew_lease_without_leader(request_id, &heartbeat, token);
        }
        self.isolation.record_rejection(heartbeat.machine_id, now);
        self.reply_partitioned(request_id);
    }

    /// Returns the fencing token with which this node may renew a worker's lease without the leader,
    /// or `None` if it may not. With the token, the worker executes no command of the leader any
    /// more that starts a task of a job whose cancellation this node has to know.
    pub(super) fn renewal_token(&self, heartbeat: &Heartbeat) -> Option<u64> {
        let may_renew = self.watermark_current() && self.is_raised_token_current();
        if !may_renew {
            return None;
        }
        let may_raise = self.may_raise_tokens();
        self.replica
            .renewal_token(heartbeat.fencing_token, may_raise)
    }

    /// Records whether this node knows a cancellation that its replica has not read: one that a peer
    /// announced or that this node stored.
    pub(super) fn track_unread_cancellations(&mut self) {
        let has_unread = self.replica.has_unread_cancellation();
        self.cancellation_watermark
            .record_unread_cancellation(has_unread, self.now.monotonic_ms);
    }

    /// Returns whether the tokens to which this node raises those of workers cover every
    /// cancellation that is older than the watermark may lag. They don't cover one that the replica
    /// has not read.
    fn is_raised_token_current(&self) -> bool {
        let now = self.now.monotonic_ms;
        let unread_since = self.cancellation_watermark.unread_since();
        let unread_for_ms = unread_since.map_or(0, |since| now.saturating_sub(since));
        unread_for_ms <= self.settings.max_watermark_lag_ms()
    }

    /// Answers a heartbeat without the leader. The fencing token renews the worker's lease; tasks
    /// of cancelled jobs are stopped, and no task is started.
    pub(super) fn renew_lease_without_leader(
        &mut self,
        request_id: u64,
        heartbeat: &Heartbeat,
        fencing_token: u64,
    ) {
        if fencing_token > heartbeat.fencing_token {
            log::debug!(
                "machine {}: fencing token {} -> {fencing_token}, without the leader",
                heartbeat.machine_id,
                heartbeat.fencing_token
            );
        }
        let commands = CommandBatch {
            fencing_token,
            incarnation: None,
            commands: self.replica.stop_commands(heartbeat),
        };
        self.outbox.reply(request_id, 200, None, &commands);
    }

    /// Tells a worker which node to try next, if one is known.
    pub(super) fn redirect_worker(&mut self, request_id: u64, target_node: Option<String>) {
        let redirect = Redirect { target_node };
        self.outbox.reply(request_id, 421, None, &redirect);
    }

    /// Tells a worker that the leader can't be reached from this node.
    pub(super) fn reply_partitioned(&mut self, request_id: u64) {
        self.reply_retry_later(request_id, "cut off from the leader");
    }

    fn reply_retry_later(&mut self, request_id: u64, reason: &str) {
        let retry_after_s = Some(RETRY_AFTER_STORE_FAILURE_S);
        self.outbox
            .reply_error(request_id, 503, retry_after_s, reason);
    }

    /// Returns whether this node has had no contact with the store for [`ISOLATION_TIMEOUT_MS`] and
    /// reaches no other node. Most likely it is partitioned and the others continue without it. It
    /// may miss a higher term and cancellations, so its workers must not stay here: they are told
    /// to try other nodes and find one well within their lease.
    pub(super) fn is_isolated(&self) -> bool {
        let now = self.now.monotonic_ms;
        self.peers.are_all_unreachable(now)
            && now > self.store_availability.last_success_at() + ISOLATION_TIMEOUT_MS
    }

    /// Returns how far the cancellation watermark lags behind the present time.
    pub(super) fn watermark_lag_ms(&self) -> Millis {
        let now = self.now.monotonic_ms;
        self.cancellation_watermark
            .watermark(now)
            .map_or(Millis::MAX, |watermark| now.saturating_sub(watermark))
    }

    /// Returns whether the cancellation watermark has advanced since the last process pause and is
    /// recent enough to renew a lease: tasks cancelled after the watermark still end before the
    /// cancellation deadline if this renewal is the last.
    pub(super) fn watermark_current(&self) -> bool {
        self.has_synced_since_pause()
            && self.watermark_lag_ms() <= self.settings.max_watermark_lag_ms()
    }
}

#[cfg(test)]
#[path = "heartbeats_tests.rs"]
mod tests;
