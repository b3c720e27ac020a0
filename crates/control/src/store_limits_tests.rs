use super::*;
use stonegw_constants::MAX_CONSECUTIVE_RATE_REFUSALS;

impl StoreLimits {
    /// As if a larger value had been refused.
    pub fn set_max_value_bytes(&mut self, bytes: usize) {
        self.max_value_bytes = bytes;
    }
}

fn limits(writes: usize, value_bytes: usize) -> StoreLimits {
    StoreLimits {
        max_value_bytes: value_bytes,
        max_transaction_writes: writes,
        configured_transaction_writes: writes,
        consecutive_rate_rejections: 0,
    }
}

fn size(writes: usize, largest: usize) -> TransactionSize {
    TransactionSize {
        writes,
        largest_value_bytes: largest,
    }
}

/// A state service that lowered its limits without a word must come to accept what is written.
#[test]
fn rejected_transactions_shrink_until_accepted() {
    for (writes, value) in [(32, 2048), (10, 2048), (4, 2048), (1, 8192), (1, 2048)] {
        let mut l = limits(32, 8192);
        let mut refusals = 0;
        // A value of 5,000 bytes waits beside small ones.
        loop {
            let largest = l.max_value_bytes().min(5_000);
            let next = size(l.max_transaction_writes(), largest);
            if next.writes <= writes && next.largest_value_bytes <= value {
                break;
            }
            assert!(l.record_size_rejected(next), "{l:?}");
            refusals += 1;
            assert!(refusals < 20, "{l:?}");
        }
        assert!(l.max_transaction_writes() * 2 > writes.min(32), "{l:?}");
    }
}

/// What is refused for another reason must not make everything small.
#[test]
fn a_small_value_rejected_alone_lowers_no_limit() {
    let mut l = limits(1, 8192);
    assert!(!l.record_size_rejected(size(1, 400)));
    assert_eq!(l.max_value_bytes(), 8192);
}

/// A transaction larger than what the lowered rate allows in a second would be refused for ever.
#[test]
fn rate_rejections_shrink_transactions_temporarily() {
    let mut l = limits(32, 8192);
    for _ in 0..MAX_CONSECUTIVE_RATE_REFUSALS {
        l.record_rate_rejected();
    }
    assert_eq!(l.max_transaction_writes(), 32);
    for most in [16, 8, 4, 2, 1, 1] {
        l.record_rate_rejected();
        assert_eq!(l.max_transaction_writes(), most);
    }
    for _ in 0..100 {
        l.record_rate_rejected();
    }
    assert_eq!(l.max_transaction_writes(), 1);
    l.record_accepted();
    assert_eq!(l.max_transaction_writes(), 32);
}
