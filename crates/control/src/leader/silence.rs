//! Machines that fall silent or don't hear us, and machines that are gone.
use super::*;

/// How many machines count, how many of them are silent, and how many don't hear us.
#[derive(Clone, Copy, Default)]
struct Tally {
    all: usize,
    quiet: usize,
    deaf: usize,
    /// Heard through the state service only.
    via_state: usize,
}

impl Leader {
    pub(super) fn watch_machines(&mut self, ctx: &Ctx) {
        let now = ctx.now.ms;
        let report_s = ctx.set.report_s;
        let lease_ms = (ctx.set.lease_s * 1e3) as u64;
        let lost_ms = (ctx.set.lease_s * k::LOST_LEASES * 1e3) as u64;
        let settled = self.stage == Stage::Active && self.confirmed(ctx);
        let mut total = Tally::default();
        let mut zones: HashMap<&str, Tally> = HashMap::new();
        // Machines that a predecessor left with tasks count before they are heard.
        for m in self.machines.values() {
            if (m.heard.is_some() || m.loaded) && m.life != Life::Deleting {
                let quiet = usize::from(m.quiet(now, report_s));
                let deaf = usize::from(m.deaf());
                let via_state = usize::from(m.via_state && quiet == 0);
                for t in [&mut total, zones.entry(&m.zone).or_default()] {
                    t.all += 1;
                    t.quiet += quiet;
                    t.deaf += deaf;
                    t.via_state += via_state;
                }
            }
        }
        let part = |n: usize, p: f64| n as f64 > total.all as f64 * p;
        // What ends does not end for all at once: those that come back later are waited for.
        let later =
            now + k::WORKER_TRY_MS * (ctx.set.peers.len() as u64 + 1) + (report_s * 1e3) as u64;
        // When many fall silent together, the trouble is more likely ours, or a cut that ends.
        if settled && total.quiet > k::SILENT_FEW && part(total.quiet, k::SILENT_PART) {
            self.many_until = later;
        }
        let many = now < self.many_until;
        // The same holds when many don't hear us, until the last may hear again.
        if settled && total.deaf > k::SILENT_FEW && part(total.deaf, k::SILENT_PART) {
            self.many_deaf_until = later;
        }
        let many_deaf = now < self.many_deaf_until;
        if settled && total.all > 1 && ctx.may_resign {
            let last = self.machines.values().filter_map(|m| m.heard).max();
            if last.is_some_and(|at| now > at.max(self.since) + k::DEAF_MS) {
                log::warn!("term {}: no machine is heard; resigning", self.term);
                self.resigned = true;
                self.deposed = true;
                return;
            }
        }
        let period = (report_s * 1.25 * 1e3) as u64;
        let urgent_ms = (period + 2 * k::WORKER_TRY_MS + k::LOST_URGENT_MS).min(lost_ms);
        let few = total.quiet <= k::SILENT_FEW || !many;
        // Nearly a whole zone that falls silent, or is heard by a node beside it only, is most
        // likely cut off, and comes back.
        for (zone, t) in zones {
            let away = t.quiet + t.via_state;
            if away > k::SILENT_FEW && away as f64 >= t.all as f64 * k::SILENT_ZONE_PART {
                self.cut_until.insert(zone.to_owned(), later);
            }
        }
        let cut_until = &self.cut_until;
        let cut = |zone: &str| cut_until.get(zone).is_some_and(|until| now < *until);
        let lost_ms = if many { lost_ms * 3 } else { lost_ms };
        let urgent = |m: &Machine| {
            m.placements.iter().any(|p| {
                let work = self.works.get(&p.job).filter(|_| p.present());
                // A gang can't go on elsewhere until each of its tasks is proven gone.
                work.is_some_and(|w| w.urgent() || w.gang.is_some())
            })
        };
        // Where unsent placements are to be taken back: all of them, or those of ended jobs.
        let (mut lost, mut unsent) = (vec![], vec![]);
        for m in self.machines.values() {
            let quiet = m.quiet(now, report_s);
            let quiet_ms = now.saturating_sub(m.heard.unwrap_or(m.known_since));
            let mattered = m.heard.is_some() || !m.placements.is_empty();
            if m.life != Life::Deleting && settled && mattered {
                let taken = m.notice.is_some_and(|t| now > t + 2_000);
                let vanished = m.missing >= 2 || taken;
                // Most are heard: what they hold need not be looked at.
                let over = quiet_ms > urgent_ms
                    && quiet_ms
                        > if cut(&m.zone) {
                            lost_ms.max(3 * lease_ms)
                        } else if few && !m.via_state && urgent(m) {
                            urgent_ms
                        } else {
                            lost_ms
                        };
                // One that is heard but does not hear us is of no use; by its lease's end
                // nothing runs there any more.
                let deaf_ms = if many_deaf { 3 * lease_ms } else { lease_ms };
                let deaf = match m.reach {
                    Reach::Deaf { since } => now > since + deaf_ms,
                    _ => false,
                };
                if over || (vanished && quiet) || deaf {
                    log::warn!("machine {} is lost after {quiet_ms} ms, deaf {deaf}", m.id);
                    lost.push(m.id.clone());
                }
            }
            let no_more = matches!(m.life, Life::Draining | Life::Deleting) || quiet || m.deaf();
            let any = !m.placements.is_empty() || !m.held.is_empty();
            let ended = |p: &Placement| {
                p.unsent() && (p.stop.is_some() || !self.works.contains_key(&p.job))
            };
            if no_more && any || m.placements.iter().any(ended) {
                unsent.push((m.id.clone(), no_more));
            }
        }
        for id in lost {
            // The delete is the proof that everything on it is gone.
            if let Some(mut m) = self.machines.edit(&id) {
                m.set_life(Life::Deleting);
            }
        }
        for (id, closing) in unsent {
            self.take_unsent(&id, closing);
        }
        self.deleted.retain(|_, at| now < *at + k::DELETED_MS);
    }

