//! The protocol's rules, looked at when commands leave a node, when a task starts, and in time.
use super::user::SubmittedJob;
use super::{job_id_of, Simulation, CANCELLATION_DEADLINE_MS};
use crate::stand_ins::Ms;
use std::collections::BTreeMap;
use stonegw_wire::msg::*;

/// By the protocol no task may start once its job is called cancelled. A leader that the state
/// service refuses alone may not know it yet: its own lease lasts 4 s from the last touch, and a
/// call 1.5 s. Later than that no start may be given, wherever the cancellation was told.
const START_AFTER_CANCEL_LIMIT_MS: Ms = 6_000;
/// Sums of CPUs and memory are compared with this margin.
pub(super) const RESOURCE_EPSILON: f64 = 1e-6;
/// How many tasks of a job that is spread may be in one zone.
pub(super) fn max_tasks_per_zone(spec: &JobSpec) -> u32 {
    spec.task_count.div_ceil(2)
}

/// Whether a job may run on such a machine, its other tasks aside.
pub(super) fn satisfies_constraints(spec: &JobSpec, kind: &str, zone: &str, spot: bool) -> bool {
    let types = spec.machine_types.as_ref();
    types.is_none_or(|l| l.iter().any(|t| t == kind))
        && spec.zone.as_ref().is_none_or(|z| z == zone)
        && (spec.allows_spot || !spot)
}

impl Simulation {
    /// Commands leave a node. None of them starts what has been called cancelled for long, unless the
    /// same message stops it: that uses up an attempt which may still arrive.
    pub(super) fn check_sent_commands(&mut self, node: usize, body: &[u8]) {
        let now = self.now;
        let over = |j: &SubmittedJob| {
            j.reported_cancelled_at
                .is_some_and(|at| now > at + START_AFTER_CANCEL_LIMIT_MS)
        };
        if !self.is_any_job_cancelled {
            return;
        }
        let Ok(orders) = decode::<CommandBatch>(body) else {
            return;
        };
        let stops = |task: &str| {
            let stop = |c: &Command| matches!(c, Command::Stop { task_id: t, .. } if t == task);
            orders.commands.iter().any(stop)
        };
        for c in &orders.commands {
            if let Command::Start { task_id: task, .. } = c {
                let job = self.jobs.get(job_id_of(task));
                if job.is_some_and(over) && !stops(task) {
                    self.record_violation(format!("started_cancelled {task} by node-{node}"));
                }
            }
        }
    }

    /// A task is on a machine from now on: no rule may forbid it.
    pub(super) fn record_task_start(&mut self, id: &str, task: &str, attempt: u64) {
        self.append_log(format!("{task}#{attempt} starts on {id}"));
        self.check_duplicate_run(id, task);
        let j = self.jobs.get_mut(job_id_of(task)).expect("job");
        let (spec, told) = (j.spec.clone(), j.reported_cancelled_at);
        if spec.kind != JobKind::Gang {
            // A gang starts when all its tasks run.
            j.started_at.get_or_insert(self.now);
            j.starved_since = None;
        }
        if told.is_some_and(|at| self.now > at + CANCELLATION_DEADLINE_MS) {
            self.record_violation(format!("ran_cancelled {task} starts on {id}"));
        }
        self.check_team_limit(&spec.team, spec.cpus);
        self.check_placement(id, task, &spec);
    }

    fn check_duplicate_run(&mut self, id: &str, task: &str) {
        let others = self.workers.values();
        let twice = others.filter(|w| w.id != id && w.has_task_on_machine(task));
        let twice: Vec<String> = twice.map(|w| w.id.clone()).collect();
        for other in twice {
            self.record_violation(format!("ran_twice {task} on {other} and {id}"));
        }
    }

    fn check_placement(&mut self, id: &str, task: &str, spec: &JobSpec) {
        let w = &self.workers[id];
        let (kind, zone, spot) = (w.machine_type.clone(), w.zone.clone(), w.spot);
        if !satisfies_constraints(spec, &kind, &zone, spot) {
            self.record_violation(format!(
                "wrong_place {task} in {zone} on {kind}, spot {spot}"
            ));
        }
        if !spec.requires_single_zone && !spec.spreads_across_zones {
            return;
        }
        let zones = self.count_tasks_by_zone(job_id_of(task));
        let here = zones.get(&zone).copied().unwrap_or(0);
        if spec.requires_single_zone && zones.len() > 1
            || spec.spreads_across_zones && here > max_tasks_per_zone(spec)
        {
            self.record_violation(format!("wrong_place {task} in {zone}: {zones:?}"));
        }
    }

    /// How many of its tasks are on machines in each zone.
    pub(super) fn count_tasks_by_zone(&self, job: &str) -> BTreeMap<String, u32> {
        let mut zones = BTreeMap::new();
        for w in self.workers.values() {
            let here = w.tasks_on_machine().filter(|t| job_id_of(t) == job);
            let n = here.count() as u32;
            if n > 0 {
                *zones.entry(w.zone.clone()).or_default() += n;
            }
        }
        zones
    }

    /// A team's use grows only when a task starts: it is added up anew only where, with all that
    /// started since the last time, it could be over the limit.
    pub(super) fn check_team_limit(&mut self, team: &str, cpus: f64) {
        let most = self.settings[0].team(team).expect("team").limit_cpus;
        let bound = self.team_cpus_upper_bound.entry(team.into()).or_default();
        *bound += cpus;
        if *bound <= most + 1e-6 {
            return;
        }
        let tasks = self
            .workers
            .values()
            .flat_map(|w| w.tasks_on_machine().map(|t| &self.jobs[job_id_of(t)].spec));
        let used: f64 = tasks.filter(|s| s.team == team).map(|s| s.cpus).sum();
        *bound = used;
        if used > most + 1e-6 && !self.violations.iter().any(|b| b.starts_with("quota")) {
            self.record_violation(format!("quota {team} uses {used} of {most}"));
        }
    }

    /// Tasks of jobs that were called cancelled too long ago.
    pub(super) fn check_cancelled_tasks(&mut self) {
        let now = self.now;
        let over = |j: &SubmittedJob| {
            j.reported_cancelled_at
                .is_some_and(|at| now > at + CANCELLATION_DEADLINE_MS)
        };
        if !self.jobs.values().any(over) {
            return;
        }
        let mut late = vec![];
        for w in self.workers.values() {
            for task in w.tasks_on_machine() {
                if over(&self.jobs[job_id_of(task)]) {
                    late.push(format!("ran_cancelled {task} on {}", w.id));
                }
            }
        }
        for l in late {
            if !self.violations.contains(&l) {
                self.record_violation(l);
            }
        }
    }
}
