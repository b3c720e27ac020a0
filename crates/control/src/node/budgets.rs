//! Divides the store's rate limits among the controllers.
use super::role::Role;
use super::Node;
use stonegw_constants::{LEADER_READ_FRACTION, LEADER_WRITE_FRACTION};

/// The burst of requests is at least so many, however low the rate.
const MIN_READ_BURST: f64 = 4.0;

impl Node {
    /// Sets this node's budgets: the store's limits hold for all nodes together, and the leader
    /// gets the larger part.
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
        // A burst of one whole transaction must be possible, but never more than the store
        // accepts in a second: it would be rejected for ever.
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
