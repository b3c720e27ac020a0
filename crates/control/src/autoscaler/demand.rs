//! Demand: the pending tasks for which machines may be provisioned.
use super::available_capacity::AvailableCapacity;
use super::capacity::{allows_machine, slots_in, MachineCapacity, MIN_TASK_SIZE};
use super::view::AutoscalerView;
use crate::cluster::{JobState, Lifecycle};
use crate::context::LeaderContext;
use crate::scheduling::estimates::RunTimeEstimates;
use std::cmp::Reverse;
use stonegw_constants::{DEADLINE_RUN_TIME_MULTIPLE, LATE_RUN_TIME_MULTIPLE};
use stonegw_wire::msg::JobSpec;

/// Lower bound on the estimated run time of a task, in s.
const MIN_RUN_S: f64 = 1.0;

/// Tasks of one job that need capacity now, without regard to a deadline.
pub(super) struct DeadlineFreeDemand {
    /// The job, with its zone constraint set if the sizing chose a zone for it.
    pub(super) spec: JobSpec,
    /// Number of tasks of the job that need capacity.
    pub(super) tasks: usize,
}

/// Tasks of one job with a deadline.
pub(super) struct DeadlineDemand {
    /// Seconds until the earliest target that the tasks can still meet, or until the substitute
    /// target of a late job; see [`reachable_target`].
    pub(super) due_s: f64,
    /// Estimated run time of one task, in s.
    pub(super) run_s: f64,
    /// The job.
    pub(super) spec: JobSpec,
    /// Number of tasks of the job that need capacity. It may be 0.
    pub(super) tasks: usize,
    /// Whether the job can no longer meet its deadline or any objective of its class. Always
    /// `false` if its class has no objectives.
    pub(super) is_late: bool,
}

/// All tasks for which machines may be provisioned.
pub(super) struct Demand {
    /// Demand that is provisioned for without regard to deadlines, highest priority first.
    pub(super) deadline_free: Vec<DeadlineFreeDemand>,
    /// Demand of jobs with deadlines, in no particular order.
    pub(super) deadline_constrained: Vec<DeadlineDemand>,
}

impl Demand {
    /// Collects the demand of all pending work. A new machine takes `boot_s` to boot.
    pub(super) fn collect(
        view: &AutoscalerView,
        estimates: &mut RunTimeEstimates,
        capacity: &AvailableCapacity,
        boot_s: f64,
    ) -> Demand {
        let mut deadline_free = vec![];
        let mut deadline_constrained = vec![];
        for (id, job) in &view.cluster.jobs {
            let Some(tasks) = startable_tasks(view, id, job) else {
                continue;
            };
            let spec = || job.spec.clone();
            if tasks > 0 && fits_no_machine(view, id, &job.spec, &capacity.eventual) {
                deadline_free.push(DeadlineFreeDemand {
                    spec: spec(),
                    tasks: 1,
                });
            } else if let Some(due_s) = job.seconds_to_deadline(view.context.now.wall_ms) {
                let run_s = estimates.mean_run_s(&job.spec).max(MIN_RUN_S);
                let target = reachable_target(view.context, job, due_s, run_s, boot_s);
                deadline_constrained.push(DeadlineDemand {
                    due_s: target.due_s,
                    run_s,
                    spec: spec(),
                    tasks,
                    is_late: target.is_late,
                });
            } else if tasks > 0 {
                deadline_free.push(DeadlineFreeDemand {
                    spec: spec(),
                    tasks,
                });
            }
        }
        deadline_free.extend(waiting_gangs(view, &capacity.free));
        deadline_free.sort_by_key(|demand| Reverse(demand.spec.priority));
        Demand {
            deadline_free,
            deadline_constrained,
        }
    }
}

/// Returns how many pending and queued tasks of a job its team's limit still allows to start, or
/// `None` if the job needs no machine.
fn startable_tasks(view: &AutoscalerView, id: &str, job: &JobState) -> Option<usize> {
    let waiting = job.pending_tasks.len() + view.cluster.machines.queued_count(id);
    if waiting == 0 || job.end_write_in_flight || job.failures.job_is_broken() {
        return None;
    }
    let spec = &job.spec;
    let Some(team) = view.context.settings.team(&spec.team) else {
        return Some(waiting);
    };
    let used_cpus = view.cluster.machines.team_usage(&spec.team).cpus;
    let free_cpus = (team.limit_cpus - used_cpus).max(0.0);
    Some(waiting.min((free_cpus / spec.cpus.max(MIN_TASK_SIZE)) as usize))
}

