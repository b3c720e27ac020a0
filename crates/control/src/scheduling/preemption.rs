//! Preemption: urgent work stops work of lower priority, and teams within their quota take back what
//! others run beyond theirs.
use super::gang_lifecycle::GangLifecycle;
use super::reservations::PreemptionPlan;
use super::state::SchedulingState;
use crate::api::Millis;
use crate::cluster::{ClusterState, JobState, Lifecycle, Machine, Phase, Placement};
use crate::context::LeaderContext;
use crate::resources::Resources;
use std::collections::HashMap;
use stonegw_constants::{
    GANG_RESTART_COST_MS, IMAGE_FETCH_WEIGHT, PREEMPTION_PLAN_TIMEOUT_MS,
    QUOTA_RECLAIM_MACHINES_DIVISOR, QUOTA_RECLAIM_MAX_LOSS_MS, QUOTA_RECLAIM_MIN_TASKS,
    QUOTA_RECLAIM_WAIT_MS, RESOURCE_EPSILON, STOP_GRACE_MARGIN_S,
};
use stonegw_wire::msg::{JobKind, JobSpec};

/// Capacity that is being cleared for jobs, by machine.
pub type PreemptionClaims = HashMap<String, Resources>;

fn add_claim(claims: &mut PreemptionClaims, machine: &str, spec: &JobSpec) {
    *claims.entry(machine.to_owned()).or_default() += Resources::of_task(spec);
}

/// Which tasks may be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreemptionScope {
    /// Those of lower priority.
    LowerPriority,
    /// Also those that other teams run beyond their quotas.
    QuotaReclaim,
}

/// What capacity is looked for.
#[derive(Clone, Copy)]
pub struct PreemptionRequest<'a> {
    /// The job that needs it.
    pub job: &'a JobState,
    /// For how many of its tasks.
    pub tasks: u32,
    /// What may be stopped for them.
    pub scope: PreemptionScope,
}

/// One task that has to be stopped; where it is a gang's, the whole gang.
#[derive(Clone, Debug)]
pub struct PreemptedTask {
    /// Its job.
    pub job: String,
    /// Its attempt.
    pub attempt: u64,
}

/// Capacity for one task on a machine, after those of the same machine with a lower order.
#[derive(Debug)]
pub struct PreemptionOffer {
    /// The run time that is lost and the weighted wait for the image, ms.
    pub cost_ms: u64,
    /// Where.
    pub machine: String,
    /// The position of this offer among those of its machine.
    pub machine_order: u32,
    /// What has to be stopped for it.
    pub victims: Vec<PreemptedTask>,
}

/// A task that may be stopped.
struct Victim {
    lost_run_ms: u64,
    task: PreemptedTask,
    resources: Resources,
}

/// Run time that is lost if a task is stopped now. A gang is stopped whole; it loses no more than
/// a checkpoint takes where it can make one.
fn lost_run_ms(now: Millis, placement: &Placement, job: &JobState) -> u64 {
    let ran_ms = placement.running_at.map_or(0, |at| now.saturating_sub(at));
    if job.gang.is_none() {
        return ran_ms;
    }
    let lost_ms = if job.spec.checkpoint_interval_s > 0.0 {
        ran_ms.min((job.spec.checkpoint_duration_s * 1e3) as u64)
    } else {
        ran_ms
    };
    (lost_ms + GANG_RESTART_COST_MS) * u64::from(job.spec.task_count)
}

/// What is free on a machine, and what is being stopped there.
fn free_or_stopping(cluster: &ClusterState, machine: &Machine) -> Option<Resources> {
    let mut free = cluster.free_resources(machine)?;
    for placement in &machine.placements {
        if placement.is_present() && placement.stop_grace_s.is_some() {
            free += placement.resources();
        }
    }
    Some(free)
}

