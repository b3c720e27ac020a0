//! The calls of a node that await a response, and the functions that send store requests.
use super::pending_request::PendingRequest;
use super::Node;
use crate::api::{Millis, Target};
use crate::calls::LeaderCall;
use crate::records::{StoredRecord, REPLICATED_PREFIX};
use crate::store_limits::TransactionSize;
use stonegw_constants::{LIST_PAGE_ENTRIES, STORE_TIMEOUT_MS};
use stonegw_wire::msg::{encode, LeaseRequest, Txn};

/// A call in flight, with the data needed to handle its response.
pub(super) enum NodeCall {
    /// A call of the leader that runs on this node.
    Leader(LeaderCall),
    /// A read of the cloud's catalogue of machine types.
    FetchCatalog,
    /// A request to the key-value store that the node itself makes.
    Store(StoreCall),
}

/// A request to the key-value store that the node itself makes, not its leader.
pub(super) enum StoreCall {
    /// Reads a page of the replicated prefix.
    ListReplica,
    /// Long-polls for changes of the replicated prefix.
    WatchReplica,
    /// Reads the changes without waiting for new ones, so that the replica includes everything
    /// stored before the read was sent.
    ReadBarrier {
        requests: Vec<PendingRequest>,
        sent_at: Millis,
    },
    /// Stores users' submissions and cancellations.
    CommitUserRequests {
        requests: Vec<PendingRequest>,
        size: TransactionSize,
    },
    /// Stores the heartbeats of these machines for the leader to read.
    RelayHeartbeats {
        machines: Vec<String>,
        size: TransactionSize,
    },
    /// Requests the lease under which the node campaigns.
    GrantLease,
    /// Creates the leader key under this lease.
    Campaign { lease: u64 },
    /// Revokes a lease of an earlier incarnation, of a failed campaign or of a resignation.
    RevokeLease,
    /// Reads a page of the version records.
    ReadVersionRecords,
    /// Stores this node's version record.
    StoreVersionRecord,
}

impl Node {
    /// Sends a store request whose response will be handled according to `call`.
    pub(super) fn start_store_call(
        &mut self,
        call: StoreCall,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout_ms: Millis,
    ) {
        let call_id = self
            .outbox
            .start_call(Target::Store, method, path, body, timeout_ms);
        self.calls_in_flight.insert(call_id, NodeCall::Store(call));
    }

    /// Reads one page of the entries under a prefix, starting after the key `start_after` if given.
    pub(super) fn list_prefix(&mut self, call: StoreCall, prefix: &str, start_after: Option<&str>) {
        let mut path = format!("/kv?prefix={prefix}&limit={LIST_PAGE_ENTRIES}");
        if let Some(key) = start_after {
            path.push_str(&format!("&since={key}"));
        }
        self.start_store_call(call, "GET", path, vec![], STORE_TIMEOUT_MS);
    }

    /// Reads the changes of the replicated prefix since the replica's revision. If there are none,
    /// the store waits up to `hold_ms` for one before it responds.
    pub(super) fn read_replica_changes(
        &mut self,
        call: StoreCall,
        hold_ms: Millis,
        timeout_ms: Millis,
    ) {
        let revision = self.replica.revision;
        let path = format!("/changes?prefix={REPLICATED_PREFIX}&since={revision}&holdMs={hold_ms}");
        self.start_store_call(call, "GET", path, vec![], timeout_ms);
    }

    /// Sends a transaction to the store.
    pub(super) fn send_transaction(&mut self, call: StoreCall, txn: &Txn<StoredRecord>) {
        let body = encode(txn);
        self.start_store_call(call, "POST", "/multi".into(), body, STORE_TIMEOUT_MS);
    }

    /// Requests a lease with this time to live.
    pub(super) fn grant_lease(&mut self, ttl_ms: Millis) {
        let body = encode(&LeaseRequest { ttl_ms });
        let path = "/grants".into();
        self.start_store_call(StoreCall::GrantLease, "POST", path, body, STORE_TIMEOUT_MS);
    }

    /// Revokes a lease. The store deletes the keys that are attached to the lease.
    pub(super) fn revoke_lease(&mut self, lease: u64) {
        let path = format!("/grants/{lease}");
        let call = StoreCall::RevokeLease;
        self.start_store_call(call, "DELETE", path, vec![], STORE_TIMEOUT_MS);
    }
}
