//! The calls of a node that await a response, and how each kind of store request is sent.
use super::pending_request::PendingRequest;
use super::Node;
use crate::api::{Millis, Target};
use crate::calls::LeaderCall;
use crate::records::{StoredRecord, REPLICATED_PREFIX};
use crate::store_limits::TransactionSize;
use stonegw_constants::{LIST_PAGE_ENTRIES, STORE_TIMEOUT_MS};
use stonegw_wire::msg::{encode, LeaseRequest, Txn};

/// A call in flight, with what is needed to handle its response.
pub(super) enum NodeCall {
    /// A call of the leader that runs inside this node.
    Leader(LeaderCall),
    /// Reads the cloud's catalogue of machine types.
    FetchCatalog,
    /// A request of the node itself to the key-value store.
    Store(StoreCall),
}

/// A request of the node itself to the key-value store.
pub(super) enum StoreCall {
    /// Reads a page of the replicated prefix.
    ListReplica,
    /// Long poll for changes of the replicated prefix.
    WatchReplica,
    /// Reads the changes at once, so that the replica is as new as the requests that wait for it.
    ReadBarrier {
        requests: Vec<PendingRequest>,
        sent_at: Millis,
    },
    /// Stores submissions and cancellations of users.
    CommitUserRequests {
        requests: Vec<PendingRequest>,
        size: TransactionSize,
    },
    /// Stores heartbeats of these machines, which the leader reads.
    RelayHeartbeats {
        machines: Vec<String>,
        size: TransactionSize,
    },
    /// Requests the lease under which the node campaigns.
    GrantLease,
    /// Creates the leader key under this lease.
    Campaign { lease: u64 },
    /// Ends a lease of an earlier incarnation or of a failed campaign.
    RevokeLease,
    /// Reads a page of the version records.
    ReadVersionRecords,
    /// Stores this node's version record.
    StoreVersionRecord,
}

impl Node {
    /// Starts a store request whose response is handled as `call`.
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

    /// Reads one page of a prefix, from after a key.
    pub(super) fn list_prefix(&mut self, call: StoreCall, prefix: &str, start_after: Option<&str>) {
        let mut path = format!("/kv?prefix={prefix}&limit={LIST_PAGE_ENTRIES}");
        if let Some(key) = start_after {
            path.push_str(&format!("&since={key}"));
        }
        self.start_store_call(call, "GET", path, vec![], STORE_TIMEOUT_MS);
    }

    /// Reads the changes of the replicated prefix since the replica's revision. Without any, the
    /// store waits for one for `hold_ms`.
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

    /// Sends a transaction.
    pub(super) fn send_transaction(&mut self, call: StoreCall, txn: &Txn<StoredRecord>) {
        let body = encode(txn);
        self.start_store_call(call, "POST", "/multi".into(), body, STORE_TIMEOUT_MS);
    }

    /// Requests a lease.
    pub(super) fn grant_lease(&mut self, ttl_ms: Millis) {
        let body = encode(&LeaseRequest { ttl_ms });
        let path = "/grants".into();
        self.start_store_call(StoreCall::GrantLease, "POST", path, body, STORE_TIMEOUT_MS);
    }

    /// Ends a lease; the keys stored under it are deleted with it.
    pub(super) fn revoke_lease(&mut self, lease: u64) {
        let path = format!("/grants/{lease}");
        let call = StoreCall::RevokeLease;
        self.start_store_call(call, "DELETE", path, vec![], STORE_TIMEOUT_MS);
    }
}
