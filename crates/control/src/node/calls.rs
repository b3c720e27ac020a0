//! The calls of a node that wait for an answer, and how a transaction is sent.
use super::*;

/// A call that waits for its answer, with what the answer is needed for.
pub(super) enum Call {
    List,
    Watch,
    Barrier {
        polls: Vec<Pending>,
        sent: Ms,
    },
    Store {
        batch: Vec<Pending>,
        size: TransactionSize,
    },
    ReportsViaState {
        machines: Vec<String>,
        size: TransactionSize,
    },
    Grant,
    Claim {
        lease: u64,
    },
    Release,
    ReadReleases,
    RecordRelease,
    Catalog,
    Leader(crate::leader::Call),
}

impl Node {
    /// Sends a transaction to the state service.
    pub(super) fn transact(&mut self, txn: &Txn<Value>, what: Call) {
        let (body, wait) = (encode(txn), k::STATE_TIMEOUT_MS);
        let call = self
            .out
            .call(Target::State, "POST", "/multi".into(), body, wait);
        self.calls.insert(call, what);
    }
}
