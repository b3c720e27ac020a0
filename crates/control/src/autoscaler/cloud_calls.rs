//! When calls to the cloud may go out: its rate limit, and calls that are repeated from time to
//! time.
use crate::api::Millis;
use crate::token_bucket::TokenBucket;
use stonegw_constants::CLOUD_RETRY_BACKOFF_MS;

/// Part of the cloud's rate limit that the leader uses.
const RATE_FRACTION: f64 = 0.8;
/// Calls that may go out at once after a time without calls, in seconds' worth of the rate limit.
const BURST_S: f64 = 1.6;

/// Keeps the calls to the cloud within its rate limit.
#[derive(Default)]
pub(super) struct CloudCallLimiter {
    /// The cloud refused a call for its rate: none goes out before.
    paused_until: Millis,
    /// Created on first use, from the settings of that time.
    budget: Option<TokenBucket>,
}

impl CloudCallLimiter {
    /// Sets the rate limit, the first time only.
    pub(super) fn init_rate(&mut self, requests_per_s: f64) {
        self.budget.get_or_insert_with(|| {
            let burst = (requests_per_s * BURST_S).max(1.0);
            TokenBucket::new(requests_per_s * RATE_FRACTION, burst)
        });
    }

    /// The cloud refused a call for its rate.
    pub(super) fn pause(&mut self, now: Millis) {
        self.paused_until = now + CLOUD_RETRY_BACKOFF_MS;
    }

    /// Whether the cloud wants no calls for now.
    pub(super) fn is_paused(&self, now: Millis) -> bool {
        now < self.paused_until
    }

    /// Takes the budget of one call; `false` if none is left.
    pub(super) fn try_take(&mut self, now: Millis) -> bool {
        self.budget
            .as_mut()
            .is_some_and(|budget| budget.try_take(now, 1.0))
    }
}

/// A call that is repeated from time to time, one at a time.
pub(super) struct PeriodicCall {
    next_at: Millis,
    is_in_flight: bool,
}

impl PeriodicCall {
    /// A call that is made for the first time at `first_at`.
    pub(super) fn new(first_at: Millis) -> Self {
        PeriodicCall {
            next_at: first_at,
            is_in_flight: false,
        }
    }

    /// Whether the call is to be made now. If so it counts as made.
    pub(super) fn start_if_due(&mut self, now: Millis, limiter: &mut CloudCallLimiter) -> bool {
        let starts = now >= self.next_at && !self.is_in_flight && limiter.try_take(now);
        self.is_in_flight |= starts;
        starts
    }

    /// The call was answered, or no answer came; it is repeated at `next_at`.
    pub(super) fn finish(&mut self, next_at: Millis) {
        self.is_in_flight = false;
        self.next_at = next_at;
    }
}
