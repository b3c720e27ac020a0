//! One controller: what every node does (user requests, the copy of the jobs, relaying reports,
//! standing for election) and, while it leads, the leader inside.
use crate::api::{Action, CallError, CallResult, Event, Link, Ms, Now, Target};
use crate::leader::Leader;
use crate::limits::{StoreLimits, TransactionSize};
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

mod coverage;
mod elect;
mod gate;
mod relay;
mod users;

/// Standing for election, step by step. The leader key is created under a fresh lease and only
/// if there is none; the stamp it gets is the term.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    Follower,
    /// No leader is known; waits a little so that not all stand at once.
    Waiting {
        until: Ms,
    },
    /// Has asked for a lease.
    Granting,
    /// Has sent the claim.
    Claiming {
        lease: u64,
    },
    /// The claim went unanswered; the next read tells.
    Checking {
        lease: u64,
        until: Ms,
    },
    Leading,
}

/// The copy of `c/`.
#[derive(Clone, Debug, PartialEq)]
enum Sync {
    /// Not listed yet; pages come in key order.
    Listing {
        after: Option<String>,
        first: Option<u64>,
        retry_at: Ms,
        asked: bool,
    },
    Live,
}

enum Call {
    List,
    Watch,
    Barrier {
        polls: Vec<Pending>,
        sent: Ms,
    },
    Store {
        batch: Vec<Pending>,
        size: TransactionSize,
    },
    Far {
        machines: Vec<String>,
        size: TransactionSize,
    },
    Grant,
    Claim {
        lease: u64,
    },
    Release,
    ReadReleases,
    RecordRelease,
    Catalog,
    Leader(crate::leader::Call),
}

#[derive(Serialize)]
struct Health {
    ready: bool,
}

enum Ask {
    Poll(String),
    Submit(Box<JobSpec>),
    Cancel(String),
}

/// A user's request that waits for the state service.
struct Pending {
    id: u64,
    ask: Ask,
    until: Ms,
    /// Times it went through a store; bounds a quarrel over one key.
    tries: u8,
}

pub(crate) struct Out {
    pub actions: Vec<Action>,
    pub next_call: u64,
}

impl Out {
    pub fn call(
        &mut self,
        target: Target,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> u64 {
        self.next_call += 1;
        self.actions.push(Action::Call {
            call: self.next_call,
            target,
            method,
            path,
            body,
            timeout_ms,
        });
        self.next_call
    }

    pub fn reply<T: Serialize>(&mut self, id: u64, status: u16, retry: Option<u32>, body: &T) {
        self.actions.push(Action::Reply {
            id,
            status,
            retry_after_s: retry,
            body: encode(body),
        });
    }

    fn error(&mut self, id: u64, status: u16, retry: Option<u32>, why: &str) {
        self.reply(id, status, retry, &ErrorBody { error: why.into() });
    }
}

#[derive(Default)]
struct Peer {
    up: bool,
    heard: Ms,
    state_ok: bool,
    /// Has been told the counts of all jobs over this link.
    counted: bool,
}

impl Peer {
    fn heard(&self, now: Ms) -> bool {
        self.up && now < self.heard + k::PEER_SILENT_MS
    }
}

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
    hello_at: Ms,
    /// Reports on their way to the leader: who waits, until when, and the report.
    relays: HashMap<u64, (u64, Ms, Report)>,
    next_relay: u64,
    /// Counts for display, as the leader last told them.
    counts: HashMap<String, (u32, u32)>,
    /// A lease of an earlier life or a failed claim, to be ended.
    release: Vec<u64>,
    /// Reports to be handed on through the state service, and when each last was.
    far: BTreeMap<String, (Report, bool, Ms)>,
    far_at: Ms,
    far_slot: usize,
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
            hello_at: 0,
            relays: HashMap::new(),
            next_relay: 0,
            counts: HashMap::new(),
            release: vec![],
            far: BTreeMap::new(),
            far_at: 0,
            far_slot: 0,
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

    /// The state service's limits hold for all nodes together: the leader gets the larger part.
    fn share_budgets(&mut self) {
        let others = self.set.peers.len().max(1) as f64;
        let share = |part: f64| match self.role {
            Role::Leading => part,
            _ => (1.0 - part) / others,
        };
        let r = self.set.state_rps * share(k::LEADER_READS);
        let w = self.set.state_write_rps * share(k::LEADER_WRITES);
        self.reads.set_rate(r, r.max(4.0));
        // A burst of one whole transaction must be possible, but never more than the state service
        // takes in a second: it would be refused for ever.
        let burst = w.max(self.set.txn_ops as f64);
        self.writes
            .set_rate(w, burst.min(self.set.state_write_rps).max(1.0));
    }

