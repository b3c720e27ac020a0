//! Messages between the scheduler and the state service: transactions, lists, watches, leases.
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write<V> {
    Put {
        #[serde(rename = "set")]
        key: String,
        #[serde(rename = "v")]
        value: V,
        #[serde(rename = "tenancy", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Txn<V> {
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "writes")]
    pub writes: Vec<Write<V>>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TxnAnswer {
    #[serde(rename = "epoch")]
    pub revision: u64,
    #[serde(default)]
    pub failed: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry<V> {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: V,
    #[serde(rename = "stamp")]
    pub version: u64,
    #[serde(rename = "tenancy", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listing<V> {
    #[serde(rename = "rows")]
    pub items: Vec<Entry<V>>,
    #[serde(rename = "hasNext")]
    pub more: bool,
    #[serde(rename = "epoch")]
    pub revision: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change<V> {
    Put {
        #[serde(rename = "set")]
        key: String,
        #[serde(rename = "v")]
        value: V,
        #[serde(rename = "stamp")]
        version: u64,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
        #[serde(rename = "stamp")]
        version: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes<V> {
    #[serde(rename = "epoch")]
    pub revision: u64,
    pub events: Vec<Change<V>>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    #[serde(rename = "tenancy")]
    pub lease: u64,
}
