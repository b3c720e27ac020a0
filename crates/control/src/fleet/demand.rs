//! Demand: the tasks that machines may be rented for, from the work at hand.
use super::room::{allowed, slots, Room};
use crate::leader::{Ctx, Leader};
use crate::ledger::{Life, Machine, Work};
use std::cmp::Reverse;
use stonegw_constants as k;
use stonegw_wire::msg::{JobKind, JobSpec, Priority};

/// Tasks without a deadline that want room now.
pub(super) struct UndatedDemand {
    pub(super) spec: JobSpec,
    pub(super) tasks: usize,
}

/// Tasks of a job with a deadline.
pub(super) struct DatedDemand {
    /// Seconds until they are to be finished, as far as that can be reached.
    pub(super) due_s: f64,
    /// How long one of them runs.
    pub(super) run_s: f64,
    pub(super) spec: JobSpec,
    pub(super) tasks: usize,
    /// Late by all that is promised, and lateness goes on to matter.
    pub(super) late: bool,
}

/// All tasks that machines may be rented for.
pub(super) struct Demand {
    /// Highest priority first.
    pub(super) undated: Vec<UndatedDemand>,
    /// In no order.
    pub(super) dated: Vec<DatedDemand>,
}

impl Leader {
    /// What the work at hand wants. `lasting`: the room that comes free in the end.
    pub(super) fn demand(
        &mut self,
        ctx: &Ctx,
        rooms: &[Room],
        lasting: &[Room],
        boot_s: f64,
    ) -> Demand {
        let mut undated = vec![];
        let mut dated = vec![];
        for (id, work) in &self.works {
            let spec = &work.spec;
            if spec.kind == JobKind::Service && spec.priority >= Priority::High {
                self.fleet.usual = Some(spec.clone());
            }
            let Some(tasks) = self.tasks_to_rent_for(ctx, id, work) else {
                continue;
            };
            if tasks > 0 && self.finds_no_machine(id, spec, lasting) {
                let spec = spec.clone();
                undated.push(UndatedDemand { spec, tasks: 1 });
                continue;
            }
            if let Some(due_s) = work.due_s(ctx.now.wall_ms) {
                let run_s = self.sched.mean_s(spec).max(1.0);
                let target = reachable_target(ctx, work, due_s, run_s, boot_s);
                dated.push(DatedDemand {
                    due_s: target.due_s,
                    run_s,
                    spec: spec.clone(),
                    tasks,
                    late: target.late,
                });
            } else if tasks > 0 {
                let spec = spec.clone();
                undated.push(UndatedDemand { spec, tasks });
            }
        }
        undated.extend(self.gangs_to_rent_for(ctx, rooms));
        undated.sort_by_key(|demand| Reverse(demand.spec.priority));
        Demand { undated, dated }
    }

    /// How many waiting tasks of a job its team may still start. `None`: the job wants no machine.
    fn tasks_to_rent_for(&self, ctx: &Ctx, id: &str, work: &Work) -> Option<usize> {
        let waiting = work.pending.len() + self.machines.held_of(id);
        if waiting == 0 || work.ending || work.failures.job_is_broken() {
            return None;
        }
        let spec = &work.spec;
        let Some(team) = ctx.set.team(&spec.team) else {
            return Some(waiting);
        };
        let used = self.machines.team(&spec.team).0;
        Some(waiting.min(((team.cpus_max - used).max(0.0) / spec.cpus.max(0.01)) as usize))
    }

    /// All the CPUs at hand are of no use to a task that no single machine will have room for.
    fn finds_no_machine(&self, id: &str, spec: &JobSpec, lasting: &[Room]) -> bool {
        let ever = |room: &Room| room.takes(spec);
        self.machines.present_of(id).next().is_none() && !lasting.iter().any(ever)
    }

    /// Gangs that wait and their tasks. One that needs a single zone gets all its room in the zone
    /// that has most of it.
    fn gangs_to_rent_for(&self, ctx: &Ctx, rooms: &[Room]) -> Vec<UndatedDemand> {
        let mut wanted = vec![];
        for job in self.waiting_gangs(ctx) {
            let Some(work) = self.works.get(&job) else {
                continue;
            };
            if work.failures.job_is_broken() || !self.allows_whole(ctx, work) {
                continue;
            }
            let mut spec = work.spec.clone();
            if spec.one_zone && spec.zone.is_none() {
                spec.zone = self.roomiest_zone(&spec, rooms);
            }
            let tasks = (work.spec.tasks + self.useless_slots(work, &spec)) as usize;
            wanted.push(UndatedDemand { spec, tasks });
        }
        wanted
    }

    /// Free slots that the sizing counts on machines where the job failed or that don't hear us.
    fn useless_slots(&self, work: &Work, spec: &JobSpec) -> u32 {
        let useless = |m: &&Machine| work.failures.avoids(&m.id) || !m.trusted();
        let machines = self.machines.values().filter(|m| m.life == Life::Up);
        let machines = machines.filter(useless);
        let suits = |m: &&Machine| allowed(spec, &m.kind, &m.zone, m.spot);
        machines
            .filter(suits)
            .filter_map(|m| Some(slots(&self.free(m)?, spec)))
            .sum()
    }

    /// The zone with most room for the gang's tasks.
    fn roomiest_zone(&self, spec: &JobSpec, rooms: &[Room]) -> Option<String> {
        let zones = self.catalog.types.iter().flat_map(|t| &t.zones);
        let slots_in = |zone: &String| -> u32 {
            rooms
                .iter()
                .filter(|room| room.zone == *zone && room.is_allowed(spec))
                .map(|room| slots(&room.free, spec).min(spec.tasks))
                .sum()
        };
        zones.max_by_key(|zone| slots_in(zone)).cloned()
    }
}

/// When a job's tasks are to be finished.
struct Target {
    due_s: f64,
    /// Late by all that is promised, and lateness goes on to matter.
    late: bool,
}

/// The next deadline that a machine rented now would meet.
///
/// What it would not finish in time is late either way, by its deadline and by all that is
/// promised of its class: then few machines that work for a while are better than many for one
/// run each.
fn reachable_target(ctx: &Ctx, work: &Work, due_s: f64, run_s: f64, boot_s: f64) -> Target {
    let age = ctx.now.wall_ms.saturating_sub(work.at) as f64 / 1e3;
    let promised = ctx.set.promised(&work.spec.class, run_s);
    let promises: Vec<f64> = promised.map(|p| p - age).collect();
    let reachable = boot_s + run_s * k::RUN_ROOM;
    let targets = promises.iter().copied().chain([due_s]);
    let next = targets.filter(|d| *d >= reachable).min_by(f64::total_cmp);
    Target {
        due_s: next.unwrap_or(boot_s + run_s * k::LATE_ROOM),
        // Where more than the deadline is promised, lateness goes on to matter.
        late: next.is_none() && !promises.is_empty(),
    }
}
