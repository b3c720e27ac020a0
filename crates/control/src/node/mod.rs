//! One controller: what every node does, and, while it leads, the leader inside it.
//!
//! A node takes events ([`crate::api::Event`]) and returns actions ([`crate::api::Action`]); it does
//! no I/O and has no clock of its own. One file per concern:
//!
//! | concern | files |
//! | --- | --- |
//! | replica of the jobs and of the leader key | `replica_sync`, `cancellation_watermark` |
//! | election of the leader | `role`, `election` |
//! | users' requests | `routes`, `user_requests`, `admission`, `read_barriers`, `user_commits` |
//! | workers' heartbeats | `heartbeats`, `pending_relays`, `store_relay`, `leader_probes`, `isolation` |
//! | other controllers | `peers`, `frames` |
//! | the store and the cloud | `calls`, `call_results`, `store_availability`, `budgets`, `catalog` |
//! | rolling upgrades, pauses of the process | `feature_gate`, `resume` |
use crate::api::{Action, Event, Link, Now};
use crate::context::LeaderContext;
use crate::leader::Leader;
use crate::outbox::Outbox;
use crate::replica::Replica;
use crate::settings::{Settings, TokenBucket};
use crate::store_limits::StoreLimits;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::collections::HashMap;

mod admission;
mod budgets;
mod call_results;
mod calls;
mod cancellation_watermark;
mod catalog;
mod commit_batch;
mod election;
mod feasibility;
mod feature_gate;
#[cfg(test)]
mod fixture_tests;
mod frames;
mod heartbeats;
mod isolation;
mod job_status;
mod leader_probes;
mod peers;
mod pending_relays;
mod pending_request;
mod read_barriers;
mod relay_transaction;
mod replica_sync;
mod responses;
mod resume;
mod role;
mod routes;
mod store_availability;
mod store_relay;
mod user_commits;
mod user_requests;

use calls::NodeCall;
use cancellation_watermark::CancellationWatermark;
use catalog::CatalogCache;
use election::Election;
use feature_gate::FeatureGate;
use isolation::IsolationTracker;
use job_status::JobCounts;
use leader_probes::LeaderProbes;
use peers::Peers;
use pending_relays::PendingRelays;
use read_barriers::ReadBarriers;
use replica_sync::ReplicaSync;
use resume::PauseTracker;
use store_availability::StoreAvailability;
use store_relay::StoreRelay;
use user_commits::UserCommits;

pub use feasibility::{check_feasibility, FeasibilityError};
pub use role::Role;

/// One controller: its replica of the jobs, its peers, its requests and, while it leads, the leader.
pub struct Node {
    /// The platform's settings, as this node was given them.
    pub settings: Settings,
    /// Tells this process from earlier ones of the same name.
    incarnation: u64,
    rng: SmallRng,
    /// The time of the present turn.
    pub(crate) now: Now,
    /// The actions of the present turn.
    pub(crate) outbox: Outbox,
    calls_in_flight: HashMap<u64, NodeCall>,

    /// What is stored of the jobs and of the leader key, as far as this node has read it.
    pub replica: Replica,
    replica_sync: ReplicaSync,
    cancellation_watermark: CancellationWatermark,

    /// This node's role in the election of the leader.
    pub role: Role,
    election: Election,
    /// The leader, while this node leads.
    pub leader: Option<Box<Leader>>,
    /// The highest term that a message has named; it may be above that of any leader key read.
    pub higher_term: u64,

    catalog: CatalogCache,
    store_availability: StoreAvailability,
    /// This node's share of the store's rate limits.
    pub(crate) read_budget: TokenBucket,
    pub(crate) write_budget: TokenBucket,
    store_limits: StoreLimits,

    read_barriers: ReadBarriers,
    user_commits: UserCommits,
    job_counts: HashMap<String, JobCounts>,

    peers: Peers,
    pending_relays: PendingRelays,
    store_relay: StoreRelay,
    leader_probes: LeaderProbes,
    isolation: IsolationTracker,

    feature_gate: FeatureGate,
    pauses: PauseTracker,
}

