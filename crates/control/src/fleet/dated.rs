//! Sizing for work with deadlines: what the machines at hand can do by each deadline, and what is
//! still to come.
use super::demand::DatedDemand;
use super::room::Room;
use super::size::Plan;
use super::DatedArrival;
use crate::api::Ms;
use crate::leader::{Ctx, Leader};
use crate::ledger::Life;
use crate::resources::Resources;
use stonegw_constants as k;
use stonegw_wire::msg::JobSpec;

/// CPUs that work with deadlines may use.
struct Capacity {
    cpus: f64,
    /// Seconds until they are up.
    eta_s: f64,
}

/// The task that most of the waiting work consists of, by CPU time.
fn usual_task(dated: &[DatedDemand]) -> Option<&JobSpec> {
    let cpu_seconds = |d: &DatedDemand| d.tasks as f64 * d.spec.cpus * d.run_s;
    let most = dated
        .iter()
        .max_by(|a, b| cpu_seconds(a).total_cmp(&cpu_seconds(b)));
    most.map(|demand| &demand.spec)
}

/// The free CPUs that such tasks can use with the memory that is free beside them.
fn cpus_with_memory(free: &Resources, usual: &JobSpec) -> f64 {
    let memory_only = Resources {
        cpus: 0.0,
        gpus: 0.0,
        memory_gb: usual.memory_gb,
    };
    let usable = f64::from(free.times(&memory_only)) * usual.cpus;
    free.cpus.min(usable).max(0.0)
}

impl Leader {
    /// Work with a deadline came, so long ago.
    pub fn dated_arrival(&mut self, now: Ms, age_ms: u64, spec: &JobSpec) {
        let run_s = self.sched.mean_s(spec);
        let cpu_seconds = f64::from(spec.tasks) * spec.cpus * run_s;
        let at = now.saturating_sub(age_ms);
        self.fleet.dated.retain(|a| now <= a.at + k::INFLOW_MS);
        if age_ms < k::INFLOW_MS {
            self.fleet.dated.push_back(DatedArrival {
                at,
                cpu_seconds,
                run_s,
            });
        }
    }

    /// CPUs that work with deadlines would keep busy if it kept coming as it did of late: only
    /// what goes before tasks that run so long, since what finishes soonest goes first.
    fn inflow(&self, now: Ms, run_s: f64) -> f64 {
        let recent = |a: &&DatedArrival| now <= a.at + k::INFLOW_MS;
        let came = self.fleet.dated.iter().filter(recent);
        let first = came.clone().map(|a| a.at).min().unwrap_or(now);
        let before = came.filter(|a| a.run_s < run_s);
        let sum: f64 = before.map(|a| a.cpu_seconds).sum();
        let span = now
            .saturating_sub(first)
            .clamp(k::INFLOW_MS / 2, k::INFLOW_MS);
        sum / (span as f64 / 1e3)
    }

    /// Rents for deadline work: what the machines at hand can do by each deadline, earliest
    /// first, is not rented for, though it may have to wait.
    pub(super) fn rent_for_dated(
        &mut self,
        ctx: &Ctx,
        plan: &mut Plan,
        mut dated: Vec<DatedDemand>,
        boot_s: f64,
    ) {
        dated.sort_by(|a, b| a.due_s.total_cmp(&b.due_s));
        let Some(usual) = usual_task(&dated) else {
            return;
        };
        let mut capacities = self.dated_capacities(&plan.rooms, usual);
        let have: f64 = capacities.iter().map(|c| c.cpus).sum();
        let mut work = self.dated_running();
        for demand in dated {
            let (spec, tasks) = (&demand.spec, demand.tasks);
            work += tasks as f64 * spec.cpus * demand.run_s;
            // What cpus that are up after `eta_s` can do by then; the last run must fit in.
            let use_s = |eta_s: f64| {
                (demand.due_s - eta_s - demand.run_s * 0.5).max(0.0) * ctx.set.tuning.slack_use
            };
            let coming = self.coming_first(ctx, &demand) / have.max(1.0);
            let can: f64 = capacities.iter().map(|c| c.cpus * use_s(c.eta_s)).sum();
            let can = can * (1.0 - coming).max(0.0);
            let short = work - can;
            if short <= 0.0 {
                continue;
            }
            let more = (short / use_s(boot_s).max(1.0)).min(tasks as f64 * spec.cpus);
            let more_tasks = (more / spec.cpus.max(0.01)).ceil() as usize;
            self.rent_for(plan, spec, more_tasks.min(tasks), true);
            capacities.push(Capacity {
                cpus: more_tasks as f64 * spec.cpus,
                eta_s: boot_s,
            });
        }
    }

    /// CPUs that work which is still to come will take before this. Without counting them,
    /// long tasks with a late deadline would be put off until it is too late for them.
    fn coming_first(&self, ctx: &Ctx, demand: &DatedDemand) -> f64 {
        let now = ctx.now.ms;
        // All that comes goes before what is late.
        if demand.late {
            k::INFLOW_LATE * self.inflow(now, f64::MAX)
        } else {
            ctx.set.tuning.inflow_use * self.inflow(now, demand.run_s)
        }
    }

    /// The CPUs that deadline work may use: all but those of deadline-free tasks, and those beside
    /// which the machine has no memory for the usual task. Counting these as well would leave work
    /// that waits for memory without machines until it is late.
    fn dated_capacities(&self, rooms: &[Room], usual: &JobSpec) -> Vec<Capacity> {
        let used: f64 = self
            .machines
            .values()
            .filter(|m| matches!(m.life, Life::Up))
            .flat_map(|m| &m.placements)
            .filter(|p| p.present())
            .filter(|p| {
                let work = self.works.get(&p.job);
                work.is_some_and(|w| w.spec.deadline_s.is_some())
            })
            .map(|p| p.cpus)
            .sum();
        let free = rooms.iter().map(|room| Capacity {
            cpus: cpus_with_memory(&room.free, usual),
            eta_s: room.eta_s,
        });
        let used = Capacity {
            cpus: used,
            eta_s: 0.0,
        };
        free.chain([used]).filter(|c| c.cpus > 0.0).collect()
    }

    /// CPU-seconds that running deadline tasks still need, about: half a run each.
    fn dated_running(&mut self) -> f64 {
        let mut sum = 0.0;
        for (id, work) in &self.works {
            let present = self.machines.present_of(id).count();
            if work.spec.deadline_s.is_some() && present > 0 {
                sum += present as f64 * work.spec.cpus * self.sched.mean_s(&work.spec) * 0.5;
            }
        }
        sum
    }
}
