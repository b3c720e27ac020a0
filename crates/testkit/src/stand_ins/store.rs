//! A model of the key-value store: keys, transactions, leases and watches.
use super::http::{query_number, query_parameter, HttpResponse, EMPTY_MAP};
use super::parameters::Ms;
use serde_json::Value;
use std::collections::BTreeMap;
use stonegw_wire::msg::{
    decode, encode, json_size_bytes, Entry, LeaseRequest, LeaseResponse, ListPage, Txn,
    TxnResponse, WatchEvent, WatchResponse, Write,
};

/// The largest number of keys on one page of a listing (the protocol's limit).
const MAX_KEYS_PER_PAGE: usize = 1000;
/// The limits of a transaction: conditions for each allowed write, and total size.
const CONDITIONS_PER_WRITE: usize = 4;
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;

/// The limits that the store enforces.
#[derive(Clone, Debug)]
pub struct StoreLimits {
    /// The largest size of a value, as JSON.
    pub max_value_bytes: usize,
    /// The largest number of writes in a transaction.
    pub max_transaction_writes: usize,
    /// The largest rate of writes; a burst may contain the writes of one second.
    pub max_writes_per_second: f64,
}

impl Default for StoreLimits {
    fn default() -> StoreLimits {
        StoreLimits {
            max_value_bytes: usize::MAX,
            max_transaction_writes: usize::MAX / CONDITIONS_PER_WRITE,
            max_writes_per_second: f64::INFINITY,
        }
    }
}

impl StoreLimits {
    /// Returns whether a transaction and its values are within the limits.
    fn allows(&self, transaction: &Txn<Value>) -> bool {
        let value_fits = |write: &Write<Value>| match write {
            Write::Put { value, .. } => json_size_bytes(value) <= self.max_value_bytes,
            Write::Delete { .. } => true,
        };
        transaction.writes.len() <= self.max_transaction_writes
            && transaction.conditions.len() <= self.max_transaction_writes * CONDITIONS_PER_WRITE
            && transaction.writes.iter().all(value_fits)
            && json_size_bytes(transaction) <= MAX_TRANSACTION_BYTES
    }
}

/// The entry of a key.
#[derive(Clone, Debug)]
pub struct StoredEntry {
    /// The value.
    pub value: Value,
    /// The store's revision after the write.
    pub revision: u64,
    /// The lease to which the entry is bound; the entry is deleted when the lease ends.
    pub lease_id: Option<u64>,
}

impl StoredEntry {
    fn to_listed(&self, key: &str) -> Entry<Value> {
        Entry {
            key: key.into(),
            value: self.value.clone(),
            revision: self.revision,
            lease_id: self.lease_id,
        }
    }
}

/// A lease to which keys may be bound.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    /// When it expires unless it is renewed.
    pub expires_at: Ms,
    /// How long a grant or renewal lasts.
    pub ttl_ms: Ms,
}

impl Lease {
    fn renew(&mut self, now: Ms) {
        self.expires_at = now + self.ttl_ms;
    }
}

/// A leaky bucket that counts recent writes and drains at the allowed rate.
#[derive(Default)]
struct WriteRateBucket {
    level: f64,
    updated_at: Ms,
}

impl WriteRateBucket {
    /// Admits writes if the bucket, which holds the writes of one second, has room for them;
    /// returns `false` if it has not.
    fn admit(&mut self, now: Ms, writes: usize, max_writes_per_second: f64) -> bool {
        let drained = (now - self.updated_at) as f64 / 1e3 * max_writes_per_second;
        let level = (self.level - drained).max(0.0) + writes as f64;
        if level > max_writes_per_second {
            return false;
        }
        self.level = level;
        self.updated_at = now;
        true
    }
}

/// A change of a key, with the store's revision after it.
struct LoggedChange {
    revision: u64,
    event: WatchEvent<Value>,
}

