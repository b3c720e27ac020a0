//! One controller: what every node does (user requests, the copy of the jobs, relaying reports,
//! standing for election) and, while it leads, the leader inside.
use crate::api::{
    describe_result, Action, CallError, CallResult, Event, Link, Millis, Now, Target,
};
use crate::leader::Leader;
use crate::outbox::Outbox;
use crate::pause::PauseDetector;
use crate::records::{
    self, JobEnd, JobRecord, LeaderRecord, RelayedHeartbeatsRecord, ReplicatedRecord, StoredRecord,
    LEADER_KEY, REPLICATED_PREFIX,
};
use crate::replica::Replica;
use crate::settings::{Settings, TokenBucket};
use crate::store_limits::{StoreLimits, TransactionSize};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};
use stonegw_constants::{CLOUD_TIMEOUT_MS, PEER_PING_INTERVAL_MS, RESIGNATION_INTERVAL_MS};
use stonegw_wire::frame::{self, Cancellation, Frame, Hello, TaskCounts};
use stonegw_wire::http::Request;
use stonegw_wire::msg::{
    decode, encode, json_size_bytes, Catalog, CommandBatch, Condition, ErrorBody, Heartbeat,
    JobKind, JobPhase, JobSpec, JobStatus, LeaseRequest, LeaseResponse, ListPage, Redirect, Txn,
    TxnResponse, WatchResponse, Write,
};

mod budgets;
mod call_results;
mod calls;
mod cancellation_watermark;
mod election;
mod feasibility;
mod feature_gate;
mod peer;
mod pending_request;
mod relay;
mod replica_sync;
mod resume;
mod role;
mod routes;
mod user_requests;
mod via_store;

use calls::NodeCall;
pub use feasibility::check_feasibility;
use peer::Peer;
use pending_request::{PendingRequest, UserRequest};
use replica_sync::ReplicaSync;
pub use role::Role;

/// One controller: its copy of the jobs, its peers, its requests and, while it leads, the leader.
pub struct Node {
    pub settings: Settings,
    incarnation: u64,
    rng: SmallRng,
    pub(crate) now: Now,
    pub(crate) outbox: Outbox,
    calls_in_flight: HashMap<u64, NodeCall>,
    pub replica: Replica,
    replica_sync: ReplicaSync,
    is_watching: bool,
    next_watch_at: Millis,
    pub role: Role,
    /// When the lease for our claim was asked for: it may run out so much sooner.
    lease_requested_at: Millis,
    pub leader: Option<Box<Leader>>,
    catalog: Option<Catalog>,
    next_catalog_fetch_at: Millis,
    is_fetching_catalog: bool,
    /// Requests to the state service and changes in it, our share.
    pub(crate) read_budget: TokenBucket,
    pub(crate) write_budget: TokenBucket,
    /// How large what we write may be.
    store_limits: StoreLimits,
    awaiting_barrier: Vec<PendingRequest>,
    awaiting_commit: Vec<PendingRequest>,
    next_barrier_at: Millis,
    barriers_in_flight: usize,
    commits_in_flight: usize,
    next_commit_at: Millis,
    last_store_success_at: Millis,
    store_failing_since: Option<Millis>,
    peers: Vec<Peer>,
    cancellation_watermark: cancellation_watermark::CancellationWatermark,
    feature_gate: feature_gate::FeatureGate,
    pause_detector: PauseDetector,
    /// When the last pause ended; 0: there was none.
    resumed_at: Millis,
    next_hello_at: Millis,
    /// Reports on their way to the leader: who waits, until when, and the report.
    pending_relays: HashMap<u64, (u64, Millis, Heartbeat)>,
    last_relay_id: u64,
    /// Counts for display, as the leader last told them.
    job_counts: HashMap<String, (u32, u32)>,
    /// A lease of an earlier life or a failed claim, to be ended.
    leases_to_revoke: Vec<u64>,
    /// Reports to be handed on through the state service, and when each last was.
    heartbeats_via_store: BTreeMap<String, (Heartbeat, bool, Millis)>,
    next_via_store_at: Millis,
    via_store_slot: usize,
    /// Machines answered without the leader: since when, or when last sent to try it.
    served_without_leader_since: HashMap<String, Millis>,
    /// Machines that reported here, and when last.
    last_heartbeat_at: HashMap<String, Millis>,
    /// Machines that were told to try others while we heard nobody, since when.
    released: HashMap<String, Millis>,
    /// One of them came back after trying all others in vain.
    confined: bool,
    /// Those that are away to try it, since when.
    probing: HashMap<String, Millis>,
    /// The last that tried it came back, and when the next may go.
    probe_failed: bool,
    next_probe_at: Millis,
    /// Not to stand for election before.
    next_campaign_at: Millis,
    resigned_at: Option<Millis>,
    /// A term higher than any leader key we have seen, told by a worker or peer.
    pub higher_term: u64,
}

