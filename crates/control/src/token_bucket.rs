//! Limits the rate of the requests that a node sends.
use crate::api::Millis;

/// A token bucket: tokens are refilled at a steady rate up to the burst size.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens_per_s: f64,
    burst: f64,
    /// The tokens in the bucket. The number is negative if more tokens were taken unconditionally
    /// than the bucket held.
    tokens: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(tokens_per_s: f64, burst: f64) -> TokenBucket {
        TokenBucket {
            tokens_per_s,
            burst,
            tokens: burst,
            refilled_at: 0,
        }
    }

    /// Returns the rate at which the bucket is refilled.
    pub fn tokens_per_s(&self) -> f64 {
        self.tokens_per_s
    }

    /// Refills the bucket and returns the number of tokens in it.
    pub fn available(&mut self, now: Millis) -> f64 {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1e3;
        self.tokens = (self.tokens + elapsed_s * self.tokens_per_s).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
        self.tokens
    }

    /// Takes tokens if there are enough, and returns whether it took them.
    pub fn try_take(&mut self, now: Millis, tokens: f64) -> bool {
        let has_enough = self.available(now) >= tokens;
        if has_enough {
            self.tokens -= tokens;
        }
        has_enough
    }

    /// Takes tokens for a request that must be sent in any case, even if there are not enough.
    /// Later requests wait until the bucket is refilled.
    pub fn take_unconditionally(&mut self, now: Millis, tokens: f64) {
        self.available(now);
        self.tokens -= tokens;
    }

    /// Changes the rate and the burst size.
    pub fn set_rate(&mut self, tokens_per_s: f64, burst: f64) {
        self.tokens_per_s = tokens_per_s;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }
}
