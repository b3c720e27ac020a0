//! The gate of a rolling upgrade: one node beside a stand-in of the state service.
use serde_json::{json, Value};
use std::collections::BTreeMap;
use stonegw_constants::{
    FEATURE_GATE_READ_FRACTION, FEATURE_GATE_READ_INTERVAL_MS, LEADER_READ_FRACTION,
    PROGRAM_VERSION, RETRY_AFTER_FEATURE_GATE_S, STORE_TIMEOUT_MS, SUBMISSION_TIMEOUT_MS,
};
use stonegw_control::api::{Action, CallError, CallResult, Event, Now, Target};
use stonegw_control::node::Node;
use stonegw_control::settings::{Settings, Team, Tuning};
use stonegw_wire::http::Request;
use stonegw_wire::msg::{
    decode, encode, Entry, ListPage, Txn, TxnResponse, WatchEvent, WatchResponse, Write,
};

const STEP_MS: u64 = 50;
/// Steps after which what was awaited never comes.
const TIMEOUT_STEPS: usize = 1_000;
/// Enough for a node to be live and to have read the releases once.
const FIRST_READ_MS: u64 = 1_500;
const VERSION_SCAN_MS: u64 = FEATURE_GATE_READ_INTERVAL_MS + 500;

/// How the state service answers.
#[derive(Clone, Copy, PartialEq)]
enum StoreBehavior {
    Available,
    /// Refuses everything with this status.
    Rejects(u16),
    /// Carries out what it is asked, but the answer is lost.
    DropsReplies,
    /// Neither carries out nor answers.
    Unresponsive,
}

struct FakeStoreHarness {
    node: Node,
    now_ms: u64,
    store_behavior: StoreBehavior,
    store_entries: BTreeMap<String, (Value, u64)>,
    store_changes: Vec<(u64, WatchEvent<Value>)>,
    revision: u64,
    /// Calls' ends on their way to the node: when, which call, the result.
    pending_results: Vec<(u64, u64, CallResult)>,
    /// The most items on a page of a listing.
    page_size: usize,
    /// Every transaction sent, whatever became of it.
    transactions_sent: Vec<Vec<u8>>,
    /// The keys of each transaction that reached the service.
    transaction_keys: Vec<Vec<String>>,
    /// When the releases were read.
    version_read_times: Vec<u64>,
    replies: BTreeMap<u64, (u16, Option<u32>, Vec<u8>)>,
    last_request_id: u64,
}

fn settings(state_rps: f64) -> Settings {
    Settings {
        node_name: "node-0".into(),
        zone: "a".into(),
        peers: vec!["node-1".into(), "node-2".into()],
        zones: vec!["a".into()],
        teams: vec![Team {
            name: "red".into(),
            quota_cpus: 8.0,
            limit_cpus: 8.0,
            quota_gpus: 0.0,
            limit_gpus: 0.0,
        }],
        class_slos: vec![],
        heartbeat_interval_s: 3.0,
        worker_lease_s: 24.0,
        cancellation_deadline_s: 54.0,
        gang_start_timeout_s: 35.0,
        gang_loss_detection_s: 8.0,
        store_requests_per_s: state_rps,
        store_writes_per_s: 60.0,
        max_value_bytes: 8 * 1024,
        max_transaction_writes: 8,
        cloud_requests_per_s: 5.0,
        cloud_listing_lag_s: 4.0,
        max_sockets: 1000,
        tuning: Tuning::default(),
    }
}

impl FakeStoreHarness {
    fn new() -> FakeStoreHarness {
        FakeStoreHarness::with_settings(settings(150.0))
    }

    fn with_settings(settings: Settings) -> FakeStoreHarness {
        let mut world = FakeStoreHarness {
            node: Node::new(settings, 7),
            now_ms: 1_000,
            store_behavior: StoreBehavior::Available,
            store_entries: BTreeMap::new(),
            store_changes: vec![],
            revision: 1,
            pending_results: vec![],
            page_size: usize::MAX,
            transactions_sent: vec![],
            transaction_keys: vec![],
            version_read_times: vec![],
            replies: BTreeMap::new(),
            last_request_id: 0,
        };
        // Another node leads: this one only follows.
        let leader = json!({"node": "node-1", "nonce": 5, "lease": 6});
        world.put("c/leader", leader);
        world.deliver(Event::Start);
        world
    }

