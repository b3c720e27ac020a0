//! The gate of a rolling upgrade: one node beside a stand-in of the state service.
use serde_json::{json, Value};
use std::collections::BTreeMap;
use stonegw_constants as k;
use stonegw_control::api::{Action, CallError, CallResult, Event, Now, Target};
use stonegw_control::node::Node;
use stonegw_control::settings::{Settings, Team, Tuning};
use stonegw_wire::http::Request;
use stonegw_wire::msg::{decode, encode, Change, Changes, Entry, Listing, Txn, TxnAnswer, Write};

const STEP_MS: u64 = 50;
/// Steps after which what was awaited never comes.
const PATIENCE_STEPS: usize = 1_000;
/// Enough for a node to be live and to have read the releases once.
const FIRST_READ_MS: u64 = 1_500;
const ROUND_MS: u64 = k::GATE_READ_MS + 500;

/// How the state service answers.
#[derive(Clone, Copy, PartialEq)]
enum Service {
    Up,
    /// Refuses everything with this status.
    Refuses(u16),
    /// Carries out what it is asked, but the answer is lost.
    LosesAnswers,
    /// Neither carries out nor answers.
    Silent,
}

struct World {
    node: Node,
    now: u64,
    service: Service,
    keys: BTreeMap<String, (Value, u64)>,
    changes: Vec<(u64, Change<Value>)>,
    revision: u64,
    /// Calls' ends on their way to the node: when, which call, the result.
    answers: Vec<(u64, u64, CallResult)>,
    /// The most items on a page of a listing.
    page: usize,
    /// Every transaction sent, whatever became of it.
    transactions: Vec<Vec<u8>>,
    /// The keys of each transaction that reached the service.
    written: Vec<Vec<String>>,
    /// When the releases were read.
    release_reads: Vec<u64>,
    replies: BTreeMap<u64, (u16, Option<u32>, Vec<u8>)>,
    next_request: u64,
}

fn settings(state_rps: f64) -> Settings {
    Settings {
        node: "node-0".into(),
        zone: "a".into(),
        peers: vec!["node-1".into(), "node-2".into()],
        zones: vec!["a".into()],
        teams: vec![Team {
            name: "red".into(),
            cpus: 8.0,
            cpus_max: 8.0,
            gpus: 0.0,
            gpus_max: 0.0,
        }],
        promises: vec![],
        report_s: 3.0,
        lease_s: 24.0,
        cancel_s: 54.0,
        gang_wait_s: 35.0,
        gang_peer_s: 8.0,
        state_rps,
        state_write_rps: 60.0,
        value_bytes: 8 * 1024,
        txn_ops: 8,
        cloud_rps: 5.0,
        list_lag_s: 4.0,
        max_sockets: 1000,
        tuning: Tuning::default(),
    }
}

impl World {
    fn new() -> World {
        World::with(settings(150.0))
    }

    fn with(settings: Settings) -> World {
        let mut world = World {
            node: Node::new(settings, 7),
            now: 1_000,
            service: Service::Up,
            keys: BTreeMap::new(),
            changes: vec![],
            revision: 1,
            answers: vec![],
            page: usize::MAX,
            transactions: vec![],
            written: vec![],
            release_reads: vec![],
            replies: BTreeMap::new(),
            next_request: 0,
        };
        // Another node leads: this one only follows.
        let leader = json!({"node": "node-1", "nonce": 5, "lease": 6});
        world.put("c/leader", leader);
        world.give(Event::Start);
        world
    }

    fn put(&mut self, key: &str, value: Value) {
        self.revision += 1;
        let version = self.revision;
        self.keys.insert(key.into(), (value.clone(), version));
        let key = key.into();
        let change = Change::Put {
            key,
            value,
            version,
        };
        self.changes.push((version, change));
    }

    fn run_release(&mut self, node: &str) {
        self.put(&format!("v/{node}"), json!({"release": k::RELEASE}));
    }

    /// The same world with a new process.
    fn restart(&mut self) {
        self.node = Node::new(settings(150.0), 8);
        self.answers.clear();
        self.give(Event::Start);
    }

