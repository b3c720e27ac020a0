use super::*;

impl StoreLimits {
    /// As if a larger value had been refused.
    pub fn lower_value_to(&mut self, bytes: usize) {
        self.value_bytes = bytes;
    }
}

fn limits(writes: usize, value_bytes: usize) -> StoreLimits {
    StoreLimits {
        value_bytes,
        transaction_writes: writes,
        settings_writes: writes,
        rate_refusals: 0,
    }
}

fn size(writes: usize, largest: usize) -> TransactionSize {
    TransactionSize { writes, largest }
}

/// A state service that lowered its limits without a word must come to accept what is written.
#[test]
fn refused_transactions_shrink_until_they_pass() {
    for (writes, value) in [(32, 2048), (10, 2048), (4, 2048), (1, 8192), (1, 2048)] {
        let mut l = limits(32, 8192);
        let mut refusals = 0;
        // A value of 5,000 bytes waits beside small ones.
        loop {
            let largest = l.value_bytes().min(5_000);
            let next = size(l.transaction_writes(), largest);
            if next.writes <= writes && next.largest <= value {
                break;
            }
            assert!(l.size_refused(next), "{l:?}");
            refusals += 1;
            assert!(refusals < 20, "{l:?}");
        }
        assert!(l.transaction_writes() * 2 > writes.min(32), "{l:?}");
    }
}

/// What is refused for another reason must not make everything small.
#[test]
fn a_small_value_refused_alone_lowers_nothing() {
    let mut l = limits(1, 8192);
    assert!(!l.size_refused(size(1, 400)));
    assert_eq!(l.value_bytes(), 8192);
}

/// A transaction larger than what the lowered rate allows in a second would be refused for ever.
#[test]
fn refusals_for_the_rate_shrink_for_a_while_only() {
    let mut l = limits(32, 8192);
    for _ in 0..k::RATE_REFUSALS {
        l.rate_refused();
    }
    assert_eq!(l.transaction_writes(), 32);
    for most in [16, 8, 4, 2, 1, 1] {
        l.rate_refused();
        assert_eq!(l.transaction_writes(), most);
    }
    for _ in 0..100 {
        l.rate_refused();
    }
    assert_eq!(l.transaction_writes(), 1);
    l.accepted();
    assert_eq!(l.transaction_writes(), 32);
}
