//! Checks that, once the faults are over, no job waits for long while there is capacity for it. The
//! operators' page promises this.
use super::placement::{max_tasks_per_zone, satisfies_constraints};
use crate::stand_ins::{
    ClusterView, Ms, SubmittedJob, Worker, MACHINE_CPUS, MACHINE_MEMORY_GB, RESOURCE_EPSILON,
};
use std::collections::BTreeMap;
use stonegw_control::settings::Settings;
use stonegw_wire::msg::{JobKind, JobSpec, TaskState};

const MAX_WAIT_DESPITE_CAPACITY_MS: Ms = 90_000;

/// The free resources of a machine that accepts tasks.
struct MachineHeadroom<'a> {
    worker: &'a Worker,
    free_cpus: f64,
    free_memory_gb: f64,
}

/// The free resources of each machine, and the usage of each team and job.
struct ClusterUsage<'a> {
    cluster: ClusterView<'a>,
    settings: &'a Settings,
    machine_headroom: Vec<MachineHeadroom<'a>>,
    team_cpus_used: BTreeMap<&'a str, f64>,
    job_task_counts: BTreeMap<&'a str, u32>,
}

/// Records which jobs wait although there is capacity for them, and returns a violation for each
/// that has done so for longer than [`MAX_WAIT_DESPITE_CAPACITY_MS`].
pub(crate) fn check_waits_despite_capacity(
    workers: &BTreeMap<String, Worker>,
    jobs: &mut BTreeMap<String, SubmittedJob>,
    settings: &Settings,
    now: Ms,
) -> Vec<String> {
    let usage = ClusterUsage::new(ClusterView { workers, jobs }, settings, now);
    let capacity_by_job = usage.find_capacity_by_job();
    let mut violations = vec![];
    for (id, job) in jobs {
        let Some(place) = capacity_by_job.get(id) else {
            job.starved_since = None;
            continue;
        };
        if now > *job.starved_since.get_or_insert(now) + MAX_WAIT_DESPITE_CAPACITY_MS {
            job.starved_since = None;
            violations.push(format!("waits_despite_capacity {id} on {place}"));
        }
    }
    violations
}

