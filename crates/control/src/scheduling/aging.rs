//! Aging: placement of jobs that have waited for a long time.
//!
//! This is the one exception to the order that the design (`docs/design.md`) prescribes. Under its
//! rules a job whose tasks are large, late or dropped gets only leftover capacity, and none is left
//! over while small tasks keep arriving. So from time to time some of the tasks of such a starved
//! job are placed before all other jobs except urgent ones. They take whatever capacity is free. If
//! a task fits nowhere, one machine, or the remainder of the team's limit, is reserved for the job
//! until the task fits.
use super::reservations::AgingReservation;
use super::state::SchedulingState;
use crate::api::Millis;
use crate::cluster::{ClusterState, JobState, Machine, Placement};
use crate::context::LeaderContext;
use crate::resources::Resources;
use std::collections::{BTreeMap, HashMap};
use stonegw_constants::{
    DEFERRED_PLACEMENT_MS, DEFERRED_PLACEMENT_QUEUED_MS, STARVATION_MS, STARVATION_REPEAT_MS,
    STARVED_TASKS_DIVISOR,
};
use stonegw_wire::msg::JobSpec;

/// Places jobs that have waited for a long time.
pub struct Aging<'a> {
    cluster: &'a mut ClusterState,
    scheduling: &'a mut SchedulingState,
}

/// The machines that a deferred task may take, depending on how long its job has waited.
enum DeferredScope {
    /// Machines without queued tasks.
    UnqueuedMachines,
    /// All machines, but of those reserved for other jobs only the ones that the owner of the
    /// reservation can't use yet.
    AllMachines { backfill_machines: Vec<String> },
}

impl DeferredScope {
    fn allows_queue(&self) -> bool {
        matches!(self, DeferredScope::AllMachines { .. })
    }

    fn may_backfill(&self, machine: &str) -> bool {
        match self {
            DeferredScope::UnqueuedMachines => false,
            DeferredScope::AllMachines { backfill_machines } => {
                backfill_machines.iter().any(|id| id == machine)
            }
        }
    }
}

/// CPUs, in thousandths, that running tasks have to release before a machine can be used. Costs are
/// compared by the CPUs of urgent tasks first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ClearingCost {
    /// CPUs of urgent tasks, which can't be preempted.
    urgent_cpus: i64,
    /// CPUs of all tasks.
    used_cpus: u64,
}

/// The resources that a running task is expected to release, and when.
struct ExpectedEnd {
    in_s: f64,
    resources: Resources,
}

/// Returns the selected jobs, the earliest submitted first.
fn oldest_first(
    jobs: &BTreeMap<String, JobState>,
    is_selected: impl Fn(&str, &JobState) -> bool,
) -> Vec<String> {
    let selected = jobs.iter().filter(|(id, job)| is_selected(id, job));
    let mut selected: Vec<(&String, &JobState)> = selected.collect();
    selected.sort_by_key(|(id, job)| (job.submitted_at_ms, *id));
    selected.into_iter().map(|(id, _)| id.clone()).collect()
}

/// Returns the time since a task of the job was last placed, or since the job's submission if none
/// was.
fn ms_without_start(context: &LeaderContext, job: &JobState) -> Millis {
    match job.last_placed_at {
        Some(at) => context.now.monotonic_ms.saturating_sub(at),
        None => context.now.wall_ms.saturating_sub(job.submitted_at_ms),
    }
}

impl<'a> Aging<'a> {
    /// Creates an aging pass over this cluster and the scheduler's shared state.
    pub fn new(cluster: &'a mut ClusterState, scheduling: &'a mut SchedulingState) -> Self {
        Aging {
            cluster,
            scheduling,
        }
    }
}

