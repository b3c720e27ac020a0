//! Making room: urgent work pushes lesser work aside, and teams within their guarantee take back
//! what others borrow.
use super::gang_lifecycle::GangLifecycle;
use super::reservations::PreemptionPlan;
use super::state::SchedulingState;
use crate::api::Millis;
use crate::cluster::ClusterState;
use crate::cluster::{JobState, Lifecycle, Machine, Phase, Placement};
use crate::context::LeaderContext;
use crate::resources::Resources;
use std::collections::HashMap;
use stonegw_constants::{
    GANG_RESTART_COST_MS, IMAGE_FETCH_WEIGHT, PREEMPTION_PLAN_TIMEOUT_MS,
    QUOTA_RECLAIM_MACHINES_DIVISOR, QUOTA_RECLAIM_MAX_LOSS_MS, QUOTA_RECLAIM_MIN_TASKS,
    QUOTA_RECLAIM_WAIT_MS, RESOURCE_EPSILON, STOP_GRACE_MARGIN_S,
};
use stonegw_wire::msg::{JobKind, JobSpec};

/// Room that is being made on machines, by machine.
pub type PreemptionClaims = HashMap<String, Resources>;

fn add_claim(claims: &mut PreemptionClaims, machine: &str, spec: &JobSpec) {
    *claims.entry(machine.to_owned()).or_default() += Resources::of_task(spec);
}

/// For whose tasks room is looked for, and for how many.
pub struct PreemptionRequest<'a> {
    pub job: &'a JobState,
    pub tasks: u32,
    /// What other teams run beyond their guarantees may be stopped as well.
    pub reclaims_quota: bool,
}

/// Room for one task on a machine, after those of the same machine with a lower order.
#[derive(Debug)]
pub struct PreemptionOffer {
    /// ms of run time that are lost, and the weighted wait for the image.
    pub cost_ms: u64,
    pub machine: String,
    pub machine_order: u32,
    /// What has to be stopped for it: jobs and attempts.
    pub victims: Vec<(String, u64)>,
}

/// A task that may be stopped.
struct Victim {
    lost_run_ms: u64,
    job: String,
    attempt: u64,
    resources: Resources,
}

/// Run time that is lost if a task is stopped now. A gang is stopped whole; it loses no more than
/// it takes to save where it can.
fn lost_run_ms(now: Millis, p: &Placement, work: &JobState) -> u64 {
    let ran = p.running_at.map_or(0, |at| now.saturating_sub(at));
    if work.gang.is_none() {
        return ran;
    }
    let lost = if work.spec.checkpoint_interval_s > 0.0 {
        ran.min((work.spec.checkpoint_duration_s * 1e3) as u64)
    } else {
        ran
    };
    (lost + GANG_RESTART_COST_MS) * u64::from(work.spec.task_count)
}

/// Stops running tasks where others of higher priority, or within their quota, find no capacity.
pub struct Preemption<'a> {
    cluster: &'a mut ClusterState,
    scheduling: &'a mut SchedulingState,
}

impl<'a> Preemption<'a> {
    pub fn new(cluster: &'a mut ClusterState, scheduling: &'a mut SchedulingState) -> Self {
        Preemption {
            cluster,
            scheduling,
        }
    }
}

