//! First-fit placement. Urgent jobs are placed at once. Jobs that have no deadline, are late or
//! have dropped tasks are placed in leftover capacity.
use super::preemption::Preemption;
use super::preemption_search::{PreemptionClaims, PreemptionScope};
use super::state::{PlacementRank, SchedulingState};
use crate::cluster::{is_immediate, ClusterState, JobState, Machine, TaskKey};
use crate::context::LeaderContext;
use crate::resources::Resources;
use std::cmp::Reverse;
use stonegw_constants::URGENT_RESERVATION_WAIT_MS;
use stonegw_wire::msg::JobSpec;

/// Selects the jobs that a round of first fit places.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FirstFitSelection {
    /// Urgent jobs that are services or have no deadline. They must not wait for the next full
    /// pass, and may preempt other tasks.
    Urgent,
    /// All jobs that are services, have no deadline, are late or have dropped tasks. They are
    /// placed in leftover capacity.
    Backfill,
}

impl FirstFitSelection {
    fn includes(self, job: &JobState, wall_ms: u64) -> bool {
        match self {
            FirstFitSelection::Urgent => is_immediate(job) && job.is_urgent(),
            FirstFitSelection::Backfill => {
                is_immediate(job) || job.is_past_deadline(wall_ms) || !job.pruned_tasks.is_empty()
            }
        }
    }
}

/// The order in which jobs are placed, smallest value first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct FirstFitOrder {
    rank: Reverse<PlacementRank>,
    backlog: u32,
    submitted_at_ms: u64,
}

/// The resource request and constraints of a task, as far as they determine whether there is
/// capacity for it: either all jobs with equal constraints find capacity or none does.
#[derive(Clone, PartialEq)]
struct PlacementConstraints {
    resource_request: Resources,
    machine_types: Option<Vec<String>>,
    zone: Option<String>,
    allows_spot: bool,
}

impl PlacementConstraints {
    /// Returns the constraints of the job's tasks. Returns `None` if the machines they may use also
    /// depend on where the job's other tasks are or on where its tasks failed.
    fn of_job(job: &JobState) -> Option<PlacementConstraints> {
        let spec = &job.spec;
        if spec.requires_single_zone || spec.spreads_across_zones || job.failures.avoids_any() {
            return None;
        }
        Some(PlacementConstraints {
            resource_request: Resources::of_task(spec),
            machine_types: spec.machine_types.clone(),
            zone: spec.zone.clone(),
            allows_spot: spec.allows_spot,
        })
    }
}

/// Returns the number of unfinished tasks by which jobs of equal rank are ordered, smallest first.
/// Urgent jobs and those with a deadline count as 0. An array of thousands of tasks without a
/// deadline would otherwise delay every smaller job until all of its tasks are done.
fn backlog_size(job: &JobState) -> u32 {
    if job.spec.deadline_s.is_some() || job.is_urgent() {
        0
    } else {
        job.spec.task_count - job.done_count
    }
}

/// Machines that take tasks with these constraints and this image, ordered so that the best one by
/// first fit is last.
struct CandidatePool {
    constraints: PlacementConstraints,
    image: String,
    machines: Vec<String>,
}

/// The candidate pools of a round. Jobs with equal constraints and images share a pool, which is
/// built once per round: to examine every machine for every job would take time quadratic in the
/// size of the cluster.
#[derive(Default)]
struct CandidatePools(Vec<CandidatePool>);

impl CandidatePools {
    /// Returns the pool for the job's tasks. A new pool gets the machines that `find_machines`
    /// returns. Returns `None` if the machines depend on more than constraints and image.
    fn get_or_build(
        &mut self,
        job: &JobState,
        find_machines: impl FnOnce() -> Vec<String>,
    ) -> Option<&mut CandidatePool> {
        let constraints = PlacementConstraints::of_job(job)?;
        let image = &job.spec.image;
        let position = self
            .0
            .iter()
            .position(|pool| pool.constraints == constraints && pool.image == *image);
        let position = match position {
            Some(position) => position,
            None => {
                self.0.push(CandidatePool {
                    image: image.clone(),
                    machines: find_machines(),
                    constraints,
                });
                self.0.len() - 1
            }
        };
        self.0.get_mut(position)
    }
}

