//! What runs where. Deadline work by the design's rules: once a second each task picks its
//! best-chance machine and the soonest-finishing pair goes first; what is below the deferring
//! threshold waits; held tasks below the drop threshold leave their queue while the toggle is
//! on. Everything else fills leftover room first fit.
use crate::aging::AgingReservation;
use crate::api::Millis;
use crate::cluster::zone_allows;
use crate::cluster::{JobState, Lifecycle, Machine, Phase};
use crate::context::LeaderContext;
use crate::gang::GangReservation;
use crate::leader::Leader;
use crate::preemption::PreemptionPlan;
use crate::records::ObservedRunTimes;
use crate::resources::Resources;
use std::collections::HashMap;
use stonegw_constants::{
    ESTIMATE_PRIOR_JOBS, MAX_INHERITED_RUNS, RESOURCE_EPSILON, URGENT_PLACEMENT_INTERVAL_MS,
};
use stonegw_sched::pruner::Pruner;
use stonegw_sched::run_time_histogram::RunTimeHistogram;
use stonegw_wire::msg::{JobSpec, Priority};

mod deadline_placement;
mod first_fit;
mod machine_queues;

/// What the scheduler holds between its events.
#[derive(Default)]
pub struct Scheduler {
    /// Drops and defers work that is hardly ever in time.
    pub pruner: Pruner,
    /// Run times seen, by job and machine type.
    run_times: HashMap<String, HashMap<String, RunTimeHistogram>>,
    /// When the next mapping is due.
    next_full_pass_at: Millis,
    /// No first fit for urgent work before.
    next_urgent_pass_at: Millis,
    /// Runs per job: how many and their sum in s, over all types.
    observed_runs: HashMap<String, (u32, f64)>,
    /// What is kept for jobs that waited for long.
    pub aging_reservations: HashMap<String, AgingReservation>,
    /// What is reserved for gangs that wait.
    pub gang_reservations: HashMap<String, GangReservation>,
    /// Where lesser work is being stopped for urgent jobs.
    pub preemption_plans: Vec<PreemptionPlan>,
    /// Per class: how many jobs ended, and the sum of the logarithms of run over estimate.
    estimate_ratios: HashMap<String, (f64, f64)>,
}

impl Scheduler {
    /// The run times of a job on a machine type.
    pub fn run_time_histogram(&mut self, spec: &JobSpec, kind: &str) -> &mut RunTimeHistogram {
        let known = self
            .run_times
            .get(&spec.id)
            .is_some_and(|t| t.contains_key(kind));
        if !known {
            let scale = self.estimate_scale(&spec.class);
            let mut runs = RunTimeHistogram::from_estimate(spec.estimated_run_time_s, scale);
            // What an earlier leader saw counts as much as a few runs of our own.
            let seen = self.observed_runs.get(&spec.id).copied();
            if let Some((n, sum)) = seen.filter(|s| s.0 > 0) {
                for _ in 0..n.min(MAX_INHERITED_RUNS) {
                    runs.record_run(sum / f64::from(n));
                }
            }
            let per_type = self.run_times.entry(spec.id.clone()).or_default();
            per_type.insert(kind.into(), runs);
        }
        let per_type = self.run_times.get_mut(&spec.id).expect("just inserted");
        per_type.get_mut(kind).expect("just inserted")
    }

    /// A task of the job ran for so long on such a machine.
    pub fn record_run(&mut self, spec: &JobSpec, kind: &str, run_s: f64) {
        self.run_time_histogram(spec, kind).record_run(run_s);
        let o = self.observed_runs.entry(spec.id.clone()).or_default();
        o.0 += 1;
        o.1 += run_s;
    }

    /// The job ended.
    pub fn forget_job(&mut self, job: &str) {
        self.run_times.remove(job);
        self.observed_runs.remove(job);
    }

    /// Runs observed of a job and their mean.
    pub fn observed_runs(&self, job: &str) -> (u32, f64) {
        let (n, sum) = self.observed_runs.get(job).copied().unwrap_or_default();
        (n, sum / f64::from(n.max(1)))
    }

    /// What an earlier leader had observed of a job. Without it the histograms would start
    /// from estimates again, and wrong estimates drive drops and too small a fleet.
    pub fn inherit_observed_runs(&mut self, job: &str, runs: u32, run_s: f64) {
        if runs > 0 && run_s.is_finite() && run_s > 0.0 {
            let sum = run_s * f64::from(runs);
            self.observed_runs.insert(job.into(), (runs, sum));
        }
    }

    /// What the job's runs tell of its class's estimates, to be stored.
    pub fn observed_run_times(&self, spec: &JobSpec) -> Option<ObservedRunTimes> {
        let (n, mean) = self.observed_runs(&spec.id);
        (n > 0 && spec.estimated_run_time_s > 0.0).then(|| ObservedRunTimes {
            class: spec.class.clone(),
            run_to_estimate_ratio: mean / spec.estimated_run_time_s,
        })
    }

    /// A job of the class ended: owners err alike on some days.
    pub fn record_estimate_ratio(&mut self, class: &str, ratio: f64) {
        if ratio.is_finite() && ratio > 0.0 {
            let r = self.estimate_ratios.entry(class.into()).or_default();
            r.0 += 1.0;
            r.1 += ratio.ln();
        }
    }

    /// By how much the class's estimates are off, with a few jobs' worth of trust in them.
    pub fn estimate_scale(&self, class: &str) -> f64 {
        let (n, sum) = self.estimate_ratios.get(class).copied().unwrap_or_default();
        (sum / (n + ESTIMATE_PRIOR_JOBS)).exp()
    }

