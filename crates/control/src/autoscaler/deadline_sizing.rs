//! Sizing for work with deadlines: what the machines at hand can do by each deadline, and what is
//! still to come.
use super::capacity::{MachineCapacity, MIN_TASK_SIZE};
use super::demand::DeadlineDemand;
use super::sizing_plan::SizingPlan;
use super::view::AutoscalerView;
use crate::cluster::{ClusterState, Lifecycle};
use crate::resources::Resources;
use crate::scheduling::estimates::RunTimeEstimates;
use stonegw_constants::ARRIVAL_RATE_FRACTION_LATE;
use stonegw_wire::msg::JobSpec;

/// The part of its run time that a running task still needs, on average.
const REMAINING_RUN_FRACTION: f64 = 0.5;
/// The part of a run that must fit in before the deadline for CPUs to be of use.
const LAST_RUN_FRACTION: f64 = 0.5;

/// CPUs that work with deadlines may use.
struct CpuSupply {
    cpus: f64,
    /// Seconds until they are up.
    ready_in_s: f64,
}

/// Provisions machines for deadline work, earliest deadline first. What the machines at hand can
/// do by a deadline is not provisioned for, though it may have to wait.
pub(super) fn provision_for_deadlines(
    view: &AutoscalerView,
    estimates: &mut RunTimeEstimates,
    plan: &mut SizingPlan,
    mut demands: Vec<DeadlineDemand>,
    boot_s: f64,
) {
    demands.sort_by(|a, b| a.due_s.total_cmp(&b.due_s));
    let Some(reference_task) = reference_task(&demands) else {
        return;
    };
    let mut supplies = cpu_supplies(view.cluster, plan.capacities(), reference_task);
    let initial_cpus: f64 = supplies.iter().map(|supply| supply.cpus).sum();
    let mut work_cpu_s = running_cpu_seconds(view.cluster, estimates);
    for demand in &demands {
        let task_cpus = demand.spec.cpus;
        work_cpu_s += cpu_seconds(demand);
        let usable_s = |ready_in_s: f64| usable_seconds(view, demand, ready_in_s);
        let supplied_cpu_s: f64 = supplies
            .iter()
            .map(|supply| supply.cpus * usable_s(supply.ready_in_s))
            .sum();
        let arrivals_share = expected_arrival_cpus(view, demand) / initial_cpus.max(1.0);
        let missing_cpu_s = work_cpu_s - supplied_cpu_s * (1.0 - arrivals_share).max(0.0);
        if missing_cpu_s <= 0.0 {
            continue;
        }
        let missing_cpus =
            (missing_cpu_s / usable_s(boot_s).max(1.0)).min(demand.tasks as f64 * task_cpus);
        let missing_tasks = (missing_cpus / task_cpus.max(MIN_TASK_SIZE)).ceil() as usize;
        plan.provision_new(&demand.spec, missing_tasks.min(demand.tasks));
        supplies.push(CpuSupply {
            cpus: missing_tasks as f64 * task_cpus,
            ready_in_s: boot_s,
        });
    }
}

/// CPU time of all tasks of the demand.
fn cpu_seconds(demand: &DeadlineDemand) -> f64 {
    demand.tasks as f64 * demand.spec.cpus * demand.run_s
}

/// The task that most of the pending work consists of, by CPU time.
fn reference_task(demands: &[DeadlineDemand]) -> Option<&JobSpec> {
    demands
        .iter()
        .max_by(|a, b| cpu_seconds(a).total_cmp(&cpu_seconds(b)))
        .map(|demand| &demand.spec)
}

/// How long CPUs that are up after `ready_in_s` can work until the deadline; the last run must fit
/// in.
fn usable_seconds(view: &AutoscalerView, demand: &DeadlineDemand, ready_in_s: f64) -> f64 {
    (demand.due_s - ready_in_s - demand.run_s * LAST_RUN_FRACTION).max(0.0)
        * view.context.settings.tuning.slack_fraction
}

/// CPUs that work which is still to come will take before this. Without counting them, long tasks
/// with a late deadline would be deferred until it is too late for them.
fn expected_arrival_cpus(view: &AutoscalerView, demand: &DeadlineDemand) -> f64 {
    // All that comes goes before what is late; otherwise what finishes soonest goes first.
    let (fraction, run_s) = if demand.is_late {
        (ARRIVAL_RATE_FRACTION_LATE, f64::MAX)
    } else {
        let tuning = &view.context.settings.tuning;
        (tuning.arrival_rate_fraction, demand.run_s)
    };
    fraction * view.arrivals.deadline_cpus_shorter_than(view.now(), run_s)
}

/// The CPUs that deadline work may use: all but those of deadline-free tasks, and those beside
/// which the machine has no memory for the reference task. Counting these as well would leave work
/// that waits for memory without machines until it is late.
fn cpu_supplies(
    cluster: &ClusterState,
    capacities: &[MachineCapacity],
    reference_task: &JobSpec,
) -> Vec<CpuSupply> {
    let free = capacities.iter().map(|machine| CpuSupply {
        cpus: cpus_usable_with_memory(&machine.free, reference_task),
        ready_in_s: machine.ready_in_s,
    });
    let used = CpuSupply {
        cpus: cpus_used_by_deadline_work(cluster),
        ready_in_s: 0.0,
    };
    free.chain([used])
        .filter(|supply| supply.cpus > 0.0)
        .collect()
}

/// The free CPUs that such tasks can use with the memory that is free beside them.
fn cpus_usable_with_memory(free: &Resources, reference_task: &JobSpec) -> f64 {
    let memory_only = Resources {
        cpus: 0.0,
        gpus: 0.0,
        memory_gb: reference_task.memory_gb,
    };
    let usable = f64::from(free.count_fitting(&memory_only)) * reference_task.cpus;
    free.cpus.min(usable).max(0.0)
}

fn cpus_used_by_deadline_work(cluster: &ClusterState) -> f64 {
    let has_deadline = |job: &str| {
        cluster
            .jobs
            .get(job)
            .is_some_and(|job| job.spec.deadline_s.is_some())
    };
    cluster
        .machines
        .values()
        .filter(|machine| machine.lifecycle == Lifecycle::Ready)
        .flat_map(|machine| &machine.placements)
        .filter(|placement| placement.is_present() && has_deadline(&placement.job))
        .map(|placement| placement.cpus)
        .sum()
}

/// CPU-seconds that running deadline tasks still need, about.
fn running_cpu_seconds(cluster: &ClusterState, estimates: &mut RunTimeEstimates) -> f64 {
    let mut cpu_seconds = 0.0;
    for (id, job) in &cluster.jobs {
        let present = cluster.machines.present_tasks(id).count();
        if job.spec.deadline_s.is_some() && present > 0 {
            cpu_seconds += present as f64
                * job.spec.cpus
                * estimates.mean_run_s(&job.spec)
                * REMAINING_RUN_FRACTION;
        }
    }
    cpu_seconds
}
