//! Decides whether a machine can run a task and ranks the machines that can. Considers the
//! machine's state, the job's constraints, free capacity, and the team's quota and limit.
use super::{zone_allows, ClusterState, JobState, Lifecycle, Machine, Phase};
use crate::context::LeaderContext;
use crate::resources::Resources;
use crate::settings::Team;
use std::cmp::Reverse;
use stonegw_constants::{CONCURRENT_FETCH_FACTOR, MIN_IMAGE_FETCH_GB_PER_S, RESOURCE_EPSILON};
use stonegw_wire::msg::JobSpec;

/// Returns the seconds that a machine takes to fetch one GB of an image. `rate` is the machine's
/// fetch rate in GB/s, which concurrent fetches share.
pub(crate) fn image_fetch_s_per_gb(machine: &Machine, rate: f64) -> f64 {
    let mut placements = machine.placements.iter();
    let is_fetching = placements.any(|placement| placement.phase == Phase::Fetching);
    let factor = if is_fetching {
        CONCURRENT_FETCH_FACTOR
    } else {
        1.0
    };
    factor / rate.max(MIN_IMAGE_FETCH_GB_PER_S)
}

/// The sort key of machines for first fit. The machine with the lowest key is used first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FirstFitKey {
    /// Seconds that fetching the image takes.
    image_fetch_s: i64,
    /// The price per CPU, scaled to a whole number.
    price_per_cpu: i64,
    /// Free CPUs in hundredths, so that the tighter fit is preferred.
    free_cpus: i64,
}

impl JobState {
    /// Returns `true` if the job's tasks may run on machines of this type.
    pub(crate) fn allows_machine_type(&self, machine_type: &str) -> bool {
        let allowed = self.spec.machine_types.as_ref();
        allowed.is_none_or(|names| names.iter().any(|name| name == machine_type))
    }
}

impl ClusterState {
    /// Returns `true` if a machine may get new tasks, judging only by the state of the machine.
    pub(crate) fn accepts_tasks(&self, context: &LeaderContext, machine: &Machine) -> bool {
        let now = context.now.monotonic_ms;
        machine.lifecycle == Lifecycle::Ready
            && !machine.is_silent(now, context.settings.heartbeat_interval_s)
            && machine.under_current_term
            && !machine.via_store
            && machine.is_trusted()
            && now >= machine.full_until
    }

    /// Returns `true` if the job's constraints allow a task of the job on the machine and a record
    /// has capacity for it. Does not check the machine's free resources.
    pub(crate) fn meets_constraints(&self, machine: &Machine, job: &JobState) -> bool {
        (!machine.spot || job.spec.allows_spot)
            && job.allows_machine_type(&machine.machine_type)
            && !job.failures.avoids(&machine.id)
            && zone_allows(&self.machines, job, &machine.zone)
            && self.group_record_has_capacity(machine, &job.spec.id)
    }

    /// Returns `true` if a task of the job may be placed on the machine now. Does not check the
    /// machine's free resources.
    pub fn is_eligible(&self, context: &LeaderContext, machine: &Machine, job: &JobState) -> bool {
        self.accepts_tasks(context, machine) && self.meets_constraints(machine, job)
    }

    /// Returns `true` if the machine has free resources for one more task of the job.
    pub fn has_capacity(&self, machine: &Machine, spec: &JobSpec) -> bool {
        let free = self.free_resources(machine);
        free.is_some_and(|free| free.has_capacity_for(&Resources::of_task(spec)))
    }

    /// Returns the free resources of a machine, or `None` if the catalogue does not have its type.
    pub(crate) fn free_resources(&self, machine: &Machine) -> Option<Resources> {
        let machine_type = self.machine_type(&machine.machine_type)?;
        Some(machine.free_resources(machine_type))
    }

    /// Returns `true` if one more task keeps the usage of its team within a bound, where `extra` is
    /// added to the resources in use. Memory is not counted against teams.
    fn is_team_within(
        &self,
        context: &LeaderContext,
        spec: &JobSpec,
        extra: Resources,
        bound_of: fn(&Team) -> Resources,
    ) -> bool {
        let Some(team) = context.settings.team(&spec.team) else {
            return false;
        };
        let bound = bound_of(team);
        let usage = self.machines.team_usage(&spec.team);
        usage.cpus + extra.cpus + spec.cpus <= bound.cpus + RESOURCE_EPSILON
            && usage.gpus + extra.gpus + spec.gpus <= bound.gpus + RESOURCE_EPSILON
    }

    /// Returns `true` if one more task stays within the team's limit.
    pub fn within_limit(&self, context: &LeaderContext, spec: &JobSpec) -> bool {
        self.within_limit_with(context, spec, Resources::default())
    }