    /// The mean run time over the types seen so far, or the estimate.
    pub fn mean_run_s(&mut self, spec: &JobSpec) -> f64 {
        let guess = spec.estimated_run_time_s * self.estimate_scale(&spec.class);
        let Some(per_type) = self.run_times.get_mut(&spec.id) else {
            return guess;
        };
        let best = per_type.values_mut().max_by_key(|r| r.observed_runs);
        best.map_or(guess, RunTimeHistogram::mean_s)
    }
}

/// What goes first: by priority, then what is within its team's guarantee.
type PlacementRank = (Priority, bool);

/// Fetches at the same time share the rate.
fn image_fetch_s_per_gb(m: &Machine, rate: f64) -> f64 {
    let fetching = m.placements.iter().any(|p| p.phase == Phase::Fetching);
    let share = if fetching { 2.0 } else { 1.0 };
    share / rate.max(0.01)
}

impl Leader {
    /// Whether a machine takes new tasks at all.
    fn accepts_tasks(&self, context: &LeaderContext, m: &Machine) -> bool {
        m.lifecycle == Lifecycle::Ready
            && !m.is_silent(
                context.now.monotonic_ms,
                context.settings.heartbeat_interval_s,
            )
            && m.under_current_term
            && !m.via_store
            && m.is_trusted()
            && context.now.monotonic_ms >= m.full_until
    }

    /// Whether a task of this job may go to that machine, which is open, room aside.
    fn meets_constraints(&self, m: &Machine, w: &JobState) -> bool {
        let spec = &w.spec;
        (!m.spot || spec.allows_spot)
            && spec
                .machine_types
                .as_ref()
                .is_none_or(|t| t.contains(&m.machine_type))
            && !w.failures.avoids(&m.id)
            && zone_allows(&self.machines, w, &m.zone)
            && self.group_record_has_capacity(m, &spec.id)
    }

    /// Whether a task of this job may go to that machine now, room aside.
    pub fn is_eligible(&self, context: &LeaderContext, m: &Machine, w: &JobState) -> bool {
        self.accepts_tasks(context, m) && self.meets_constraints(m, w)
    }

    /// Whether the machine has room for one more task.
    pub fn has_capacity(&self, m: &Machine, spec: &JobSpec) -> bool {
        let free = self.free_resources(m);
        free.is_some_and(|free| free.has_capacity_for(&Resources::of_task(spec)))
    }

    /// Whether one more task keeps its team within so many CPUs and cards, besides `extra`.
    fn team_usage_within(
        &self,
        spec: &JobSpec,
        most: Option<(f64, f64)>,
        extra: (f64, f64),
    ) -> bool {
        let (c, g) = self.machines.team_usage(&spec.team);
        most.is_some_and(|most| {
            c + extra.0 + spec.cpus <= most.0 + RESOURCE_EPSILON
                && g + extra.1 + spec.gpus <= most.1 + RESOURCE_EPSILON
        })
    }

    /// Whether the team's limit leaves room for one more task, besides `extra` CPUs and cards.
    pub fn within_limit(&self, context: &LeaderContext, spec: &JobSpec, extra: (f64, f64)) -> bool {
        let team = context.settings.team(&spec.team);
        self.team_usage_within(spec, team.map(|t| (t.limit_cpus, t.limit_gpus)), extra)
    }

    /// Whether one more task stays within the team's guarantee.
    pub fn within_quota(&self, context: &LeaderContext, spec: &JobSpec, extra: (f64, f64)) -> bool {
        let team = context.settings.team(&spec.team);
        self.team_usage_within(spec, team.map(|t| (t.quota_cpus, t.quota_gpus)), extra)
    }

    /// Places urgent work soon after an event, and maps the rest at regular times.
    pub fn schedule(&mut self, context: &mut LeaderContext) {
        let now = context.now.monotonic_ms;
        if self.scheduling_needed && now >= self.scheduler.next_urgent_pass_at {
            self.scheduler.next_urgent_pass_at = now + URGENT_PLACEMENT_INTERVAL_MS;
            self.scheduling_needed = false;
            self.place_first_fit(context, true);
            self.place_gangs_first_fit(context);
            let holding: Vec<String> = self
                .machines
                .values()
                .filter(|m| !m.queued.is_empty())
                .map(|m| m.id.clone())
                .collect();
            for id in holding {
                self.dispatch_queued(context, &id);
            }
        }
        if now >= self.scheduler.next_full_pass_at {
            self.scheduler.next_full_pass_at = now + context.settings.tuning.scheduling_interval_ms;
            self.place_starved(context);
            self.reserve_for_gangs(context);
            self.place_deadline_gangs(context);
            self.place_deadline_jobs(context);
            self.place_first_fit(context, false);
            self.place_deferred(context);
            self.reclaim_quota(context);
        }
    }

    /// Machines with any room: looked for once, not for each task.
    pub fn machines_with_capacity(&self, context: &LeaderContext) -> Vec<String> {
        let open = self
            .machines
            .values()
            .filter(|m| self.accepts_tasks(context, m));
        open.filter(|m| {
            self.machine_type(&m.machine_type)
                .is_some_and(|t| m.free_resources(t).0 > RESOURCE_EPSILON)
        })
        .map(|m| m.id.clone())
        .collect()
    }

    /// Seconds that fetching the job's image takes there.
    pub fn image_fetch_s(&self, m: &Machine, spec: &JobSpec) -> f64 {
        if m.has_image(&spec.image) {
            return 0.0;
        }
        let rate = self
            .machine_type(&m.machine_type)
            .map_or(1.0, |t| t.fetch_gb_per_s);
        image_fetch_s_per_gb(m, rate) * spec.image_size_gb
    }
}
