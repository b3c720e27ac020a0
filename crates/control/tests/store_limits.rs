//! A node that takes submissions and cancels while the state service refuses what it took before.
use std::collections::{BTreeMap, HashMap};
use stonegw_control::api::{Action, Event, Now, Target};
use stonegw_control::node::Node;
use stonegw_control::records::{JobEnd, JobRecord, StoredRecord};
use stonegw_control::settings::{Settings, Team};
use stonegw_wire::http::Request;
use stonegw_wire::msg::{
    decode, encode, json_size_bytes, Catalog, Entry, ErrorBody, JobKind, JobSpec, ListPage,
    MachineType, Priority, Txn, TxnResponse, WatchEvent, WatchResponse, Write,
};

const LARGE_VALUE_BYTES: usize = 8 * 1024;
const SMALL_VALUE_BYTES: usize = 2 * 1024;

fn settings(value_bytes: usize) -> Settings {
    Settings {
        node_name: "node-0".into(),
        zone: "a".into(),
        peers: vec![],
        zones: vec!["a".into()],
        teams: vec![Team {
            name: "red".into(),
            quota_cpus: 100.0,
            limit_cpus: 100.0,
            quota_gpus: 0.0,
            limit_gpus: 0.0,
        }],
        class_slos: vec![],
        heartbeat_interval_s: 4.0,
        worker_lease_s: 24.0,
        cancellation_deadline_s: 54.0,
        gang_start_timeout_s: 35.0,
        gang_loss_detection_s: 8.0,
        store_requests_per_s: 100.0,
        store_writes_per_s: 60.0,
        max_value_bytes: value_bytes,
        max_transaction_writes: 16,
        cloud_requests_per_s: 1.0,
        cloud_listing_lag_s: 1.0,
        max_sockets: 1_000,
        tuning: Default::default(),
    }
}

/// A job whose record takes a bit more than so many bytes.
fn job_spec_of_size(id: &str, bytes: usize) -> JobSpec {
    // Machine types beside the one there is, 100 bytes each.
    let unknown = (0..bytes / 100).map(|n| format!("{n:097}"));
    let types = unknown.chain(["small".to_owned()]).collect();
    JobSpec {
        id: id.into(),
        class: "class".into(),
        team: "red".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        task_count: 1,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 2.0,
        image: "img-1".into(),
        image_size_gb: 1.0,
        machine_types: Some(types),
        zone: None,
        requires_single_zone: false,
        spreads_across_zones: false,
        allows_spot: false,
        estimated_run_time_s: 60.0,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
    }
}

fn catalog() -> Catalog {
    Catalog {
        machine_types: vec![MachineType {
            name: "small".into(),
            cpus: 4.0,
            gpus: 0.0,
            memory_gb: 16.0,
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            hourly_price: 1.0,
            hourly_spot_price: None,
            boot_s: 30.0,
            zones: vec!["a".into()],
        }],
    }
}

/// One node and the state service, with limits of its own.
struct FakeStoreHarness {
    node: Node,
    now_ms: u64,
    store_entries: BTreeMap<String, (StoredRecord, u64)>,
    revision: u64,
    max_value_bytes: usize,
    max_writes: usize,
    rejections: usize,
    /// What reached users, by request.
    replies: HashMap<u64, (u16, Vec<u8>)>,
}

impl FakeStoreHarness {
    fn new(value_bytes: usize) -> FakeStoreHarness {
        let mut world = FakeStoreHarness {
            node: Node::new(settings(value_bytes), 1),
            now_ms: 1_000,
            store_entries: BTreeMap::new(),
            revision: 1,
            max_value_bytes: usize::MAX,
            max_writes: usize::MAX,
            rejections: 0,
            replies: HashMap::new(),
        };
        world.handle_events(vec![Event::Start]);
        world.run_for(1_000);
        world
    }

