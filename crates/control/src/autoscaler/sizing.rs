//! Sizing: which machines to rent for the work at hand, urgent work first.
use super::capacity::{is_placement_allowed, slots_in, slots_on_empty_machine, MachineCapacity};
use super::demand::{DeadlineFreeDemand, Demand};
use super::AutoscalerTurn;
use super::MachineOffer;
use crate::api::Millis;
use crate::cluster::{Lifecycle, Machine};
use crate::context::LeaderContext;
use crate::resources::Resources;
use std::collections::{BTreeMap, HashMap};
use stonegw_constants::{BOOT_LATE_MULTIPLE, SCALE_OUT_STEP_DIVISOR, SCALE_OUT_STEP_MIN};
use stonegw_wire::msg::{JobSpec, MachineType};

/// One decision on the fleet's size while it is made.
pub(super) struct SizingPlan {
    now: Millis,
    /// Machines by zone.
    machines_by_zone: HashMap<String, usize>,
    /// Room at hand, on its way, and rented by this plan.
    pub(super) capacities: Vec<MachineCapacity>,
    /// How many machines to rent of each offer.
    provisions: BTreeMap<MachineOffer, u32>,
}

/// The room that there is, seen in two ways.
struct AvailableCapacity {
    /// What is free now, machines on their way included.
    free: Vec<MachineCapacity>,
    /// The known machines with the room that comes free in the end: all but what urgent work
    /// takes.
    eventual: Vec<MachineCapacity>,
}

/// The cheapest offer for some tasks.
struct ProvisionChoice<'a> {
    /// Price of one task's share, with a little more for crowded zones.
    cost_per_task: f64,
    machine_type: &'a MachineType,
    offer: MachineOffer,
}

