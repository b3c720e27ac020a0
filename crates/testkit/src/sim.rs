//! The simulated world: time, messages, failures, and the rules of the protocol.
use crate::outside::{addr_of, Cloud, Ms, State, Task, Worker};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use stonegw_control::api::{Action, CallError, Event, Link, Now, Target};
use stonegw_control::node::{Node, Role};
use stonegw_control::settings::{Settings, Team, Tuning};
use stonegw_wire::http::Request;
use stonegw_wire::msg::*;

const STATE_MS: Ms = 5;
const CLOUD_MS: Ms = 80;
const REPORT_MS: Ms = 3_000;
pub const LEASE_MS: Ms = 24_000;
pub const CANCEL_MS: Ms = 54_000;
const FETCH_MS: Ms = 1_000;
const WORKER_PATIENCE_MS: Ms = 4_000;
const FORGOTTEN_MS: Ms = 75_000;
/// A worker looks at itself each time this has passed since it was up.
const WORKER_STEP_MS: Ms = 100;
const CHECK_MS: Ms = 100;
/// Links dialled to a node are numbered by who dialled, in which life.
const LIVES: u64 = 1_000;
/// After the troubles no task waits longer beside room for it (the operators' page).
const WAIT_MS: Ms = 90_000;
const ROOM_CHECK_MS: Ms = 1_000;
/// By the protocol no task may start once its job is called cancelled. A leader that the state
/// service refuses alone may not know it yet: its own lease lasts 4 s from the last touch, and a
/// call 1.5 s. Later than that no start may be given, wherever the cancellation was told.
const START_MS: Ms = 6_000;
const MACHINE_CPUS: f64 = 4.0;
const MACHINE_GB: f64 = 16.0;

#[derive(Clone, Debug)]
enum Step {
    Tick(usize, u64),
    /// A worker's turn, if it is still the one that it waits for.
    WorkerTurn(String, Ms),
    /// A call arrives at its target.
    Arrive {
        node: usize,
        life: u64,
        call: u64,
        target: Target,
        method: &'static str,
        path: String,
        body: Vec<u8>,
    },
    /// Its answer arrives at the node.
    Answer {
        node: usize,
        life: u64,
        call: u64,
        result: Result<(u16, Vec<u8>), CallError>,
    },
    Restart(usize),
    Ask {
        ask: u64,
        node: usize,
        request: Request,
    },
    Reply {
        ask: u64,
        status: u16,
        body: Vec<u8>,
    },
    Frame {
        to: usize,
        life: u64,
        from: Link,
        frame: stonegw_wire::frame::Frame,
    },
    LinkUp(usize, u64, usize),
    User(String),
    /// A look at the rules that time alone can break.
    Check,
    Script(usize),
    Wake,
    /// A direct command arrives once more.
    Copy(String, Vec<u8>),
}

struct Due(Ms, u64, Step);
impl PartialEq for Due {
    fn eq(&self, o: &Due) -> bool {
        (self.0, self.1) == (o.0, o.1)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, o: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for Due {
    fn cmp(&self, o: &Due) -> std::cmp::Ordering {
        (o.0, o.1).cmp(&(self.0, self.1))
    }
}

/// A failure that waits for its moment.
#[derive(Clone, Debug)]
pub enum Trap {
    /// The process ends right before it sends, or right after the state service applied it.
    CrashBefore(String, Ms),
    CrashAfter(String, Ms),
    /// The state service applies it, but the answer is lost.
    LoseAnswer(String),
    /// The transaction reaches the state service only so much later.
    Delay(String, Ms),
    /// The state service applies it, but its answer arrives only so much later.
    SlowAnswer(String, Ms),
}

/// What users know of a job.
pub struct Job {
    pub spec: JobSpec,
    pub run_ms: Ms,
    pub accepted: bool,
    pub ended: Option<JobPhase>,
    pub cancel_asked: bool,
    pub cancelled_at: Option<Ms>,
    /// Its user cancels so much after the end of its last task.
    pub cancel_at_end: Option<Ms>,
    pub finished: BTreeSet<u32>,
    asking: Option<u64>,
    pub status: u16,
    /// When a question about it was last answered.
    pub answered: Ms,
    /// When its first task started.
    pub begun: Option<Ms>,
    /// When its user was told that it has ended.
    ended_at: Option<Ms>,
    /// Since when tasks of it wait, none starts and one could.
    waits_since: Option<Ms>,
}

impl Job {
    fn open(&self) -> bool {
        self.accepted && self.ended.is_none() && !self.cancel_asked
    }
}

/// What an odd request must be answered with, unless the node says that it can't now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Odd {
    /// A submission of an accepted job once more: its present state.
    Repeat,
    /// The cancel of a job that is done, and was told so: done.
    CancelDone,
    /// It can never run: 422.
    Impossible,
    /// Malformed: 400, whatever else goes on.
    Malformed,
    /// Nobody submitted it: 404.
    Unknown,
}

enum Asker {
    Worker(String),
    Submit(String),
    Poll(String),
    Cancel(String),
    Probe,
    /// What kind of odd request, about which job, and when it was asked.
    Odd(Odd, String, Ms),
}

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or("")
}

/// How many tasks of a job that is spread may be in one zone.
fn half(spec: &JobSpec) -> u32 {
    spec.tasks.div_ceil(2)
}

/// Whether a job may run on such a machine, its other tasks aside.
fn allowed(spec: &JobSpec, kind: &str, zone: &str, spot: bool) -> bool {
    let types = spec.types.as_ref();
    types.is_none_or(|l| l.iter().any(|t| t == kind))
        && spec.zone.as_ref().is_none_or(|z| z == zone)
        && (spec.spot || !spot)
}

/// Values from one bound to the other that differ much from one to the next, always the same.
fn spaced(n: u64, from: Ms, to: Ms) -> Ms {
    from + n * 37 % 100 * (to - from) / 100
}

