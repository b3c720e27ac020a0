//! The state of the simulation, its log, and the failures that it has recorded.
use super::event::{Caller, EventQueue, SimulationEvent};
use super::gang_run::GangRuns;
use super::node_slot::NodeSlot;
use super::requests::PendingRequests;
use super::setup::{cluster_settings, empty_cloud, store_limits};
use crate::checks::RuleChecks;
use crate::stand_ins::{
    Cloud, ClusterView, KeyValueStore, Ms, NetworkFaults, StoreFaults, SubmittedJob, UserFaults,
    Worker, WorkerFaults,
};
use std::collections::{BTreeMap, BTreeSet};

/// The delay between the starts of two nodes.
const NODE_START_GAP_MS: Ms = 20;
/// The interval at which gangs advance and the rules that time alone can break are checked.
pub(super) const INVARIANT_CHECK_INTERVAL_MS: Ms = 100;

/// A watch that is held open until there is a change.
pub(super) struct Watch {
    pub caller: Caller,
    pub prefix: String,
    pub since_revision: u64,
    /// The time at which the watch is answered even without a change.
    pub held_until: Ms,
}

/// The identity of a node's call whose result has not arrived.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallKey {
    pub node: usize,
    pub call_id: u64,
}

/// The simulated system, the active faults, and the failures found.
pub struct Simulation {
    /// The current simulated time.
    pub now: Ms,
    pub(super) queue: EventQueue,
    /// The controller nodes.
    pub nodes: Vec<NodeSlot>,
    pub(super) calls_in_flight: BTreeSet<CallKey>,
    /// The key-value store.
    pub store: KeyValueStore,
    pub(super) watches: Vec<Watch>,
    /// The cloud.
    pub cloud: Cloud,
    /// The workers by machine id.
    pub workers: BTreeMap<String, Worker>,
    pub(super) gang_runs: GangRuns,
    /// The jobs that users have submitted, by id.
    pub jobs: BTreeMap<String, SubmittedJob>,
    pub(super) requests: PendingRequests,
    pub(super) load_balancer_turn: usize,
    /// The latency of a message between two nodes, or between a node and a worker or user.
    pub network_latency_ms: Ms,
    /// Faults of the network between nodes, and between nodes and zones.
    pub network_faults: NetworkFaults,
    /// Faults of the store and of the messages to and from it.
    pub store_faults: StoreFaults,
    /// Faults of machines and of the messages to and from them.
    pub worker_faults: WorkerFaults,
    /// What users do to provoke failures.
    pub user_faults: UserFaults,
    /// When the faults are over. From then on users must get replies in time, and jobs must not
    /// wait for long while there is capacity.
    pub faults_over_at: Option<Ms>,
    pub(super) rules: RuleChecks,
    /// The violations of rules, each beginning with the rule's name.
    pub violations: Vec<String>,
    /// The expectations of the trace that did not hold.
    pub expectation_failures: Vec<String>,
    /// The log, one line for each thing that happened.
    pub log: Vec<String>,
}

impl Simulation {
    /// Creates a simulation with `nodes` nodes, which start one after another, and no machines.
    pub fn new(nodes: usize) -> Simulation {
        let settings = cluster_settings(nodes);
        let mut sim = Simulation {
            now: 0,
            queue: EventQueue::default(),
            calls_in_flight: BTreeSet::new(),
            store: KeyValueStore::default(),
            watches: vec![],
            cloud: empty_cloud(),
            workers: BTreeMap::new(),
            gang_runs: GangRuns::default(),
            jobs: BTreeMap::new(),
            requests: PendingRequests::default(),
            load_balancer_turn: 0,
            network_latency_ms: 1,
            network_faults: NetworkFaults::default(),
            store_faults: StoreFaults::default(),
            worker_faults: WorkerFaults::default(),
            user_faults: UserFaults::default(),
            faults_over_at: None,
            rules: RuleChecks::default(),
            violations: vec![],
            expectation_failures: vec![],
            log: vec![],
            nodes: settings.into_iter().map(NodeSlot::new).collect(),
        };
        for node in 0..nodes {
            let start_at = node as Ms * NODE_START_GAP_MS;
            sim.schedule(start_at, SimulationEvent::NodeStart(node));
        }
        sim.store.limits = store_limits(&sim.nodes[0].settings);
        sim.schedule(INVARIANT_CHECK_INTERVAL_MS, SimulationEvent::InvariantCheck);
        sim
    }

    /// Returns a view of the workers and jobs.
    pub fn cluster(&self) -> ClusterView<'_> {
        ClusterView {
            workers: &self.workers,
            jobs: &self.jobs,
        }
    }

    /// Appends a line with the current time to the log.
    pub fn append_log(&mut self, text: String) {
        let now_s = self.now as f64 / 1e3;
        self.log.push(format!("{now_s:9.3} {text}"));
    }

    /// Records that an expectation of the trace does not hold.
    pub fn record_expectation_failure(&mut self, text: String) {
        let now_s = self.now as f64 / 1e3;
        self.expectation_failures
            .push(format!("{now_s:.1} s: {text}"));
    }

    /// Records the violation of a rule.
    pub(super) fn record_violation(&mut self, text: String) {
        self.append_log(format!("BROKEN {text}"));
        self.violations.push(text);
    }

    pub(super) fn record_violations(&mut self, violations: impl IntoIterator<Item = String>) {
        for violation in violations {
            self.record_violation(violation);
        }
    }

    pub(super) fn schedule(&mut self, due_at: Ms, event: SimulationEvent) {
        self.queue.schedule(due_at, event);
    }

    pub(super) fn schedule_after(&mut self, delay_ms: Ms, event: SimulationEvent) {
        self.queue.schedule(self.now + delay_ms, event);
    }

    /// Schedules a line that `run_until_script_line` returns to its caller at `due_at`.
    pub fn schedule_script_line(&mut self, due_at: Ms, line: Vec<String>) {
        self.schedule(due_at, SimulationEvent::ScriptLine(line));
    }
}