    fn give(&mut self, event: Event) {
        let now = Now {
            ms: self.now,
            wall_ms: 1_000_000 + self.now,
        };
        for action in self.node.handle(now, [event]) {
            self.perform(action);
        }
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            let due = self.now;
            let waiting = std::mem::take(&mut self.answers);
            let (arrived, later) = waiting.into_iter().partition(|answer| answer.0 <= due);
            self.answers = later;
            let arrived: Vec<_> = arrived;
            for (_, call, result) in arrived {
                self.give(Event::CallDone { call, result });
            }
            self.give(Event::Tick);
        }
    }

    fn run_until(&mut self, reached: impl Fn(&World) -> bool) {
        for _ in 0..PATIENCE_STEPS {
            if reached(self) {
                return;
            }
            self.run(STEP_MS);
        }
        panic!("never reached");
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Reply {
                id,
                status,
                retry_after_s,
                body,
            } => {
                self.replies.insert(id, (status, retry_after_s, body));
            }
            Action::Call {
                call,
                target,
                path,
                body,
                timeout_ms,
                ..
            } => {
                let answer = match target {
                    Target::State => self.state_answer(&path, &body),
                    _ => Some((200, encode(&catalog()))),
                };
                let end = match answer {
                    Some(answer) => (self.now + STEP_MS, call, Ok(answer)),
                    None => (self.now + timeout_ms, call, Err(CallError::Unknown)),
                };
                self.answers.push(end);
            }
            Action::Send { .. } => {}
        }
    }

    fn state_answer(&mut self, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
        if path.starts_with("/kv?prefix=v/") {
            self.release_reads.push(self.now);
        }
        if path == "/multi" {
            self.transactions.push(body.to_vec());
        }
        match self.service {
            Service::Up => self.carry_out(path, body),
            Service::Refuses(status) => Some((status, encode(&json!({"error": "trouble"})))),
            Service::LosesAnswers => {
                self.carry_out(path, body);
                None
            }
            Service::Silent => None,
        }
    }

    /// `None`: a watch, which is held.
    fn carry_out(&mut self, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
        let field = |name: &str| {
            let query = path.split_once('?').map_or("", |q| q.1);
            let found = query.split('&').find_map(|f| f.strip_prefix(name));
            found.unwrap_or("").to_owned()
        };
        if path == "/multi" {
            return Some(self.transact(body));
        }
        if path.starts_with("/changes") {
            if field("holdMs=") != "0" {
                return None;
            }
            let since: u64 = field("since=").parse().expect("a revision");
            let later = self.changes.iter().filter(|(at, _)| *at > since);
            let common = later.filter(|(_, change)| match change {
                Change::Put { key, .. } | Change::Delete { key, .. } => key.starts_with("c/"),
            });
            let events = common.map(|(_, change)| change.clone()).collect();
            let revision = self.revision;
            return Some((200, encode(&Changes { revision, events })));
        }
        assert!(path.starts_with("/kv?"), "unexpected {path}");
        let (prefix, since) = (field("prefix="), field("since="));
        let found = self
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > since);
        let mut items: Vec<Entry<Value>> = found
            .map(|(key, (value, version))| Entry {
                key: key.clone(),
                value: value.clone(),
                version: *version,
                lease: None,
            })
            .collect();
        let more = items.len() > self.page;
        items.truncate(self.page);
        let revision = self.revision;
        let listing = Listing {
            items,
            more,
            revision,
        };
        Some((200, encode(&listing)))
    }

    fn transact(&mut self, body: &[u8]) -> (u16, Vec<u8>) {
        let txn: Txn<Value> = decode(body).expect("a transaction");
        let stamp = |key: &str| self.keys.get(key).map_or(0, |stored| stored.1);
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| stamp(&c.key) != c.version)
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
        self.written.push(keys);
        let status = if failed.is_empty() { 200 } else { 409 };
        let revision = self.revision;
        (status, encode(&TxnAnswer { revision, failed }))
    }

    /// The status of a submission's answer, and after how many seconds to come again.
    fn submit(&mut self, job: &Value) -> (u16, Option<u32>) {
        let answer = self.request("POST", "/submissions", encode(job));
        (answer.0, answer.1)
    }

    fn request(&mut self, method: &str, path: &str, body: Vec<u8>) -> (u16, Option<u32>, Vec<u8>) {
        self.next_request += 1;
        let id = self.next_request;
        let request = Request {
            method: method.into(),
            path: path.into(),
            body,
            close: false,
        };
        self.give(Event::Request { id, request });
        self.run(k::STORE_PATIENCE_MS + 500);
        self.replies.remove(&id).expect("an answer")
    }

    fn release_of(&self, node: &str) -> Option<&Value> {
        let stored = self.keys.get(&format!("v/{node}"))?;
        stored.0.get("release")
    }

    fn open(&self) -> bool {
        self.node.gangs_open()
    }
}

