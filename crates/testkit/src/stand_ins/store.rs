//! The state service: keys, transactions, leases and watches.
use super::{error_response, query_parameter, Ms, Response};
use serde_json::Value;
use std::collections::BTreeMap;
use stonegw_wire::msg::*;

/// Keys on one page of a listing at most (the protocol's limit).
const MAX_KEYS_PER_PAGE: usize = 1000;
/// A transaction may have so many conditions for each change, and so many bytes altogether.
const CONDITIONS_PER_WRITE: usize = 4;
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// An empty map in MessagePack.
const EMPTY_MAP: u8 = 0x80;

fn to_entry(key: &str, (value, version, lease): &(Value, u64, Option<u64>)) -> Entry<Value> {
    Entry {
        key: key.into(),
        value: value.clone(),
        revision: *version,
        lease_id: *lease,
    }
}

/// What the state service takes.
#[derive(Clone, Debug)]
pub struct StoreLimits {
    /// Bytes of a value, counted as JSON.
    pub max_value_bytes: usize,
    /// Changes in a transaction.
    pub max_transaction_writes: usize,
    /// Changes a second; those of one second may come at once.
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
    /// Whether a transaction, its changes and its values are small enough.
    fn allows(&self, txn: &Txn<Value>) -> bool {
        let value_fits = |w: &Write<Value>| match w {
            Write::Put { value, .. } => json_size_bytes(value) <= self.max_value_bytes,
            Write::Delete { .. } => true,
        };
        txn.writes.len() <= self.max_transaction_writes
            && txn.conditions.len() <= self.max_transaction_writes * CONDITIONS_PER_WRITE
            && txn.writes.iter().all(value_fits)
            && json_size_bytes(txn) <= MAX_TRANSACTION_BYTES
    }
}

/// The state service's keys, leases and changes.
#[derive(Default)]
pub struct KeyValueStore {
    /// Each key's value, version and lease.
    pub entries: BTreeMap<String, (Value, u64, Option<u64>)>,
    pub revision: u64,
    /// When each lease ends, and for how long it is renewed.
    leases: BTreeMap<u64, (Ms, Ms)>,
    next_lease_id: u64,
    pub limits: StoreLimits,
    /// Changes made lately, as a level that falls at the rate allowed, and when that was counted.
    write_rate_bucket: (f64, Ms),
    change_log: Vec<(u64, WatchEvent<Value>)>,
}

