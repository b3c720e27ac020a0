//! The machines and the cloud: workers as PROTOCOL-stonegw.md describes them.
use crate::http::{call, serve, Reply, Request};
use crate::record::Record;
use crate::value::{map, Value};
use std::collections::{BTreeMap, HashMap};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a machine takes to get an image.
const FETCH: Duration = Duration::from_millis(300);
/// How long a worker waits for the answer to a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);

#[derive(Clone)]
pub struct Kind {
    pub name: &'static str,
    pub zone: &'static str,
    pub cpus: f64,
    pub memory_gb: f64,
    pub boot_s: f64,
}

#[derive(Clone, Copy)]
pub struct Times {
    pub report_s: f64,
    pub lease_s: f64,
}

/// A submitted job, as its user describes it to the workers.
#[derive(Clone)]
pub struct Job {
    pub cpus: f64,
    pub memory_gb: f64,
    pub tasks: u64,
    /// How long a task runs; `None` for a service.
    pub run_s: Option<f64>,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Phase {
    Fetching { until: Instant },
    Running { since: Instant },
    Exited { cause: &'static str },
}

#[derive(Clone)]
struct Task {
    piece: String,
    attempt: u64,
    phase: Phase,
}

struct WorkerState {
    tenure: u64,
    tally: u64,
    baton: u64,
    tasks: Vec<Task>,
    /// When the last answered report was sent, or the session began.
    answered_at: Instant,
    changed: bool,
}

pub struct Worker {
    pub id: String,
    pub kind: Kind,
    addr: String,
    state: Mutex<WorkerState>,
    gone: AtomicBool,
    fleet: Arc<Fleet>,
}

/// A start of a task, for the checks.
pub struct Start {
    pub piece: String,
}

pub struct Fleet {
    pub record: Arc<Record>,
    pub times: Times,
    pub nodes: Vec<(String, String)>,
    pub jobs: Mutex<HashMap<String, Job>>,
    pub workers: Mutex<BTreeMap<String, Arc<Worker>>>,
    pub starts: Mutex<Vec<Start>>,
    pub done: Mutex<BTreeMap<String, f64>>,
    /// Called when a task has run its time: the cause with which it exits.
    pub on_end: Mutex<Option<Box<dyn FnMut(&str, &str) -> &'static str + Send>>>,
    pub kinds: Vec<Kind>,
    /// Whether the cloud has machines to rent.
    pub has_capacity: AtomicBool,
    rented: Mutex<BTreeMap<String, Vec<String>>>,
    booting: Mutex<BTreeMap<String, Kind>>,
    next_id: Mutex<u64>,
}

impl Fleet {
    pub fn new(
        record: Arc<Record>,
        times: Times,
        kinds: Vec<Kind>,
        nodes: Vec<(String, String)>,
        cloud: TcpListener,
    ) -> Arc<Fleet> {
        let fleet = Arc::new(Fleet {
            record,
            times,
            nodes,
            jobs: Mutex::default(),
            workers: Mutex::default(),
            starts: Mutex::default(),
            done: Mutex::default(),
            on_end: Mutex::new(None),
            kinds,
            has_capacity: AtomicBool::new(false),
            rented: Mutex::default(),
            booting: Mutex::default(),
            next_id: Mutex::new(1),
        });
        let answering = fleet.clone();
        serve(cloud, Arc::new(move |request| answering.cloud(&request)));
        fleet
    }

    /// Adds a machine that is up.
    pub fn add(self: &Arc<Fleet>, kind: &Kind) -> String {
        let mut next = self.next_id.lock().unwrap();
        let id = format!("host-{:06}", *next);
        *next += 1;
        drop(next);
        self.begin(id.clone(), kind.clone());
        id
    }

    fn begin(self: &Arc<Fleet>, id: String, kind: Kind) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Arc::new(Worker {
            id: id.clone(),
            kind,
            addr: listener.local_addr().unwrap().to_string(),
            state: Mutex::new(WorkerState {
                tenure: 1,
                tally: 0,
                baton: 0,
                tasks: vec![],
                answered_at: Instant::now(),
                changed: false,
            }),
            gone: AtomicBool::new(false),
            fleet: self.clone(),
        });
        self.workers.lock().unwrap().insert(id, worker.clone());
        let direct = worker.clone();
        serve(listener, Arc::new(move |request| direct.answer(&request)));
        let ticking = worker.clone();
        std::thread::spawn(move || ticking.tick_forever());
        std::thread::spawn(move || worker.report_forever());
    }

    fn cloud(self: &Arc<Fleet>, request: &Request) -> Reply {
        std::thread::sleep(Duration::from_millis(80));
        let path = request.path.split('?').next().unwrap_or("");
        let body = Value::decode(&request.body).unwrap_or(Value::Nil);
        let ok = |value: Value| Some((200, value.encode()));
        match (request.method.as_str(), path) {
            ("GET", "/catalog") => {
                let builds = self.kinds.iter().map(|kind| {
                    map(vec![
                        ("sku", kind.name.into()),
                        ("cpus", kind.cpus.into()),
                        ("cards", 0.0.into()),
                        ("memGb", kind.memory_gb.into()),
                        ("cacheGb", 60.0.into()),
                        ("fetchGbPerS", 0.8.into()),
                        ("hourly", 0.91.into()),
                        ("lowPrice", 0.28.into()),
                        ("readyS", kind.boot_s.into()),
                        ("yards", vec![kind.zone.into()].into()),
                    ])
                });
                ok(map(vec![("builds", Value::List(builds.collect()))]))
            }
            ("GET", "/hosts") => {
                let since = request.path.split("since=").nth(1).unwrap_or("");
                let since = since.split('&').next().unwrap_or("").to_string();
                let row = |id: &str, kind: &Kind, addr: Option<&str>| {
                    map(vec![
                        ("uid", id.into()),
                        ("addr", addr.map_or(Value::Nil, Value::from)),
                        ("build", kind.name.into()),
                        ("yard", kind.zone.into()),
                        ("loaners", false.into()),
                        (
                            "phase",
                            if addr.is_some() { "running" } else { "booting" }.into(),
                        ),
                        ("heldS", (100.0 + self.record.now()).into()),
                    ])
                };
                let mut rows = BTreeMap::new();
                for worker in self.workers.lock().unwrap().values() {
                    rows.insert(
                        worker.id.clone(),
                        row(&worker.id, &worker.kind, Some(&worker.addr)),
                    );
                }
                for (id, kind) in self.booting.lock().unwrap().iter() {
                    rows.insert(id.clone(), row(id, kind, None));
                }
                let rows: Vec<Value> = rows
                    .into_iter()
                    .filter(|(id, _)| *id > since)
                    .map(|(_, row)| row)
                    .collect();
                ok(map(vec![
                    ("hearths", rows.into()),
                    ("hasNext", false.into()),
                ]))
            }
            ("POST", "/hosts") => self.rent(&body),
            ("POST", "/hosts/delete") => {
                for id in body.list("hearths") {
                    let Value::Str(id) = id else { continue };
                    self.record.line(&format!("cloud: {id} is deleted"));
                    self.booting.lock().unwrap().remove(id);
                    let worker = self.workers.lock().unwrap().remove(id);
                    if let Some(worker) = worker {
                        worker.gone.store(true, Ordering::SeqCst);
                        worker.state.lock().unwrap().tasks.clear();
                    }
                }
                ok(map(vec![]))
            }
            _ => Some((400, map(vec![("error", "malformed".into())]).encode())),
        }
    }

    fn rent(self: &Arc<Fleet>, body: &Value) -> Reply {
        let hire = body.str("hire").to_string();
        let answer = |ids: &[String]| {
            let ids: Vec<Value> = ids.iter().map(|id| id.clone().into()).collect();
            Some((200, map(vec![("hearths", ids.into())]).encode()))
        };
        let mut rented = self.rented.lock().unwrap();
        if let Some(ids) = rented.get(&hire) {
            return answer(ids);
        }
        let kind = self
            .kinds
            .iter()
            .find(|kind| kind.name == body.str("build"));
        let (Some(kind), true) = (kind.cloned(), self.has_capacity.load(Ordering::SeqCst)) else {
            self.record
                .line(&format!("cloud: no capacity for {}", body.json()));
            return Some((503, map(vec![("error", "no capacity".into())]).encode()));
        };
        let mut ids = vec![];
        for _ in 0..body.int("count").unwrap_or(0).min(50) {
            let mut next = self.next_id.lock().unwrap();
            let id = format!("host-{:06}", *next);
            *next += 1;
            ids.push(id.clone());
            self.booting
                .lock()
                .unwrap()
                .insert(id.clone(), kind.clone());
            let (fleet, kind) = (self.clone(), kind.clone());
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_secs_f64(kind.boot_s));
                if fleet.booting.lock().unwrap().remove(&id).is_some() {
                    fleet.record.line(&format!("{id} is up"));
                    fleet.begin(id, kind);
                }
            });
        }
        self.record
            .line(&format!("cloud: rents {} as {ids:?}", body.json()));
        rented.insert(hire, ids.clone());
        answer(&ids)
    }

    /// A machine stops with all that is on it. It stays listed.
    pub fn die(&self, id: &str) {
        self.record
            .say(&format!("{id} stops with all that is on it"));
        if let Some(worker) = self.workers.lock().unwrap().get(id) {
            worker.gone.store(true, Ordering::SeqCst);
        }
    }

    /// The workers that are there.
    pub fn all(&self) -> Vec<Arc<Worker>> {
        self.workers.lock().unwrap().values().cloned().collect()
    }
}