/// Returns `true` if the job has no task on a machine and no known machine will ever have enough
/// capacity for one of its tasks, however many CPUs are free in total.
fn fits_no_machine(
    view: &AutoscalerView,
    id: &str,
    spec: &JobSpec,
    eventual: &[MachineCapacity],
) -> bool {
    view.cluster.machines.present_tasks(id).next().is_none()
        && !eventual.iter().any(|machine| machine.can_host(spec))
}

/// Returns the demand of the waiting gangs. A gang that must run in a single zone is assigned to
/// the zone with the most capacity for it.
fn waiting_gangs(view: &AutoscalerView, free: &[MachineCapacity]) -> Vec<DeadlineFreeDemand> {
    let mut demands = vec![];
    for id in view.cluster.waiting_gangs(view.context) {
        let Some(job) = view.cluster.jobs.get(&id) else {
            continue;
        };
        if job.failures.job_is_broken() || !view.cluster.gang_within_limit(view.context, job) {
            continue;
        }
        let mut spec = job.spec.clone();
        if spec.requires_single_zone && spec.zone.is_none() {
            spec.zone = zone_with_most_capacity(view, &spec, free);
        }
        let tasks = (job.spec.task_count + unusable_slots(view, job, &spec)) as usize;
        demands.push(DeadlineFreeDemand { spec, tasks });
    }
    demands
}

/// Counts the free slots that the sizing plan would reserve although the job cannot use them: those
/// on machines where the job failed or that commands do not reach reliably.
fn unusable_slots(view: &AutoscalerView, job: &JobState, spec: &JobSpec) -> u32 {
    view.cluster
        .machines
        .values()
        .filter(|machine| machine.lifecycle == Lifecycle::Ready)
        .filter(|machine| job.failures.avoids(&machine.id) || !machine.is_trusted())
        .filter(|machine| allows_machine(spec, machine))
        .filter_map(|machine| view.cluster.free_resources(machine))
        .map(|free| slots_in(&free, spec))
        .sum()
}

/// Returns the zone with the most free capacity for the gang's tasks.
fn zone_with_most_capacity(
    view: &AutoscalerView,
    spec: &JobSpec,
    free: &[MachineCapacity],
) -> Option<String> {
    let slots_in_zone = |zone: &str| -> u32 {
        free.iter()
            .filter(|machine| machine.offer.zone == zone && machine.is_allowed(spec))
            .map(|machine| slots_in(&machine.free, spec).min(spec.task_count))
            .sum()
    };
    let zones = view
        .cluster
        .catalog
        .machine_types
        .iter()
        .flat_map(|machine_type| &machine_type.zones);
    zones.max_by_key(|zone| slots_in_zone(zone)).cloned()
}

/// The time by which a job's tasks are to be finished.
struct CompletionTarget {
    /// Seconds until the target.
    due_s: f64,
    /// See [`DeadlineDemand::is_late`].
    is_late: bool,
}

/// Returns the earliest target (the job's deadline or an objective of its class) that a machine
/// provisioned now would still meet.
///
/// If no target can be met, the job is late however many machines are provisioned. The target is
/// then set so far ahead that a few machines run several tasks each, which is better than many
/// machines that run one task each.
fn reachable_target(
    context: &LeaderContext,
    job: &JobState,
    due_s: f64,
    run_s: f64,
    boot_s: f64,
) -> CompletionTarget {
    let age_s = context.now.wall_ms.saturating_sub(job.submitted_at_ms) as f64 / 1e3;
    let slo_targets: Vec<f64> = context
        .settings
        .slo_deadlines(&job.spec.class, run_s)
        .map(|within_s| within_s - age_s)
        .collect();
    let reachable_s = boot_s + run_s * DEADLINE_RUN_TIME_MULTIPLE;
    let next = slo_targets
        .iter()
        .copied()
        .chain([due_s])
        .filter(|target_s| *target_s >= reachable_s)
        .min_by(f64::total_cmp);
    CompletionTarget {
        due_s: next.unwrap_or(boot_s + run_s * LATE_RUN_TIME_MULTIPLE),
        // Where the class has objectives beyond the deadline, it still matters how late a job ends.
        is_late: next.is_none() && !slo_targets.is_empty(),
    }
}