/// State of one round of first fit.
struct FirstFitRound {
    selection: FirstFitSelection,
    /// Machines that had free capacity when the round began.
    machines: Vec<String>,
    pools: CandidatePools,
    /// Capacity that preemption is already freeing for some of the jobs.
    claims: PreemptionClaims,
    /// Constraints for which no capacity was found.
    constraints_without_capacity: Vec<PlacementConstraints>,
    /// Constraints for which no suitable tasks can be preempted.
    constraints_without_victims: Vec<PlacementConstraints>,
}

/// Decides which machines a job's task may take in a round.
struct MachineFilter<'a> {
    job: &'a JobState,
    selection: FirstFitSelection,
    /// Whether the task may take capacity that is reserved for others. Urgent jobs may.
    ignores_reservations: bool,
    /// Whether capacity that is reserved for gangs is excluded, even if `ignores_reservations` is
    /// set. It is excluded for urgent jobs in their first `URGENT_RESERVATION_WAIT_MS`: capacity
    /// for a gang takes long to accumulate, so tasks of lower priority elsewhere are preempted
    /// first.
    excludes_gang_reservations: bool,
}

impl<'a> MachineFilter<'a> {
    fn new(context: &LeaderContext, job: &'a JobState, selection: FirstFitSelection) -> Self {
        let age_ms = context.now.wall_ms.saturating_sub(job.submitted_at_ms);
        let ignores_reservations = selection == FirstFitSelection::Urgent || job.is_urgent();
        MachineFilter {
            job,
            selection,
            ignores_reservations,
            excludes_gang_reservations: ignores_reservations && age_ms < URGENT_RESERVATION_WAIT_MS,
        }
    }
}

/// Places tasks by first fit.
pub struct FirstFit<'a> {
    cluster: &'a mut ClusterState,
    scheduling: &'a mut SchedulingState,
}

impl<'a> FirstFit<'a> {
    /// Creates a first-fit placer for this cluster and the scheduler's shared state.
    pub fn new(cluster: &'a mut ClusterState, scheduling: &'a mut SchedulingState) -> Self {
        FirstFit {
            cluster,
            scheduling,
        }
    }
}

