//! One controller: what every node does (user requests, the copy of the jobs, relaying reports,
//! standing for election) and, while it leads, the leader inside.
use crate::api::{Action, CallError, CallResult, Event, Link, Ms, Now, Target};
use crate::leader::Leader;
use crate::limits::{StoreLimits, TransactionSize};
use crate::pause::PauseDetector;
use crate::records::{
    self, Common, End, FarRecord, JobRecord, LeaderRecord, Value, COMMON, LEADER,
};
use crate::replica::Replica;
use crate::settings::{Bucket, Settings};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};
use stonegw_constants as k;
use stonegw_wire::frame::{self, Cancelled, Counts, Frame, Hello};
use stonegw_wire::http::Request;
use stonegw_wire::msg::{
    decode, encode, json_len, Catalog, Changes, Condition, ErrorBody, JobKind, JobPhase, JobSpec,
    JobStatus, LeaseAnswer, LeaseRequest, Listing, Orders, Report, ReportTo, Txn, TxnAnswer, Write,
};

mod answers;
mod budgets;
mod calls;
mod can_run;
mod coverage;
mod elect;
mod gate;
mod out;
mod peer;
mod pending;
mod relay;
mod resume;
mod role;
mod routes;
mod sync;
mod users;
mod via_state;

pub(crate) use answers::describe;
use calls::Call;
pub use can_run::can_run;
pub(crate) use out::Out;
use peer::Peer;
use pending::{Ask, Pending};
pub use role::Role;
use sync::Sync;

/// One controller: its copy of the jobs, its peers, its requests and, while it leads, the leader.
pub struct Node {
    pub set: Settings,
    nonce: u64,
    rng: SmallRng,
    pub(crate) now: Now,
    pub(crate) out: Out,
    calls: HashMap<u64, Call>,
    pub replica: Replica,
    sync: Sync,
    watching: bool,
    watch_at: Ms,
    pub role: Role,
    /// When the lease for our claim was asked for: it may run out so much sooner.
    grant_sent: Ms,
    pub leader: Option<Box<Leader>>,
    catalog: Option<Catalog>,
    catalog_at: Ms,
    catalog_asked: bool,
    /// Requests to the state service and changes in it, our share.
    pub(crate) reads: Bucket,
    pub(crate) writes: Bucket,
    /// How large what we write may be.
    limits: StoreLimits,
    waiting: Vec<Pending>,
    to_store: Vec<Pending>,
    barrier_at: Ms,
    barriers: usize,
    storing: usize,
    store_at: Ms,
    state_ok_at: Ms,
    state_failed_at: Option<Ms>,
    peers: Vec<Peer>,
    coverage: coverage::Coverage,
    gate: gate::Gate,
    pauses: PauseDetector,
    /// When the last pause ended; 0: there was none.
    resumed_at: Ms,
    hello_at: Ms,
    /// Reports on their way to the leader: who waits, until when, and the report.
    relays: HashMap<u64, (u64, Ms, Report)>,
    next_relay: u64,
    /// Counts for display, as the leader last told them.
    counts: HashMap<String, (u32, u32)>,
    /// A lease of an earlier life or a failed claim, to be ended.
    release: Vec<u64>,
    /// Reports to be handed on through the state service, and when each last was.
    reports_via_state: BTreeMap<String, (Report, bool, Ms)>,
    via_state_at: Ms,
    via_state_slot: usize,
    /// Machines answered without the leader: since when, or when last sent to try it.
    redirected: HashMap<String, Ms>,
    /// Machines that reported here, and when last.
    seen: HashMap<String, Ms>,
    /// Machines that were told to try others while we heard nobody, since when.
    let_go: HashMap<String, Ms>,
    /// One of them came back after trying all others in vain.
    shut_in: bool,
    /// Those that are away to try it, since when.
    away: HashMap<String, Ms>,
    /// The last that tried it came back, and when the next may go.
    way_shut: bool,
    try_at: Ms,
    /// Not to stand for election before.
    stand_at: Ms,
    resigned_at: Option<Ms>,
    /// A term higher than any leader key we have seen, told by a worker or peer.
    pub higher_term: u64,
}

