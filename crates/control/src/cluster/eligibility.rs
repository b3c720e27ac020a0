//! Whether and how well a machine can run a task: state, constraints, capacity and team limits.
use super::{zone_allows, ClusterState, JobState, Lifecycle, Machine, Phase};
use crate::context::LeaderContext;
use crate::resources::Resources;
use std::cmp::Reverse;
use stonegw_constants::RESOURCE_EPSILON;
use stonegw_wire::msg::{JobSpec, Priority};

/// Fetches at the same time share the rate.
pub(crate) fn image_fetch_s_per_gb(m: &Machine, rate: f64) -> f64 {
    let fetching = m.placements.iter().any(|p| p.phase == Phase::Fetching);
    let share = if fetching { 2.0 } else { 1.0 };
    share / rate.max(0.01)
}

impl ClusterState {
    /// Whether a machine takes new tasks at all.
    pub(crate) fn accepts_tasks(&self, context: &LeaderContext, m: &Machine) -> bool {
        m.lifecycle == Lifecycle::Ready
            && !m.is_silent(
                context.now.monotonic_ms,
                context.settings.heartbeat_interval_s,
            )
            && m.under_current_term
            && !m.via_store
            && m.is_trusted()
            && context.now.monotonic_ms >= m.full_until
    }

    /// Whether a task of this job may go to that machine, which is open, room aside.
    pub(crate) fn meets_constraints(&self, m: &Machine, w: &JobState) -> bool {
        let spec = &w.spec;
        (!m.spot || spec.allows_spot)
            && spec
                .machine_types
                .as_ref()
                .is_none_or(|t| t.contains(&m.machine_type))
            && !w.failures.avoids(&m.id)
            && zone_allows(&self.machines, w, &m.zone)
            && self.group_record_has_capacity(m, &spec.id)
    }

    /// Whether a task of this job may go to that machine now, room aside.
    pub fn is_eligible(&self, context: &LeaderContext, m: &Machine, w: &JobState) -> bool {
        self.accepts_tasks(context, m) && self.meets_constraints(m, w)
    }

    /// Whether the machine has room for one more task.
    pub fn has_capacity(&self, m: &Machine, spec: &JobSpec) -> bool {
        let free = self.free_resources(m);
        free.is_some_and(|free| free.has_capacity_for(&Resources::of_task(spec)))
    }

    /// Whether one more task keeps its team within so many CPUs and cards, besides `extra`.
    pub(crate) fn team_usage_within(
        &self,
        spec: &JobSpec,
        most: Option<(f64, f64)>,
        extra: (f64, f64),
    ) -> bool {
        let (c, g) = self.machines.team_usage(&spec.team);
        most.is_some_and(|most| {
            c + extra.0 + spec.cpus <= most.0 + RESOURCE_EPSILON
                && g + extra.1 + spec.gpus <= most.1 + RESOURCE_EPSILON
        })
    }

    /// Whether the team's limit leaves room for one more task, besides `extra` CPUs and cards.
    pub fn within_limit(&self, context: &LeaderContext, spec: &JobSpec, extra: (f64, f64)) -> bool {
        let team = context.settings.team(&spec.team);
        self.team_usage_within(spec, team.map(|t| (t.limit_cpus, t.limit_gpus)), extra)
    }

    /// Whether one more task stays within the team's guarantee.
    pub fn within_quota(&self, context: &LeaderContext, spec: &JobSpec, extra: (f64, f64)) -> bool {
        let team = context.settings.team(&spec.team);
        self.team_usage_within(spec, team.map(|t| (t.quota_cpus, t.quota_gpus)), extra)
    }

    /// Machines with any room: looked for once, not for each task.
    pub fn machines_with_capacity(&self, context: &LeaderContext) -> Vec<String> {
        let open = self
            .machines
            .values()
            .filter(|m| self.accepts_tasks(context, m));
        open.filter(|m| {
            self.machine_type(&m.machine_type)
                .is_some_and(|t| m.free_resources(t).0 > RESOURCE_EPSILON)
        })
        .map(|m| m.id.clone())
        .collect()
    }

    /// Seconds that fetching the job's image takes there.
    pub fn image_fetch_s(&self, m: &Machine, spec: &JobSpec) -> f64 {
        if m.has_image(&spec.image) {
            return 0.0;
        }
        let rate = self
            .machine_type(&m.machine_type)
            .map_or(1.0, |t| t.fetch_gb_per_s);
        image_fetch_s_per_gb(m, rate) * spec.image_size_gb
    }

    /// First fit: the soonest start, then the cheaper machine, then the tighter fit.
    pub fn first_fit_key(&self, m: &Machine, spec: &JobSpec) -> (i64, i64, i64) {
        let kind = self.machine_type(&m.machine_type);
        let free = kind.map_or(0.0, |t| m.free_resources(t).0);
        let price = kind.map_or(0.0, |t| t.price_per_cpu(m.spot));
        let fetch = self.image_fetch_s(m, spec).round() as i64;
        (fetch, (price * 1e4) as i64, (free * 100.0) as i64)
    }

    /// What is free on a machine.
    pub(crate) fn free_resources(&self, m: &Machine) -> Option<Resources> {
        let (cpus, gpus, memory_gb) = m.free_resources(self.machine_type(&m.machine_type)?);
        Some(Resources {
            cpus,
            gpus,
            memory_gb,
        })
    }

    /// Whether the team's limit leaves room for all tasks of the gang.
    pub(crate) fn gang_within_limit(&self, context: &LeaderContext, work: &JobState) -> bool {
        let others = f64::from(work.spec.task_count.saturating_sub(1));
        let extra = (others * work.spec.cpus, others * work.spec.gpus);
        self.within_limit(context, &work.spec, extra)
    }

    /// Whether all tasks of the gang stay within their team's guarantee.
    pub(crate) fn gang_within_quota(&self, context: &LeaderContext, work: &JobState) -> bool {
        let others = f64::from(work.spec.task_count.saturating_sub(1));
        let extra = (others * work.spec.cpus, others * work.spec.gpus);
        self.within_quota(context, &work.spec, extra)
    }

    /// Gangs that wait, those of the highest rank first, then the longest accepted.
    pub(crate) fn waiting_gangs(&self, context: &LeaderContext) -> Vec<String> {
        let waits = |w: &JobState| w.is_gang_waiting() && context.now.monotonic_ms >= w.retry_at;
        let waiting = self.jobs.iter().filter(|(_, w)| waits(w));
        let mut order: Vec<(Reverse<Priority>, u64, &String)> = waiting
            .map(|(id, w)| (Reverse(w.spec.priority), w.submitted_at_ms, id))
            .collect();
        order.sort();
        order.into_iter().map(|(_, _, id)| id.clone()).collect()
    }

    /// What urgent work takes of a machine, which does not end by itself.
    pub fn urgent_usage(&self, m: &Machine) -> (f64, f64, f64) {
        let urgent = |job: &str| self.jobs.get(job).is_some_and(JobState::is_urgent);
        let stay = m.placements.iter();
        let stay = stay.filter(|p| p.is_present() && urgent(&p.job));
        stay.fold((0.0, 0.0, 0.0), |(c, g, mem), p| {
            (c + p.cpus, g + p.gpus, mem + p.memory_gb)
        })
    }
}