impl Node {
    /// A node that knows nothing yet. The seed decides its incarnation and all its random waits.
    pub fn new(settings: Settings, seed: u64) -> Node {
        let mut rng = SmallRng::seed_from_u64(seed);
        let incarnation = rng.random::<u64>() >> 12;
        let peer_count = settings.peers.len();
        let mut node = Node {
            incarnation,
            rng,
            now: Now {
                monotonic_ms: 0,
                wall_ms: 0,
            },
            outbox: Outbox {
                actions: vec![],
                last_call_id: 0,
            },
            calls_in_flight: HashMap::new(),
            replica: Replica::default(),
            replica_sync: ReplicaSync::new(),
            cancellation_watermark: CancellationWatermark::new(peer_count),
            role: Role::Follower,
            election: Election::default(),
            leader: None,
            higher_term: 0,
            catalog: CatalogCache::new(),
            store_availability: StoreAvailability::default(),
            read_budget: TokenBucket::new(1.0, 1.0),
            write_budget: TokenBucket::new(1.0, 1.0),
            store_limits: StoreLimits::new(&settings),
            read_barriers: ReadBarriers::default(),
            user_commits: UserCommits::default(),
            job_counts: HashMap::new(),
            peers: Peers::new(peer_count),
            pending_relays: PendingRelays::default(),
            store_relay: StoreRelay::default(),
            leader_probes: LeaderProbes::default(),
            isolation: IsolationTracker::default(),
            feature_gate: FeatureGate::new(&settings.node_name, &settings.peers),
            pauses: PauseTracker::default(),
            settings,
        };
        node.share_budgets();
        node
    }

    /// One turn: handles all events that came together, then does what is due by itself.
    pub fn handle(&mut self, now: Now, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        self.now = now;
        if let Some(pause) = self.pauses.record_turn(now.monotonic_ms) {
            self.resume(pause);
        }
        for event in events {
            self.handle_event(event);
        }
        self.advance();
        std::mem::take(&mut self.outbox.actions)
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Start => self.store_availability.start(self.now.monotonic_ms),
            Event::Tick => {}
            Event::Request {
                request_id,
                request,
            } => self.handle_request(request_id, request),
            Event::CallDone { call_id, result } => self.handle_call_result(call_id, result),
            Event::Frame { from, frame } => self.handle_frame(from, frame),
            Event::LinkUp(Link::Outbound(peer)) => self.handle_link_up(peer),
            Event::LinkDown(Link::Outbound(peer)) => self.peers.record_link_down(peer),
            Event::LinkUp(Link::Inbound(_)) | Event::LinkDown(Link::Inbound(_)) => {}
        }
    }

    /// Does what is due by itself. What comes first gets the budgets first.
    fn advance(&mut self) {
        self.advance_replica_sync();
        // Before the users' requests, which would leave nothing of a small budget.
        self.advance_feature_gate();
        self.advance_role();
        self.advance_user_requests();
        self.advance_store_relay();
        self.advance_catalog();
        self.advance_peers();
        self.expire_pending_relays();
        self.with_leader(|leader, context| leader.advance(context));
        if self.leader.is_none() {
            // Only a leader has use for them.
            self.replica.changed_jobs.clear();
            self.replica.relayed_heartbeats.clear();
        }
    }

    fn advance_peers(&mut self) {
        let now = self.now.monotonic_ms;
        if !self.peers.take_due_ping(now) {
            return;
        }
        let two_leases_ms = (self.settings.worker_lease_s * 2e3) as u64;
        self.isolation.forget_silent(now, two_leases_ms);
        self.send_pings();
        self.send_job_counts();
    }

    /// Lets the leader act, if there is one, on its own calls and our budgets.
    fn with_leader(&mut self, act: impl FnOnce(&mut Leader, &mut LeaderContext)) {
        let Some(mut leader) = self.leader.take() else {
            return;
        };
        let now = self.now.monotonic_ms;
        let mut calls = vec![];
        let mut context = LeaderContext {
            may_resign: self.peers.are_all_unreachable(now) && self.election.may_resign(now),
            watermark_current: self.watermark_current(),
            leadership_confirmed: self.has_synced_since_pause(),
            now: self.now,
            settings: &self.settings,
            replica: &mut self.replica,
            read_budget: &mut self.read_budget,
            write_budget: &mut self.write_budget,
            store_limits: &mut self.store_limits,
            outbox: &mut self.outbox,
            calls: &mut calls,
        };
        act(&mut leader, &mut context);
        for (call_id, call) in calls {
            self.calls_in_flight.insert(call_id, NodeCall::Leader(call));
        }
        self.leader = Some(leader);
    }
}
