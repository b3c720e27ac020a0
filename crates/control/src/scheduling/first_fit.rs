//! First fit: urgent work at once, and leftover capacity for work without a deadline, late or dropped.
use super::preemption::Preemption;
use super::preemption_search::{PreemptionClaims, PreemptionScope};
use super::state::{PlacementRank, SchedulingState};
use crate::cluster::{is_immediate, ClusterState, JobState, Machine, TaskKey};
use crate::context::LeaderContext;
use crate::resources::Resources;
use std::cmp::Reverse;
use stonegw_constants::URGENT_RESERVATION_WAIT_MS;
use stonegw_wire::msg::JobSpec;

/// Which jobs a round of first fit places.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FirstFitSelection {
    /// Only what may not wait for the next full pass. It may also preempt.
    Urgent,
    /// All without a deadline, late or dropped, in leftover capacity.
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

/// The order in which jobs are placed; the least goes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct FirstFitOrder {
    rank: Reverse<PlacementRank>,
    backlog: u32,
    submitted_at_ms: u64,
}

/// What a task takes and where it may go, as far as that says whether there is capacity for it:
/// capacity is found for all jobs with equal constraints or for none.
#[derive(Clone, PartialEq)]
struct PlacementConstraints {
    resource_request: Resources,
    machine_types: Option<Vec<String>>,
    zone: Option<String>,
    allows_spot: bool,
}

impl PlacementConstraints {
    /// `None`: more than this decides.
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

/// What a job counts for among jobs of equal rank: an array without a deadline comes after jobs
/// with fewer tasks left. One of thousands would otherwise keep every smaller one waiting until it is done.
fn backlog_size(job: &JobState) -> u32 {
    if job.spec.deadline_s.is_some() || job.is_urgent() {
        0
    } else {
        job.spec.task_count - job.done_count
    }
}

/// Machines that take tasks with these constraints and image, the best by first fit last.
struct CandidatePool {
    constraints: PlacementConstraints,
    image: String,
    machines: Vec<String>,
}

/// One pool for all jobs alike, put together once in a round: to look at every machine for every
/// job would cost the square of the fleet.
#[derive(Default)]
struct CandidatePools(Vec<CandidatePool>);

impl CandidatePools {
    /// The pool for the job's tasks; `find_machines` fills it. `None`: more than constraints and image
    /// decides.
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

/// What one round of first fit works with.
struct FirstFitRound {
    selection: FirstFitSelection,
    /// Machines that had free capacity when the round began.
    machines: Vec<String>,
    pools: CandidatePools,
    /// Capacity that is being cleared for some of the jobs already.
    claims: PreemptionClaims,
    /// Constraints for which no capacity was found.
    without_capacity: Vec<PlacementConstraints>,
    /// Constraints for which nothing suitable can be preempted.
    without_victims: Vec<PlacementConstraints>,
}

/// Which machines a job's task may take in a round.
struct MachineFilter<'a> {
    job: &'a JobState,
    selection: FirstFitSelection,
    /// Urgent jobs take what is reserved for others.
    ignores_reservations: bool,
    /// But what is reserved for gangs only later: it takes long to gather, so lower work elsewhere is
    /// preempted first.
    spares_gangs: bool,
}

impl<'a> MachineFilter<'a> {
    fn new(context: &LeaderContext, job: &'a JobState, selection: FirstFitSelection) -> Self {
        let age_ms = context.now.wall_ms.saturating_sub(job.submitted_at_ms);
        let ignores_reservations = selection == FirstFitSelection::Urgent || job.is_urgent();
        MachineFilter {
            job,
            selection,
            ignores_reservations,
            spares_gangs: ignores_reservations && age_ms < URGENT_RESERVATION_WAIT_MS,
        }
    }
}

/// Places tasks first fit.
pub struct FirstFit<'a> {
    cluster: &'a mut ClusterState,
    scheduling: &'a mut SchedulingState,
}

impl<'a> FirstFit<'a> {
    /// Works on this cluster, with what the scheduler's parts share.
    pub fn new(cluster: &'a mut ClusterState, scheduling: &'a mut SchedulingState) -> Self {
        FirstFit {
            cluster,
            scheduling,
        }
    }
}

impl FirstFit<'_> {
    /// Starts tasks queued on a machine for which capacity has become free.
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

    /// Whether a queued task of the job may start on the machine now.
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

    /// Places the selected jobs first fit, in order. Urgent ones also preempt.
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
            without_capacity: vec![],
            without_victims: vec![],
        };
        for job in jobs {
            self.place_or_preempt(context, &job, &mut round);
        }
    }

    /// The selected jobs with waiting tasks, those to be placed first in front.
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

    /// Places tasks of a job. Where there is no capacity for the next one, an urgent job preempts.
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
        if !is_in(&round.without_capacity) && self.place_job_first_fit(context, job_id, round) {
            return;
        }
        if round.selection == FirstFitSelection::Urgent
            && !is_in(&round.without_victims)
            && self.may_preempt(context, job_id)
        {
            let mut preemption = Preemption::new(self.cluster, self.scheduling);
            let scope = PreemptionScope::LowerPriority;
            if !preemption.preempt(context, job_id, &mut round.claims, scope) {
                round.without_victims.extend(constraints.clone());
            }
        }
        round.without_capacity.extend(constraints);
    }

    fn may_preempt(&self, context: &LeaderContext, job_id: &str) -> bool {
        let reservations = &self.scheduling.reservations;
        self.cluster.jobs.get(job_id).is_some_and(|job| {
            !job.failures.job_is_broken()
                && !reservations.has_preemption_plan(job_id)
                && self.cluster.within_limit(context, &job.spec)
        })
    }

    /// Places tasks of a job first fit. False: there is no capacity for the next one.
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

    /// The job's next task for first fit. `None`: none is left that may start now.
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

    /// The best machine for a task of the job. Once one of its tasks is there, a machine is the best for the
    /// next as well.
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
            && !(filter.spares_gangs
                && reservations.is_gang_reserved_for_other(jobs, &machine.id, job_id))
    }

    /// Machines that take a task, the best by first fit last.
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
