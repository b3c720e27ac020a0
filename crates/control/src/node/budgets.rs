//! Divides the state service's limits among the controllers.
use super::*;
use stonegw_constants::{LEADER_READ_FRACTION, LEADER_WRITE_FRACTION};

impl Node {
    /// The state service's limits hold for all nodes together: the leader gets the larger part.
    pub(super) fn share_budgets(&mut self) {
        let others = self.settings.peers.len().max(1) as f64;
        let share = |part: f64| match self.role {
            Role::Leader => part,
            _ => (1.0 - part) / others,
        };
        let r = self.settings.store_requests_per_s * share(LEADER_READ_FRACTION);
        let w = self.settings.store_writes_per_s * share(LEADER_WRITE_FRACTION);
        self.read_budget.set_rate(r, r.max(4.0));
        // A burst of one whole transaction must be possible, but never more than the state service
        // takes in a second: it would be refused for ever.
        let burst = w.max(self.settings.max_transaction_writes as f64);
        self.write_budget
            .set_rate(w, burst.min(self.settings.store_writes_per_s).max(1.0));
    }
}
