//! Searches for the running tasks to stop for another job, and computes the cost of stopping them.
use crate::api::Millis;
use crate::cluster::{ClusterState, JobState, Machine, Phase, Placement};
use crate::context::LeaderContext;
use crate::resources::Resources;
use std::collections::HashMap;
use stonegw_constants::{
    GANG_RESTART_COST_MS, IMAGE_FETCH_WEIGHT, QUOTA_RECLAIM_MAX_LOSS_MS, RESOURCE_EPSILON,
};
use stonegw_wire::msg::JobKind;

/// Capacity that is being cleared for jobs, by machine.
pub type PreemptionClaims = HashMap<String, Resources>;

/// Which tasks may be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreemptionScope {
    /// Tasks of lower priority.
    LowerPriority,
    /// Tasks of lower priority, and those that other teams run beyond their quotas.
    QuotaReclaim,
}

/// The capacity that is searched for.
#[derive(Clone, Copy)]
pub struct PreemptionRequest<'a> {
    /// The job that needs the capacity.
    pub job: &'a JobState,
    /// Number of tasks of the job that need capacity.
    pub tasks: u32,
    /// Which tasks may be stopped for the job.
    pub scope: PreemptionScope,
}

/// One task that has to be stopped. If it belongs to a gang, the whole gang is stopped.
#[derive(Clone, Debug)]
pub struct PreemptedTask {
    /// Id of the job that the task belongs to.
    pub job: String,
    /// Attempt number of the task.
    pub attempt: u64,
}

/// Capacity for one task on a machine, on top of the offers of the same machine with a lower
/// `index_on_machine`.
#[derive(Debug)]
pub struct PreemptionOffer {
    /// Cost in milliseconds: the run time that this offer and the preceding ones of the machine
    /// lose, and the weighted time to fetch the image.
    pub cost_ms: u64,
    /// Id of the machine.
    pub machine: String,
    /// Position of this offer among those of its machine.
    pub index_on_machine: u32,
    /// The tasks that have to be stopped for this offer, besides those of the machine's preceding
    /// offers.
    pub victims: Vec<PreemptedTask>,
}

/// A task that may be stopped.
struct Victim {
    lost_run_ms: u64,
    task: PreemptedTask,
    resources: Resources,
}

/// Returns the run time that is lost if a task is stopped now. A gang is stopped as a whole, and
/// each of its tasks also loses `GANG_RESTART_COST_MS`. If the gang can checkpoint, each task loses
/// no more run time than a checkpoint takes.
fn lost_run_ms(now: Millis, placement: &Placement, job: &JobState) -> u64 {
    let ran_ms = placement.running_at.map_or(0, |at| now.saturating_sub(at));
    if job.gang.is_none() {
        return ran_ms;
    }
    let lost_ms = if job.can_checkpoint() {
        ran_ms.min((job.spec.checkpoint_duration_s * 1e3) as u64)
    } else {
        ran_ms
    };
    (lost_ms + GANG_RESTART_COST_MS) * u64::from(job.spec.task_count)
}

/// Returns the resources of a machine that are free or used by tasks that are being stopped.
pub(super) fn free_or_stopping(cluster: &ClusterState, machine: &Machine) -> Option<Resources> {
    let mut free = cluster.free_resources(machine)?;
    for placement in &machine.placements {
        if placement.is_present() && placement.stop_grace_s.is_some() {
            free += placement.resources();
        }
    }
    Some(free)
}

/// Searches for the tasks that can be stopped at the least loss.
pub(super) struct PreemptionSearch<'a> {
    cluster: &'a ClusterState,
    context: &'a LeaderContext<'a>,
    request: PreemptionRequest<'a>,
    /// Capacity that other jobs wait for.
    claims: &'a PreemptionClaims,
    /// CPUs that each team will still use once the tasks being stopped have ended. Empty unless
    /// quotas are reclaimed.
    remaining_team_cpus: HashMap<&'a str, f64>,
}

impl<'a> PreemptionSearch<'a> {
    /// Creates a search for the requested capacity, besides the capacity that is already claimed.
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

    /// Returns offers for up to the requested number of tasks on one machine, in ascending order of
    /// cost.
    pub(super) fn offers_on(&self, machine: &Machine) -> Vec<PreemptionOffer> {
        let Some(mut free) = free_or_stopping(self.cluster, machine) else {
            return vec![];
        };
        free -= self.claims.get(&machine.id).copied().unwrap_or_default();
        let spec = &self.request.job.spec;
        let need = Resources::of_task(spec);
        let mut victims = self.find_victims(machine).into_iter();
        // The time that an urgent task waits for its image weighs more than lost run time.
        let image_fetch_s = self.cluster.image_fetch_s(machine, spec);
        let mut cost_ms = (image_fetch_s * IMAGE_FETCH_WEIGHT * 1e3) as u64;
        let mut offers = vec![];
        for index_on_machine in 0..self.request.tasks {
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
                index_on_machine,
                victims: stopped,
            });
        }
        offers
    }

    /// Returns the tasks on a machine that may be stopped, those that lose least first.
    fn find_victims(&self, machine: &Machine) -> Vec<Victim> {
        let now = self.context.now.monotonic_ms;
        let mut victims = vec![];
        let mut examined_team_cpus = HashMap::new();
        for placement in &machine.placements {
            let Some(job) = self.cluster.jobs.get(&placement.job) else {
                continue;
            };
            let is_stopping =
                placement.stop_grace_s.is_some() || placement.phase == Phase::Checkpointing;
            if !placement.is_present() || is_stopping {
                continue;
            }
            let is_excess = self.is_beyond_quota(placement, job, &mut examined_team_cpus);
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

    /// Returns whether another team runs this task beyond its quota and has run it for a short time
    /// only. `examined_team_cpus` counts the CPUs of the tasks of each team that have been examined
    /// on the machine so far.
    fn is_beyond_quota<'b>(
        &self,
        placement: &Placement,
        job: &'b JobState,
        examined_team_cpus: &mut HashMap<&'b str, f64>,
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
        let examined_cpus = examined_team_cpus.entry(&job.spec.team).or_insert(0.0);
        *examined_cpus += placement.cpus;
        remaining_cpus.copied().unwrap_or(0.0) - *examined_cpus
            >= team.quota_cpus - RESOURCE_EPSILON
    }
}

/// Returns the CPUs that each team uses, not counting tasks that are being stopped.
fn remaining_team_cpus<'a>(
    cluster: &ClusterState,
    context: &'a LeaderContext,
) -> HashMap<&'a str, f64> {
    let mut remaining = HashMap::new();
    for team in &context.settings.teams {
        let usage = cluster.machines.team_usage(&team.name);
        remaining.insert(team.name.as_str(), usage.cpus);
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
