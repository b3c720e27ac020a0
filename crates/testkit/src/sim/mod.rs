//! The simulated world: real controller cores among stand-ins for all that is around them, in
//! simulated time, with failures, and with the rules of the protocol checked all the while.
mod capacity;
mod cloud_calls;
mod command;
mod event;
mod fault;
mod gang;
mod invariants;
mod malformed;
mod network;
mod node;
mod pause;
mod setup;
mod store_calls;
mod user;
mod worker;

pub use fault::{TransactionFault, TransactionFaultKind};
pub use malformed::MalformedRequest;
pub use user::SubmittedJob;

use crate::stand_ins::{Cloud, GangRunId, KeyValueStore, Ms, Worker};
use event::{ScheduledEvent, SimulationEvent};
use gang::GangRun;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use stonegw_control::node::Node;
use stonegw_control::settings::Settings;
use store_calls::Watch;
use user::Requester;

/// How long a message to the state service takes, and its answer.
const STORE_LATENCY_MS: Ms = 5;
const HEARTBEAT_INTERVAL_MS: Ms = 3_000;
/// A worker's lease.
pub const WORKER_LEASE_MS: Ms = 24_000;
/// How long tasks of a cancelled job may stay.
pub const CANCELLATION_DEADLINE_MS: Ms = 54_000;

/// How long a gang's task waits for the others, and within what time tasks of a running gang
/// notice that one is gone.
pub const GANG_WAIT_TIMEOUT_MS: Ms = 35_000;
pub const GANG_PEER_TIMEOUT_MS: Ms = 8_000;

/// The job and the number of a task.
fn parse_task_name(task: &str) -> (&str, u32) {
    let (job, index) = task.split_once('/').expect("task name");
    (job, index.parse().expect("task number"))
}

fn job_id_of(task: &str) -> &str {
    task.split('/').next().unwrap_or("")
}

/// The world: what exists in it, the failures in force, and what was seen.
pub struct Simulation {
    pub now: Ms,
    event_sequence: u64,
    event_queue: BinaryHeap<ScheduledEvent>,
    pub nodes: Vec<Option<Node>>,
    incarnations: Vec<u64>,
    /// Processes that stand still, and by how much each node's steady clock is ahead.
    pauses: BTreeMap<usize, pause::ProcessPause>,
    clock_skew_ms: Vec<Ms>,
    /// Those that led when they stood still, and had lost the leader key when they went on.
    deposed_while_paused: BTreeSet<usize>,
    settings: Vec<Settings>,
    pub store: KeyValueStore,
    watches: Vec<Watch>,
    pub cloud: Cloud,
    pub workers: BTreeMap<String, Worker>,
    pub jobs: BTreeMap<String, SubmittedJob>,
    pending_requests: BTreeMap<u64, Requester>,
    next_request_id: u64,
    calls_in_flight: BTreeMap<(usize, u64), u64>,
    pub transaction_faults: Vec<TransactionFault>,
    /// Until when the state service answers 503, to one node or to all.
    pub store_unavailable_until: BTreeMap<usize, Ms>,
    /// Until when a machine hears and says nothing; what is sent to it arrives afterwards.
    pub machine_partitioned_until: BTreeMap<String, Ms>,
    /// A zone whose machines reach only one node, that node and the zone, until when.
    pub zone_partition: Option<(String, usize, Ms)>,
    /// A node that reaches neither the state service nor other nodes, but its workers, until.
    pub isolated_node: Option<(usize, Ms)>,
    /// Pairs of nodes, the lower first, that don't hear each other, until.
    pub peers_partitioned_until: BTreeMap<(usize, usize), Ms>,
    /// Frames between these two are held back, and arrive in order, until.
    pub frames_held_until: BTreeMap<(usize, usize), Ms>,
    /// Until when the state service takes so much longer, half of it each way.
    pub store_slowdown: Option<(Ms, Ms)>,
    /// One in so many transactions is carried out late, without an answer, until; and how many
    /// have been seen.
    pub delayed_transactions: Option<(u64, Ms)>,
    delayed_transaction_candidates: u64,
    /// One in so many transactions is carried out at once, but its answer is lost, until; and how
    /// many have been seen.
    pub dropped_responses: Option<(u64, Ms)>,
    dropped_response_candidates: u64,
    /// One in so many jobs that arrive is cancelled within so long; and how many have arrived since.
    pub cancellation_share: Option<(u64, Ms)>,
    cancellation_candidates: u64,
    /// Until when users ask at all nodes right after each answer that a job was accepted or ended.
    pub read_after_write_checks_until: Option<Ms>,
    /// A copy of one in so many reports arrives so much later, at each node in turn: how many, from and
    /// to how much later, until; and how many have been seen.
    pub duplicated_heartbeats: Option<(u64, Ms, Ms, Ms)>,
    duplicated_heartbeat_candidates: u64,
    /// Until when a machine's reports reach no node, though commands reach it.
    pub heartbeats_dropped_until: BTreeMap<String, Ms>,
    /// Until when answers and commands don't reach a machine, though its reports arrive.
    pub machine_unreachable_until: BTreeMap<String, Ms>,
    is_any_job_cancelled: bool,
    /// Runs of gangs of which tasks are left, and the number of the next.
    gang_runs: BTreeMap<GangRunId, GangRun>,
    next_gang_run_id: GangRunId,
    /// Machines that stopped by themselves.
    crashed_machines: BTreeSet<String>,
    /// What each team's tasks take at most, in CPUs.
    team_cpus_upper_bound: BTreeMap<String, f64>,
    /// Every report of the machine arrives once more so much later, at another node; every
    /// direct command to it likewise.
    pub heartbeat_copy_delay_ms: BTreeMap<String, Ms>,
    pub direct_command_copy_delay_ms: BTreeMap<String, Ms>,
    /// When the troubles are over: from then on no job's questions may go unanswered for long.
    pub faults_over_at: Option<Ms>,
    /// Reports kept back, to be delivered late, one at a time.
    pub withheld_heartbeats: std::collections::VecDeque<Vec<u8>>,
    /// Only direct commands to it are held back so long.
    pub direct_commands_held_until: BTreeMap<String, Ms>,
    pub network_latency_ms: Ms,
    pub violations: Vec<String>,
    pub log: Vec<String>,
    script: Vec<(Ms, Vec<String>)>,
    pub expectation_failures: Vec<String>,
    load_balancer_turn: usize,
}

