//! A stand-in for the worker of one machine.
use crate::http::{serve, Client, Handler, Reply, Request};
use crate::msgpack::{map, s, V};
use crate::rec;
use crate::record;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// What a worker fetches as the description of a job.
#[derive(Clone, Debug)]
pub struct Job {
    pub cpus: f64,
    pub mem_gb: f64,
    pub image: String,
    /// Run time of a task in seconds; none for a service.
    pub run_s: Option<f64>,
}

/// The descriptions that users have uploaded.
pub type Jobs = Arc<Mutex<HashMap<String, Job>>>;

/// A task that was on a machine: it had its image and had not exited.
#[derive(Clone, Debug)]
pub struct Run {
    pub piece: String,
    pub attempt: u64,
    pub machine: String,
    pub from: f64,
    pub to: Option<f64>,
}

/// An answer that a worker got to a report.
#[derive(Clone, Debug)]
pub struct Answer {
    pub node: usize,
    pub status: u16,
    pub baton: u64,
    pub at: f64,
}

/// What is seen at all workers.
#[derive(Default)]
pub struct Seen {
    pub runs: Vec<Run>,
    pub answers: Vec<Answer>,
    /// Commands to start a task: job, machine and time.
    pub run_orders: Vec<(String, String, f64)>,
    /// Expired leases: machine, what was killed, and time.
    pub expired: Vec<(String, Vec<String>, f64)>,
    /// The largest report by machine: its size as sent and as JSON.
    pub largest_report: HashMap<String, (usize, usize)>,
}

pub type SeenByAll = Arc<Mutex<Seen>>;

/// The times in the settings.
#[derive(Clone, Copy)]
pub struct Times {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

struct Task {
    phase: &'static str,
    cause: Option<&'static str>,
    /// When the image is there, or the task completes.
    next: Option<Instant>,
    job: Job,
}

struct State {
    tenure: u64,
    tally: u64,
    baton: u64,
    tasks: BTreeMap<(String, u64), Task>,
    images: HashSet<String>,
    leased_at: Instant,
    changed: bool,
    ended: bool,
    /// Answers to direct commands are held up by so much, as often as the second number says.
    hold_answers: (Duration, u32),
}

pub struct Worker {
    pub name: String,
    pub build: String,
    pub yard: String,
    cpus: f64,
    mem_gb: f64,
    pub is_late: bool,
    /// The address that it reports.
    pub addr: String,
    times: Times,
    jobs: Jobs,
    seen: SeenByAll,
    state: Mutex<State>,
    /// Names and addresses of the nodes, as this worker reaches them, and the first to use.
    nodes: OnceLock<(Vec<(String, String)>, usize)>,
}

/// What a worker is made of.
pub struct Spec<'a> {
    pub name: &'a str,
    pub build: &'a str,
    pub yard: &'a str,
    pub cpus: f64,
    pub mem_gb: f64,
    /// The machine boots when the run begins, and comes up later.
    pub is_late: bool,
}

type Routed = Box<dyn FnOnce(&str) -> String>;

impl Worker {
    /// Starts the server of a worker. `route` makes the address that others use of the real one.
    pub fn new(
        spec: Spec,
        times: Times,
        jobs: Jobs,
        seen: SeenByAll,
        route: Routed,
    ) -> Arc<Worker> {
        let slot: Arc<OnceLock<Arc<Worker>>> = Arc::default();
        let serving = slot.clone();
        let handler: Handler = Arc::new(move |request: &Request| serving.get()?.handle(request));
        let addr = route(&serve(handler));
        let worker = Arc::new(Worker {
            name: spec.name.into(),
            build: spec.build.into(),
            yard: spec.yard.into(),
            cpus: spec.cpus,
            mem_gb: spec.mem_gb,
            is_late: spec.is_late,
            addr,
            times,
            jobs,
            seen,
            state: Mutex::new(State {
                tenure: 1,
                tally: 0,
                baton: 0,
                tasks: BTreeMap::new(),
                images: HashSet::new(),
                leased_at: Instant::now(),
                changed: false,
                ended: false,
                hold_answers: (Duration::ZERO, 0),
            }),
            nodes: OnceLock::new(),
        });
        let _ = slot.set(worker.clone());
        worker
    }

