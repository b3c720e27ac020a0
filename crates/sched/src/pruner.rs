//! The pruner defers tasks that are unlikely to meet their deadlines, and drops queued ones under
//! overload.
use stonegw_constants::{
    DEFERRING_THRESHOLD_STEP, DROPPING_OFF_MISS_LEVEL, DROPPING_ON_MISS_LEVEL, DROP_SKEWNESS_SCALE,
    DROP_THRESHOLD_BASE, MISS_LEVEL_WEIGHT,
};

/// Whether queued tasks with a low on-time probability are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverloadToggle {
    /// Normal load: no task is dropped.
    Off,
    /// Overload: tasks whose on-time probability is below the drop threshold are dropped.
    On,
}

/// State that the pruner keeps between scheduling passes.
#[derive(Clone, Debug)]
pub struct Pruner {
    /// On-time probability, from 0 to 1, below which a pending task is deferred.
    pub deferring_threshold: f64,
    /// Exponentially smoothed number of missed deadlines per scheduling pass.
    pub smoothed_misses: f64,
    /// Whether the pruner currently drops tasks.
    pub overload_toggle: OverloadToggle,
}

impl Default for Pruner {
    fn default() -> Self {
        Pruner {
            deferring_threshold: DROP_THRESHOLD_BASE,
            smoothed_misses: 0.0,
            overload_toggle: OverloadToggle::Off,
        }
    }
}

impl Pruner {
    /// Records a scheduling pass, with the number of tasks that missed their deadlines since the
    /// last pass, and updates the overload toggle. The toggle has hysteresis so that it does not
    /// flap: it turns on at `DROPPING_ON_MISS_LEVEL` and off at the lower
    /// `DROPPING_OFF_MISS_LEVEL`.
    pub fn record_misses(&mut self, misses: usize) {
        self.smoothed_misses =
            MISS_LEVEL_WEIGHT * misses as f64 + (1.0 - MISS_LEVEL_WEIGHT) * self.smoothed_misses;
        self.overload_toggle = match self.overload_toggle {
            OverloadToggle::Off if self.smoothed_misses >= DROPPING_ON_MISS_LEVEL => {
                OverloadToggle::On
            }
            OverloadToggle::On if self.smoothed_misses <= DROPPING_OFF_MISS_LEVEL => {
                OverloadToggle::Off
            }
            unchanged => unchanged,
        };
    }

    /// Adjusts the deferring threshold in a scheduling pass. `passing` is the number of pending
    /// tasks whose best on-time probability reaches the current threshold, and `robustness` is the
    /// mean on-time probability of all running and queued tasks.
    pub fn adjust_deferring_threshold(
        &mut self,
        pending: usize,
        free_slots: usize,
        passing: usize,
        robustness: f64,
    ) {
        let threshold = if free_slots > pending || passing == 0 {
            self.deferring_threshold - DEFERRING_THRESHOLD_STEP
        } else {
            robustness - DEFERRING_THRESHOLD_STEP
        };
        self.deferring_threshold = threshold.clamp(0.0, 1.0);
    }

    /// Returns the on-time probability below which a queued task is dropped while the overload
    /// toggle is on. `skewness` is that of the distribution of the task's end, and `position` is
    /// that of the task in the machine's queue; callers count the head as 1.
    pub fn drop_threshold(skewness: f64, position: usize) -> f64 {
        DROP_THRESHOLD_BASE
            + -skewness.clamp(-1.0, 1.0) * DROP_SKEWNESS_SCALE / (position as f64 + 1.0)
    }
}