    fn put(&mut self, key: &str, value: Value) {
        self.revision += 1;
        let version = self.revision;
        self.store_entries
            .insert(key.into(), (value.clone(), version));
        let key = key.into();
        let change = WatchEvent::Put {
            key,
            value,
            revision: version,
        };
        self.store_changes.push((version, change));
    }

    fn store_current_version(&mut self, node: &str) {
        self.put(&format!("v/{node}"), json!({"release": PROGRAM_VERSION}));
    }

    /// The same world with a new process.
    fn restart_node(&mut self) {
        self.node = Node::new(settings(150.0), 8);
        self.pending_results.clear();
        self.deliver(Event::Start);
    }

    fn deliver(&mut self, event: Event) {
        let now = Now {
            monotonic_ms: self.now_ms,
            wall_ms: 1_000_000 + self.now_ms,
        };
        for action in self.node.handle(now, [event]) {
            self.perform_action(action);
        }
    }

    fn run_for(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            let due = self.now_ms;
            let waiting = std::mem::take(&mut self.pending_results);
            let (arrived, later) = waiting.into_iter().partition(|answer| answer.0 <= due);
            self.pending_results = later;
            let arrived: Vec<_> = arrived;
            for (_, call, result) in arrived {
                self.deliver(Event::CallDone {
                    call_id: call,
                    result,
                });
            }
            self.deliver(Event::Tick);
        }
    }

    fn run_until(&mut self, reached: impl Fn(&FakeStoreHarness) -> bool) {
        for _ in 0..TIMEOUT_STEPS {
            if reached(self) {
                return;
            }
            self.run_for(STEP_MS);
        }
        panic!("never reached");
    }

    fn perform_action(&mut self, action: Action) {
        match action {
            Action::Reply {
                request_id: id,
                status,
                retry_after_s,
                body,
            } => {
                self.replies.insert(id, (status, retry_after_s, body));
            }
            Action::Call {
                call_id: call,
                target,
                path,
                body,
                timeout_ms,
                ..
            } => {
                let answer = match target {
                    Target::Store => self.serve_store_call(&path, &body),
                    _ => Some((200, encode(&catalog()))),
                };
                let end = match answer {
                    Some(answer) => (self.now_ms + STEP_MS, call, Ok(answer)),
                    None => (
                        self.now_ms + timeout_ms,
                        call,
                        Err(CallError::OutcomeUnknown),
                    ),
                };
                self.pending_results.push(end);
            }
            Action::SendFrame { .. } => {}
        }
    }

    fn serve_store_call(&mut self, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
        if path.starts_with("/kv?prefix=v/") {
            self.version_read_times.push(self.now_ms);
        }
        if path == "/multi" {
            self.transactions_sent.push(body.to_vec());
        }
        match self.store_behavior {
            StoreBehavior::Available => self.execute_store_call(path, body),
            StoreBehavior::Rejects(status) => Some((status, encode(&json!({"error": "trouble"})))),
            StoreBehavior::DropsReplies => {
                self.execute_store_call(path, body);
                None
            }
            StoreBehavior::Unresponsive => None,
        }
    }

    /// `None`: a watch, which is held.
    fn execute_store_call(&mut self, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
        let field = |name: &str| {
            let query = path.split_once('?').map_or("", |q| q.1);
            let found = query.split('&').find_map(|f| f.strip_prefix(name));
            found.unwrap_or("").to_owned()
        };
        if path == "/multi" {
            return Some(self.commit_transaction(body));
        }
        if path.starts_with("/changes") {
            if field("holdMs=") != "0" {
                return None;
            }
            let since: u64 = field("since=").parse().expect("a revision");
            let later = self.store_changes.iter().filter(|(at, _)| *at > since);
            let common = later.filter(|(_, change)| match change {
                WatchEvent::Put { key, .. } | WatchEvent::Delete { key, .. } => {
                    key.starts_with("c/")
                }
            });
            let events = common.map(|(_, change)| change.clone()).collect();
            let revision = self.revision;
            return Some((200, encode(&WatchResponse { revision, events })));
        }
        assert!(path.starts_with("/kv?"), "unexpected {path}");
        let (prefix, since) = (field("prefix="), field("since="));
        let found = self
            .store_entries
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > since);
        let mut items: Vec<Entry<Value>> = found
            .map(|(key, (value, version))| Entry {
                key: key.clone(),
                value: value.clone(),
                revision: *version,
                lease_id: None,
            })
            .collect();
        let more = items.len() > self.page_size;
        items.truncate(self.page_size);
        let revision = self.revision;
        let listing = ListPage {
            entries: items,
            has_more: more,
            revision,
        };
        Some((200, encode(&listing)))
    }

    fn commit_transaction(&mut self, body: &[u8]) -> (u16, Vec<u8>) {
        let txn: Txn<Value> = decode(body).expect("a transaction");
        let stamp = |key: &str| self.store_entries.get(key).map_or(0, |stored| stored.1);
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| stamp(&c.key) != c.revision)
            .map(|c| c.key.clone())
            .collect();
        let mut keys = vec![];
        for write in txn.writes {
            let Write::Put { key, value, .. } = write else {
                panic!("nothing is ever deleted here");
            };
            keys.push(key.clone());
            if failed.is_empty() {
                self.put(&key, value);
            }
        }
        self.transaction_keys.push(keys);
        let status = if failed.is_empty() { 200 } else { 409 };
        let revision = self.revision;
        (
            status,
            encode(&TxnResponse {
                revision,
                failed_keys: failed,
            }),
        )
    }

    /// The status of a submission's answer, and after how many seconds to come again.
    fn submit_job(&mut self, job: &Value) -> (u16, Option<u32>) {
        let answer = self.send_request("POST", "/submissions", encode(job));
        (answer.0, answer.1)
    }

    fn send_request(
        &mut self,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> (u16, Option<u32>, Vec<u8>) {
        self.last_request_id += 1;
        let id = self.last_request_id;
        let request = Request {
            method: method.into(),
            path: path.into(),
            body,
            connection_close: false,
        };
        self.deliver(Event::Request {
            request_id: id,
            request,
        });
        self.run_for(SUBMISSION_TIMEOUT_MS + 500);
        self.replies.remove(&id).expect("an answer")
    }

    fn recorded_version(&self, node: &str) -> Option<&Value> {
        let stored = self.store_entries.get(&format!("v/{node}"))?;
        stored.0.get("release")
    }

    fn is_open(&self) -> bool {
        self.node.gangs_enabled()
    }
}

