//! Chooses machines for a gang, and places all of its tasks at once.
use super::state::SchedulingState;
use crate::api::Now;
use crate::cluster::{ClusterState, GangState, JobState, Machine};
use crate::context::LeaderContext;
use crate::resources::Resources;
use std::cmp::{Ordering, Reverse};
use std::collections::BTreeMap;
use stonegw_constants::{DEFERRED_PLACEMENT_MS, DEFERRED_PLACEMENT_QUEUED_MS};
use stonegw_sched::pruner::{OverloadToggle, Pruner};

/// The number of tasks of a gang that one machine gets.
#[derive(Clone, Debug, PartialEq)]
struct MachineAllocation {
    machine: String,
    tasks: u32,
}

/// The cost of a choice of machines, the less the better. Costs are compared field by field, in the
/// order of the fields.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct GangPlacementCost {
    /// Whether one of the chosen machines is reserved for a gang of lower priority.
    uses_reserved: bool,
    /// Time until the last task has its image, in whole seconds.
    image_fetch_s: i64,
    machine_count: usize,
    total_price: f64,
}

/// The machines chosen for a whole gang.
struct GangPlacement {
    allocations: Vec<MachineAllocation>,
    cost: GangPlacementCost,
}

/// A machine with capacity for some tasks of a gang.
struct GangCandidate {
    machine: String,
    zone: String,
    /// Whether the machine is reserved for a gang of lower priority.
    is_reserved: bool,
    /// Number of tasks of the gang that fit.
    slots: u32,
    image_fetch_s: i64,
    price_per_cpu: f64,
}

impl GangCandidate {
    /// Compares two machines by the order in which they are used for a gang of `task_count` tasks.
    fn order(&self, other: &GangCandidate, task_count: u32) -> Ordering {
        let useful_slots = |candidate: &GangCandidate| Reverse(candidate.slots.min(task_count));
        self.is_reserved
            .cmp(&other.is_reserved)
            .then(self.image_fetch_s.cmp(&other.image_fetch_s))
            .then(useful_slots(self).cmp(&useful_slots(other)))
            .then(self.price_per_cpu.total_cmp(&other.price_per_cpu))
    }
}

/// How a waiting gang is placed under the rules of the design (`docs/design.md`).
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum PlacementPolicy {
    /// Placement in leftover capacity, for a gang that has no deadline, is late, was dropped or has
    /// waited for a long time.
    FirstFit,
    /// Placement if the on-time probability is high enough, for a gang whose deadline is `due_s`
    /// seconds from now.
    DeadlineConstrained { due_s: f64 },
}

/// Returns how a waiting gang is to be placed.
pub(super) fn placement_policy(job: &JobState, now: Now) -> PlacementPolicy {
    let is_dropped = job.gang.as_ref().is_some_and(|gang| gang.is_dropped);
    let has_waited_long = job.gang_waited_ms(now) >= DEFERRED_PLACEMENT_MS;
    match job.seconds_to_deadline(now.wall_ms) {
        Some(due_s) if due_s > 0.0 && !is_dropped && !has_waited_long => {
            PlacementPolicy::DeadlineConstrained { due_s }
        }
        _ => PlacementPolicy::FirstFit,
    }
}

/// Chooses machines for whole gangs and places the gangs.
pub struct GangPlacer<'a> {
    cluster: &'a mut ClusterState,
    scheduling: &'a mut SchedulingState,
}

impl<'a> GangPlacer<'a> {
    /// Creates a gang placer for this cluster and the scheduler's shared state.
    pub fn new(cluster: &'a mut ClusterState, scheduling: &'a mut SchedulingState) -> Self {
        GangPlacer {
            cluster,
            scheduling,
        }
    }
}