impl Aging<'_> {
    /// Places tasks of starved jobs, the earliest submitted job first.
    pub fn place_starved(&mut self, context: &LeaderContext) {
        self.update_starved_tasks(context);
        let now = context.now.monotonic_ms;
        let starved = oldest_first(&self.cluster.jobs, |_, job| {
            job.starved_tasks > 0 && now >= job.retry_at
        });
        self.drop_outdated_reservations();
        for job in starved {
            while self.place_starved_task(context, &job) {}
            if !self.is_starved(&job) {
                self.scheduling.reservations.aging_reservations.remove(&job);
            }
        }
    }

    /// Determines which jobs are starved, and how many of their tasks are placed first.
    fn update_starved_tasks(&mut self, context: &LeaderContext) {
        let now = context.now.monotonic_ms;
        for (id, job) in &mut self.cluster.jobs {
            // Nothing is reserved for a job whose tasks fail on every machine.
            let is_broken = job.failures.job_is_broken();
            if job.pending_tasks.is_empty()
                || job.end_write_in_flight
                || job.is_urgent()
                || is_broken
            {
                job.starved_tasks = 0;
                continue;
            }
            let age = context.now.wall_ms.saturating_sub(job.submitted_at_ms);
            let is_starved = match job.last_placed_at {
                Some(at) => now >= at + STARVATION_REPEAT_MS,
                None if job.done_count > 0
                    || self.cluster.machines.present_tasks(id).next().is_some() =>
                {
                    // The job began under an earlier leader, so the wait is counted from now on.
                    job.last_placed_at = Some(now);
                    false
                }
                None => age >= STARVATION_MS,
            };
            if is_starved && job.starved_tasks == 0 {
                let task_count = job.spec.task_count as usize;
                job.starved_tasks = task_count.div_ceil(STARVED_TASKS_DIVISOR);
            }
        }
    }

    fn is_starved(&self, job: &str) -> bool {
        let job = self.cluster.jobs.get(job);
        job.is_some_and(|job| job.starved_tasks > 0)
    }

    fn drop_outdated_reservations(&mut self) {
        let jobs = &self.cluster.jobs;
        let is_starved = |job: &String| jobs.get(job).is_some_and(|job| job.starved_tasks > 0);
        let reservations = &mut self.scheduling.reservations.aging_reservations;
        reservations.retain(|job, _| is_starved(job));
    }

    /// Places one task of a starved job. Returns `false` if no task is left, or if there is no
    /// capacity for it yet, in which case capacity is reserved for the job if possible.
    fn place_starved_task(&mut self, context: &LeaderContext, job_id: &str) -> bool {
        let Some(job) = self.cluster.jobs.get(job_id) else {
            return false;
        };
        if job.starved_tasks == 0 || job.start_limit(context.now.monotonic_ms) == 0 {
            return false;
        }
        let first_pending = || job.pending_tasks.first().copied();
        let Some(index) = job.next_unpruned().or_else(first_pending) else {
            return false;
        };
        if !self.cluster.within_limit(context, &job.spec) {
            let reservation = AgingReservation::TeamLimit(job.spec.team.clone());
            self.reserve(job_id, reservation);
            return false;
        }
        let has_capacity = |machine: &Machine| self.cluster.has_capacity(machine, &job.spec);
        let usable = self.usable_machines(context, job, has_capacity);
        let best = usable.min_by_key(|machine| self.cluster.first_fit_key(machine, &job.spec));
        if let Some(machine) = best.map(|machine| machine.id.clone()) {
            return self.cluster.place_task(&machine, job_id, index);
        }
        self.reserve_machine(context, job_id);
        false
    }

    /// Returns the machines that satisfy `fits`, on which the job's tasks may be placed and which
    /// are not reserved for another job.
    fn usable_machines<'b>(
        &'b self,
        context: &'b LeaderContext,
        job: &'b JobState,
        fits: impl Fn(&Machine) -> bool + 'b,
    ) -> impl Iterator<Item = &'b Machine> {
        let reservations = &self.scheduling.reservations;
        let machines = self.cluster.machines.values();
        machines.filter(move |machine| {
            fits(machine)
                && self.cluster.is_eligible(context, machine, job)
                && !reservations.is_reserved_for_other(
                    &self.cluster.jobs,
                    &machine.id,
                    &job.spec.id,
                )
        })
    }

    fn reserve(&mut self, job: &str, reservation: AgingReservation) {
        let reservations = &mut self.scheduling.reservations.aging_reservations;
        reservations.insert(job.into(), reservation);
    }

    /// Reserves a machine for the job, unless a machine that the job may use is already reserved
    /// for it.
    fn reserve_machine(&mut self, context: &LeaderContext, job_id: &str) {
        let Some(job) = self.cluster.jobs.get(job_id) else {
            return;
        };
        let reserved = self.scheduling.reservations.aging_reservations.get(job_id);
        if let Some(AgingReservation::Machine(id)) = reserved {
            let machine = self.cluster.machines.get(id);
            if machine.is_some_and(|machine| self.cluster.is_eligible(context, machine, job)) {
                return;
            }
        }
        let machine = self.machine_to_reserve(context, job);
        let reservations = &mut self.scheduling.reservations.aging_reservations;
        reservations.remove(job_id);
        if let Some(machine) = machine {
            log::info!("job {job_id} is starved; machine {machine} is reserved for it");
            self.reserve(job_id, AgingReservation::Machine(machine));
        }
    }

    /// Returns the machine with the lowest clearing cost of those that are large enough for a task
    /// of the job.
    fn machine_to_reserve(&self, context: &LeaderContext, job: &JobState) -> Option<String> {
        let need = Resources::of_task(&job.spec);
        let is_large_enough = |machine: &Machine| {
            let machine_type = self.cluster.machine_type(&machine.machine_type);
            machine_type.is_some_and(|found| Resources::of_type(found).has_capacity_for(&need))
        };
        self.usable_machines(context, job, is_large_enough)
            .min_by_key(|machine| self.clearing_cost(machine))
            .map(|machine| machine.id.clone())
    }

    fn clearing_cost(&self, machine: &Machine) -> ClearingCost {
        ClearingCost {
            urgent_cpus: (self.cluster.urgent_usage(machine).cpus * 1e3) as i64,
            used_cpus: (machine.used_resources().cpus * 1e3) as u64,
        }
    }

    /// Places tasks of jobs of which no task was placed for `DEFERRED_PLACEMENT_MS`, by first fit,
    /// in the capacity that deadline placement leaves free. These tasks were deferred because of a
    /// low on-time probability or are queued on busy machines. Placing them at a low probability is
    /// better than leaving a machine idle. Capacity that queued tasks wait for is taken only after
    /// `DEFERRED_PLACEMENT_QUEUED_MS`.
    pub fn place_deferred(&mut self, context: &LeaderContext) {
        let now = context.now.monotonic_ms;
        let deferred = oldest_first(&self.cluster.jobs, |id, job| {
            ms_without_start(context, job) >= DEFERRED_PLACEMENT_MS
                && (!job.pending_tasks.is_empty() || self.cluster.machines.queued_count(id) > 0)
                && !job.end_write_in_flight
                && now >= job.retry_at
        });
        if deferred.is_empty() {
            return;
        }
        let machines = self.cluster.machines_with_capacity(context);
        let backfill_windows_s = self.backfill_windows_s(context);
        for job in deferred {
            let scope = self.deferred_scope(context, &job, &machines, &backfill_windows_s);
            while self.place_deferred_task(context, &job, &machines, &scope) {}
        }
    }

    /// Returns the machines that the job's deferred tasks may take. They may take reserved capacity
    /// only if they are expected to end before the owner of the reservation could start there.
    fn deferred_scope(
        &mut self,
        context: &LeaderContext,
        job: &str,
        machines: &[String],
        backfill_windows_s: &HashMap<String, f64>,
    ) -> DeferredScope {
        let job = self.cluster.jobs.get(job);
        let long_deferred =
            job.filter(|job| ms_without_start(context, job) >= DEFERRED_PLACEMENT_QUEUED_MS);
        let Some(job) = long_deferred else {
            return DeferredScope::UnqueuedMachines;
        };
        let run_s = self.scheduling.estimates.mean_run_s(&job.spec);
        let ends_in_time = |machine: &&String| {
            let window_s = backfill_windows_s.get(*machine);
            window_s.is_some_and(|window_s| run_s <= *window_s)
        };
        DeferredScope::AllMachines {
            backfill_machines: machines.iter().filter(ends_in_time).cloned().collect(),
        }
    }

    /// Returns the machines reserved for starved jobs, with the seconds until enough tasks will
    /// have ended there for a task of the owner of the reservation.
    fn backfill_windows_s(&mut self, context: &LeaderContext) -> HashMap<String, f64> {
        let mut windows_s = HashMap::new();
        for (owner, reservation) in &self.scheduling.reservations.aging_reservations.clone() {
            let (AgingReservation::Machine(machine), Some(job)) =
                (reservation, self.cluster.jobs.get(owner))
            else {
                continue;
            };
            let spec = job.spec.clone();
            if let Some(window_s) = self.capacity_available_in_s(context, machine, &spec) {
                windows_s.insert(machine.clone(), window_s);
            }
        }
        windows_s
    }

    /// Returns the seconds until enough tasks will have ended on a machine for a task of this job,
    /// by the mean run times. Tasks of urgent jobs are not expected to end by themselves; returns
    /// `None` if the others do not release enough.
    fn capacity_available_in_s(
        &mut self,
        context: &LeaderContext,
        machine: &str,
        spec: &JobSpec,
    ) -> Option<f64> {
        let machine = self.cluster.machines.get(machine)?;
        let mut free = self.cluster.free_resources(machine)?;
        let present = machine.placements.iter().filter(|task| task.is_present());
        let mut ends: Vec<ExpectedEnd> = present
            .filter_map(|placement| {
                let job = self.cluster.jobs.get(&placement.job);
                let job = job.filter(|job| !job.is_urgent())?;
                let mean_run_s = self.scheduling.estimates.mean_run_s(&job.spec);
                Some(expected_end(context, placement, mean_run_s))
            })
            .collect();
        ends.sort_by(|a, b| a.in_s.total_cmp(&b.in_s));
        for end in ends {
            free += end.resources;
            if free.has_capacity_for(&Resources::of_task(spec)) {
                return Some(end.in_s);
            }
        }
        None
    }

    /// Places one deferred task. Returns `false` if no task is left or no machine accepts it.
    fn place_deferred_task(
        &mut self,
        context: &LeaderContext,
        job_id: &str,
        machines: &[String],
        scope: &DeferredScope,
    ) -> bool {
        let Some(job) = self.cluster.jobs.get(job_id) else {
            return false;
        };
        let queued = self.cluster.machines.any_queued(job_id);
        let Some(index) = job.pending_tasks.first().copied().or(queued) else {
            return false;
        };
        let reservations = &self.scheduling.reservations;
        if job.start_limit(context.now.monotonic_ms) == 0
            || !self.cluster.within_limit(context, &job.spec)
            || reservations.is_team_reserved_for_other(&job.spec)
        {
            return false;
        }
        let Some(machine) = self.machine_for_deferred(context, job, machines, scope) else {
            return false;
        };
        log::debug!("{job_id}/{index} was deferred for a long time; placing it on {machine}");
        self.cluster.dequeue(job_id, index);
        let is_placed = self.cluster.place_task(&machine, job_id, index);
        if !is_placed {
            self.cluster.requeue_task(job_id, index);
        }
        is_placed
    }

    /// Returns the best machine for a deferred task. Machines without queued tasks are preferred,
    /// and among them the best one by first fit.
    fn machine_for_deferred(
        &self,
        context: &LeaderContext,
        job: &JobState,
        machines: &[String],
        scope: &DeferredScope,
    ) -> Option<String> {
        let reservations = &self.scheduling.reservations;
        let accepts = |machine: &&Machine| {
            let is_reserved = || {
                reservations.is_reserved_for_other(&self.cluster.jobs, &machine.id, &job.spec.id)
            };
            (scope.allows_queue() || machine.queued.is_empty())
                && self.cluster.has_capacity(machine, &job.spec)
                && self.cluster.is_eligible(context, machine, job)
                && (!is_reserved() || scope.may_backfill(&machine.id))
                && !reservations.is_being_cleared(context.now.monotonic_ms, &machine.id)
        };
        let machines = machines.iter();
        machines
            .filter_map(|id| self.cluster.machines.get(id))
            .filter(accepts)
            .min_by_key(|machine| {
                let has_queue = !machine.queued.is_empty();
                (has_queue, self.cluster.first_fit_key(machine, &job.spec))
            })
            .map(|machine| machine.id.clone())
    }
}

/// Estimates when a task ends from the mean run time of its job. A task that has exceeded the mean
/// is expected to run on for as long as it has exceeded it.
fn expected_end(context: &LeaderContext, placement: &Placement, mean_run_s: f64) -> ExpectedEnd {
    let ran_ms = placement
        .running_at
        .map_or(0, |at| context.now.monotonic_ms.saturating_sub(at));
    let ran_s = ran_ms as f64 / 1e3;
    ExpectedEnd {
        in_s: (mean_run_s - ran_s).abs(),
        resources: placement.resources(),
    }
}
