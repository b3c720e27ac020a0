//! The state service: a consistent key-value store as PROTOCOL-stonegw.md describes it, with a
//! port for each controller.
use crate::http::{serve, Reply, Request};
use crate::record::Record;
use crate::value::{map, Value};
use std::collections::{BTreeMap, HashMap};
use std::net::TcpListener;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The service retains this many changes.
const RETAINED_CHANGES: usize = 10_000;

#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
}

struct Entry {
    value: Value,
    stamp: u64,
    lease: Option<u64>,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

struct Change {
    stamp: u64,
    key: String,
    value: Option<Value>,
}

/// Allows bursts of one second's worth.
struct Bucket {
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn take(&mut self, rate: f64, count: f64) -> bool {
        let now = Instant::now();
        let gained = now.duration_since(self.at).as_secs_f64() * rate;
        self.tokens = (self.tokens + gained).min(rate);
        self.at = now;
        let enough = self.tokens >= count;
        if enough {
            self.tokens -= count;
        }
        enough
    }
}

struct State {
    entries: BTreeMap<String, Entry>,
    epoch: u64,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
    changes: Vec<Change>,
    first_retained: u64,
    limits: Limits,
    requests: Bucket,
    writes: Bucket,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// How long each answer takes; watches take as much besides what they wait.
    pub latency_ms: AtomicU64,
    record: Arc<Record>,
}

fn bucket(tokens: f64) -> Bucket {
    Bucket {
        tokens,
        at: Instant::now(),
    }
}

impl Store {
    pub fn start(limits: Limits, listeners: Vec<TcpListener>, record: Arc<Record>) -> Arc<Store> {
        let store = Arc::new(Store {
            state: Mutex::new(State {
                entries: BTreeMap::new(),
                epoch: 0,
                leases: HashMap::new(),
                next_lease: 1,
                changes: vec![],
                first_retained: 0,
                limits,
                requests: bucket(limits.rps),
                writes: bucket(limits.write_rps),
            }),
            changed: Condvar::new(),
            latency_ms: AtomicU64::new(5),
            record,
        });
        for (node, listener) in listeners.into_iter().enumerate() {
            let store = store.clone();
            serve(
                listener,
                Arc::new(move |request| store.answer(node, &request)),
            );
        }
        let expiring = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            expiring.expire_leases();
        });
        store
    }

    pub fn set_limits(&self, limits: Limits) {
        self.state.lock().unwrap().limits = limits;
    }

    /// The name of the controller that holds the leader key.
    pub fn leader(&self) -> Option<String> {
        let state = self.state.lock().unwrap();
        let entry = state.entries.get("c/leader")?;
        Some(entry.value.str("node").to_string())
    }

    fn expire_leases(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, lease)| now >= lease.ends)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            state.end_lease(id);
            self.changed.notify_all();
        }
    }

    fn answer(&self, node: usize, request: &Request) -> Reply {
        std::thread::sleep(Duration::from_millis(
            self.latency_ms.load(Ordering::SeqCst),
        ));
        let reply = self.reply(request);
        if let Some((status, body)) = &reply {
            if !matches!(status, 200 | 409 | 404) {
                let text = Value::decode(body).map_or(String::new(), |v| v.json());
                self.record.line(&format!(
                    "state service -> node {node}: {} {} -> {status} {text}",
                    request.method, request.path
                ));
            }
        }
        reply
    }

    fn reply(&self, request: &Request) -> Reply {
        let mut state = self.state.lock().unwrap();
        let rps = state.limits.rps;
        if !state.requests.take(rps, 1.0) {
            return error(429, "too many requests");
        }
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let parameters: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        match (request.method.as_str(), path) {
            ("GET", "/kv") => state.list(&parameters),
            ("GET", "/changes") => {
                drop(state);
                self.watch(&parameters)
            }
            ("GET", _) if path.starts_with("/kv/") => state.get(&path[4..]),
            ("POST", "/multi") => {
                let Some(body) = Value::decode(&request.body) else {
                    return error(400, "malformed");
                };
                let reply = state.multi(&body);
                self.changed.notify_all();
                reply
            }
            ("POST", "/grants") => {
                let body = Value::decode(&request.body)?;
                let ttl = Duration::from_millis(body.int("lifeMs").unwrap_or(0));
                let id = state.next_lease;
                state.next_lease += 1;
                let ends = Instant::now() + ttl;
                state.leases.insert(id, Lease { ttl, ends });
                ok(map(vec![("tenancy", id.into())]))
            }
            (method, _) if path.starts_with("/grants/") => {
                let rest = &path["/grants/".len()..];
                let id: u64 = rest.trim_end_matches("/touch").parse().unwrap_or(0);
                if !state.leases.contains_key(&id) {
                    return error(404, "no such lease");
                }
                if method == "DELETE" {
                    state.end_lease(id);
                    self.changed.notify_all();
                } else if let Some(lease) = state.leases.get_mut(&id) {
                    lease.ends = Instant::now() + lease.ttl;
                }
                ok(map(vec![("tenancy", id.into())]))
            }
            _ => error(400, "malformed"),
        }
    }

    /// Waits for a change.
    fn watch(&self, parameters: &HashMap<&str, &str>) -> Reply {
        let number = |key: &str| parameters.get(key).and_then(|v| v.parse::<u64>().ok());
        let since = number("since").unwrap_or(0);
        let hold = Duration::from_millis(number("holdMs").unwrap_or(0).min(60_000));
        let until = Instant::now() + hold;
        let prefix = parameters.get("prefix").copied().unwrap_or("");
        let mut state = self.state.lock().unwrap();
        loop {
            if since < state.first_retained {
                return error(410, "too old");
            }
            let events: Vec<Value> = state
                .changes
                .iter()
                .filter(|change| change.stamp > since && change.key.starts_with(prefix))
                .map(Change::event)
                .collect();
            let wait = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || wait.is_zero() {
                return ok(map(vec![
                    ("epoch", state.epoch.into()),
                    ("events", events.into()),
                ]));
            }
            state = self.changed.wait_timeout(state, wait).unwrap().0;
        }
    }
}

