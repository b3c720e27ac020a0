//! Demand: the tasks that machines may be rented for, from the work at hand.
use super::capacity::{is_placement_allowed, slots_in, MachineCapacity};
use super::AutoscalerTurn;
use crate::cluster::{JobState, Lifecycle, Machine};
use crate::context::LeaderContext;
use std::cmp::Reverse;
use stonegw_constants::{DEADLINE_RUN_TIME_MULTIPLE, LATE_RUN_TIME_MULTIPLE};
use stonegw_wire::msg::{JobKind, JobSpec, Priority};

/// Tasks without a deadline that want room now.
pub(super) struct DeadlineFreeDemand {
    pub(super) spec: JobSpec,
    pub(super) tasks: usize,
}

/// Tasks of a job with a deadline.
pub(super) struct DeadlineDemand {
    /// Seconds until they are to be finished, as far as that can be reached.
    pub(super) due_s: f64,
    /// How long one of them runs.
    pub(super) run_s: f64,
    pub(super) spec: JobSpec,
    pub(super) tasks: usize,
    /// Late by all that is promised, and lateness goes on to matter.
    pub(super) is_late: bool,
}

/// All tasks that machines may be rented for.
pub(super) struct Demand {
    /// Highest priority first.
    pub(super) deadline_free: Vec<DeadlineFreeDemand>,
    /// In no order.
    pub(super) deadline_constrained: Vec<DeadlineDemand>,
}

