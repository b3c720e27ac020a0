//! How large transactions and values may be: what the settings say, lowered where the state service
//! refuses what keeps to them. It may lower its limits at any moment, and does not say by how much.
use crate::settings::Settings;
use stonegw_constants::{MAX_CONSECUTIVE_RATE_REFUSALS, MIN_VALUE_BYTES};

/// How large a transaction is, as far as the state service limits it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransactionSize {
    pub writes: usize,
    /// Bytes of JSON of the largest value in it.
    pub largest_value_bytes: usize,
}

impl TransactionSize {
    /// One more write, with a value of so many bytes of JSON.
    pub fn add_write(&mut self, value_bytes: usize) {
        self.writes += 1;
        self.largest_value_bytes = self.largest_value_bytes.max(value_bytes);
    }
}

/// The limits that a node keeps to at present.
#[derive(Clone, Debug)]
pub struct StoreLimits {
    max_value_bytes: usize,
    max_transaction_writes: usize,
    /// What the settings allow, to return to once the size of a value turns out to be the cause.
    configured_transaction_writes: usize,
    /// Transactions refused in a row because of the rate.
    consecutive_rate_rejections: u32,
}

impl StoreLimits {
    pub fn new(settings: &Settings) -> StoreLimits {
        StoreLimits {
            max_value_bytes: settings.max_value_bytes,
            max_transaction_writes: settings.max_transaction_writes,
            configured_transaction_writes: settings.max_transaction_writes,
            consecutive_rate_rejections: 0,
        }
    }

    /// Bytes of JSON that one value may take.
    pub fn max_value_bytes(&self) -> usize {
        self.max_value_bytes
    }

    /// Writes that the next transaction may hold. One that was refused because of the rate again and
    /// again may hold more than a second's worth, and would be refused for ever.
    pub fn max_transaction_writes(&self) -> usize {
        let again = self
            .consecutive_rate_rejections
            .saturating_sub(MAX_CONSECUTIVE_RATE_REFUSALS);
        let halved = self.max_transaction_writes.checked_shr(again).unwrap_or(0);
        halved.max(1)
    }

    /// A transaction was carried out.
    pub fn record_accepted(&mut self) {
        self.consecutive_rate_rejections = 0;
    }

    /// A transaction was refused because of the rate (429).
    pub fn record_rate_rejected(&mut self) {
        self.consecutive_rate_rejections = self.consecutive_rate_rejections.saturating_add(1);
    }

    /// A transaction was called malformed (400), most likely for its size: the next ones are smaller.
    /// False: nothing about its size can be the cause.
    pub fn record_size_rejected(&mut self, size: TransactionSize) -> bool {
        if size.writes > 1 {
            self.lower_max_writes(size.writes / 2);
            return true;
        }
        let too_large = size.largest_value_bytes > MIN_VALUE_BYTES;
        if too_large {
            self.lower_max_value_below(size.largest_value_bytes);
            // A single write is refused for its value, and so may those have been that led here.
            self.max_transaction_writes = self.configured_transaction_writes;
        }
        too_large
    }

    fn lower_max_writes(&mut self, most: usize) {
        if most < self.max_transaction_writes {
            log::warn!("the state service refuses transactions: {most} writes at most from now on");
            self.max_transaction_writes = most;
        }
    }

    /// Halves the size of values until one of so many bytes is too large.
    fn lower_max_value_below(&mut self, refused: usize) {
        if refused > self.max_value_bytes {
            return;
        }
        while self.max_value_bytes >= refused && self.max_value_bytes > MIN_VALUE_BYTES {
            self.max_value_bytes = (self.max_value_bytes / 2).max(MIN_VALUE_BYTES);
        }
        let most = self.max_value_bytes;
        log::warn!(
            "the state service refuses a value of {refused} bytes: {most} at most from now on"
        );
    }
}

#[cfg(test)]
#[path = "store_limits_tests.rs"]
mod tests;
