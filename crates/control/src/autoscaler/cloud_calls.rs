//! Scheduling of calls to the cloud: the rate limit, and calls that are repeated periodically.
use crate::api::Millis;
use crate::token_bucket::TokenBucket;
use stonegw_constants::CLOUD_RETRY_BACKOFF_MS;

/// Fraction of the cloud's rate limit that the leader uses.
const RATE_FRACTION: f64 = 0.8;
/// Burst of calls allowed after a time without calls, in seconds of the cloud's full rate limit.
const BURST_S: f64 = 1.6;

/// Keeps the calls to the cloud within its rate limit.
#[derive(Default)]
pub(super) struct CloudCallLimiter {
    /// No call is sent before this time, since the cloud rejected one because of the rate.
    paused_until: Millis,
    /// The rate budget. Created on first use from the settings.
    budget: Option<TokenBucket>,
}

impl CloudCallLimiter {
    /// Sets the rate limit on the first call. Later calls have no effect.
    pub(super) fn init_rate(&mut self, requests_per_s: f64) {
        self.budget.get_or_insert_with(|| {
            let burst = (requests_per_s * BURST_S).max(1.0);
            TokenBucket::new(requests_per_s * RATE_FRACTION, burst)
        });
    }

    /// Pauses all calls for a while, after the cloud rejected one because of the rate (429).
    pub(super) fn pause(&mut self, now: Millis) {
        self.paused_until = now + CLOUD_RETRY_BACKOFF_MS;
    }

    /// Returns `true` while calls are paused.
    pub(super) fn is_paused(&self, now: Millis) -> bool {
        now < self.paused_until
    }

    /// Takes one call from the budget. Returns `false` if none is left.
    pub(super) fn try_take(&mut self, now: Millis) -> bool {
        self.budget
            .as_mut()
            .is_some_and(|budget| budget.try_take(now, 1.0))
    }
}

/// A call that is repeated periodically, with at most one in flight.
pub(super) struct PeriodicCall {
    next_at: Millis,
    is_in_flight: bool,
}

impl PeriodicCall {
    /// Returns a call that is first due at `first_at`.
    pub(super) fn new(first_at: Millis) -> Self {
        PeriodicCall {
            next_at: first_at,
            is_in_flight: false,
        }
    }

    /// Returns `true` if the call is due, none is in flight and the rate limit allows it. The call
    /// then counts as in flight.
    pub(super) fn start_if_due(&mut self, now: Millis, limiter: &mut CloudCallLimiter) -> bool {
        let starts = now >= self.next_at && !self.is_in_flight && limiter.try_take(now);
        self.is_in_flight |= starts;
        starts
    }

    /// Records the end of the call, with or without a response. The next one is due at `next_at`.
    pub(super) fn finish(&mut self, next_at: Millis) {
        self.is_in_flight = false;
        self.next_at = next_at;
    }
}