/// Looks for the tasks that are stopped at the least loss.
pub(super) struct PreemptionSearch<'a> {
    cluster: &'a ClusterState,
    context: &'a LeaderContext<'a>,
    request: PreemptionRequest<'a>,
    /// Capacity that others wait for.
    claims: &'a PreemptionClaims,
    /// CPUs that each team keeps once what is being stopped has ended. Empty unless quotas are reclaimed.
    remaining_team_cpus: HashMap<&'a str, f64>,
}

impl<'a> PreemptionSearch<'a> {
    /// A search for what the request asks for, beside capacity that is claimed already.
    pub(super) fn new(
        cluster: &'a ClusterState,
        context: &'a LeaderContext,
        request: PreemptionRequest<'a>,
        claims: &'a PreemptionClaims,
    ) -> Self {
        let remaining_team_cpus = match request.scope {
            PreemptionScope::LowerPriority => HashMap::new(),
            PreemptionScope::QuotaReclaim => remaining_team_cpus(cluster, context),
        };
        PreemptionSearch {
            cluster,
            context,
            request,
            claims,
            remaining_team_cpus,
        }
    }

    /// Capacity for up to the requested number of tasks on one machine, the cost growing from offer to
    /// offer.
    pub(super) fn offers_on(&self, machine: &Machine) -> Vec<PreemptionOffer> {
        let Some(mut free) = free_or_stopping(self.cluster, machine) else {
            return vec![];
        };
        free -= self.claims.get(&machine.id).copied().unwrap_or_default();
        let spec = &self.request.job.spec;
        let need = Resources::of_task(spec);
        let mut victims = self.find_victims(machine).into_iter();
        // An urgent task's wait for its image weighs more than the run time lost.
        let image_fetch_s = self.cluster.image_fetch_s(machine, spec);
        let mut cost_ms = (image_fetch_s * IMAGE_FETCH_WEIGHT * 1e3) as u64;
        let mut offers = vec![];
        for machine_order in 0..self.request.tasks {
            let mut stopped = vec![];
            while !free.has_capacity_for(&need) {
                let Some(victim) = victims.next() else {
                    return offers;
                };
                free += victim.resources;
                cost_ms += victim.lost_run_ms + 1;
                stopped.push(victim.task);
            }
            free -= need;
            offers.push(PreemptionOffer {
                cost_ms,
                machine: machine.id.clone(),
                machine_order,
                victims: stopped,
            });
        }
        offers
    }

    /// Tasks on a machine that may be stopped, those that lose least first.
    fn find_victims(&self, machine: &Machine) -> Vec<Victim> {
        let now = self.context.now.monotonic_ms;
        let mut victims = vec![];
        let mut stopped_team_cpus = HashMap::new();
        for placement in &machine.placements {
            let Some(job) = self.cluster.jobs.get(&placement.job) else {
                continue;
            };
            let is_leaving =
                placement.stop_grace_s.is_some() || placement.phase == Phase::Checkpointing;
            if !placement.is_present() || is_leaving {
                continue;
            }
            let is_excess = self.is_beyond_quota(placement, job, &mut stopped_team_cpus);
            if job.spec.priority < self.request.job.spec.priority || is_excess {
                victims.push(Victim {
                    lost_run_ms: lost_run_ms(now, placement, job),
                    task: PreemptedTask {
                        job: placement.job.clone(),
                        attempt: placement.attempt,
                    },
                    resources: placement.resources(),
                });
            }
        }
        victims.sort_by_key(|victim| victim.lost_run_ms);
        victims
    }

