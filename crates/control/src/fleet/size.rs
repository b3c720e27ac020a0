//! Sizing: which machines to rent for the work at hand, urgent work first.
use super::demand::{Demand, UndatedDemand};
use super::room::{allowed, slots, slots_of_type, Room};
use super::Offer;
use crate::api::Ms;
use crate::leader::{Ctx, Leader, Stage};
use crate::ledger::{Life, Machine};
use crate::resources::Resources;
use std::collections::{BTreeMap, HashMap};
use stonegw_constants as k;
use stonegw_wire::msg::{JobSpec, MachineType};

/// One decision on the fleet's size while it is made.
pub(super) struct Plan {
    now: Ms,
    /// Machines by zone.
    zones: HashMap<String, usize>,
    /// Room at hand, on its way, and rented by this plan.
    pub(super) rooms: Vec<Room>,
    /// How many machines to rent of each offer.
    rentals: BTreeMap<Offer, u32>,
}

/// The room that there is, seen in two ways.
struct RoomAtHand {
    /// What is free now, machines on their way included.
    rooms: Vec<Room>,
    /// The known machines with the room that comes free in the end: all but what urgent work
    /// takes.
    lasting: Vec<Room>,
}

/// The cheapest offer for some tasks.
struct Choice<'a> {
    /// Price of one task's share, with a little more for crowded zones.
    cost: f64,
    machine_type: &'a MachineType,
    offer: Offer,
}

impl Leader {
    /// Decides which machines to rent, and queues the rentals.
    pub(super) fn decide_size(&mut self, ctx: &Ctx) {
        let RoomAtHand { rooms, lasting } = self.room_at_hand(ctx);
        let zones = self.machines_by_zone();
        let boot_s = self.shortest_boot_s();
        let Demand { undated, dated } = self.demand(ctx, &rooms, &lasting, boot_s);
        let mut plan = Plan {
            now: ctx.now.ms,
            zones,
            rooms,
            rentals: BTreeMap::new(),
        };
        self.rent_spare(ctx, &mut plan, &undated);
        for demand in undated {
            self.rent_for(&mut plan, &demand.spec, demand.tasks, false);
        }
        self.rent_for_dated(ctx, &mut plan, dated, boot_s);
        self.queue_rentals(plan.now, plan.rentals);
    }

    /// The room on machines that are up, boot, or are being rented.
    fn room_at_hand(&self, ctx: &Ctx) -> RoomAtHand {
        let mut rooms: Vec<Room> = vec![];
        let mut lasting: Vec<Room> = vec![];
        for m in self.machines.values() {
            let Some(machine_type) = self.kind(&m.kind) else {
                continue;
            };
            let Some(eta_s) = self.eta_s(ctx, m, machine_type) else {
                continue;
            };
            let room = |free| Room {
                eta_s,
                machine_type: m.kind.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                free,
            };
            rooms.extend(self.free(m).map(room));
            let (cpus, gpus, memory_gb) = self.staying(m);
            let staying = Resources {
                cpus,
                gpus,
                memory_gb,
            };
            lasting.push(room(Resources::of_type(machine_type) - staying));
        }
        for renting in &self.fleet.renting {
            let hire = &renting.hire;
            if let Some(machine_type) = self.kind(&hire.machine_type) {
                for _ in 0..hire.count {
                    rooms.push(Room {
                        eta_s: machine_type.boot_s,
                        machine_type: machine_type.name.clone(),
                        zone: hire.zone.clone(),
                        spot: hire.spot,
                        free: Resources::of_type(machine_type),
                    });
                }
            }
        }
        RoomAtHand { rooms, lasting }
    }

    /// Seconds until the machine is up. `None`: its room doesn't count.
    fn eta_s(&self, ctx: &Ctx, m: &Machine, machine_type: &MachineType) -> Option<f64> {
        let now = ctx.now.ms;
        let boot_s = machine_type.boot_s;
        let age = now.saturating_sub(m.born) as f64 / 1e3;
        // Before the first reports, the list's word is good enough.
        let unheard = self.stage != Stage::Active && m.listed_up && m.life == Life::Booting;
        if m.life == Life::Up && !m.quiet(now, ctx.set.report_s) || unheard {
            return Some(0.0);
        }
        let coming = m.life == Life::Booting && age < boot_s * k::BOOT_OVERDUE;
        coming.then(|| (boot_s - age).max(boot_s * 0.2))
    }

    fn machines_by_zone(&self) -> HashMap<String, usize> {
        let mut zones: HashMap<String, usize> = HashMap::new();
        for m in self.machines.values() {
            *zones.entry(m.zone.clone()).or_default() += 1;
        }
        zones
    }

