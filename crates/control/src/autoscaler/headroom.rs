//! Spare room for urgent services: how much there is, and how much is kept.
use super::capacity::slots_on_empty_machine;
use super::AutoscalerTurn;
use crate::cluster::{Lifecycle, Machine};
use crate::context::LeaderContext;
use crate::resources::Resources;
use stonegw_constants::{HEADROOM_BOOT_LATE_MULTIPLE, RESOURCE_EPSILON, URGENT_ARRIVAL_WINDOW_MS};
use stonegw_wire::msg::{JobSpec, MachineType};

impl AutoscalerTurn<'_> {
    /// Slots to keep for urgent tasks: a few, and the spread of what arrives during a boot.
    pub(super) fn wanted_headroom_slots(&self, context: &LeaderContext) -> f64 {
        let Some(spec) = &self.autoscaler.reference_task else {
            return 0.0;
        };
        let types = self.cluster.catalog.machine_types.iter();
        let suitable = types.filter(|t| slots_on_empty_machine(t, spec) > 0);
        let boot = suitable.map(|t| t.boot_s).fold(0.0, f64::max);
        let span = context
            .now
            .monotonic_ms
            .saturating_sub(self.term_began_at)
            .min(URGENT_ARRIVAL_WINDOW_MS) as f64
            / 1e3;
        let span = span.max(boot).max(1.0);
        let (came, went) = (
            self.autoscaler.urgent_arrivals.len(),
            self.autoscaler.urgent_departures.len(),
        );
        let rate = came as f64 / span;
        // While more come than go, what comes during a boot needs room that is up already.
        let growth = came.saturating_sub(went) as f64 / span;
        context.settings.tuning.headroom_tasks + growth * boot + (rate * boot).sqrt()
    }

    /// How many usual urgent tasks could run beside those that do, pushing lesser work aside.
    /// `coming`: on machines that boot, too.
    pub(super) fn headroom_slots(&self, context: &LeaderContext, coming: bool) -> f64 {
        let Some(spec) = &self.autoscaler.reference_task else {
            return 0.0;
        };
        let mut sum = 0.0;
        for m in self.cluster.machines.values() {
            if m.spot || !self.counts_as_headroom(context, m, coming) {
                continue;
            }
            let Some(machine_type) = self.cluster.machine_type(&m.machine_type) else {
                continue;
            };
            sum += self.urgent_slots_on(m, machine_type, spec);
        }
        sum
    }

    /// Room on a silent machine, or on one whose boot is overdue, is no room.
    fn counts_as_headroom(&self, context: &LeaderContext, m: &Machine, coming: bool) -> bool {
        let now = context.now.monotonic_ms;
        let boot = self
            .cluster
            .machine_type(&m.machine_type)
            .map_or(0.0, |t| t.boot_s);
        let age = now.saturating_sub(m.provisioned_at) as f64 / 1e3;
        match m.lifecycle {
            Lifecycle::Ready => {
                !m.is_silent(now, context.settings.heartbeat_interval_s) && !m.via_store
            }
            Lifecycle::Provisioning => coming && age < boot * HEADROOM_BOOT_LATE_MULTIPLE,
            _ => false,
        }
    }

    /// Slots on one machine beside the tasks that are not of lesser priority.
    fn urgent_slots_on(&self, m: &Machine, machine_type: &MachineType, spec: &JobSpec) -> f64 {
        let mut free = Resources::of_type(machine_type);
        for p in m.placements.iter().filter(|p| p.is_present()) {
            let lesser = self
                .cluster
                .jobs
                .get(&p.job)
                .is_some_and(|w| w.spec.priority < spec.priority);
            if !lesser {
                free -= p.resources();
            }
        }
        let by_cpus = (free.cpus + RESOURCE_EPSILON) / spec.cpus.max(0.01);
        let by_memory = (free.memory_gb + RESOURCE_EPSILON) / spec.memory_gb.max(0.01);
        by_cpus.min(by_memory).floor().max(0.0)
    }
}
