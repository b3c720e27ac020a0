//! Run-time estimates: histograms by job and machine type, seeded by the users' estimates.
use crate::records::ObservedRunTimes;
use std::collections::HashMap;
use stonegw_constants::{ESTIMATE_PRIOR_JOBS, MAX_INHERITED_RUNS};
use stonegw_sched::run_time_histogram::RunTimeHistogram;
use stonegw_wire::msg::JobSpec;

/// Run times observed in this term, and what earlier leaders stored of theirs.
#[derive(Default)]
pub struct RunTimeEstimates {
    /// Run times by job and machine type.
    run_times: HashMap<String, HashMap<String, RunTimeHistogram>>,
    /// Runs per job: how many and their sum in s, over all types.
    observed_runs: HashMap<String, (u32, f64)>,
    /// Per class: how many jobs ended, and the sum of the logarithms of run over estimate.
    estimate_ratios: HashMap<String, (f64, f64)>,
}

impl RunTimeEstimates {
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
