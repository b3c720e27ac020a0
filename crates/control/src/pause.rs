//! Detects process pauses: periods in which the process did not run while its clock advanced. A
//! clock that jumped ahead by more than the time that passed is handled in the same way.
//!
//! After a pause, the node treats its own leases as expired until a response to a request sent
//! after the pause confirms them. The time of the pause does not count towards timeouts by which
//! the node judges other processes: each component shifts or resets its timestamps in its `resume`
//! function.
use crate::api::Millis;
use stonegw_constants::PROCESS_PAUSE_THRESHOLD_MS;

/// A pause that has just ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    /// The time at which the process resumed.
    pub now: Millis,
    /// The time by which the clock advanced during the pause, in ms.
    pub duration_ms: Millis,
}

impl Pause {
    /// Shifts a past timestamp forward, so that the pause does not count as time elapsed since
    /// then. The timestamp 0 means "never" and is not changed.
    pub fn shift(&self, timestamp: &mut Millis) {
        if *timestamp > 0 {
            *timestamp += self.duration_ms;
        }
    }

    /// Shifts an optional timestamp as [`Pause::shift`] does, if it is set.
    pub fn shift_if_set(&self, timestamp: &mut Option<Millis>) {
        if let Some(timestamp) = timestamp {
            self.shift(timestamp);
        }
    }
}

/// Detects pauses by the time between two consecutive turns of the process.
#[derive(Debug, Default)]
pub struct PauseDetector {
    last_turn_at: Option<Millis>,
}

impl PauseDetector {
    /// Records a turn. Returns a pause if the time since the last turn is longer than processing
    /// can take.
    pub fn record_turn(&mut self, now: Millis) -> Option<Pause> {
        let last_turn = self.last_turn_at.replace(now)?;
        let gap = now.saturating_sub(last_turn);
        (gap >= PROCESS_PAUSE_THRESHOLD_MS).then_some(Pause {
            now,
            duration_ms: gap,
        })
    }
}

#[cfg(test)]
#[path = "pause_tests.rs"]
mod tests;
