//! Choosing machines for a gang, and placing it whole.
use super::state::SchedulingState;
use crate::api::Now;
use crate::cluster::ClusterState;
use crate::cluster::GangState;
use crate::cluster::{JobState, Machine};
use crate::context::LeaderContext;
use crate::resources::Resources;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use stonegw_constants::{DEFERRED_PLACEMENT_MS, DEFERRED_PLACEMENT_QUEUED_MS};
use stonegw_sched::pruner::{OverloadToggle, Pruner};

/// So many tasks of a gang on one machine.
#[derive(Clone, Debug, PartialEq)]
struct MachineAllocation {
    machine: String,
    tasks: u32,
}

/// Machines for a whole gang, and how good a choice they are; less is better.
struct GangPlacement {
    allocations: Vec<MachineAllocation>,
    /// Some of it is reserved for gangs of lower priority.
    uses_reserved: bool,
    /// s until the last task has its image, in whole seconds.
    image_fetch_s: i64,
    total_price: f64,
}

impl GangPlacement {
    fn is_better_than(&self, other: &GangPlacement) -> bool {
        let key = |p: &GangPlacement| (p.uses_reserved, p.image_fetch_s, p.allocations.len());
        (key(self), self.total_price) < (key(other), other.total_price)
    }
}

/// A machine with room for some tasks of a gang.
struct GangCandidate {
    machine: String,
    zone: String,
    /// For a gang of lower priority.
    is_reserved: bool,
    slots: u32,
    image_fetch_s: i64,
    price_per_cpu: f64,
}

/// The design's class of a waiting gang.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum PlacementPolicy {
    /// No deadline, late, dropped, or without a start for long: leftover room will do.
    FirstFit,
    /// Its chance decides, in the mapping.
    DeadlineConstrained { due_s: f64 },
}

/// Which rule of the design places a waiting gang.
pub(super) fn placement_policy(job: &JobState, now: Now) -> PlacementPolicy {
    let is_dropped = job.gang.as_ref().is_some_and(|gang| gang.is_dropped);
    let waited_long = job.gang_waited_ms(now) >= DEFERRED_PLACEMENT_MS;
    match job.seconds_to_deadline(now.wall_ms) {
        Some(due_s) if due_s > 0.0 && !is_dropped && !waited_long => {
            PlacementPolicy::DeadlineConstrained { due_s }
        }
        _ => PlacementPolicy::FirstFit,
    }
}

/// Chooses machines for whole gangs and places them.
pub struct GangPlacer<'a> {
    cluster: &'a mut ClusterState,
    scheduling: &'a mut SchedulingState,
}

impl<'a> GangPlacer<'a> {
    pub fn new(cluster: &'a mut ClusterState, scheduling: &'a mut SchedulingState) -> Self {
        GangPlacer {
            cluster,
            scheduling,
        }
    }
}