    /// Whether another team runs this task beyond its quota and has not run it for long. `stopped_team_cpus`
    /// counts what the search has looked at on the machine, by team.
    fn is_beyond_quota<'b>(
        &self,
        placement: &Placement,
        job: &'b JobState,
        stopped_team_cpus: &mut HashMap<&'b str, f64>,
    ) -> bool {
        let loses_little = || {
            let now = self.context.now.monotonic_ms;
            let running_at = placement.running_at;
            running_at.is_none_or(|at| now < at + QUOTA_RECLAIM_MAX_LOSS_MS)
        };
        if self.request.scope != PreemptionScope::QuotaReclaim
            || job.spec.team == self.request.job.spec.team
            || job.spec.kind != JobKind::Array
            || !loses_little()
        {
            return false;
        }
        let Some(team) = self.context.settings.team(&job.spec.team) else {
            return false;
        };
        let remaining_cpus = self.remaining_team_cpus.get(team.name.as_str());
        let stopped_cpus = stopped_team_cpus.entry(&job.spec.team).or_insert(0.0);
        *stopped_cpus += placement.cpus;
        remaining_cpus.copied().unwrap_or(0.0) - *stopped_cpus >= team.quota_cpus - RESOURCE_EPSILON
    }
}

/// CPUs that each team keeps, not counting what is being stopped.
fn remaining_team_cpus<'a>(
    cluster: &ClusterState,
    context: &'a LeaderContext,
) -> HashMap<&'a str, f64> {
    let mut remaining = HashMap::new();
    for team in &context.settings.teams {
        let (cpus, _) = cluster.machines.team_usage(&team.name);
        remaining.insert(team.name.as_str(), cpus);
    }
    for machine in cluster.machines.with_pending_commands() {
        let placements = machine.placements.iter();
        for placement in placements.filter(|placement| placement.is_present()) {
            let team_cpus = remaining.get_mut(placement.team.as_str());
            if let (Some(_), Some(cpus)) = (placement.stop_grace_s, team_cpus) {
                *cpus -= placement.cpus;
            }
        }
    }
    remaining
}

/// Tasks of a job within its team's quota that found no capacity.
struct QuotaClaim {
    job: String,
    tasks: usize,
}

/// What one round of reclaiming has done so far.
struct ReclaimRound {
    claims: PreemptionClaims,
    /// What is being cleared for each team.
    claimed_by_team: HashMap<String, Resources>,
    /// For how many more tasks capacity may be cleared.
    remaining_tasks: usize,
}

/// Stops running tasks where others of higher priority, or within their quota, find no capacity.
pub struct Preemption<'a> {
    cluster: &'a mut ClusterState,
    scheduling: &'a mut SchedulingState,
}

impl<'a> Preemption<'a> {
    /// Works on this cluster, with what the scheduler's parts share.
    pub fn new(cluster: &'a mut ClusterState, scheduling: &'a mut SchedulingState) -> Self {
        Preemption {
            cluster,
            scheduling,
        }
    }
}

