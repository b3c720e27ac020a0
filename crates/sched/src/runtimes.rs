//! Run-time histograms per job and machine type, learned from finished reports and seeded by
//! the owner's estimate.
use crate::curve::Curve;
use hdrhistogram::Histogram;
use stonegw_constants::{MAX_RUN_MS, OBSERVED_WEIGHT, SEED_FACTORS};

/// The run times of one job on one machine type.
#[derive(Debug)]
pub struct RunTimes {
    histogram: Histogram<u32>,
    run: Curve,
    cumulative: Curve,
    mean: f64,
    /// The recorded times in s with their counts, shortest first.
    points: Vec<(f64, u32)>,
    fresh: bool,
    /// Number of finished runs recorded.
    pub observed: u32,
}

fn ms(s: f64) -> u64 {
    ((s * 1e3) as u64).clamp(1, MAX_RUN_MS)
}

impl RunTimes {
    /// `scale` corrects the estimate by what other finished work showed; 1 if nothing did.
    pub fn seeded(estimate_s: f64, scale: f64) -> RunTimes {
        let mut histogram = Histogram::new_with_bounds(1, MAX_RUN_MS, 2).expect("valid bounds");
        for f in SEED_FACTORS {
            histogram.saturating_record(ms(estimate_s * scale * f));
        }
        RunTimes {
            histogram,
            run: Curve::zero(),
            cumulative: Curve::zero(),
            mean: 0.0,
            points: vec![],
            fresh: false,
            observed: 0,
        }
    }

    /// Records a finished run of `run_s` seconds.
    pub fn record(&mut self, run_s: f64) {
        self.histogram
            .saturating_record_n(ms(run_s), OBSERVED_WEIGHT);
        self.observed += 1;
        self.fresh = false;
    }

    /// The histogram is walked once a change, not once a question: it has thousands of cells.
    fn refresh(&mut self) {
        if self.fresh {
            return;
        }
        self.run = Curve::zero();
        self.points.clear();
        let total = self.histogram.len() as f64;
        for v in self.histogram.iter_recorded() {
            let (s, n) = (v.value_iterated_to() as f64 / 1e3, v.count_at_value());
            self.run.add(s, f64::from(n) / total);
            self.points.push((s, n));
        }
        self.cumulative = self.run.cumulative();
        self.mean = self.histogram.mean() / 1e3;
        self.fresh = true;
    }

    /// Distribution of the run time.
    pub fn run(&mut self) -> &Curve {
        self.refresh();
        &self.run
    }

    /// Cumulative distribution of the run time.
    pub fn cumulative(&mut self) -> &Curve {
        self.refresh();
        &self.cumulative
    }

    /// Mean run time, s.
    pub fn mean_s(&mut self) -> f64 {
        self.refresh();
        self.mean
    }

    /// What is left of a run that has lasted `elapsed_s`: the part of the histogram above it.
    /// A run longer than anything seen may end any moment.
    pub fn left(&mut self, elapsed_s: f64) -> Curve {
        self.refresh();
        let from = self.points.partition_point(|p| p.0 <= elapsed_s);
        let rest = &self.points[from..];
        let mass: u32 = rest.iter().map(|p| p.1).sum();
        if mass == 0 {
            return Curve::at(elapsed_s * 0.2);
        }
        let mut out = Curve::zero();
        for (s, n) in rest {
            out.add(s - elapsed_s, f64::from(*n) / f64::from(mass));
        }
        out
    }
}