/// The store's keys, leases and changes.
#[derive(Default)]
pub struct KeyValueStore {
    /// The entry of each key.
    pub entries: BTreeMap<String, StoredEntry>,
    /// The current revision. It grows with each applied transaction, and with each end of a lease
    /// that deletes keys.
    pub revision: u64,
    /// The limits that the store enforces.
    pub limits: StoreLimits,
    leases: BTreeMap<u64, Lease>,
    next_lease_id: u64,
    write_rate: WriteRateBucket,
    change_log: Vec<LoggedChange>,
}

impl KeyValueStore {
    /// Ends the leases that have expired, and returns whether there were any.
    pub fn expire_leases(&mut self, now: Ms) -> bool {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| now >= lease.expires_at)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.end_lease(*id);
        }
        !expired.is_empty()
    }

    /// Renews all leases for their full time at the end of an outage.
    pub fn renew_all_leases(&mut self, now: Ms) {
        for lease in self.leases.values_mut() {
            lease.renew(now);
        }
    }

    fn end_lease(&mut self, lease_id: u64) {
        self.leases.remove(&lease_id);
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease_id == Some(lease_id))
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.entries.remove(&key);
            self.log_change(WatchEvent::Delete {
                key,
                revision: self.revision,
            });
        }
    }

    fn log_change(&mut self, event: WatchEvent<Value>) {
        self.change_log.push(LoggedChange {
            revision: self.revision,
            event,
        });
    }

    /// Returns the changes of keys with the prefix that were made after `revision`.
    pub fn changes_since(&self, prefix: &str, revision: u64) -> WatchResponse<Value> {
        let first = self
            .change_log
            .partition_point(|change| change.revision <= revision);
        let events = self.change_log[first..]
            .iter()
            .map(|change| &change.event)
            .filter(|event| {
                let (WatchEvent::Put { key, .. } | WatchEvent::Delete { key, .. }) = event;
                key.starts_with(prefix)
            })
            .cloned()
            .collect();
        WatchResponse {
            revision: self.revision,
            events,
        }
    }

    /// Handles one HTTP request. Returns `None` for a watch that is to be held until there is a
    /// change.
    pub fn handle_request(
        &mut self,
        now: Ms,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<HttpResponse> {
        let bare_path = path.split('?').next().unwrap_or("");
        if (method, bare_path) == ("GET", "/changes") {
            return self.read_changes(path);
        }
        Some(match (method, bare_path) {
            ("GET", "/kv") => self.list_keys(path),
            ("GET", path) if path.starts_with("/kv/") => self.read_key(&path[4..]),
            ("POST", "/multi") => self.apply_transaction(now, body),
            ("POST", "/grants") => self.grant_lease(now, body),
            (_, path) if path.starts_with("/grants/") => {
                self.handle_lease_request(now, method, &path[8..])
            }
            _ => HttpResponse::error(400, "malformed"),
        })
    }

    fn list_keys(&self, path: &str) -> HttpResponse {
        let prefix = query_parameter(path, "prefix").unwrap_or("");
        let since = query_parameter(path, "since").unwrap_or("");
        let limit = query_parameter(path, "limit").and_then(|limit| limit.parse().ok());
        let limit = limit.unwrap_or(MAX_KEYS_PER_PAGE);
        let mut entries: Vec<Entry<Value>> = self
            .entries
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > since)
            .map(|(key, entry)| entry.to_listed(key))
            .collect();
        let has_more = entries.len() > limit;
        entries.truncate(limit);
        HttpResponse::ok(encode(&ListPage {
            entries,
            has_more,
            revision: self.revision,
        }))
    }

    fn read_changes(&self, path: &str) -> Option<HttpResponse> {
        let since = query_number(path, "since").unwrap_or(0);
        let hold_ms = query_number(path, "holdMs").unwrap_or(0);
        let changes = self.changes_since(query_parameter(path, "prefix").unwrap_or(""), since);
        let has_to_wait = changes.events.is_empty() && hold_ms > 0;
        (!has_to_wait).then(|| HttpResponse::ok(encode(&changes)))
    }

    fn read_key(&self, key: &str) -> HttpResponse {
        match self.entries.get(key) {
            Some(entry) => HttpResponse::ok(encode(&entry.to_listed(key))),
            None => HttpResponse::error(404, "no such key"),
        }
    }

    fn grant_lease(&mut self, now: Ms, body: &[u8]) -> HttpResponse {
        let ttl_ms = match decode::<LeaseRequest>(body) {
            Ok(request) => request.ttl_ms,
            Err(error) => return HttpResponse::error(400, &error.to_string()),
        };
        self.next_lease_id += 1;
        let lease_id = self.next_lease_id;
        let expires_at = now + ttl_ms;
        self.leases.insert(lease_id, Lease { expires_at, ttl_ms });
        HttpResponse::ok(encode(&LeaseResponse { lease_id }))
    }

    /// Renews or ends a lease; `rest` is the path beginning with the lease's id.
    fn handle_lease_request(&mut self, now: Ms, method: &str, rest: &str) -> HttpResponse {
        let lease_id = rest.split('/').next().and_then(|id| id.parse().ok());
        let lease_id = lease_id.unwrap_or(0);
        let Some(lease) = self.leases.get_mut(&lease_id) else {
            return HttpResponse::error(404, "no such lease");
        };
        if method == "DELETE" {
            self.end_lease(lease_id);
        } else {
            lease.renew(now);
        }
        HttpResponse::ok(vec![EMPTY_MAP])
    }

    fn apply_transaction(&mut self, now: Ms, body: &[u8]) -> HttpResponse {
        let transaction: Txn<Value> = match decode(body) {
            Ok(transaction) => transaction,
            Err(error) => return HttpResponse::error(400, &error.to_string()),
        };
        if !self.limits.allows(&transaction) {
            return HttpResponse::error(400, "too large");
        }
        let max_rate = self.limits.max_writes_per_second;
        if !self
            .write_rate
            .admit(now, transaction.writes.len(), max_rate)
        {
            return HttpResponse::error(429, "too many changes");
        }
        if transaction
            .writes
            .iter()
            .any(|write| self.names_ended_lease(write))
        {
            return HttpResponse::error(400, "no such lease");
        }
        let failed_keys: Vec<String> = transaction
            .conditions
            .into_iter()
            .filter(|condition| self.key_revision(&condition.key) != condition.revision)
            .map(|condition| condition.key)
            .collect();
        let status = if failed_keys.is_empty() { 200 } else { 409 };
        if failed_keys.is_empty() {
            self.revision += 1;
            for write in transaction.writes {
                self.apply_write(write);
            }
        }
        let body = encode(&TxnResponse {
            revision: self.revision,
            failed_keys,
        });
        HttpResponse { status, body }
    }

    fn names_ended_lease(&self, write: &Write<Value>) -> bool {
        match write {
            Write::Put { lease_id, .. } => {
                lease_id.is_some_and(|id| !self.leases.contains_key(&id))
            }
            Write::Delete { .. } => false,
        }
    }

    /// Returns the revision of a key; 0 if the key does not exist.
    fn key_revision(&self, key: &str) -> u64 {
        self.entries.get(key).map_or(0, |entry| entry.revision)
    }

    fn apply_write(&mut self, write: Write<Value>) {
        let revision = self.revision;
        let event = match write {
            Write::Put {
                key,
                value,
                lease_id,
            } => {
                let entry = StoredEntry {
                    value: value.clone(),
                    revision,
                    lease_id,
                };
                self.entries.insert(key.clone(), entry);
                WatchEvent::Put {
                    key,
                    value,
                    revision,
                }
            }
            Write::Delete { key } => {
                self.entries.remove(&key);
                WatchEvent::Delete { key, revision }
            }
        };
        self.log_change(event);
    }
}