impl GangPlacer<'_> {
    /// Places or drops the waiting gangs whose deadline is still ahead, each as a whole. A gang is
    /// placed if the on-time probability of its weakest task reaches the deferring threshold. It is
    /// dropped if that probability is below the drop threshold while the overload toggle is on. A
    /// gang is never queued on machines, so its position in a queue counts as the first.
    pub fn place_deadline_gangs(&mut self, context: &LeaderContext) {
        let waiting = self.cluster.waiting_gangs(context);
        if waiting.is_empty() {
            return;
        }
        let machines = self.cluster.machines_with_capacity(context);
        for job in waiting {
            self.place_deadline_gang(context, &job, &machines);
        }
    }

    fn place_deadline_gang(&mut self, context: &LeaderContext, job_id: &str, machines: &[String]) {
        let Some(job) = self.cluster.jobs.get(job_id) else {
            return;
        };
        let policy = placement_policy(job, context.now);
        let PlacementPolicy::DeadlineConstrained { due_s } = policy else {
            return;
        };
        let Some(plan) = self.plan_gang(context, job_id, machines) else {
            return;
        };
        let probability = self.lowest_on_time_probability(job_id, &plan, due_s);
        if probability >= self.scheduling.pruner.deferring_threshold {
            self.place_planned_gang(context, job_id, plan);
        } else if self.scheduling.pruner.overload_toggle == OverloadToggle::On {
            self.drop_gang_below_threshold(job_id, &plan, probability);
        }
    }

    /// Returns the on-time probability of the task that ends last. All tasks run at the pace of the
    /// slowest machine, from the time at which the last one has its image.
    fn lowest_on_time_probability(&mut self, job: &str, plan: &GangPlacement, due_s: f64) -> f64 {
        let Some(spec) = self.cluster.jobs.get(job).map(|job| job.spec.clone()) else {
            return 0.0;
        };
        let image_fetch_s = plan.cost.image_fetch_s as f64;
        let mut lowest = 1.0_f64;
        for machine_type in self.machine_types_of(plan) {
            let estimates = &mut self.scheduling.estimates;
            let run_times = estimates.run_time_histogram(&spec, &machine_type);
            let cumulative = run_times.cumulative();
            lowest = lowest.min(cumulative.on_time_probability_after(image_fetch_s, due_s));
        }
        lowest
    }

    fn drop_gang_below_threshold(&mut self, job_id: &str, plan: &GangPlacement, probability: f64) {
        let Some(job) = self.cluster.jobs.get(job_id) else {
            return;
        };
        let Some(machine_type) = self.machine_types_of(plan).into_iter().next() else {
            return;
        };
        let estimates = &mut self.scheduling.estimates;
        let run_times = estimates.run_time_histogram(&job.spec, &machine_type);
        let skewness = run_times.distribution().skewness();
        if probability >= Pruner::drop_threshold(skewness, 1) {
            return;
        }
        log::info!(
            "gang {job_id} is dropped: its on-time probability {probability:.2} is below the \
             drop threshold"
        );
        let job = self.cluster.jobs.get_mut(job_id);
        if let Some(gang) = job.and_then(|job| job.gang.as_mut()) {
            gang.is_dropped = true;
        }
    }

    fn machine_types_of(&self, plan: &GangPlacement) -> Vec<String> {
        let allocations = plan.allocations.iter();
        let mut types: Vec<String> = allocations
            .filter_map(|allocation| self.cluster.machines.get(&allocation.machine))
            .map(|machine| machine.machine_type.clone())
            .collect();
        types.sort();
        types.dedup();
        types
    }

    /// Places a gang if all of it fits on these machines, and returns whether it was placed.
    pub(super) fn place_gang(
        &mut self,
        context: &LeaderContext,
        job: &str,
        machines: &[String],
    ) -> bool {
        match self.plan_gang(context, job, machines) {
            Some(plan) => self.place_planned_gang(context, job, plan),
            None => false,
        }
    }

    /// Chooses machines for the whole gang out of `machines`. The chosen machines are in one zone
    /// if any zone suffices, and otherwise in several zones if the job allows that.
    fn plan_gang(
        &self,
        context: &LeaderContext,
        job_id: &str,
        machines: &[String],
    ) -> Option<GangPlacement> {
        let job = self.cluster.jobs.get(job_id)?;
        let reservations = &self.scheduling.reservations;
        let is_team_reserved =
            || !job.is_urgent() && reservations.is_team_reserved_for_other(&job.spec);
        if !self.cluster.gang_within_limit(context, job) || is_team_reserved() {
            return None;
        }
        let task_count = job.spec.task_count;
        let machines = machines.iter();
        let mut candidates: Vec<GangCandidate> = machines
            .filter_map(|id| self.cluster.machines.get(id))
            .filter_map(|machine| self.gang_candidate(context, machine, job))
            .collect();
        candidates.sort_by(|a, b| a.order(b, task_count));
        let max_tasks_per_zone = if job.spec.spreads_across_zones {
            task_count.div_ceil(2)
        } else {
            task_count
        };
        let in_one_zone = allocate_in_one_zone(&candidates, task_count, max_tasks_per_zone);
        if in_one_zone.is_some() || job.spec.requires_single_zone {
            return in_one_zone;
        }
        allocate_tasks(candidates.iter(), task_count, max_tasks_per_zone)
    }

    /// Returns the capacity that a machine offers to the gang, or `None` if it offers none.
    /// Capacity that is reserved or being cleared for other jobs, or that queued tasks wait for,
    /// does not count.
    fn gang_candidate(
        &self,
        context: &LeaderContext,
        machine: &Machine,
        job: &JobState,
    ) -> Option<GangCandidate> {
        let spec = &job.spec;
        let now = context.now.monotonic_ms;
        let reservations = &self.scheduling.reservations;
        let machine_type = self.cluster.machine_type(&machine.machine_type)?;
        let free = self.cluster.free_resources(machine)?;
        let slots = free.count_fitting(&Resources::of_task(spec));
        let queue_goes_first = !machine.queued.is_empty()
            && !job.is_urgent()
            && job.gang_waited_ms(context.now) < DEFERRED_PLACEMENT_QUEUED_MS;
        if slots == 0
            || queue_goes_first
            || !self.cluster.is_eligible(context, machine, job)
            || self.is_blocked_by_reservation(machine, job)
            || reservations.is_being_cleared_for_other(now, &machine.id, &spec.id)
        {
            return None;
        }
        Some(GangCandidate {
            is_reserved: reservations.is_gang_reserved_for_other(
                &self.cluster.jobs,
                &machine.id,
                &spec.id,
            ),
            machine: machine.id.clone(),
            zone: machine.zone.clone(),
            slots,
            image_fetch_s: self.cluster.image_fetch_s(machine, spec).round() as i64,
            price_per_cpu: machine_type.price_per_cpu(machine.spot),
        })
    }

    /// Returns whether a reservation keeps the gang off the machine. An urgent gang may take what
    /// is reserved for starved jobs and for gangs of lower priority, because it would otherwise
    /// preempt tasks of lower priority. Machines that are not reserved for a gang are preferred.
    fn is_blocked_by_reservation(&self, machine: &Machine, gang: &JobState) -> bool {
        let reservations = &self.scheduling.reservations;
        let jobs = &self.cluster.jobs;
        let id = &gang.spec.id;
        if !gang.is_urgent() {
            return reservations.is_reserved_for_other(jobs, &machine.id, id);
        }
        let owner_priority = reservations.reserving_gang_priority(jobs, &machine.id, id);
        owner_priority.is_some_and(|priority| priority >= gang.spec.priority)
    }

    /// Places every task of the gang under one new attempt. Places none and returns `false` if a
    /// task of the gang may still be on a machine, or if a machine group's record has no space for
    /// one of the tasks.
    fn place_planned_gang(
        &mut self,
        context: &LeaderContext,
        job_id: &str,
        plan: GangPlacement,
    ) -> bool {
        // This is the last guard against running a task twice, in case an earlier check has failed.
        if self.cluster.machines.present_tasks(job_id).next().is_some() {
            log::error!(
                "a task of gang {job_id} may still be on a machine; the gang is not placed"
            );
            return false;
        }
        let attempt = self.cluster.allocate_attempt();
        let allocations = plan.allocations.iter();
        let machine_by_task: Vec<&String> = allocations
            .flat_map(|allocation| (0..allocation.tasks).map(|_| &allocation.machine))
            .collect();
        for (index, machine) in (0..).zip(&machine_by_task) {
            if !self.cluster.place_attempt(machine, job_id, index, attempt) {
                self.revert_attempt(&machine_by_task, job_id, attempt);
                return false;
            }
        }
        let reservations = &mut self.scheduling.reservations;
        reservations.gang_reservations.remove(job_id);
        reservations
            .preemption_plans
            .retain(|plan| plan.job != job_id);
        let mut waited_ms = 0;
        if let Some(job) = self.cluster.jobs.get_mut(job_id) {
            waited_ms = job.gang_waited_ms(context.now);
            if let Some(gang) = &mut job.gang {
                gang.attempts_begun += 1;
                gang.set_state(job_id, GangState::Storing { attempt });
            }
        }
        log::info!(
            "gang {job_id}#{attempt} is placed on {} machines after {waited_ms} ms",
            plan.allocations.len(),
        );
        true
    }

    /// Removes the placements that were just made under an attempt.
    fn revert_attempt(&mut self, machines: &[&String], job: &str, attempt: u64) {
        for id in machines {
            if let Some(mut machine) = self.cluster.machines.edit(id) {
                machine
                    .placements
                    .retain(|placement| placement.job != job || placement.attempt != attempt);
            }
            self.cluster.mark_group_stale(id);
        }
    }
}

