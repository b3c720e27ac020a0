//! Demand: the pending tasks that machines may be provisioned for.
use super::available_capacity::AvailableCapacity;
use super::capacity::{allows_machine, slots_in, MachineCapacity, MIN_TASK_SIZE};
use super::view::AutoscalerView;
use crate::cluster::{JobState, Lifecycle};
use crate::context::LeaderContext;
use crate::scheduling::estimates::RunTimeEstimates;
use std::cmp::Reverse;
use stonegw_constants::{DEADLINE_RUN_TIME_MULTIPLE, LATE_RUN_TIME_MULTIPLE};
use stonegw_wire::msg::JobSpec;

/// Tasks with a shorter estimated run time are counted as running this long, s.
const MIN_RUN_S: f64 = 1.0;

/// Tasks without a deadline that want capacity now.
pub(super) struct DeadlineFreeDemand {
    /// The job, with the zone it is to run in if one was chosen for it.
    pub(super) spec: JobSpec,
    /// How many of its tasks.
    pub(super) tasks: usize,
}

/// Tasks of a job with a deadline.
pub(super) struct DeadlineDemand {
    /// Seconds until they are to be finished, as far as that can be reached.
    pub(super) due_s: f64,
    /// How long one of them runs.
    pub(super) run_s: f64,
    /// The job.
    pub(super) spec: JobSpec,
    /// How many of its tasks.
    pub(super) tasks: usize,
    /// Late by all that is promised, while lateness goes on to matter.
    pub(super) is_late: bool,
}

/// All tasks that machines may be provisioned for.
pub(super) struct Demand {
    /// Highest priority first.
    pub(super) deadline_free: Vec<DeadlineFreeDemand>,
    /// In no order.
    pub(super) deadline_constrained: Vec<DeadlineDemand>,
}

impl Demand {
    /// What the pending work wants.
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

/// How many pending tasks of a job its team may still start. `None`: the job wants no machine.
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

/// Whether no single machine will ever have the capacity for a task of the job, so that all the
/// free CPUs are of no use to it.
fn fits_no_machine(
    view: &AutoscalerView,
    id: &str,
    spec: &JobSpec,
    eventual: &[MachineCapacity],
) -> bool {
    view.cluster.machines.present_tasks(id).next().is_none()
        && !eventual.iter().any(|machine| machine.can_host(spec))
}

/// Waiting gangs with their tasks. One that needs a single zone gets all its capacity in the zone
/// that has most of it.
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

/// Free slots that the sizing counts although the job can't use them: those on machines where it
/// failed or that commands don't reach.
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

/// The zone with most capacity for the gang's tasks.
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

/// When a job's tasks are to be finished.
struct CompletionTarget {
    due_s: f64,
    /// Late by all that is promised, while lateness goes on to matter.
    is_late: bool,
}

/// The next deadline that a machine provisioned now would meet.
///
/// What it would not finish in time is late either way, by its deadline and by all that is
/// promised of its class: then few machines that work for a while are better than many for one
/// run each.
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
        // Where more than the deadline is promised, lateness goes on to matter.
        is_late: next.is_none() && !slo_targets.is_empty(),
    }
}