fn catalog() -> Value {
    json!({"builds": [{
        "sku": "small", "cpus": 4.0, "cards": 0.0, "memGb": 16.0, "cacheGb": 50.0,
        "fetchGbPerS": 1.0, "hourly": 1.0, "readyS": 10.0, "yards": ["a"],
    }]})
}

fn job_json(number: u32, shape: &str, pieces: u32) -> Value {
    json!({
        "uid": format!("run-{number}"), "lane": "work", "crew": "red", "shape": shape,
        "urgency": "high", "pieces": pieces, "cpus": 2.0, "cards": 0.0, "memGb": 1.0,
        "bundle": "img", "pullGb": 1.0, "builds": null, "yard": null, "oneZone": true,
        "spread": false, "loaners": false, "expectS": 10.0, "markEveryS": 20.0,
        "markCostS": 1.0, "dueS": null,
    })
}

fn gang_json(number: u32, pieces: u32) -> Value {
    job_json(number, "ensemble", pieces)
}

#[test]
fn a_closed_gate_rejects_gangs_with_503_and_retry_after() {
    let mut w = FakeStoreHarness::new();
    w.run_for(FIRST_READ_MS);
    assert!(!w.is_open());
    assert_eq!(
        w.submit_job(&gang_json(1, 2)),
        (503, Some(RETRY_AFTER_FEATURE_GATE_S))
    );
    assert_eq!(w.submit_job(&job_json(2, "sweep", 2)), (201, None));
}

