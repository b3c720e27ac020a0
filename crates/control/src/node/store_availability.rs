//! Whether the key-value store answers this node.
//!
//! The state is *answering* or *failing*. A response other than 503 and 429 leads to *answering*,
//! no response or a 503 to *failing*; a 429 (rate limit) proves neither. Only after it has been
//! failing for [`STORE_UNREACHABLE_MS`] is the store called unavailable.
use crate::api::{CallResult, Millis};
use crate::pause::Pause;
use stonegw_constants::STORE_UNREACHABLE_MS;

/// Whether the key-value store answers, and since when it has not.
#[derive(Debug, Default)]
pub(super) struct StoreAvailability {
    last_success_at: Millis,
    is_failing: bool,
}

impl StoreAvailability {
    /// The node starts: the time before does not count as an outage.
    pub(super) fn start(&mut self, now: Millis) {
        self.last_success_at = now;
    }

    /// Records the outcome of a store request.
    pub(super) fn record_result(&mut self, now: Millis, result: &CallResult) {
        match result {
            Ok((429, _)) => {}
            Ok((503, _)) | Err(_) => self.is_failing = true,
            Ok(_) => {
                self.last_success_at = now;
                self.is_failing = false;
            }
        }
    }

    /// The last request that proves anything failed.
    pub(super) fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Requests have failed for longer than a moment.
    pub(super) fn is_unavailable(&self, now: Millis) -> bool {
        self.is_failing && now.saturating_sub(self.last_success_at) > STORE_UNREACHABLE_MS
    }

    /// When a request last succeeded.
    pub(super) fn last_success_at(&self) -> Millis {
        self.last_success_at
    }

    /// During a pause the store was not silent: nobody read its responses.
    pub(super) fn resume(&mut self, pause: Pause) {
        self.last_success_at = self.last_success_at.max(pause.now);
    }
}