pub struct Sim {
    pub now: Ms,
    seq: u64,
    queue: BinaryHeap<Due>,
    pub nodes: Vec<Option<Node>>,
    lives: Vec<u64>,
    settings: Vec<Settings>,
    pub state: State,
    watches: Vec<(usize, u64, u64, String, u64, Ms)>,
    pub cloud: Cloud,
    pub workers: BTreeMap<String, Worker>,
    pub jobs: BTreeMap<String, Job>,
    asks: BTreeMap<u64, Asker>,
    next_ask: u64,
    open: BTreeMap<(usize, u64), u64>,
    pub traps: Vec<Trap>,
    /// Until when the state service answers 503, to one node or to all.
    pub state_out: BTreeMap<usize, Ms>,
    /// Until when a machine hears and says nothing; what is sent to it arrives afterwards.
    pub cut: BTreeMap<String, Ms>,
    /// A zone whose machines reach only one node, that node and the zone, until when.
    pub zone_cut: Option<(String, usize, Ms)>,
    /// A node that reaches neither the state service nor other nodes, but its workers, until.
    pub lone: Option<(usize, Ms)>,
    /// Pairs of nodes, the lower first, that don't hear each other, until.
    pub cut_peers: BTreeMap<(usize, usize), Ms>,
    /// Frames between these two are held back, and arrive in order, until.
    pub hold_frames: BTreeMap<(usize, usize), Ms>,
    /// Until when the state service takes so much longer, half of it each way.
    pub slow_state: Option<(Ms, Ms)>,
    /// One in so many transactions is carried out late, without an answer, until; and how many
    /// have been seen.
    pub late_writes: Option<(u64, Ms)>,
    writes_seen: u64,
    /// A copy of one in so many reports arrives so much later, at each node in turn: how many, from and
    /// to how much later, until; and how many have been seen.
    pub late_reports: Option<(u64, Ms, Ms, Ms)>,
    reports_seen: u64,
    /// Until when a machine's reports reach no node, though commands reach it.
    pub mute: BTreeMap<String, Ms>,
    /// Until when answers and commands don't reach a machine, though its reports arrive.
    pub deaf: BTreeMap<String, Ms>,
    any_cancelled: bool,
    /// Machines that stopped by themselves.
    dead: BTreeSet<String>,
    /// What each team's tasks take at most, in CPUs.
    team_bound: BTreeMap<String, f64>,
    /// Every report of the machine arrives once more so much later, at another node; every
    /// direct command to it likewise.
    pub copy_reports: BTreeMap<String, Ms>,
    pub copy_do: BTreeMap<String, Ms>,
    /// When the troubles are over: from then on no job's questions may go unanswered for long.
    pub calm: Option<Ms>,
    /// Reports kept back, to be delivered late, one at a time.
    pub kept: std::collections::VecDeque<Vec<u8>>,
    /// Only direct commands to it are held back so long.
    pub hold_do: BTreeMap<String, Ms>,
    pub wire_ms: Ms,
    pub broken: Vec<String>,
    pub log: Vec<String>,
    script: Vec<(Ms, Vec<String>)>,
    pub failures: Vec<String>,
    turn: usize,
}

impl Sim {
    pub fn new(nodes: usize) -> Sim {
        let names: Vec<String> = (0..nodes).map(|i| format!("node-{i}")).collect();
        let team = |name: &str, cpus: f64, cpus_max: f64| Team {
            name: name.into(),
            cpus,
            cpus_max,
            gpus: 0.0,
            gpus_max: 0.0,
        };
        let settings: Vec<Settings> = (0..nodes)
            .map(|i| Settings {
                node: names[i].clone(),
                zone: "a".into(),
                peers: names.iter().filter(|n| **n != names[i]).cloned().collect(),
                zones: vec!["a".into(), "b".into()],
                teams: vec![team("red", 8.0, 32.0), team("blue", 4.0, 4.0)],
                promises: vec![],
                report_s: REPORT_MS as f64 / 1e3,
                lease_s: LEASE_MS as f64 / 1e3,
                cancel_s: CANCEL_MS as f64 / 1e3,
                gang_wait_s: 35.0,
                gang_peer_s: 8.0,
                state_rps: 150.0,
                state_write_rps: 60.0,
                value_bytes: 8 * 1024,
                txn_ops: 8,
                cloud_rps: 5.0,
                list_lag_s: 4.0,
                max_sockets: 1000,
                tuning: Tuning {
                    spare_tasks: 0.0,
                    idle_boots: 100.0,
                    ..Tuning::default()
                },
            })
            .collect();
        let kind = |name: &str, zone: &str, price: f64| MachineType {
            name: name.into(),
            cpus: MACHINE_CPUS,
            gpus: 0.0,
            memory_gb: MACHINE_GB,
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price,
            spot_price: None,
            boot_s: 10.0,
            zones: vec![zone.into()],
        };
        let mut sim = Sim {
            now: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            nodes: (0..nodes).map(|_| None).collect(),
            lives: vec![0; nodes],
            settings,
            state: State::default(),
            watches: vec![],
            cloud: Cloud {
                catalog: Catalog {
                    types: vec![kind("small", "a", 1.0), kind("far", "b", 2.0)],
                },
                next: 0,
                machines: BTreeMap::new(),
                answered: BTreeMap::new(),
                boot_ms: 10_000,
                capacity: 20,
            },
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            asks: BTreeMap::new(),
            next_ask: 0,
            open: BTreeMap::new(),
            traps: vec![],
            state_out: BTreeMap::new(),
            cut: BTreeMap::new(),
            hold_do: BTreeMap::new(),
            kept: Default::default(),
            zone_cut: None,
            lone: None,
            cut_peers: BTreeMap::new(),
            hold_frames: BTreeMap::new(),
            slow_state: None,
            late_writes: None,
            writes_seen: 0,
            late_reports: None,
            reports_seen: 0,
            mute: BTreeMap::new(),
            deaf: BTreeMap::new(),
            any_cancelled: false,
            dead: BTreeSet::new(),
            team_bound: BTreeMap::new(),
            copy_reports: BTreeMap::new(),
            copy_do: BTreeMap::new(),
            calm: None,
            wire_ms: 1,
            broken: vec![],
            log: vec![],
            script: vec![],
            failures: vec![],
            turn: 0,
        };
        for i in 0..nodes {
            sim.at(i as Ms * 20, Step::Restart(i));
        }
        sim.at(CHECK_MS, Step::Check);
        sim
    }

    /// The state service's limit on changes; takes effect on nodes that start later.
    pub fn write_rps(&mut self, rps: f64) {
        for s in &mut self.settings {
            s.state_write_rps = rps;
        }
    }

    pub fn state_rps(&mut self, rps: f64) {
        for s in &mut self.settings {
            s.state_rps = rps;
        }
    }

    /// A team's guarantee and limit, in CPUs; likewise.
    pub fn team(&mut self, name: &str, cpus: f64, cpus_max: f64) {
        for t in self.settings.iter_mut().flat_map(|s| &mut s.teams) {
            if t.name == name {
                (t.cpus, t.cpus_max) = (cpus, cpus_max);
            }
        }
    }

    /// The machine stands still, with all that is on it, and goes on later.
    pub fn hang(&mut self, id: &str, lag: Ms) {
        let until = self.now + lag;
        if let Some(w) = self.workers.get_mut(id) {
            w.hangs_until = until;
            for t in w.tasks.values_mut() {
                t.until = t.until.saturating_add(lag);
            }
        }
    }

    /// The machine stops with all that is on it; the cloud still lists it.
    pub fn die(&mut self, id: &str) {
        self.workers.remove(id);
        self.dead.insert(id.to_owned());
    }

    /// The cloud also has spot machines of every type, at a third of the price.
    pub fn spot_machines(&mut self) {
        for t in &mut self.cloud.catalog.types {
            t.spot_price = Some(t.price / 3.0);
        }
    }

    pub fn value_bytes(&mut self, bytes: usize) {
        for s in &mut self.settings {
            s.value_bytes = bytes;
        }
    }

    pub fn add_machine(&mut self, zone: &str) {
        let kind = if zone == "a" { "small" } else { "far" };
        let hire = Hire {
            request: String::new(),
            machine_type: kind.into(),
            zone: zone.into(),
            spot: false,
            count: 1,
        };
        let now = self.now;
        self.cloud.create(now, &hire, 0);
        self.boot();
    }

