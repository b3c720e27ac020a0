//! Capacity of single machines for the sizing, and how many tasks fit into it.
use super::offer::MachineOffer;
use crate::cluster::Machine;
use crate::resources::Resources;
use stonegw_wire::msg::{JobSpec, MachineType};

/// Upper bound on the number of tasks counted on one machine.
const MAX_SLOTS: f64 = 1e6;
/// Lower bound on a task's CPUs or GB of memory where capacity is divided by them.
pub(super) const MIN_TASK_SIZE: f64 = 0.01;

/// The capacity of one machine that is ready, booting, requested or planned.
pub(super) struct MachineCapacity {
    /// Expected seconds until the machine is ready.
    pub(super) ready_in_s: f64,
    /// The offer that the machine belongs to.
    pub(super) offer: MachineOffer,
    /// Resources not reserved yet.
    pub(super) free: Resources,
}

impl MachineCapacity {
    /// Returns the capacity of a machine that has yet to boot and has no tasks.
    pub(super) fn of_new_machine(machine_type: &MachineType, offer: MachineOffer) -> Self {
        MachineCapacity {
            ready_in_s: machine_type.boot_s,
            offer,
            free: Resources::of_type(machine_type),
        }
    }

    /// Reserves capacity for up to `max_tasks` tasks and returns for how many there was enough.
    pub(super) fn reserve_up_to(&mut self, spec: &JobSpec, max_tasks: u32) -> u32 {
        let task_count = slots_in(&self.free, spec).min(max_tasks);
        let tasks = f64::from(task_count);
        self.free -= Resources {
            cpus: tasks * spec.cpus,
            gpus: tasks * spec.gpus,
            memory_gb: tasks * spec.memory_gb,
        };
        task_count
    }

    /// Returns `true` if the job's constraints allow the machine.
    pub(super) fn is_allowed(&self, spec: &JobSpec) -> bool {
        allows_offer(spec, &self.offer)
    }

    /// Returns `true` if the job's constraints allow the machine and one of its tasks fits.
    pub(super) fn can_host(&self, spec: &JobSpec) -> bool {
        self.free.has_capacity_for(&Resources::of_task(spec)) && self.is_allowed(spec)
    }
}

/// Returns `true` if the job's constraints allow machines of the offer.
pub(super) fn allows_offer(spec: &JobSpec, offer: &MachineOffer) -> bool {
    allows(spec, &offer.machine_type, &offer.zone, offer.is_spot)
}

/// Returns `true` if the job's constraints allow the machine.
pub(super) fn allows_machine(spec: &JobSpec, machine: &Machine) -> bool {
    allows(spec, &machine.machine_type, &machine.zone, machine.spot)
}

fn allows(spec: &JobSpec, machine_type: &str, zone: &str, is_spot: bool) -> bool {
    (!is_spot || spec.allows_spot)
        && spec
            .machine_types
            .as_ref()
            .is_none_or(|allowed| allowed.iter().any(|name| name == machine_type))
        && spec.zone.as_ref().is_none_or(|allowed| allowed == zone)
}

/// Returns how many tasks of a job fit on an empty machine.
pub(super) fn slots_on_empty_machine(machine_type: &MachineType, spec: &JobSpec) -> u32 {
    slots_in(&Resources::of_type(machine_type), spec)
}

/// Returns how many tasks of a job fit into the free resources.
pub(super) fn slots_in(free: &Resources, spec: &JobSpec) -> u32 {
    free.fit_ratio(&Resources::of_task(spec))
        .clamp(0.0, MAX_SLOTS) as u32
}
