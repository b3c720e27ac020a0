//! Checks where tasks run: no task on two machines at once, only on machines that the job allows,
//! and within the team's limit.
use crate::stand_ins::{job_id_of, ClusterView, Worker, RESOURCE_EPSILON};
use std::collections::BTreeMap;
use stonegw_wire::msg::JobSpec;

/// Returns the largest number of tasks that a job which spreads across zones may have in one zone.
pub(super) fn max_tasks_per_zone(spec: &JobSpec) -> u32 {
    spec.task_count.div_ceil(2)
}

/// Returns whether the machine's type, zone and spot status meet the job's constraints. The job's
/// other tasks are not considered.
pub(super) fn satisfies_constraints(spec: &JobSpec, worker: &Worker) -> bool {
    let types = spec.machine_types.as_ref();
    types.is_none_or(|types| types.contains(&worker.machine_type))
        && spec.zone.as_ref().is_none_or(|zone| *zone == worker.zone)
        && (spec.allows_spot || !worker.is_spot)
}

/// Returns a violation for each other machine on which the task runs too.
pub(super) fn find_duplicate_runs(
    cluster: ClusterView,
    machine_id: &str,
    task_id: &str,
) -> Vec<String> {
    cluster
        .workers
        .values()
        .filter(|worker| worker.id != machine_id && worker.has_task_on_machine(task_id))
        .map(|worker| format!("ran_twice {task_id} on {} and {machine_id}", worker.id))
        .collect()
}

/// Returns a violation if the machine does not meet the job's constraints, and one if the
/// distribution of the job's tasks over zones does not.
pub(super) fn find_misplacements(
    cluster: ClusterView,
    machine_id: &str,
    task_id: &str,
) -> Vec<String> {
    let worker = &cluster.workers[machine_id];
    let job_id = job_id_of(task_id);
    let spec = &cluster.jobs[job_id].spec;
    let zone = &worker.zone;
    let mut violations = vec![];
    if !satisfies_constraints(spec, worker) {
        violations.push(format!(
            "wrong_place {task_id} in zone {zone} on type {}, spot: {}",
            worker.machine_type, worker.is_spot
        ));
    }
    if !spec.requires_single_zone && !spec.spreads_across_zones {
        return violations;
    }
    let counts = cluster.count_tasks_by_zone(job_id);
    let in_zone = counts.get(zone).copied().unwrap_or(0);
    if spec.requires_single_zone && counts.len() > 1
        || spec.spreads_across_zones && in_zone > max_tasks_per_zone(spec)
    {
        violations.push(format!(
            "wrong_place {task_id} in zone {zone}; tasks by zone: {counts:?}"
        ));
    }
    violations
}

/// The CPU usage of the teams, checked against their limits.
#[derive(Default)]
pub(super) struct TeamUsage {
    /// An upper bound of each team's usage in CPUs.
    upper_bounds: BTreeMap<String, f64>,
    /// Whether a violation was already returned. Only the first one is returned, whichever team
    /// causes it.
    is_violated: bool,
}

impl TeamUsage {
    /// Adds a starting task to its team's usage, and returns a violation if the team is over its
    /// limit. Usage grows only when a task starts, so the exact usage is computed only when the
    /// upper bound (the usage last computed plus all tasks started since) exceeds the limit.
    pub(super) fn check_start(
        &mut self,
        cluster: ClusterView,
        spec: &JobSpec,
        limit_cpus: f64,
    ) -> Option<String> {
        let team = spec.team.as_str();
        let bound = self.upper_bounds.entry(team.into()).or_default();
        *bound += spec.cpus;
        if *bound <= limit_cpus + RESOURCE_EPSILON {
            return None;
        }
        let used: f64 = cluster
            .workers
            .values()
            .flat_map(Worker::tasks_on_machine)
            .map(|task_id| &cluster.jobs[job_id_of(task_id)].spec)
            .filter(|other| other.team == team)
            .map(|other| other.cpus)
            .sum();
        *bound = used;
        if used <= limit_cpus + RESOURCE_EPSILON || self.is_violated {
            return None;
        }
        self.is_violated = true;
        Some(format!("quota {team} uses {used} of {limit_cpus} CPUs"))
    }
}
