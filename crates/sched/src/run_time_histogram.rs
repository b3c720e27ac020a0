//! Run-time histograms per job and machine type. They are seeded with the owner's estimate and
//! learn from the runs that heartbeats report as finished.
use crate::time_distribution::TimeDistribution;
use hdrhistogram::Histogram;
use stonegw_constants::{ESTIMATE_QUANTILE_FACTORS, MAX_RUN_TIME_MS, OBSERVED_RUN_WEIGHT};

/// Expected remaining time of a run that is longer than any recorded one, as a fraction of the time
/// for which it has run.
const OVERRUN_FRACTION: f64 = 0.2;

/// The run times of one job on one machine type.
#[derive(Debug)]
pub struct RunTimeHistogram {
    histogram: Histogram<u32>,
    distribution: TimeDistribution,
    cumulative: TimeDistribution,
    mean_s: f64,
    /// The non-empty cells of the histogram in ascending order of run time.
    recorded_run_times: Vec<RecordedRunTime>,
    is_up_to_date: bool,
    /// Number of finished runs recorded, not counting the estimate.
    pub observed_runs: u32,
}

/// A non-empty cell of the histogram.
#[derive(Debug)]
struct RecordedRunTime {
    run_time_s: f64,
    count: u32,
}

/// Converts a run time to milliseconds, limited to the range that the histogram records.
fn clamped_ms(run_time_s: f64) -> u64 {
    ((run_time_s * 1e3) as u64).clamp(1, MAX_RUN_TIME_MS)
}

impl RunTimeHistogram {
    /// Creates a histogram that holds only the owner's estimate, multiplied by `scale`. `scale` is
    /// the ratio of run time to estimate that finished jobs showed, or 1 if there are none.
    pub fn from_estimate(estimate_s: f64, scale: f64) -> RunTimeHistogram {
        let mut histogram =
            Histogram::new_with_bounds(1, MAX_RUN_TIME_MS, 2).expect("valid bounds");
        for quantile_factor in ESTIMATE_QUANTILE_FACTORS {
            histogram.saturating_record(clamped_ms(estimate_s * scale * quantile_factor));
        }
        RunTimeHistogram {
            histogram,
            distribution: TimeDistribution::empty(),
            cumulative: TimeDistribution::empty(),
            mean_s: 0.0,
            recorded_run_times: vec![],
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

    /// Updates the values derived from the histogram if runs have been recorded since the last
    /// update. The histogram has thousands of cells, so it is iterated once per change and not once
    /// per query.
    fn refresh(&mut self) {
        if self.is_up_to_date {
            return;
        }
        self.distribution = TimeDistribution::empty();
        self.recorded_run_times.clear();
        let total = self.histogram.len() as f64;
        for cell in self.histogram.iter_recorded() {
            let run_time_s = cell.value_iterated_to() as f64 / 1e3;
            let count = cell.count_at_value();
            self.distribution
                .add_mass(run_time_s, f64::from(count) / total);
            self.recorded_run_times
                .push(RecordedRunTime { run_time_s, count });
        }
        self.cumulative = self.distribution.cumulative();
        self.mean_s = self.histogram.mean() / 1e3;
        self.is_up_to_date = true;
    }

    /// Returns the distribution of the run time.
    pub fn distribution(&mut self) -> &TimeDistribution {
        self.refresh();
        &self.distribution
    }

    /// Returns the cumulative distribution of the run time.
    pub fn cumulative(&mut self) -> &TimeDistribution {
        self.refresh();
        &self.cumulative
    }

    /// Returns the mean run time in seconds.
    pub fn mean_s(&mut self) -> f64 {
        self.refresh();
        self.mean_s
    }

    /// Returns the distribution of the remaining time of a run that has lasted `elapsed_s`, from
    /// the part of the histogram above `elapsed_s`. A run that is longer than any recorded one may
    /// end at any moment; its remaining time is taken to be `OVERRUN_FRACTION` of `elapsed_s`.
    pub fn remaining_after(&mut self, elapsed_s: f64) -> TimeDistribution {
        self.refresh();
        let first_longer = self
            .recorded_run_times
            .partition_point(|recorded| recorded.run_time_s <= elapsed_s);
        let longer = &self.recorded_run_times[first_longer..];
        let total: u32 = longer.iter().map(|recorded| recorded.count).sum();
        if total == 0 {
            return TimeDistribution::point_mass(elapsed_s * OVERRUN_FRACTION);
        }
        let mut remaining = TimeDistribution::empty();
        for recorded in longer {
            remaining.add_mass(
                recorded.run_time_s - elapsed_s,
                f64::from(recorded.count) / f64::from(total),
            );
        }
        remaining
    }
}
