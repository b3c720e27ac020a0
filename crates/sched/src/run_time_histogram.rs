//! Run-time histograms per job and machine type, learned from finished reports and seeded by
//! the owner's estimate.
use crate::time_distribution::TimeDistribution;
use hdrhistogram::Histogram;
use stonegw_constants::{ESTIMATE_QUANTILE_FACTORS, MAX_RUN_TIME_MS, OBSERVED_RUN_WEIGHT};

/// The run times of one job on one machine type.
#[derive(Debug)]
pub struct RunTimeHistogram {
    histogram: Histogram<u32>,
    distribution: TimeDistribution,
    cumulative: TimeDistribution,
    mean_s: f64,
    /// The recorded times in s with their counts, shortest first.
    recorded_times: Vec<(f64, u32)>,
    is_up_to_date: bool,
    /// Number of finished runs recorded.
    pub observed_runs: u32,
}

fn clamped_ms(s: f64) -> u64 {
    ((s * 1e3) as u64).clamp(1, MAX_RUN_TIME_MS)
}

impl RunTimeHistogram {
    /// `scale` corrects the estimate by what other finished work showed; 1 if nothing did.
    pub fn from_estimate(estimate_s: f64, scale: f64) -> RunTimeHistogram {
        let mut histogram =
            Histogram::new_with_bounds(1, MAX_RUN_TIME_MS, 2).expect("valid bounds");
        for f in ESTIMATE_QUANTILE_FACTORS {
            histogram.saturating_record(clamped_ms(estimate_s * scale * f));
        }
        RunTimeHistogram {
            histogram,
            distribution: TimeDistribution::empty(),
            cumulative: TimeDistribution::empty(),
            mean_s: 0.0,
            recorded_times: vec![],
            is_up_to_date: false,
            observed_runs: 0,
        }
    }

    /// Records a finished run of `run_s` seconds.
    pub fn record_run(&mut self, run_s: f64) {
        self.histogram
            .saturating_record_n(clamped_ms(run_s), OBSERVED_RUN_WEIGHT);
        self.observed_runs += 1;
        self.is_up_to_date = false;
    }

    /// The histogram is walked once a change, not once a question: it has thousands of cells.
    fn refresh(&mut self) {
        if self.is_up_to_date {
            return;
        }
        self.distribution = TimeDistribution::empty();
        self.recorded_times.clear();
        let total = self.histogram.len() as f64;
        for v in self.histogram.iter_recorded() {
            let (s, n) = (v.value_iterated_to() as f64 / 1e3, v.count_at_value());
            self.distribution.add_mass(s, f64::from(n) / total);
            self.recorded_times.push((s, n));
        }
        self.cumulative = self.distribution.cumulative();
        self.mean_s = self.histogram.mean() / 1e3;
        self.is_up_to_date = true;
    }

    /// Distribution of the run time.
    pub fn distribution(&mut self) -> &TimeDistribution {
        self.refresh();
        &self.distribution
    }

    /// Cumulative distribution of the run time.
    pub fn cumulative(&mut self) -> &TimeDistribution {
        self.refresh();
        &self.cumulative
    }

    /// Mean run time, s.
    pub fn mean_s(&mut self) -> f64 {
        self.refresh();
        self.mean_s
    }

    /// What is left of a run that has lasted `elapsed_s`: the part of the histogram above it.
    /// A run longer than anything seen may end any moment.
    pub fn remaining_after(&mut self, elapsed_s: f64) -> TimeDistribution {
        self.refresh();
        let from = self.recorded_times.partition_point(|p| p.0 <= elapsed_s);
        let rest = &self.recorded_times[from..];
        let mass: u32 = rest.iter().map(|p| p.1).sum();
        if mass == 0 {
            return TimeDistribution::point_mass(elapsed_s * 0.2);
        }
        let mut out = TimeDistribution::empty();
        for (s, n) in rest {
            out.add_mass(s - elapsed_s, f64::from(*n) / f64::from(mass));
        }
        out
    }
}
