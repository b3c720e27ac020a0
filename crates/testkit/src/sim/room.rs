//! After the troubles no job waits for long beside room for it (the operators' page).
use super::rule::{allowed, half, MARGIN};
use super::setup::{MACHINE_CPUS, MACHINE_GB};
use super::user::Job;
use super::{job_of, Sim};
use crate::outside::{Ms, Worker};
use std::collections::BTreeMap;
use stonegw_wire::msg::*;

const WAIT_MS: Ms = 90_000;

/// What is free on a machine that takes tasks.
struct Free<'a> {
    worker: &'a Worker,
    cpus: f64,
    memory_gb: f64,
}

/// What is free on each machine, and what each team and job has.
#[derive(Default)]
struct Usage<'a> {
    free: Vec<Free<'a>>,
    team_cpus: BTreeMap<&'a str, f64>,
    job_tasks: BTreeMap<&'a str, u32>,
}

/// How many tasks of a gang each zone has room for, with those that wait there.
fn gang_slots(id: &str, spec: &JobSpec, usage: &Usage) -> BTreeMap<String, u32> {
    let mut zones = BTreeMap::new();
    for f in &usage.free {
        let w = f.worker;
        if !allowed(spec, &w.kind, &w.zone, w.spot) {
            continue;
        }
        let here = w.tasks.iter();
        let own = here.filter(|((task, _), t)| job_of(task) == id && t.present());
        let free = (f.cpus / spec.cpus).min(f.memory_gb / spec.memory_gb);
        *zones.entry(w.zone.clone()).or_default() += free.max(0.0) as u32 + own.count() as u32;
    }
    zones
}

impl Sim {
    fn usage(&self) -> Usage<'_> {
        let mut usage = Usage::default();
        for w in self.workers.values() {
            let (mut cpus, mut memory_gb) = (MACHINE_CPUS, MACHINE_GB);
            let tasks = w.tasks.iter();
            for ((task, _), _) in tasks.filter(|(_, t)| t.present()) {
                let job = job_of(task);
                let spec = &self.jobs[job].spec;
                cpus -= spec.cpus;
                memory_gb -= spec.memory_gb;
                *usage.team_cpus.entry(&spec.team).or_default() += spec.cpus;
                *usage.job_tasks.entry(job).or_default() += 1;
            }
            if w.grid <= self.now && w.notice_s.is_none() && w.taken_at.is_none() {
                usage.free.push(Free {
                    worker: w,
                    cpus: cpus + MARGIN,
                    memory_gb: memory_gb + MARGIN,
                });
            }
        }
        usage
    }

    /// A machine on which a task of that job could start.
    fn room_for(&self, id: &str, job: &Job, usage: &Usage) -> Option<String> {
        let spec = &job.spec;
        if spec.kind == JobKind::Gang {
            return self.gang_room(id, job, usage);
        }
        let there = usage.job_tasks.get(id).copied().unwrap_or(0);
        let team_cpus = usage.team_cpus.get(spec.team.as_str());
        let used = team_cpus.copied().unwrap_or(0.0);
        let all_there = job.finished.len() as u32 + there >= spec.tasks;
        if all_there || used + spec.cpus > self.team_limit(&spec.team) + MARGIN {
            return None;
        }
        let zones = match spec.one_zone || spec.spread {
            true => self.zones_of(id),
            false => BTreeMap::new(),
        };
        let fits = usage.free.iter().find(|f| {
            let w = f.worker;
            let here = zones.get(&w.zone).copied().unwrap_or(0);
            let zone_ok = (!spec.one_zone || zones.is_empty() || here > 0)
                && (!spec.spread || here < half(spec));
            let room = f.cpus >= spec.cpus && f.memory_gb >= spec.memory_gb;
            room && zone_ok && allowed(spec, &w.kind, &w.zone, w.spot)
        });
        fits.map(|f| f.worker.id.clone())
    }

    /// A zone, or all of them, in which the whole of a gang that does not run could start. The
    /// room that its waiting tasks occupy counts as free for it.
    fn gang_room(&self, id: &str, job: &Job, usage: &Usage) -> Option<String> {
        let spec = &job.spec;
        let tasks = || self.workers.values().flat_map(|w| &w.tasks);
        let mut own = tasks().filter(|((task, _), t)| job_of(task) == id && t.present());
        let runs = own.any(|(_, t)| t.state == TaskState::Running);
        if runs || !job.finished.is_empty() {
            return None;
        }
        let there = usage.job_tasks.get(id).copied().unwrap_or(0);
        let used = usage.team_cpus.get(spec.team.as_str()).copied();
        let more = f64::from(spec.tasks) - f64::from(there);
        if used.unwrap_or(0.0) + more * spec.cpus > self.team_limit(&spec.team) + MARGIN {
            return None;
        }
        let zones = gang_slots(id, spec, usage);
        let most = if spec.spread { half(spec) } else { spec.tasks };
        if spec.one_zone {
            let zone = zones
                .into_iter()
                .find(|(_, n)| (*n).min(most) >= spec.tasks);
            return zone.map(|(zone, _)| format!("zone {zone}"));
        }
        let slots: u32 = zones.values().map(|n| (*n).min(most)).sum();
        (slots >= spec.tasks).then(|| "all zones".to_owned())
    }

    fn team_limit(&self, team: &str) -> f64 {
        self.settings[0].team(team).map_or(0.0, |t| t.cpus_max)
    }

    /// After the troubles no job waits for long beside room for one of its tasks.
    pub(super) fn check_room(&mut self) {
        let now = self.now;
        let usage = self.usage();
        let open = self.jobs.iter().filter(|(_, j)| j.open());
        let waits: BTreeMap<String, String> = open
            .filter_map(|(id, j)| Some((id.clone(), self.room_for(id, j, &usage)?)))
            .collect();
        let mut broken = vec![];
        for (id, j) in &mut self.jobs {
            let Some(machine) = waits.get(id) else {
                j.waits_since = None;
                continue;
            };
            if now > *j.waits_since.get_or_insert(now) + WAIT_MS {
                j.waits_since = None;
                broken.push(format!("waits_beside_room {id} on {machine}"));
            }
        }
        broken.into_iter().for_each(|b| self.broke(b));
    }
}
