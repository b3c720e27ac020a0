//! How large transactions and values may be: what the settings say, lowered where the state service
//! refuses what keeps to them. It may lower its limits at any moment, and does not say by how much.
use crate::settings::Settings;
use stonegw_constants as k;

/// How large a transaction is, as far as the state service limits it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransactionSize {
    pub writes: usize,
    /// Bytes of JSON of the largest value in it.
    pub largest: usize,
}

impl TransactionSize {
    /// One more write, with a value of so many bytes of JSON.
    pub fn add(&mut self, value_bytes: usize) {
        self.writes += 1;
        self.largest = self.largest.max(value_bytes);
    }
}

/// The limits that a node keeps to at present.
#[derive(Clone, Debug)]
pub struct StoreLimits {
    value_bytes: usize,
    transaction_writes: usize,
    /// What the settings allow, to return to once the size of a value turns out to be the cause.
    settings_writes: usize,
    /// Transactions refused in a row because of the rate.
    rate_refusals: u32,
}

impl StoreLimits {
    pub fn new(set: &Settings) -> StoreLimits {
        StoreLimits {
            value_bytes: set.value_bytes,
            transaction_writes: set.txn_ops,
            settings_writes: set.txn_ops,
            rate_refusals: 0,
        }
    }

    /// Bytes of JSON that one value may take.
    pub fn value_bytes(&self) -> usize {
        self.value_bytes
    }

    /// Writes that the next transaction may hold. One that was refused because of the rate again and
    /// again may hold more than a second's worth, and would be refused for ever.
    pub fn transaction_writes(&self) -> usize {
        let again = self.rate_refusals.saturating_sub(k::RATE_REFUSALS);
        let halved = self.transaction_writes.checked_shr(again).unwrap_or(0);
        halved.max(1)
    }

    /// A transaction was carried out.
    pub fn accepted(&mut self) {
        self.rate_refusals = 0;
    }

    /// A transaction was refused because of the rate (429).
    pub fn rate_refused(&mut self) {
        self.rate_refusals = self.rate_refusals.saturating_add(1);
    }

    /// A transaction was called malformed (400), most likely for its size: the next ones are smaller.
    /// False: nothing about its size can be the cause.
    pub fn size_refused(&mut self, size: TransactionSize) -> bool {
        if size.writes > 1 {
            self.lower_writes(size.writes / 2);
            return true;
        }
        let too_large = size.largest > k::LEAST_VALUE_BYTES;
        if too_large {
            self.lower_value_below(size.largest);
            // A single write is refused for its value, and so may those have been that led here.
            self.transaction_writes = self.settings_writes;
        }
        too_large
    }

    fn lower_writes(&mut self, most: usize) {
        if most < self.transaction_writes {
            log::warn!("the state service refuses transactions: {most} writes at most from now on");
            self.transaction_writes = most;
        }
    }

    /// Halves the size of values until one of so many bytes is too large.
    fn lower_value_below(&mut self, refused: usize) {
        if refused > self.value_bytes {
            return;
        }
        while self.value_bytes >= refused && self.value_bytes > k::LEAST_VALUE_BYTES {
            self.value_bytes = (self.value_bytes / 2).max(k::LEAST_VALUE_BYTES);
        }
        let most = self.value_bytes;
        log::warn!(
            "the state service refuses a value of {refused} bytes: {most} at most from now on"
        );
    }
}

#[cfg(test)]
#[path = "limits_tests.rs"]
mod tests;
