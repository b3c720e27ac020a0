//! Workers' reports at a node, and the links between nodes.
use super::*;

impl Node {
    pub(super) fn beat(&mut self, id: u64, body: Vec<u8>) {
        let report: Report = match decode(&body) {
            Ok(r) => r,
            Err(why) => return self.out.error(id, 400, None, &why),
        };
        if self.alone() {
            return self.lone_beat(id, report);
        }
        self.let_go.clear();
        self.shut_in = false;
        match self.seen.get_mut(&report.machine) {
            Some(at) => *at = self.now.ms,
            None => drop(self.seen.insert(report.machine.clone(), self.now.ms)),
        }
        if self.leader.is_some() {
            return match self.lead_beat(report) {
                Some(orders) => self.out.reply(id, 200, None, &orders),
                None => self
                    .out
                    .error(id, 503, Some(k::RETRY_STATE_S), "no lease to give"),
            };
        }
        self.higher_term = self.higher_term.max(report.token);
        let Some((l, _)) = &self.replica.leader else {
            return self.out.error(id, 503, Some(k::RETRY_STATE_S), "no leader");
        };
        let node = l.node.clone();
        let link = self.set.peers.iter().position(|p| *p == node);
        match link {
            Some(i) if self.peers[i].heard(self.now.ms) => {
                self.next_relay += 1;
                let request = self.next_relay;
                let until = self.now.ms + k::RELAY_TIMEOUT_MS;
                self.relays.insert(request, (id, until, report));
                self.out.actions.push(Action::Send {
                    to: Link::Out(i),
                    frame: Frame::Report { request, body },
                });
            }
            Some(_) => self.beat_via_state(id, report, node),
            None => self.out.reply(id, 421, None, &ReportTo { node: None }),
        }
    }

    /// The leader did not answer a relayed report in time: it may have been cut off from us just
    /// now, and the worker, sent away, would look for others in vain.
    pub(super) fn unrelayed(&mut self, id: u64, report: Report) {
        match self.replica.leader.as_ref().map(|(l, _)| l.node.clone()) {
            Some(leader) if !self.alone() && self.leader.is_none() => {
                self.beat_via_state(id, report, leader);
            }
            _ => self.cut_off(id),
        }
    }

    /// How long our coverage lies back.
    pub(super) fn uncovered_ms(&self) -> Ms {
        let upto = self.coverage.upto(self.now.ms);
        upto.map_or(Ms::MAX, |at| self.now.ms.saturating_sub(at))
    }

    /// Whether a lease may be renewed: what was cancelled past our coverage still ends in time
    /// if this renewal is the last.
    pub(super) fn covered(&self) -> bool {
        let spare_s = (self.set.cancel_s - self.set.lease_s).max(0.0);
        self.proven() && self.uncovered_ms() <= (spare_s * k::UNCOVERED_PART * 1e3) as Ms
    }

    /// Hands cancellations that are new to us to all other nodes that can be reached.
    pub(super) fn tell_cancelled(&mut self) {
        let unsent = std::mem::take(&mut self.replica.unsent_cancellations);
        for i in 0..self.peers.len() {
            if self.peers[i].up {
                self.send_cancelled(Link::Out(i), unsent.iter());
            }
        }
    }