impl Node {
    /// A node that has heard nothing yet.
    pub fn new(set: Settings, seed: u64) -> Node {
        let mut rng = SmallRng::seed_from_u64(seed);
        let nonce = rng.random::<u64>() >> 12;
        let peers: Vec<Peer> = set.peers.iter().map(|_| Peer::default()).collect();
        let coverage = coverage::Coverage::new(peers.len());
        let gate = gate::Gate::new(&set.node, &set.peers);
        let mut node = Node {
            nonce,
            rng,
            now: Now { ms: 0, wall_ms: 0 },
            out: Out {
                actions: vec![],
                next_call: 0,
            },
            calls: HashMap::new(),
            replica: Replica::default(),
            sync: Sync::Listing {
                after: None,
                first: None,
                retry_at: 0,
                asked: false,
            },
            watching: false,
            watch_at: 0,
            role: Role::Follower,
            grant_sent: 0,
            leader: None,
            catalog: None,
            catalog_at: 0,
            catalog_asked: false,
            reads: Bucket::new(1.0, 1.0),
            writes: Bucket::new(1.0, 1.0),
            limits: StoreLimits::new(&set),
            waiting: vec![],
            to_store: vec![],
            barrier_at: 0,
            barriers: 0,
            storing: 0,
            store_at: 0,
            state_ok_at: 0,
            state_failed_at: None,
            peers,
            coverage,
            gate,
            pauses: PauseDetector::default(),
            resumed_at: 0,
            hello_at: 0,
            relays: HashMap::new(),
            next_relay: 0,
            counts: HashMap::new(),
            release: vec![],
            reports_via_state: BTreeMap::new(),
            via_state_at: 0,
            via_state_slot: 0,
            redirected: HashMap::new(),
            seen: HashMap::new(),
            let_go: HashMap::new(),
            shut_in: false,
            away: HashMap::new(),
            way_shut: false,
            try_at: 0,
            stand_at: 0,
            resigned_at: None,
            higher_term: 0,
            set,
        };
        node.share_budgets();
        node
    }

    /// The one entry: what happened, all that came together. What goes on by itself is looked
    /// at once for all of it.
    pub fn handle(&mut self, now: Now, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        self.now = now;
        if let Some(pause) = self.pauses.turn(now.ms) {
            self.resume(pause);
        }
        for event in events {
            self.take(event);
        }
        self.advance();
        std::mem::take(&mut self.out.actions)
    }

    fn take(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Start => {
                self.state_ok_at = now.ms;
            }
            Event::Tick => {}
            Event::Request { id, request } => self.request(id, request),
            Event::CallDone { call, result } => self.call_done(call, result),
            Event::Frame { from, frame } => self.frame(from, frame),
            Event::LinkUp(Link::Out(i)) => {
                self.peers[i].up = true;
                self.peers[i].heard = now.ms;
                self.peers[i].counted = false;
                self.ask_peer(i);
            }
            Event::LinkDown(Link::Out(i)) => self.peers[i].up = false,
            Event::LinkUp(Link::In(_)) | Event::LinkDown(Link::In(_)) => {}
        }
    }

    // ---- What goes on by itself ---------------------------------------------------------

    fn advance(&mut self) {
        let now = self.now.ms;
        self.advance_sync();
        // Before the users' requests, which would leave a small budget nothing for it.
        self.advance_gate();
        self.advance_role();
        self.advance_front();
        self.advance_via_state();
        if self.catalog.is_none() && !self.catalog_asked && now >= self.catalog_at {
            self.catalog_asked = true;
            let call = self.out.call(
                Target::Cloud,
                "GET",
                "/catalog".into(),
                vec![],
                k::CLOUD_TIMEOUT_MS,
            );
            self.calls.insert(call, Call::Catalog);
        }
        if now >= self.hello_at {
            self.hello_at = now + k::PEER_PING_MS;
            let old = (self.set.lease_s * 2e3) as u64;
            self.seen.retain(|_, at| now < *at + old);
            for i in 0..self.peers.len() {
                if self.peers[i].up {
                    self.ask_peer(i);
                }
            }
            self.send_counts();
        }
        let late: Vec<u64> = self
            .relays
            .iter()
            .filter(|(_, (_, until, _))| now >= *until)
            .map(|(r, _)| *r)
            .collect();
        for r in late {
            if let Some((id, _, report)) = self.relays.remove(&r) {
                self.unrelayed(id, report);
            }
        }
        self.run_leader(|leader, ctx| leader.advance(ctx));
        if self.leader.is_none() {
            // Only a leader has use for them.
            self.replica.changed.clear();
            self.replica.reports_via_state.clear();
        }
    }

    /// Lets the leader act, if there is one, on its own calls and our budgets.
    fn run_leader(&mut self, f: impl FnOnce(&mut Leader, &mut crate::leader::Ctx)) {
        let Some(mut leader) = self.leader.take() else {
            return;
        };
        let mut calls = vec![];
        let may_resign = !self.peers.is_empty()
            && !self.peer_heard()
            && self
                .resigned_at
                .is_none_or(|at| self.now.ms > at + k::RESIGN_AGAIN_MS);
        let mut ctx = crate::leader::Ctx {
            may_resign,
            covered: self.covered(),
            proven: self.proven(),
            now: self.now,
            set: &self.set,
            replica: &mut self.replica,
            reads: &mut self.reads,
            writes: &mut self.writes,
            limits: &mut self.limits,
            out: &mut self.out,
            calls: &mut calls,
        };
        f(&mut leader, &mut ctx);
        for (id, call) in calls {
            self.calls.insert(id, Call::Leader(call));
        }
        self.leader = Some(leader);
    }
}
