//! A stand-in for the state service, in memory. Each node has an address of its own, so that one
//! node alone can be refused.
use crate::http::{serve, Handler, Reply, Request};
use crate::msgpack::{map, s, V};
use crate::rec;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The limits in the settings.
#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

struct Bucket {
    rate: f64,
    left: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket {
            rate,
            left: rate,
            at: Instant::now(),
        }
    }
    /// Takes `n`, within the rate and a burst of one second's worth.
    fn take(&mut self, n: f64) -> bool {
        let now = Instant::now();
        self.left =
            (self.left + now.duration_since(self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        let ok = self.left >= n;
        if ok {
            self.left -= n;
        }
        ok
    }
}

struct Item {
    value: V,
    stamp: u64,
    lease: Option<u64>,
}

struct Lease {
    life: Duration,
    ends: Instant,
}

struct State {
    items: BTreeMap<String, Item>,
    /// All changes, in order: key, its new value (none if it was removed) and the revision.
    changes: Vec<(String, Option<V>, u64)>,
    epoch: u64,
    leases: BTreeMap<u64, Lease>,
    requests: Bucket,
    writes: Bucket,
    /// The nodes that get 503.
    refused: Vec<bool>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    limits: Limits,
}

fn error(status: u16, text: &str) -> Option<Reply> {
    Some((status, map(&[("error", s(text))])))
}

impl State {
    fn change(&mut self, key: &str, value: Option<V>, lease: Option<u64>, stamp: u64) {
        self.changes.push((key.to_owned(), value.clone(), stamp));
        match value {
            Some(value) => drop(self.items.insert(
                key.to_owned(),
                Item {
                    value,
                    stamp,
                    lease,
                },
            )),
            None => drop(self.items.remove(key)),
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let held = |(key, item): (&String, &Item)| (item.lease == Some(lease)).then(|| key.clone());
        let keys: Vec<String> = self.items.iter().filter_map(held).collect();
        if !keys.is_empty() {
            self.epoch += 1;
            for key in keys {
                rec!(
                    "store: lease {lease} has ended, {key} is removed at {}",
                    self.epoch
                );
                self.change(&key, None, None, self.epoch);
            }
        }
        true
    }

    fn changes_after(&self, prefix: &str, since: u64) -> Vec<V> {
        let from = self
            .changes
            .partition_point(|(_, _, stamp)| *stamp <= since);
        let mut events = vec![];
        for (key, value, stamp) in &self.changes[from..] {
            if key.starts_with(prefix) {
                events.push(match value {
                    Some(value) => map(&[
                        ("set", s(key)),
                        ("v", value.clone()),
                        ("stamp", V::Uint(*stamp)),
                    ]),
                    None => map(&[("drop", s(key)), ("stamp", V::Uint(*stamp))]),
                });
            }
        }
        events
    }
}

impl Store {
    pub fn new(nodes: usize, limits: Limits) -> Arc<Store> {
        let store = Arc::new(Store {
            state: Mutex::new(State {
                items: BTreeMap::new(),
                changes: vec![],
                epoch: 1,
                leases: BTreeMap::new(),
                requests: Bucket::new(limits.rps),
                writes: Bucket::new(limits.write_rps),
                refused: vec![false; nodes],
            }),
            changed: Condvar::new(),
            limits,
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            let mut state = expiring.state.lock().unwrap();
            let now = Instant::now();
            let ended: Vec<u64> = state
                .leases
                .iter()
                .filter(|(_, lease)| lease.ends < now)
                .map(|(id, _)| *id)
                .collect();
            for lease in ended {
                state.end_lease(lease);
                expiring.changed.notify_all();
            }
        });
        store
    }

    /// The address for one node.
    pub fn address(self: &Arc<Store>, node: usize) -> String {
        let store = self.clone();
        let handler: Handler = Arc::new(move |request: &Request| store.handle(node, request));
        serve(handler)
    }

    pub fn refuse(&self, node: usize, refused: bool) {
        rec!("store: node {node} is refused: {refused}");
        self.state.lock().unwrap().refused[node] = refused;
        self.changed.notify_all();
    }

    /// The name of the node that holds the leader key, and the key's revision.
    pub fn leader(&self) -> Option<(String, u64)> {
        let state = self.state.lock().unwrap();
        let item = state.items.get("c/leader")?;
        Some((item.value.text("node"), item.stamp))
    }

    /// What stands under a key.
    pub fn value(&self, key: &str) -> Option<V> {
        self.state
            .lock()
            .unwrap()
            .items
            .get(key)
            .map(|item| item.value.clone())
    }

    /// Stores values, one change each, as if they had been written over a long time.
    pub fn fill(&self, entries: impl Iterator<Item = (String, V)>) {
        let mut state = self.state.lock().unwrap();
        for (key, value) in entries {
            state.epoch += 1;
            let stamp = state.epoch;
            state.items.insert(
                key,
                Item {
                    value,
                    stamp,
                    lease: None,
                },
            );
        }
    }

    fn handle(&self, node: usize, request: &Request) -> Option<Reply> {
        thread::sleep(Duration::from_millis(2));
        let mut state = self.state.lock().unwrap();
        if state.refused[node] {
            return error(503, "refused");
        }
        if !state.requests.take(1.0) {
            return error(429, "rate");
        }
        let route = request.route().to_owned();
        match (request.method.as_str(), route.as_str()) {
            ("POST", "/multi") => self.multi(&mut state, &request.body),
            ("POST", "/grants") => {
                let life = V::decode(&request.body)?.uint("lifeMs")?;
                state.epoch += 1;
                let id = state.epoch;
                let life = Duration::from_millis(life);
                state.leases.insert(
                    id,
                    Lease {
                        life,
                        ends: Instant::now() + life,
                    },
                );
                Some((200, map(&[("tenancy", V::Uint(id))])))
            }
            ("GET", "/changes") => {
                drop(state);
                self.watch(node, request)
            }
            ("GET", "/kv") => {
                let (prefix, since) = (request.param("prefix"), request.param("since"));
                let limit: usize = request.param("limit").parse().unwrap_or(1000).min(1000);
                let after = Bound::Excluded(since.max(prefix.clone()));
                let keys = state
                    .items
                    .range((after, Bound::Unbounded))
                    .take_while(|(key, _)| key.starts_with(&prefix));
                let mut rows = vec![];
                let mut bytes = 0;
                let mut has_next = false;
                for (key, item) in keys {
                    let row = map(&[
                        ("path", s(key)),
                        ("v", item.value.clone()),
                        ("stamp", V::Uint(item.stamp)),
                    ]);
                    bytes += row.json().len() + 1;
                    if rows.len() == limit || bytes > 500_000 {
                        has_next = true;
                        break;
                    }
                    rows.push(row);
                }
                let epoch = V::Uint(state.epoch);
                Some((
                    200,
                    map(&[
                        ("rows", V::List(rows)),
                        ("hasNext", V::Bool(has_next)),
                        ("epoch", epoch),
                    ]),
                ))
            }
            (method, path) if path.starts_with("/grants/") => {
                let mut words = path["/grants/".len()..].split('/');
                let id: u64 = words.next()?.parse().ok()?;
                match (method, words.next()) {
                    ("POST", Some("touch")) => match state.leases.get_mut(&id) {
                        Some(lease) => {
                            lease.ends = Instant::now() + lease.life;
                            Some((200, map(&[("tenancy", V::Uint(id))])))
                        }
                        None => error(404, "no such lease"),
                    },
                    ("DELETE", None) => {
                        let known = state.end_lease(id);
                        self.changed.notify_all();
                        if known {
                            Some((200, map(&[])))
                        } else {
                            error(404, "no such lease")
                        }
                    }
                    _ => error(400, "malformed"),
                }
            }
            ("GET", path) if path.starts_with("/kv/") => {
                let key = &path["/kv/".len()..];
                Some(match state.items.get(key) {
                    Some(item) => (
                        200,
                        map(&[
                            ("path", s(key)),
                            ("v", item.value.clone()),
                            ("stamp", V::Uint(item.stamp)),
                        ]),
                    ),
                    None => (404, map(&[("epoch", V::Uint(state.epoch))])),
                })
            }
            _ => error(400, "malformed"),
        }
    }

    fn multi(&self, state: &mut State, body: &[u8]) -> Option<Reply> {
        let txn = V::decode(body)?;
        let writes = txn.list("writes");
        let too_large = |write: &V| {
            write
                .get("v")
                .is_some_and(|v| v.json().len() as f64 > self.limits.value_kb * 1024.0)
        };
        if writes.len() > self.limits.txn_ops
            || txn.json().len() > 64 * 1024
            || writes.iter().any(too_large)
        {
            return error(400, "limit");
        }
        if !state.writes.take(writes.len() as f64) {
            return error(429, "rate");
        }
        let mut failed = vec![];
        for condition in txn.list("if") {
            let key = condition.text("path");
            let stamp = state.items.get(&key).map_or(0, |item| item.stamp);
            if Some(stamp) != condition.uint("stamp") {
                failed.push(s(&key));
            }
        }
        if !failed.is_empty() {
            return Some((
                409,
                map(&[("failed", V::List(failed)), ("epoch", V::Uint(state.epoch))]),
            ));
        }
        let lease_of = |write: &V| write.uint("tenancy");
        if writes
            .iter()
            .filter_map(lease_of)
            .any(|lease| !state.leases.contains_key(&lease))
        {
            return error(400, "no such lease");
        }
        if !writes.is_empty() {
            state.epoch += 1;
        }
        let epoch = state.epoch;
        for write in writes {
            match write.get("set") {
                Some(V::Str(key)) => {
                    if key == "c/leader" {
                        rec!(
                            "store: {} leads, term {epoch}",
                            write.get("v").map_or(String::new(), |v| v.text("node"))
                        );
                    }
                    state.change(key, write.get("v").cloned(), lease_of(&write), epoch);
                }
                _ => state.change(&write.text("drop"), None, None, epoch),
            }
        }
        self.changed.notify_all();
        Some((200, map(&[("epoch", V::Uint(epoch))])))
    }

    fn watch(&self, node: usize, request: &Request) -> Option<Reply> {
        let (prefix, since) = (
            request.param("prefix"),
            request.param("since").parse().ok()?,
        );
        let hold: u64 = request.param("holdMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(hold.min(60_000));
        let mut state = self.state.lock().unwrap();
        loop {
            // While the node is refused, its open watches wait.
            if !state.refused[node] {
                // The last 10,000 changes are kept.
                if since + 10_000 < state.epoch {
                    return error(410, "too old");
                }
                let events = state.changes_after(&prefix, since);
                let now = Instant::now();
                if !events.is_empty() || now >= until {
                    return Some((
                        200,
                        map(&[("epoch", V::Uint(state.epoch)), ("events", V::List(events))]),
                    ));
                }
            }
            state = self
                .changed
                .wait_timeout(state, Duration::from_millis(50))
                .unwrap()
                .0;
        }
    }
}
