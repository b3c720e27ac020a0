//! The calls of a node that wait for an answer, and how a transaction is sent.
use super::*;
use stonegw_constants::STORE_TIMEOUT_MS;

/// A call that waits for its answer, with what the answer is needed for.
pub(super) enum NodeCall {
    List,
    Watch,
    ReadBarrier {
        requests: Vec<PendingRequest>,
        sent_at: Millis,
    },
    CommitUserRequests {
        requests: Vec<PendingRequest>,
        size: TransactionSize,
    },
    HeartbeatsViaStore {
        machines: Vec<String>,
        size: TransactionSize,
    },
    GrantLease,
    Campaign {
        lease: u64,
    },
    RevokeLease,
    ReadVersionRecords,
    StoreVersionRecord,
    FetchCatalog,
    Leader(crate::calls::LeaderCall),
}

impl Node {
    /// Sends a transaction to the state service.
    pub(super) fn send_transaction(&mut self, txn: &Txn<StoredRecord>, what: NodeCall) {
        let (body, wait) = (encode(txn), STORE_TIMEOUT_MS);
        let call = self
            .outbox
            .start_call(Target::Store, "POST", "/multi".into(), body, wait);
        self.calls_in_flight.insert(call, what);
    }
}
