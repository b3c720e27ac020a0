//! The working state of one sizing decision: the capacity not yet reserved, and the machines to
//! provision.
use super::capacity::{allows_offer, slots_on_empty_machine, MachineCapacity};
use super::offer::{priced_offers, MachineOffer, PricedOffer};
use super::view::AutoscalerView;
use std::collections::{BTreeMap, HashMap};
use stonegw_constants::{SCALE_OUT_STEP_DIVISOR, SCALE_OUT_STEP_MIN};
use stonegw_wire::msg::{JobSpec, MachineType};

/// Relative increase of an offer's cost per machine already in its zone: just enough to break ties.
const CROWDING_COST: f64 = 1e-6;

/// The cheapest offer found for some tasks.
struct ProvisionChoice<'a> {
    /// Hourly price of a machine divided by the tasks it takes, times
    /// [`SizingPlan::crowding_factor`].
    cost_per_task: f64,
    machine_type: &'a MachineType,
    offer: MachineOffer,
}

/// The working state of one sizing decision.
pub(super) struct SizingPlan<'a> {
    view: &'a AutoscalerView<'a>,
    machines_by_zone: HashMap<&'a str, usize>,
    /// Capacity not yet reserved on machines that are ready, booting, requested or added by this
    /// plan.
    capacities: Vec<MachineCapacity>,
    /// Number of machines to provision, by offer.
    counts: BTreeMap<MachineOffer, u32>,
}

impl<'a> SizingPlan<'a> {
    /// Returns a plan that provisions nothing yet and may use the capacity in `free`.
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

    /// Returns the capacity not yet reserved, by machine.
    pub(super) fn capacities(&self) -> &[MachineCapacity] {
        &self.capacities
    }

    /// Returns the number of machines to provision, by offer.
    pub(super) fn into_counts(self) -> BTreeMap<MachineOffer, u32> {
        self.counts
    }

    /// Reserves capacity for `tasks` tasks and plans new machines for the tasks that find none.
    pub(super) fn reserve_or_provision(&mut self, spec: &JobSpec, tasks: usize) {
        let mut left = tasks as u32;
        for machine in &mut self.capacities {
            if left > 0 && machine.can_host(spec) {
                left -= machine.reserve_up_to(spec, left);
            }
        }
        self.provision_new(spec, left as usize);
    }

    /// Plans new machines for `tasks` tasks, whatever capacity is free. Stops early if no offer may
    /// be requested.
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

    /// Returns the offer with the lowest cost per task for up to `tasks` tasks, among the offers
    /// that may be requested.
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

    /// Returns a cost factor that breaks ties in favour of the zone with fewer machines, so that
    /// the loss of a zone affects fewer machines.
    fn crowding_factor(&self, zone: &str) -> f64 {
        let machines = self.machines_by_zone.get(zone).copied().unwrap_or(0);
        1.0 + machines as f64 * CROWDING_COST
    }

    /// Returns `true` if the job may run on machines of the offer, the cloud has not refused the
    /// offer recently, and the plan is still below the limit on new machines of one offer.
    fn may_provision(&self, offer: &MachineOffer, spec: &JobSpec) -> bool {
        // The limit bounds the cost of a wrong estimate in proportion to the cluster.
        let machine_count = self.view.cluster.machines.len() as u32;
        let max_step = SCALE_OUT_STEP_MIN.max(machine_count / SCALE_OUT_STEP_DIVISOR);
        let planned = self.counts.get(offer).copied().unwrap_or(0);
        planned < max_step
            && !self.view.provisions.is_backed_off(self.view.now(), offer)
            && allows_offer(spec, offer)
    }
}
