//! The pruner: deferring threshold, overload toggle and drop threshold.
use stonegw_constants::{DROP_BASE, LAMBDA, RHO, THETA, TOGGLE_OFF, TOGGLE_ON};

/// Whether held tasks with low chances are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Toggle {
    /// Nothing is dropped.
    Off,
    /// Overload: tasks below the drop threshold are dropped.
    On,
}

/// State of the pruner between two mappings.
#[derive(Clone, Debug)]
pub struct Pruner {
    /// Chance, 0 to 1, below which a waiting task is deferred.
    pub deferring: f64,
    /// Smoothed number of deadline misses per mapping.
    pub miss_level: f64,
    /// The overload toggle.
    pub toggle: Toggle,
}

impl Default for Pruner {
    fn default() -> Self {
        Pruner {
            deferring: DROP_BASE,
            miss_level: 0.0,
            toggle: Toggle::Off,
        }
    }
}

impl Pruner {
    /// One mapping: `misses` tasks missed their deadlines since the last one.
    pub fn count_misses(&mut self, misses: usize) {
        self.miss_level = LAMBDA * misses as f64 + (1.0 - LAMBDA) * self.miss_level;
        self.set_toggle(match self.toggle {
            Toggle::Off if self.miss_level >= TOGGLE_ON => Toggle::On,
            Toggle::On if self.miss_level <= TOGGLE_OFF => Toggle::Off,
            same => same,
        });
    }

    fn set_toggle(&mut self, to: Toggle) {
        self.toggle = to;
    }

    /// `robustness`: mean chance of all running and held tasks; `passing`: waiting tasks whose
    /// best chance reaches the threshold.
    pub fn adjust(&mut self, waiting: usize, free_slots: usize, passing: usize, robustness: f64) {
        let next = if free_slots > waiting || passing == 0 {
            self.deferring - THETA
        } else {
            robustness - THETA
        };
        self.deferring = next.clamp(0.0, 1.0);
    }

    /// Threshold below which a held task is dropped while the toggle is on. `position` counts
    /// from the head of the machine's queue.
    pub fn drop_threshold(skewness: f64, position: usize) -> f64 {
        DROP_BASE + -skewness.clamp(-1.0, 1.0) * RHO / (position as f64 + 1.0)
    }
}
