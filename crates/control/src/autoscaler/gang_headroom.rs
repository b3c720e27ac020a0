//! Room that is kept for gangs to come: the largest gang of late, in the zone with most room.
use super::capacity::{is_placement_allowed, slots_in, slots_on_empty_machine};
use super::AutoscalerTurn;
use super::GangArrival;
use crate::cluster::Machine;
use crate::context::LeaderContext;
use std::collections::HashMap;
use stonegw_constants::URGENT_ARRIVAL_WINDOW_MS;
use stonegw_wire::msg::{JobSpec, MachineType};

/// Room that is kept for gangs to come, in one zone.
pub(super) struct GangHeadroom {
    /// The largest gang of late.
    spec: JobSpec,
    zone: String,
    /// Free slots for its tasks in the zone.
    pub(super) free_slots: u32,
}

impl GangHeadroom {
    /// Slots that would go with an idle machine.
    pub(super) fn slots_on(&self, m: &Machine, types: &[MachineType]) -> u32 {
        let machine_type = types.iter().find(|t| t.name == m.machine_type);
        let here = m.zone == self.zone
            && is_placement_allowed(&self.spec, &m.machine_type, &m.zone, m.spot);
        machine_type
            .filter(|_| here)
            .map_or(0, |t| slots_on_empty_machine(t, &self.spec))
    }

    /// Whether the gang would not find room without so many of the slots.
    pub(super) fn is_short_without(&self, without: u32) -> bool {
        self.free_slots < self.spec.task_count + without
    }
}

impl AutoscalerTurn<'_> {
    /// Room for the largest gang of late, in the zone that has most. A gang that has to wait for a
    /// boot is late; one that finds a zone with room for it is not.
    pub(super) fn gang_headroom(&self, context: &LeaderContext) -> Option<GangHeadroom> {
        let recent =
            |a: &&GangArrival| context.now.monotonic_ms <= a.arrived_at + URGENT_ARRIVAL_WINDOW_MS;
        let gangs = self
            .autoscaler
            .gang_arrivals
            .iter()
            .filter(recent)
            .map(|a| &a.spec);
        let cpus = |spec: &&JobSpec| f64::from(spec.task_count) * spec.cpus;
        let spec = gangs.max_by(|a, b| cpus(a).total_cmp(&cpus(b)))?.clone();
        let mut zones: HashMap<&str, u32> = HashMap::new();
        for id in self.cluster.machines_with_capacity(context) {
            let Some(m) = self.cluster.machines.get(&id) else {
                continue;
            };
            let Some(free) = self.cluster.free_resources(m) else {
                continue;
            };
            if is_placement_allowed(&spec, &m.machine_type, &m.zone, m.spot) {
                *zones.entry(&m.zone).or_default() += slots_in(&free, &spec);
            }
        }
        let (zone, spare) = zones.into_iter().max_by_key(|(_, slots)| *slots)?;
        let zone = zone.to_owned();
        Some(GangHeadroom {
            spec,
            zone,
            free_slots: spare,
        })
    }
}
