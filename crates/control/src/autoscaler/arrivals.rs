//! Recent submissions and ends of jobs. The sizing assumes that arrivals continue at the recent
//! rate.
use crate::api::Millis;
use crate::pause::Pause;
use std::collections::VecDeque;
use stonegw_constants::{ARRIVAL_RATE_WINDOW_MS, URGENT_ARRIVAL_WINDOW_MS};
use stonegw_wire::msg::JobSpec;

/// A gang that was submitted recently.
#[derive(Clone, Debug)]
struct GangArrival {
    arrived_at: Millis,
    spec: JobSpec,
}

/// A job with a deadline that was submitted recently.
#[derive(Clone, Copy, Debug)]
struct DeadlineArrival {
    arrived_at: Millis,
    /// CPU-seconds that all tasks of the job take together.
    cpu_seconds: f64,
    /// Estimated run time of one task, in s.
    run_s: f64,
}

/// Recent submissions and ends of jobs, by kind of job.
#[derive(Default)]
pub(super) struct RecentArrivals {
    /// Arrival times of tasks of urgent services, one entry per task.
    urgent_arrivals: VecDeque<Millis>,
    /// End times of urgent services, one entry per service.
    urgent_departures: VecDeque<Millis>,
    gangs: Vec<GangArrival>,
    deadline_jobs: VecDeque<DeadlineArrival>,
}

impl RecentArrivals {
    /// Records the end of an urgent service.
    pub(super) fn record_urgent_departure(&mut self, now: Millis) {
        self.urgent_departures.push_back(now);
    }

    /// Records the arrival of one task of an urgent service.
    pub(super) fn record_urgent_arrival(&mut self, now: Millis) {
        self.urgent_arrivals.push_back(now);
        let is_expired = |at: &Millis| now > at + URGENT_ARRIVAL_WINDOW_MS;
        for times in [&mut self.urgent_departures, &mut self.urgent_arrivals] {
            while times.front().is_some_and(is_expired) {
                times.pop_front();
            }
        }
    }

    /// Records the arrival of a gang.
    pub(super) fn record_gang(&mut self, now: Millis, spec: &JobSpec) {
        self.gangs
            .retain(|gang| now <= gang.arrived_at + URGENT_ARRIVAL_WINDOW_MS);
        self.gangs.push(GangArrival {
            arrived_at: now,
            spec: spec.clone(),
        });
    }

    /// Records a job with a deadline that was submitted `age_ms` ago and whose tasks run for about
    /// `run_s` each.
    pub(super) fn record_deadline_job(
        &mut self,
        now: Millis,
        age_ms: u64,
        spec: &JobSpec,
        run_s: f64,
    ) {
        self.deadline_jobs
            .retain(|job| now <= job.arrived_at + ARRIVAL_RATE_WINDOW_MS);
        if age_ms < ARRIVAL_RATE_WINDOW_MS {
            self.deadline_jobs.push_back(DeadlineArrival {
                arrived_at: now.saturating_sub(age_ms),
                cpu_seconds: f64::from(spec.task_count) * spec.cpus * run_s,
                run_s,
            });
        }
    }

    /// Excludes a pause of the process from the rates: arrivals and ends during the pause are
    /// unknown.
    pub(super) fn resume(&mut self, pause: Pause) {
        let urgent = self
            .urgent_arrivals
            .iter_mut()
            .chain(&mut self.urgent_departures);
        let deadline_jobs = self.deadline_jobs.iter_mut().map(|job| &mut job.arrived_at);
        let gangs = self.gangs.iter_mut().map(|gang| &mut gang.arrived_at);
        urgent
            .chain(deadline_jobs)
            .chain(gangs)
            .for_each(|at| pause.shift(at));
    }

    /// Returns how many tasks of urgent services arrived recently.
    pub(super) fn urgent_arrival_count(&self) -> usize {
        self.urgent_arrivals.len()
    }

    /// Returns by how much the recently arrived tasks of urgent services outnumber the urgent
    /// services that ended.
    pub(super) fn urgent_growth(&self) -> usize {
        self.urgent_arrivals
            .len()
            .saturating_sub(self.urgent_departures.len())
    }

    /// Returns the recent gang that takes the most CPUs.
    pub(super) fn largest_gang(&self, now: Millis) -> Option<&JobSpec> {
        let cpus = |spec: &JobSpec| f64::from(spec.task_count) * spec.cpus;
        self.gangs
            .iter()
            .filter(|gang| now <= gang.arrived_at + URGENT_ARRIVAL_WINDOW_MS)
            .map(|gang| &gang.spec)
            .max_by(|a, b| cpus(a).total_cmp(&cpus(b)))
    }

    /// Returns how many CPUs jobs with deadlines would keep busy if they continued to arrive at the
    /// recent rate. Only jobs whose tasks run for less than `run_s` are counted.
    pub(super) fn deadline_cpus_shorter_than(&self, now: Millis, run_s: f64) -> f64 {
        let recent = || {
            self.deadline_jobs
                .iter()
                .filter(|job| now <= job.arrived_at + ARRIVAL_RATE_WINDOW_MS)
        };
        let first_arrived_at = recent().map(|job| job.arrived_at).min().unwrap_or(now);
        let cpu_seconds: f64 = recent()
            .filter(|job| job.run_s < run_s)
            .map(|job| job.cpu_seconds)
            .sum();
        let span_ms = now
            .saturating_sub(first_arrived_at)
            .clamp(ARRIVAL_RATE_WINDOW_MS / 2, ARRIVAL_RATE_WINDOW_MS);
        cpu_seconds / (span_ms as f64 / 1e3)
    }
}
