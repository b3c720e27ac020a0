//! Headroom for urgent services: how many slots are available, and how many are to be kept. A slot
//! is the capacity for one task of the latest urgent service, the reference task.
use super::capacity::{slots_on_empty_machine, MIN_TASK_SIZE};
use super::view::AutoscalerView;
use crate::cluster::{Lifecycle, Machine};
use crate::resources::Resources;
use stonegw_constants::{HEADROOM_BOOT_LATE_MULTIPLE, RESOURCE_EPSILON, URGENT_ARRIVAL_WINDOW_MS};
use stonegw_wire::msg::{JobSpec, MachineType};

/// The machines whose capacity counts as headroom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeadroomScope {
    /// Ready machines only.
    Ready,
    /// Ready machines and booting ones.
    ReadyAndProvisioning,
}

/// Returns how many slots to keep for urgent services: a configured minimum, the expected growth
/// during the longest boot, and the standard deviation of the arrivals during that boot.
pub(super) fn wanted_slots(view: &AutoscalerView) -> f64 {
    let Some(spec) = view.reference_task else {
        return 0.0;
    };
    let longest_boot_s = view
        .cluster
        .catalog
        .machine_types
        .iter()
        .filter(|machine_type| slots_on_empty_machine(machine_type, spec) > 0)
        .map(|machine_type| machine_type.boot_s)
        .fold(0.0, f64::max);
    let observed_s = view
        .now()
        .saturating_sub(view.term_began_at)
        .min(URGENT_ARRIVAL_WINDOW_MS) as f64
        / 1e3;
    let span_s = observed_s.max(longest_boot_s).max(1.0);
    let arrivals_per_s = view.arrivals.urgent_arrival_count() as f64 / span_s;
    // While more tasks arrive than services end, the tasks that arrive during a boot need capacity
    // that is ready already.
    let growth_per_s = view.arrivals.urgent_growth() as f64 / span_s;
    view.context.settings.tuning.headroom_tasks
        + growth_per_s * longest_boot_s
        + (arrivals_per_s * longest_boot_s).sqrt()
}

/// Returns how many more reference tasks could run if tasks of lower priority were preempted. Spot
/// instances do not count.
pub(super) fn available_slots(view: &AutoscalerView, scope: HeadroomScope) -> f64 {
    let Some(spec) = view.reference_task else {
        return 0.0;
    };
    let mut slots = 0.0;
    for machine in view.cluster.machines.values() {
        if machine.spot || !counts_as_headroom(view, machine, scope) {
            continue;
        }
        let Some(machine_type) = view.cluster.machine_type(&machine.machine_type) else {
            continue;
        };
        slots += urgent_slots_on(view, machine, machine_type, spec);
    }
    slots
}

/// Returns `true` if the machine's capacity counts as headroom. Machines that are silent, whose
/// heartbeats arrive only through the store, or whose boot is overdue do not count.
fn counts_as_headroom(view: &AutoscalerView, machine: &Machine, scope: HeadroomScope) -> bool {
    match machine.lifecycle {
        Lifecycle::Ready => !view.is_silent(machine) && !machine.via_store,
        Lifecycle::Provisioning => {
            let boot_s = view
                .cluster
                .machine_type(&machine.machine_type)
                .map_or(0.0, |machine_type| machine_type.boot_s);
            scope == HeadroomScope::ReadyAndProvisioning
                && view.age_s(machine) < boot_s * HEADROOM_BOOT_LATE_MULTIPLE
        }
        Lifecycle::Draining | Lifecycle::Terminating => false,
    }
}

/// Returns the number of slots that one machine would have if only the tasks that `spec` cannot
/// preempt stayed on it.
fn urgent_slots_on(
    view: &AutoscalerView,
    machine: &Machine,
    machine_type: &MachineType,
    spec: &JobSpec,
) -> f64 {
    let mut free = Resources::of_type(machine_type);
    for placement in &machine.placements {
        let is_preemptible = view
            .cluster
            .jobs
            .get(&placement.job)
            .is_some_and(|job| job.spec.priority < spec.priority);
        if placement.is_present() && !is_preemptible {
            free -= placement.resources();
        }
    }
    let by_cpus = (free.cpus + RESOURCE_EPSILON) / spec.cpus.max(MIN_TASK_SIZE);
    let by_memory = (free.memory_gb + RESOURCE_EPSILON) / spec.memory_gb.max(MIN_TASK_SIZE);
    by_cpus.min(by_memory).floor().max(0.0)
}
