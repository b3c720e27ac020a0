//! Messages between the scheduler and the key-value store: transactions, lists, watches, leases.
use serde::{Deserialize, Serialize};

/// A condition of a transaction, as in a compare-and-swap: a key must have the expected revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// Expected revision of the key; 0 if the key must not exist.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write<V> {
    /// Sets the value of a key.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// The value.
        #[serde(rename = "v")]
        value: V,
        /// Id of the lease whose expiry deletes the entry; `None` if the entry has no lease.
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

/// A transaction: all writes take effect if all conditions hold, otherwise none of them does.
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
    /// Revision of the store after the transaction.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Keys whose conditions failed. If there are any, nothing was written.
    #[serde(default)]
    #[serde(rename = "failed")]
    pub failed_keys: Vec<String>,
}

/// An entry of the store.
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
    /// Id of the lease whose expiry deletes the entry; `None` if the entry has no lease.
    #[serde(rename = "tenancy", default, skip_serializing_if = "Option::is_none")]
    pub lease_id: Option<u64>,
}

/// A page of the entries in a range of keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListPage<V> {
    /// The entries on this page.
    #[serde(rename = "rows")]
    pub entries: Vec<Entry<V>>,
    /// Whether another page follows.
    #[serde(rename = "hasNext")]
    pub has_more: bool,
    /// Revision of the store at which the page was read.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// An event in the response to a watch.
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
    /// Revision up to which the events are complete; the next watch starts from it.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The events in the order of their revisions.
    pub events: Vec<WatchEvent<V>>,
}

/// A request for a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time in ms after which the lease expires unless it is renewed.
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