fn catalog() -> Value {
    json!({"builds": [{
        "sku": "small", "cpus": 4.0, "cards": 0.0, "memGb": 16.0, "cacheGb": 50.0,
        "fetchGbPerS": 1.0, "hourly": 1.0, "readyS": 10.0, "yards": ["a"],
    }]})
}

fn job(number: u32, shape: &str, pieces: u32) -> Value {
    json!({
        "uid": format!("run-{number}"), "lane": "work", "crew": "red", "shape": shape,
        "urgency": "high", "pieces": pieces, "cpus": 2.0, "cards": 0.0, "memGb": 1.0,
        "bundle": "img", "pullGb": 1.0, "builds": null, "yard": null, "oneZone": true,
        "spread": false, "loaners": false, "expectS": 10.0, "markEveryS": 20.0,
        "markCostS": 1.0, "dueS": null,
    })
}

fn gang(number: u32, pieces: u32) -> Value {
    job(number, "ensemble", pieces)
}

#[test]
fn a_closed_gate_answers_503_and_when_to_come_again() {
    let mut w = World::new();
    w.run(FIRST_READ_MS);
    assert!(!w.open());
    assert_eq!(w.submit(&gang(1, 2)), (503, Some(k::RETRY_GATE_S)));
    assert_eq!(w.submit(&job(2, "sweep", 2)), (201, None));
}

#[test]
fn it_opens_when_all_records_are_read() {
    let mut w = World::new();
    w.run(FIRST_READ_MS);
    w.run_release("node-1");
    w.run(ROUND_MS);
    assert!(!w.open(), "node-2 may still run the earlier release");
    w.run_release("node-2");
    w.run(ROUND_MS);
    assert!(w.open());
    assert_eq!(w.submit(&gang(1, 2)), (201, None));
    assert!(w.keys.contains_key("c/j/run-1"));
    assert_eq!(w.submit(&gang(1, 2)).0, 200);
}

#[test]
fn it_stays_closed_with_one_record_missing() {
    let mut w = World::new();
    w.run_release("node-2");
    w.run_release("node-3");
    w.run(20 * ROUND_MS);
    assert!(!w.open());
    assert_eq!(w.release_of("node-0"), Some(&json!(k::RELEASE)));
}

#[test]
fn its_own_record_is_read_before_it_opens() {
    let mut w = World::new();
    w.run_release("node-1");
    w.run_release("node-2");
    w.run(FIRST_READ_MS);
    assert!(w.open());
    let own = w.keys["v/node-0"].1;
    assert!(own > w.keys["v/node-2"].1, "stored by this node");
    assert_eq!(w.release_reads.len(), 2, "one to miss it, one to find it");
}

#[test]
fn open_stays_open_across_an_outage_and_reads_no_more() {
    let mut w = World::new();
    w.run_release("node-1");
    w.run_release("node-2");
    w.run(FIRST_READ_MS);
    assert!(w.open());
    let reads = w.release_reads.len();
    w.service = Service::Refuses(503);
    w.keys.remove("v/node-1");
    w.run(30_000);
    assert!(w.open());
    w.service = Service::Up;
    w.run(30_000);
    assert!(w.open());
    assert_eq!(w.release_reads.len(), reads);
    assert_eq!(w.submit(&gang(1, 2)), (201, None));
}

#[test]
fn a_new_process_reads_again_at_once() {
    let mut w = World::new();
    w.run_release("node-1");
    w.run_release("node-2");
    w.run(FIRST_READ_MS);
    assert!(w.open());
    let writes = w.written.len();
    w.restart();
    assert!(!w.open());
    w.run(FIRST_READ_MS);
    assert!(w.open());
    assert_eq!(w.written.len(), writes, "its record stands already");
}

