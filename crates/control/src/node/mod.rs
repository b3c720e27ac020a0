//! The state machine of one controller. Every controller runs a [`Node`]; the node that is elected
//! leader also runs the [`Leader`].
//!
//! A node takes events ([`crate::api::Event`]) and returns actions ([`crate::api::Action`]). It
//! does no I/O and reads no clock: the time is an argument of each call. The files by concern:
//!
//! - Replica of the jobs and of the leader key: `replica_sync`, `cancellation_watermark`.
//! - Election of the leader: `role`, `election`.
//! - Users' requests: `routes`, `user_requests`, `pending_request`, `admission`, `feasibility`,
//!   `read_barriers`, `user_commits`, `commit_batch`, `job_status`.
//! - Workers' heartbeats: `heartbeats`, `pending_relays`, `store_relay`, `relay_transaction`,
//!   `leader_probes`, `isolation`.
//! - Other controllers: `peers`, `frames`.
//! - The store and the cloud: `calls`, `call_results`, `responses`, `store_availability`,
//!   `budgets`, `catalog`.
//! - Rolling upgrades and pauses of the process: `feature_gate`, `resume`.
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

/// One controller: its replica of the jobs, its peers, its pending requests and, while it leads,
/// the leader.
pub struct Node {
    /// The settings with which this node was started.
    pub settings: Settings,
    /// A random number that distinguishes this process from earlier ones with the same node name.
    incarnation: u64,
    rng: SmallRng,
    /// The time of the current turn.
    pub(crate) now: Now,
    /// The actions of the current turn.
    pub(crate) outbox: Outbox,
    calls_in_flight: HashMap<u64, NodeCall>,

    /// The stored jobs and leader key, as far as this node has read them.
    pub replica: Replica,
    replica_sync: ReplicaSync,
    cancellation_watermark: CancellationWatermark,

    /// This node's role in the election of the leader.
    pub role: Role,
    election: Election,
    /// The leader, if this node leads.
    pub leader: Option<Box<Leader>>,
    /// The highest term or fencing token seen in any message. It can be above everything that this
    /// node has read.
    pub highest_observed_token: u64,

    catalog: CatalogCache,
    store_availability: StoreAvailability,
    /// This node's share of the store's request rate limit.
    pub(crate) read_budget: TokenBucket,
    /// This node's share of the store's write rate limit.
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
    /// Creates a node that has read nothing yet. The seed determines its incarnation and all its
    /// random delays.
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
            highest_observed_token: 0,
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

    /// Runs one turn: handles all events that arrived together, then takes the actions that are
    /// due. Returns the actions of the turn.
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

    /// Takes the actions that are due. Earlier steps have priority in the use of the budgets.
    fn advance(&mut self) {
        self.track_unread_cancellations();
        self.advance_replica_sync();
        // This precedes the users' requests, which would use up a small budget.
        self.advance_feature_gate();
        self.advance_role();
        self.advance_user_requests();
        self.advance_store_relay();
        self.advance_catalog();
        self.advance_peers();
        self.expire_pending_relays();
        self.with_leader(|leader, context| leader.advance(context));
        if self.leader.is_none() {
            // Only a leader uses these.
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
        self.isolation.remove_stale(now, two_leases_ms);
        self.send_pings();
        self.send_job_counts();
    }

    /// Calls `act` on the leader, if this node leads, with a context that holds this node's state
    /// and budgets, and records the calls that the leader makes.
    fn with_leader(&mut self, act: impl FnOnce(&mut Leader, &mut LeaderContext)) {
        let Some(mut leader) = self.leader.take() else {
            return;
        };
        let now = self.now.monotonic_ms;
        let knows_observed_tokens = self.knows_observed_tokens();
        let may_raise = self.may_raise_tokens() && self.replica.term() == Some(leader.term);
        let mut calls = vec![];
        let mut context = LeaderContext {
            may_resign: self.peers.are_all_unreachable(now) && self.election.may_resign(now),
            watermark_current: self.watermark_current() && knows_observed_tokens,
            leadership_confirmed: self.has_synced_since_pause() && knows_observed_tokens,
            raised_token: may_raise.then_some(self.replica.revision),
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
        self.observe_token(leader.highest_observed_token);
        self.leader = Some(leader);
    }
}