impl Preemption<'_> {
    /// Drops the plans that have expired or are no longer needed, and returns what the others clear.
    pub fn refresh_preemption_claims(&mut self, now: Millis) -> PreemptionClaims {
        let mut claims = PreemptionClaims::new();
        let plans = &mut self.scheduling.reservations.preemption_plans;
        plans.retain(|plan| {
            let Some(job) = self.cluster.jobs.get(&plan.job) else {
                return false;
            };
            let machine = self.cluster.machines.get(&plan.machine);
            let free = machine.and_then(|machine| free_or_stopping(self.cluster, machine));
            let Some(free) = free else {
                return false;
            };
            let claimed = claims.get(&plan.machine).copied().unwrap_or_default();
            let fits = (free - claimed).has_capacity_for(&Resources::of_task(&job.spec));
            let waits = !job.pending_tasks.is_empty() || job.is_gang_waiting();
            let is_valid = fits && now < plan.expires_at && waits;
            if is_valid {
                add_claim(&mut claims, &plan.machine, &job.spec);
            }
            is_valid
        });
        claims
    }

    /// Stops lower work where that loses least, so that a task of the job can start. False: stopping what
    /// may be stopped would not suffice anywhere.
    pub fn preempt(
        &mut self,
        context: &LeaderContext,
        job: &str,
        claims: &mut PreemptionClaims,
        scope: PreemptionScope,
    ) -> bool {
        let Some(offer) = self.cheapest_offer(context, job, claims, scope) else {
            return false;
        };
        if !offer.victims.is_empty() {
            log::info!(
                "{job} preempts {} tasks on {}, cost {} ms",
                offer.victims.len(),
                offer.machine,
                offer.cost_ms
            );
        }
        let offers = [offer];
        if scope == PreemptionScope::LowerPriority {
            self.reserve_cleared_capacity(context, job, &offers);
        }
        self.carry_out_preemption(context, job, &offers, claims);
        true
    }

    /// The cheapest offer of all machines, of the first of them if several cost the same.
    fn cheapest_offer(
        &self,
        context: &LeaderContext,
        job_id: &str,
        claims: &PreemptionClaims,
        scope: PreemptionScope,
    ) -> Option<PreemptionOffer> {
        let job = self.cluster.jobs.get(job_id)?;
        let request = PreemptionRequest {
            job,
            tasks: 1,
            scope,
        };
        let search = PreemptionSearch::new(self.cluster, context, request, claims);
        let jobs = &self.cluster.jobs;
        let reservations = &self.scheduling.reservations;
        let is_reserved = |machine: &str| match scope {
            PreemptionScope::LowerPriority => {
                reservations.is_gang_reserved_for_other(jobs, machine, job_id)
            }
            PreemptionScope::QuotaReclaim => {
                reservations.is_reserved_for_other(jobs, machine, job_id)
            }
        };
        let machines = self.cluster.machines.values().filter(|machine| {
            !is_reserved(&machine.id) && self.cluster.is_eligible(context, machine, job)
        });
        machines
            .flat_map(|machine| search.offers_on(machine))
            .min_by_key(|offer| offer.cost_ms)
    }

    /// Reserves what the offers clear for the job for a while.
    pub fn reserve_cleared_capacity(
        &mut self,
        context: &LeaderContext,
        job: &str,
        offers: &[PreemptionOffer],
    ) {
        let plans = offers.iter().map(|offer| PreemptionPlan {
            machine: offer.machine.clone(),
            job: job.to_owned(),
            expires_at: context.now.monotonic_ms + PREEMPTION_PLAN_TIMEOUT_MS,
        });
        let reservations = &mut self.scheduling.reservations;
        reservations.preemption_plans.extend(plans);
    }

    /// Stops what the offers name. Tasks queued on those machines wait for another.
    pub fn carry_out_preemption(
        &mut self,
        context: &LeaderContext,
        job: &str,
        offers: &[PreemptionOffer],
        claims: &mut PreemptionClaims,
    ) {
        let Some(spec) = self.cluster.jobs.get(job).map(|job| job.spec.clone()) else {
            return;
        };
        for offer in offers {
            add_claim(claims, &offer.machine, &spec);
            self.cluster.requeue_machine_queue(&offer.machine);
            for victim in &offer.victims {
                self.stop_victim(context, &offer.machine, victim);
            }
        }
    }

    /// Stops one task, or the whole gang that it belongs to.
    fn stop_victim(&mut self, context: &LeaderContext, machine: &str, victim: &PreemptedTask) {
        let Some(job) = self.cluster.jobs.get(&victim.job) else {
            return;
        };
        if job.gang.is_some() {
            return GangLifecycle::new(self.cluster).stop_gang(context, &victim.job);
        }
        let grace_s = if job.spec.checkpoint_interval_s > 0.0 {
            job.spec.checkpoint_duration_s + STOP_GRACE_MARGIN_S
        } else {
            0.0
        };
        let Some(mut machine) = self.cluster.machines.edit(machine) else {
            return;
        };
        for placement in &mut machine.placements {
            if placement.attempt == victim.attempt {
                placement.stop_grace_s = Some(grace_s);
            }
        }
    }

    /// For jobs within their team's quota that found no capacity, other teams return what they run beyond
    /// theirs: the tasks that have run least.
    pub fn reclaim_quota(&mut self, context: &LeaderContext) {
        // A part of the fleet at a time: little must be lost if it is stopped in vain.
        let part_of_fleet = self.cluster.machines.len() / QUOTA_RECLAIM_MACHINES_DIVISOR;
        let mut round = ReclaimRound {
            claims: PreemptionClaims::new(),
            claimed_by_team: HashMap::new(),
            remaining_tasks: QUOTA_RECLAIM_MIN_TASKS.max(part_of_fleet),
        };
        let quota_claims = self.quota_claims(context);
        let machine_type = self.usual_machine_type();
        for claim in quota_claims {
            if self.is_below_deferring_threshold(context, &claim.job, &machine_type) {
                continue;
            }
            self.reclaim_for_job(context, &claim, &mut round);
        }
    }

    /// Jobs with a deadline ahead that have waited long enough to take back their team's quota.
    fn quota_claims(&self, context: &LeaderContext) -> Vec<QuotaClaim> {
        let now = context.now;
        let may_claim = |job: &JobState| {
            let age_ms = now.wall_ms.saturating_sub(job.submitted_at_ms);
            let due_s = job.seconds_to_deadline(now.wall_ms);
            !job.end_write_in_flight
                && now.monotonic_ms >= job.retry_at
                && !job.failures.job_is_broken()
                && age_ms > QUOTA_RECLAIM_WAIT_MS
                && due_s.is_some_and(|due_s| due_s > 0.0)
        };
        let jobs = self.cluster.jobs.iter();
        jobs.filter(|(_, job)| may_claim(job))
            .map(|(id, job)| QuotaClaim {
                job: id.clone(),
                tasks: job.unpruned_count(),
            })
            .filter(|claim| claim.tasks > 0)
            .collect()
    }

    /// The type of the first machine that is ready, by which run times are estimated.
    fn usual_machine_type(&self) -> String {
        let mut machines = self.cluster.machines.values();
        let ready = machines.find(|machine| machine.lifecycle == Lifecycle::Ready);
        ready.map_or(String::new(), |machine| machine.machine_type.clone())
    }

    /// Whether the job's tasks would be deferred anyway: nothing must be stopped for them in vain.
    fn is_below_deferring_threshold(
        &mut self,
        context: &LeaderContext,
        job: &str,
        machine_type: &str,
    ) -> bool {
        let Some(job) = self.cluster.jobs.get(job) else {
            return true;
        };
        let due_s = job.seconds_to_deadline(context.now.wall_ms).unwrap_or(0.0);
        let estimates = &mut self.scheduling.estimates;
        let run_times = estimates.run_time_histogram(&job.spec, machine_type);
        let probability = run_times.cumulative().on_time_probability_after(0.0, due_s);
        probability < self.scheduling.pruner.deferring_threshold
    }

    fn reclaim_for_job(
        &mut self,
        context: &LeaderContext,
        claim: &QuotaClaim,
        round: &mut ReclaimRound,
    ) {
        let Some(spec) = self
            .cluster
            .jobs
            .get(&claim.job)
            .map(|job| job.spec.clone())
        else {
            return;
        };
        for _ in 0..claim.tasks {
            let claimed = round.claimed_by_team.get(&spec.team).copied();
            let claimed = claimed.unwrap_or_default();
            if round.remaining_tasks == 0
                || !self.cluster.within_quota_with(context, &spec, claimed)
                || !self.cluster.within_limit_with(context, &spec, claimed)
            {
                return;
            }
            round.remaining_tasks -= 1;
            let scope = PreemptionScope::QuotaReclaim;
            if !self.preempt(context, &claim.job, &mut round.claims, scope) {
                return;
            }
            let claimed = round.claimed_by_team.entry(spec.team.clone());
            *claimed.or_default() += Resources::of_task(&spec);
        }
    }
}