    /// Begins to run tasks and to report to `nodes`, first to number `first`.
    pub fn begin(self: &Arc<Worker>, nodes: Vec<(String, String)>, first: usize) {
        let _ = self.nodes.set((nodes, first));
        self.state.lock().unwrap().leased_at = Instant::now();
        let (ticking, reporting) = (self.clone(), self.clone());
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(10));
            ticking.tick();
        });
        thread::spawn(move || reporting.report_loop());
    }

    /// Whether the machine is up.
    pub fn has_begun(&self) -> bool {
        self.nodes.get().is_some()
    }

    /// The machine is gone, with everything on it.
    pub fn end(&self) {
        let mut state = self.state.lock().unwrap();
        state.ended = true;
        self.kill_all(&mut state);
    }

    pub fn hold_answers(&self, time: Duration, count: u32) {
        self.state.lock().unwrap().hold_answers = (time, count);
    }

    /// The tasks on the machine that have not exited.
    pub fn present(&self) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let present = state
            .tasks
            .iter()
            .filter(|(_, task)| task.phase != "exited");
        present.map(|((piece, _), _)| piece.clone()).collect()
    }

    pub fn running_of(&self, job: &str) -> usize {
        let state = self.state.lock().unwrap();
        let of_job = |piece: &str| piece.rsplit_once('/').is_some_and(|(name, _)| name == job);
        state
            .tasks
            .iter()
            .filter(|((piece, _), task)| of_job(piece) && task.phase == "running")
            .count()
    }

    fn begin_run(&self, piece: &str, attempt: u64) {
        rec!("{}: {piece} try {attempt} starts", self.name);
        let (piece, machine) = (piece.to_owned(), self.name.clone());
        self.seen.lock().unwrap().runs.push(Run {
            piece,
            attempt,
            machine,
            from: record::now(),
            to: None,
        });
    }

    fn end_run(&self, piece: &str, attempt: u64, why: &str) {
        rec!("{}: {piece} try {attempt} ends, {why}", self.name);
        let mut seen = self.seen.lock().unwrap();
        let is_it = |run: &&mut Run| {
            run.piece == piece && run.attempt == attempt && run.machine == self.name
        };
        if let Some(run) = seen.runs.iter_mut().rev().find(is_it) {
            run.to.get_or_insert(record::now());
        }
    }

    fn kill_all(&self, state: &mut State) -> Vec<String> {
        let mut killed = vec![];
        for ((piece, attempt), task) in std::mem::take(&mut state.tasks) {
            if task.phase == "running" {
                self.end_run(&piece, attempt, "killed");
            }
            if task.phase != "exited" {
                killed.push(piece);
            }
        }
        killed
    }

    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        if state.ended {
            return;
        }
        let now = Instant::now();
        if now.duration_since(state.leased_at).as_secs_f64() > self.times.lease_s {
            let killed = self.kill_all(&mut state);
            rec!(
                "{}: the lease of session {} has expired; killed {killed:?}",
                self.name,
                state.tenure
            );
            self.seen
                .lock()
                .unwrap()
                .expired
                .push((self.name.clone(), killed, record::now()));
            state.tenure += 1;
            state.leased_at = now;
            state.changed = true;
        }
        let due = |task: &Task| task.next.is_some_and(|at| now >= at);
        let keys: Vec<_> = state
            .tasks
            .iter()
            .filter(|(_, task)| due(task))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            state.changed = true;
            let Some(task) = state.tasks.get_mut(&key) else {
                continue;
            };
            if task.phase == "fetching" {
                let image = task.job.image.clone();
                self.make_running(&key, task);
                state.images.insert(image);
            } else {
                task.phase = "exited";
                task.cause = Some("done");
                task.next = None;
                self.end_run(&key.0, key.1, "done");
            }
        }
    }

    fn make_running(&self, key: &(String, u64), task: &mut Task) {
        task.phase = "running";
        task.next = task
            .job
            .run_s
            .map(|run_s| Instant::now() + Duration::from_secs_f64(run_s));
        self.begin_run(&key.0, key.1);
    }

    fn start(&self, state: &mut State, piece: &str, attempt: u64) {
        let key = (piece.to_owned(), attempt);
        if state.tasks.contains_key(&key) {
            return;
        }
        let name = piece.rsplit_once('/').map_or("", |(name, _)| name);
        let job = self.jobs.lock().unwrap().get(name).cloned();
        let present: Vec<_> = state
            .tasks
            .iter()
            .filter(|(_, task)| task.phase != "exited")
            .collect();
        let cpus: f64 = present.iter().map(|(_, task)| task.job.cpus).sum();
        let mem_gb: f64 = present.iter().map(|(_, task)| task.job.mem_gb).sum();
        let refusal = match &job {
            None => Some("no_such"),
            _ if present.iter().any(|((other, _), _)| other == piece) => Some("busy"),
            Some(job)
                if cpus + job.cpus > self.cpus + 1e-6
                    || mem_gb + job.mem_gb > self.mem_gb + 1e-6 =>
            {
                Some("full")
            }
            Some(_) => None,
        };
        let job = job.unwrap_or(Job {
            cpus: 0.0,
            mem_gb: 0.0,
            image: String::new(),
            run_s: None,
        });
        let mut task = Task {
            phase: "fetching",
            cause: None,
            next: None,
            job,
        };
        if refusal.is_some() {
            (task.phase, task.cause) = ("exited", refusal);
        } else if state.images.contains(&task.job.image) {
            self.make_running(&key, &mut task);
        } else {
            task.next = Some(Instant::now() + Duration::from_millis(500));
        }
        state.tasks.insert(key, task);
    }

    fn execute(&self, state: &mut State, orders: &[V], way: &str) {
        for order in orders {
            let (verb, piece) = (order.text("verb"), order.text("piece"));
            let attempt = order.uint("try").unwrap_or(0);
            rec!("{}: {verb} {piece} try {attempt} ({way})", self.name);
            match verb.as_str() {
                "run" => {
                    let job = piece
                        .rsplit_once('/')
                        .map_or("", |(name, _)| name)
                        .to_owned();
                    self.seen.lock().unwrap().run_orders.push((
                        job,
                        self.name.clone(),
                        record::now(),
                    ));
                    self.start(state, &piece, attempt);
                }
                "kill" => {
                    if let Some(task) = state.tasks.get_mut(&(piece.clone(), attempt)) {
                        if task.phase == "running" {
                            self.end_run(&piece, attempt, "stopped");
                        }
                        if task.phase != "exited" {
                            (task.phase, task.cause, task.next) = ("exited", Some("stopped"), None);
                        }
                    }
                }
                "clear" => {
                    let key = (piece, attempt);
                    if state
                        .tasks
                        .get(&key)
                        .is_some_and(|task| task.phase == "exited")
                    {
                        state.tasks.remove(&key);
                    }
                }
                _ => {}
            }
        }
        state.changed |= !orders.is_empty();
    }

    fn report(&self, state: &mut State) -> V {
        state.tally += 1;
        let piece = |((piece, attempt), task): (&(String, u64), &Task)| {
            let mut fields = vec![
                ("piece", s(piece)),
                ("try", V::Uint(*attempt)),
                ("phase", s(task.phase)),
            ];
            fields.extend(task.cause.map(|cause| ("cause", s(cause))));
            map(&fields)
        };
        let pieces = state.tasks.iter().map(piece).collect();
        map(&[
            ("hearth", s(&self.name)),
            ("addr", s(&self.addr)),
            ("build", s(&self.build)),
            ("yard", s(&self.yard)),
            ("loaners", V::Bool(false)),
            ("tenure", V::Uint(state.tenure)),
            ("tally", V::Uint(state.tally)),
            ("baton", V::Uint(state.baton)),
            ("recallS", V::Nil),
            ("pieces", V::List(pieces)),
        ])
    }

    fn handle(&self, request: &Request) -> Option<Reply> {
        let mut state = self.state.lock().unwrap();
        if state.ended {
            return None;
        }
        if request.route() == "/inspect" {
            return Some((200, self.report(&mut state)));
        }
        let body = V::decode(&request.body)?;
        let (Some(baton), Some(tenure)) = (body.uint("baton"), body.uint("tenure")) else {
            return Some((400, map(&[("error", s("baton or tenure is missing"))])));
        };
        if baton > state.baton {
            state.baton = baton;
            state.changed = true;
        }
        let status = if baton < state.baton || tenure != state.tenure {
            409
        } else {
            200
        };
        rec!(
            "{}: /do with baton {baton}, session {tenure}: {status}",
            self.name
        );
        if status == 200 {
            self.execute(&mut state, &body.list("orders"), "/do");
        }
        let report = self.report(&mut state);
        let starts = body
            .list("orders")
            .iter()
            .any(|order| order.text("verb") == "run");
        if starts && state.hold_answers.1 > 0 {
            state.hold_answers.1 -= 1;
            let time = state.hold_answers.0;
            drop(state);
            rec!(
                "{}: the answer to this /do is held up for {} s",
                self.name,
                time.as_secs_f64()
            );
            thread::sleep(time);
        }
        Some((status, report))
    }

    /// A number from 0 to 1 that differs from report to report, without a random source.
    fn vary(&self, tally: u64) -> f64 {
        let mut hash = tally.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        for byte in self.name.bytes() {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01B3);
        }
        (hash >> 40) as f64 / (1u64 << 24) as f64
    }

    fn report_loop(&self) {
        let Some((nodes, first)) = self.nodes.get() else {
            return;
        };
        let mut node = *first;
        let mut client = Client::default();
        let mut last = Instant::now() - Duration::from_secs(60);
        let mut wait_s = 0.0;
        loop {
            thread::sleep(Duration::from_millis(10));
            let mut state = self.state.lock().unwrap();
            if state.ended {
                return;
            }
            let since_s = last.elapsed().as_secs_f64();
            if since_s < wait_s && !(state.changed && since_s >= 0.5) {
                continue;
            }
            state.changed = false;
            let report = self.report(&mut state);
            let (tenure, tally) = (state.tenure, state.tally);
            wait_s = self.times.report_s * (0.75 + 0.5 * self.vary(tally));
            drop(state);
            last = Instant::now();
            let size = (report.bytes().len(), report.json().len());
            let mut seen = self.seen.lock().unwrap();
            let largest = seen.largest_report.entry(self.name.clone()).or_default();
            *largest = (largest.0.max(size.0), largest.1.max(size.1));
            drop(seen);
            let answer = client.call(
                &nodes[node].1,
                "POST",
                "/agent/beat",
                Some(&report),
                Duration::from_secs(4),
            );
            let next = self.take_answer(
                node,
                nodes,
                tenure,
                last,
                answer,
                report.list("pieces").len(),
            );
            match next {
                None => {}
                Some((next, pause)) => {
                    client.disconnect();
                    node = next;
                    thread::sleep(pause);
                    wait_s = 0.0;
                }
            }
        }
    }

    /// Handles the answer to a report. Returns the node to try next, if another one, and the pause
    /// before.
    fn take_answer(
        &self,
        node: usize,
        nodes: &[(String, String)],
        tenure: u64,
        sent_at: Instant,
        answer: Option<Reply>,
        pieces: usize,
    ) -> Option<(usize, Duration)> {
        let next = Some(((node + 1) % nodes.len(), Duration::from_secs(1)));
        let mut state = self.state.lock().unwrap();
        let (status, body) = match answer {
            Some(answer) => answer,
            None => {
                rec!(
                    "{}: report to {} ({pieces} pieces): no answer",
                    self.name,
                    nodes[node].0
                );
                return next;
            }
        };
        let baton = body.uint("baton").unwrap_or(0);
        rec!(
            "{}: report to {} ({pieces} pieces): {status}, baton {baton}",
            self.name,
            nodes[node].0
        );
        let seen = Answer {
            node,
            status,
            baton,
            at: record::now(),
        };
        self.seen.lock().unwrap().answers.push(seen);
        match status {
            200 => {
                if state.tenure == tenure && baton >= state.baton {
                    state.changed |= baton > state.baton;
                    state.baton = baton;
                    state.leased_at = sent_at;
                    self.execute(&mut state, &body.list("orders"), "report");
                }
                None
            }
            421 => {
                let named = nodes
                    .iter()
                    .position(|(name, _)| *name == body.text("steward"));
                match named {
                    Some(named) if named != node => Some((named, Duration::from_millis(100))),
                    _ => next,
                }
            }
            _ => next,
        }
    }
}
