//! Machines that fall silent or don't hear us, and machines that are gone.
use super::*;
use stonegw_constants::{
    DELETED_MACHINE_RETENTION_MS, DIRECT_COMMAND_TIMEOUT_MS, LOST_LEASE_MULTIPLE,
    LOST_URGENT_MARGIN_MS, MASS_SILENCE_FRACTION, MASS_SILENCE_MIN_MACHINES, UNREACHABLE_MS,
    UNREACHABLE_PROBE_INTERVAL_MS, WORKER_ATTEMPT_TIMEOUT_MS, ZONE_PARTITION_FRACTION,
};

/// How many machines count, how many of them are silent, and how many don't hear us.
#[derive(Clone, Copy, Default)]
struct MachineCounts {
    total: usize,
    silent: usize,
    unreachable: usize,
    /// Heard through the state service only.
    via_store: usize,
}

impl Leader {
    pub(super) fn check_machines(&mut self, context: &LeaderContext) {
        let now = context.now.monotonic_ms;
        let report_s = context.settings.heartbeat_interval_s;
        let lease_ms = (context.settings.worker_lease_s * 1e3) as u64;
        let lost_ms = (context.settings.worker_lease_s * LOST_LEASE_MULTIPLE * 1e3) as u64;
        let settled = self.stage == Stage::Active && self.lease_is_valid(context);
        let mut total = MachineCounts::default();
        let mut zones: HashMap<&str, MachineCounts> = HashMap::new();
        // Machines that a predecessor left with tasks count before they are heard.
        for m in self.cluster.machines.values() {
            if (m.last_heartbeat_at.is_some() || m.loaded_from_store)
                && m.lifecycle != Lifecycle::Terminating
            {
                let quiet = usize::from(m.is_silent(now, report_s));
                let deaf = usize::from(m.is_unreachable());
                let via_state = usize::from(m.via_store && quiet == 0);
                for t in [&mut total, zones.entry(&m.zone).or_default()] {
                    t.total += 1;
                    t.silent += quiet;
                    t.unreachable += deaf;
                    t.via_store += via_state;
                }
            }
        }
        let part = |n: usize, p: f64| n as f64 > total.total as f64 * p;
        // What ends does not end for all at once: those that come back later are waited for.
        let later = now
            + WORKER_ATTEMPT_TIMEOUT_MS * (context.settings.peers.len() as u64 + 1)
            + (report_s * 1e3) as u64;
        // When many fall silent together, the trouble is more likely ours, or a cut that ends.
        if settled
            && total.silent > MASS_SILENCE_MIN_MACHINES
            && part(total.silent, MASS_SILENCE_FRACTION)
        {
            self.mass_silence_until = later;
        }
        let many = now < self.mass_silence_until;
        // The same holds when many don't hear us, until the last may hear again.
        if settled
            && total.unreachable > MASS_SILENCE_MIN_MACHINES
            && part(total.unreachable, MASS_SILENCE_FRACTION)
        {
            self.mass_unreachable_until = later;
        }
        let many_deaf = now < self.mass_unreachable_until;
        if settled && total.total > 1 && context.may_resign {
            let last = self
                .cluster
                .machines
                .values()
                .filter_map(|m| m.last_heartbeat_at)
                .max();
            if last.is_some_and(|at| now > at.max(self.term_began_at) + UNREACHABLE_MS) {
                log::warn!("term {}: no machine is heard; resigning", self.term);
                self.resigned = true;
                self.deposed = true;
                return;
            }
        }
        let period = (report_s * 1.25 * 1e3) as u64;
        let urgent_ms =
            (period + 2 * WORKER_ATTEMPT_TIMEOUT_MS + LOST_URGENT_MARGIN_MS).min(lost_ms);
        let few = total.silent <= MASS_SILENCE_MIN_MACHINES || !many;
        // Nearly a whole zone that falls silent, or is heard by a node beside it only, is most
        // likely cut off, and comes back.
        for (zone, t) in zones {
            let away = t.silent + t.via_store;
            if away > MASS_SILENCE_MIN_MACHINES
                && away as f64 >= t.total as f64 * ZONE_PARTITION_FRACTION
            {
                self.zones_partitioned_until.insert(zone.to_owned(), later);
            }
        }
        let cut_until = &self.zones_partitioned_until;
        let cut = |zone: &str| cut_until.get(zone).is_some_and(|until| now < *until);
        let lost_ms = if many { lost_ms * 3 } else { lost_ms };
        let urgent = |m: &Machine| {
            m.placements.iter().any(|p| {
                let work = self.cluster.jobs.get(&p.job).filter(|_| p.is_present());
                // A gang can't go on elsewhere until each of its tasks is proven gone.
                work.is_some_and(|w| w.is_urgent() || w.gang.is_some())
            })
        };
        // Where unsent placements are to be taken back: all of them, or those of ended jobs.
        let (mut lost, mut unsent) = (vec![], vec![]);
        for m in self.cluster.machines.values() {
            let quiet = m.is_silent(now, report_s);
            let quiet_ms = now.saturating_sub(m.last_heartbeat_at.unwrap_or(m.known_since));
            let mattered = m.last_heartbeat_at.is_some() || !m.placements.is_empty();
            if m.lifecycle != Lifecycle::Terminating && settled && mattered {
                let taken = m.eviction_at.is_some_and(|t| now > t + 2_000);
                let vanished = m.absent_listings >= 2 || taken;
                // Most are heard: what they hold need not be looked at.
                let over = quiet_ms > urgent_ms
                    && quiet_ms
                        > if cut(&m.zone) {
                            lost_ms.max(3 * lease_ms)
                        } else if few && !m.via_store && urgent(m) {
                            urgent_ms
                        } else {
                            lost_ms
                        };
                // One that is heard but does not hear us is of no use; by its lease's end
                // nothing runs there any more.
                let deaf_ms = if many_deaf { 3 * lease_ms } else { lease_ms };
                let deaf = match m.reachability {
                    Reachability::Unreachable { since } => now > since + deaf_ms,
                    _ => false,
                };
                if over || (vanished && quiet) || deaf {
                    log::warn!("machine {} is lost after {quiet_ms} ms, deaf {deaf}", m.id);
                    lost.push(m.id.clone());
                }
            }
            let no_more = matches!(m.lifecycle, Lifecycle::Draining | Lifecycle::Terminating)
                || quiet
                || m.is_unreachable();
            let any = !m.placements.is_empty() || !m.queued.is_empty();
            let ended = |p: &Placement| {
                p.is_unsent()
                    && (p.stop_grace_s.is_some() || !self.cluster.jobs.contains_key(&p.job))
            };
            if no_more && any || m.placements.iter().any(ended) {
                unsent.push((m.id.clone(), no_more));
            }
        }
        for id in lost {
            // The delete is the proof that everything on it is gone.
            if let Some(mut m) = self.cluster.machines.edit(&id) {
                m.set_lifecycle(Lifecycle::Terminating);
            }
        }
        for (id, closing) in unsent {
            self.cluster.withdraw_unsent(&id, closing);
        }
        self.cluster
            .deleted_machines
            .retain(|_, at| now < *at + DELETED_MACHINE_RETENTION_MS);
    }

    /// Asks machines that don't hear us, or are not trusted to: an answer shows that they do again.
    /// Nothing else would, for nothing is sent there.
    pub(super) fn probe_unreachable_machines(&mut self, context: &mut LeaderContext) {
        let now = context.now.monotonic_ms;
        let due: Vec<(String, String)> = self
            .cluster
            .machines
            .values()
            .filter(|m| {
                !m.is_trusted() && now >= m.next_probe_at && m.lifecycle != Lifecycle::Terminating
            })
            .filter_map(|m| Some((m.id.clone(), m.addr.clone()?)))
            .collect();
        for (machine, addr) in due {
            if let Some(mut m) = self.cluster.machines.edit(&machine) {
                m.next_probe_at = now + UNREACHABLE_PROBE_INTERVAL_MS;
            }
            let call = LeaderCall::Probe { machine };
            let target = Target::Worker(addr);
            let wait = DIRECT_COMMAND_TIMEOUT_MS;
            context.send_call(call, target, "GET", "/inspect".into(), vec![], wait);
        }
    }

    pub(super) fn probe_done(&mut self, context: &mut LeaderContext, id: &str, result: CallResult) {
        if let Ok((200, body)) = result {
            self.apply_command_reply(context, id, &body);
        }
    }
}
