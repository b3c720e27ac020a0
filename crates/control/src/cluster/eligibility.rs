//! Whether and how well a machine can run a task: state, constraints, capacity and team limits.
use super::{zone_allows, ClusterState, JobState, Lifecycle, Machine, Phase};
use crate::context::LeaderContext;
use crate::resources::Resources;
use std::cmp::Reverse;
use stonegw_constants::RESOURCE_EPSILON;
use stonegw_wire::msg::{JobSpec, Priority};

/// Seconds that one more image fetch takes per GB: fetches at the same time share the rate.
pub(crate) fn image_fetch_s_per_gb(machine: &Machine, fetch_gb_per_s: f64) -> f64 {
    let mut placements = machine.placements.iter();
    let is_fetching = placements.any(|placement| placement.phase == Phase::Fetching);
    let share = if is_fetching { 2.0 } else { 1.0 };
    share / fetch_gb_per_s.max(0.01)
}

/// CPUs and accelerators that the other tasks of a gang take beside one of them.
fn usage_of_other_members(gang_job: &JobState) -> (f64, f64) {
    let spec = &gang_job.spec;
    let others = f64::from(spec.task_count.saturating_sub(1));
    (others * spec.cpus, others * spec.gpus)
}

impl ClusterState {
    /// Whether a machine takes new tasks at all.
    pub(crate) fn accepts_tasks(&self, context: &LeaderContext, machine: &Machine) -> bool {
        let now = context.now.monotonic_ms;
        machine.lifecycle == Lifecycle::Ready
            && !machine.is_silent(now, context.settings.heartbeat_interval_s)
            && machine.under_current_term
            && !machine.via_store
            && machine.is_trusted()
            && now >= machine.full_until
    }

    /// Whether the job's constraints allow the machine, whatever its state and free capacity.
    pub(crate) fn meets_constraints(&self, machine: &Machine, job: &JobState) -> bool {
        let spec = &job.spec;
        (!machine.spot || spec.allows_spot)
            && spec
                .machine_types
                .as_ref()
                .is_none_or(|allowed| allowed.contains(&machine.machine_type))
            && !job.failures.avoids(&machine.id)
            && zone_allows(&self.machines, job, &machine.zone)
            && self.group_record_has_capacity(machine, &spec.id)
    }

    /// Whether a task of the job may go to the machine now, whatever its free capacity.
    pub fn is_eligible(&self, context: &LeaderContext, machine: &Machine, job: &JobState) -> bool {
        self.accepts_tasks(context, machine) && self.meets_constraints(machine, job)
    }

    /// Whether the machine has capacity for one more task.
    pub fn has_capacity(&self, machine: &Machine, spec: &JobSpec) -> bool {
        let free = self.free_resources(machine);
        free.is_some_and(|free| free.has_capacity_for(&Resources::of_task(spec)))
    }

    /// Whether one more task keeps its team within so many CPUs and accelerators, besides `extra`.
    pub(crate) fn team_usage_within(
        &self,
        spec: &JobSpec,
        max: Option<(f64, f64)>,
        extra: (f64, f64),
    ) -> bool {
        let (used_cpus, used_gpus) = self.machines.team_usage(&spec.team);
        let (extra_cpus, extra_gpus) = extra;
        max.is_some_and(|(max_cpus, max_gpus)| {
            used_cpus + extra_cpus + spec.cpus <= max_cpus + RESOURCE_EPSILON
                && used_gpus + extra_gpus + spec.gpus <= max_gpus + RESOURCE_EPSILON
        })
    }

    /// Whether one more task keeps its team within its limit, besides `extra` CPUs and
    /// accelerators.
    pub fn within_limit(&self, context: &LeaderContext, spec: &JobSpec, extra: (f64, f64)) -> bool {
        let team = context.settings.team(&spec.team);
        let limit = team.map(|team| (team.limit_cpus, team.limit_gpus));
        self.team_usage_within(spec, limit, extra)
    }