impl Node {
    /// A node that has heard nothing yet.
    pub fn new(settings: Settings, seed: u64) -> Node {
        let mut rng = SmallRng::seed_from_u64(seed);
        let nonce = rng.random::<u64>() >> 12;
        let peers: Vec<Peer> = settings.peers.iter().map(|_| Peer::default()).collect();
        let coverage = cancellation_watermark::CancellationWatermark::new(peers.len());
        let gate = feature_gate::FeatureGate::new(&settings.node_name, &settings.peers);
        let mut node = Node {
            incarnation: nonce,
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
            replica_sync: ReplicaSync::Listing {
                start_after: None,
                first_page_revision: None,
                retry_at: 0,
                request_in_flight: false,
            },
            is_watching: false,
            next_watch_at: 0,
            role: Role::Follower,
            lease_requested_at: 0,
            leader: None,
            catalog: None,
            next_catalog_fetch_at: 0,
            is_fetching_catalog: false,
            read_budget: TokenBucket::new(1.0, 1.0),
            write_budget: TokenBucket::new(1.0, 1.0),
            store_limits: StoreLimits::new(&settings),
            awaiting_barrier: vec![],
            awaiting_commit: vec![],
            next_barrier_at: 0,
            barriers_in_flight: 0,
            commits_in_flight: 0,
            next_commit_at: 0,
            last_store_success_at: 0,
            store_failing_since: None,
            peers,
            cancellation_watermark: coverage,
            feature_gate: gate,
            pause_detector: PauseDetector::default(),
            resumed_at: 0,
            next_hello_at: 0,
            pending_relays: HashMap::new(),
            last_relay_id: 0,
            job_counts: HashMap::new(),
            leases_to_revoke: vec![],
            heartbeats_via_store: BTreeMap::new(),
            next_via_store_at: 0,
            via_store_slot: 0,
            served_without_leader_since: HashMap::new(),
            last_heartbeat_at: HashMap::new(),
            released: HashMap::new(),
            confined: false,
            probing: HashMap::new(),
            probe_failed: false,
            next_probe_at: 0,
            next_campaign_at: 0,
            resigned_at: None,
            higher_term: 0,
            settings,
        };
        node.share_budgets();
        node
    }

    /// The one entry: what happened, all that came together. What goes on by itself is looked
    /// at once for all of it.
    pub fn handle(&mut self, now: Now, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        self.now = now;
        if let Some(pause) = self.pause_detector.record_turn(now.monotonic_ms) {
            self.resume(pause);
        }
        for event in events {
            self.handle_event(event);
        }
        self.advance();
        std::mem::take(&mut self.outbox.actions)
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Start => {
                self.last_store_success_at = now.monotonic_ms;
            }
            Event::Tick => {}
            Event::Request {
                request_id: id,
                request,
            } => self.handle_request(id, request),
            Event::CallDone {
                call_id: call,
                result,
            } => self.handle_call_result(call, result),
            Event::Frame { from, frame } => self.handle_frame(from, frame),
            Event::LinkUp(Link::Outbound(i)) => {
                self.peers[i].is_connected = true;
                self.peers[i].last_heard_at = now.monotonic_ms;
                self.peers[i].has_all_counts = false;
                self.send_hello_request(i);
            }
            Event::LinkDown(Link::Outbound(i)) => self.peers[i].is_connected = false,
            Event::LinkUp(Link::Inbound(_)) | Event::LinkDown(Link::Inbound(_)) => {}
        }
    }

    // ---- What goes on by itself ---------------------------------------------------------

    fn advance(&mut self) {
        let now = self.now.monotonic_ms;
        self.advance_replica_sync();
        // Before the users' requests, which would leave a small budget nothing for it.
        self.advance_feature_gate();
        self.advance_role();
        self.advance_user_requests();
        self.advance_via_store();
        if self.catalog.is_none() && !self.is_fetching_catalog && now >= self.next_catalog_fetch_at
        {
            self.is_fetching_catalog = true;
            let call = self.outbox.start_call(
                Target::Cloud,
                "GET",
                "/catalog".into(),
                vec![],
                CLOUD_TIMEOUT_MS,
            );
            self.calls_in_flight.insert(call, NodeCall::FetchCatalog);
        }
        if now >= self.next_hello_at {
            self.next_hello_at = now + PEER_PING_INTERVAL_MS;
            let old = (self.settings.worker_lease_s * 2e3) as u64;
            self.last_heartbeat_at.retain(|_, at| now < *at + old);
            for i in 0..self.peers.len() {
                if self.peers[i].is_connected {
                    self.send_hello_request(i);
                }
            }
            self.send_job_counts();
        }
        let late: Vec<u64> = self
            .pending_relays
            .iter()
            .filter(|(_, (_, until, _))| now >= *until)
            .map(|(r, _)| *r)
            .collect();
        for r in late {
            if let Some((id, _, report)) = self.pending_relays.remove(&r) {
                self.handle_relay_timeout(id, report);
            }
        }
        self.with_leader(|leader, context| leader.advance(context));
        if self.leader.is_none() {
            // Only a leader has use for them.
            self.replica.changed_jobs.clear();
            self.replica.relayed_heartbeats.clear();
        }
    }

    /// Lets the leader act, if there is one, on its own calls and our budgets.
    fn with_leader(&mut self, f: impl FnOnce(&mut Leader, &mut crate::context::LeaderContext)) {
        let Some(mut leader) = self.leader.take() else {
            return;
        };
        let mut calls = vec![];
        let may_resign = !self.peers.is_empty()
            && !self.is_any_peer_reachable()
            && self
                .resigned_at
                .is_none_or(|at| self.now.monotonic_ms > at + RESIGNATION_INTERVAL_MS);
        let mut context = crate::context::LeaderContext {
            may_resign,
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
        f(&mut leader, &mut context);
        for (id, call) in calls {
            self.calls_in_flight.insert(id, NodeCall::Leader(call));
        }
        self.leader = Some(leader);
    }
}