impl AutoscalerTurn<'_> {
    /// Decides which machines to rent, and queues the rentals.
    pub(super) fn decide_size(&mut self, context: &LeaderContext) {
        let AvailableCapacity {
            free: rooms,
            eventual: lasting,
        } = self.available_capacity(context);
        let zones = self.machines_by_zone();
        let boot_s = self.shortest_boot_s();
        let Demand {
            deadline_free: undated,
            deadline_constrained: dated,
        } = self.collect_demand(context, &rooms, &lasting, boot_s);
        let mut plan = SizingPlan {
            now: context.now.monotonic_ms,
            machines_by_zone: zones,
            capacities: rooms,
            provisions: BTreeMap::new(),
        };
        self.provision_headroom(context, &mut plan, &undated);
        for demand in undated {
            self.provision_for(&mut plan, &demand.spec, demand.tasks, false);
        }
        self.provision_for_deadlines(context, &mut plan, dated, boot_s);
        self.queue_provisions(plan.now, plan.provisions);
    }

    /// The room on machines that are up, boot, or are being rented.
    fn available_capacity(&self, context: &LeaderContext) -> AvailableCapacity {
        let mut rooms: Vec<MachineCapacity> = vec![];
        let mut lasting: Vec<MachineCapacity> = vec![];
        for m in self.cluster.machines.values() {
            let Some(machine_type) = self.cluster.machine_type(&m.machine_type) else {
                continue;
            };
            let Some(eta_s) = self.ready_in_s(context, m, machine_type) else {
                continue;
            };
            let room = |free| MachineCapacity {
                ready_in_s: eta_s,
                machine_type: m.machine_type.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                free,
            };
            rooms.extend(self.cluster.free_resources(m).map(room));
            let (cpus, gpus, memory_gb) = self.cluster.urgent_usage(m);
            let staying = Resources {
                cpus,
                gpus,
                memory_gb,
            };
            lasting.push(room(Resources::of_type(machine_type) - staying));
        }
        for renting in &self.autoscaler.pending_provisions {
            let hire = &renting.request;
            if let Some(machine_type) = self.cluster.machine_type(&hire.machine_type) {
                for _ in 0..hire.count {
                    rooms.push(MachineCapacity {
                        ready_in_s: machine_type.boot_s,
                        machine_type: machine_type.name.clone(),
                        zone: hire.zone.clone(),
                        spot: hire.is_spot,
                        free: Resources::of_type(machine_type),
                    });
                }
            }
        }
        AvailableCapacity {
            free: rooms,
            eventual: lasting,
        }
    }

    /// Seconds until the machine is up. `None`: its room doesn't count.
    fn ready_in_s(
        &self,
        context: &LeaderContext,
        m: &Machine,
        machine_type: &MachineType,
    ) -> Option<f64> {
        let now = context.now.monotonic_ms;
        let boot_s = machine_type.boot_s;
        let age = now.saturating_sub(m.provisioned_at) as f64 / 1e3;
        // Before the first reports, the list's word is good enough.
        let unheard =
            !self.is_active && m.listed_as_running && m.lifecycle == Lifecycle::Provisioning;
        if m.lifecycle == Lifecycle::Ready
            && !m.is_silent(now, context.settings.heartbeat_interval_s)
            || unheard
        {
            return Some(0.0);
        }
        let coming = m.lifecycle == Lifecycle::Provisioning && age < boot_s * BOOT_LATE_MULTIPLE;
        coming.then(|| (boot_s - age).max(boot_s * 0.2))
    }

    fn machines_by_zone(&self) -> HashMap<String, usize> {
        let mut zones: HashMap<String, usize> = HashMap::new();
        for m in self.cluster.machines.values() {
            *zones.entry(m.zone.clone()).or_default() += 1;
        }
        zones
    }

    fn shortest_boot_s(&self) -> f64 {
        let boots = self.cluster.catalog.machine_types.iter().map(|t| t.boot_s);
        boots.fold(f64::MAX, f64::min)
    }

    /// Spare room for urgent services comes before lesser work, which may use it meanwhile.
    fn provision_headroom(
        &self,
        context: &LeaderContext,
        plan: &mut SizingPlan,
        undated: &[DeadlineFreeDemand],
    ) {
        let Some(spec) = &self.autoscaler.reference_task else {
            return;
        };
        let ordinary = self
            .autoscaler
            .pending_provisions
            .iter()
            .filter(|r| !r.request.is_spot);
        let renting: f64 = ordinary
            .filter_map(|r| {
                let machine_type = self.cluster.machine_type(&r.request.machine_type)?;
                Some(slots_on_empty_machine(machine_type, spec) * r.request.count)
            })
            .map(f64::from)
            .sum();
        let have = self.headroom_slots(context, true) + renting;
        let urgent = undated.iter().filter(|d| d.spec.priority >= spec.priority);
        let waiting: usize = urgent.map(|d| d.tasks).sum();
        let short = waiting as f64 + self.wanted_headroom_slots(context) - have;
        if short > 0.0 {
            self.provision_for(plan, spec, short.ceil() as usize, true);
        }
    }

    /// Finds room for so many tasks, renting where none is left. `new_only`: only machines that
    /// this call rents count.
    pub(super) fn provision_for(
        &self,
        plan: &mut SizingPlan,
        spec: &JobSpec,
        tasks: usize,
        new_only: bool,
    ) {
        let first = if new_only { plan.capacities.len() } else { 0 };
        let mut left = tasks as u32;
        for room in &mut plan.capacities[first..] {
            if left > 0 && room.can_host(spec) {
                let taken = slots_in(&room.free, spec).min(left);
                room.reserve(spec, taken);
                left -= taken;
            }
        }
        while left > 0 {
            let Some(choice) = self.cheapest_offer(plan, spec, left) else {
                return;
            };
            let machine_type = choice.machine_type;
            let mut room = MachineCapacity {
                ready_in_s: machine_type.boot_s,
                machine_type: machine_type.name.clone(),
                zone: choice.offer.zone.clone(),
                spot: choice.offer.spot,
                free: Resources::of_type(machine_type),
            };
            *plan.provisions.entry(choice.offer).or_default() += 1;
            let taken = slots_on_empty_machine(machine_type, spec).min(left);
            room.reserve(spec, taken);
            left -= taken;
            plan.capacities.push(room);
        }
    }

    /// The offer that costs least for each of so many tasks, of those that may be asked for.
    fn cheapest_offer(
        &self,
        plan: &SizingPlan,
        spec: &JobSpec,
        tasks: u32,
    ) -> Option<ProvisionChoice<'_>> {
        let mut best: Option<ProvisionChoice> = None;
        for machine_type in &self.cluster.catalog.machine_types {
            let each = slots_on_empty_machine(machine_type, spec).min(tasks);
            if each == 0 {
                continue;
            }
            for zone in &machine_type.zones {
                for spot in [false, true] {
                    let Some(price) = offered_price(machine_type, spot) else {
                        continue;
                    };
                    let offer = MachineOffer {
                        machine_type: machine_type.name.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    if !self.may_provision(plan, &offer, spec) {
                        continue;
                    }
                    // Among equals, the zone with fewer machines: one cut hurts less.
                    let here = plan.machines_by_zone.get(zone).copied().unwrap_or(0);
                    let cost = price / f64::from(each) * (1.0 + here as f64 * 1e-6);
                    if best.as_ref().is_none_or(|b| cost < b.cost_per_task) {
                        best = Some(ProvisionChoice {
                            cost_per_task: cost,
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
    fn may_provision(&self, plan: &SizingPlan, offer: &MachineOffer, spec: &JobSpec) -> bool {
        // A wrong estimate must stay cheap, for the fleet's size.
        let step =
            SCALE_OUT_STEP_MIN.max(self.cluster.machines.len() as u32 / SCALE_OUT_STEP_DIVISOR);
        let refusal = self.autoscaler.offer_backoffs.get(offer);
        let waits = refusal.is_some_and(|r| plan.now < r.retry_at);
        let full = plan.provisions.get(offer).copied().unwrap_or(0) >= step;
        !waits && !full && is_placement_allowed(spec, &offer.machine_type, &offer.zone, offer.spot)
    }
}

/// What the machine type costs, if it is offered so.
fn offered_price(machine_type: &MachineType, spot: bool) -> Option<f64> {
    if spot {
        machine_type.hourly_spot_price
    } else {
        Some(machine_type.hourly_price)
    }
}