    /// Whether one more task keeps its team within its quota, besides `extra` CPUs and
    /// accelerators.
    pub fn within_quota(&self, context: &LeaderContext, spec: &JobSpec, extra: (f64, f64)) -> bool {
        let team = context.settings.team(&spec.team);
        let quota = team.map(|team| (team.quota_cpus, team.quota_gpus));
        self.team_usage_within(spec, quota, extra)
    }

    /// Machines that take new tasks and have any capacity: looked up once, not for each task.
    pub fn machines_with_capacity(&self, context: &LeaderContext) -> Vec<String> {
        let has_free_cpus = |machine: &Machine| {
            self.machine_type(&machine.machine_type)
                .is_some_and(|t| machine.free_resources(t).0 > RESOURCE_EPSILON)
        };
        self.machines
            .values()
            .filter(|machine| self.accepts_tasks(context, machine))
            .filter(|machine| has_free_cpus(machine))
            .map(|machine| machine.id.clone())
            .collect()
    }

    /// Seconds that fetching the job's image takes there.
    pub fn image_fetch_s(&self, machine: &Machine, spec: &JobSpec) -> f64 {
        if machine.has_image(&spec.image) {
            return 0.0;
        }
        let fetch_gb_per_s = self
            .machine_type(&machine.machine_type)
            .map_or(1.0, |t| t.fetch_gb_per_s);
        image_fetch_s_per_gb(machine, fetch_gb_per_s) * spec.image_size_gb
    }

    /// The order of first fit: the soonest start, then the cheaper machine, then the tighter fit.
    pub fn first_fit_key(&self, machine: &Machine, spec: &JobSpec) -> (i64, i64, i64) {
        let machine_type = self.machine_type(&machine.machine_type);
        let free_cpus = machine_type.map_or(0.0, |t| machine.free_resources(t).0);
        let price = machine_type.map_or(0.0, |t| t.price_per_cpu(machine.spot));
        let fetch_s = self.image_fetch_s(machine, spec).round() as i64;
        (fetch_s, (price * 1e4) as i64, (free_cpus * 100.0) as i64)
    }

    /// What is free on a machine; `None` if the catalogue lacks its type.
    pub(crate) fn free_resources(&self, machine: &Machine) -> Option<Resources> {
        let machine_type = self.machine_type(&machine.machine_type)?;
        let (cpus, gpus, memory_gb) = machine.free_resources(machine_type);
        Some(Resources {
            cpus,
            gpus,
            memory_gb,
        })
    }

    /// Whether all tasks of the gang keep their team within its limit.
    pub(crate) fn gang_within_limit(&self, context: &LeaderContext, job: &JobState) -> bool {
        self.within_limit(context, &job.spec, usage_of_other_members(job))
    }

    /// Whether all tasks of the gang keep their team within its quota.
    pub(crate) fn gang_within_quota(&self, context: &LeaderContext, job: &JobState) -> bool {
        self.within_quota(context, &job.spec, usage_of_other_members(job))
    }

    /// Gangs that wait, those of the highest priority first, then the longest accepted.
    pub(crate) fn waiting_gangs(&self, context: &LeaderContext) -> Vec<String> {
        let now = context.now.monotonic_ms;
        let mut order: Vec<(Reverse<Priority>, u64, &String)> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_gang_waiting() && now >= job.retry_at)
            .map(|(id, job)| (Reverse(job.spec.priority), job.submitted_at_ms, id))
            .collect();
        order.sort();
        order.into_iter().map(|(_, _, id)| id.clone()).collect()
    }

    /// CPUs, accelerators and memory that urgent tasks take of a machine: they don't end by
    /// themselves.
    pub fn urgent_usage(&self, machine: &Machine) -> (f64, f64, f64) {
        let is_urgent = |job_id: &str| self.jobs.get(job_id).is_some_and(JobState::is_urgent);
        machine
            .placements
            .iter()
            .filter(|placement| placement.is_present() && is_urgent(&placement.job))
            .fold((0.0, 0.0, 0.0), |(cpus, gpus, memory_gb), placement| {
                (
                    cpus + placement.cpus,
                    gpus + placement.gpus,
                    memory_gb + placement.memory_gb,
                )
            })
    }
}
