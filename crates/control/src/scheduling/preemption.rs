//! Preemption: urgent jobs stop tasks of lower priority, and teams within their quota reclaim the
//! capacity that other teams use beyond theirs.
use super::gang_lifecycle::GangLifecycle;
use super::preemption_search::{
    free_or_stopping, PreemptedTask, PreemptionClaims, PreemptionOffer, PreemptionRequest,
    PreemptionScope, PreemptionSearch,
};
use super::reservations::PreemptionPlan;
use super::state::SchedulingState;
use crate::api::Millis;
use crate::cluster::{ClusterState, JobState, Lifecycle};
use crate::context::LeaderContext;
use crate::resources::Resources;
use std::collections::HashMap;
use stonegw_constants::{
    PREEMPTION_PLAN_TIMEOUT_MS, QUOTA_RECLAIM_MACHINES_DIVISOR, QUOTA_RECLAIM_MIN_TASKS,
    QUOTA_RECLAIM_WAIT_MS,
};
use stonegw_wire::msg::JobSpec;

fn add_claim(claims: &mut PreemptionClaims, machine: &str, spec: &JobSpec) {
    *claims.entry(machine.to_owned()).or_default() += Resources::of_task(spec);
}

/// Tasks of a job within its team's quota for which no capacity was found.
struct QuotaClaim {
    job: String,
    tasks: usize,
}

/// State of one round of reclaiming quota.
struct ReclaimRound {
    claims: PreemptionClaims,
    /// Resources that are being cleared, by the team they are cleared for.
    claimed_by_team: HashMap<String, Resources>,
    /// Number of further tasks for which capacity may be cleared in this round.
    remaining_tasks: usize,
}

/// Stops running tasks if jobs of higher priority, or of a team within its quota, find no capacity.
pub struct Preemption<'a> {
    cluster: &'a mut ClusterState,
    scheduling: &'a mut SchedulingState,
}

impl<'a> Preemption<'a> {
    /// Creates a `Preemption` for this cluster and the scheduler's shared state.
    pub fn new(cluster: &'a mut ClusterState, scheduling: &'a mut SchedulingState) -> Self {
        Preemption {
            cluster,
            scheduling,
        }
    }
}

impl Preemption<'_> {
    /// Removes the plans that have expired or are no longer needed, and returns the capacity that
    /// the remaining ones clear.
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

    /// Stops the tasks allowed by `scope` whose loss is least, so that a task of the job can start.
    /// Returns `false` if stopping all allowed tasks would not suffice on any machine.
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

    /// Returns the cheapest offer of all machines, or that of the first machine if several cost the
    /// same.
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

    /// Reserves the capacity that the offers clear for the job, until `PREEMPTION_PLAN_TIMEOUT_MS`
    /// have passed.
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

    /// Stops the tasks that the offers name. Tasks queued on those machines become pending again.
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

    /// Stops one task, or the whole gang that the task belongs to.
    fn stop_victim(&mut self, context: &LeaderContext, machine: &str, victim: &PreemptedTask) {
        let Some(job) = self.cluster.jobs.get(&victim.job) else {
            return;
        };
        if job.gang.is_some() {
            return GangLifecycle::new(self.cluster).stop_gang(context, &victim.job);
        }
        let grace_s = if job.can_checkpoint() {
            job.checkpoint_grace_s()
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

    /// Stops tasks of lower priority, and those that other teams run beyond their quotas, for jobs
    /// within their team's quota that found no capacity. On each machine, tasks whose stop loses
    /// the least run time are stopped first.
    pub fn reclaim_quota(&mut self, context: &LeaderContext) {
        // Each round is limited to a part of the cluster, so that little is lost if tasks are
        // stopped in vain.
        let part_of_fleet = self.cluster.machines.len() / QUOTA_RECLAIM_MACHINES_DIVISOR;
        let mut round = ReclaimRound {
            claims: PreemptionClaims::new(),
            claimed_by_team: HashMap::new(),
            remaining_tasks: QUOTA_RECLAIM_MIN_TASKS.max(part_of_fleet),
        };
        let quota_claims = self.quota_claims(context);
        let machine_type = self.representative_machine_type();
        for claim in quota_claims {
            if self.is_below_deferring_threshold(context, &claim.job, &machine_type) {
                continue;
            }
            self.reclaim_for_job(context, &claim, &mut round);
        }
    }

    /// Returns the jobs with a deadline ahead that have waited long enough to reclaim their team's
    /// quota.
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

    /// Returns the type of the first machine that is ready. It is used to estimate run times.
    fn representative_machine_type(&self) -> String {
        let mut machines = self.cluster.machines.values();
        let ready = machines.find(|machine| machine.lifecycle == Lifecycle::Ready);
        ready.map_or(String::new(), |machine| machine.machine_type.clone())
    }

    /// Returns whether the job's tasks would be deferred anyway. No other task may be stopped for
    /// them then, because it would be stopped in vain.
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