    fn run_for(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.now_ms += 50;
            self.handle_events(vec![Event::Tick]);
        }
    }

    fn handle_events(&mut self, mut events: Vec<Event>) {
        while !events.is_empty() {
            let now = Now {
                monotonic_ms: self.now_ms,
                wall_ms: self.now_ms,
            };
            let actions = self.node.handle(now, events);
            events = actions
                .into_iter()
                .filter_map(|a| self.perform_action(a))
                .collect();
        }
    }

    fn perform_action(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Reply {
                request_id: id,
                status,
                body,
                ..
            } => {
                self.replies.insert(id, (status, body));
                None
            }
            Action::Call {
                call_id: call,
                target,
                method,
                path,
                body,
                ..
            } => {
                let answer = self.serve_call(&target, method, &path, &body)?;
                let result = Ok(answer);
                Some(Event::CallDone {
                    call_id: call,
                    result,
                })
            }
            Action::SendFrame { .. } => None,
        }
    }

    /// Watches stay open, and nobody gets a lease: there is no leader here.
    fn serve_call(
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
            ("POST", "/multi") => Some(self.commit_transaction(body)),
            ("GET", p) if p.starts_with("/kv?") => {
                let releases = self
                    .store_entries
                    .iter()
                    .filter(|_| p.starts_with("/kv?prefix=v/"));
                let releases = releases.filter(|(key, _)| key.starts_with("v/"));
                let items = releases.map(|(key, (value, version))| Entry {
                    key: key.clone(),
                    value: value.clone(),
                    revision: *version,
                    lease_id: None,
                });
                let list: ListPage<StoredRecord> = ListPage {
                    entries: items.collect(),
                    has_more: false,
                    revision: 1,
                };
                Some((200, encode(&list)))
            }
            ("GET", p) if p.ends_with("holdMs=0") => {
                // As the state service does, only what has the prefix; the node's release has another.
                let jobs = self
                    .store_entries
                    .iter()
                    .filter(|(key, _)| key.starts_with("c/"));
                let events = jobs.map(|(key, (value, version))| WatchEvent::Put {
                    key: key.clone(),
                    value: value.clone(),
                    revision: *version,
                });
                let changes = WatchResponse {
                    revision: self.revision,
                    events: events.collect(),
                };
                Some((200, encode(&changes)))
            }
            _ => None,
        }
    }

    fn commit_transaction(&mut self, body: &[u8]) -> (u16, Vec<u8>) {
        let txn: Txn<StoredRecord> = decode(body).expect("a transaction");
        let large = |w: &Write<StoredRecord>| match w {
            Write::Put { value, .. } => json_size_bytes(value) > self.max_value_bytes,
            Write::Delete { .. } => false,
        };
        if txn.writes.len() > self.max_writes || txn.writes.iter().any(large) {
            self.rejections += 1;
            return (400, vec![]);
        }
        self.revision += 1;
        for w in txn.writes {
            if let Write::Put { key, value, .. } = w {
                self.store_entries.insert(key, (value, self.revision));
            }
        }
        let answer = TxnResponse {
            revision: self.revision,
            failed_keys: vec![],
        };
        (200, encode(&answer))
    }

    fn post_event(&mut self, id: u64, path: String, body: Vec<u8>) -> Event {
        let request = Request {
            method: "POST".into(),
            path,
            connection_close: false,
            body,
        };
        Event::Request {
            request_id: id,
            request,
        }
    }

    fn submit_event(&mut self, id: u64, spec: &JobSpec) -> Event {
        self.post_event(id, "/submissions".into(), encode(spec))
    }

    fn reply_status(&self, id: u64) -> u16 {
        self.replies.get(&id).map_or(0, |r| r.0)
    }

    fn job_record(&self, job: &str) -> &JobRecord {
        match &self.store_entries[&format!("c/j/{job}")].0 {
            StoredRecord::Job(record) => record,
            other => panic!("{other:?}"),
        }
    }
}

/// What can never be stored was answered 503 again and again, as if the state service were away.
#[test]
fn a_submission_above_the_limit_is_rejected_as_too_large() {
    let mut world = FakeStoreHarness::new(SMALL_VALUE_BYTES);
    let event = world.submit_event(1, &job_spec_of_size("run-1", SMALL_VALUE_BYTES));
    world.handle_events(vec![event]);
    world.run_for(1_000);
    assert_eq!(world.reply_status(1), 400);
    let error: ErrorBody = decode(&world.replies[&1].1).expect("an error");
    assert_eq!(error.error, "too large");
    assert!(!world.store_entries.keys().any(|key| key.starts_with("c/")));
}

/// A job that another node took under the larger limit is known, whatever the limit is now: 400 to its
/// repeated submission would forget it.
#[test]
fn an_accepted_job_above_the_limit_stays_accepted() {
    let mut world = FakeStoreHarness::new(SMALL_VALUE_BYTES);
    let spec = job_spec_of_size("run-1", SMALL_VALUE_BYTES);
    let record = StoredRecord::Job(Box::new(JobRecord::submitted(&spec, 0)));
    world.revision = 5;
    world.store_entries.insert("c/j/run-1".into(), (record, 5));
    let event = world.submit_event(1, &spec);
    world.handle_events(vec![event]);
    world.run_for(1_000);
    assert_eq!(world.reply_status(1), 200);
}

/// A cancellation of such a job must be stored all the same, or it could never be confirmed.
#[test]
fn an_accepted_job_above_the_limit_can_be_cancelled() {
    let mut world = FakeStoreHarness::new(SMALL_VALUE_BYTES);
    world.max_value_bytes = SMALL_VALUE_BYTES;
    let spec = job_spec_of_size("run-1", SMALL_VALUE_BYTES);
    let record = StoredRecord::Job(Box::new(JobRecord::submitted(&spec, 0)));
    world.revision = 5;
    world.store_entries.insert("c/j/run-1".into(), (record, 5));
    let event = world.post_event(1, "/submissions/run-1/cancel".into(), vec![]);
    world.handle_events(vec![event]);
    world.run_for(2_000);
    assert_eq!(world.reply_status(1), 200);
    assert_eq!(world.job_record("run-1").end, Some(JobEnd::Cancelled));
}

/// Limits that are lowered without a word refuse a batch of submissions: all of it was given up, and its
/// users were sent away.
#[test]
fn a_rejected_batch_is_stored_in_smaller_batches() {
    for (writes, value_bytes) in [
        (16, SMALL_VALUE_BYTES),
        (4, LARGE_VALUE_BYTES),
        (1, LARGE_VALUE_BYTES),
        (1, SMALL_VALUE_BYTES),
    ] {
        let mut world = FakeStoreHarness::new(LARGE_VALUE_BYTES);
        (world.max_writes, world.max_value_bytes) = (writes, value_bytes);
        // The fifth takes more than the lower limit allows.
        let size = |n: u64| if n == 5 { 3_000 } else { 0 };
        let events = (1..=12)
            .map(|n| world.submit_event(n, &job_spec_of_size(&format!("run-{n}"), size(n))))
            .collect();
        world.handle_events(events);
        world.run_for(3_400);
        for n in 1..=12 {
            let fits = size(n) < value_bytes;
            let expected = if fits { 201 } else { 400 };
            let now = world.reply_status(n);
            assert_eq!(now, expected, "run-{n} with {writes} of {value_bytes}");
            assert_eq!(
                world.store_entries.contains_key(&format!("c/j/run-{n}")),
                fits
            );
        }
        assert!((1..16).contains(&world.rejections), "{}", world.rejections);
    }
}
