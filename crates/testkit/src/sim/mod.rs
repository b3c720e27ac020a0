//! The simulated world: real controller cores among stand-ins for all that is around them, in
//! simulated time, with failures, and with the rules of the protocol checked all the while.
mod cloud_calls;
mod command;
mod event;
mod fault;
mod gang;
mod network;
mod node;
mod odd;
mod pause;
mod room;
mod rule;
mod setup;
mod state_calls;
mod user;
mod worker;

pub use fault::{Trap, TrapKind};
pub use odd::Odd;
pub use user::Job;

use crate::outside::{Cloud, GangRunId, Ms, State, Worker};
use event::{Due, Step};
use gang::GangRun;
use state_calls::Watch;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use stonegw_control::node::Node;
use stonegw_control::settings::Settings;
use user::Asker;

/// How long a message to the state service takes, and its answer.
const STATE_MS: Ms = 5;
const REPORT_MS: Ms = 3_000;
/// A worker's lease.
pub const LEASE_MS: Ms = 24_000;
/// How long tasks of a cancelled job may stay.
pub const CANCEL_MS: Ms = 54_000;

/// How long a gang's task waits for the others, and within what time tasks of a running gang
/// notice that one is gone.
pub const GANG_WAIT_MS: Ms = 35_000;
pub const GANG_PEER_MS: Ms = 8_000;

/// The job and the number of a task.
fn split_task(task: &str) -> (&str, u32) {
    let (job, index) = task.split_once('/').expect("task name");
    (job, index.parse().expect("task number"))
}

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or("")
}

/// The world: what exists in it, the failures in force, and what was seen.
pub struct Sim {
    pub now: Ms,
    seq: u64,
    queue: BinaryHeap<Due>,
    pub nodes: Vec<Option<Node>>,
    lives: Vec<u64>,
    /// Processes that stand still, and by how much each node's steady clock is ahead.
    pauses: BTreeMap<usize, pause::Pause>,
    clock_ahead: Vec<Ms>,
    /// Those that led when they stood still, and had lost the leader key when they went on.
    deposed_in_pause: BTreeSet<usize>,
    settings: Vec<Settings>,
    pub state: State,
    watches: Vec<Watch>,
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
    /// One in so many transactions is carried out at once, but its answer is lost, until; and how
    /// many have been seen.
    pub lost_answers: Option<(u64, Ms)>,
    answers_seen: u64,
    /// One in so many jobs that arrive is cancelled within so long; and how many have arrived since.
    pub cancel_share: Option<(u64, Ms)>,
    jobs_seen: u64,
    /// Until when users ask at all nodes right after each answer that a job was accepted or ended.
    pub close_looks: Option<Ms>,
    /// A copy of one in so many reports arrives so much later, at each node in turn: how many, from and
    /// to how much later, until; and how many have been seen.
    pub late_reports: Option<(u64, Ms, Ms, Ms)>,
    reports_seen: u64,
    /// Until when a machine's reports reach no node, though commands reach it.
    pub mute: BTreeMap<String, Ms>,
    /// Until when answers and commands don't reach a machine, though its reports arrive.
    pub deaf: BTreeMap<String, Ms>,
    any_cancelled: bool,
    /// Runs of gangs of which tasks are left, and the number of the next.
    gang_runs: BTreeMap<GangRunId, GangRun>,
    next_gang_run: GangRunId,
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
    /// A world with so many nodes, which start one after another, and no machine.
    pub fn new(nodes: usize) -> Sim {
        let mut sim = Sim {
            now: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            nodes: (0..nodes).map(|_| None).collect(),
            lives: vec![0; nodes],
            pauses: BTreeMap::new(),
            clock_ahead: vec![0; nodes],
            deposed_in_pause: BTreeSet::new(),
            settings: setup::settings(nodes),
            state: State::default(),
            watches: vec![],
            cloud: setup::cloud(),
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
            lost_answers: None,
            answers_seen: 0,
            cancel_share: None,
            jobs_seen: 0,
            close_looks: None,
            late_reports: None,
            reports_seen: 0,
            mute: BTreeMap::new(),
            deaf: BTreeMap::new(),
            any_cancelled: false,
            gang_runs: BTreeMap::new(),
            next_gang_run: 1,
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
        sim.adopt_limits();
        sim.plan_check();
        sim
    }

    /// A line of the log, with the present moment.
    pub fn note(&mut self, text: String) {
        self.log
            .push(format!("{:9.3} {text}", self.now as f64 / 1e3));
    }

    /// What a trace expects does not hold.
    pub fn fail(&mut self, text: String) {
        let at = self.now as f64 / 1e3;
        self.failures.push(format!("{at:.1} s: {text}"));
    }

    /// A rule was broken.
    fn broke(&mut self, text: String) {
        self.note(format!("BROKEN {text}"));
        self.broken.push(text);
    }
}
