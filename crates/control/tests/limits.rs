//! A node that takes submissions and cancels while the state service refuses what it took before.
use std::collections::{BTreeMap, HashMap};
use stonegw_control::api::{Action, Event, Now, Target};
use stonegw_control::node::Node;
use stonegw_control::records::{End, JobRecord, Value};
use stonegw_control::settings::{Settings, Team};
use stonegw_wire::http::Request;
use stonegw_wire::msg::{
    decode, encode, json_len, Catalog, Change, Changes, Entry, ErrorBody, JobKind, JobSpec,
    Listing, MachineType, Priority, Txn, TxnAnswer, Write,
};

const LARGE: usize = 8 * 1024;
const SMALL: usize = 2 * 1024;

fn settings(value_bytes: usize) -> Settings {
    Settings {
        node: "node-0".into(),
        zone: "a".into(),
        peers: vec![],
        zones: vec!["a".into()],
        teams: vec![Team {
            name: "red".into(),
            cpus: 100.0,
            cpus_max: 100.0,
            gpus: 0.0,
            gpus_max: 0.0,
        }],
        promises: vec![],
        report_s: 4.0,
        lease_s: 24.0,
        cancel_s: 54.0,
        gang_wait_s: 35.0,
        gang_peer_s: 8.0,
        state_rps: 100.0,
        state_write_rps: 60.0,
        value_bytes,
        txn_ops: 16,
        cloud_rps: 1.0,
        list_lag_s: 1.0,
        max_sockets: 1_000,
        tuning: Default::default(),
    }
}