#[test]
fn gate_opens_when_all_version_records_are_read() {
    let mut w = FakeStoreHarness::new();
    w.run_for(FIRST_READ_MS);
    w.store_current_version("node-1");
    w.run_for(VERSION_SCAN_MS);
    assert!(!w.is_open(), "node-2 may still run the earlier release");
    w.store_current_version("node-2");
    w.run_for(VERSION_SCAN_MS);
    assert!(w.is_open());
    assert_eq!(w.submit_job(&gang_json(1, 2)), (201, None));
    assert!(w.store_entries.contains_key("c/j/run-1"));
    assert_eq!(w.submit_job(&gang_json(1, 2)).0, 200);
}

#[test]
fn gate_stays_closed_with_one_version_record_missing() {
    let mut w = FakeStoreHarness::new();
    w.store_current_version("node-2");
    w.store_current_version("node-3");
    w.run_for(20 * VERSION_SCAN_MS);
    assert!(!w.is_open());
    assert_eq!(w.recorded_version("node-0"), Some(&json!(PROGRAM_VERSION)));
}

#[test]
fn own_version_record_is_read_before_gate_opens() {
    let mut w = FakeStoreHarness::new();
    w.store_current_version("node-1");
    w.store_current_version("node-2");
    w.run_for(FIRST_READ_MS);
    assert!(w.is_open());
    let own = w.store_entries["v/node-0"].1;
    assert!(own > w.store_entries["v/node-2"].1, "stored by this node");
    assert_eq!(
        w.version_read_times.len(),
        2,
        "one to miss it, one to find it"
    );
}

#[test]
fn open_gate_survives_an_outage_and_reads_no_more() {
    let mut w = FakeStoreHarness::new();
    w.store_current_version("node-1");
    w.store_current_version("node-2");
    w.run_for(FIRST_READ_MS);
    assert!(w.is_open());
    let reads = w.version_read_times.len();
    w.store_behavior = StoreBehavior::Rejects(503);
    w.store_entries.remove("v/node-1");
    w.run_for(30_000);
    assert!(w.is_open());
    w.store_behavior = StoreBehavior::Available;
    w.run_for(30_000);
    assert!(w.is_open());
    assert_eq!(w.version_read_times.len(), reads);
    assert_eq!(w.submit_job(&gang_json(1, 2)), (201, None));
}

#[test]
fn a_restarted_node_reads_version_records_at_once() {
    let mut w = FakeStoreHarness::new();
    w.store_current_version("node-1");
    w.store_current_version("node-2");
    w.run_for(FIRST_READ_MS);
    assert!(w.is_open());
    let writes = w.transaction_keys.len();
    w.restart_node();
    assert!(!w.is_open());
    w.run_for(FIRST_READ_MS);
    assert!(w.is_open());
    assert_eq!(
        w.transaction_keys.len(),
        writes,
        "its record stands already"
    );
}

#[test]
fn store_failures_only_delay_opening() {
    for trouble in [
        StoreBehavior::Rejects(429),
        StoreBehavior::Rejects(503),
        StoreBehavior::Rejects(400),
        StoreBehavior::Unresponsive,
    ] {
        let mut w = FakeStoreHarness::new();
        w.run_for(FIRST_READ_MS);
        w.store_behavior = trouble;
        w.store_current_version("node-1");
        w.store_current_version("node-2");
        w.run_for(20_000);
        assert!(!w.is_open());
        w.store_behavior = StoreBehavior::Available;
        w.run_for(VERSION_SCAN_MS + STORE_TIMEOUT_MS);
        assert!(w.is_open());
    }
}

#[test]
fn a_lost_reply_to_the_version_write_is_resolved_by_reading() {
    let mut w = FakeStoreHarness::new();
    w.store_current_version("node-1");
    w.store_current_version("node-2");
    w.run_until(|w| !w.version_read_times.is_empty());
    // The read is answered; the transaction is carried out without an answer.
    w.store_behavior = StoreBehavior::DropsReplies;
    w.run_until(|w| !w.transaction_keys.is_empty());
    w.store_behavior = StoreBehavior::Available;
    w.run_for(STORE_TIMEOUT_MS + VERSION_SCAN_MS + 500);
    assert!(w.is_open());
    assert_eq!(
        w.transaction_keys,
        [["v/node-0"]],
        "it was not stored twice"
    );
}