/// Returns the cheapest way to place all tasks in one zone. If several zones cost the same, the
/// first of them by name is chosen.
fn allocate_in_one_zone(
    candidates: &[GangCandidate],
    task_count: u32,
    max_tasks_per_zone: u32,
) -> Option<GangPlacement> {
    let mut zones: Vec<&str> = candidates
        .iter()
        .map(|candidate| candidate.zone.as_str())
        .collect();
    zones.sort_unstable();
    zones.dedup();
    let mut best: Option<GangPlacement> = None;
    for zone in zones {
        let in_zone = candidates.iter().filter(|candidate| candidate.zone == zone);
        let Some(plan) = allocate_tasks(in_zone, task_count, max_tasks_per_zone) else {
            continue;
        };
        if best.as_ref().is_none_or(|best| plan.cost < best.cost) {
            best = Some(plan);
        }
    }
    best
}

/// Allocates the tasks to the candidates in order. Returns `None` if the candidates do not suffice
/// for all tasks.
fn allocate_tasks<'a>(
    candidates: impl Iterator<Item = &'a GangCandidate>,
    task_count: u32,
    max_tasks_per_zone: u32,
) -> Option<GangPlacement> {
    let mut allocations = vec![];
    let mut cost = GangPlacementCost {
        uses_reserved: false,
        image_fetch_s: 0,
        machine_count: 0,
        total_price: 0.0,
    };
    let mut remaining = task_count;
    let mut tasks_by_zone: BTreeMap<&str, u32> = BTreeMap::new();
    for candidate in candidates {
        let in_zone = tasks_by_zone.entry(&candidate.zone).or_default();
        let tasks = candidate
            .slots
            .min(remaining)
            .min(max_tasks_per_zone - *in_zone);
        if tasks == 0 {
            continue;
        }
        *in_zone += tasks;
        remaining -= tasks;
        cost.uses_reserved |= candidate.is_reserved;
        cost.image_fetch_s = cost.image_fetch_s.max(candidate.image_fetch_s);
        cost.machine_count += 1;
        cost.total_price += candidate.price_per_cpu * f64::from(tasks);
        allocations.push(MachineAllocation {
            machine: candidate.machine.clone(),
            tasks,
        });
        if remaining == 0 {
            return Some(GangPlacement { allocations, cost });
        }
    }
    None
}