impl Preemption<'_> {
    /// Room that is being made and may still be believed in, by machine.
    pub fn refresh_preemption_claims(&mut self, now: Millis) -> PreemptionClaims {
        let mut claims = PreemptionClaims::new();
        let mut making = std::mem::take(&mut self.scheduling.reservations.preemption_plans);
        making.retain(|made| {
            let Some(work) = self.cluster.jobs.get(&made.job) else {
                return false;
            };
            let machine = self.cluster.machines.get(&made.machine);
            let Some(free) = machine.and_then(|m| free_or_stopping(self.cluster, m)) else {
                return false;
            };
            let taken = claims.get(&made.machine).copied().unwrap_or_default();
            let fits = (free - taken).has_capacity_for(&Resources::of_task(&work.spec));
            let waits = !work.pending_tasks.is_empty() || work.is_gang_waiting();
            let believed = fits && now < made.expires_at && waits;
            if believed {
                add_claim(&mut claims, &made.machine, &work.spec);
            }
            believed
        });
        self.scheduling.reservations.preemption_plans = making;
        claims
    }

    /// Stops work of lower priority where that loses least, so that an urgent task can start.
    pub fn preempt(
        &mut self,
        context: &LeaderContext,
        job: &str,
        claimed: &mut PreemptionClaims,
        guarantee: bool,
    ) -> bool {
        let Some(work) = self.cluster.jobs.get(job) else {
            return false;
        };
        let wanted = PreemptionRequest {
            job: work,
            tasks: 1,
            reclaims_quota: guarantee,
        };
        let used = team_cpus_after_stops(self.cluster, context, guarantee);
        let mut best: Option<PreemptionOffer> = None;
        for m in self.cluster.machines.values() {
            let kept = guarantee
                && self.scheduling.reservations.is_reserved_for_other(
                    &self.cluster.jobs,
                    &m.id,
                    job,
                )
                || self.scheduling.reservations.is_gang_reserved_for_other(
                    &self.cluster.jobs,
                    &m.id,
                    job,
                );
            if kept || !self.cluster.is_eligible(context, m, work) {
                continue;
            }
            for offer in preemption_offers(self.cluster, context, m, &wanted, claimed, &used) {
                if best.as_ref().is_none_or(|b| offer.cost_ms < b.cost_ms) {
                    best = Some(offer);
                }
            }
        }
        let Some(offer) = best else {
            return false;
        };
        if !offer.victims.is_empty() {
            log::info!(
                "{job} pushes {} tasks aside on {}, cost {} ms",
                offer.victims.len(),
                offer.machine,
                offer.cost_ms
            );
        }
        self.carry_out_preemption(context, job, vec![offer], claimed, !guarantee);
        true
    }

    /// Stops what the offers name. `keep`: the room goes to nothing else for a while.
    pub fn carry_out_preemption(
        &mut self,
        context: &LeaderContext,
        job: &str,
        offers: Vec<PreemptionOffer>,
        claimed: &mut PreemptionClaims,
        keep: bool,
    ) {
        let Some(spec) = self.cluster.jobs.get(job).map(|w| w.spec.clone()) else {
            return;
        };
        for offer in offers {
            add_claim(claimed, &offer.machine, &spec);
            if keep {
                self.scheduling
                    .reservations
                    .preemption_plans
                    .push(PreemptionPlan {
                        machine: offer.machine.clone(),
                        job: job.to_owned(),
                        expires_at: context.now.monotonic_ms + PREEMPTION_PLAN_TIMEOUT_MS,
                    });
            }
            self.cluster.requeue_machine_queue(&offer.machine);
            for (victim, attempt) in &offer.victims {
                self.stop_victim(context, &offer.machine, victim, *attempt);
            }
        }
    }

    /// Stops one task, or the whole gang that it belongs to.
    fn stop_victim(&mut self, context: &LeaderContext, machine: &str, job: &str, attempt: u64) {
        let Some(work) = self.cluster.jobs.get(job) else {
            return;
        };
        if work.gang.is_some() {
            return GangLifecycle::new(self.cluster).stop_gang(context, job);
        }
        let grace_s = if work.spec.checkpoint_interval_s > 0.0 {
            work.spec.checkpoint_duration_s + STOP_GRACE_MARGIN_S
        } else {
            0.0
        };
        let Some(mut m) = self.cluster.machines.edit(machine) else {
            return;
        };
        for p in m.placements.iter_mut().filter(|p| p.attempt == attempt) {
            p.stop_grace_s = Some(grace_s);
        }
    }

    /// Work within its team's guarantee that found no room: other teams return what they borrow,
    /// the tasks that have run least.
    pub fn reclaim_quota(&mut self, context: &LeaderContext) {
        let mut claimed = PreemptionClaims::new();
        let mut extra: HashMap<String, (f64, f64)> = HashMap::new();
        let waiting: Vec<(String, usize)> = self
            .cluster
            .jobs
            .iter()
            .filter(|(_, w)| {
                !w.end_write_in_flight
                    && context.now.monotonic_ms >= w.retry_at
                    && w.spec.deadline_s.is_some()
            })
            .filter(|(_, w)| !w.failures.job_is_broken())
            .filter(|(_, w)| {
                let age = context.now.wall_ms.saturating_sub(w.submitted_at_ms);
                age > QUOTA_RECLAIM_WAIT_MS
                    && w.seconds_to_deadline(context.now.wall_ms)
                        .is_some_and(|d| d > 0.0)
            })
            .map(|(id, w)| (id.clone(), w.unpruned_count()))
            .filter(|(_, n)| *n > 0)
            .collect();
        let kind = self
            .cluster
            .machines
            .values()
            .find(|m| m.lifecycle == Lifecycle::Ready);
        let kind = kind.map_or(String::new(), |m| m.machine_type.clone());
        // A part of the fleet at a time: what is stopped in vain must stay little.
        let fleet = self.cluster.machines.len() / QUOTA_RECLAIM_MACHINES_DIVISOR;
        let mut left = QUOTA_RECLAIM_MIN_TASKS.max(fleet);
        for (job, n) in waiting {
            // What the threshold holds back anyway must not push others aside for nothing.
            let Some(w) = self.cluster.jobs.get(&job) else {
                continue;
            };
            let due = w.seconds_to_deadline(context.now.wall_ms).unwrap_or(0.0);
            let runs = self.scheduling.estimates.run_time_histogram(&w.spec, &kind);
            if runs.cumulative().on_time_probability_after(0.0, due)
                < self.scheduling.pruner.deferring_threshold
            {
                continue;
            }
            let spec = w.spec.clone();
            for _ in 0..n {
                let e = extra.get(&spec.team).copied().unwrap_or_default();
                if left == 0
                    || !self.cluster.within_quota(context, &spec, e)
                    || !self.cluster.within_limit(context, &spec, e)
                {
                    break;
                }
                left -= 1;
                if !self.preempt(context, &job, &mut claimed, true) {
                    break;
                }
                let e = extra.entry(spec.team.clone()).or_default();
                *e = (e.0 + spec.cpus, e.1 + spec.gpus);
            }
        }
    }
}

