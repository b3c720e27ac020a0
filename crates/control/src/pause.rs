//! Pauses: stretches of time in which the process did not run while its clock went on. The clock may
//! also show more time than has passed.
//!
//! What concerns the node's own rights counts as expired after a pause, until it is proven by an answer to
//! what was asked after it (`Node::has_synced_since_pause`). What it would conclude about others from elapsed time
//! starts its wait anew: each part shifts its own times, in its `resume`.
use crate::api::Millis;
use stonegw_constants::PROCESS_PAUSE_THRESHOLD_MS;

/// A pause that has just ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    /// The present time.
    pub now: Millis,
    /// By how much the clock went on, ms.
    pub duration_ms: Millis,
}

impl Pause {
    /// Moves a time of the past on, so that the pause does not count as time passed since. 0 is
    /// "never" and stays.
    pub fn shift(&self, at: &mut Millis) {
        if *at > 0 {
            *at += self.duration_ms;
        }
    }

    /// The same for a time that may not be set.
    pub fn shift_if_set(&self, at: &mut Option<Millis>) {
        if let Some(at) = at {
            self.shift(at);
        }
    }
}

/// Watches the turns of a process for pauses between them.
#[derive(Debug, Default)]
pub struct PauseDetector {
    last_turn_at: Option<Millis>,
}

impl PauseDetector {
    /// Notes a turn. `Some`: the time since the last one can't have been spent at work.
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