impl<'a> ClusterUsage<'a> {
    fn new(cluster: ClusterView<'a>, settings: &'a Settings, now: Ms) -> ClusterUsage<'a> {
        let mut usage = ClusterUsage {
            cluster,
            settings,
            machine_headroom: vec![],
            team_cpus_used: BTreeMap::new(),
            job_task_counts: BTreeMap::new(),
        };
        for worker in cluster.workers.values() {
            usage.add_machine(worker, now);
        }
        usage
    }

    fn add_machine(&mut self, worker: &'a Worker, now: Ms) {
        let mut free_cpus = MACHINE_CPUS;
        let mut free_memory_gb = MACHINE_MEMORY_GB;
        for (key, _) in worker.present_tasks() {
            let job_id = key.job_id();
            let spec = &self.cluster.jobs[job_id].spec;
            free_cpus -= spec.cpus;
            free_memory_gb -= spec.memory_gb;
            *self.team_cpus_used.entry(&spec.team).or_default() += spec.cpus;
            *self.job_task_counts.entry(job_id).or_default() += 1;
        }
        let is_to_be_evicted = worker.eviction_notice_s.is_some() || worker.eviction_at.is_some();
        if worker.ready_at <= now && !is_to_be_evicted {
            self.machine_headroom.push(MachineHeadroom {
                worker,
                free_cpus: free_cpus + RESOURCE_EPSILON,
                free_memory_gb: free_memory_gb + RESOURCE_EPSILON,
            });
        }
    }

    /// Returns the active jobs that could start a task, each with a machine or zone that has the
    /// capacity for it.
    fn find_capacity_by_job(&self) -> BTreeMap<String, String> {
        let active_jobs = self.cluster.jobs.iter().filter(|(_, job)| job.is_active());
        active_jobs
            .filter_map(|(id, job)| Some((id.clone(), self.find_capacity(id, job)?)))
            .collect()
    }

    /// Returns the place where a task of the job (for a gang, the whole gang) could start, if there
    /// is one.
    fn find_capacity(&self, job_id: &str, job: &SubmittedJob) -> Option<String> {
        match job.spec.kind {
            JobKind::Gang => self.find_gang_capacity(job_id, job),
            _ => self.find_task_capacity(job_id, job),
        }
    }

    /// Returns a machine on which a task of the job could start, if there is one.
    fn find_task_capacity(&self, job_id: &str, job: &SubmittedJob) -> Option<String> {
        let spec = &job.spec;
        let all_placed =
            job.finished_tasks.len() as u32 + self.task_count(job_id) >= spec.task_count;
        if all_placed || self.exceeds_team_limit(spec, spec.cpus) {
            return None;
        }
        let counts = match spec.requires_single_zone || spec.spreads_across_zones {
            true => self.cluster.count_tasks_by_zone(job_id),
            false => BTreeMap::new(),
        };
        let fitting = self.machine_headroom.iter().find(|headroom| {
            let worker = headroom.worker;
            let in_zone = counts.get(&worker.zone).copied().unwrap_or(0);
            let zone_allowed = (!spec.requires_single_zone || counts.is_empty() || in_zone > 0)
                && (!spec.spreads_across_zones || in_zone < max_tasks_per_zone(spec));
            let fits = headroom.free_cpus >= spec.cpus && headroom.free_memory_gb >= spec.memory_gb;
            fits && zone_allowed && satisfies_constraints(spec, worker)
        });
        fitting.map(|headroom| headroom.worker.id.clone())
    }

    /// Returns the zone in which all tasks of a gang could run, or `all zones` if it may use
    /// several zones; `None` if they don't fit or would exceed the team's limit, or if the gang
    /// already runs or has finished tasks. Capacity that the gang's own waiting tasks occupy counts
    /// as free.
    fn find_gang_capacity(&self, job_id: &str, job: &SubmittedJob) -> Option<String> {
        let spec = &job.spec;
        let mut tasks = self.cluster.present_tasks_of_job(job_id);
        let is_running = tasks.any(|(_, task)| task.state == TaskState::Running);
        if is_running || !job.finished_tasks.is_empty() {
            return None;
        }
        let unplaced_tasks = f64::from(spec.task_count) - f64::from(self.task_count(job_id));
        if self.exceeds_team_limit(spec, unplaced_tasks * spec.cpus) {
            return None;
        }
        let slots_by_zone = self.count_gang_slots_by_zone(job_id, spec);
        let zone_limit = if spec.spreads_across_zones {
            max_tasks_per_zone(spec)
        } else {
            spec.task_count
        };
        if spec.requires_single_zone {
            let zone = slots_by_zone
                .into_iter()
                .find(|(_, slots)| (*slots).min(zone_limit) >= spec.task_count);
            return zone.map(|(zone, _)| format!("zone {zone}"));
        }
        let slots: u32 = slots_by_zone
            .values()
            .map(|slots| (*slots).min(zone_limit))
            .sum();
        (slots >= spec.task_count).then(|| "all zones".to_owned())
    }

    /// Returns, for each zone, the number of the gang's tasks that fit there, including those that
    /// already wait there.
    fn count_gang_slots_by_zone(&self, job_id: &str, spec: &JobSpec) -> BTreeMap<String, u32> {
        let mut slots_by_zone = BTreeMap::new();
        for headroom in &self.machine_headroom {
            let worker = headroom.worker;
            if !satisfies_constraints(spec, worker) {
                continue;
            }
            let own_tasks = worker
                .present_tasks()
                .filter(|(key, _)| key.job_id() == job_id)
                .count() as u32;
            let free_slots =
                (headroom.free_cpus / spec.cpus).min(headroom.free_memory_gb / spec.memory_gb);
            *slots_by_zone.entry(worker.zone.clone()).or_default() +=
                free_slots.max(0.0) as u32 + own_tasks;
        }
        slots_by_zone
    }

    fn task_count(&self, job_id: &str) -> u32 {
        self.job_task_counts.get(job_id).copied().unwrap_or(0)
    }

    /// Returns whether `more_cpus` additional CPUs would take the job's team over its limit.
    fn exceeds_team_limit(&self, spec: &JobSpec, more_cpus: f64) -> bool {
        let used = self.team_cpus_used.get(spec.team.as_str());
        let team = self.settings.team(&spec.team);
        let limit = team.map_or(0.0, |team| team.limit_cpus);
        used.copied().unwrap_or(0.0) + more_cpus > limit + RESOURCE_EPSILON
    }
}