    pub fn script(&mut self, lines: Vec<(Ms, Vec<String>)>) {
        self.script = lines;
        for i in 0..self.script.len() {
            let at = self.script[i].0;
            self.at(at, Step::Script(i));
        }
    }

    /// Another line of the script, so much later.
    pub fn later(&mut self, lag: Ms, line: Vec<String>) {
        let when = self.now + lag;
        self.script.push((when, line));
        self.at(when, Step::Script(self.script.len() - 1));
    }

    fn at(&mut self, when: Ms, step: Step) {
        self.seq += 1;
        self.queue.push(Due(when, self.seq, step));
    }

    pub fn note(&mut self, text: String) {
        self.log
            .push(format!("{:9.3} {text}", self.now as f64 / 1e3));
    }

    fn broke(&mut self, text: String) {
        self.note(format!("BROKEN {text}"));
        self.broken.push(text);
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &Option<Node>| n.as_ref().is_some_and(|n| n.role == Role::Leading);
        self.nodes.iter().position(leads)
    }

    pub fn crash(&mut self, node: usize, back_ms: Ms) {
        if self.nodes[node].take().is_some() {
            self.note(format!("node-{node} ends"));
            self.lives[node] += 1;
            self.at(self.now + back_ms, Step::Restart(node));
            for other in 0..self.nodes.len() {
                if let Some(link) = self.link(other, node) {
                    self.give(other, Event::LinkDown(Link::Out(link)));
                }
            }
        }
    }

    /// The index under which `from` knows `to`.
    fn link(&self, from: usize, to: usize) -> Option<usize> {
        let name = &self.settings[to].node;
        self.settings[from].peers.iter().position(|p| p == name)
    }

    /// Whether a node and a machine in a zone can reach each other.
    fn apart(&self, node: usize, zone: &str) -> bool {
        let cut = self.zone_cut.as_ref().filter(|c| self.now < c.2);
        cut.is_some_and(|(z, inside, _)| (zone == z) != (node == *inside))
    }

    /// Two nodes lose the links between them, and dial anew when the cut is over.
    pub fn cut_peers(&mut self, a: usize, b: usize, lag: Ms) {
        let until = self.now + lag;
        self.cut_peers.insert((a.min(b), a.max(b)), until);
        for (node, other) in [(a, b), (b, a)] {
            let link = self.link(node, other).expect("known");
            self.give(node, Event::LinkDown(Link::Out(link)));
            self.at(until, Step::LinkUp(node, self.lives[node], other));
        }
    }

    fn links_cut(&self, a: usize, b: usize) -> bool {
        let until = self.cut_peers.get(&(a.min(b), a.max(b)));
        until.is_some_and(|until| self.now < *until)
    }

    fn nodes_apart(&self, a: usize, b: usize) -> bool {
        if self.links_cut(a, b) {
            return true;
        }
        let lone = self.lone.filter(|l| self.now < l.1);
        if lone.is_some_and(|(n, _)| (n == a) != (n == b)) {
            return true;
        }
        let cut = self.zone_cut.as_ref().filter(|c| self.now < c.2);
        cut.is_some_and(|(_, inside, _)| (a == *inside) != (b == *inside))
    }

    pub fn run(&mut self, until: Ms) {
        while let Some(Due(when, _, step)) = self.queue.pop() {
            if when > until {
                break;
            }
            self.now = when;
            self.step(step);
        }
        self.now = until;
    }

    fn give(&mut self, node: usize, event: Event) {
        let now = Now {
            ms: self.now + 1,
            wall_ms: 1_000_000 + self.now,
        };
        let Some(n) = self.nodes[node].as_mut() else {
            return;
        };
        let led = n.role == Role::Leading;
        let actions = n.handle(now, [event]);
        let leads = n.role == Role::Leading;
        if leads != led {
            let what = if leads { "leads" } else { "leads no more" };
            self.note(format!("node-{node} {what}"));
        }
        for action in actions {
            if self.nodes[node].is_none() {
                return;
            }
            self.perform(node, action);
        }
    }

    fn trapped(
        &mut self,
        path: &str,
        body: &[u8],
        pick: fn(&Trap) -> Option<&String>,
    ) -> Option<Trap> {
        if path != "/multi" {
            return None;
        }
        let text = String::from_utf8_lossy(body).into_owned();
        let at = self
            .traps
            .iter()
            .position(|t| pick(t).is_some_and(|key| text.contains(key.as_str())))?;
        Some(self.traps.remove(at))
    }

    fn perform(&mut self, node: usize, action: Action) {
        let life = self.lives[node];
        match action {
            Action::Reply {
                id, status, body, ..
            } => {
                if status == 200 && matches!(self.asks.get(&id), Some(Asker::Worker(_))) {
                    self.given(node, &body);
                }
                self.at(
                    self.now + self.wire_ms,
                    Step::Reply {
                        ask: id,
                        status,
                        body,
                    },
                );
            }
            Action::Send { to, frame } => {
                let (other, from) = match to {
                    Link::Out(i) => {
                        let name = &self.settings[node].peers[i];
                        let other = self
                            .settings
                            .iter()
                            .position(|s| s.node == *name)
                            .expect("known");
                        (other, Link::In(life * LIVES + node as u64))
                    }
                    Link::In(other) => {
                        let (life, other) = (other / LIVES, (other % LIVES) as usize);
                        if life != self.lives[other] {
                            return;
                        }
                        (other, Link::Out(self.link(other, node).expect("known")))
                    }
                };
                if self.nodes_apart(node, other) {
                    return;
                }
                let life = self.lives[other];
                let pair = (node.min(other), node.max(other));
                let held = self.hold_frames.get(&pair).copied().unwrap_or(0);
                self.at(
                    held.max(self.now + self.wire_ms),
                    Step::Frame {
                        to: other,
                        life,
                        from,
                        frame,
                    },
                );
            }
            Action::Call {
                call,
                target,
                method,
                path,
                body,
                timeout_ms,
            } => {
                let mut lag = match &target {
                    Target::State => STATE_MS,
                    Target::Cloud => CLOUD_MS,
                    Target::Worker(_) => self.wire_ms,
                };
                if let Some(Trap::CrashBefore(_, back)) = self.trapped(&path, &body, |t| {
                    if let Trap::CrashBefore(k, _) = t {
                        Some(k)
                    } else {
                        None
                    }
                }) {
                    return self.crash(node, back);
                }
                if let Some(Trap::Delay(key, ms)) = self.trapped(&path, &body, |t| {
                    if let Trap::Delay(k, _) = t {
                        Some(k)
                    } else {
                        None
                    }
                }) {
                    self.note(format!("a transaction on {key} is held back"));
                    lag = ms;
                }
                if path == "/do" {
                    self.given(node, &body);
                }
                if path == "/multi" {
                    lag = self.late_write().unwrap_or(lag);
                }
                if target == Target::State {
                    lag += self.state_lag();
                }
                self.open.insert((node, call), life);
                let timeout = Step::Answer {
                    node,
                    life,
                    call,
                    result: Err(CallError::Unknown),
                };
                self.at(self.now + timeout_ms, timeout);
                let step = Step::Arrive {
                    node,
                    life,
                    call,
                    target,
                    method,
                    path,
                    body,
                };
                self.at(self.now + lag, step);
            }
        }
    }