    fn send_cancelled<'a>(&mut self, to: Link, list: impl Iterator<Item = &'a (u64, String)>) {
        let list: Vec<Cancelled> = list
            .map(|(stamp, job)| Cancelled {
                job: frame::name(job),
                stamp: (*stamp).into(),
            })
            .collect();
        for part in list.chunks(frame::MAX_FRAME / size_of::<Cancelled>()) {
            self.out.actions.push(Action::Send {
                to,
                frame: Frame::Cancelled(part.to_vec()),
            });
        }
    }

    pub(super) fn cut_off(&mut self, id: u64) {
        let why = "cut off from the leader";
        self.out.error(id, 503, Some(k::RETRY_STATE_S), why);
    }

    /// A report while we hear neither the state service nor any other node. Its worker is let go,
    /// for others most likely hear it. Once one comes back after trying them all in vain, or one
    /// comes that was with another node, the machines here are cut off together with us: their
    /// leases are kept for as long as cancels told elsewhere allow.
    fn lone_beat(&mut self, id: u64, report: Report) {
        let now = self.now.ms;
        let tries = self.set.peers.len() as u64 * k::WORKER_TRY_MS;
        let back = self.let_go.get(&report.machine);
        let new = back.is_none() && !self.seen.contains_key(&report.machine);
        self.shut_in |= new || back.is_some_and(|at| now + k::WORKER_TRY_MS / 2 > at + tries);
        let term = match &self.leader {
            Some(l) => l.term,
            None => self.replica.term().unwrap_or(0),
        };
        self.higher_term = self.higher_term.max(report.token);
        if self.shut_in && self.covered() && term > 0 && self.higher_term <= term {
            return self.keep_lease(id, &report, term);
        }
        self.let_go.entry(report.machine).or_insert(now);
        self.cut_off(id);
    }

    /// Answers without the leader: the token renews the lease, what is cancelled is ended, and
    /// nothing is started.
    pub(super) fn keep_lease(&mut self, id: u64, report: &Report, term: u64) {
        let orders = Orders {
            token: term,
            session: None,
            commands: self.replica.stops(report),
        };
        self.out.reply(id, 200, None, &orders);
    }

    /// Whether a machine that reports here is to try the leader itself. The lease comes first: only
    /// one that has been here for a while is sent, so that its lease lasts while it tries in vain,
    /// and only a part of them leave together. When one is back the way is shut, and later only
    /// a few go and look; when one stays away the way is open, and the others follow.
    pub(super) fn try_leader(&mut self, machine: &str) -> bool {
        let now = self.now.ms;
        self.redirected
            .retain(|_, at| now < *at + 2 * k::FAR_REDIRECT_MS);
        if self.away.remove(machine).is_some() {
            self.way_shut = true;
            self.try_at = now + k::FAR_REDIRECT_MS;
        }
        let tries = self.set.peers.len() as u64;
        let arrived = |at: &Ms| now >= at + tries * k::WORKER_TRY_MS + k::FAR_AWAY_MS;
        if self.away.values().any(arrived) {
            self.way_shut = false;
            self.away.retain(|_, at| !arrived(at));
        }
        let part = if self.way_shut {
            0
        } else {
            self.redirected.len() / k::FAR_TRY_PART
        };
        let since = self.redirected.entry(machine.to_owned()).or_insert(now);
        let stayed = now >= *since + k::FAR_REDIRECT_MS;
        let wave = |at: &&Ms| now < **at + k::FAR_WAVE_MS;
        let wave = self.away.values().filter(wave).count();
        if !stayed || now < self.try_at || wave >= part.max(k::FAR_SCOUTS) {
            return false;
        }
        *since = now;
        self.away.insert(machine.to_owned(), now);
        true
    }

    /// Neither the state service nor any other node is heard: we are most likely cut off, and
    /// the others go on without us. A higher term and cancels may pass us by, so workers must
    /// not be held here: told to try others, they find them well within their lease.
    pub(super) fn alone(&self) -> bool {
        !self.peers.is_empty() && !self.peer_heard() && self.now.ms > self.state_ok_at + k::LONE_MS
    }

    pub(super) fn peer_heard(&self) -> bool {
        let now = self.now.ms;
        self.peers.iter().any(|p| p.heard(now))
    }

    /// A report for the leader inside. `None`: it does not lead any more.
    pub(super) fn lead_beat(&mut self, report: Report) -> Option<Orders> {
        self.higher_term = self.higher_term.max(report.token);
        let term = self.leader.as_ref().map(|l| l.term)?;
        if report.token > term {
            self.advance_role();
            return None;
        }
        let mut orders = None;
        self.run_leader(|leader, ctx| orders = leader.beat(ctx, report));
        orders
    }

    /// Asks another node. One that has read nothing yet needs no answer to count, nor all
    /// cancellations there ever were each second.
    pub(super) fn ask_peer(&mut self, peer: usize) {
        let (asked, revision) = match self.replica.revision {
            0 => (0, u64::MAX),
            revision => (self.now.ms.max(1), revision),
        };
        self.hello(Link::Out(peer), asked, revision);
    }

    /// `asked`: our time when we ask, the other's when we answer.
    fn hello(&mut self, to: Link, asked: Ms, revision: u64) {
        let hello = Hello {
            term: self.replica.highest_term.max(self.higher_term).into(),
            nonce: self.nonce.into(),
            asked: asked.into(),
            revision: revision.into(),
            leads: u8::from(self.role == Role::Leading),
            state_ok: u8::from(self.sync == Sync::Live && self.state_failed_at.is_none()),
            name: frame::name(&self.set.node),
        };
        self.out.actions.push(Action::Send {
            to,
            frame: Frame::Hello(hello),
        });
    }

    /// Tells the others what changed, and all to those that know nothing yet.
    pub(super) fn send_counts(&mut self) {
        let Some(l) = &mut self.leader else { return };
        let changed = l.changed_counts();
        let mut all = None;
        for (i, p) in self.peers.iter_mut().enumerate() {
            if !p.up {
                continue;
            }
            let list = if p.counted {
                &changed
            } else {
                p.counted = true;
                all.get_or_insert_with(|| l.all_counts())
            };
            for part in list.chunks(frame::MAX_FRAME / size_of::<Counts>()) {
                self.out.actions.push(Action::Send {
                    to: Link::Out(i),
                    frame: Frame::Counts(part.to_vec()),
                });
            }
        }
    }

    pub(super) fn frame(&mut self, from: Link, frame: Frame) {
        match frame {
            Frame::Hello(h) => {
                self.higher_term = self.higher_term.max(h.term.get());
                let name = frame::text(&h.name).to_owned();
                match from {
                    Link::Out(i) => {
                        let now = self.now.ms;
                        self.peers[i].heard = now;
                        self.peers[i].state_ok = h.state_ok != 0;
                        let (life, asked) = (h.nonce.get(), h.asked.get());
                        if asked > 0 {
                            self.coverage.attested(i, life, asked, now);
                        }
                    }
                    // Every hello is answered, so that both ends of a link hear the other.
                    Link::In(_) => {
                        if self.set.peers.contains(&name) {
                            // What it lacks goes before the answer, over the same link.
                            let since = h.revision.get();
                            let lacks: Vec<_> =
                                self.replica.cancelled_since(since).cloned().collect();
                            self.send_cancelled(from, lacks.iter());
                            self.hello(from, h.asked.get(), self.replica.revision);
                        } else {
                            log::warn!("a stranger says hello: {name:?}");
                        }
                    }
                }
            }
            Frame::Report { request, body } => {
                let (status, body) = match decode::<Report>(&body) {
                    Ok(report) => match self.lead_beat(report) {
                        Some(orders) => (200, encode(&orders)),
                        None => (503, vec![]),
                    },
                    Err(why) => (400, encode(&ErrorBody { error: why })),
                };
                self.out.actions.push(Action::Send {
                    to: from,
                    frame: Frame::Answer {
                        request,
                        status,
                        body,
                    },
                });
            }
            Frame::Answer {
                request,
                status,
                body,
            } => {
                if let Some((id, ..)) = self.relays.remove(&request) {
                    self.out.actions.push(Action::Reply {
                        id,
                        status,
                        retry_after_s: (status == 503).then_some(k::RETRY_STATE_S),
                        body,
                    });
                }
            }
            Frame::Cancelled(list) => {
                for c in list {
                    let job = frame::text(&c.job);
                    self.replica.told_cancelled(job, c.stamp.get());
                }
                self.tell_cancelled();
            }
            Frame::Counts(list) => {
                for c in list {
                    let job = frame::text(&c.job).to_owned();
                    // What has ended is told from its record.
                    if self.replica.end_of(&job).is_some() {
                        self.counts.remove(&job);
                    } else {
                        self.counts.insert(job, (c.done.get(), c.running.get()));
                    }
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "relay_tests.rs"]
pub(super) mod tests;
