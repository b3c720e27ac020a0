//! Room on machines as the sizing sees it, and how many tasks fit into it.
use crate::resources::Resources;
use stonegw_wire::msg::{JobSpec, MachineType};

/// The room of one machine that is up or coming.
pub(super) struct MachineCapacity {
    /// Seconds until it is up.
    pub(super) ready_in_s: f64,
    pub(super) machine_type: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) free: Resources,
}

impl MachineCapacity {
    /// Room for so many tasks is spoken for.
    pub(super) fn reserve(&mut self, spec: &JobSpec, tasks: u32) {
        let tasks = f64::from(tasks);
        self.free -= Resources {
            cpus: tasks * spec.cpus,
            gpus: tasks * spec.gpus,
            memory_gb: tasks * spec.memory_gb,
        };
    }

    /// Whether a task of the job may go there.
    pub(super) fn is_allowed(&self, spec: &JobSpec) -> bool {
        is_placement_allowed(spec, &self.machine_type, &self.zone, self.spot)
    }

    /// Whether a task of the job may go there and has room.
    pub(super) fn can_host(&self, spec: &JobSpec) -> bool {
        self.free.has_capacity_for(&Resources::of_task(spec)) && self.is_allowed(spec)
    }
}

/// Whether a task may go to such a machine.
pub(super) fn is_placement_allowed(
    spec: &JobSpec,
    machine_type: &str,
    zone: &str,
    spot: bool,
) -> bool {
    (!spot || spec.allows_spot)
        && spec
            .machine_types
            .as_ref()
            .is_none_or(|types| types.iter().any(|t| t == machine_type))
        && spec.zone.as_ref().is_none_or(|z| z == zone)
}

/// How many tasks of a job an empty machine takes.
pub(super) fn slots_on_empty_machine(machine_type: &MachineType, spec: &JobSpec) -> u32 {
    slots_in(&Resources::of_type(machine_type), spec)
}

/// How many tasks of a job fit into that much room.
pub(super) fn slots_in(free: &Resources, spec: &JobSpec) -> u32 {
    free.fit_ratio(&Resources::of_task(spec)).clamp(0.0, 1e6) as u32
}
