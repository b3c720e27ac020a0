//! Sizing for work with deadlines: what the machines at hand can do by each deadline, and what is
//! still to come.
use super::capacity::MachineCapacity;
use super::demand::DeadlineDemand;
use super::sizing::SizingPlan;
use super::AutoscalerTurn;
use super::DeadlineArrival;
use crate::api::Millis;
use crate::cluster::Lifecycle;
use crate::context::LeaderContext;
use crate::resources::Resources;
use stonegw_constants::{ARRIVAL_RATE_FRACTION_LATE, ARRIVAL_RATE_WINDOW_MS};
use stonegw_wire::msg::JobSpec;

/// CPUs that work with deadlines may use.
struct CpuSupply {
    cpus: f64,
    /// Seconds until they are up.
    ready_in_s: f64,
}

/// The task that most of the waiting work consists of, by CPU time.
fn reference_task(dated: &[DeadlineDemand]) -> Option<&JobSpec> {
    let cpu_seconds = |d: &DeadlineDemand| d.tasks as f64 * d.spec.cpus * d.run_s;
    let most = dated
        .iter()
        .max_by(|a, b| cpu_seconds(a).total_cmp(&cpu_seconds(b)));
    most.map(|demand| &demand.spec)
}

/// The free CPUs that such tasks can use with the memory that is free beside them.
fn cpus_usable_with_memory(free: &Resources, usual: &JobSpec) -> f64 {
    let memory_only = Resources {
        cpus: 0.0,
        gpus: 0.0,
        memory_gb: usual.memory_gb,
    };
    let usable = f64::from(free.count_fitting(&memory_only)) * usual.cpus;
    free.cpus.min(usable).max(0.0)
}

impl AutoscalerTurn<'_> {
    /// CPUs that work with deadlines would keep busy if it kept coming as it did of late: only
    /// what goes before tasks that run so long, since what finishes soonest goes first.
    fn deadline_arrival_rate(&self, now: Millis, run_s: f64) -> f64 {
        let recent = |a: &&DeadlineArrival| now <= a.arrived_at + ARRIVAL_RATE_WINDOW_MS;
        let came = self.autoscaler.deadline_arrivals.iter().filter(recent);
        let first = came.clone().map(|a| a.arrived_at).min().unwrap_or(now);
        let before = came.filter(|a| a.run_s < run_s);
        let sum: f64 = before.map(|a| a.cpu_seconds).sum();
        let span = now
            .saturating_sub(first)
            .clamp(ARRIVAL_RATE_WINDOW_MS / 2, ARRIVAL_RATE_WINDOW_MS);
        sum / (span as f64 / 1e3)
    }

    /// Rents for deadline work: what the machines at hand can do by each deadline, earliest
    /// first, is not rented for, though it may have to wait.
    pub(super) fn provision_for_deadlines(
        &mut self,
        context: &LeaderContext,
        plan: &mut SizingPlan,
        mut dated: Vec<DeadlineDemand>,
        boot_s: f64,
    ) {
        dated.sort_by(|a, b| a.due_s.total_cmp(&b.due_s));
        let Some(usual) = reference_task(&dated) else {
            return;
        };
        let mut capacities = self.deadline_cpu_supplies(&plan.capacities, usual);
        let have: f64 = capacities.iter().map(|c| c.cpus).sum();
        let mut work = self.running_deadline_cpu_seconds();
        for demand in dated {
            let (spec, tasks) = (&demand.spec, demand.tasks);
            work += tasks as f64 * spec.cpus * demand.run_s;
            // What cpus that are up after `eta_s` can do by then; the last run must fit in.
            let use_s = |eta_s: f64| {
                (demand.due_s - eta_s - demand.run_s * 0.5).max(0.0)
                    * context.settings.tuning.slack_fraction
            };
            let coming = self.expected_arrival_cpus(context, &demand) / have.max(1.0);
            let can: f64 = capacities
                .iter()
                .map(|c| c.cpus * use_s(c.ready_in_s))
                .sum();
            let can = can * (1.0 - coming).max(0.0);
            let short = work - can;
            if short <= 0.0 {
                continue;
            }
            let more = (short / use_s(boot_s).max(1.0)).min(tasks as f64 * spec.cpus);
            let more_tasks = (more / spec.cpus.max(0.01)).ceil() as usize;
            self.provision_for(plan, spec, more_tasks.min(tasks), true);
            capacities.push(CpuSupply {
                cpus: more_tasks as f64 * spec.cpus,
                ready_in_s: boot_s,
            });
        }
    }

    /// CPUs that work which is still to come will take before this. Without counting them,
    /// long tasks with a late deadline would be put off until it is too late for them.
    fn expected_arrival_cpus(&self, context: &LeaderContext, demand: &DeadlineDemand) -> f64 {
        let now = context.now.monotonic_ms;
        // All that comes goes before what is late.
        if demand.is_late {
            ARRIVAL_RATE_FRACTION_LATE * self.deadline_arrival_rate(now, f64::MAX)
        } else {
            context.settings.tuning.arrival_rate_fraction
                * self.deadline_arrival_rate(now, demand.run_s)
        }
    }

    /// The CPUs that deadline work may use: all but those of deadline-free tasks, and those beside
    /// which the machine has no memory for the usual task. Counting these as well would leave work
    /// that waits for memory without machines until it is late.
    fn deadline_cpu_supplies(&self, rooms: &[MachineCapacity], usual: &JobSpec) -> Vec<CpuSupply> {
        let used: f64 = self
            .cluster
            .machines
            .values()
            .filter(|m| matches!(m.lifecycle, Lifecycle::Ready))
            .flat_map(|m| &m.placements)
            .filter(|p| p.is_present())
            .filter(|p| {
                let work = self.cluster.jobs.get(&p.job);
                work.is_some_and(|w| w.spec.deadline_s.is_some())
            })
            .map(|p| p.cpus)
            .sum();
        let free = rooms.iter().map(|room| CpuSupply {
            cpus: cpus_usable_with_memory(&room.free, usual),
            ready_in_s: room.ready_in_s,
        });
        let used = CpuSupply {
            cpus: used,
            ready_in_s: 0.0,
        };
        free.chain([used]).filter(|c| c.cpus > 0.0).collect()
    }

    /// CPU-seconds that running deadline tasks still need, about: half a run each.
    fn running_deadline_cpu_seconds(&mut self) -> f64 {
        let mut sum = 0.0;
        for (id, work) in &self.cluster.jobs {
            let present = self.cluster.machines.present_tasks(id).count();
            if work.spec.deadline_s.is_some() && present > 0 {
                sum +=
                    present as f64 * work.spec.cpus * self.estimates.mean_run_s(&work.spec) * 0.5;
            }
        }
        sum
    }
}