impl AutoscalerTurn<'_> {
    /// What the work at hand wants. `lasting`: the room that comes free in the end.
    pub(super) fn collect_demand(
        &mut self,
        context: &LeaderContext,
        rooms: &[MachineCapacity],
        lasting: &[MachineCapacity],
        boot_s: f64,
    ) -> Demand {
        let mut undated = vec![];
        let mut dated = vec![];
        for (id, work) in &self.cluster.jobs {
            let spec = &work.spec;
            if spec.kind == JobKind::Service && spec.priority >= Priority::High {
                self.autoscaler.reference_task = Some(spec.clone());
            }
            let Some(tasks) = self.tasks_to_provision_for(context, id, work) else {
                continue;
            };
            if tasks > 0 && self.fits_no_machine(id, spec, lasting) {
                let spec = spec.clone();
                undated.push(DeadlineFreeDemand { spec, tasks: 1 });
                continue;
            }
            if let Some(due_s) = work.seconds_to_deadline(context.now.wall_ms) {
                let run_s = self.estimates.mean_run_s(spec).max(1.0);
                let target = reachable_target(context, work, due_s, run_s, boot_s);
                dated.push(DeadlineDemand {
                    due_s: target.due_s,
                    run_s,
                    spec: spec.clone(),
                    tasks,
                    is_late: target.is_late,
                });
            } else if tasks > 0 {
                let spec = spec.clone();
                undated.push(DeadlineFreeDemand { spec, tasks });
            }
        }
        undated.extend(self.gangs_to_provision_for(context, rooms));
        undated.sort_by_key(|demand| Reverse(demand.spec.priority));
        Demand {
            deadline_free: undated,
            deadline_constrained: dated,
        }
    }

    /// How many waiting tasks of a job its team may still start. `None`: the job wants no machine.
    fn tasks_to_provision_for(
        &self,
        context: &LeaderContext,
        id: &str,
        work: &JobState,
    ) -> Option<usize> {
        let waiting = work.pending_tasks.len() + self.cluster.machines.queued_count(id);
        if waiting == 0 || work.end_write_in_flight || work.failures.job_is_broken() {
            return None;
        }
        let spec = &work.spec;
        let Some(team) = context.settings.team(&spec.team) else {
            return Some(waiting);
        };
        let used = self.cluster.machines.team_usage(&spec.team).0;
        Some(waiting.min(((team.limit_cpus - used).max(0.0) / spec.cpus.max(0.01)) as usize))
    }

    /// All the CPUs at hand are of no use to a task that no single machine will have room for.
    fn fits_no_machine(&self, id: &str, spec: &JobSpec, lasting: &[MachineCapacity]) -> bool {
        let ever = |room: &MachineCapacity| room.can_host(spec);
        self.cluster.machines.present_tasks(id).next().is_none() && !lasting.iter().any(ever)
    }

    /// Gangs that wait and their tasks. One that needs a single zone gets all its room in the zone
    /// that has most of it.
    fn gangs_to_provision_for(
        &self,
        context: &LeaderContext,
        rooms: &[MachineCapacity],
    ) -> Vec<DeadlineFreeDemand> {
        let mut wanted = vec![];
        for job in self.cluster.waiting_gangs(context) {
            let Some(work) = self.cluster.jobs.get(&job) else {
                continue;
            };
            if work.failures.job_is_broken() || !self.cluster.gang_within_limit(context, work) {
                continue;
            }
            let mut spec = work.spec.clone();
            if spec.requires_single_zone && spec.zone.is_none() {
                spec.zone = self.zone_with_most_capacity(&spec, rooms);
            }
            let tasks = (work.spec.task_count + self.unusable_slots(work, &spec)) as usize;
            wanted.push(DeadlineFreeDemand { spec, tasks });
        }
        wanted
    }

    /// Free slots that the sizing counts on machines where the job failed or that don't hear us.
    fn unusable_slots(&self, work: &JobState, spec: &JobSpec) -> u32 {
        let useless = |m: &&Machine| work.failures.avoids(&m.id) || !m.is_trusted();
        let machines = self
            .cluster
            .machines
            .values()
            .filter(|m| m.lifecycle == Lifecycle::Ready);
        let machines = machines.filter(useless);
        let suits = |m: &&Machine| is_placement_allowed(spec, &m.machine_type, &m.zone, m.spot);
        machines
            .filter(suits)
            .filter_map(|m| Some(slots_in(&self.cluster.free_resources(m)?, spec)))
            .sum()
    }

    /// The zone with most room for the gang's tasks.
    fn zone_with_most_capacity(&self, spec: &JobSpec, rooms: &[MachineCapacity]) -> Option<String> {
        let zones = self
            .cluster
            .catalog
            .machine_types
            .iter()
            .flat_map(|t| &t.zones);
        let slots_in = |zone: &String| -> u32 {
            rooms
                .iter()
                .filter(|room| room.zone == *zone && room.is_allowed(spec))
                .map(|room| slots_in(&room.free, spec).min(spec.task_count))
                .sum()
        };
        zones.max_by_key(|zone| slots_in(zone)).cloned()
    }
}

/// When a job's tasks are to be finished.
struct CompletionTarget {
    due_s: f64,
    /// Late by all that is promised, and lateness goes on to matter.
    is_late: bool,
}

/// The next deadline that a machine rented now would meet.
///
/// What it would not finish in time is late either way, by its deadline and by all that is
/// promised of its class: then few machines that work for a while are better than many for one
/// run each.
fn reachable_target(
    context: &LeaderContext,
    work: &JobState,
    due_s: f64,
    run_s: f64,
    boot_s: f64,
) -> CompletionTarget {
    let age = context.now.wall_ms.saturating_sub(work.submitted_at_ms) as f64 / 1e3;
    let promised = context.settings.slo_deadlines(&work.spec.class, run_s);
    let promises: Vec<f64> = promised.map(|p| p - age).collect();
    let reachable = boot_s + run_s * DEADLINE_RUN_TIME_MULTIPLE;
    let targets = promises.iter().copied().chain([due_s]);
    let next = targets.filter(|d| *d >= reachable).min_by(f64::total_cmp);
    CompletionTarget {
        due_s: next.unwrap_or(boot_s + run_s * LATE_RUN_TIME_MULTIPLE),
        // Where more than the deadline is promised, lateness goes on to matter.
        is_late: next.is_none() && !promises.is_empty(),
    }
}