    /// Returns `true` if one more task stays within the team's limit, where `extra` is added to the
    /// resources in use.
    pub fn within_limit_with(
        &self,
        context: &LeaderContext,
        spec: &JobSpec,
        extra: Resources,
    ) -> bool {
        self.is_team_within(context, spec, extra, Team::limit)
    }

    /// Returns `true` if one more task stays within the team's quota.
    pub fn within_quota(&self, context: &LeaderContext, spec: &JobSpec) -> bool {
        self.within_quota_with(context, spec, Resources::default())
    }

    /// Returns `true` if one more task stays within the team's quota, where `extra` is added to the
    /// resources in use.
    pub fn within_quota_with(
        &self,
        context: &LeaderContext,
        spec: &JobSpec,
        extra: Resources,
    ) -> bool {
        self.is_team_within(context, spec, extra, Team::quota)
    }

    /// Returns `true` if all tasks of the gang together stay within their team's limit.
    pub(crate) fn gang_within_limit(&self, context: &LeaderContext, gang: &JobState) -> bool {
        self.within_limit_with(context, &gang.spec, all_but_one_task(&gang.spec))
    }

    /// Returns `true` if all tasks of the gang together stay within their team's quota.
    pub(crate) fn gang_within_quota(&self, context: &LeaderContext, gang: &JobState) -> bool {
        self.within_quota_with(context, &gang.spec, all_but_one_task(&gang.spec))
    }

    /// Returns the ids of the machines that accept tasks and have free CPUs. A scheduling pass
    /// collects them once instead of once for each task.
    pub fn machines_with_capacity(&self, context: &LeaderContext) -> Vec<String> {
        let has_free_cpus = |machine: &Machine| {
            let free = self.free_resources(machine);
            free.is_some_and(|free| free.cpus > RESOURCE_EPSILON)
        };
        self.machines
            .values()
            .filter(|machine| self.accepts_tasks(context, machine) && has_free_cpus(machine))
            .map(|machine| machine.id.clone())
            .collect()
    }

    /// Returns the seconds that fetching the job's image takes on the machine; 0 if the image is
    /// cached.
    pub fn image_fetch_s(&self, machine: &Machine, spec: &JobSpec) -> f64 {
        if machine.has_image(&spec.image) {
            return 0.0;
        }
        let machine_type = self.machine_type(&machine.machine_type);
        let rate = machine_type.map_or(1.0, |machine_type| machine_type.fetch_gb_per_s);
        image_fetch_s_per_gb(machine, rate) * spec.image_size_gb
    }

    /// Returns the sort key for first fit: the shortest image fetch first, then the cheapest
    /// machine, then the tightest fit.
    pub fn first_fit_key(&self, machine: &Machine, spec: &JobSpec) -> FirstFitKey {
        let machine_type = self.machine_type(&machine.machine_type);
        let price = machine_type.map_or(0.0, |found| found.price_per_cpu(machine.spot));
        let free_cpus = machine_type.map_or(0.0, |found| machine.free_resources(found).cpus);
        FirstFitKey {
            image_fetch_s: self.image_fetch_s(machine, spec).round() as i64,
            price_per_cpu: (price * 1e4) as i64,
            free_cpus: (free_cpus * 100.0) as i64,
        }
    }

    /// Returns the ids of the gangs that wait for placement and may be retried now, by descending
    /// priority and then the earliest submission first.
    pub(crate) fn waiting_gangs(&self, context: &LeaderContext) -> Vec<String> {
        let now = context.now.monotonic_ms;
        let waits = |job: &JobState| job.is_gang_waiting() && now >= job.retry_at;
        let mut waiting: Vec<(&String, &JobState)> =
            self.jobs.iter().filter(|(_, job)| waits(job)).collect();
        waiting.sort_by_key(|(id, job)| (Reverse(job.spec.priority), job.submitted_at_ms, *id));
        waiting.into_iter().map(|(id, _)| id.clone()).collect()
    }

    /// Returns the resources that urgent tasks use on a machine. Urgent tasks are not preempted,
    /// and services do not end by themselves.
    pub fn urgent_usage(&self, machine: &Machine) -> Resources {
        let is_urgent = |job: &str| self.jobs.get(job).is_some_and(JobState::is_urgent);
        let mut usage = Resources::default();
        for placement in &machine.placements {
            if placement.is_present() && is_urgent(&placement.job) {
                usage += placement.resources();
            }
        }
        usage
    }
}

/// Returns the CPUs and GPUs that all tasks of a gang except one use together. Memory is left out,
/// because teams are charged for CPUs and GPUs only.
fn all_but_one_task(spec: &JobSpec) -> Resources {
    let others = f64::from(spec.task_count.saturating_sub(1));
    Resources {
        cpus: others * spec.cpus,
        gpus: others * spec.gpus,
        memory_gb: 0.0,
    }
}