    /// How late this transaction arrives, if it is one of the late ones: 2 to 12 s, which is after
    /// its sender gave it up.
    fn late_write(&mut self) -> Option<Ms> {
        let (every, _) = self.late_writes.filter(|l| self.now < l.1)?;
        self.writes_seen += 1;
        (self.writes_seen % every == 0).then(|| {
            let lag = spaced(self.writes_seen / every, 2_000, 12_000);
            self.note(format!("a transaction is {} s late", lag as f64 / 1e3));
            lag
        })
    }

    fn state_lag(&self) -> Ms {
        self.slow_state
            .filter(|l| self.now < l.1)
            .map_or(0, |l| l.0 / 2)
    }

    fn answer(&mut self, node: usize, life: u64, call: u64, lag: Ms, answer: (u16, Vec<u8>)) {
        let step = Step::Answer {
            node,
            life,
            call,
            result: Ok(answer),
        };
        self.at(self.now + lag, step);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Tick(node, life) => {
                if self.lives[node] == life && self.nodes[node].is_some() {
                    self.give(node, Event::Tick);
                    self.at(self.now + 50, Step::Tick(node, life));
                }
                if self.state.expire(self.now) {
                    self.wake_watches();
                }
            }
            Step::Restart(node) => {
                if self.nodes[node].is_some() {
                    return;
                }
                let life = self.lives[node];
                let seed = 77 + node as u64 * 1_000 + life;
                self.nodes[node] = Some(Node::new(self.settings[node].clone(), seed));
                self.note(format!("node-{node} starts"));
                self.give(node, Event::Start);
                self.at(self.now, Step::Tick(node, life));
                for other in 0..self.nodes.len() {
                    if other != node {
                        self.at(self.now + 2, Step::LinkUp(node, life, other));
                        self.at(self.now + 2, Step::LinkUp(other, self.lives[other], node));
                    }
                }
            }
            Step::LinkUp(node, life, other) => {
                let open = self.nodes[other].is_some() && !self.links_cut(node, other);
                if self.lives[node] == life && open {
                    let link = self.link(node, other).expect("known");
                    self.give(node, Event::LinkUp(Link::Out(link)));
                }
            }
            Step::Frame {
                to,
                life,
                from,
                frame,
            } => {
                if self.lives[to] == life {
                    self.give(to, Event::Frame { from, frame });
                }
            }
            Step::Answer {
                node,
                life,
                call,
                result,
            } => {
                if self.lives[node] == life && self.open.remove(&(node, call)).is_some() {
                    self.give(node, Event::CallDone { call, result });
                }
            }
            Step::Arrive {
                node,
                life,
                call,
                target,
                method,
                path,
                body,
            } => match target {
                Target::State => self.at_state(node, life, call, method, &path, &body),
                Target::Cloud => {
                    let before: Vec<String> = self.cloud.machines.keys().cloned().collect();
                    let answer = self.cloud.handle(self.now, &path, &body);
                    for id in before {
                        if !self.cloud.machines.contains_key(&id) {
                            self.workers.remove(&id);
                            self.note(format!("{id} is deleted"));
                        }
                    }
                    self.boot();
                    self.answer(node, life, call, CLOUD_MS, answer);
                }
                Target::Worker(addr) => self.at_worker(node, life, call, &addr, method, path, body),
            },
            Step::Ask { ask, node, request } => {
                if self.nodes[node].is_none() {
                    return self.step(Step::Reply {
                        ask,
                        status: 0,
                        body: vec![],
                    });
                }
                self.give(node, Event::Request { id: ask, request });
            }
            Step::Reply { ask, status, body } => self.replied(ask, status, &body),
            Step::Wake => self.wake_watches(),
            Step::Copy(id, body) => {
                let Ok(orders) = decode::<Orders>(&body) else {
                    return;
                };
                let fits =
                    |w: &Worker| orders.token >= w.token && orders.session == Some(w.session);
                if self.workers.get(&id).is_some_and(fits) {
                    self.note(format!("a direct command reaches {id} once more"));
                    self.execute(&id, orders.commands);
                }
            }
            Step::WorkerTurn(id, at) => {
                if self.workers.get(&id).is_some_and(|w| w.turn_at == at) {
                    self.worker_turn(&id);
                }
            }
            Step::Check => {
                self.check();
                let calm = self.calm.is_some_and(|calm| self.now >= calm);
                if calm && self.now % ROOM_CHECK_MS == 0 {
                    self.check_room();
                }
                self.at(self.now + CHECK_MS, Step::Check);
            }
            Step::User(job) => self.user_turn(&job),
            Step::Script(i) => {
                let line = self.script[i].1.clone();
                crate::trace::act(self, &line);
            }
        }
    }

    fn at_state(
        &mut self,
        node: usize,
        life: u64,
        call: u64,
        method: &'static str,
        path: &str,
        body: &[u8],
    ) {
        if let Some((_, until)) = self.lone.filter(|l| l.0 == node && self.now < l.1) {
            // Held back, it arrives when the cut ends, whoever still waits for it.
            let (path, body, target) = (path.to_owned(), body.to_vec(), Target::State);
            let step = Step::Arrive {
                node,
                life,
                call,
                target,
                method,
                path,
                body,
            };
            return self.at(until, step);
        }
        if self
            .state_out
            .get(&node)
            .is_some_and(|until| self.now < *until)
        {
            if path.contains("holdMs") && !path.contains("holdMs=0") {
                return; // An open watch stays open.
            }
            let body = encode(&ErrorBody {
                error: "trouble".into(),
            });
            return self.answer(node, life, call, STATE_MS, (503, body));
        }
        let lose = self.trapped(path, body, |t| {
            if let Trap::LoseAnswer(k) = t {
                Some(k)
            } else {
                None
            }
        });
        let after = self.trapped(path, body, |t| {
            if let Trap::CrashAfter(k, _) = t {
                Some(k)
            } else {
                None
            }
        });
        let slow = self.trapped(path, body, |t| {
            if let Trap::SlowAnswer(k, _) = t {
                Some(k)
            } else {
                None
            }
        });
        let answer = self.state.handle(self.now, method, path, body);
        self.wake_watches();
        if let Some(Trap::CrashAfter(_, back)) = after {
            return self.crash(node, back);
        }
        if let Some(Trap::LoseAnswer(key)) = lose {
            return self.note(format!("the answer to a transaction on {key} is lost"));
        }
        let lag = match slow {
            Some(Trap::SlowAnswer(key, ms)) => {
                self.note(format!("the answer to a transaction on {key} is late"));
                ms
            }
            _ => STATE_MS + self.state_lag(),
        };
        match answer {
            Some(a) => self.answer(node, life, call, lag, a),
            None => {
                let get = |name: &str| {
                    let q = path.split_once('?').map_or("", |q| q.1);
                    q.split('&')
                        .find_map(|p| p.strip_prefix(name))
                        .unwrap_or("")
                        .to_owned()
                };
                let since = get("since=").parse().unwrap_or(0);
                let hold: Ms = get("holdMs=").parse().unwrap_or(0);
                self.watches
                    .push((node, life, call, get("prefix="), since, self.now + hold));
                self.at(self.now + hold, Step::Wake);
            }
        }
    }

    /// A watch that was held while its node was refused tells, late, the first change that it saw.
    pub fn deliver_watch(&mut self, node: usize) {
        for (n, life, call, prefix, since, until) in std::mem::take(&mut self.watches) {
            let mut changes = self.state.changes(&prefix, since);
            changes.events.truncate(1);
            match changes.events.first() {
                Some(Change::Put { version, .. } | Change::Delete { version, .. }) if n == node => {
                    changes.revision = *version;
                    self.note(format!("a held watch of node-{n} tells revision {version}"));
                    self.answer(n, life, call, STATE_MS, (200, encode(&changes)));
                }
                _ => self.watches.push((n, life, call, prefix, since, until)),
            }
        }
    }

    fn wake_watches(&mut self) {
        for (node, life, call, prefix, since, until) in std::mem::take(&mut self.watches) {
            let out = self
                .state_out
                .get(&node)
                .is_some_and(|until| self.now < *until)
                || self.lone.is_some_and(|l| l.0 == node && self.now < l.1);
            let changes = self.state.changes(&prefix, since);
            if changes.events.is_empty() && self.now < until || out {
                self.watches.push((node, life, call, prefix, since, until));
            } else {
                let lag = STATE_MS + self.state_lag();
                self.answer(node, life, call, lag, (200, encode(&changes)));
            }
        }
    }

    // ---- Workers ----------------------------------------------------------------------------

    fn boot(&mut self) {
        let new: Vec<(String, Hire, Ms)> = self
            .cloud
            .machines
            .iter()
            .filter(|(id, _)| !self.workers.contains_key(*id) && !self.dead.contains(*id))
            .map(|(id, (h, _, up))| (id.clone(), h.clone(), *up))
            .collect();
        for (id, hire, up) in new {
            let worker = Worker {
                id: id.clone(),
                kind: hire.machine_type,
                zone: hire.zone,
                spot: hire.spot,
                session: 1,
                seq: 0,
                token: 0,
                node: self.workers.len() % self.nodes.len(),
                renewed: up,
                next_report: up,
                changed: false,
                flying: None,
                tasks: BTreeMap::new(),
                images: BTreeSet::new(),
                notice_s: None,
                grid: up,
                turn_at: Ms::MAX,
                hangs_until: 0,
            };
            self.workers.insert(id.clone(), worker);
            self.worker_due(&id, up);
        }
    }

    /// Delivers the kept report to a node; nobody waits for the answer.
    pub fn deliver_kept(&mut self, node: usize) {
        if let Some(body) = self.kept.pop_front() {
            self.next_ask += 1;
            self.asks.insert(self.next_ask, Asker::Probe);
            self.ask(self.next_ask, node, "POST", "/agent/beat", body);
        }
    }

    fn worker_turn(&mut self, id: &str) {
        let now = self.now;
        let zone = self
            .workers
            .get(id)
            .map_or(String::new(), |w| w.zone.clone());
        let to = self.workers.get(id).map_or(0, |w| w.node);
        let silent = |m: &BTreeMap<String, Ms>| m.get(id).is_some_and(|until| now < *until);
        let cut = silent(&self.cut) || silent(&self.mute) || self.apart(to, &zone);
        let Some(w) = self.workers.get_mut(id) else {
            return;
        };
        if now < w.hangs_until {
            let until = w.hangs_until;
            return self.worker_due(id, until);
        }
        if now >= w.renewed + LEASE_MS {
            w.lose_session(now);
            self.note(format!("{id} loses its session"));
        }
        let mut started = vec![];
        let w = self.workers.get_mut(id).expect("seen");
        for (task, t) in &mut w.tasks {
            if t.state == TaskState::Fetching && now >= t.until {
                t.state = TaskState::Running;
                started.push((task.clone(), t.attempt));
                w.changed = true;
            }
        }
        for (task, attempt) in started {
            self.started(id, &task, attempt);
        }
        let mut last = vec![];
        let w = self.workers.get_mut(id).expect("seen");
        for (task, t) in &mut w.tasks {
            if t.state == TaskState::Running && now >= t.until {
                t.state = TaskState::Exited;
                t.why = Some(ExitCause::Done);
                w.changed = true;
                let (job, index) = task.split_once('/').expect("task name");
                if let (Some(j), Ok(n)) = (self.jobs.get_mut(job), index.parse()) {
                    let ended = j.finished.insert(n) && j.finished.len() == j.spec.tasks as usize;
                    let lag = j.cancel_at_end.filter(|_| ended);
                    last.extend(lag.map(|lag| (job.to_owned(), lag)));
                }
            }
        }
        for (job, lag) in last {
            let line = ["cancel-now", &job, "any"];
            self.later(lag, line.map(str::to_owned).to_vec());
        }
        let w = self.workers.get_mut(id).expect("seen");
        if let Some((ask, sent)) = w.flying {
            if now >= sent + WORKER_PATIENCE_MS {
                self.asks.remove(&ask);
                let nodes = self.nodes.len();
                let w = self.workers.get_mut(id).expect("seen");
                w.flying = None;
                w.node = (w.node + 1) % nodes;
                w.next_report = now + 1_000;
            }
        }
        let w = self.workers.get_mut(id).expect("seen");
        let due = now >= w.next_report || (w.changed && now + REPORT_MS >= w.next_report + 500);
        if w.flying.is_none() && due {
            w.changed = false;
            w.next_report = now + REPORT_MS;
            let (node, report) = (w.node, w.report());
            self.next_ask += 1;
            let ask = self.next_ask;
            self.workers.get_mut(id).expect("seen").flying = Some((ask, now));
            if !cut {
                self.asks.insert(ask, Asker::Worker(id.into()));
                self.ask(ask, node, "POST", "/agent/beat", encode(&report));
            }
            let nodes = self.nodes.len();
            let copy = self
                .copy_reports
                .get(id)
                .map(|lag| (*lag, (node + 1) % nodes));
            if let Some((lag, node)) = copy.or_else(|| self.late_report()) {
                self.next_ask += 1;
                let ask = self.next_ask;
                self.asks.insert(ask, Asker::Probe);
                let request = Request {
                    method: "POST".into(),
                    path: "/agent/beat".into(),
                    close: false,
                    body: encode(&report),
                };
                self.at(now + lag, Step::Ask { ask, node, request });
            }
        }
        let Some(w) = self.workers.get(id) else {
            return;
        };
        let changed = w
            .changed
            .then_some((w.next_report + 500).saturating_sub(REPORT_MS));
        let report =
            Some(changed.unwrap_or(Ms::MAX).min(w.next_report)).filter(|_| w.flying.is_none());
        let patience = w.flying.map(|f| f.1 + WORKER_PATIENCE_MS);
        let tasks = w.tasks.values();
        let tasks = tasks.filter(|t| matches!(t.state, TaskState::Fetching | TaskState::Running));
        let next = tasks.map(|t| t.until).chain(report).chain(patience);
        let next = next.chain([w.renewed + LEASE_MS]).min().unwrap_or(Ms::MAX);
        self.worker_due(id, next.max(now + 1));
    }

    /// How much later and where a copy of this report arrives, if it is one of those.
    fn late_report(&mut self) -> Option<(Ms, usize)> {
        let (every, from, to, _) = self.late_reports.filter(|l| self.now < l.3)?;
        self.reports_seen += 1;
        let copy = self.reports_seen / every;
        let node = copy as usize % self.nodes.len();
        (self.reports_seen % every == 0).then(|| (spaced(copy, from, to), node))
    }

    /// The worker looks at itself at the next step of its own from then on, if not before.
    fn worker_due(&mut self, id: &str, when: Ms) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(id) else {
            return;
        };
        let steps = when
            .max(now)
            .saturating_sub(w.grid)
            .div_ceil(WORKER_STEP_MS);
        let at = w.grid + steps * WORKER_STEP_MS;
        if at < w.turn_at || w.turn_at <= now {
            w.turn_at = at;
            self.at(at, Step::WorkerTurn(id.into(), at));
        }
    }

    fn ask(&mut self, ask: u64, node: usize, method: &str, path: &str, body: Vec<u8>) {
        let request = Request {
            method: method.into(),
            path: path.into(),
            close: false,
            body,
        };
        self.at(self.now + self.wire_ms, Step::Ask { ask, node, request });
    }

    #[allow(clippy::too_many_arguments)]
    fn at_worker(
        &mut self,
        node: usize,
        life: u64,
        call: u64,
        addr: &str,
        method: &'static str,
        path: String,
        body: Vec<u8>,
    ) {
        let id = addr.trim_end_matches(":1").to_owned();
        // Held back by a cut, it arrives when the cut ends, whoever still waits for it.
        let until = self
            .cut
            .get(&id)
            .copied()
            .max(self.hold_do.get(&id).copied())
            .max(self.deaf.get(&id).copied())
            .max(self.workers.get(&id).map(|w| w.hangs_until));
        if let Some(until) = until.filter(|u| self.now < *u) {
            let target = Target::Worker(addr_of(&id));
            self.note(format!("{path} to {id} is held back"));
            return self.at(
                until,
                Step::Arrive {
                    node,
                    life,
                    call,
                    target,
                    method,
                    path,
                    body,
                },
            );
        }
        let zone = self
            .workers
            .get(&id)
            .map_or(String::new(), |w| w.zone.clone());
        if self.apart(node, &zone) {
            return;
        }
        let Some(w) = self.workers.get_mut(&id) else {
            return;
        };
        if method == "GET" {
            let report = w.report();
            return self.answer(node, life, call, self.wire_ms, (200, encode(&report)));
        }
        let Ok(orders) = decode::<Orders>(&body) else {
            return;
        };
        if let Some(lag) = self.copy_do.get(&id).copied() {
            // A copy, whose own answer nobody waits for; it is not copied again.
            let copy = Step::Copy(id.clone(), body.clone());
            self.at(self.now + lag, copy);
        }
        let Some(w) = self.workers.get_mut(&id) else {
            return;
        };
        let fits = orders.token >= w.token && orders.session == Some(w.session);
        w.saw(orders.token);
        self.worker_due(&id, self.now);
        if fits {
            self.execute(&id, orders.commands);
        }
        let Some(w) = self.workers.get_mut(&id) else {
            return;
        };
        let report = w.report();
        self.answer(
            node,
            life,
            call,
            self.wire_ms,
            (if fits { 200 } else { 409 }, encode(&report)),
        );
    }

    fn execute(&mut self, id: &str, commands: Vec<Command>) {
        let now = self.now;
        for command in commands {
            let mut started = None;
            let w = self.workers.get_mut(id).expect("worker");
            match command {
                Command::Start { task, attempt } => {
                    if w.tasks.get(&task).is_some_and(|t| t.attempt == attempt) {
                        continue;
                    }
                    let job = job_of(&task).to_owned();
                    let Some(j) = self.jobs.get(&job) else {
                        continue;
                    };
                    let image = j.spec.image.clone();
                    let fetched = w.images.contains(&image);
                    w.images.insert(image);
                    let t = Task {
                        attempt,
                        state: if fetched {
                            TaskState::Running
                        } else {
                            TaskState::Fetching
                        },
                        why: None,
                        until: now + if fetched { j.run_ms } else { FETCH_MS },
                    };
                    w.tasks.insert(task.clone(), t);
                    if fetched {
                        started = Some((task, attempt));
                    }
                }
                Command::Stop { task, attempt, .. } => {
                    if let Some(t) = w.tasks.get_mut(&task).filter(|t| t.attempt == attempt) {
                        if t.state != TaskState::Exited {
                            t.state = TaskState::Exited;
                            t.why = Some(ExitCause::Stopped);
                        }
                    }
                }
                Command::Forget { task, attempt } => {
                    let done = w
                        .tasks
                        .get(&task)
                        .is_some_and(|t| t.attempt == attempt && t.state == TaskState::Exited);
                    if done {
                        w.tasks.remove(&task);
                    }
                }
            }
            w.changed = true;
            if let Some((task, attempt)) = started {
                self.started(id, &task, attempt);
            }
        }
        self.worker_due(id, now);
    }

    // ---- Rules ------------------------------------------------------------------------------

    /// Commands leave a node. None of them starts what has been called cancelled for long, unless the
    /// same message stops it: that uses up an attempt which may still arrive.
    fn given(&mut self, node: usize, body: &[u8]) {
        let now = self.now;
        let over = |j: &Job| j.cancelled_at.is_some_and(|at| now > at + START_MS);
        if !self.any_cancelled {
            return;
        }
        let Ok(orders) = decode::<Orders>(body) else {
            return;
        };
        let stops = |task: &str| {
            let stop = |c: &Command| matches!(c, Command::Stop { task: t, .. } if t == task);
            orders.commands.iter().any(stop)
        };
        for c in &orders.commands {
            if let Command::Start { task, .. } = c {
                let job = self.jobs.get(job_of(task));
                if job.is_some_and(over) && !stops(task) {
                    self.broke(format!("started_cancelled {task} by node-{node}"));
                }
            }
        }
    }

    fn started(&mut self, id: &str, task: &str, attempt: u64) {
        self.note(format!("{task}#{attempt} starts on {id}"));
        let twice: Vec<String> = self
            .workers
            .values()
            .filter(|w| w.id != id && w.on_machine(task))
            .map(|w| w.id.clone())
            .collect();
        for other in twice {
            self.broke(format!("ran_twice {task} on {other} and {id}"));
        }
        let job = job_of(task).to_owned();
        let (run_ms, spec) = (self.jobs[&job].run_ms, self.jobs[&job].spec.clone());
        if let Some(j) = self.jobs.get_mut(&job) {
            j.begun.get_or_insert(self.now);
            j.waits_since = None;
        }
        let w = self.workers.get_mut(id).expect("worker");
        if let Some(t) = w.tasks.get_mut(task) {
            t.until = self.now + run_ms;
        }
        let told = self.jobs[&job].cancelled_at;
        if told.is_some_and(|at| self.now > at + CANCEL_MS) {
            self.broke(format!("ran_cancelled {task} starts on {id}"));
        }
        self.check_team(&spec.team, spec.cpus);
        let w = self.workers.get_mut(id).expect("worker");
        let (kind, zone, spot) = (w.kind.clone(), w.zone.clone(), w.spot);
        if !allowed(&spec, &kind, &zone, spot) {
            self.broke(format!(
                "wrong_place {task} in {zone} on {kind}, spot {spot}"
            ));
        }
        if spec.one_zone || spec.spread {
            let zones = self.zones_of(&job);
            let here = zones.get(&zone).copied().unwrap_or(0);
            if spec.one_zone && zones.len() > 1 || spec.spread && here > half(&spec) {
                self.broke(format!("wrong_place {task} in {zone}: {zones:?}"));
            }
        }
    }

    /// How many of its tasks are on machines in each zone.
    fn zones_of(&self, job: &str) -> BTreeMap<String, u32> {
        let mut zones = BTreeMap::new();
        for w in self.workers.values() {
            let on = |t: &&String| job_of(t) == job && w.on_machine(t);
            let n = w.tasks.keys().filter(on).count() as u32;
            if n > 0 {
                *zones.entry(w.zone.clone()).or_default() += n;
            }
        }
        zones
    }

    /// After the troubles no job waits for long beside room for one of its tasks.
    fn check_room(&mut self) {
        let now = self.now;
        // What is free on each machine, and what each team and job has.
        let mut free: Vec<(&Worker, f64, f64)> = vec![];
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        let mut present: BTreeMap<&str, u32> = BTreeMap::new();
        for w in self.workers.values() {
            let (mut cpus, mut gb) = (MACHINE_CPUS, MACHINE_GB);
            for (task, t) in &w.tasks {
                if t.state != TaskState::Exited {
                    let job = job_of(task);
                    let spec = &self.jobs[job].spec;
                    (cpus, gb) = (cpus - spec.cpus, gb - spec.memory_gb);
                    *used.entry(&spec.team).or_default() += spec.cpus;
                    *present.entry(job).or_default() += 1;
                }
            }
            if w.grid <= now && w.notice_s.is_none() {
                free.push((w, cpus + 1e-6, gb + 1e-6));
            }
        }
        let mut waits = BTreeMap::new();
        for (id, j) in self.jobs.iter().filter(|(_, j)| j.open()) {
            let spec = &j.spec;
            let there = present.get(id.as_str()).copied().unwrap_or(0);
            let most = self.settings[0]
                .team(&spec.team)
                .map_or(0.0, |t| t.cpus_max);
            let team = used.get(spec.team.as_str()).copied().unwrap_or(0.0);
            if j.finished.len() as u32 + there >= spec.tasks || team + spec.cpus > most + 1e-6 {
                continue;
            }
            let zones = match spec.one_zone || spec.spread {
                true => self.zones_of(id),
                false => BTreeMap::new(),
            };
            let fits = free.iter().find(|(w, cpus, gb)| {
                let here = zones.get(&w.zone).copied().unwrap_or(0);
                let zone_ok = (!spec.one_zone || zones.is_empty() || here > 0)
                    && (!spec.spread || here < half(spec));
                let room = *cpus >= spec.cpus && *gb >= spec.memory_gb;
                room && zone_ok && allowed(spec, &w.kind, &w.zone, w.spot)
            });
            if let Some((w, ..)) = fits {
                waits.insert(id.clone(), w.id.clone());
            }
        }
        let mut broken = vec![];
        for (id, j) in &mut self.jobs {
            let Some(machine) = waits.get(id) else {
                j.waits_since = None;
                continue;
            };
            if now > *j.waits_since.get_or_insert(now) + WAIT_MS {
                j.waits_since = None;
                broken.push(format!("waits_beside_room {id} on {machine}"));
            }
        }
        broken.into_iter().for_each(|b| self.broke(b));
    }

    /// A team's use grows only when a task starts: it is added up anew only where, with all that
    /// started since the last time, it could be over the limit.
    fn check_team(&mut self, team: &str, cpus: f64) {
        let most = self.settings[0].team(team).expect("team").cpus_max;
        let bound = self.team_bound.entry(team.into()).or_default();
        *bound += cpus;
        if *bound <= most + 1e-6 {
            return;
        }
        let tasks = self.workers.values().flat_map(|w| {
            let names = w.tasks.keys().filter(|t| w.on_machine(t));
            names.map(|t| &self.jobs[job_of(t)].spec)
        });
        let used: f64 = tasks.filter(|s| s.team == team).map(|s| s.cpus).sum();
        *bound = used;
        if used > most + 1e-6 && !self.broken.iter().any(|b| b.starts_with("quota")) {
            self.broke(format!("quota {team} uses {used} of {most}"));
        }
    }

    /// What time alone can break.
    fn check(&mut self) {
        let now = self.now;
        let over = |j: &Job| j.cancelled_at.is_some_and(|at| now > at + CANCEL_MS);
        if !self.jobs.values().any(over) {
            return;
        }
        let mut late = vec![];
        for w in self.workers.values() {
            for task in w.tasks.keys().filter(|t| w.on_machine(t)) {
                if over(&self.jobs[job_of(task)]) {
                    late.push(format!("ran_cancelled {task} on {}", w.id));
                }
            }
        }
        for l in late {
            if !self.broken.contains(&l) {
                self.broke(l);
            }
        }
    }

    // ---- Users ------------------------------------------------------------------------------

    pub fn submit(&mut self, spec: JobSpec, run_ms: Ms) {
        let id = spec.id.clone();
        let job = Job {
            spec,
            run_ms,
            accepted: false,
            ended: None,
            cancel_asked: false,
            cancelled_at: None,
            cancel_at_end: None,
            finished: BTreeSet::new(),
            asking: None,
            status: 0,
            answered: self.now,
            begun: None,
            ended_at: None,
            waits_since: None,
        };
        self.jobs.insert(id.clone(), job);
        self.at(self.now, Step::User(id));
    }

    fn user_turn(&mut self, id: &str) {
        let now = self.now;
        self.at(now + 2_000, Step::User(id.into()));
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        let since = self.calm.map(|calm| calm.max(j.answered));
        if j.accepted && since.is_some_and(|s| now > s + FORGOTTEN_MS) {
            j.answered = now;
            self.broke(format!("forgotten {id}: no question answered for 75 s"));
        }
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        if (400..500).contains(&j.status) && j.status != 429 && !j.accepted {
            return;
        }
        if let Some(node) = self.any_node() {
            self.user_asks(id, node);
        }
    }

    /// Where the load balancer sends the next question.
    pub fn any_node(&mut self) -> Option<usize> {
        let alive: Vec<usize> = (0..self.nodes.len())
            .filter(|i| self.nodes[*i].is_some())
            .collect();
        if alive.is_empty() {
            return None;
        }
        self.turn += 1;
        Some(alive[(self.turn + self.turn / alive.len()) % alive.len()])
    }

    /// The user asks to cancel in this moment, at that node first.
    pub fn cancel_now(&mut self, id: &str, node: usize) {
        self.jobs.get_mut(id).expect("job").cancel_asked = true;
        self.user_asks(id, node);
    }

    fn user_asks(&mut self, id: &str, node: usize) {
        self.next_ask += 1;
        let ask = self.next_ask;
        let j = self.jobs.get_mut(id).expect("job");
        if let Some(old) = j.asking.replace(ask) {
            self.asks.remove(&old);
        }
        let path = format!("/submissions/{id}");
        let (asker, method, path, body) = if !j.accepted {
            (
                Asker::Submit(id.into()),
                "POST",
                "/submissions".into(),
                encode(&j.spec),
            )
        } else if j.cancel_asked && j.cancelled_at.is_none() {
            (
                Asker::Cancel(id.into()),
                "POST",
                format!("{path}/cancel"),
                vec![],
            )
        } else {
            (Asker::Poll(id.into()), "GET", path, vec![])
        };
        self.asks.insert(ask, asker);
        self.ask(ask, node, method, &path, body);
    }

    /// Its worker kills and forgets everything.
    pub fn lose_session(&mut self, id: &str) {
        let now = self.now;
        if let Some(w) = self.workers.get_mut(id) {
            w.lose_session(now);
        }
        self.worker_due(id, now);
    }

    /// Its process ends and is back at once: a new session, and nothing of the old one.
    pub fn restart_machine(&mut self, id: &str) {
        self.lose_session(id);
        if let Some(w) = self.workers.get_mut(id) {
            w.images.clear();
        }
    }

    /// Asks about a job from outside; the answer lands in the log.
    pub fn probe(&mut self, node: usize, method: &str, path: &str) {
        self.next_ask += 1;
        self.asks.insert(self.next_ask, Asker::Probe);
        self.ask(self.next_ask, node, method, path, vec![]);
    }

    /// An odd request; its answer is checked and lands in the log.
    pub fn odd(&mut self, node: usize, kind: Odd, job: &str, body: Vec<u8>) {
        self.next_ask += 1;
        let ask = self.next_ask;
        self.asks
            .insert(ask, Asker::Odd(kind, job.into(), self.now));
        let (method, path) = match kind {
            Odd::CancelDone => ("POST", format!("/submissions/{job}/cancel")),
            Odd::Unknown => ("GET", format!("/submissions/{job}")),
            _ => ("POST", "/submissions".into()),
        };
        self.ask(ask, node, method, &path, body);
    }

    fn odd_answered(&mut self, kind: Odd, job: &str, asked: Ms, status: u16, body: &[u8]) {
        let what = format!("{kind:?} {job} is answered {status}");
        self.note(what.clone());
        let told = self.jobs.get(job);
        let known = |j: &&Job| j.ended_at.is_some_and(|at| at < asked);
        let ended = told.filter(known).and_then(|j| j.ended);
        let state = decode::<JobStatus>(body).ok().map(|s| s.state);
        let busy = matches!(status, 0 | 429 | 503 | 504);
        match (kind, status) {
            (Odd::Repeat | Odd::CancelDone, 200) if ended.is_none() && state.is_some() => {}
            (Odd::Repeat | Odd::CancelDone, 200) if state.is_some() && ended == state => {}
            (Odd::Repeat | Odd::CancelDone, 200) => {
                self.broke(format!("went_back {what}, {state:?} after {ended:?}"));
            }
            (Odd::Repeat | Odd::CancelDone, _) if !busy => self.broke(format!("forgotten {what}")),
            (Odd::Unknown, 200) => self.broke(format!("invented {what}")),
            (Odd::Unknown, 404) | (Odd::Impossible, 422) | (Odd::Malformed, 400) => {}
            (Odd::Malformed, s) if s != 0 => self.broke(format!("bad_answer {what}")),
            _ if !busy => self.broke(format!("bad_answer {what}")),
            _ => {}
        }
    }

    fn replied(&mut self, ask: u64, status: u16, body: &[u8]) {
        let now = self.now;
        let Some(asker) = self.asks.remove(&ask) else {
            return;
        };
        match asker {
            Asker::Worker(id) => {
                let silent = |m: &BTreeMap<String, Ms>| m.get(&id).is_some_and(|u| now < *u);
                let cut = silent(&self.cut) || silent(&self.deaf);
                let nodes = self.nodes.len();
                let Some(w) = self.workers.get_mut(&id) else {
                    return;
                };
                let hangs = now < w.hangs_until;
                let Some((_, sent)) = w.flying.filter(|f| f.0 == ask && !cut && !hangs) else {
                    return;
                };
                w.flying = None;
                self.worker_due(&id, now);
                let w = self.workers.get_mut(&id).expect("seen");
                if status != 200 {
                    let to = decode::<ReportTo>(body).ok().and_then(|r| r.node);
                    let named = to.and_then(|n| n.strip_prefix("node-")?.parse().ok());
                    w.node = named
                        .filter(|n| *n != w.node)
                        .unwrap_or((w.node + 1) % nodes);
                    w.next_report = now + 1_000;
                    return;
                }
                let Ok(orders) = decode::<Orders>(body) else {
                    return;
                };
                if orders.token < w.token {
                    return;
                }
                w.saw(orders.token);
                w.renewed = sent;
                self.execute(&id, orders.commands);
            }
            Asker::Odd(kind, job, asked) => self.odd_answered(kind, &job, asked, status, body),
            Asker::Probe => self.note(format!("probe answered {status}")),
            Asker::Submit(id) => {
                let j = self.jobs.get_mut(&id).expect("job");
                j.status = status;
                if matches!(status, 200 | 201) && !j.accepted {
                    j.accepted = true;
                    self.note(format!("{id} accepted with {status}"));
                }
            }
            Asker::Poll(id) | Asker::Cancel(id) => {
                if status == 404 {
                    return self.broke(format!("forgotten {id}"));
                }
                if status != 200 {
                    return;
                }
                let Ok(s) = decode::<JobStatus>(body) else {
                    return;
                };
                let j = self.jobs.get_mut(&id).expect("job");
                j.answered = now;
                let was = j.ended;
                if let Some(was) = was.filter(|w| *w != s.state) {
                    return self.broke(format!("went_back {id} from {was:?} to {:?}", s.state));
                }
                if matches!(s.state, JobPhase::Done | JobPhase::Cancelled) && was.is_none() {
                    j.ended = Some(s.state);
                    j.ended_at = Some(now);
                    let missing = j.finished.len() < j.spec.tasks as usize;
                    if s.state == JobPhase::Cancelled {
                        j.cancelled_at = Some(now);
                        self.any_cancelled = true;
                    }
                    let asked = j.cancel_asked;
                    self.note(format!("{id} is told {:?}", s.state));
                    if s.state == JobPhase::Done && missing {
                        self.broke(format!("not_done {id}"));
                    }
                    if s.state == JobPhase::Cancelled && !asked {
                        self.broke(format!("went_back {id}: nobody cancelled it"));
                    }
                }
            }
        }
    }
}
