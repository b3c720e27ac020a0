//! Probability mass functions over time from now, on a fixed grid.
use stonegw_constants::{CURVE_BINS, CURVE_BIN_S};

/// Mass per bin; what lies beyond the grid is missing from the sum. Bin `i` stands for the
/// time `i * BIN_S`.
#[derive(Clone, Debug, PartialEq)]
pub struct TimeDistribution(pub Box<[f32; CURVE_BINS]>);

fn bin_index(s: f64) -> usize {
    (s / CURVE_BIN_S).round().clamp(0.0, CURVE_BINS as f64) as usize
}

impl TimeDistribution {
    /// A curve without any mass.
    pub fn empty() -> TimeDistribution {
        TimeDistribution(Box::new([0.0; CURVE_BINS]))
    }

    /// All mass at one time.
    pub fn point_mass(s: f64) -> TimeDistribution {
        let mut c = TimeDistribution::empty();
        if let Some(b) = c.0.get_mut(bin_index(s.max(0.0))) {
            *b = 1.0;
        }
        c
    }

    /// Adds mass at `s` seconds; beyond the grid it is dropped.
    pub fn add_mass(&mut self, s: f64, mass: f64) {
        if let Some(b) = self.0.get_mut(bin_index(s.max(0.0))) {
            *b += mass as f32;
        }
    }

    /// The sum of two independent times. Mass past the grid is lost to "too late".
    pub fn convolve(&self, other: &TimeDistribution) -> TimeDistribution {
        let mut out = TimeDistribution::empty();
        for (i, a) in self.0.iter().enumerate() {
            if *a > 1e-6 {
                for (o, b) in out.0[i..].iter_mut().zip(other.0.iter()) {
                    *o += a * b;
                }
            }
        }
        out
    }

    /// The later of two independent times.
    pub fn maximum(&self, other: &TimeDistribution) -> TimeDistribution {
        let mut out = TimeDistribution::empty();
        let (mut a, mut b, mut before) = (0.0, 0.0, 0.0);
        for i in 0..CURVE_BINS {
            a += self.0[i];
            b += other.0[i];
            out.0[i] = a * b - before;
            before = a * b;
        }
        out
    }

    /// The same distribution, `s` seconds later.
    pub fn shift(&self, s: f64) -> TimeDistribution {
        let n = bin_index(s);
        let mut out = TimeDistribution::empty();
        if n < CURVE_BINS {
            out.0[n..].copy_from_slice(&self.0[..CURVE_BINS - n]);
        }
        out
    }

    /// Running sum: bin `i` holds the mass up to `i * BIN_S`.
    pub fn cumulative(&self) -> TimeDistribution {
        let mut out = self.clone();
        let mut sum = 0.0;
        for b in out.0.iter_mut() {
            sum += *b;
            *b = sum;
        }
        out
    }

    /// Chance that `self` (a start) plus a run, given by its cumulative curve, ends by `due_s`.
    /// The paper's shortcut: no full convolution is built.
    pub fn on_time_probability(&self, run_cumulative: &TimeDistribution, due_s: f64) -> f64 {
        if due_s < 0.0 {
            return 0.0;
        }
        // Half a bin is the rounding of `bin`; due times are rounded down to whole bins.
        let last = ((due_s / CURVE_BIN_S) as usize).min(CURVE_BINS - 1);
        let mut sum = 0.0;
        for (i, mass) in self.0[..=last].iter().enumerate() {
            sum += mass * run_cumulative.0[last - i];
        }
        f64::from(sum).clamp(0.0, 1.0)
    }

    /// Chance that a run, given by this cumulative curve, that starts after `wait_s` ends by
    /// `due_s`.
    pub fn on_time_probability_after(&self, wait_s: f64, due_s: f64) -> f64 {
        if due_s < 0.0 {
            return 0.0;
        }
        let last = ((due_s / CURVE_BIN_S) as usize).min(CURVE_BINS - 1);
        let first = bin_index(wait_s.max(0.0));
        last.checked_sub(first)
            .map_or(0.0, |i| f64::from(self.0[i]).clamp(0.0, 1.0))
    }

    /// Mass up to a time.
    pub fn probability_by(&self, due_s: f64) -> f64 {
        if due_s < 0.0 {
            return 0.0;
        }
        let last = ((due_s / CURVE_BIN_S) as usize).min(CURVE_BINS - 1);
        f64::from(self.0[..=last].iter().sum::<f32>()).clamp(0.0, 1.0)
    }

    /// The earliest time with any mass, s.
    pub fn earliest_s(&self) -> f64 {
        let first = self.0.iter().position(|m| *m > 0.0).unwrap_or(CURVE_BINS);
        first as f64 * CURVE_BIN_S
    }

    /// Mean time; mass beyond the grid counts at its end.
    pub fn mean_s(&self) -> f64 {
        let (mut mass, mut sum) = (0.0, 0.0);
        for (i, m) in self.0.iter().enumerate() {
            mass += f64::from(*m);
            sum += f64::from(*m) * i as f64 * CURVE_BIN_S;
        }
        sum + (1.0 - mass).max(0.0) * CURVE_BINS as f64 * CURVE_BIN_S
    }

    /// Skewness bounded to -1..1 (the paper's `s`).
    pub fn skewness(&self) -> f64 {
        let mean = self.mean_s();
        let (mut mass, mut second, mut third) = (0.0, 0.0, 0.0);
        let rest = 1.0 - f64::from(self.0.iter().sum::<f32>());
        let points = self.0.iter().map(|m| f64::from(*m)).chain([rest.max(0.0)]);
        for (i, m) in points.enumerate() {
            let d = i as f64 * CURVE_BIN_S - mean;
            mass += m;
            second += m * d * d;
            third += m * d * d * d;
        }
        if mass <= 0.0 || second <= 1e-9 {
            return 0.0;
        }
        let sigma = (second / mass).sqrt();
        (third / mass / sigma.powi(3)).clamp(-1.0, 1.0)
    }
}
