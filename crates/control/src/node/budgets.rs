//! Divides the state service's limits among the controllers.
use super::*;

impl Node {
    /// The state service's limits hold for all nodes together: the leader gets the larger part.
    pub(super) fn share_budgets(&mut self) {
        let others = self.set.peers.len().max(1) as f64;
        let share = |part: f64| match self.role {
            Role::Leading => part,
            _ => (1.0 - part) / others,
        };
        let r = self.set.state_rps * share(k::LEADER_READS);
        let w = self.set.state_write_rps * share(k::LEADER_WRITES);
        self.reads.set_rate(r, r.max(4.0));
        // A burst of one whole transaction must be possible, but never more than the state service
        // takes in a second: it would be refused for ever.
        let burst = w.max(self.set.txn_ops as f64);
        self.writes
            .set_rate(w, burst.min(self.set.state_write_rps).max(1.0));
    }
}