impl Change {
    fn event(&self) -> Value {
        match &self.value {
            Some(value) => map(vec![
                ("set", self.key.clone().into()),
                ("v", value.clone()),
                ("stamp", self.stamp.into()),
            ]),
            None => map(vec![
                ("drop", self.key.clone().into()),
                ("stamp", self.stamp.into()),
            ]),
        }
    }
}

fn ok(value: Value) -> Reply {
    Some((200, value.encode()))
}

fn error(status: u16, text: &str) -> Reply {
    Some((status, map(vec![("error", text.into())]).encode()))
}

impl State {
    fn note(&mut self, key: &str, value: Option<Value>) {
        self.changes.push(Change {
            stamp: self.epoch,
            key: key.to_string(),
            value,
        });
        if self.changes.len() > RETAINED_CHANGES {
            self.first_retained = self.changes.remove(0).stamp;
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.epoch += 1;
            self.entries.remove(&key);
            self.note(&key, None);
        }
    }

    fn get(&self, key: &str) -> Reply {
        match self.entries.get(key) {
            Some(entry) => ok(row(key, entry)),
            None => Some((404, map(vec![("epoch", self.epoch.into())]).encode())),
        }
    }

    /// At most 1,000 items and 512 KiB per response.
    fn list(&self, parameters: &HashMap<&str, &str>) -> Reply {
        let prefix = parameters.get("prefix").copied().unwrap_or("");
        let since = parameters.get("since").copied();
        let limit: usize = parameters
            .get("limit")
            .and_then(|v| v.parse().ok())
            .unwrap_or(1000);
        let mut rows = vec![];
        let mut bytes = 0;
        let mut has_next = false;
        for (key, entry) in &self.entries {
            if !key.starts_with(prefix) || since.is_some_and(|since| key.as_str() <= since) {
                continue;
            }
            let row = row(key, entry);
            bytes += row.json().len() + 1;
            if rows.len() >= limit.min(1000) || bytes > 512 * 1024 - 100 {
                has_next = true;
                break;
            }
            rows.push(row);
        }
        ok(map(vec![
            ("rows", rows.into()),
            ("hasNext", has_next.into()),
            ("epoch", self.epoch.into()),
        ]))
    }

    fn multi(&mut self, body: &Value) -> Reply {
        let conditions = body.list("if");
        let writes = body.list("writes");
        if writes.len() > self.limits.txn_ops || conditions.len() > 4 * self.limits.txn_ops {
            return error(400, "too many operations");
        }
        if body.json().len() > 64 * 1024 {
            return error(400, "transaction too large");
        }
        for write in writes {
            let size = write.get("v").map_or(0, |value| value.json().len());
            if size > self.limits.value_bytes {
                return error(400, "value too large");
            }
            if write.get("set").is_some() {
                if let Some(lease) = write.int("tenancy") {
                    if !self.leases.contains_key(&lease) {
                        return error(400, "no such lease");
                    }
                }
            }
        }
        let rate = self.limits.write_rps;
        if !writes.is_empty() && !self.writes.take(rate, writes.len() as f64) {
            return error(429, "too many changes");
        }
        let failed: Vec<Value> = conditions
            .iter()
            .filter(|condition| {
                let stamp = self
                    .entries
                    .get(condition.str("path"))
                    .map_or(0, |e| e.stamp);
                stamp != condition.int("stamp").unwrap_or(0)
            })
            .map(|condition| condition.str("path").into())
            .collect();
        if !failed.is_empty() {
            let body = map(vec![
                ("failed", failed.into()),
                ("epoch", self.epoch.into()),
            ]);
            return Some((409, body.encode()));
        }
        if !writes.is_empty() {
            self.epoch += 1;
        }
        for write in writes {
            if write.get("set").is_some() {
                let key = write.str("set").to_string();
                let value = write.get("v").cloned().unwrap_or(Value::Nil);
                let entry = Entry {
                    value: value.clone(),
                    stamp: self.epoch,
                    lease: write.int("tenancy"),
                };
                self.entries.insert(key.clone(), entry);
                self.note(&key, Some(value));
            } else {
                let key = write.str("drop").to_string();
                if self.entries.remove(&key).is_some() {
                    self.note(&key, None);
                }
            }
        }
        ok(map(vec![("epoch", self.epoch.into())]))
    }
}

fn row(key: &str, entry: &Entry) -> Value {
    let mut row = vec![
        ("path", key.into()),
        ("v", entry.value.clone()),
        ("stamp", entry.stamp.into()),
    ];
    if let Some(lease) = entry.lease {
        row.push(("tenancy", lease.into()));
    }
    map(row)
}
