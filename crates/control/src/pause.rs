//! Process pauses: periods in which the process did not run while its clock advanced. The clock may
//! also have jumped ahead by more than the time that passed.
//!
//! After a pause, the node's own leases count as expired until a response to a request sent after
//! the pause confirms them. What the node would conclude about others from elapsed time starts its
//! wait anew: each component shifts its timestamps in its `resume`.
use crate::api::Millis;
use stonegw_constants::PROCESS_PAUSE_THRESHOLD_MS;

/// A pause that has just ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    /// The present time.
    pub now: Millis,
    /// By how much the clock advanced, ms.
    pub duration_ms: Millis,
}

impl Pause {
    /// Shifts a past timestamp, so that the pause does not count as time passed since. 0 means
    /// "never" and stays.
    pub fn shift(&self, timestamp: &mut Millis) {
        if *timestamp > 0 {
            *timestamp += self.duration_ms;
        }
    }

    /// The same for a timestamp that may not be set.
    pub fn shift_if_set(&self, timestamp: &mut Option<Millis>) {
        if let Some(timestamp) = timestamp {
            self.shift(timestamp);
        }
    }
}

/// Detects pauses by the time between two turns of the process.
#[derive(Debug, Default)]
pub struct PauseDetector {
    last_turn_at: Option<Millis>,
}

impl PauseDetector {
    /// Records a turn. `Some`: too much time has passed since the last one to have been spent
    /// processing.
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
