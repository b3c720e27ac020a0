//! Room that is kept for gangs to come: the largest gang of late, in the zone with most room.
use super::room::{allowed, slots, slots_of_type};
use super::GangArrival;
use crate::api::Ms;
use crate::leader::{Ctx, Leader};
use crate::ledger::Machine;
use std::collections::HashMap;
use stonegw_constants as k;
use stonegw_wire::msg::{JobSpec, MachineType};

/// Room that is kept for gangs to come, in one zone.
pub(super) struct GangRoom {
    /// The largest gang of late.
    spec: JobSpec,
    zone: String,
    /// Free slots for its tasks in the zone.
    pub(super) spare: u32,
}

impl GangRoom {
    /// Slots that would go with an idle machine.
    pub(super) fn slots(&self, m: &Machine, types: &[MachineType]) -> u32 {
        let machine_type = types.iter().find(|t| t.name == m.kind);
        let here = m.zone == self.zone && allowed(&self.spec, &m.kind, &m.zone, m.spot);
        machine_type
            .filter(|_| here)
            .map_or(0, |t| slots_of_type(t, &self.spec))
    }

    /// Whether the gang would not find room without so many of the slots.
    pub(super) fn is_short(&self, without: u32) -> bool {
        self.spare < self.spec.tasks + without
    }
}

impl Leader {
    /// Room for the largest gang of late, in the zone that has most. A gang that has to wait for a
    /// boot is late; one that finds a zone with room for it is not.
    pub(super) fn gang_room(&self, ctx: &Ctx) -> Option<GangRoom> {
        let recent = |a: &&GangArrival| ctx.now.ms <= a.at + k::ARRIVALS_MS;
        let gangs = self.fleet.gangs.iter().filter(recent).map(|a| &a.spec);
        let cpus = |spec: &&JobSpec| f64::from(spec.tasks) * spec.cpus;
        let spec = gangs.max_by(|a, b| cpus(a).total_cmp(&cpus(b)))?.clone();
        let mut zones: HashMap<&str, u32> = HashMap::new();
        for id in self.roomy(ctx) {
            let Some(m) = self.machines.get(&id) else {
                continue;
            };
            let Some(free) = self.free(m) else {
                continue;
            };
            if allowed(&spec, &m.kind, &m.zone, m.spot) {
                *zones.entry(&m.zone).or_default() += slots(&free, &spec);
            }
        }
        let (zone, spare) = zones.into_iter().max_by_key(|(_, slots)| *slots)?;
        let zone = zone.to_owned();
        Some(GangRoom { spec, zone, spare })
    }

    /// A gang arrived.
    pub fn gang_arrival(&mut self, now: Ms, spec: &JobSpec) {
        let gangs = &mut self.fleet.gangs;
        gangs.retain(|a| now <= a.at + k::ARRIVALS_MS);
        gangs.push(GangArrival {
            at: now,
            spec: spec.clone(),
        });
    }
}
