//! Run-time histograms per job and machine type, seeded by the owner's estimate and learned from
//! the runs that heartbeats report as finished.
use crate::time_distribution::TimeDistribution;
use hdrhistogram::Histogram;
use stonegw_constants::{ESTIMATE_QUANTILE_FACTORS, MAX_RUN_TIME_MS, OBSERVED_RUN_WEIGHT};

/// Expected remaining time of a run that is longer than any recorded one, as a fraction of the
/// time it has run.
const OVERRUN_FRACTION: f64 = 0.2;

/// The run times of one job on one machine type.
#[derive(Debug)]
pub struct RunTimeHistogram {
    histogram: Histogram<u32>,
    distribution: TimeDistribution,
    cumulative: TimeDistribution,
    mean_s: f64,
    /// The recorded run times, shortest first.
    recorded_run_times: Vec<RecordedRunTime>,
    is_up_to_date: bool,
    /// Number of finished runs recorded.
    pub observed_runs: u32,
}

/// A cell of the histogram that is not empty.
#[derive(Debug)]
struct RecordedRunTime {
    run_time_s: f64,
    count: u32,
}

/// A run time as the histogram records it, within its bounds.
fn clamped_ms(run_time_s: f64) -> u64 {
    ((run_time_s * 1e3) as u64).clamp(1, MAX_RUN_TIME_MS)
}

impl RunTimeHistogram {
    /// A histogram that holds only the owner's estimate. `scale` corrects it by the ratio that
    /// finished jobs showed; 1 if there are none.
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

    /// Derives the cached values. The histogram has thousands of cells, so it is walked once per
    /// change and not once per query.
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

    /// Distribution of the remaining time of a run that has lasted `elapsed_s`: the part of the
    /// histogram above it. A run longer than any recorded one may end at any moment.
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