impl Worker {
    /// The free CPUs and GB of memory; tasks that fetch their image count as there.
    pub fn free(&self) -> (f64, f64) {
        let state = self.state.lock().unwrap();
        self.free_beside(&state)
    }

    fn free_beside(&self, state: &WorkerState) -> (f64, f64) {
        let jobs = self.fleet.jobs.lock().unwrap();
        let (mut cpus, mut memory) = (self.kind.cpus, self.kind.memory_gb);
        for task in &state.tasks {
            if matches!(task.phase, Phase::Exited { .. }) {
                continue;
            }
            if let Some(job) = jobs.get(job_of(&task.piece)) {
                cpus -= job.cpus;
                memory -= job.memory_gb;
            }
        }
        (cpus, memory)
    }

    /// The pieces that are on the machine and have not exited.
    pub fn present(&self) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let present = state
            .tasks
            .iter()
            .filter(|t| !matches!(t.phase, Phase::Exited { .. }));
        present.map(|task| task.piece.clone()).collect()
    }

    /// The pieces that run.
    pub fn running(&self) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let running = state
            .tasks
            .iter()
            .filter(|t| matches!(t.phase, Phase::Running { .. }));
        running.map(|task| task.piece.clone()).collect()
    }

    fn tick_forever(self: Arc<Worker>) {
        while !self.gone.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(20));
            self.tick();
        }
    }

    fn tick(&self) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let lease = Duration::from_secs_f64(self.fleet.times.lease_s);
        if now.duration_since(state.answered_at) > lease {
            let killed = state.tasks.len();
            state.tasks.clear();
            state.tenure += 1;
            state.tally = 0;
            state.answered_at = now;
            state.changed = true;
            let tenure = state.tenure;
            self.log(&format!(
                "its lease is over; {killed} tasks end, session {tenure} begins"
            ));
        }
        let mut changed = false;
        for task in &mut state.tasks {
            let job = self
                .fleet
                .jobs
                .lock()
                .unwrap()
                .get(job_of(&task.piece))
                .cloned();
            match task.phase {
                Phase::Fetching { until } if now >= until => {
                    task.phase = Phase::Running { since: now };
                    changed = true;
                    self.log(&format!("{} try {} starts", task.piece, task.attempt));
                    let piece = task.piece.clone();
                    self.fleet.starts.lock().unwrap().push(Start { piece });
                }
                Phase::Running { since } => {
                    let Some(run_s) = job.and_then(|job| job.run_s) else {
                        continue;
                    };
                    if now.duration_since(since).as_secs_f64() < run_s {
                        continue;
                    }
                    let mut on_end = self.fleet.on_end.lock().unwrap();
                    let cause = on_end
                        .as_mut()
                        .map_or("done", |end| end(&self.id, &task.piece));
                    task.phase = Phase::Exited { cause };
                    changed = true;
                    self.log(&format!(
                        "{} try {} exits: {cause}",
                        task.piece, task.attempt
                    ));
                    if cause == "done" {
                        let now = self.fleet.record.now();
                        self.fleet
                            .done
                            .lock()
                            .unwrap()
                            .entry(task.piece.clone())
                            .or_insert(now);
                    }
                }
                _ => {}
            }
        }
        state.changed |= changed;
    }

    fn log(&self, text: &str) {
        self.fleet.record.line(&format!("{}: {text}", self.id));
    }

    /// Reports to one controller at a time, as the page says.
    fn report_forever(self: Arc<Worker>) {
        let nodes = self.fleet.nodes.clone();
        let mut node = self.id.bytes().map(usize::from).sum::<usize>() % nodes.len();
        let period = Duration::from_secs_f64(self.fleet.times.report_s);
        let half_second = Duration::from_millis(500);
        while !self.gone.load(Ordering::SeqCst) {
            let sent_at = Instant::now();
            let (body, tenure) = {
                let mut state = self.state.lock().unwrap();
                state.changed = false;
                state.tally += 1;
                (self.report(&state), state.tenure)
            };
            let answer = call(
                &nodes[node].1,
                "POST",
                "/agent/beat",
                &body.encode(),
                REPORT_TIMEOUT,
            );
            let mut pause = None;
            match &answer {
                Some((200, body)) => {
                    if let Some(body) = Value::decode(body) {
                        self.take_answer(&body, tenure, sent_at, &nodes[node].0);
                    }
                }
                Some((421, body)) => {
                    let named = Value::decode(body).map(|b| b.str("steward").to_string());
                    let other = nodes
                        .iter()
                        .position(|(name, _)| Some(name) == named.as_ref());
                    match other.filter(|other| *other != node) {
                        Some(other) => {
                            node = other;
                            pause = Some(Duration::from_millis(100));
                        }
                        None => {
                            node = (node + 1) % nodes.len();
                            pause = Some(Duration::from_secs(1));
                        }
                    }
                }
                other => {
                    let status = other.as_ref().map_or(0, |(status, _)| *status);
                    self.log(&format!(
                        "report to {} is not taken: {status}",
                        nodes[node].0
                    ));
                    node = (node + 1) % nodes.len();
                    pause = Some(Duration::from_secs(1));
                }
            }
            if let Some(pause) = pause {
                std::thread::sleep(pause);
                continue;
            }
            // A report every period, and sooner after a change, but not within half a second.
            while sent_at.elapsed() < period && !self.gone.load(Ordering::SeqCst) {
                let changed = self.state.lock().unwrap().changed;
                if changed && sent_at.elapsed() >= half_second {
                    break;
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    }

    fn take_answer(&self, body: &Value, tenure: u64, sent_at: Instant, node: &str) {
        let mut state = self.state.lock().unwrap();
        let baton = body.int("baton").unwrap_or(0);
        if baton < state.baton || baton == 0 || state.tenure != tenure {
            return;
        }
        // A higher token alone need not be reported at once: it may count as a change.
        state.baton = baton;
        state.answered_at = state.answered_at.max(sent_at);
        self.execute(&mut state, body.list("orders"), node);
    }

    fn report(&self, state: &WorkerState) -> Value {
        let pieces = state.tasks.iter().map(|task| {
            let mut piece = vec![
                ("piece", task.piece.clone().into()),
                ("try", task.attempt.into()),
            ];
            match task.phase {
                Phase::Fetching { .. } => piece.push(("phase", "fetching".into())),
                Phase::Running { .. } => piece.push(("phase", "running".into())),
                Phase::Exited { cause } => {
                    piece.push(("phase", "exited".into()));
                    piece.push(("cause", cause.into()));
                }
            }
            map(piece)
        });
        map(vec![
            ("hearth", self.id.clone().into()),
            ("addr", self.addr.clone().into()),
            ("build", self.kind.name.into()),
            ("yard", self.kind.zone.into()),
            ("loaners", false.into()),
            ("tenure", state.tenure.into()),
            ("tally", state.tally.into()),
            ("baton", state.baton.into()),
            ("recallS", Value::Nil),
            ("pieces", Value::List(pieces.collect())),
        ])
    }

    /// Direct commands.
    fn answer(&self, request: &Request) -> Reply {
        if self.gone.load(Ordering::SeqCst) {
            return None;
        }
        let mut state = self.state.lock().unwrap();
        let mut status = 200;
        if request.path == "/do" {
            let body = Value::decode(&request.body).unwrap_or(Value::Nil);
            let (Some(baton), Some(tenure)) = (body.int("baton"), body.int("tenure")) else {
                return Some((400, map(vec![("error", "malformed".into())]).encode()));
            };
            if baton < state.baton || tenure != state.tenure {
                status = 409;
            } else {
                state.baton = baton;
                self.execute(&mut state, body.list("orders"), "a direct command");
            }
        }
        state.tally += 1;
        Some((status, self.report(&state).encode()))
    }

    fn execute(&self, state: &mut WorkerState, orders: &[Value], from: &str) {
        for order in orders {
            let piece = order.str("piece").to_string();
            let attempt = order.int("try").unwrap_or(0);
            let verb = order.str("verb");
            self.log(&format!("{verb} {piece} try {attempt} from {from}"));
            let known = state
                .tasks
                .iter()
                .position(|t| t.piece == piece && t.attempt == attempt);
            match (verb, known) {
                ("run", None) => {
                    let phase = self.phase_of_new(state, &piece);
                    state.tasks.push(Task {
                        piece,
                        attempt,
                        phase,
                    });
                }
                ("kill", Some(at)) if !matches!(state.tasks[at].phase, Phase::Exited { .. }) => {
                    state.tasks[at].phase = Phase::Exited { cause: "stopped" };
                    self.log(&format!("{piece} try {attempt} exits: stopped"));
                }
                ("clear", Some(at)) if matches!(state.tasks[at].phase, Phase::Exited { .. }) => {
                    state.tasks.remove(at);
                }
                _ => {}
            }
            state.changed = true;
        }
    }

    fn phase_of_new(&self, state: &WorkerState, piece: &str) -> Phase {
        let job = self.fleet.jobs.lock().unwrap().get(job_of(piece)).cloned();
        let there = |t: &&Task| t.piece == piece && !matches!(t.phase, Phase::Exited { .. });
        let (cpus, memory) = self.free_beside(state);
        match job {
            None => Phase::Exited { cause: "no_such" },
            Some(_) if state.tasks.iter().any(|t| there(&t)) => Phase::Exited { cause: "busy" },
            Some(job) if job.cpus > cpus + 1e-6 || job.memory_gb > memory + 1e-6 => {
                self.log(&format!("{piece} is refused: full"));
                Phase::Exited { cause: "full" }
            }
            Some(_) => Phase::Fetching {
                until: Instant::now() + FETCH,
            },
        }
    }
}

pub fn job_of(piece: &str) -> &str {
    piece.rsplit_once('/').map_or("", |(job, _)| job)
}