impl GangPlacer<'_> {
    /// Gangs with a deadline ahead, in the mapping: placed whole where their weakest task's chance
    /// reaches the deferring threshold, dropped whole below the drop threshold while the toggle is
    /// on. A gang is never queued on machines, so its place in a queue is the first.
    pub fn place_deadline_gangs(&mut self, context: &LeaderContext) {
        let waiting = self.cluster.waiting_gangs(context);
        if waiting.is_empty() {
            return;
        }
        let roomy = self.cluster.machines_with_capacity(context);
        for job in waiting {
            let Some(work) = self.cluster.jobs.get(&job) else {
                continue;
            };
            let PlacementPolicy::DeadlineConstrained { due_s } =
                placement_policy(work, context.now)
            else {
                continue;
            };
            let Some(plan) = self.plan_gang(context, &job, &roomy) else {
                continue;
            };
            let chance = self.lowest_on_time_probability(&job, &plan, due_s);
            if chance >= self.scheduling.pruner.deferring_threshold {
                self.place_planned_gang(context, &job, plan);
            } else if self.scheduling.pruner.overload_toggle == OverloadToggle::On {
                self.drop_gang_below_threshold(&job, &plan, chance);
            }
        }
    }

    /// The chance of the task that ends last: all run at the pace of the slowest machine, from when
    /// the last has its image.
    fn lowest_on_time_probability(&mut self, job: &str, plan: &GangPlacement, due_s: f64) -> f64 {
        let Some(spec) = self.cluster.jobs.get(job).map(|w| w.spec.clone()) else {
            return 0.0;
        };
        let mut weakest = 1.0_f64;
        for machine_type in self.machine_types_of(plan) {
            let runs = self
                .scheduling
                .estimates
                .run_time_histogram(&spec, &machine_type);
            weakest = weakest.min(
                runs.cumulative()
                    .on_time_probability_after(plan.image_fetch_s as f64, due_s),
            );
        }
        weakest
    }

    fn drop_gang_below_threshold(&mut self, job: &str, plan: &GangPlacement, chance: f64) {
        let Some(work) = self.cluster.jobs.get_mut(job) else {
            return;
        };
        let spec = work.spec.clone();
        let Some(machine_type) = self.machine_types_of(plan).into_iter().next() else {
            return;
        };
        let skewness = self
            .scheduling
            .estimates
            .run_time_histogram(&spec, &machine_type)
            .distribution()
            .skewness();
        if chance >= Pruner::drop_threshold(skewness, 1) {
            return;
        }
        log::info!("gang {job} is dropped: chance {chance:.2}");
        if let Some(gang) = self.cluster.jobs.get_mut(job).and_then(|w| w.gang.as_mut()) {
            gang.is_dropped = true;
        }
    }

    fn machine_types_of(&self, plan: &GangPlacement) -> Vec<String> {
        let machines = plan.allocations.iter();
        let machines = machines.filter_map(|s| self.cluster.machines.get(&s.machine));
        let mut types: Vec<String> = machines.map(|m| m.machine_type.clone()).collect();
        types.sort();
        types.dedup();
        types
    }

    /// Places a gang where it fits whole. False: it does not.
    pub(super) fn place_gang(
        &mut self,
        context: &LeaderContext,
        job: &str,
        roomy: &[String],
    ) -> bool {
        match self.plan_gang(context, job, roomy) {
            Some(plan) => self.place_planned_gang(context, job, plan),
            None => false,
        }
    }

    /// Machines for the whole gang out of these: in one zone if any will do, else spread over
    /// several where its job allows that.
    fn plan_gang(
        &self,
        context: &LeaderContext,
        job: &str,
        roomy: &[String],
    ) -> Option<GangPlacement> {
        let work = self.cluster.jobs.get(job)?;
        if !self.cluster.gang_within_limit(context, work)
            || !work.is_urgent()
                && self
                    .scheduling
                    .reservations
                    .is_team_reserved_for_other(&work.spec)
        {
            return None;
        }
        let machines = roomy.iter().filter_map(|id| self.cluster.machines.get(id));
        let mut candidates: Vec<GangCandidate> = machines
            .filter_map(|m| self.gang_candidate(context, m, work))
            .collect();
        candidates.sort_by(|a, b| {
            let slots = |c: &GangCandidate| Reverse(c.slots.min(work.spec.task_count));
            let key = |c: &GangCandidate| (c.is_reserved, c.image_fetch_s, slots(c));
            key(a)
                .cmp(&key(b))
                .then(a.price_per_cpu.total_cmp(&b.price_per_cpu))
        });
        let tasks = work.spec.task_count;
        let zone_limit = if work.spec.spreads_across_zones {
            tasks.div_ceil(2)
        } else {
            tasks
        };
        let mut zones: Vec<&str> = candidates.iter().map(|c| c.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        let mut best: Option<GangPlacement> = None;
        for zone in zones {
            let in_zone = candidates.iter().filter(|c| c.zone == zone);
            if let Some(plan) = allocate_tasks(in_zone, tasks, zone_limit) {
                if best.as_ref().is_none_or(|b| plan.is_better_than(b)) {
                    best = Some(plan);
                }
            }
        }
        if best.is_none() && !work.spec.requires_single_zone {
            best = allocate_tasks(candidates.iter(), tasks, zone_limit);
        }
        best
    }

    /// What a machine with room offers to the gang. Room that is kept or made for others, or that
    /// queued tasks wait for, is none.
    fn gang_candidate(
        &self,
        context: &LeaderContext,
        m: &Machine,
        work: &JobState,
    ) -> Option<GangCandidate> {
        let spec = &work.spec;
        let machine_type = self.cluster.machine_type(&m.machine_type)?;
        let slots = self
            .cluster
            .free_resources(m)?
            .count_fitting(&Resources::of_task(spec));
        let queue_first = !m.queued.is_empty()
            && !work.is_urgent()
            && work.gang_waited_ms(context.now) < DEFERRED_PLACEMENT_QUEUED_MS;
        if slots == 0 || queue_first || !self.cluster.is_eligible(context, m, work) {
            return None;
        }
        // Urgent gangs take what is kept for lesser work, if need be: the alternative is to stop some.
        let reserved = self.scheduling.reservations.reserving_gang_priority(
            &self.cluster.jobs,
            &m.id,
            &spec.id,
        );
        let kept = match work.is_urgent() {
            true => reserved.is_some_and(|priority| priority >= spec.priority),
            false => self.scheduling.reservations.is_reserved_for_other(
                &self.cluster.jobs,
                &m.id,
                &spec.id,
            ),
        };
        if kept
            || self.scheduling.reservations.is_being_cleared_for_other(
                context.now.monotonic_ms,
                &m.id,
                &spec.id,
            )
        {
            return None;
        }
        Some(GangCandidate {
            is_reserved: reserved.is_some(),
            machine: m.id.clone(),
            zone: m.zone.clone(),
            slots,
            image_fetch_s: self.cluster.image_fetch_s(m, spec).round() as i64,
            price_per_cpu: machine_type.price_per_cpu(m.spot),
        })
    }

    /// Places every task under one new attempt, or none: a record may have no room for it.
    fn place_planned_gang(
        &mut self,
        context: &LeaderContext,
        job: &str,
        plan: GangPlacement,
    ) -> bool {
        // The last guard against running twice, whatever went wrong before.
        if self.cluster.machines.present_tasks(job).next().is_some() {
            log::error!("a task of gang {job} may still be on a machine; not placed");
            return false;
        }
        let attempt = self.cluster.allocate_attempt();
        let shares = plan.allocations.iter();
        let machines = shares.flat_map(|s| (0..s.tasks).map(|_| s.machine.clone()));
        let machines: Vec<String> = machines.collect();
        for (index, machine) in machines.iter().enumerate() {
            if !self
                .cluster
                .place_attempt(machine, job, index as u32, attempt)
            {
                self.revert_attempt(&machines, job, attempt);
                return false;
            }
        }
        self.scheduling.reservations.gang_reservations.remove(job);
        self.scheduling
            .reservations
            .preemption_plans
            .retain(|made| made.job != job);
        if let Some(gang) = self.cluster.jobs.get_mut(job).and_then(|w| w.gang.as_mut()) {
            gang.attempts_begun += 1;
            gang.set_state(job, GangState::Storing { attempt });
        }
        log::info!(
            "gang {job}#{attempt} is placed on {} machines after {} ms",
            plan.allocations.len(),
            self.cluster
                .jobs
                .get(job)
                .map_or(0, |w| w.gang_waited_ms(context.now))
        );
        true
    }

    /// Takes placements back that were made a moment ago.
    fn revert_attempt(&mut self, machines: &[String], job: &str, attempt: u64) {
        for id in machines {
            if let Some(mut m) = self.cluster.machines.edit(id) {
                m.placements
                    .retain(|p| p.job != job || p.attempt != attempt);
            }
            self.cluster.mark_group_stale(id);
        }
    }
}

/// Takes machines in turn until all tasks have one. `None`: there are too few.
fn allocate_tasks<'a>(
    candidates: impl Iterator<Item = &'a GangCandidate>,
    tasks: u32,
    zone_limit: u32,
) -> Option<GangPlacement> {
    let mut plan = GangPlacement {
        allocations: vec![],
        uses_reserved: false,
        image_fetch_s: 0,
        total_price: 0.0,
    };
    let mut left = tasks;
    let mut by_zone: BTreeMap<&str, u32> = BTreeMap::new();
    for candidate in candidates {
        let here = by_zone.entry(&candidate.zone).or_default();
        let count = candidate.slots.min(left).min(zone_limit - *here);
        if count == 0 {
            continue;
        }
        *here += count;
        left -= count;
        plan.uses_reserved |= candidate.is_reserved;
        plan.image_fetch_s = plan.image_fetch_s.max(candidate.image_fetch_s);
        plan.total_price += candidate.price_per_cpu * f64::from(count);
        plan.allocations.push(MachineAllocation {
            machine: candidate.machine.clone(),
            tasks: count,
        });
        if left == 0 {
            return Some(plan);
        }
    }
    None
}
