//! Probability mass functions of the time from now, on a fixed grid.
//!
//! Sums are computed in single precision and in a fixed order, because scheduling decisions must be
//! reproducible.
use stonegw_constants::{TIME_DISTRIBUTION_BINS, TIME_DISTRIBUTION_BIN_S};

/// Returns the last bin that is on time for a deadline in `due_s` seconds, or `None` if the
/// deadline has passed. Deadlines are rounded down to whole bins, whereas `bin_index` rounds to the
/// nearest bin, by up to half a bin.
fn last_bin_by(due_s: f64) -> Option<usize> {
    if due_s < 0.0 {
        return None;
    }
    Some(((due_s / TIME_DISTRIBUTION_BIN_S) as usize).min(TIME_DISTRIBUTION_BINS - 1))
}

/// A distribution of a time, as the probability mass in each bin. Bin `i` represents the time
/// `i * TIME_DISTRIBUTION_BIN_S`. Mass beyond the grid is not stored, so the sum of the bins can
/// be less than 1.
#[derive(Clone, Debug, PartialEq)]
pub struct TimeDistribution(pub Box<[f32; TIME_DISTRIBUTION_BINS]>);

/// Mass up to which a bin is skipped in a convolution.
const NEGLIGIBLE_MASS: f32 = 1e-6;
/// Variance, in s², up to which a distribution counts as a point mass.
const NEGLIGIBLE_VARIANCE: f64 = 1e-9;

/// Returns the bin nearest to a time, or `TIME_DISTRIBUTION_BINS` if the time lies beyond the grid.
fn bin_index(time_s: f64) -> usize {
    (time_s / TIME_DISTRIBUTION_BIN_S)
        .round()
        .clamp(0.0, TIME_DISTRIBUTION_BINS as f64) as usize
}

impl TimeDistribution {
    /// Creates a distribution without any mass.
    pub fn empty() -> TimeDistribution {
        TimeDistribution(Box::new([0.0; TIME_DISTRIBUTION_BINS]))
    }

    /// Creates a distribution with all its mass at one time.
    pub fn point_mass(time_s: f64) -> TimeDistribution {
        let mut distribution = TimeDistribution::empty();
        if let Some(bin) = distribution.0.get_mut(bin_index(time_s.max(0.0))) {
            *bin = 1.0;
        }
        distribution
    }

    /// Adds mass at a time. Mass beyond the grid is discarded.
    pub fn add_mass(&mut self, time_s: f64, mass: f64) {
        if let Some(bin) = self.0.get_mut(bin_index(time_s.max(0.0))) {
            *bin += mass as f32;
        }
    }

    /// Returns the distribution of the sum of two independent times. Mass beyond the grid is
    /// discarded, because it is too late for any deadline.
    pub fn convolve(&self, other: &TimeDistribution) -> TimeDistribution {
        let mut sum = TimeDistribution::empty();
        for (offset, own_mass) in self.0.iter().enumerate() {
            if *own_mass > NEGLIGIBLE_MASS {
                for (bin, other_mass) in sum.0[offset..].iter_mut().zip(other.0.iter()) {
                    *bin += own_mass * other_mass;
                }
            }
        }
        sum
    }

    /// Returns the distribution of the later of two independent times.
    pub fn maximum(&self, other: &TimeDistribution) -> TimeDistribution {
        let mut maximum = TimeDistribution::empty();
        let (mut own_sum, mut other_sum, mut product_before) = (0.0, 0.0, 0.0);
        for bin in 0..TIME_DISTRIBUTION_BINS {
            own_sum += self.0[bin];
            other_sum += other.0[bin];
            maximum.0[bin] = own_sum * other_sum - product_before;
            product_before = own_sum * other_sum;
        }
        maximum
    }

    /// Returns the same distribution, `delay_s` later.
    pub fn shift(&self, delay_s: f64) -> TimeDistribution {
        let delay_bins = bin_index(delay_s);
        let mut shifted = TimeDistribution::empty();
        if delay_bins < TIME_DISTRIBUTION_BINS {
            shifted.0[delay_bins..].copy_from_slice(&self.0[..TIME_DISTRIBUTION_BINS - delay_bins]);
        }
        shifted
    }

