//! After the troubles no job waits for long beside room for it (the operators' page).
use super::invariants::{max_tasks_per_zone, satisfies_constraints, RESOURCE_EPSILON};
use super::setup::{MACHINE_CPUS, MACHINE_MEMORY_GB};
use super::user::SubmittedJob;
use super::{job_id_of, Simulation};
use crate::stand_ins::{Ms, Worker};
use std::collections::BTreeMap;
use stonegw_wire::msg::*;

const MAX_WAIT_BESIDE_CAPACITY_MS: Ms = 90_000;

/// What is free on a machine that takes tasks.
struct MachineHeadroom<'a> {
    worker: &'a Worker,
    free_cpus: f64,
    free_memory_gb: f64,
}

/// What is free on each machine, and what each team and job has.
#[derive(Default)]
struct ClusterUsage<'a> {
    machine_headroom: Vec<MachineHeadroom<'a>>,
    team_cpus_used: BTreeMap<&'a str, f64>,
    job_task_counts: BTreeMap<&'a str, u32>,
}

/// How many tasks of a gang each zone has room for, with those that wait there.
fn count_gang_slots_by_zone(
    id: &str,
    spec: &JobSpec,
    usage: &ClusterUsage,
) -> BTreeMap<String, u32> {
    let mut zones = BTreeMap::new();
    for f in &usage.machine_headroom {
        let w = f.worker;
        if !satisfies_constraints(spec, &w.machine_type, &w.zone, w.spot) {
            continue;
        }
        let here = w.tasks.iter();
        let own = here.filter(|((task, _), t)| job_id_of(task) == id && t.is_present());
        let free = (f.free_cpus / spec.cpus).min(f.free_memory_gb / spec.memory_gb);
        *zones.entry(w.zone.clone()).or_default() += free.max(0.0) as u32 + own.count() as u32;
    }
    zones
}

impl Simulation {
    fn cluster_usage(&self) -> ClusterUsage<'_> {
        let mut usage = ClusterUsage::default();
        for w in self.workers.values() {
            let (mut cpus, mut memory_gb) = (MACHINE_CPUS, MACHINE_MEMORY_GB);
            let tasks = w.tasks.iter();
            for ((task, _), _) in tasks.filter(|(_, t)| t.is_present()) {
                let job = job_id_of(task);
                let spec = &self.jobs[job].spec;
                cpus -= spec.cpus;
                memory_gb -= spec.memory_gb;
                *usage.team_cpus_used.entry(&spec.team).or_default() += spec.cpus;
                *usage.job_task_counts.entry(job).or_default() += 1;
            }
            if w.up_since <= self.now && w.eviction_notice_s.is_none() && w.eviction_at.is_none() {
                usage.machine_headroom.push(MachineHeadroom {
                    worker: w,
                    free_cpus: cpus + RESOURCE_EPSILON,
                    free_memory_gb: memory_gb + RESOURCE_EPSILON,
                });
            }
        }
        usage
    }

    /// A machine on which a task of that job could start.
    fn find_capacity(&self, id: &str, job: &SubmittedJob, usage: &ClusterUsage) -> Option<String> {
        let spec = &job.spec;
        if spec.kind == JobKind::Gang {
            return self.find_gang_capacity(id, job, usage);
        }
        let there = usage.job_task_counts.get(id).copied().unwrap_or(0);
        let team_cpus = usage.team_cpus_used.get(spec.team.as_str());
        let used = team_cpus.copied().unwrap_or(0.0);
        let all_there = job.finished_tasks.len() as u32 + there >= spec.task_count;
        if all_there || used + spec.cpus > self.team_cpu_limit(&spec.team) + RESOURCE_EPSILON {
            return None;
        }
        let zones = match spec.requires_single_zone || spec.spreads_across_zones {
            true => self.count_tasks_by_zone(id),
            false => BTreeMap::new(),
        };
        let fits = usage.machine_headroom.iter().find(|f| {
            let w = f.worker;
            let here = zones.get(&w.zone).copied().unwrap_or(0);
            let zone_ok = (!spec.requires_single_zone || zones.is_empty() || here > 0)
                && (!spec.spreads_across_zones || here < max_tasks_per_zone(spec));
            let room = f.free_cpus >= spec.cpus && f.free_memory_gb >= spec.memory_gb;
            room && zone_ok && satisfies_constraints(spec, &w.machine_type, &w.zone, w.spot)
        });
        fits.map(|f| f.worker.id.clone())
    }

    /// A zone, or all of them, in which the whole of a gang that does not run could start. The
    /// room that its waiting tasks occupy counts as free for it.
    fn find_gang_capacity(
        &self,
        id: &str,
        job: &SubmittedJob,
        usage: &ClusterUsage,
    ) -> Option<String> {
        let spec = &job.spec;
        let tasks = || self.workers.values().flat_map(|w| &w.tasks);
        let mut own = tasks().filter(|((task, _), t)| job_id_of(task) == id && t.is_present());
        let runs = own.any(|(_, t)| t.state == TaskState::Running);
        if runs || !job.finished_tasks.is_empty() {
            return None;
        }
        let there = usage.job_task_counts.get(id).copied().unwrap_or(0);
        let used = usage.team_cpus_used.get(spec.team.as_str()).copied();
        let more = f64::from(spec.task_count) - f64::from(there);
        if used.unwrap_or(0.0) + more * spec.cpus
            > self.team_cpu_limit(&spec.team) + RESOURCE_EPSILON
        {
            return None;
        }
        let zones = count_gang_slots_by_zone(id, spec, usage);
        let most = if spec.spreads_across_zones {
            max_tasks_per_zone(spec)
        } else {
            spec.task_count
        };
        if spec.requires_single_zone {
            let zone = zones
                .into_iter()
                .find(|(_, n)| (*n).min(most) >= spec.task_count);
            return zone.map(|(zone, _)| format!("zone {zone}"));
        }
        let slots: u32 = zones.values().map(|n| (*n).min(most)).sum();
        (slots >= spec.task_count).then(|| "all zones".to_owned())
    }

    fn team_cpu_limit(&self, team: &str) -> f64 {
        self.settings[0].team(team).map_or(0.0, |t| t.limit_cpus)
    }

    /// After the troubles no job waits for long beside room for one of its tasks.
    pub(super) fn check_waits_beside_capacity(&mut self) {
        let now = self.now;
        let usage = self.cluster_usage();
        let open = self.jobs.iter().filter(|(_, j)| j.is_active());
        let waits: BTreeMap<String, String> = open
            .filter_map(|(id, j)| Some((id.clone(), self.find_capacity(id, j, &usage)?)))
            .collect();
        let mut broken = vec![];
        for (id, j) in &mut self.jobs {
            let Some(machine) = waits.get(id) else {
                j.starved_since = None;
                continue;
            };
            if now > *j.starved_since.get_or_insert(now) + MAX_WAIT_BESIDE_CAPACITY_MS {
                j.starved_since = None;
                broken.push(format!("waits_beside_room {id} on {machine}"));
            }
        }
        broken.into_iter().for_each(|b| self.record_violation(b));
    }
}