/// A job whose record takes a bit more than so many bytes.
fn spec(id: &str, bytes: usize) -> JobSpec {
    // Machine types beside the one there is, 100 bytes each.
    let unknown = (0..bytes / 100).map(|n| format!("{n:097}"));
    let types = unknown.chain(["small".to_owned()]).collect();
    JobSpec {
        id: id.into(),
        class: "class".into(),
        team: "red".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 1,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 2.0,
        image: "img-1".into(),
        image_gb: 1.0,
        types: Some(types),
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 60.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

fn catalog() -> Catalog {
    Catalog {
        types: vec![MachineType {
            name: "small".into(),
            cpus: 4.0,
            gpus: 0.0,
            memory_gb: 16.0,
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: None,
            boot_s: 30.0,
            zones: vec!["a".into()],
        }],
    }
}

/// One node and the state service, with limits of its own.
struct World {
    node: Node,
    ms: u64,
    keys: BTreeMap<String, (Value, u64)>,
    revision: u64,
    value_bytes: usize,
    writes: usize,
    refusals: usize,
    /// What reached users, by request.
    replies: HashMap<u64, (u16, Vec<u8>)>,
}

impl World {
    fn new(value_bytes: usize) -> World {
        let mut world = World {
            node: Node::new(settings(value_bytes), 1),
            ms: 1_000,
            keys: BTreeMap::new(),
            revision: 1,
            value_bytes: usize::MAX,
            writes: usize::MAX,
            refusals: 0,
            replies: HashMap::new(),
        };
        world.handle(vec![Event::Start]);
        world.run(1_000);
        world
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.ms += 50;
            self.handle(vec![Event::Tick]);
        }
    }

    fn handle(&mut self, mut events: Vec<Event>) {
        while !events.is_empty() {
            let now = Now {
                ms: self.ms,
                wall_ms: self.ms,
            };
            let actions = self.node.handle(now, events);
            events = actions.into_iter().filter_map(|a| self.act(a)).collect();
        }
    }

    fn act(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Reply {
                id, status, body, ..
            } => {
                self.replies.insert(id, (status, body));
                None
            }
            Action::Call {
                call,
                target,
                method,
                path,
                body,
                ..
            } => {
                let answer = self.answer(&target, method, &path, &body)?;
                let result = Ok(answer);
                Some(Event::CallDone { call, result })
            }
            Action::Send { .. } => None,
        }
    }

    /// Watches stay open, and nobody gets a lease: there is no leader here.
    fn answer(
        &mut self,
        target: &Target,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<(u16, Vec<u8>)> {
        if *target == Target::Cloud {
            return Some((200, encode(&catalog())));
        }
        match (method, path) {
            ("POST", "/multi") => Some(self.multi(body)),
            ("GET", p) if p.starts_with("/kv?") => {
                let releases = self.keys.iter().filter(|_| p.starts_with("/kv?prefix=v/"));
                let releases = releases.filter(|(key, _)| key.starts_with("v/"));
                let items = releases.map(|(key, (value, version))| Entry {
                    key: key.clone(),
                    value: value.clone(),
                    version: *version,
                    lease: None,
                });
                let list: Listing<Value> = Listing {
                    items: items.collect(),
                    more: false,
                    revision: 1,
                };
                Some((200, encode(&list)))
            }
            ("GET", p) if p.ends_with("holdMs=0") => {
                // As the state service does, only what has the prefix; the node's release has another.
                let jobs = self.keys.iter().filter(|(key, _)| key.starts_with("c/"));
                let events = jobs.map(|(key, (value, version))| Change::Put {
                    key: key.clone(),
                    value: value.clone(),
                    version: *version,
                });
                let changes = Changes {
                    revision: self.revision,
                    events: events.collect(),
                };
                Some((200, encode(&changes)))
            }
            _ => None,
        }
    }

    fn multi(&mut self, body: &[u8]) -> (u16, Vec<u8>) {
        let txn: Txn<Value> = decode(body).expect("a transaction");
        let large = |w: &Write<Value>| match w {
            Write::Put { value, .. } => json_len(value) > self.value_bytes,
            Write::Delete { .. } => false,
        };
        if txn.writes.len() > self.writes || txn.writes.iter().any(large) {
            self.refusals += 1;
            return (400, vec![]);
        }
        self.revision += 1;
        for w in txn.writes {
            if let Write::Put { key, value, .. } = w {
                self.keys.insert(key, (value, self.revision));
            }
        }
        let answer = TxnAnswer {
            revision: self.revision,
            failed: vec![],
        };
        (200, encode(&answer))
    }

    fn post(&mut self, id: u64, path: String, body: Vec<u8>) -> Event {
        let request = Request {
            method: "POST".into(),
            path,
            close: false,
            body,
        };
        Event::Request { id, request }
    }

    fn submit(&mut self, id: u64, spec: &JobSpec) -> Event {
        self.post(id, "/submissions".into(), encode(spec))
    }

    fn status(&self, id: u64) -> u16 {
        self.replies.get(&id).map_or(0, |r| r.0)
    }

    fn record(&self, job: &str) -> &JobRecord {
        match &self.keys[&format!("c/j/{job}")].0 {
            Value::Job(record) => record,
            other => panic!("{other:?}"),
        }
    }
}

/// What can never be stored was answered 503 again and again, as if the state service were away.
#[test]
fn a_submission_above_the_limit_is_called_too_large() {
    let mut world = World::new(SMALL);
    let event = world.submit(1, &spec("run-1", SMALL));
    world.handle(vec![event]);
    world.run(1_000);
    assert_eq!(world.status(1), 400);
    let error: ErrorBody = decode(&world.replies[&1].1).expect("an error");
    assert_eq!(error.error, "too large");
    assert!(!world.keys.keys().any(|key| key.starts_with("c/")));
}

/// A job that another node took under the larger limit is known, whatever the limit is now: 400 to its
/// repeated submission would forget it.
#[test]
fn an_accepted_job_above_the_limit_stays_accepted() {
    let mut world = World::new(SMALL);
    let spec = spec("run-1", SMALL);
    let record = Value::Job(Box::new(JobRecord::submitted(&spec, 0)));
    world.revision = 5;
    world.keys.insert("c/j/run-1".into(), (record, 5));
    let event = world.submit(1, &spec);
    world.handle(vec![event]);
    world.run(1_000);
    assert_eq!(world.status(1), 200);
}

/// A cancellation of such a job must be stored all the same, or it could never be confirmed.
#[test]
fn an_accepted_job_above_the_limit_can_be_cancelled() {
    let mut world = World::new(SMALL);
    world.value_bytes = SMALL;
    let spec = spec("run-1", SMALL);
    let record = Value::Job(Box::new(JobRecord::submitted(&spec, 0)));
    world.revision = 5;
    world.keys.insert("c/j/run-1".into(), (record, 5));
    let event = world.post(1, "/submissions/run-1/cancel".into(), vec![]);
    world.handle(vec![event]);
    world.run(2_000);
    assert_eq!(world.status(1), 200);
    assert_eq!(world.record("run-1").end, Some(End::Cancelled));
}

/// Limits that are lowered without a word refuse a batch of submissions: all of it was given up, and its
/// users were sent away.
#[test]
fn a_refused_batch_is_stored_in_smaller_parts() {
    for (writes, value_bytes) in [(16, SMALL), (4, LARGE), (1, LARGE), (1, SMALL)] {
        let mut world = World::new(LARGE);
        (world.writes, world.value_bytes) = (writes, value_bytes);
        // The fifth takes more than the lower limit allows.
        let size = |n: u64| if n == 5 { 3_000 } else { 0 };
        let events = (1..=12)
            .map(|n| world.submit(n, &spec(&format!("run-{n}"), size(n))))
            .collect();
        world.handle(events);
        world.run(3_400);
        for n in 1..=12 {
            let fits = size(n) < value_bytes;
            let expected = if fits { 201 } else { 400 };
            let now = world.status(n);
            assert_eq!(now, expected, "run-{n} with {writes} of {value_bytes}");
            assert_eq!(world.keys.contains_key(&format!("c/j/run-{n}")), fits);
        }
        assert!((1..16).contains(&world.refusals), "{}", world.refusals);
    }
}