impl KeyValueStore {
    /// Ends the leases that ran out; whether there were any.
    pub fn expire_leases(&mut self, now: Ms) -> bool {
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| now >= l.0)
            .map(|(id, _)| *id)
            .collect();
        for id in &over {
            self.end_lease(*id);
        }
        !over.is_empty()
    }

    /// After an outage every lease has its full time again.
    pub fn renew_all_leases(&mut self, now: Ms) {
        for l in self.leases.values_mut() {
            l.0 = now + l.1;
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, v)| v.2 == Some(lease))
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.entries.remove(&key);
            self.change_log.push((
                self.revision,
                WatchEvent::Delete {
                    key,
                    revision: self.revision,
                },
            ));
        }
    }

    /// The changes of keys with that prefix after a revision.
    pub fn changes_since(&self, prefix: &str, since: u64) -> WatchResponse<Value> {
        let first = self.change_log.partition_point(|(r, _)| *r <= since);
        let events = self.change_log[first..]
            .iter()
            .filter(|(_, c)| {
                let (WatchEvent::Put { key, .. } | WatchEvent::Delete { key, .. }) = c;
                key.starts_with(prefix)
            })
            .map(|(_, c)| c.clone())
            .collect();
        WatchResponse {
            revision: self.revision,
            events,
        }
    }

    /// `None`: a watch that has to wait.
    pub fn handle_request(
        &mut self,
        now: Ms,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<Response> {
        let bare = path.split('?').next().unwrap_or("");
        Some(match (method, bare) {
            ("GET", "/kv") => self.list_keys(path),
            ("GET", "/changes") => return self.read_changes(path),
            ("GET", p) if p.starts_with("/kv/") => self.read_key(&p[4..]),
            ("POST", "/multi") => self.apply_transaction(now, body),
            ("POST", "/grants") => self.grant_lease(now, body),
            (_, p) if p.starts_with("/grants/") => self.handle_lease_request(now, method, &p[8..]),
            _ => error_response(400, "malformed"),
        })
    }

    fn list_keys(&self, path: &str) -> Response {
        let prefix = query_parameter(path, "prefix").unwrap_or("");
        let since = query_parameter(path, "since").unwrap_or("");
        let limit = query_parameter(path, "limit").and_then(|l| l.parse().ok());
        let limit = limit.unwrap_or(MAX_KEYS_PER_PAGE);
        let rows = self.entries.iter();
        let rows = rows.filter(|(k, _)| k.starts_with(prefix) && k.as_str() > since);
        let mut items: Vec<Entry<Value>> = rows.map(|(k, row)| to_entry(k, row)).collect();
        let more = items.len() > limit;
        items.truncate(limit);
        let revision = self.revision;
        (
            200,
            encode(&ListPage {
                entries: items,
                has_more: more,
                revision,
            }),
        )
    }

    fn read_changes(&self, path: &str) -> Option<Response> {
        let number = |name: &str| query_parameter(path, name).and_then(|n| n.parse().ok());
        let since: u64 = number("since").unwrap_or(0);
        let hold: Ms = number("holdMs").unwrap_or(0);
        let changes = self.changes_since(query_parameter(path, "prefix").unwrap_or(""), since);
        let waits = changes.events.is_empty() && hold > 0;
        (!waits).then(|| (200, encode(&changes)))
    }

    fn read_key(&self, key: &str) -> Response {
        match self.entries.get(key) {
            Some(row) => (200, encode(&to_entry(key, row))),
            None => error_response(404, "none"),
        }
    }

    fn grant_lease(&mut self, now: Ms, body: &[u8]) -> Response {
        let ttl = match decode::<LeaseRequest>(body) {
            Ok(r) => r.ttl_ms,
            Err(e) => return error_response(400, &e.to_string()),
        };
        self.next_lease_id += 1;
        let lease = self.next_lease_id;
        self.leases.insert(lease, (now + ttl, ttl));
        (200, encode(&LeaseResponse { lease_id: lease }))
    }

    /// Renews a lease or ends it.
    fn handle_lease_request(&mut self, now: Ms, method: &str, rest: &str) -> Response {
        let id = rest.split('/').next().and_then(|i| i.parse().ok());
        let id = id.unwrap_or(0);
        let Some(lease) = self.leases.get_mut(&id) else {
            return error_response(404, "no such lease");
        };
        if method == "DELETE" {
            self.end_lease(id);
        } else {
            lease.0 = now + lease.1;
        }
        (200, vec![EMPTY_MAP])
    }

    fn apply_transaction(&mut self, now: Ms, body: &[u8]) -> Response {
        let txn: Txn<Value> = match decode(body) {
            Ok(t) => t,
            Err(e) => return error_response(400, &e.to_string()),
        };
        if !self.limits.allows(&txn) {
            return error_response(400, "too large");
        }
        if !self.admit_writes(now, txn.writes.len()) {
            return error_response(429, "too many changes");
        }
        let lease_over = |w: &Write<Value>| match w {
            Write::Put {
                lease_id: lease, ..
            } => lease.is_some_and(|l| !self.leases.contains_key(&l)),
            Write::Delete { .. } => false,
        };
        if txn.writes.iter().any(lease_over) {
            return error_response(400, "no such lease");
        }
        let version = |key: &str| self.entries.get(key).map_or(0, |k| k.1);
        let conditions = txn.conditions.into_iter();
        let failed = conditions.filter(|c| version(&c.key) != c.revision);
        let failed: Vec<String> = failed.map(|c| c.key).collect();
        let status = if failed.is_empty() { 200 } else { 409 };
        if failed.is_empty() {
            self.revision += 1;
            txn.writes.into_iter().for_each(|w| self.apply_write(w));
        }
        let revision = self.revision;
        (
            status,
            encode(&TxnResponse {
                revision,
                failed_keys: failed,
            }),
        )
    }

    /// Counts changes against the rate, of which one second's may come at once; false if they
    /// exceed it.
    fn admit_writes(&mut self, now: Ms, changes: usize) -> bool {
        let rate = self.limits.max_writes_per_second;
        let (level, at) = self.write_rate_bucket;
        let fallen = (now - at) as f64 / 1e3 * rate;
        let level = (level - fallen).max(0.0) + changes as f64;
        if level > rate {
            return false;
        }
        self.write_rate_bucket = (level, now);
        true
    }

    fn apply_write(&mut self, write: Write<Value>) {
        let version = self.revision;
        let change = match write {
            Write::Put {
                key,
                value,
                lease_id: lease,
            } => {
                let row = (value.clone(), version, lease);
                self.entries.insert(key.clone(), row);
                WatchEvent::Put {
                    key,
                    value,
                    revision: version,
                }
            }
            Write::Delete { key } => {
                self.entries.remove(&key);
                WatchEvent::Delete {
                    key,
                    revision: version,
                }
            }
        };
        self.change_log.push((version, change));
    }
}