#[test]
fn a_late_or_duplicate_version_write_changes_nothing() {
    for before in [None, Some(PROGRAM_VERSION - 1)] {
        let mut w = FakeStoreHarness::new();
        if let Some(release) = before {
            w.put("v/node-0", json!({"release": release}));
        }
        w.run_until(|w| !w.version_read_times.is_empty());
        w.store_behavior = StoreBehavior::Unresponsive;
        w.run_until(|w| !w.transactions_sent.is_empty());
        let late = w.transactions_sent[0].clone();
        // Meanwhile a later release runs on the node.
        let higher = json!({"release": PROGRAM_VERSION + 1});
        w.put("v/node-0", higher.clone());
        for _ in 0..2 {
            assert_eq!(w.commit_transaction(&late).0, 409);
            assert_eq!(w.store_entries["v/node-0"].0, higher);
        }
    }
}

#[test]
fn a_lower_version_record_is_replaced_and_keeps_gate_closed() {
    let mut w = FakeStoreHarness::new();
    w.put("v/node-0", json!({"release": PROGRAM_VERSION - 1}));
    w.put("v/node-1", json!({"release": PROGRAM_VERSION - 1}));
    w.store_current_version("node-2");
    w.run_for(FIRST_READ_MS);
    assert_eq!(w.recorded_version("node-0"), Some(&json!(PROGRAM_VERSION)));
    assert!(!w.is_open());
}

#[test]
fn higher_version_records_count_and_are_not_overwritten() {
    let mut w = FakeStoreHarness::new();
    let higher = json!({"release": PROGRAM_VERSION + 1, "since": "later"});
    for node in ["v/node-0", "v/node-1", "v/node-2"] {
        w.put(node, higher.clone());
    }
    w.run_for(FIRST_READ_MS);
    assert!(w.is_open());
    assert!(w.transaction_keys.is_empty());
}

#[test]
fn malformed_version_records_keep_gate_closed() {
    let odd = [
        json!(null),
        json!(7),
        json!("two"),
        json!([2]),
        json!({}),
        json!({"release": "two"}),
        json!({"release": -2}),
        json!({"release": {"number": 2}}),
    ];
    for form in odd {
        let mut w = FakeStoreHarness::new();
        w.put("v/", form.clone());
        w.put("v/node-0", form.clone());
        w.put("v/node-1", form.clone());
        w.put("v/stranger", form.clone());
        w.store_current_version("node-2");
        w.run_for(3 * VERSION_SCAN_MS);
        assert!(!w.is_open(), "{form}");
        // Its own is replaced, for it says nothing; the other node replaces its own likewise.
        assert_eq!(
            w.recorded_version("node-0"),
            Some(&json!(PROGRAM_VERSION)),
            "{form}"
        );
        w.store_current_version("node-1");
        w.run_for(VERSION_SCAN_MS);
        assert!(w.is_open(), "{form}");
    }
}

#[test]
fn version_records_may_span_several_pages() {
    let mut w = FakeStoreHarness::new();
    w.page_size = 1;
    for node in ["node-1", "a-stranger", "node-2"] {
        w.store_current_version(node);
    }
    w.run_for(2 * FIRST_READ_MS);
    assert!(w.is_open());
}

#[test]
fn closed_gate_stores_nothing_new() {
    let mut w = FakeStoreHarness::new();
    w.run_for(FIRST_READ_MS);
    w.store_current_version("node-1");
    for number in 1..20 {
        let shape = ["ensemble", "sweep", "standing"][number as usize % 3];
        w.submit_job(&job_json(number, shape, 2));
    }
    let path = "/submissions/run-4/cancel";
    assert_eq!(w.send_request("POST", path, vec![]).0, 200);
    assert!(!w.is_open());
    let keys: Vec<&String> = w.transaction_keys.iter().flatten().collect();
    let own = keys.iter().filter(|key| ***key == "v/node-0").count();
    assert_eq!(own, 1);
    for key in keys.into_iter().filter(|key| *key != "v/node-0") {
        assert!(key.starts_with("c/j/run-"), "{key}");
        let shape = &w.store_entries[key].0["spec"]["shape"];
        assert!(*shape == "sweep" || *shape == "standing", "{key}: {shape}");
    }
}

