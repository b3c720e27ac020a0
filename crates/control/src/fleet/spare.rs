//! Spare room for urgent services: how much there is, and how much is kept.
use super::room::slots_of_type;
use crate::api::Ms;
use crate::leader::{Ctx, Leader};
use crate::ledger::{Life, Machine};
use crate::resources::Resources;
use stonegw_constants as k;
use stonegw_wire::msg::{JobSpec, MachineType};

impl Leader {
    /// Slots to keep for urgent tasks: a few, and the spread of what arrives during a boot.
    pub(super) fn spare_wanted(&self, ctx: &Ctx) -> f64 {
        let Some(spec) = &self.fleet.usual else {
            return 0.0;
        };
        let types = self.catalog.types.iter();
        let suitable = types.filter(|t| slots_of_type(t, spec) > 0);
        let boot = suitable.map(|t| t.boot_s).fold(0.0, f64::max);
        let span = ctx.now.ms.saturating_sub(self.since).min(k::ARRIVALS_MS) as f64 / 1e3;
        let span = span.max(boot).max(1.0);
        let (came, went) = (self.fleet.arrivals.len(), self.fleet.departures.len());
        let rate = came as f64 / span;
        // While more come than go, what comes during a boot needs room that is up already.
        let growth = came.saturating_sub(went) as f64 / span;
        ctx.set.tuning.spare_tasks + growth * boot + (rate * boot).sqrt()
    }

    /// An urgent service ended.
    pub fn urgent_departure(&mut self, now: Ms) {
        self.fleet.departures.push_back(now);
    }

    /// An urgent service arrived.
    pub fn urgent_arrival(&mut self, now: Ms) {
        self.fleet.arrivals.push_back(now);
        let old = |at: &Ms| now > at + k::ARRIVALS_MS;
        for times in [&mut self.fleet.departures, &mut self.fleet.arrivals] {
            while times.front().is_some_and(old) {
                times.pop_front();
            }
        }
    }

    /// How many usual urgent tasks could run beside those that do, pushing lesser work aside.
    /// `coming`: on machines that boot, too.
    pub(super) fn spare_slots(&self, ctx: &Ctx, coming: bool) -> f64 {
        let Some(spec) = &self.fleet.usual else {
            return 0.0;
        };
        let mut sum = 0.0;
        for m in self.machines.values() {
            if m.spot || !self.counts_as_spare(ctx, m, coming) {
                continue;
            }
            let Some(machine_type) = self.kind(&m.kind) else {
                continue;
            };
            sum += self.urgent_slots_on(m, machine_type, spec);
        }
        sum
    }

    /// Room on a silent machine, or on one whose boot is overdue, is no room.
    fn counts_as_spare(&self, ctx: &Ctx, m: &Machine, coming: bool) -> bool {
        let now = ctx.now.ms;
        let boot = self.kind(&m.kind).map_or(0.0, |t| t.boot_s);
        let age = now.saturating_sub(m.born) as f64 / 1e3;
        match m.life {
            Life::Up => !m.quiet(now, ctx.set.report_s) && !m.via_state,
            Life::Booting => coming && age < boot * k::SPARE_OVERDUE,
            _ => false,
        }
    }

    /// Slots on one machine beside the tasks that are not of lesser priority.
    fn urgent_slots_on(&self, m: &Machine, machine_type: &MachineType, spec: &JobSpec) -> f64 {
        let mut free = Resources::of_type(machine_type);
        for p in m.placements.iter().filter(|p| p.present()) {
            let lesser = self
                .works
                .get(&p.job)
                .is_some_and(|w| w.spec.priority < spec.priority);
            if !lesser {
                free -= p.takes();
            }
        }
        let by_cpus = (free.cpus + k::EPSILON) / spec.cpus.max(0.01);
        let by_memory = (free.memory_gb + k::EPSILON) / spec.memory_gb.max(0.01);
        by_cpus.min(by_memory).floor().max(0.0)
    }
}
