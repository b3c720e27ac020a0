//! Sizing for jobs with deadlines. For each deadline, in order, it compares the CPU time of the
//! work due by then with the CPU time that the available machines supply until then, less a share
//! for jobs that are still to arrive, and provisions machines for the difference.
use super::capacity::{MachineCapacity, MIN_TASK_SIZE};
use super::demand::DeadlineDemand;
use super::sizing_plan::SizingPlan;
use super::view::AutoscalerView;
use crate::cluster::{ClusterState, Lifecycle};
use crate::resources::Resources;
use crate::scheduling::estimates::RunTimeEstimates;
use stonegw_constants::ARRIVAL_RATE_FRACTION_LATE;
use stonegw_wire::msg::JobSpec;

/// Fraction of its run time that a running task still needs on average.
const REMAINING_RUN_FRACTION: f64 = 0.5;
/// Fraction of a task's run time that must be left before its deadline for a free CPU to be of use.
const LAST_RUN_FRACTION: f64 = 0.5;

/// CPUs that jobs with deadlines may use, all ready at the same time.
struct CpuSupply {
    cpus: f64,
    /// Seconds until the CPUs are available.
    ready_in_s: f64,
}

/// Plans new machines for jobs with deadlines, earliest deadline first. Work that the available
/// machines can finish by its deadline gets no new machine, even if it has to wait for capacity.
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

/// Returns the CPU time of all tasks of the demand, in CPU-seconds.
fn cpu_seconds(demand: &DeadlineDemand) -> f64 {
    demand.tasks as f64 * demand.spec.cpus * demand.run_s
}

/// Returns the job that accounts for the most CPU time of the pending work. Its tasks serve as the
/// reference size.
fn reference_task(demands: &[DeadlineDemand]) -> Option<&JobSpec> {
    demands
        .iter()
        .max_by(|a, b| cpu_seconds(a).total_cmp(&cpu_seconds(b)))
        .map(|demand| &demand.spec)
}

/// Returns for how many seconds CPUs that are available after `ready_in_s` can work on the demand
/// before its deadline, with time left for the last run to fit in.
fn usable_seconds(view: &AutoscalerView, demand: &DeadlineDemand, ready_in_s: f64) -> f64 {
    (demand.due_s - ready_in_s - demand.run_s * LAST_RUN_FRACTION).max(0.0)
        * view.context.settings.tuning.slack_fraction
}

/// Returns how many CPUs will be taken by jobs that have yet to arrive and will run before this
/// demand. If they were not counted, long tasks with a late deadline would be deferred until they
/// could no longer meet it.
fn expected_arrival_cpus(view: &AutoscalerView, demand: &DeadlineDemand) -> f64 {
    // Every arriving job runs before a late one. Before a job that is not late, only jobs with
    // shorter tasks run.
    let (fraction, run_s) = if demand.is_late {
        (ARRIVAL_RATE_FRACTION_LATE, f64::MAX)
    } else {
        let tuning = &view.context.settings.tuning;
        (tuning.arrival_rate_fraction, demand.run_s)
    };
    fraction * view.arrivals.deadline_cpus_shorter_than(view.now(), run_s)
}

/// Returns the CPUs that jobs with deadlines may use: all except those used by tasks without a
/// deadline, and free CPUs on machines that lack the memory to use them for the reference task. If
/// the latter were counted, work that waits for memory would get no new machines until it is late.
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

/// Returns how many of the free CPUs tasks like the reference task can use with the free memory.
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

/// Estimates how many CPU-seconds the running tasks of jobs with deadlines still need.
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