#[test]
fn malformed_gangs_are_400_while_gate_is_closed() {
    let mut w = FakeStoreHarness::new();
    w.run_for(FIRST_READ_MS);
    let spec = gang_json(1, 2);
    let optional = ["builds", "yard", "dueS"];
    let fields: Vec<String> = spec.as_object().expect("a map").keys().cloned().collect();
    for field in &fields {
        let mut missing = spec.clone();
        missing.as_object_mut().expect("a map").remove(field);
        let status = w.submit_job(&missing).0;
        let wanted = if optional.contains(&field.as_str()) {
            503
        } else {
            400
        };
        assert_eq!(status, wanted, "without {field}");
        let mut invalid = spec.clone();
        invalid[field] = json!({"no": "value"});
        assert_eq!(w.submit_job(&invalid).0, 400, "invalid {field}");
    }
    assert_eq!(w.submit_job(&gang_json(1, 0)).0, 400);
    assert_eq!(w.submit_job(&job_json(1, "choir", 2)).0, 400);
    assert!(!w.is_open());
}

#[test]
fn gangs_over_the_limit_are_422_whether_gate_is_open_or_closed() {
    let mut w = FakeStoreHarness::new();
    w.run_for(FIRST_READ_MS);
    // Tasks of 2 CPUs; the team may use 8.
    assert_eq!(w.submit_job(&gang_json(1, 5)).0, 422);
    assert_eq!(
        w.submit_job(&gang_json(2, 4)),
        (503, Some(RETRY_AFTER_FEATURE_GATE_S))
    );
    w.store_current_version("node-1");
    w.store_current_version("node-2");
    w.run_for(VERSION_SCAN_MS);
    assert_eq!(w.submit_job(&gang_json(1, 5)).0, 422);
    assert_eq!(w.submit_job(&gang_json(2, 4)).0, 201);
}

#[test]
fn a_known_gang_is_answered_while_gate_is_closed() {
    let mut w = FakeStoreHarness::new();
    w.run_for(FIRST_READ_MS);
    // A node whose gate opened first has stored it; the second can no more run than be refused.
    let record =
        |number, pieces| json!({"tasks": pieces, "at": 1, "spec": gang_json(number, pieces)});
    w.put("c/j/run-1", record(1, 2));
    w.put("c/j/run-2", record(2, 5));
    // The copy learns of the second by the question itself.
    assert_eq!(w.submit_job(&gang_json(2, 5)).0, 200);
    assert_eq!(w.submit_job(&gang_json(1, 2)).0, 200);
    assert!(!w.is_open());
    assert_eq!(w.send_request("GET", "/submissions/run-1", vec![]).0, 200);
}

#[test]
fn a_gang_that_waited_for_a_barrier_is_still_rejected_by_closed_gate() {
    let mut w = FakeStoreHarness::new();
    w.run_for(FIRST_READ_MS);
    let too_large = gang_json(1, 5);
    w.last_request_id += 1;
    let id = w.last_request_id;
    let request = Request {
        method: "POST".into(),
        path: "/submissions".into(),
        body: encode(&too_large),
        connection_close: false,
    };
    w.deliver(Event::Request {
        request_id: id,
        request,
    });
    // What forbade it is gone by the time the read is answered.
    w.node.settings.teams[0].limit_cpus = 100.0;
    w.run_for(1_000);
    assert_eq!(w.replies[&id].0, 503);
    assert!(!w.store_entries.contains_key("c/j/run-1"));
}

#[test]
fn version_reads_stay_within_a_small_request_budget() {
    let rps = 4.0;
    let mut w = FakeStoreHarness::with_settings(settings(rps));
    let seconds = 600;
    w.run_for(seconds * 1_000);
    let share = rps * (1.0 - LEADER_READ_FRACTION) / 2.0;
    let most = share * FEATURE_GATE_READ_FRACTION * seconds as f64;
    let reads = w.version_read_times.len() as f64;
    // Two at the beginning, before and after the record is stored.
    assert!(reads <= most + 2.0, "{reads} reads, {most} allowed");
    assert!(reads >= most / 2.0, "{reads} reads, {most} allowed");
    assert_eq!(w.submit_job(&job_json(1, "sweep", 2)).0, 201);
}
