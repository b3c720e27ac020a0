//! Workers' reports at a node, and the links between nodes.
use super::*;
use stonegw_constants::{
    HEARTBEAT_RELAY_TIMEOUT_MS, ISOLATION_TIMEOUT_MS, LEADER_PROBE_BATCH_DIVISOR,
    LEADER_PROBE_BATCH_INTERVAL_MS, LEADER_PROBE_DELAY_MS, LEADER_PROBE_MARGIN_MS,
    MIN_LEADER_PROBES, RETRY_AFTER_STORE_FAILURE_S, WATERMARK_LAG_FRACTION,
    WORKER_ATTEMPT_TIMEOUT_MS,
};

impl Node {
    pub(super) fn handle_heartbeat(&mut self, id: u64, body: Vec<u8>) {
        let report: Heartbeat = match decode(&body) {
            Ok(r) => r,
            Err(why) => return self.outbox.reply_error(id, 400, None, &why.to_string()),
        };
        if self.is_isolated() {
            return self.handle_heartbeat_isolated(id, report);
        }
        self.released.clear();
        self.confined = false;
        match self.last_heartbeat_at.get_mut(&report.machine_id) {
            Some(at) => *at = self.now.monotonic_ms,
            None => drop(
                self.last_heartbeat_at
                    .insert(report.machine_id.clone(), self.now.monotonic_ms),
            ),
        }
        if self.leader.is_some() {
            return match self.handle_heartbeat_as_leader(report) {
                Some(orders) => self.outbox.reply(id, 200, None, &orders),
                None => self.outbox.reply_error(
                    id,
                    503,
                    Some(RETRY_AFTER_STORE_FAILURE_S),
                    "no lease to give",
                ),
            };
        }
        self.higher_term = self.higher_term.max(report.fencing_token);
        let Some((l, _)) = &self.replica.leader else {
            return self.outbox.reply_error(
                id,
                503,
                Some(RETRY_AFTER_STORE_FAILURE_S),
                "no leader",
            );
        };
        let node = l.node.clone();
        let link = self.settings.peers.iter().position(|p| *p == node);
        match link {
            Some(i) if self.peers[i].is_reachable(self.now.monotonic_ms) => {
                self.last_relay_id += 1;
                let request = self.last_relay_id;
                let until = self.now.monotonic_ms + HEARTBEAT_RELAY_TIMEOUT_MS;
                self.pending_relays.insert(request, (id, until, report));
                self.outbox.actions.push(Action::SendFrame {
                    to: Link::Outbound(i),
                    frame: Frame::Heartbeat {
                        request_id: request,
                        body,
                    },
                });
            }
            Some(_) => self.handle_heartbeat_via_store(id, report, node),
            None => self
                .outbox
                .reply(id, 421, None, &Redirect { target_node: None }),
        }
    }

    /// The leader did not answer a relayed report in time: it may have been cut off from us just
    /// now, and the worker, sent away, would look for others in vain.
    pub(super) fn handle_relay_timeout(&mut self, id: u64, report: Heartbeat) {
        match self.replica.leader.as_ref().map(|(l, _)| l.node.clone()) {
            Some(leader) if !self.is_isolated() && self.leader.is_none() => {
                self.handle_heartbeat_via_store(id, report, leader);
            }
            _ => self.reply_partitioned(id),
        }
    }

    /// How long our coverage lies back.
    pub(super) fn watermark_lag_ms(&self) -> Millis {
        let upto = self.cancellation_watermark.watermark(self.now.monotonic_ms);
        upto.map_or(Millis::MAX, |at| self.now.monotonic_ms.saturating_sub(at))
    }

    /// Whether a lease may be renewed: what was cancelled past our coverage still ends in time
    /// if this renewal is the last.
    pub(super) fn watermark_current(&self) -> bool {
        let spare_s =
            (self.settings.cancellation_deadline_s - self.settings.worker_lease_s).max(0.0);
        self.has_synced_since_pause()
            && self.watermark_lag_ms() <= (spare_s * WATERMARK_LAG_FRACTION * 1e3) as Millis
    }

    /// Hands cancellations that are new to us to all other nodes that can be reached.
    pub(super) fn announce_cancellations(&mut self) {
        let unsent = std::mem::take(&mut self.replica.unsent_cancellations);
        for i in 0..self.peers.len() {
            if self.peers[i].is_connected {
                self.send_cancellations(Link::Outbound(i), unsent.iter());
            }
        }
    }

