//! Tracks whether the key-value store responds to this node.
//!
//! The store is either responding or failing. It is failing after a request without a response or
//! with status 503, and responding after any other response except status 429 (rate limit), which
//! changes nothing. It counts as unavailable only if it is failing and its last success is more
//! than [`STORE_UNREACHABLE_MS`] ago.
use crate::api::{CallResult, Millis};
use crate::pause::Pause;
use stonegw_constants::STORE_UNREACHABLE_MS;

/// Whether the key-value store responds, and the time of its last successful response.
#[derive(Debug, Default)]
pub(super) struct StoreAvailability {
    last_success_at: Millis,
    is_failing: bool,
}

impl StoreAvailability {
    /// Sets the time of the last success to the start of the node, so that the time before does not
    /// count as an outage.
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

    /// Returns whether the last request failed, not counting those rejected by the rate limit.
    pub(super) fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Returns whether the store is failing and its last success is more than
    /// [`STORE_UNREACHABLE_MS`] ago.
    pub(super) fn is_unavailable(&self, now: Millis) -> bool {
        self.is_failing && now.saturating_sub(self.last_success_at) > STORE_UNREACHABLE_MS
    }

    /// Returns the time of the last successful request.
    pub(super) fn last_success_at(&self) -> Millis {
        self.last_success_at
    }

    /// Sets the time of the last success to the end of the pause at the earliest. The pause does
    /// not count as silence of the store, because this process did not read its responses.
    pub(super) fn resume(&mut self, pause: Pause) {
        self.last_success_at = self.last_success_at.max(pause.now);
    }
}
