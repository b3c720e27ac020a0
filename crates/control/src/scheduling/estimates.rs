//! Run-time estimates: histograms per job and machine type, seeded with the owners' estimates.
use crate::records::ObservedRunTimes;
use std::collections::HashMap;
use stonegw_constants::{ESTIMATE_PRIOR_JOBS, MAX_INHERITED_RUNS};
use stonegw_sched::run_time_histogram::RunTimeHistogram;
use stonegw_wire::msg::JobSpec;

/// Run times observed in this term, and those that earlier leaders observed and stored.
#[derive(Default)]
pub struct RunTimeEstimates {
    /// Run-time histograms by job and machine type.
    run_times: HashMap<String, HashMap<String, RunTimeHistogram>>,
    /// Observed runs by job, over all machine types.
    observed_runs: HashMap<String, ObservedRuns>,
    /// By class, how far the owners' estimates deviate from the run times.
    estimate_ratios: HashMap<String, EstimateRatios>,
}

/// The observed runs of one job.
#[derive(Clone, Copy, Debug, Default)]
pub struct ObservedRuns {
    /// Number of runs.
    pub count: u32,
    /// Sum of their run times, in seconds.
    pub total_s: f64,
}

impl ObservedRuns {
    /// Returns the mean run time in seconds, or 0 if there are no runs.
    pub fn mean_s(&self) -> f64 {
        self.total_s / f64::from(self.count.max(1))
    }
}

/// The ratios of run time to estimate of the ended jobs of a class.
#[derive(Clone, Copy, Debug, Default)]
struct EstimateRatios {
    job_count: f64,
    log_sum: f64,
}

impl RunTimeEstimates {
    /// Returns the run-time histogram of a job on a machine type, and creates it if there is none.
    pub fn run_time_histogram(
        &mut self,
        spec: &JobSpec,
        machine_type: &str,
    ) -> &mut RunTimeHistogram {
        let by_type = self.run_times.get(&spec.id);
        if !by_type.is_some_and(|by_type| by_type.contains_key(machine_type)) {
            let histogram = self.initial_histogram(spec);
            let by_type = self.run_times.entry(spec.id.clone()).or_default();
            by_type.insert(machine_type.into(), histogram);
        }
        let by_type = self.run_times.get_mut(&spec.id).expect("just inserted");
        by_type.get_mut(machine_type).expect("just inserted")
    }

    /// Returns a histogram of the owner's estimate and the job's observed runs on all machine
    /// types, which include those that an earlier leader observed. The observed runs are recorded
    /// at their mean run time and count as at most `MAX_INHERITED_RUNS` runs.
    fn initial_histogram(&self, spec: &JobSpec) -> RunTimeHistogram {
        let scale = self.estimate_scale(&spec.class);
        let mut histogram = RunTimeHistogram::from_estimate(spec.estimated_run_time_s, scale);
        let observed = self.observed_runs(&spec.id);
        for _ in 0..observed.count.min(MAX_INHERITED_RUNS) {
            histogram.record_run(observed.mean_s());
        }
        histogram
    }

    /// Records that a task of the job ran for `run_s` seconds on a machine of this type.
    pub fn record_run(&mut self, spec: &JobSpec, machine_type: &str, run_s: f64) {
        self.run_time_histogram(spec, machine_type)
            .record_run(run_s);
        let observed = self.observed_runs.entry(spec.id.clone()).or_default();
        observed.count += 1;
        observed.total_s += run_s;
    }

    /// Removes the run times of a job that has ended.
    pub fn forget_job(&mut self, job: &str) {
        self.run_times.remove(job);
        self.observed_runs.remove(job);
    }

    /// Returns the observed runs of a job.
    pub fn observed_runs(&self, job: &str) -> ObservedRuns {
        self.observed_runs.get(job).copied().unwrap_or_default()
    }

    /// Adopts the runs of a job that an earlier leader observed. Otherwise the histograms would
    /// start from the owners' estimates again, and wrong estimates lead to dropped tasks and too
    /// small a cluster.
    pub fn inherit_observed_runs(&mut self, job: &str, count: u32, mean_s: f64) {
        if count > 0 && mean_s.is_finite() && mean_s > 0.0 {
            let total_s = mean_s * f64::from(count);
            self.observed_runs
                .insert(job.into(), ObservedRuns { count, total_s });
        }
    }

    /// Returns the ratio of the job's mean run time to its estimate, to be stored for its class.
    /// Returns `None` if the job has no observed runs or no estimate.
    pub fn observed_run_times(&self, spec: &JobSpec) -> Option<ObservedRunTimes> {
        let observed = self.observed_runs(&spec.id);
        (observed.count > 0 && spec.estimated_run_time_s > 0.0).then(|| ObservedRunTimes {
            class: spec.class.clone(),
            run_to_estimate_ratio: observed.mean_s() / spec.estimated_run_time_s,
        })
    }

    /// Records the ratio of run time to estimate of an ended job of the class. The ratio corrects
    /// the estimates of the whole class, because on some days owners err in the same direction.
    pub fn record_estimate_ratio(&mut self, class: &str, ratio: f64) {
        if ratio.is_finite() && ratio > 0.0 {
            let ratios = self.estimate_ratios.entry(class.into()).or_default();
            ratios.job_count += 1.0;
            ratios.log_sum += ratio.ln();
        }
    }

    /// Returns the factor by which to correct the estimates of the class. It is the geometric mean
    /// of the recorded ratios, in which the estimates themselves count as `ESTIMATE_PRIOR_JOBS`
    /// further jobs with a ratio of 1.
    pub fn estimate_scale(&self, class: &str) -> f64 {
        let ratios = self.estimate_ratios.get(class).copied().unwrap_or_default();
        (ratios.log_sum / (ratios.job_count + ESTIMATE_PRIOR_JOBS)).exp()
    }

    /// Returns the mean run time in seconds on the machine type with the most observed runs, or the
    /// corrected estimate if the job has no histogram.
    pub fn mean_run_s(&mut self, spec: &JobSpec) -> f64 {
        let estimate_s = spec.estimated_run_time_s * self.estimate_scale(&spec.class);
        let Some(by_type) = self.run_times.get_mut(&spec.id) else {
            return estimate_s;
        };
        let most_observed = by_type
            .values_mut()
            .max_by_key(|histogram| histogram.observed_runs);
        most_observed.map_or(estimate_s, RunTimeHistogram::mean_s)
    }
}
