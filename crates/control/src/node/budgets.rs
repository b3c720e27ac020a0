//! Divides the store's rate limits among the controllers.
use super::role::Role;
use super::Node;
use stonegw_constants::{LEADER_READ_FRACTION, LEADER_WRITE_FRACTION};

/// Minimum burst of requests, however low the request rate.
const MIN_READ_BURST: f64 = 4.0;

impl Node {
    /// Sets this node's budgets. The store's limits apply to all nodes together; the leader gets
    /// the larger share.
    pub(super) fn share_budgets(&mut self) {
        let peers = self.settings.peers.len().max(1) as f64;
        let share = |leader_fraction: f64| match self.role {
            Role::Leader => leader_fraction,
            _ => (1.0 - leader_fraction) / peers,
        };
        let reads_per_s = self.settings.store_requests_per_s * share(LEADER_READ_FRACTION);
        let writes_per_s = self.settings.store_writes_per_s * share(LEADER_WRITE_FRACTION);
        let read_burst = reads_per_s.max(MIN_READ_BURST);
        self.read_budget.set_rate(reads_per_s, read_burst);
        // The burst must allow one whole transaction, but no more writes than the store accepts in
        // one second: the store would reject a larger transaction on every attempt.
        let write_burst = writes_per_s
            .max(self.settings.max_transaction_writes as f64)
            .min(self.settings.store_writes_per_s)
            .max(1.0);
        self.write_budget.set_rate(writes_per_s, write_burst);
    }
}

#[cfg(test)]
#[path = "budgets_tests.rs"]
mod tests;
