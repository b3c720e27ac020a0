//! Limits on the size of transactions and values. They start as the limits in the settings and are
//! lowered when the key-value store rejects a transaction that complies with them: the store may
//! lower its limits at any time, and does not report the new ones.
use crate::settings::Settings;
use stonegw_constants::{MAX_CONSECUTIVE_RATE_REFUSALS, MIN_VALUE_BYTES};

/// The size of a transaction, in the quantities that the store limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransactionSize {
    /// Number of writes in the transaction.
    pub writes: usize,
    /// Size of the largest value in the transaction, in bytes of JSON.
    pub largest_value_bytes: usize,
}

impl TransactionSize {
    /// Counts one more write, whose value has a size of `value_bytes` bytes of JSON.
    pub fn add_write(&mut self, value_bytes: usize) {
        self.writes += 1;
        self.largest_value_bytes = self.largest_value_bytes.max(value_bytes);
    }
}

/// The limits that a node currently applies, derived from the settings and from the transactions
/// that the store accepted and rejected.
#[derive(Clone, Debug)]
pub struct StoreLimits {
    max_value_bytes: usize,
    max_transaction_writes: usize,
    /// The limit on writes in the settings. It is restored once the size of a value turns out to be
    /// the cause of rejections.
    configured_transaction_writes: usize,
    /// Number of consecutive transactions that were rejected because of the rate.
    consecutive_rate_rejections: u32,
}

impl StoreLimits {
    /// Creates the limits from the settings.
    pub fn new(settings: &Settings) -> StoreLimits {
        StoreLimits {
            max_value_bytes: settings.max_value_bytes,
            max_transaction_writes: settings.max_transaction_writes,
            configured_transaction_writes: settings.max_transaction_writes,
            consecutive_rate_rejections: 0,
        }
    }

    /// Returns the maximum size of a value, in bytes of JSON.
    pub fn max_value_bytes(&self) -> usize {
        self.max_value_bytes
    }

    /// Returns the maximum number of writes in the next transaction. A transaction that is
    /// repeatedly rejected because of the rate may hold more writes than the store allows in a
    /// second, and would be rejected forever. After [`MAX_CONSECUTIVE_RATE_REFUSALS`] such
    /// rejections in a row, each further one halves the limit until a transaction is accepted.
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

    /// Records that a transaction was committed.
    pub fn record_accepted(&mut self) {
        self.consecutive_rate_rejections = 0;
    }

    /// Records that a transaction was rejected because of the rate (status 429).
    pub fn record_rate_rejected(&mut self) {
        self.consecutive_rate_rejections = self.consecutive_rate_rejections.saturating_add(1);
    }

    /// Records that a transaction was rejected as malformed (status 400), most likely because of
    /// its size, and lowers the limits for the next ones. Returns `false` if the size can't be the
    /// cause.
    pub fn record_size_rejected(&mut self, size: TransactionSize) -> bool {
        if size.writes > 1 {
            self.lower_max_writes(size.writes / 2);
            return true;
        }
        let too_large = size.largest_value_bytes > MIN_VALUE_BYTES;
        if too_large {
            self.lower_max_value_below(size.largest_value_bytes);
            // A transaction with a single write was rejected because of the size of its value. The
            // earlier rejections that lowered the limit to a single write may have had the same
            // cause.
            self.max_transaction_writes = self.configured_transaction_writes;
        }
        too_large
    }

    fn lower_max_writes(&mut self, limit: usize) {
        if limit < self.max_transaction_writes {
            log::warn!("the store rejected a transaction; limiting transactions to {limit} writes");
            self.max_transaction_writes = limit;
        }
    }

    /// Halves the limit on values until it is below the rejected size or at [`MIN_VALUE_BYTES`].
    fn lower_max_value_below(&mut self, rejected_bytes: usize) {
        if rejected_bytes > self.max_value_bytes {
            return;
        }
        while self.max_value_bytes >= rejected_bytes && self.max_value_bytes > MIN_VALUE_BYTES {
            self.max_value_bytes = (self.max_value_bytes / 2).max(MIN_VALUE_BYTES);
        }
        let limit = self.max_value_bytes;
        log::warn!(
            "the store rejected a value of {rejected_bytes} bytes; limiting values to {limit} bytes"
        );
    }
}

#[cfg(test)]
#[path = "store_limits_tests.rs"]
mod tests;
