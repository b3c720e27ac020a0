//! Messages between the scheduler and the state service: transactions, lists, watches, leases.
use serde::{Deserialize, Serialize};

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// Version that the key must have; 0: it must not exist.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// One change in a transaction.
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
        /// Lease with which the entry ends; `None`: it stays.
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

/// The answer to a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TxnResponse {
    /// Revision of the store after it.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Keys whose conditions did not hold.
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
    /// Version of the entry.
    #[serde(rename = "stamp")]
    pub revision: u64,
    /// Lease with which it ends; `None`: it stays.
    #[serde(rename = "tenancy", default, skip_serializing_if = "Option::is_none")]
    pub lease_id: Option<u64>,
}

/// One page of a list.
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

/// One change in the answer to a watch.
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
        /// Version of the entry.
        #[serde(rename = "stamp")]
        revision: u64,
    },
    /// A key was deleted.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
        /// Version of the deletion.
        #[serde(rename = "stamp")]
        revision: u64,
    },
}

/// The answer to a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse<V> {
    /// Revision up to which the changes are told.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The changes, in order.
    pub events: Vec<WatchEvent<V>>,
}

/// A request for a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time until it ends unless renewed, ms.
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