#[test]
fn an_outage_a_refusal_or_silence_only_delay_it() {
    for trouble in [
        Service::Refuses(429),
        Service::Refuses(503),
        Service::Refuses(400),
        Service::Silent,
    ] {
        let mut w = World::new();
        w.run(FIRST_READ_MS);
        w.service = trouble;
        w.run_release("node-1");
        w.run_release("node-2");
        w.run(20_000);
        assert!(!w.open());
        w.service = Service::Up;
        w.run(ROUND_MS + k::STATE_TIMEOUT_MS);
        assert!(w.open());
    }
}

#[test]
fn a_lost_answer_to_the_record_is_settled_by_reading() {
    let mut w = World::new();
    w.run_release("node-1");
    w.run_release("node-2");
    w.run_until(|w| !w.release_reads.is_empty());
    // The read is answered; the transaction is carried out without an answer.
    w.service = Service::LosesAnswers;
    w.run_until(|w| !w.written.is_empty());
    w.service = Service::Up;
    w.run(k::STATE_TIMEOUT_MS + ROUND_MS + 500);
    assert!(w.open());
    assert_eq!(w.written, [["v/node-0"]], "it was not stored twice");
}

#[test]
fn a_transaction_that_comes_late_or_twice_changes_nothing() {
    for before in [None, Some(k::RELEASE - 1)] {
        let mut w = World::new();
        if let Some(release) = before {
            w.put("v/node-0", json!({"release": release}));
        }
        w.run_until(|w| !w.release_reads.is_empty());
        w.service = Service::Silent;
        w.run_until(|w| !w.transactions.is_empty());
        let late = w.transactions[0].clone();
        // Meanwhile a later release runs on the node.
        let higher = json!({"release": k::RELEASE + 1});
        w.put("v/node-0", higher.clone());
        for _ in 0..2 {
            assert_eq!(w.transact(&late).0, 409);
            assert_eq!(w.keys["v/node-0"].0, higher);
        }
    }
}

#[test]
fn a_record_of_a_lower_release_is_replaced_and_does_not_open() {
    let mut w = World::new();
    w.put("v/node-0", json!({"release": k::RELEASE - 1}));
    w.put("v/node-1", json!({"release": k::RELEASE - 1}));
    w.run_release("node-2");
    w.run(FIRST_READ_MS);
    assert_eq!(w.release_of("node-0"), Some(&json!(k::RELEASE)));
    assert!(!w.open());
}

#[test]
fn higher_releases_count_and_are_left_as_they_are() {
    let mut w = World::new();
    let higher = json!({"release": k::RELEASE + 1, "since": "later"});
    for node in ["v/node-0", "v/node-1", "v/node-2"] {
        w.put(node, higher.clone());
    }
    w.run(FIRST_READ_MS);
    assert!(w.open());
    assert!(w.written.is_empty());
}

#[test]
fn records_of_an_unknown_form_open_nothing_and_break_nothing() {
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
        let mut w = World::new();
        w.put("v/", form.clone());
        w.put("v/node-0", form.clone());
        w.put("v/node-1", form.clone());
        w.put("v/stranger", form.clone());
        w.run_release("node-2");
        w.run(3 * ROUND_MS);
        assert!(!w.open(), "{form}");
        // Its own is replaced, for it says nothing; the other node replaces its own likewise.
        assert_eq!(w.release_of("node-0"), Some(&json!(k::RELEASE)), "{form}");
        w.run_release("node-1");
        w.run(ROUND_MS);
        assert!(w.open(), "{form}");
    }
}

#[test]
fn records_may_come_on_several_pages() {
    let mut w = World::new();
    w.page = 1;
    for node in ["node-1", "a-stranger", "node-2"] {
        w.run_release(node);
    }
    w.run(2 * FIRST_READ_MS);
    assert!(w.open());
}

