//! Headroom for future gangs: capacity for the largest recent gang, in the zone with the most
//! capacity for it.
use super::capacity::{allows_machine, slots_in, slots_on_empty_machine};
use super::view::AutoscalerView;
use crate::cluster::Machine;
use std::collections::HashMap;
use stonegw_wire::msg::{JobSpec, MachineType};

/// Capacity in one zone that is kept for future gangs.
pub(super) struct GangHeadroom {
    /// The largest recent gang.
    spec: JobSpec,
    zone: String,
    /// Free slots for tasks of the gang in the zone.
    free_slots: u32,
}

impl GangHeadroom {
    /// Returns the headroom for the largest recent gang, in the zone with the most free capacity
    /// for it, or `None` if there was no recent gang or no machine has capacity. A gang that has to
    /// wait for a machine to boot is late; one that finds a zone with enough capacity is not.
    pub(super) fn new(view: &AutoscalerView) -> Option<GangHeadroom> {
        let spec = view.arrivals.largest_gang(view.now())?;
        let mut slots_by_zone: HashMap<&str, u32> = HashMap::new();
        for id in view.cluster.machines_with_capacity(view.context) {
            let Some(machine) = view.cluster.machines.get(&id) else {
                continue;
            };
            let Some(free) = view.cluster.free_resources(machine) else {
                continue;
            };
            if allows_machine(spec, machine) {
                *slots_by_zone.entry(&machine.zone).or_default() += slots_in(&free, spec);
            }
        }
        let (zone, free_slots) = slots_by_zone.into_iter().max_by_key(|(_, slots)| *slots)?;
        Some(GangHeadroom {
            spec: spec.clone(),
            zone: zone.to_owned(),
            free_slots,
        })
    }

    /// Returns how many slots would be lost if the idle machine were terminated.
    pub(super) fn slots_on(&self, machine: &Machine, machine_type: &MachineType) -> u32 {
        if machine.zone == self.zone && allows_machine(&self.spec, machine) {
            slots_on_empty_machine(machine_type, &self.spec)
        } else {
            0
        }
    }

    /// Returns `true` if the gang would not fit any more without `slots` of the free slots.
    pub(super) fn is_short_without(&self, slots: u32) -> bool {
        self.free_slots < self.spec.task_count + slots
    }

    /// Subtracts the slots of a machine that is to be terminated.
    pub(super) fn remove_slots(&mut self, slots: u32) {
        self.free_slots = self.free_slots.saturating_sub(slots);
    }
}
