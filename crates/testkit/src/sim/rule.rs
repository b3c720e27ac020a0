//! The protocol's rules, looked at when commands leave a node, when a task starts, and in time.
use super::user::Job;
use super::{job_of, Sim, CANCEL_MS};
use crate::outside::Ms;
use std::collections::BTreeMap;
use stonegw_wire::msg::*;

/// By the protocol no task may start once its job is called cancelled. A leader that the state
/// service refuses alone may not know it yet: its own lease lasts 4 s from the last touch, and a
/// call 1.5 s. Later than that no start may be given, wherever the cancellation was told.
const START_MS: Ms = 6_000;
/// Sums of CPUs and memory are compared with this margin.
pub(super) const MARGIN: f64 = 1e-6;
/// How many tasks of a job that is spread may be in one zone.
pub(super) fn half(spec: &JobSpec) -> u32 {
    spec.tasks.div_ceil(2)
}

/// Whether a job may run on such a machine, its other tasks aside.
pub(super) fn allowed(spec: &JobSpec, kind: &str, zone: &str, spot: bool) -> bool {
    let types = spec.types.as_ref();
    types.is_none_or(|l| l.iter().any(|t| t == kind))
        && spec.zone.as_ref().is_none_or(|z| z == zone)
        && (spec.spot || !spot)
}

impl Sim {
    /// Commands leave a node. None of them starts what has been called cancelled for long, unless the
    /// same message stops it: that uses up an attempt which may still arrive.
    pub(super) fn given(&mut self, node: usize, body: &[u8]) {
        let now = self.now;
        let over = |j: &Job| j.cancelled_at.is_some_and(|at| now > at + START_MS);
        if !self.any_cancelled {
            return;
        }
        let Ok(orders) = decode::<Orders>(body) else {
            return;
        };
        let stops = |task: &str| {
            let stop = |c: &Command| matches!(c, Command::Stop { task: t, .. } if t == task);
            orders.commands.iter().any(stop)
        };
        for c in &orders.commands {
            if let Command::Start { task, .. } = c {
                let job = self.jobs.get(job_of(task));
                if job.is_some_and(over) && !stops(task) {
                    self.broke(format!("started_cancelled {task} by node-{node}"));
                }
            }
        }
    }

    /// A task is on a machine from now on: no rule may forbid it.
    pub(super) fn started(&mut self, id: &str, task: &str, attempt: u64) {
        self.note(format!("{task}#{attempt} starts on {id}"));
        self.check_twice(id, task);
        let j = self.jobs.get_mut(job_of(task)).expect("job");
        let (spec, told) = (j.spec.clone(), j.cancelled_at);
        if spec.kind != JobKind::Gang {
            // A gang starts when all its tasks run.
            j.begun.get_or_insert(self.now);
            j.waits_since = None;
        }
        if told.is_some_and(|at| self.now > at + CANCEL_MS) {
            self.broke(format!("ran_cancelled {task} starts on {id}"));
        }
        self.check_team(&spec.team, spec.cpus);
        self.check_place(id, task, &spec);
    }

    fn check_twice(&mut self, id: &str, task: &str) {
        let others = self.workers.values();
        let twice = others.filter(|w| w.id != id && w.on_machine(task));
        let twice: Vec<String> = twice.map(|w| w.id.clone()).collect();
        for other in twice {
            self.broke(format!("ran_twice {task} on {other} and {id}"));
        }
    }

    fn check_place(&mut self, id: &str, task: &str, spec: &JobSpec) {
        let w = &self.workers[id];
        let (kind, zone, spot) = (w.kind.clone(), w.zone.clone(), w.spot);
        if !allowed(spec, &kind, &zone, spot) {
            self.broke(format!(
                "wrong_place {task} in {zone} on {kind}, spot {spot}"
            ));
        }
        if !spec.one_zone && !spec.spread {
            return;
        }
        let zones = self.zones_of(job_of(task));
        let here = zones.get(&zone).copied().unwrap_or(0);
        if spec.one_zone && zones.len() > 1 || spec.spread && here > half(spec) {
            self.broke(format!("wrong_place {task} in {zone}: {zones:?}"));
        }
    }

    /// How many of its tasks are on machines in each zone.
    pub(super) fn zones_of(&self, job: &str) -> BTreeMap<String, u32> {
        let mut zones = BTreeMap::new();
        for w in self.workers.values() {
            let here = w.tasks_on_machine().filter(|t| job_of(t) == job);
            let n = here.count() as u32;
            if n > 0 {
                *zones.entry(w.zone.clone()).or_default() += n;
            }
        }
        zones
    }

    /// A team's use grows only when a task starts: it is added up anew only where, with all that
    /// started since the last time, it could be over the limit.
    pub(super) fn check_team(&mut self, team: &str, cpus: f64) {
        let most = self.settings[0].team(team).expect("team").cpus_max;
        let bound = self.team_bound.entry(team.into()).or_default();
        *bound += cpus;
        if *bound <= most + 1e-6 {
            return;
        }
        let tasks = self
            .workers
            .values()
            .flat_map(|w| w.tasks_on_machine().map(|t| &self.jobs[job_of(t)].spec));
        let used: f64 = tasks.filter(|s| s.team == team).map(|s| s.cpus).sum();
        *bound = used;
        if used > most + 1e-6 && !self.broken.iter().any(|b| b.starts_with("quota")) {
            self.broke(format!("quota {team} uses {used} of {most}"));
        }
    }

    /// Tasks of jobs that were called cancelled too long ago.
    pub(super) fn check_cancelled(&mut self) {
        let now = self.now;
        let over = |j: &Job| j.cancelled_at.is_some_and(|at| now > at + CANCEL_MS);
        if !self.jobs.values().any(over) {
            return;
        }
        let mut late = vec![];
        for w in self.workers.values() {
            for task in w.tasks_on_machine() {
                if over(&self.jobs[job_of(task)]) {
                    late.push(format!("ran_cancelled {task} on {}", w.id));
                }
            }
        }
        for l in late {
            if !self.broken.contains(&l) {
                self.broke(l);
            }
        }
    }
}