/// CPUs that each team keeps, not counting what is being stopped. Only a guarantee asks for it.
pub(super) fn team_cpus_after_stops(
    cluster: &ClusterState,
    context: &LeaderContext,
    guarantee: bool,
) -> HashMap<String, f64> {
    let mut kept = HashMap::new();
    if !guarantee {
        return kept;
    }
    for team in &context.settings.teams {
        kept.insert(team.name.clone(), cluster.machines.team_usage(&team.name).0);
    }
    for m in cluster.machines.with_pending_commands() {
        for p in m.placements.iter().filter(|p| p.is_present()) {
            if let (Some(_), Some(cpus)) = (p.stop_grace_s, kept.get_mut(p.team.as_str())) {
                *cpus -= p.cpus;
            }
        }
    }
    kept
}

/// Room for up to so many of a job's tasks on one machine, in the order in which it costs more.
pub(super) fn preemption_offers(
    cluster: &ClusterState,
    context: &LeaderContext,
    m: &Machine,
    wanted: &PreemptionRequest,
    claimed: &PreemptionClaims,
    kept: &HashMap<String, f64>,
) -> Vec<PreemptionOffer> {
    let Some(mut free) = free_or_stopping(cluster, m) else {
        return vec![];
    };
    free -= claimed.get(&m.id).copied().unwrap_or_default();
    let need = Resources::of_task(&wanted.job.spec);
    let mut victims = find_victims(cluster, context, m, wanted, kept).into_iter();
    // An urgent task's wait for its image weighs more than the run time lost.
    let fetch_s = cluster.image_fetch_s(m, &wanted.job.spec);
    let mut cost = (fetch_s * IMAGE_FETCH_WEIGHT * 1e3) as u64;
    let mut offers = vec![];
    for order in 0..wanted.tasks {
        let mut stops = vec![];
        while !free.has_capacity_for(&need) {
            let Some(victim) = victims.next() else {
                return offers;
            };
            free += victim.resources;
            cost += victim.lost_run_ms + 1;
            stops.push((victim.job, victim.attempt));
        }
        free -= need;
        offers.push(PreemptionOffer {
            cost_ms: cost,
            machine: m.id.clone(),
            machine_order: order,
            victims: stops,
        });
    }
    offers
}

/// What is free on a machine, and what is being stopped there.
fn free_or_stopping(cluster: &ClusterState, m: &Machine) -> Option<Resources> {
    let mut free = cluster.free_resources(m)?;
    let leaving = m.placements.iter();
    for p in leaving.filter(|p| p.is_present() && p.stop_grace_s.is_some()) {
        free += p.resources();
    }
    Some(free)
}

/// Tasks on a machine that may be stopped for this work, those that lose least first.
fn find_victims(
    cluster: &ClusterState,
    context: &LeaderContext,
    m: &Machine,
    wanted: &PreemptionRequest,
    kept: &HashMap<String, f64>,
) -> Vec<Victim> {
    let now = context.now.monotonic_ms;
    let spec = &wanted.job.spec;
    let mut victims = vec![];
    let mut going: HashMap<&str, f64> = HashMap::new();
    for p in m.placements.iter().filter(|p| p.is_present()) {
        let Some(work) = cluster.jobs.get(&p.job) else {
            continue;
        };
        if p.stop_grace_s.is_some() || p.phase == Phase::Checkpointing {
            continue;
        }
        // Beyond lower priority, only what another team runs above its guarantee.
        let excess = wanted.reclaims_quota
            && work.spec.team != spec.team
            && work.spec.kind == JobKind::Array
            && p.running_at
                .is_none_or(|at| now < at + QUOTA_RECLAIM_MAX_LOSS_MS)
            && context.settings.team(&work.spec.team).is_some_and(|team| {
                let cpus = kept.get(team.name.as_str()).copied().unwrap_or(0.0);
                let going = going.entry(&work.spec.team).or_insert(0.0);
                *going += p.cpus;
                cpus - *going >= team.quota_cpus - RESOURCE_EPSILON
            });
        if work.spec.priority < spec.priority || excess {
            victims.push(Victim {
                lost_run_ms: lost_run_ms(now, p, work),
                job: p.job.clone(),
                attempt: p.attempt,
                resources: p.resources(),
            });
        }
    }
    victims.sort_by_key(|v| v.lost_run_ms);
    victims
}