    fn shortest_boot_s(&self) -> f64 {
        let boots = self.catalog.types.iter().map(|t| t.boot_s);
        boots.fold(f64::MAX, f64::min)
    }

    /// Spare room for urgent services comes before lesser work, which may use it meanwhile.
    fn rent_spare(&self, ctx: &Ctx, plan: &mut Plan, undated: &[UndatedDemand]) {
        let Some(spec) = &self.fleet.usual else {
            return;
        };
        let ordinary = self.fleet.renting.iter().filter(|r| !r.hire.spot);
        let renting: f64 = ordinary
            .filter_map(|r| {
                let machine_type = self.kind(&r.hire.machine_type)?;
                Some(slots_of_type(machine_type, spec) * r.hire.count)
            })
            .map(f64::from)
            .sum();
        let have = self.spare_slots(ctx, true) + renting;
        let urgent = undated.iter().filter(|d| d.spec.priority >= spec.priority);
        let waiting: usize = urgent.map(|d| d.tasks).sum();
        let short = waiting as f64 + self.spare_wanted(ctx) - have;
        if short > 0.0 {
            self.rent_for(plan, spec, short.ceil() as usize, true);
        }
    }

    /// Finds room for so many tasks, renting where none is left. `new_only`: only machines that
    /// this call rents count.
    pub(super) fn rent_for(&self, plan: &mut Plan, spec: &JobSpec, tasks: usize, new_only: bool) {
        let first = if new_only { plan.rooms.len() } else { 0 };
        let mut left = tasks as u32;
        for room in &mut plan.rooms[first..] {
            if left > 0 && room.takes(spec) {
                let taken = slots(&room.free, spec).min(left);
                room.take(spec, taken);
                left -= taken;
            }
        }
        while left > 0 {
            let Some(choice) = self.cheapest_offer(plan, spec, left) else {
                return;
            };
            let machine_type = choice.machine_type;
            let mut room = Room {
                eta_s: machine_type.boot_s,
                machine_type: machine_type.name.clone(),
                zone: choice.offer.zone.clone(),
                spot: choice.offer.spot,
                free: Resources::of_type(machine_type),
            };
            *plan.rentals.entry(choice.offer).or_default() += 1;
            let taken = slots_of_type(machine_type, spec).min(left);
            room.take(spec, taken);
            left -= taken;
            plan.rooms.push(room);
        }
    }

    /// The offer that costs least for each of so many tasks, of those that may be asked for.
    fn cheapest_offer(&self, plan: &Plan, spec: &JobSpec, tasks: u32) -> Option<Choice<'_>> {
        let mut best: Option<Choice> = None;
        for machine_type in &self.catalog.types {
            let each = slots_of_type(machine_type, spec).min(tasks);
            if each == 0 {
                continue;
            }
            for zone in &machine_type.zones {
                for spot in [false, true] {
                    let Some(price) = price(machine_type, spot) else {
                        continue;
                    };
                    let offer = Offer {
                        machine_type: machine_type.name.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    if !self.may_rent(plan, &offer, spec) {
                        continue;
                    }
                    // Among equals, the zone with fewer machines: one cut hurts less.
                    let here = plan.zones.get(zone).copied().unwrap_or(0);
                    let cost = price / f64::from(each) * (1.0 + here as f64 * 1e-6);
                    if best.as_ref().is_none_or(|b| cost < b.cost) {
                        best = Some(Choice {
                            cost,
                            machine_type,
                            offer,
                        });
                    }
                }
            }
        }
        best
    }

    /// Whether the job may run there, the cloud has not refused it of late, and the plan does not
    /// rent too many of it yet.
    fn may_rent(&self, plan: &Plan, offer: &Offer, spec: &JobSpec) -> bool {
        // A wrong estimate must stay cheap, for the fleet's size.
        let step = k::HIRE_STEP.max(self.machines.len() as u32 / k::HIRE_STEP_PART);
        let refusal = self.fleet.refused.get(offer);
        let waits = refusal.is_some_and(|r| plan.now < r.until);
        let full = plan.rentals.get(offer).copied().unwrap_or(0) >= step;
        !waits && !full && allowed(spec, &offer.machine_type, &offer.zone, offer.spot)
    }
}

/// What the machine type costs, if it is offered so.
fn price(machine_type: &MachineType, spot: bool) -> Option<f64> {
    if spot {
        machine_type.spot_price
    } else {
        Some(machine_type.price)
    }
}