#[test]
fn before_it_opens_nothing_new_is_stored() {
    let mut w = World::new();
    w.run(FIRST_READ_MS);
    w.run_release("node-1");
    for number in 1..20 {
        let shape = ["ensemble", "sweep", "standing"][number as usize % 3];
        w.submit(&job(number, shape, 2));
    }
    let path = "/submissions/run-4/cancel";
    assert_eq!(w.request("POST", path, vec![]).0, 200);
    assert!(!w.open());
    let keys: Vec<&String> = w.written.iter().flatten().collect();
    let own = keys.iter().filter(|key| ***key == "v/node-0").count();
    assert_eq!(own, 1);
    for key in keys.into_iter().filter(|key| *key != "v/node-0") {
        assert!(key.starts_with("c/j/run-"), "{key}");
        let shape = &w.keys[key].0["spec"]["shape"];
        assert!(*shape == "sweep" || *shape == "standing", "{key}: {shape}");
    }
}

#[test]
fn malformed_gangs_are_400_while_it_is_closed() {
    let mut w = World::new();
    w.run(FIRST_READ_MS);
    let spec = gang(1, 2);
    let optional = ["builds", "yard", "dueS"];
    let fields: Vec<String> = spec.as_object().expect("a map").keys().cloned().collect();
    for field in &fields {
        let mut missing = spec.clone();
        missing.as_object_mut().expect("a map").remove(field);
        let status = w.submit(&missing).0;
        let wanted = if optional.contains(&field.as_str()) {
            503
        } else {
            400
        };
        assert_eq!(status, wanted, "without {field}");
        let mut invalid = spec.clone();
        invalid[field] = json!({"no": "value"});
        assert_eq!(w.submit(&invalid).0, 400, "invalid {field}");
    }
    assert_eq!(w.submit(&gang(1, 0)).0, 400);
    assert_eq!(w.submit(&job(1, "choir", 2)).0, 400);
    assert!(!w.open());
}

#[test]
fn gangs_over_the_limit_are_422_open_or_closed() {
    let mut w = World::new();
    w.run(FIRST_READ_MS);
    // Tasks of 2 CPUs; the team may use 8.
    assert_eq!(w.submit(&gang(1, 5)).0, 422);
    assert_eq!(w.submit(&gang(2, 4)), (503, Some(k::RETRY_GATE_S)));
    w.run_release("node-1");
    w.run_release("node-2");
    w.run(ROUND_MS);
    assert_eq!(w.submit(&gang(1, 5)).0, 422);
    assert_eq!(w.submit(&gang(2, 4)).0, 201);
}

#[test]
fn a_known_gang_is_answered_while_it_is_closed() {
    let mut w = World::new();
    w.run(FIRST_READ_MS);
    // A node whose gate opened first has stored it; the second can no more run than be refused.
    let record = |number, pieces| json!({"tasks": pieces, "at": 1, "spec": gang(number, pieces)});
    w.put("c/j/run-1", record(1, 2));
    w.put("c/j/run-2", record(2, 5));
    // The copy learns of the second by the question itself.
    assert_eq!(w.submit(&gang(2, 5)).0, 200);
    assert_eq!(w.submit(&gang(1, 2)).0, 200);
    assert!(!w.open());
    assert_eq!(w.request("GET", "/submissions/run-1", vec![]).0, 200);
}

#[test]
fn a_gang_that_waited_for_a_read_is_still_held_at_the_gate() {
    let mut w = World::new();
    w.run(FIRST_READ_MS);
    let too_large = gang(1, 5);
    w.next_request += 1;
    let id = w.next_request;
    let request = Request {
        method: "POST".into(),
        path: "/submissions".into(),
        body: encode(&too_large),
        close: false,
    };
    w.give(Event::Request { id, request });
    // What forbade it is gone by the time the read is answered.
    w.node.set.teams[0].cpus_max = 100.0;
    w.run(1_000);
    assert_eq!(w.replies[&id].0, 503);
    assert!(!w.keys.contains_key("c/j/run-1"));
}

#[test]
fn a_small_budget_of_requests_is_not_disturbed() {
    let rps = 4.0;
    let mut w = World::with(settings(rps));
    let seconds = 600;
    w.run(seconds * 1_000);
    let share = rps * (1.0 - k::LEADER_READS) / 2.0;
    let most = share * k::GATE_READ_PART * seconds as f64;
    let reads = w.release_reads.len() as f64;
    // Two at the beginning, before and after the record is stored.
    assert!(reads <= most + 2.0, "{reads} reads, {most} allowed");
    assert!(reads >= most / 2.0, "{reads} reads, {most} allowed");
    assert_eq!(w.submit(&job(1, "sweep", 2)).0, 201);
}