    fn send_cancellations<'a>(&mut self, to: Link, list: impl Iterator<Item = &'a (u64, String)>) {
        let list: Vec<Cancellation> = list
            .map(|(stamp, job)| Cancellation {
                job_id: frame::to_padded_text(job),
                revision: (*stamp).into(),
            })
            .collect();
        for part in list.chunks(frame::MAX_FRAME_BODY_BYTES / size_of::<Cancellation>()) {
            self.outbox.actions.push(Action::SendFrame {
                to,
                frame: Frame::Cancellations(part.to_vec()),
            });
        }
    }

    pub(super) fn reply_partitioned(&mut self, id: u64) {
        let why = "cut off from the leader";
        self.outbox
            .reply_error(id, 503, Some(RETRY_AFTER_STORE_FAILURE_S), why);
    }

    /// A report while we hear neither the state service nor any other node. Its worker is let go,
    /// for others most likely hear it. Once one comes back after trying them all in vain, or one
    /// comes that was with another node, the machines here are cut off together with us: their
    /// leases are kept for as long as cancels told elsewhere allow.
    fn handle_heartbeat_isolated(&mut self, id: u64, report: Heartbeat) {
        let now = self.now.monotonic_ms;
        let tries = self.settings.peers.len() as u64 * WORKER_ATTEMPT_TIMEOUT_MS;
        let back = self.released.get(&report.machine_id);
        let new = back.is_none() && !self.last_heartbeat_at.contains_key(&report.machine_id);
        self.confined |=
            new || back.is_some_and(|at| now + WORKER_ATTEMPT_TIMEOUT_MS / 2 > at + tries);
        let term = match &self.leader {
            Some(l) => l.term,
            None => self.replica.term().unwrap_or(0),
        };
        self.higher_term = self.higher_term.max(report.fencing_token);
        if self.confined && self.watermark_current() && term > 0 && self.higher_term <= term {
            return self.renew_lease_without_leader(id, &report, term);
        }
        self.released.entry(report.machine_id).or_insert(now);
        self.reply_partitioned(id);
    }

    /// Answers without the leader: the token renews the lease, what is cancelled is ended, and
    /// nothing is started.
    pub(super) fn renew_lease_without_leader(&mut self, id: u64, report: &Heartbeat, term: u64) {
        let orders = CommandBatch {
            fencing_token: term,
            incarnation: None,
            commands: self.replica.stop_commands(report),
        };
        self.outbox.reply(id, 200, None, &orders);
    }

    /// Whether a machine that reports here is to try the leader itself. The lease comes first: only
    /// one that has been here for a while is sent, so that its lease lasts while it tries in vain,
    /// and only a part of them leave together. When one is back the way is shut, and later only
    /// a few go and look; when one stays away the way is open, and the others follow.
    pub(super) fn try_start_leader_probe(&mut self, machine: &str) -> bool {
        let now = self.now.monotonic_ms;
        self.served_without_leader_since
            .retain(|_, at| now < *at + 2 * LEADER_PROBE_DELAY_MS);
        if self.probing.remove(machine).is_some() {
            self.probe_failed = true;
            self.next_probe_at = now + LEADER_PROBE_DELAY_MS;
        }
        let tries = self.settings.peers.len() as u64;
        let arrived =
            |at: &Millis| now >= at + tries * WORKER_ATTEMPT_TIMEOUT_MS + LEADER_PROBE_MARGIN_MS;
        if self.probing.values().any(arrived) {
            self.probe_failed = false;
            self.probing.retain(|_, at| !arrived(at));
        }
        let part = if self.probe_failed {
            0
        } else {
            self.served_without_leader_since.len() / LEADER_PROBE_BATCH_DIVISOR
        };
        let since = self
            .served_without_leader_since
            .entry(machine.to_owned())
            .or_insert(now);
        let stayed = now >= *since + LEADER_PROBE_DELAY_MS;
        let wave = |at: &&Millis| now < **at + LEADER_PROBE_BATCH_INTERVAL_MS;
        let wave = self.probing.values().filter(wave).count();
        if !stayed || now < self.next_probe_at || wave >= part.max(MIN_LEADER_PROBES) {
            return false;
        }
        *since = now;
        self.probing.insert(machine.to_owned(), now);
        true
    }

    /// Neither the state service nor any other node is heard: we are most likely cut off, and
    /// the others go on without us. A higher term and cancels may pass us by, so workers must
    /// not be held here: told to try others, they find them well within their lease.
    pub(super) fn is_isolated(&self) -> bool {
        !self.peers.is_empty()
            && !self.is_any_peer_reachable()
            && self.now.monotonic_ms > self.last_store_success_at + ISOLATION_TIMEOUT_MS
    }

    pub(super) fn is_any_peer_reachable(&self) -> bool {
        let now = self.now.monotonic_ms;
        self.peers.iter().any(|p| p.is_reachable(now))
    }

    /// A report for the leader inside. `None`: it does not lead any more.
    pub(super) fn handle_heartbeat_as_leader(&mut self, report: Heartbeat) -> Option<CommandBatch> {
        self.higher_term = self.higher_term.max(report.fencing_token);
        let term = self.leader.as_ref().map(|l| l.term)?;
        if report.fencing_token > term {
            self.advance_role();
            return None;
        }
        let mut orders = None;
        self.with_leader(|leader, context| orders = leader.handle_heartbeat(context, report));
        orders
    }

    /// Asks another node. One that has read nothing yet needs no answer to count, nor all
    /// cancellations there ever were each second.
    pub(super) fn send_hello_request(&mut self, peer: usize) {
        let (asked, revision) = match self.replica.revision {
            0 => (0, u64::MAX),
            revision => (self.now.monotonic_ms.max(1), revision),
        };
        self.send_hello(Link::Outbound(peer), asked, revision);
    }

    /// `asked`: our time when we ask, the other's when we answer.
    fn send_hello(&mut self, to: Link, asked: Millis, revision: u64) {
        let hello = Hello {
            term: self.replica.highest_term.max(self.higher_term).into(),
            process_nonce: self.incarnation.into(),
            ping_sent_at: asked.into(),
            jobs_revision: revision.into(),
            is_leader: u8::from(self.role == Role::Leader),
            is_store_reachable: u8::from(
                self.replica_sync == ReplicaSync::Live && self.store_failing_since.is_none(),
            ),
            node_name: frame::to_padded_text(&self.settings.node_name),
        };
        self.outbox.actions.push(Action::SendFrame {
            to,
            frame: Frame::Hello(hello),
        });
    }

    /// Tells the others what changed, and all to those that know nothing yet.
    pub(super) fn send_job_counts(&mut self) {
        let Some(l) = &mut self.leader else { return };
        let changed = l.changed_counts();
        let mut all = None;
        for (i, p) in self.peers.iter_mut().enumerate() {
            if !p.is_connected {
                continue;
            }
            let list = if p.has_all_counts {
                &changed
            } else {
                p.has_all_counts = true;
                all.get_or_insert_with(|| l.all_counts())
            };
            for part in list.chunks(frame::MAX_FRAME_BODY_BYTES / size_of::<TaskCounts>()) {
                self.outbox.actions.push(Action::SendFrame {
                    to: Link::Outbound(i),
                    frame: Frame::TaskCounts(part.to_vec()),
                });
            }
        }
    }

    pub(super) fn handle_frame(&mut self, from: Link, frame: Frame) {
        match frame {
            Frame::Hello(h) => {
                self.higher_term = self.higher_term.max(h.term.get());
                let name = frame::from_padded_text(&h.node_name).to_owned();
                match from {
                    Link::Outbound(i) => {
                        let now = self.now.monotonic_ms;
                        self.peers[i].last_heard_at = now;
                        self.peers[i].is_store_reachable = h.is_store_reachable != 0;
                        let (life, asked) = (h.process_nonce.get(), h.ping_sent_at.get());
                        if asked > 0 {
                            self.cancellation_watermark
                                .record_peer_answer(i, life, asked, now);
                        }
                    }
                    // Every hello is answered, so that both ends of a link hear the other.
                    Link::Inbound(_) => {
                        if self.settings.peers.contains(&name) {
                            // What it lacks goes before the answer, over the same link.
                            let since = h.jobs_revision.get();
                            let lacks: Vec<_> =
                                self.replica.cancellations_since(since).cloned().collect();
                            self.send_cancellations(from, lacks.iter());
                            self.send_hello(from, h.ping_sent_at.get(), self.replica.revision);
                        } else {
                            log::warn!("a stranger says hello: {name:?}");
                        }
                    }
                }
            }
            Frame::Heartbeat {
                request_id: request,
                body,
            } => {
                let (status, body) = match decode::<Heartbeat>(&body) {
                    Ok(report) => match self.handle_heartbeat_as_leader(report) {
                        Some(orders) => (200, encode(&orders)),
                        None => (503, vec![]),
                    },
                    Err(why) => (
                        400,
                        encode(&ErrorBody {
                            error: why.to_string(),
                        }),
                    ),
                };
                self.outbox.actions.push(Action::SendFrame {
                    to: from,
                    frame: Frame::HeartbeatReply {
                        request_id: request,
                        status,
                        body,
                    },
                });
            }
            Frame::HeartbeatReply {
                request_id: request,
                status,
                body,
            } => {
                if let Some((id, ..)) = self.pending_relays.remove(&request) {
                    self.outbox.actions.push(Action::Reply {
                        request_id: id,
                        status,
                        retry_after_s: (status == 503).then_some(RETRY_AFTER_STORE_FAILURE_S),
                        body,
                    });
                }
            }
            Frame::Cancellations(list) => {
                for c in list {
                    let job = frame::from_padded_text(&c.job_id);
                    self.replica
                        .apply_announced_cancellation(job, c.revision.get());
                }
                self.announce_cancellations();
            }
            Frame::TaskCounts(list) => {
                for c in list {
                    let job = frame::from_padded_text(&c.job_id).to_owned();
                    // What has ended is told from its record.
                    if self.replica.end_of(&job).is_some() {
                        self.job_counts.remove(&job);
                    } else {
                        self.job_counts.insert(job, (c.done.get(), c.running.get()));
                    }
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "relay_tests.rs"]
pub(super) mod tests;