impl Simulation {
    /// A world with so many nodes, which start one after another, and no machine.
    pub fn new(nodes: usize) -> Simulation {
        let mut sim = Simulation {
            now: 0,
            event_sequence: 0,
            event_queue: BinaryHeap::new(),
            nodes: (0..nodes).map(|_| None).collect(),
            incarnations: vec![0; nodes],
            pauses: BTreeMap::new(),
            clock_skew_ms: vec![0; nodes],
            deposed_while_paused: BTreeSet::new(),
            settings: setup::cluster_settings(nodes),
            store: KeyValueStore::default(),
            watches: vec![],
            cloud: setup::empty_cloud(),
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            next_request_id: 0,
            calls_in_flight: BTreeMap::new(),
            transaction_faults: vec![],
            store_unavailable_until: BTreeMap::new(),
            machine_partitioned_until: BTreeMap::new(),
            direct_commands_held_until: BTreeMap::new(),
            withheld_heartbeats: Default::default(),
            zone_partition: None,
            isolated_node: None,
            peers_partitioned_until: BTreeMap::new(),
            frames_held_until: BTreeMap::new(),
            store_slowdown: None,
            delayed_transactions: None,
            delayed_transaction_candidates: 0,
            dropped_responses: None,
            dropped_response_candidates: 0,
            cancellation_share: None,
            cancellation_candidates: 0,
            read_after_write_checks_until: None,
            duplicated_heartbeats: None,
            duplicated_heartbeat_candidates: 0,
            heartbeats_dropped_until: BTreeMap::new(),
            machine_unreachable_until: BTreeMap::new(),
            is_any_job_cancelled: false,
            gang_runs: BTreeMap::new(),
            next_gang_run_id: 1,
            crashed_machines: BTreeSet::new(),
            team_cpus_upper_bound: BTreeMap::new(),
            heartbeat_copy_delay_ms: BTreeMap::new(),
            direct_command_copy_delay_ms: BTreeMap::new(),
            faults_over_at: None,
            network_latency_ms: 1,
            violations: vec![],
            log: vec![],
            script: vec![],
            expectation_failures: vec![],
            load_balancer_turn: 0,
        };
        for i in 0..nodes {
            sim.schedule(i as Ms * 20, SimulationEvent::NodeStart(i));
        }
        sim.apply_store_limits();
        sim.schedule_invariant_check();
        sim
    }

    /// A line of the log, with the present moment.
    pub fn append_log(&mut self, text: String) {
        self.log
            .push(format!("{:9.3} {text}", self.now as f64 / 1e3));
    }

    /// What a trace expects does not hold.
    pub fn record_expectation_failure(&mut self, text: String) {
        let at = self.now as f64 / 1e3;
        self.expectation_failures.push(format!("{at:.1} s: {text}"));
    }

    /// A rule was broken.
    fn record_violation(&mut self, text: String) {
        self.append_log(format!("BROKEN {text}"));
        self.violations.push(text);
    }
}
