//! Machines that fall silent, and machines that are gone.
use super::*;

impl Leader {
    pub(super) fn watch_machines(&mut self, ctx: &Ctx) {
        let now = ctx.now.ms;
        let lease_ms = (ctx.set.lease_s * 1e3) as u64;
        let lost_ms = (ctx.set.lease_s * k::LOST_LEASES * 1e3) as u64;
        let settled = self.stage == Stage::Active && self.confirmed(ctx);
        // Machines that a predecessor left with tasks count before they are heard.
        let heard = |m: &&Machine| {
            (m.heard.is_some() || m.stored != Stored::absent())
                && matches!(m.life, Life::Booting | Life::Up | Life::Draining)
        };
        let all = self.machines.values().filter(heard).count();
        let silent = |m: &&Machine| m.quiet(now, ctx.set.report_s);
        let quiet = self.machines.values().filter(heard).filter(silent).count();
        // When many fall silent together, the trouble is more likely ours, or a cut that ends.
        let many = quiet > k::SILENT_FEW && quiet as f64 > all as f64 * k::SILENT_PART;
        if settled && all > 1 && ctx.may_resign {
            let last = self.machines.values().filter_map(|m| m.heard).max();
            if last.is_some_and(|at| now > at.max(self.since) + k::DEAF_MS) {
                log::warn!("term {}: no machine is heard; resigning", self.term);
                self.resigned = true;
                self.deposed = true;
                return;
            }
        }
        let period = (ctx.set.report_s * 1.25 * 1e3) as u64;
        let urgent_ms = (period + 2 * k::WORKER_TRY_MS + k::LOST_URGENT_MS).min(lost_ms);
        let few = quiet <= k::SILENT_FEW || (quiet as f64) < all as f64 * k::SILENT_FEW_PART;
        // Nearly a whole zone that falls silent is most likely cut off, and comes back.
        let mut zones: HashMap<String, (usize, usize)> = HashMap::new();
        for m in self.machines.values().filter(heard) {
            let z = zones.entry(m.zone.clone()).or_default();
            z.0 += 1;
            z.1 += usize::from(silent(&m));
        }
        zones.retain(|_, (all, quiet)| {
            *quiet > k::SILENT_FEW && *quiet as f64 >= *all as f64 * k::SILENT_ZONE_PART
        });
        let lost_ms = if many { lost_ms * 3 } else { lost_ms };
        let urgent = |m: &Machine| {
            m.placements.iter().any(|p| {
                let work = self.works.get(&p.job).filter(|_| p.present());
                work.is_some_and(|w| w.urgent())
            })
        };
        for m in self.machines.values_mut() {
            let quiet_ms = now.saturating_sub(m.heard.unwrap_or(m.known_since));
            let mattered = m.heard.is_some() || !m.placements.is_empty();
            if matches!(m.life, Life::Up | Life::Draining | Life::Booting) && settled && mattered {
                let taken = m.notice.is_some_and(|t| now > t + 2_000);
                let vanished = m.missing >= 2 || taken;
                let lost_ms = if zones.contains_key(&m.zone) {
                    lost_ms.max(3 * lease_ms)
                } else if few && !m.far && urgent(m) {
                    urgent_ms
                } else {
                    lost_ms
                };
                if quiet_ms > lost_ms || (vanished && m.quiet(now, ctx.set.report_s)) {
                    // The delete is the proof that everything on it is gone.
                    log::warn!("machine {} is lost after {} ms", m.id, quiet_ms);
                    m.set_life(Life::Deleting);
                }
            }
            // Placements that were never sent may simply be taken back.
            if matches!(m.life, Life::Deleting | Life::Draining) {
                m.idle_since.get_or_insert(now);
            }
        }
        // Unsent placements of jobs that ended, or on machines that get nothing new.
        let mut back = vec![];
        for m in self.machines.values_mut() {
            let closing =
                matches!(m.life, Life::Draining | Life::Deleting) || m.quiet(now, ctx.set.report_s);
            let works = &self.works;
            let writing = m.stored.writing;
            m.placements.retain(|p| {
                let unwanted = p.stop.is_some() || !works.contains_key(&p.job) || closing;
                let out = p.phase == Phase::Ready && unwanted
                    || p.phase == Phase::New && unwanted && !writing;
                if out {
                    back.push((p.job.clone(), p.index));
                    m.stored.stale = true;
                }
                !out
            });
            if closing {
                back.append(&mut m.held);
            }
        }
        for (job, index) in back {
            self.back(&job, index);
        }
        self.deleted.retain(|_, at| now < *at + 600_000);
    }

    /// The cloud confirmed: the machine and everything on it are gone.
    pub fn machine_deleted(&mut self, now: Ms, id: &str) {
        self.all_gone(id, Gone::Machine);
        self.deleted.insert(id.into(), now);
        if let Some(m) = self.machines.get_mut(id) {
            for (job, index) in std::mem::take(&mut m.held) {
                if let Some(w) = self.works.get_mut(&job) {
                    w.give_back(index);
                }
            }
            let cpus = self
                .catalog
                .types
                .iter()
                .find(|t| t.name == m.kind)
                .map_or(1.0, |t| t.cpus);
            log::info!("machine {id} account: {}", m.account(now, cpus));
            m.set_life(Life::Gone);
            if m.stored == Stored::absent() {
                self.machines.remove(id);
            } else {
                m.stored.stale = true;
            }
        }
    }
}
