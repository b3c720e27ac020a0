//! One decision on the cluster's size while it is made: the capacity that is left, and the
//! machines to provision.
use super::capacity::{allows_offer, slots_on_empty_machine, MachineCapacity};
use super::offer::{priced_offers, MachineOffer, PricedOffer};
use super::view::AutoscalerView;
use std::collections::{BTreeMap, HashMap};
use stonegw_constants::{SCALE_OUT_STEP_DIVISOR, SCALE_OUT_STEP_MIN};
use stonegw_wire::msg::{JobSpec, MachineType};

/// Part of the price that one machine more in a zone counts: enough to decide among equals.
const CROWDING_COST: f64 = 1e-6;

/// The cheapest offer for some tasks.
struct ProvisionChoice<'a> {
    /// Price of one task's share, with a little more for crowded zones.
    cost_per_task: f64,
    machine_type: &'a MachineType,
    offer: MachineOffer,
}

/// One decision on the cluster's size while it is made.
pub(super) struct SizingPlan<'a> {
    view: &'a AutoscalerView<'a>,
    machines_by_zone: HashMap<&'a str, usize>,
    /// Capacity that is left: at hand, on its way, and provisioned by this plan.
    capacities: Vec<MachineCapacity>,
    /// How many machines to provision of each offer.
    counts: BTreeMap<MachineOffer, u32>,
}

impl<'a> SizingPlan<'a> {
    /// A plan that provisions nothing yet.
    pub(super) fn new(view: &'a AutoscalerView<'a>, free: Vec<MachineCapacity>) -> Self {
        let mut machines_by_zone: HashMap<&str, usize> = HashMap::new();
        for machine in view.cluster.machines.values() {
            *machines_by_zone.entry(&machine.zone).or_default() += 1;
        }
        SizingPlan {
            view,
            machines_by_zone,
            capacities: free,
            counts: BTreeMap::new(),
        }
    }

    /// The capacity that is left.
    pub(super) fn capacities(&self) -> &[MachineCapacity] {
        &self.capacities
    }

    /// How many machines are to be provisioned of each offer.
    pub(super) fn into_counts(self) -> BTreeMap<MachineOffer, u32> {
        self.counts
    }

    /// Reserves capacity for so many tasks, and provisions machines for those that find none.
    pub(super) fn reserve_or_provision(&mut self, spec: &JobSpec, tasks: usize) {
        let mut left = tasks as u32;
        for machine in &mut self.capacities {
            if left > 0 && machine.can_host(spec) {
                left -= machine.reserve_up_to(spec, left);
            }
        }
        self.provision_new(spec, left as usize);
    }

    /// Provisions machines for so many tasks, whatever capacity is left. Without an offer that may
    /// be asked for, the rest is left out.
    pub(super) fn provision_new(&mut self, spec: &JobSpec, tasks: usize) {
        let mut left = tasks as u32;
        while left > 0 {
            let Some(choice) = self.cheapest_offer(spec, left) else {
                return;
            };
            let mut machine =
                MachineCapacity::of_new_machine(choice.machine_type, choice.offer.clone());
            left -= machine.reserve_up_to(spec, left);
            *self.counts.entry(choice.offer).or_default() += 1;
            self.capacities.push(machine);
        }
    }

    /// The offer that costs least for each of so many tasks, of those that may be asked for.
    fn cheapest_offer(&self, spec: &JobSpec, tasks: u32) -> Option<ProvisionChoice<'a>> {
        let mut cheapest: Option<ProvisionChoice> = None;
        for machine_type in &self.view.cluster.catalog.machine_types {
            let slots = slots_on_empty_machine(machine_type, spec).min(tasks);
            if slots == 0 {
                continue;
            }
            for PricedOffer {
                offer,
                hourly_price,
            } in priced_offers(machine_type)
            {
                if !self.may_provision(&offer, spec) {
                    continue;
                }
                let cost_per_task =
                    hourly_price / f64::from(slots) * self.crowding_factor(&offer.zone);
                if cheapest
                    .as_ref()
                    .is_none_or(|choice| cost_per_task < choice.cost_per_task)
                {
                    cheapest = Some(ProvisionChoice {
                        cost_per_task,
                        machine_type,
                        offer,
                    });
                }
            }
        }
        cheapest
    }

    /// Among equals, the zone with fewer machines is cheaper: the loss of a zone hurts less.
    fn crowding_factor(&self, zone: &str) -> f64 {
        let machines = self.machines_by_zone.get(zone).copied().unwrap_or(0);
        1.0 + machines as f64 * CROWDING_COST
    }

    /// Whether the job may run there, the cloud has not refused the offer recently, and the plan
    /// does not provision too many of it yet.
    fn may_provision(&self, offer: &MachineOffer, spec: &JobSpec) -> bool {
        // A wrong estimate must stay cheap, in proportion to the cluster.
        let machine_count = self.view.cluster.machines.len() as u32;
        let max_step = SCALE_OUT_STEP_MIN.max(machine_count / SCALE_OUT_STEP_DIVISOR);
        let planned = self.counts.get(offer).copied().unwrap_or(0);
        planned < max_step
            && !self.view.provisions.is_backed_off(self.view.now(), offer)
            && allows_offer(spec, offer)
    }
}