impl FirstFit<'_> {
    /// Places the tasks queued on a machine, in order, as long as the next one may be placed there.
    pub fn dispatch_queued(&mut self, context: &LeaderContext, id: &str) {
        loop {
            let Some(machine) = self.cluster.machines.get(id) else {
                return;
            };
            let Some(TaskKey { job: job_id, index }) = machine.queued.first().cloned() else {
                return;
            };
            let job = self.cluster.jobs.get(&job_id);
            if job.is_some_and(|job| !self.may_dispatch(context, machine, job)) {
                return;
            }
            let is_known = job.is_some();
            if let Some(mut machine) = self.cluster.machines.edit(id) {
                machine.queued.remove(0);
            }
            if is_known && !self.cluster.place_task(id, &job_id, index) {
                self.cluster.requeue_task(&job_id, index);
                return;
            }
        }
    }

    /// Returns whether a queued task of the job may be placed on the machine now.
    fn may_dispatch(&self, context: &LeaderContext, machine: &Machine, job: &JobState) -> bool {
        let spec = &job.spec;
        let reservations = &self.scheduling.reservations;
        self.cluster.has_capacity(machine, spec)
            && self.cluster.is_eligible(context, machine, job)
            && self.cluster.within_limit(context, spec)
            && !reservations.is_reserved_for_other(&self.cluster.jobs, &machine.id, &spec.id)
            && !reservations.is_team_reserved_for_other(spec)
            && !reservations.is_being_cleared(context.now.monotonic_ms, &machine.id)
    }

    /// Places the selected jobs by first fit, in order. Urgent ones also preempt.
    pub(super) fn place_first_fit(
        &mut self,
        context: &LeaderContext,
        selection: FirstFitSelection,
    ) {
        let jobs = self.jobs_in_order(context, selection);
        if jobs.is_empty() {
            return;
        }
        let now = context.now.monotonic_ms;
        let machines = self.cluster.machines_with_capacity(context);
        let mut preemption = Preemption::new(self.cluster, self.scheduling);
        let mut round = FirstFitRound {
            selection,
            machines,
            pools: CandidatePools::default(),
            claims: preemption.refresh_preemption_claims(now),
            constraints_without_capacity: vec![],
            constraints_without_victims: vec![],
        };
        for job in jobs {
            self.place_or_preempt(context, &job, &mut round);
        }
    }

    /// Returns the selected jobs that have pending tasks, in the order in which they are to be
    /// placed.
    fn jobs_in_order(&self, context: &LeaderContext, selection: FirstFitSelection) -> Vec<String> {
        let now = context.now;
        let is_selected = |job: &JobState| {
            !job.pending_tasks.is_empty()
                && !job.end_write_in_flight
                && now.monotonic_ms >= job.retry_at
                && selection.includes(job, now.wall_ms)
        };
        let order = |job: &JobState| FirstFitOrder {
            rank: Reverse(PlacementRank {
                priority: job.spec.priority,
                is_within_quota: self.cluster.within_quota(context, &job.spec),
            }),
            backlog: backlog_size(job),
            submitted_at_ms: job.submitted_at_ms,
        };
        let selected = self.cluster.jobs.iter().filter(|(_, job)| is_selected(job));
        let mut ordered: Vec<(FirstFitOrder, &String)> =
            selected.map(|(id, job)| (order(job), id)).collect();
        ordered.sort_by_key(|(order, _)| *order);
        ordered.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Places tasks of a job. If there is no capacity for the next one, an urgent job preempts
    /// others.
    fn place_or_preempt(
        &mut self,
        context: &LeaderContext,
        job_id: &str,
        round: &mut FirstFitRound,
    ) {
        let Some(job) = self.cluster.jobs.get(job_id) else {
            return;
        };
        let constraints = PlacementConstraints::of_job(job);
        let is_in = |known: &[PlacementConstraints]| {
            let constraints = constraints.as_ref();
            constraints.is_some_and(|constraints| known.contains(constraints))
        };
        if !is_in(&round.constraints_without_capacity)
            && self.place_job_first_fit(context, job_id, round)
        {
            return;
        }
        if round.selection == FirstFitSelection::Urgent
            && !is_in(&round.constraints_without_victims)
            && self.may_preempt(context, job_id)
        {
            let mut preemption = Preemption::new(self.cluster, self.scheduling);
            let scope = PreemptionScope::LowerPriority;
            if !preemption.preempt(context, job_id, &mut round.claims, scope) {
                round
                    .constraints_without_victims
                    .extend(constraints.clone());
            }
        }
        round.constraints_without_capacity.extend(constraints);
    }

    fn may_preempt(&self, context: &LeaderContext, job_id: &str) -> bool {
        let reservations = &self.scheduling.reservations;
        self.cluster.jobs.get(job_id).is_some_and(|job| {
            !job.failures.job_is_broken()
                && !reservations.has_preemption_plan(job_id)
                && self.cluster.within_limit(context, &job.spec)
        })
    }

    /// Places tasks of a job by first fit. Returns `false` if there is no capacity for the next
    /// one.
    fn place_job_first_fit(
        &mut self,
        context: &LeaderContext,
        job: &str,
        round: &mut FirstFitRound,
    ) -> bool {
        let mut last_machine = None;
        while let Some(index) = self.next_task(context, job, round.selection) {
            let machine = self.choose_machine(context, job, last_machine, round);
            let Some(machine) = machine else {
                return false;
            };
            if !self.cluster.place_task(&machine, job, index) {
                return false;
            }
            last_machine = Some(machine);
        }
        true
    }

    /// Returns the job's next task to be placed by first fit, or `None` if there is no task that
    /// may be placed now.
    fn next_task(
        &self,
        context: &LeaderContext,
        job: &str,
        selection: FirstFitSelection,
    ) -> Option<u32> {
        let job = self.cluster.jobs.get(job)?;
        if job.start_limit(context.now.monotonic_ms) == 0 {
            return None;
        }
        let index = if is_immediate(job) || job.is_past_deadline(context.now.wall_ms) {
            job.pending_tasks.first().copied()
        } else {
            job.next_pruned()
        };
        let reservations = &self.scheduling.reservations;
        let is_team_reserved = || {
            selection != FirstFitSelection::Urgent
                && reservations.is_team_reserved_for_other(&job.spec)
        };
        if !self.cluster.within_limit(context, &job.spec) || is_team_reserved() {
            return None;
        }
        index
    }

    /// Returns the best machine for a task of the job. The machine that got the job's previous task
    /// is reused as long as it accepts tasks, because it remains the best one.
    fn choose_machine(
        &self,
        context: &LeaderContext,
        job: &str,
        last_machine: Option<String>,
        round: &mut FirstFitRound,
    ) -> Option<String> {
        let job = self.cluster.jobs.get(job)?;
        let filter = MachineFilter::new(context, job, round.selection);
        let accepts = |machine: &Machine| self.accepts(context, &filter, machine);
        let accepts_id = |id: &String| self.cluster.machines.get(id).is_some_and(accepts);
        let same_machine = last_machine.filter(accepts_id);
        if same_machine.is_some() {
            return same_machine;
        }
        let machines = &round.machines;
        let find_machines = || self.machines_by_first_fit(machines, &job.spec, accepts);
        let Some(pool) = round.pools.get_or_build(job, find_machines) else {
            return find_machines().pop();
        };
        while pool.machines.last().is_some_and(|id| !accepts_id(id)) {
            pool.machines.pop();
        }
        pool.machines.last().cloned()
    }

    fn accepts(&self, context: &LeaderContext, filter: &MachineFilter, machine: &Machine) -> bool {
        let job = filter.job;
        let job_id = &job.spec.id;
        let jobs = &self.cluster.jobs;
        let reservations = &self.scheduling.reservations;
        let is_urgent_round = filter.selection == FirstFitSelection::Urgent;
        (machine.queued.is_empty() || is_urgent_round)
            && self.cluster.has_capacity(machine, &job.spec)
            && self.cluster.is_eligible(context, machine, job)
            && (filter.ignores_reservations
                || !reservations.is_reserved_for_other(jobs, &machine.id, job_id))
            && (is_urgent_round
                || !reservations.is_being_cleared(context.now.monotonic_ms, &machine.id))
            && !(filter.excludes_gang_reservations
                && reservations.is_gang_reserved_for_other(jobs, &machine.id, job_id))
    }

    /// Returns the machines that accept a task, ordered so that the best one by first fit is last.
    fn machines_by_first_fit(
        &self,
        machines: &[String],
        spec: &JobSpec,
        accepts: impl Fn(&Machine) -> bool,
    ) -> Vec<String> {
        let mut accepting: Vec<_> = machines
            .iter()
            .filter_map(|id| self.cluster.machines.get(id))
            .filter(|machine| accepts(machine))
            .map(|machine| (self.cluster.first_fit_key(machine, spec), &machine.id))
            .collect();
        accepting.sort_by(|a, b| b.cmp(a));
        accepting.into_iter().map(|(_, id)| id.clone()).collect()
    }
}
