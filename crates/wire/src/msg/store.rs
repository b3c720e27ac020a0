//! Messages between the scheduler and the key-value store: transactions, lists, watches, leases.
use serde::{Deserialize, Serialize};

/// A condition of a transaction, checked by compare-and-swap.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// Revision that the key must have; 0: it must not exist.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write<V> {
    /// Sets a key.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// The value.
        #[serde(rename = "v")]
        value: V,
        /// Lease whose expiry deletes the entry; `None`: it has no lease.
        #[serde(rename = "tenancy", default, skip_serializing_if = "Option::is_none")]
        lease_id: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A transaction: all writes take effect if all conditions hold, else none does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Txn<V> {
    /// The conditions.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// The writes.
    #[serde(rename = "writes")]
    pub writes: Vec<Write<V>>,
}

/// The response to a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TxnResponse {
    /// Revision of the store after it.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Keys whose conditions failed; then nothing was written.
    #[serde(default)]
    #[serde(rename = "failed")]
    pub failed_keys: Vec<String>,
}

/// A stored entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry<V> {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The value.
    #[serde(rename = "v")]
    pub value: V,
    /// Revision of the last write to the entry.
    #[serde(rename = "stamp")]
    pub revision: u64,
    /// Lease whose expiry deletes it; `None`: it has no lease.
    #[serde(rename = "tenancy", default, skip_serializing_if = "Option::is_none")]
    pub lease_id: Option<u64>,
}

/// One page of a range listing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListPage<V> {
    /// The entries on this page.
    #[serde(rename = "rows")]
    pub entries: Vec<Entry<V>>,
    /// Whether another page follows.
    #[serde(rename = "hasNext")]
    pub has_more: bool,
    /// Revision of the store that the page shows.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// One event in the response to a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent<V> {
    /// A key was set.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// The value.
        #[serde(rename = "v")]
        value: V,
        /// Revision of the last write to the entry.
        #[serde(rename = "stamp")]
        revision: u64,
    },
    /// A key was deleted.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
        /// Revision of the deletion.
        #[serde(rename = "stamp")]
        revision: u64,
    },
}

/// The response to a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse<V> {
    /// Revision up to which the events are complete; the next watch starts here.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The events, in order.
    pub events: Vec<WatchEvent<V>>,
}

/// A request for a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live unless renewed, ms.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// A granted lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The lease id.
    #[serde(rename = "tenancy")]
    pub lease_id: u64,
}