    /// Asks machines that don't hear us, or are not trusted to: an answer shows that they do again.
    /// Nothing else would, for nothing is sent there.
    pub(super) fn inspect(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.ms;
        let due: Vec<(String, String)> = self
            .machines
            .values()
            .filter(|m| !m.trusted() && now >= m.inspect_at && m.life != Life::Deleting)
            .filter_map(|m| Some((m.id.clone(), m.addr.clone()?)))
            .collect();
        for (machine, addr) in due {
            if let Some(mut m) = self.machines.edit(&machine) {
                m.inspect_at = now + k::INSPECT_MS;
            }
            let call = Call::Inspect { machine };
            let target = Target::Worker(addr);
            let wait = k::DO_TIMEOUT_MS;
            ctx.call(call, target, "GET", "/inspect".into(), vec![], wait);
        }
    }

    pub(super) fn inspected(&mut self, ctx: &mut Ctx, id: &str, result: CallResult) {
        if let Ok((200, body)) = result {
            self.hear_answer(ctx, id, &body);
        }
    }

    /// Placements that were never sent may simply be taken back: of jobs that ended, and all
    /// where nothing new is to start. What was sent to a machine that does not hear us is
    /// called off.
    fn take_unsent(&mut self, id: &str, closing: bool) {
        let works = &self.works;
        let writing = self
            .machines
            .get(id)
            .and_then(|m| self.shards.get(&m.shard?))
            .is_some_and(|s| s.stored.writing);
        let Some(mut m) = self.machines.edit(id) else {
            return;
        };
        let mut back = vec![];
        m.placements.retain(|p| {
            let unwanted = p.stop.is_some() || !works.contains_key(&p.job) || closing;
            let out = unwanted && p.unsent() && !(p.phase == Phase::New && writing);
            if out {
                back.push((p.job.clone(), p.index));
            }
            !out
        });
        let unstored = !back.is_empty();
        if closing {
            back.append(&mut m.held);
            if m.deaf() {
                for p in m.placements.iter_mut().filter(|p| p.phase == Phase::Sent) {
                    p.stop.get_or_insert(0.0);
                }
            }
        }
        drop(m);
        if unstored {
            self.stale(id);
        }
        for (job, index) in back {
            self.back(&job, index);
        }
    }

    /// The cloud confirmed: the machine and everything on it are gone.
    pub fn machine_deleted(&mut self, now: Ms, id: &str) {
        self.all_gone(id, Gone::Machine);
        self.deleted.insert(id.into(), now);
        let Some(mut m) = self.machines.edit(id) else {
            return;
        };
        let held = std::mem::take(&mut m.held);
        let kind = m.kind.clone();
        drop(m);
        for (job, index) in held {
            self.back(&job, index);
        }
        self.stale(id);
        let cpus = self.kind(&kind).map_or(1.0, |t| t.cpus);
        if let Some(m) = self.machines.get(id) {
            log::info!("machine {id} account: {}", m.account(now, cpus));
            if let Some(s) = m.shard.and_then(|n| self.shards.get_mut(&n)) {
                s.machines.remove(id);
            }
        }
        self.machines.remove(id);
    }
}