    /// Returns the cumulative distribution, whose bin `i` holds the mass up to the time
    /// `i * TIME_DISTRIBUTION_BIN_S`.
    pub fn cumulative(&self) -> TimeDistribution {
        let mut cumulative = self.clone();
        let mut sum = 0.0;
        for bin in cumulative.0.iter_mut() {
            sum += *bin;
            *bin = sum;
        }
        cumulative
    }

    /// Returns the probability that a run ends by `due_s` if it starts at the time that `self`
    /// describes. `run_cumulative` is the cumulative distribution of the run time. This is the
    /// paper's shortcut, which avoids the full convolution.
    pub fn on_time_probability(&self, run_cumulative: &TimeDistribution, due_s: f64) -> f64 {
        let Some(last_bin) = last_bin_by(due_s) else {
            return 0.0;
        };
        let mut sum = 0.0;
        for (start_bin, mass) in self.0[..=last_bin].iter().enumerate() {
            sum += mass * run_cumulative.0[last_bin - start_bin];
        }
        f64::from(sum).clamp(0.0, 1.0)
    }

    /// Returns the probability that a run ends by `due_s` if it starts after `wait_s`. `self` is
    /// the cumulative distribution of the run time.
    pub fn on_time_probability_after(&self, wait_s: f64, due_s: f64) -> f64 {
        let start_bin = bin_index(wait_s.max(0.0));
        last_bin_by(due_s)
            .and_then(|last_bin| last_bin.checked_sub(start_bin))
            .map_or(0.0, |run_bins| f64::from(self.0[run_bins]).clamp(0.0, 1.0))
    }

    /// Returns the probability that the time is at most `due_s`.
    pub fn probability_by(&self, due_s: f64) -> f64 {
        last_bin_by(due_s).map_or(0.0, |last_bin| {
            f64::from(self.0[..=last_bin].iter().sum::<f32>()).clamp(0.0, 1.0)
        })
    }

    /// Returns the earliest time that has any mass, in seconds.
    pub fn earliest_s(&self) -> f64 {
        let first_bin = self
            .0
            .iter()
            .position(|mass| *mass > 0.0)
            .unwrap_or(TIME_DISTRIBUTION_BINS);
        first_bin as f64 * TIME_DISTRIBUTION_BIN_S
    }

    /// Returns the mean time in seconds. Mass beyond the grid is counted at the end of the grid.
    pub fn mean_s(&self) -> f64 {
        let (mut total_mass, mut weighted_s) = (0.0, 0.0);
        for (bin, mass) in self.0.iter().enumerate() {
            total_mass += f64::from(*mass);
            weighted_s += f64::from(*mass) * bin as f64 * TIME_DISTRIBUTION_BIN_S;
        }
        weighted_s
            + (1.0 - total_mass).max(0.0) * TIME_DISTRIBUTION_BINS as f64 * TIME_DISTRIBUTION_BIN_S
    }

    /// Returns the skewness, limited to the range from -1 to 1 (the paper's `s`). Mass beyond the
    /// grid is counted at the end of the grid.
    pub fn skewness(&self) -> f64 {
        let mean_s = self.mean_s();
        let (mut total_mass, mut second_moment, mut third_moment) = (0.0, 0.0, 0.0);
        let beyond_grid = 1.0 - f64::from(self.0.iter().sum::<f32>());
        let bins = self.0.iter().map(|mass| f64::from(*mass));
        for (bin, mass) in bins.chain([beyond_grid.max(0.0)]).enumerate() {
            let deviation_s = bin as f64 * TIME_DISTRIBUTION_BIN_S - mean_s;
            total_mass += mass;
            second_moment += mass * deviation_s * deviation_s;
            third_moment += mass * deviation_s * deviation_s * deviation_s;
        }
        if total_mass <= 0.0 || second_moment <= NEGLIGIBLE_VARIANCE {
            return 0.0;
        }
        let standard_deviation_s = (second_moment / total_mass).sqrt();
        (third_moment / total_mass / standard_deviation_s.powi(3)).clamp(-1.0, 1.0)
    }
}
