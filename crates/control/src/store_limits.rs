//! How large transactions and values may be: the limits in the settings, lowered when the key-value
//! store rejects what keeps to them. The store may lower its limits at any moment, and does not say
//! to what.
use crate::settings::Settings;
use stonegw_constants::{MAX_CONSECUTIVE_RATE_REFUSALS, MIN_VALUE_BYTES};

/// The size of a transaction, as far as the store limits it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransactionSize {
    /// Number of writes in it.
    pub writes: usize,
    /// Bytes of JSON of the largest value in it.
    pub largest_value_bytes: usize,
}

impl TransactionSize {
    /// Counts one more write, with a value of so many bytes of JSON.
    pub fn add_write(&mut self, value_bytes: usize) {
        self.writes += 1;
        self.largest_value_bytes = self.largest_value_bytes.max(value_bytes);
    }
}

/// The limits that a node keeps to at present, by what the store has accepted and rejected.
#[derive(Clone, Debug)]
pub struct StoreLimits {
    max_value_bytes: usize,
    max_transaction_writes: usize,
    /// The limit in the settings, restored once the size of a value turns out to be the cause.
    configured_transaction_writes: usize,
    /// Consecutive transactions rejected because of the rate.
    consecutive_rate_rejections: u32,
}

impl StoreLimits {
    /// The limits in the settings.
    pub fn new(settings: &Settings) -> StoreLimits {
        StoreLimits {
            max_value_bytes: settings.max_value_bytes,
            max_transaction_writes: settings.max_transaction_writes,
            configured_transaction_writes: settings.max_transaction_writes,
            consecutive_rate_rejections: 0,
        }
    }

    /// Maximum size of a value, in bytes of JSON.
    pub fn max_value_bytes(&self) -> usize {
        self.max_value_bytes
    }

    /// Maximum number of writes in the next transaction. One that is repeatedly rejected because of
    /// the rate may exceed what is allowed in a second, and would be rejected forever: the limit is
    /// halved with each rejection until one is accepted.
    pub fn max_transaction_writes(&self) -> usize {
        let halvings = self
            .consecutive_rate_rejections
            .saturating_sub(MAX_CONSECUTIVE_RATE_REFUSALS);
        let halved = self
            .max_transaction_writes
            .checked_shr(halvings)
            .unwrap_or(0);
        halved.max(1)
    }

    /// A transaction was committed.
    pub fn record_accepted(&mut self) {
        self.consecutive_rate_rejections = 0;
    }

    /// A transaction was rejected because of the rate (429).
    pub fn record_rate_rejected(&mut self) {
        self.consecutive_rate_rejections = self.consecutive_rate_rejections.saturating_add(1);
    }

    /// A transaction was rejected as malformed (400), most likely for its size: the next ones are
    /// smaller. Returns false if its size can't be the cause.
    pub fn record_size_rejected(&mut self, size: TransactionSize) -> bool {
        if size.writes > 1 {
            self.lower_max_writes(size.writes / 2);
            return true;
        }
        let too_large = size.largest_value_bytes > MIN_VALUE_BYTES;
        if too_large {
            self.lower_max_value_below(size.largest_value_bytes);
            // A single write is rejected for the size of its value. The earlier rejections that led
            // to a single write may have had the same cause.
            self.max_transaction_writes = self.configured_transaction_writes;
        }
        too_large
    }

    fn lower_max_writes(&mut self, limit: usize) {
        if limit < self.max_transaction_writes {
            log::warn!("the store rejects transactions: from now on {limit} writes at most");
            self.max_transaction_writes = limit;
        }
    }

    /// Halves the limit on values until it is below the rejected size.
    fn lower_max_value_below(&mut self, rejected_bytes: usize) {
        if rejected_bytes > self.max_value_bytes {
            return;
        }
        while self.max_value_bytes >= rejected_bytes && self.max_value_bytes > MIN_VALUE_BYTES {
            self.max_value_bytes = (self.max_value_bytes / 2).max(MIN_VALUE_BYTES);
        }
        let limit = self.max_value_bytes;
        log::warn!(
            "the store rejects a value of {rejected_bytes} bytes: from now on {limit} at most"
        );
    }
}

#[cfg(test)]
#[path = "store_limits_tests.rs"]
mod tests;
