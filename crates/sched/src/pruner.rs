//! The pruner: deferring threshold, overload toggle and drop threshold.
use stonegw_constants::{
    DEFERRING_THRESHOLD_STEP, DROPPING_OFF_MISS_LEVEL, DROPPING_ON_MISS_LEVEL, DROP_SKEWNESS_SCALE,
    DROP_THRESHOLD_BASE, MISS_LEVEL_WEIGHT,
};

/// Whether held tasks with low chances are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverloadToggle {
    /// Nothing is dropped.
    Off,
    /// Overload: tasks below the drop threshold are dropped.
    On,
}

/// State of the pruner between two mappings.
#[derive(Clone, Debug)]
pub struct Pruner {
    /// Chance, 0 to 1, below which a waiting task is deferred.
    pub deferring_threshold: f64,
    /// Smoothed number of deadline misses per mapping.
    pub smoothed_misses: f64,
    /// The overload toggle.
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
    /// One mapping: `misses` tasks missed their deadlines since the last one.
    pub fn record_misses(&mut self, misses: usize) {
        self.smoothed_misses =
            MISS_LEVEL_WEIGHT * misses as f64 + (1.0 - MISS_LEVEL_WEIGHT) * self.smoothed_misses;
        self.set_overload_toggle(match self.overload_toggle {
            OverloadToggle::Off if self.smoothed_misses >= DROPPING_ON_MISS_LEVEL => {
                OverloadToggle::On
            }
            OverloadToggle::On if self.smoothed_misses <= DROPPING_OFF_MISS_LEVEL => {
                OverloadToggle::Off
            }
            same => same,
        });
    }

    fn set_overload_toggle(&mut self, to: OverloadToggle) {
        self.overload_toggle = to;
    }

    /// `robustness`: mean chance of all running and held tasks; `passing`: waiting tasks whose
    /// best chance reaches the threshold.
    pub fn adjust_deferring_threshold(
        &mut self,
        waiting: usize,
        free_slots: usize,
        passing: usize,
        robustness: f64,
    ) {
        let next = if free_slots > waiting || passing == 0 {
            self.deferring_threshold - DEFERRING_THRESHOLD_STEP
        } else {
            robustness - DEFERRING_THRESHOLD_STEP
        };
        self.deferring_threshold = next.clamp(0.0, 1.0);
    }

    /// Threshold below which a held task is dropped while the toggle is on. `position` counts
    /// from the head of the machine's queue.
    pub fn drop_threshold(skewness: f64, position: usize) -> f64 {
        DROP_THRESHOLD_BASE
            + -skewness.clamp(-1.0, 1.0) * DROP_SKEWNESS_SCALE / (position as f64 + 1.0)
    }
}
