//! Headroom for gangs to come: the largest recent gang, in the zone with most capacity for it.
use super::capacity::{allows_machine, slots_in, slots_on_empty_machine};
use super::view::AutoscalerView;
use crate::cluster::Machine;
use std::collections::HashMap;
use stonegw_wire::msg::{JobSpec, MachineType};

/// Capacity that is kept for gangs to come, in one zone.
pub(super) struct GangHeadroom {
    /// The largest recent gang.
    spec: JobSpec,
    zone: String,
    /// Free slots for its tasks in the zone.
    free_slots: u32,
}

impl GangHeadroom {
    /// Headroom for the largest recent gang, in the zone that has most capacity for it. A gang
    /// that has to wait for a boot is late; one that finds a zone with enough capacity is not.
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

    /// Slots that would be lost with an idle machine.
    pub(super) fn slots_on(&self, machine: &Machine, machine_type: &MachineType) -> u32 {
        if machine.zone == self.zone && allows_machine(&self.spec, machine) {
            slots_on_empty_machine(machine_type, &self.spec)
        } else {
            0
        }
    }

    /// Whether the gang would lack capacity without so many of the slots.
    pub(super) fn is_short_without(&self, slots: u32) -> bool {
        self.free_slots < self.spec.task_count + slots
    }

    /// So many slots go with a machine that is given up.
    pub(super) fn release(&mut self, slots: u32) {
        self.free_slots = self.free_slots.saturating_sub(slots);
    }
}