    /// The one entry: what happened, all that came together. What goes on by itself is looked
    /// at once for all of it.
    pub fn handle(&mut self, now: Now, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        self.now = now;
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
        self.advance_far();
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
            self.replica.far.clear();
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

    /// Sends a transaction to the state service.
    fn transact(&mut self, txn: &Txn<Value>, what: Call) {
        let (body, wait) = (encode(txn), k::STATE_TIMEOUT_MS);
        let call = self
            .out
            .call(Target::State, "POST", "/multi".into(), body, wait);
        self.calls.insert(call, what);
    }

    // ---- Answers to our calls -------------------------------------------------------------

    fn state_seen(&mut self, result: &CallResult) {
        match result {
            Ok((status, _)) if *status != 503 && *status != 429 => {
                self.state_ok_at = self.now.ms;
                self.state_failed_at = None;
            }
            Ok((429, _)) => {}
            _ => {
                self.state_failed_at.get_or_insert(self.now.ms);
            }
        }
    }

    fn call_done(&mut self, call: u64, result: CallResult) {
        let Some(what) = self.calls.remove(&call) else {
            return;
        };
        let now = self.now.ms;
        match what {
            Call::Leader(c) => {
                if c.is_state() {
                    self.state_seen(&result);
                }
                self.run_leader(|leader, ctx| leader.call_done(ctx, c, result));
                return;
            }
            Call::Catalog => {
                self.catalog_asked = false;
                match result {
                    Ok((200, body)) => match decode::<Catalog>(&body) {
                        Ok(c) => self.catalog = Some(c),
                        Err(e) => log::warn!("catalogue not understood: {e}"),
                    },
                    other => log::warn!("no catalogue: {}", describe(&other)),
                }
                self.catalog_at = now + k::CLOUD_RETRY_MS;
                return;
            }
            // A watch that hangs says nothing: during an outage open watches wait. Nor does one that
            // comes after calls have failed: the service may tell us alone, late, what it held
            // back while it refused us, and be away by then.
            Call::Watch if result.is_err() || self.state_failed_at.is_some() => {}
            _ => self.state_seen(&result),
        }
        match what {
            Call::List => self.listed(result),
            Call::Watch => {
                self.watching = false;
                match self.changes(result) {
                    Some(true) if self.role == Role::Leading => self.watch_at = now,
                    Some(true) => self.watch_at = now + k::WATCH_GAP_MS,
                    Some(false) => self.relist(),
                    None => self.watch_at = now + k::STATE_RETRY_MS,
                }
            }
            Call::Barrier { polls, sent } => {
                self.barriers -= 1;
                match self.changes(result) {
                    Some(true) => {
                        self.coverage.read(sent);
                        for p in polls {
                            self.answer(p);
                        }
                    }
                    Some(false) => {
                        self.relist();
                        self.give_up(polls);
                    }
                    None => self.give_up(polls),
                }
            }
            Call::Store { batch, size } => self.stored(batch, size, result),
            Call::Grant => match result {
                Ok((200, body)) => match decode::<LeaseAnswer>(&body) {
                    Ok(a) => self.claim(a.lease),
                    Err(e) => {
                        log::warn!("lease answer not understood: {e}");
                        self.set_role(Role::Waiting {
                            until: now + k::STATE_RETRY_MAX_MS,
                        });
                    }
                },
                _ => self.set_role(Role::Waiting {
                    until: now + k::STATE_RETRY_MS,
                }),
            },
            Call::Claim { lease } => self.claimed(lease, result),
            Call::ReadReleases => self.releases_read(result),
            Call::RecordRelease => self.release_recorded(result),
            Call::Far { machines, size } => self.far_stored(machines, size, result),
            Call::Release => {}
            Call::Catalog | Call::Leader(_) => {}
        }
    }
}

fn status(job: &str, state: JobPhase) -> JobStatus {
    JobStatus {
        id: job.into(),
        state,
        done: None,
        running: None,
    }
}

fn by_id(job: &str, ask: fn(String) -> Ask) -> Result<Ask, (u16, String)> {
    if stonegw_wire::msg::is_job_id(job) {
        Ok(ask(job.to_owned()))
    } else {
        Err((404, "no such job".into()))
    }
}

pub(crate) fn describe(result: &CallResult) -> String {
    match result {
        Ok((status, _)) => format!("status {status}"),
        Err(e) => format!("{e:?}"),
    }
}

/// 422 exactly where the protocol has it.
pub fn can_run(spec: &JobSpec, set: &Settings, catalog: &Catalog) -> Result<(), String> {
    let Some(team) = set.team(&spec.team) else {
        return Err(format!("unknown team {}", spec.team));
    };
    let fits = catalog.types.iter().any(|t| {
        spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
            && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
            && t.cpus + k::EPSILON >= spec.cpus
            && t.gpus + k::EPSILON >= spec.gpus
            && t.memory_gb + k::EPSILON >= spec.memory_gb
    });
    if !fits {
        return Err("a task fits no allowed machine type".into());
    }
    let n = match spec.kind {
        JobKind::Array => 1.0,
        // All its tasks run at the same time.
        JobKind::Service | JobKind::Gang => f64::from(spec.tasks),
    };
    if spec.cpus * n > team.cpus_max + k::EPSILON || spec.gpus * n > team.gpus_max + k::EPSILON {
        return Err("needs more than the team's limit".into());
    }
    Ok(())
}
