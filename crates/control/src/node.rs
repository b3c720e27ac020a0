//! One controller: what every node does (user requests, the copy of the jobs, relaying reports,
//! standing for election) and, while it leads, the leader inside.
use crate::api::{Action, CallError, CallResult, Event, Link, Ms, Now, Target};
use crate::leader::Leader;
use crate::records::{
    self, Common, End, FarRecord, JobRecord, LeaderRecord, Value, COMMON, LEADER,
};
use crate::replica::Replica;
use crate::settings::{Bucket, Settings};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};
use stonegw_constants as k;
use stonegw_wire::frame::{self, Frame, Hello};
use stonegw_wire::http::Request;
use stonegw_wire::msg::{
    decode, encode, json_len, Catalog, Changes, Command, Condition, ErrorBody, JobKind, JobPhase,
    JobSpec, JobStatus, LeaseAnswer, LeaseRequest, Listing, Orders, Report, ReportTo, TaskState,
    Txn, TxnAnswer, Write,
};

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
    Barrier { polls: Vec<Pending> },
    Store { batch: Vec<Pending> },
    Far,
    Grant,
    Claim { lease: u64 },
    Release,
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
    pub leader: Option<Box<Leader>>,
    catalog: Option<Catalog>,
    catalog_at: Ms,
    catalog_asked: bool,
    /// Requests to the state service and changes in it, our share.
    pub(crate) reads: Bucket,
    pub(crate) writes: Bucket,
    waiting: Vec<Pending>,
    to_store: Vec<Pending>,
    barrier_at: Ms,
    barriers: usize,
    storing: usize,
    store_at: Ms,
    state_ok_at: Ms,
    state_failed_at: Option<Ms>,
    peers: Vec<Peer>,
    hello_at: Ms,
    relays: HashMap<u64, (u64, Ms)>,
    next_relay: u64,
    /// Counts for display, as the leader last told them.
    counts: HashMap<String, (u32, u32)>,
    /// A lease of an earlier life or a failed claim, to be ended.
    release: Vec<u64>,
    /// Reports to be handed on through the state service, and when each last was.
    far: BTreeMap<String, (Report, bool, Ms)>,
    far_at: Ms,
    /// Machines answered without the leader: since when, or when last sent to try it.
    redirected: HashMap<String, Ms>,
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
        let peers = set.peers.iter().map(|_| Peer::default()).collect();
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
            leader: None,
            catalog: None,
            catalog_at: 0,
            catalog_asked: false,
            reads: Bucket::new(1.0, 1.0),
            writes: Bucket::new(1.0, 1.0),
            waiting: vec![],
            to_store: vec![],
            barrier_at: 0,
            barriers: 0,
            storing: 0,
            store_at: 0,
            state_ok_at: 0,
            state_failed_at: None,
            peers,
            hello_at: 0,
            relays: HashMap::new(),
            next_relay: 0,
            counts: HashMap::new(),
            release: vec![],
            far: BTreeMap::new(),
            far_at: 0,
            redirected: HashMap::new(),
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
        let share = if self.role == Role::Leading {
            k::LEADER_SHARE
        } else {
            (1.0 - k::LEADER_SHARE) / others
        };
        let (r, w) = (self.set.state_rps * share, self.set.state_write_rps * share);
        self.reads.set_rate(r, r.max(4.0));
        // A burst of one whole transaction must be possible.
        self.writes
            .set_rate(w, w.max(self.set.txn_ops as f64).max(1.0));
    }

    /// The one entry: an event at a time.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        self.now = now;
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
                self.hello(Link::Out(i));
            }
            Event::LinkDown(Link::Out(i)) => self.peers[i].up = false,
            Event::LinkUp(Link::In(_)) | Event::LinkDown(Link::In(_)) => {}
        }
        self.advance();
        std::mem::take(&mut self.out.actions)
    }

    // ---- What goes on by itself ---------------------------------------------------------

    fn advance(&mut self) {
        let now = self.now.ms;
        self.advance_sync();
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
            for i in 0..self.peers.len() {
                if self.peers[i].up {
                    self.hello(Link::Out(i));
                }
            }
            self.send_counts();
        }
        let late: Vec<u64> = self
            .relays
            .iter()
            .filter(|(_, (_, until))| now >= *until)
            .map(|(r, _)| *r)
            .collect();
        for r in late {
            if let Some((id, _)) = self.relays.remove(&r) {
                self.out
                    .error(id, 503, Some(k::RETRY_STATE_S), "no answer from the leader");
            }
        }
        self.run_leader(|leader, ctx| leader.advance(ctx));
    }

    fn advance_sync(&mut self) {
        let now = self.now.ms;
        match &mut self.sync {
            Sync::Listing {
                after,
                retry_at,
                asked,
                ..
            } => {
                if !*asked && now >= *retry_at && self.reads.take(now, 1.0) {
                    *asked = true;
                    let mut path = format!("/kv?prefix={COMMON}&limit={}", k::LIST_PAGE);
                    if let Some(a) = after {
                        path.push_str(&format!("&since={a}"));
                    }
                    let call =
                        self.out
                            .call(Target::State, "GET", path, vec![], k::STATE_TIMEOUT_MS);
                    self.calls.insert(call, Call::List);
                }
            }
            Sync::Live => {
                if !self.watching && now >= self.watch_at && self.reads.take(now, 1.0) {
                    self.watching = true;
                    let path = format!(
                        "/changes?prefix={COMMON}&since={}&holdMs={}",
                        self.replica.revision,
                        k::WATCH_HOLD_MS
                    );
                    let wait = k::WATCH_HOLD_MS + k::WATCH_GRACE_MS;
                    let call = self.out.call(Target::State, "GET", path, vec![], wait);
                    self.calls.insert(call, Call::Watch);
                }
            }
        }
    }

    fn relist(&mut self) {
        self.sync = Sync::Listing {
            after: None,
            first: None,
            retry_at: self.now.ms + k::STATE_RETRY_MS,
            asked: false,
        };
    }

    fn set_role(&mut self, to: Role) {
        if self.role == to {
            return;
        }
        log::info!("role {:?} -> {:?}", self.role, to);
        let led = self.role == Role::Leading;
        self.role = to;
        if led || self.role == Role::Leading {
            self.share_budgets();
        }
        if led {
            self.leader = None;
            self.calls.retain(|_, c| !matches!(c, Call::Leader(_)));
        }
    }

    fn advance_role(&mut self) {
        let now = self.now.ms;
        let term = self.replica.term();
        // Any higher term than our own ends our leadership, wherever we heard of it.
        if let Some(l) = &self.leader {
            if l.deposed || term != Some(l.term) || self.higher_term > l.term {
                log::warn!("term {} is over", l.term);
                if l.resigned {
                    self.release.push(l.lease);
                    self.stand_at = now + k::DEAF_PAUSE_MS;
                    self.resigned_at = Some(now);
                }
                self.set_role(Role::Follower);
            }
        }
        if self.sync != Sync::Live {
            return;
        }
        let holder = self.replica.leader.clone();
        match (&self.role, holder) {
            (Role::Leading, _) => {}
            (Role::Granting, _) => {}
            (Role::Claiming { .. }, _) => {}
            (Role::Checking { lease, until }, Some((l, term))) => {
                let (lease, until) = (*lease, *until);
                if l.nonce == self.nonce && l.lease == lease {
                    self.lead(lease, term);
                } else if now >= until {
                    self.release.push(lease);
                    self.set_role(Role::Follower);
                }
            }
            (Role::Checking { lease, until }, None) => {
                let (lease, until) = (*lease, *until);
                // By now the lease is over, and with it the late claim's chance.
                if now >= until {
                    self.release.push(lease);
                    self.set_role(Role::Follower);
                }
            }
            (_, Some((l, _))) => {
                if l.node == self.set.node && l.nonce != self.nonce {
                    // The key of our earlier life: nobody acts under it, so it need not run out.
                    if !self.release.contains(&l.lease) {
                        log::info!("ending the lease of our earlier life");
                        self.release.push(l.lease);
                    }
                }
                self.set_role(Role::Follower);
            }
            (Role::Follower, None) => {
                let wait = self.rng.random_range(0..k::ELECT_JITTER_MS);
                self.set_role(Role::Waiting { until: now + wait });
            }
            (Role::Waiting { until }, None) => {
                if now >= *until && now >= self.stand_at && self.catalog.is_some() {
                    self.reads.force(now, 1.0);
                    let body = encode(&LeaseRequest {
                        ttl_ms: self.set.tuning.leader_ttl_ms,
                    });
                    let call = self.out.call(
                        Target::State,
                        "POST",
                        "/grants".into(),
                        body,
                        k::STATE_TIMEOUT_MS,
                    );
                    self.calls.insert(call, Call::Grant);
                    self.set_role(Role::Granting);
                }
            }
        }
        if let Some(lease) = self.release.pop() {
            if self.reads.take(now, 1.0) {
                let path = format!("/grants/{lease}");
                let call =
                    self.out
                        .call(Target::State, "DELETE", path, vec![], k::STATE_TIMEOUT_MS);
                self.calls.insert(call, Call::Release);
            } else {
                self.release.push(lease);
            }
        }
    }

    fn lead(&mut self, lease: u64, term: u64) {
        let Some(catalog) = self.catalog.clone() else {
            return;
        };
        log::info!("leading in term {term}");
        self.higher_term = self.higher_term.max(term);
        self.leader = Some(Box::new(Leader::new(term, lease, self.now.ms, catalog)));
        self.set_role(Role::Leading);
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
            now: self.now,
            set: &self.set,
            replica: &mut self.replica,
            reads: &mut self.reads,
            writes: &mut self.writes,
            out: &mut self.out,
            calls: &mut calls,
        };
        f(&mut leader, &mut ctx);
        for (id, call) in calls {
            self.calls.insert(id, Call::Leader(call));
        }
        self.leader = Some(leader);
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
            // A watch that hangs says nothing: during an outage open watches wait.
            Call::Watch if result.is_err() => {}
            _ => self.state_seen(&result),
        }
        match what {
            Call::List => self.listed(result),
            Call::Watch => {
                self.watching = false;
                match self.changes(result) {
                    Some(true) => self.watch_at = now,
                    Some(false) => self.relist(),
                    None => self.watch_at = now + k::STATE_RETRY_MS,
                }
            }
            Call::Barrier { polls } => {
                self.barriers -= 1;
                match self.changes(result) {
                    Some(true) => {
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
            Call::Store { batch } => self.stored(batch, result),
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
            Call::Release | Call::Far => {}
            Call::Catalog | Call::Leader(_) => {}
        }
    }

    fn listed(&mut self, result: CallResult) {
        let now = self.now.ms;
        let Sync::Listing {
            after,
            first,
            retry_at,
            asked,
        } = &mut self.sync
        else {
            return;
        };
        *asked = false;
        *retry_at = now + k::STATE_RETRY_MS;
        let body = match result {
            Ok((200, body)) => body,
            other => {
                log::debug!("list failed: {}", describe(&other));
                return;
            }
        };
        let page: Listing<Common> = match decode(&body) {
            Ok(p) => p,
            Err(e) => {
                log::warn!("list not understood: {e}");
                return;
            }
        };
        let start = *first.get_or_insert(page.revision);
        *retry_at = now;
        *after = page.items.last().map(|e| e.key.clone()).or(after.take());
        let leader_listed = page.items.iter().any(|e| e.key == LEADER);
        self.replica.list_page(page.items);
        if !page.more {
            if !leader_listed {
                self.replica.no_leader_at(page.revision);
            }
            self.replica.revision = self.replica.revision.max(start);
            self.sync = Sync::Live;
            log::info!(
                "{} jobs known at revision {}",
                self.replica.jobs.len(),
                start
            );
        }
    }

    /// `Some(true)`: applied; `Some(false)`: list again; `None`: no answer.
    fn changes(&mut self, result: CallResult) -> Option<bool> {
        match result {
            Ok((200, body)) => match decode::<Changes<Common>>(&body) {
                Ok(c) => {
                    self.replica.apply(c);
                    Some(true)
                }
                Err(e) => {
                    log::warn!("changes not understood: {e}");
                    None
                }
            },
            Ok((410, _)) => Some(false),
            other => {
                log::debug!("no changes: {}", describe(&other));
                None
            }
        }
    }

    fn claim(&mut self, lease: u64) {
        let now = self.now.ms;
        let record = LeaderRecord {
            node: self.set.node.clone(),
            nonce: self.nonce,
            lease,
        };
        self.reads.force(now, 1.0);
        self.writes.force(now, 1.0);
        let txn = Txn {
            conditions: vec![Condition {
                key: LEADER.into(),
                version: 0,
            }],
            writes: vec![Write::Put {
                key: LEADER.into(),
                value: Value::Leader(record),
                lease: Some(lease),
            }],
        };
        let call = self.out.call(
            Target::State,
            "POST",
            "/multi".into(),
            encode(&txn),
            k::STATE_TIMEOUT_MS,
        );
        self.calls.insert(call, Call::Claim { lease });
        self.set_role(Role::Claiming { lease });
    }

    fn claimed(&mut self, lease: u64, result: CallResult) {
        let now = self.now.ms;
        match result {
            Ok((200, body)) => {
                if let Ok(a) = decode::<TxnAnswer>(&body) {
                    let record = LeaderRecord {
                        node: self.set.node.clone(),
                        nonce: self.nonce,
                        lease,
                    };
                    self.replica.we_lead(record, a.revision);
                    if self.replica.term() == Some(a.revision) {
                        return self.lead(lease, a.revision);
                    }
                }
                self.release.push(lease);
                self.set_role(Role::Follower);
            }
            Ok((409 | 400 | 429 | 503, _)) | Err(CallError::NotSent) => {
                self.release.push(lease);
                let wait = self.rng.random_range(0..k::ELECT_JITTER_MS);
                self.set_role(Role::Waiting {
                    until: now + k::STATE_RETRY_MS + wait,
                });
            }
            // It may have been carried out, or may be later: reading settles it. After the
            // lease's life it no longer can be.
            _ => self.set_role(Role::Checking {
                lease,
                until: now + self.set.tuning.leader_ttl_ms,
            }),
        }
    }

    // ---- Users ------------------------------------------------------------------------------

    /// 200 only when the node can take requests. While the state service is away from every
    /// node, taking all of them out would only delay the return.
    fn healthy(&self) -> bool {
        if self.sync != Sync::Live || self.catalog.is_none() {
            return false;
        }
        let alone = self.peers.iter().any(|p| p.up && p.state_ok);
        !(self.state_out() && alone)
    }

    fn state_out(&self) -> bool {
        self.state_failed_at.is_some()
            && self.now.ms.saturating_sub(self.state_ok_at) > k::STATE_DOWN_MS
    }

    fn request(&mut self, id: u64, request: Request) {
        let path = request.path.split('?').next().unwrap_or("");
        let method = request.method.as_str();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let (known, asks) = match parts.as_slice() {
            ["healthz"] => (method == "GET", None),
            ["submissions"] => (
                method == "POST",
                Some(match JobSpec::parse(&request.body) {
                    Ok(spec) => Ok(Ask::Submit(Box::new(spec))),
                    Err(why) => Err((400, why)),
                }),
            ),
            ["submissions", job] => (method == "GET", Some(by_id(job, Ask::Poll))),
            ["submissions", job, "cancel"] => (method == "POST", Some(by_id(job, Ask::Cancel))),
            ["agent", "beat"] => {
                if method == "POST" {
                    return self.beat(id, request.body);
                }
                (false, None)
            }
            _ => return self.out.error(id, 404, None, "no such path"),
        };
        if !known {
            return self.out.error(id, 405, None, "method not allowed");
        }
        match asks {
            None if self.healthy() => self.out.reply(id, 200, None, &Health { ready: true }),
            None => self.out.error(id, 503, Some(k::RETRY_STATE_S), "not ready"),
            Some(Err((status, why))) => self.out.error(id, status, None, &why),
            Some(Ok(ask)) => self.ask(id, ask),
        }
    }

    fn ask(&mut self, id: u64, ask: Ask) {
        let (Ask::Poll(job) | Ask::Cancel(job)) = &ask else {
            return self.submit(id, ask);
        };
        // What has ended stays so: no need to ask the state service.
        if self.replica.end_of(job).is_some() {
            let status = self.status(job);
            return self.out.reply(id, 200, None, &status);
        }
        let patience = match ask {
            Ask::Poll(_) => k::POLL_PATIENCE_MS,
            _ => k::STORE_PATIENCE_MS,
        };
        self.wait(Pending {
            id,
            ask,
            until: self.now.ms + patience,
            tries: 0,
        });
    }

    fn wait(&mut self, p: Pending) {
        if self.sync != Sync::Live || self.state_out() {
            return self.refuse(p.id);
        }
        self.waiting.push(p);
    }

    fn refuse(&mut self, id: u64) {
        self.out.error(
            id,
            503,
            Some(k::RETRY_STATE_S),
            "the state service does not answer",
        );
    }

    fn give_up(&mut self, polls: Vec<Pending>) {
        for p in polls {
            self.refuse(p.id);
        }
    }

    fn submit(&mut self, id: u64, ask: Ask) {
        let Ask::Submit(spec) = &ask else { return };
        if self.replica.end_of(&spec.id).is_some() {
            let status = self.status(&spec.id);
            return self.out.reply(id, 200, None, &status);
        }
        let p = |ask| Pending {
            id,
            ask,
            until: self.now.ms + k::STORE_PATIENCE_MS,
            tries: 0,
        };
        // Known jobs are answered before any other check.
        if self.replica.jobs.contains_key(&spec.id) {
            let p = p(ask);
            return self.wait(p);
        }
        let Some(catalog) = &self.catalog else {
            return self.out.error(
                id,
                503,
                Some(k::RETRY_BUSY_S),
                "machine types not known yet",
            );
        };
        if self.sync != Sync::Live || self.state_out() {
            return self.refuse(id);
        }
        match can_run(spec, &self.set, catalog) {
            // Another node may have taken it under other circumstances: ask before refusing.
            Err(_) => {
                let p = p(ask);
                self.wait(p);
            }
            Ok(()) => {
                let p = p(ask);
                self.to_store.push(p);
            }
        }
    }

    fn advance_front(&mut self) {
        let now = self.now.ms;
        for list in [&mut self.waiting, &mut self.to_store] {
            let mut late = vec![];
            let mut i = 0;
            while i < list.len() {
                if now >= list[i].until {
                    late.push(list.swap_remove(i).id);
                } else {
                    i += 1;
                }
            }
            for id in late {
                self.out.error(
                    id,
                    503,
                    Some(k::RETRY_STATE_S),
                    "the state service does not answer",
                );
            }
        }
        // Without requests nothing else would notice that the state service is back: the watch
        // may hang, and requests are refused meanwhile. The leader also must not miss a cancel
        // because its watch hangs.
        let probe = self.state_failed_at.is_some() && now >= self.barrier_at + k::STATE_PROBE_MS
            || self.role == Role::Leading && now >= self.barrier_at + k::LEADER_SYNC_MS;
        if (!self.waiting.is_empty() || probe)
            && self.sync == Sync::Live
            && self.barriers < 2
            && now >= self.barrier_at
            && self.reads.take(now, 1.0)
        {
            self.barriers += 1;
            self.barrier_at = now + k::BARRIER_GAP_MS;
            let polls = std::mem::take(&mut self.waiting);
            let patience = polls
                .iter()
                .map(|p| p.until - now)
                .min()
                .unwrap_or(k::STATE_TIMEOUT_MS)
                .max(100);
            let path = format!(
                "/changes?prefix={COMMON}&since={}&holdMs=0",
                self.replica.revision
            );
            let wait = patience.min(k::STATE_TIMEOUT_MS);
            let call = self.out.call(Target::State, "GET", path, vec![], wait);
            self.calls.insert(call, Call::Barrier { polls });
        }
        if !self.to_store.is_empty() && self.storing < 2 && now >= self.store_at {
            self.store();
        }
    }

    /// Puts as many submissions and cancels into one transaction as fit.
    fn store(&mut self) {
        let now = self.now.ms;
        let most = (self.writes.level(now) as usize).min(self.set.txn_ops);
        if most == 0 || !self.reads.take(now, 1.0) {
            return;
        }
        let mut txn = Txn {
            conditions: vec![],
            writes: vec![],
        };
        let (mut batch, mut rest, mut keys) = (vec![], vec![], HashSet::new());
        let mut bytes = k::TXN_MARGIN;
        for p in std::mem::take(&mut self.to_store) {
            let (job, record, version) = match &p.ask {
                Ask::Submit(spec) => {
                    let record = JobRecord::submitted(spec, self.now.wall_ms);
                    (spec.id.clone(), record, 0)
                }
                Ask::Cancel(job) => match self.replica.jobs.get(job) {
                    Some(j) if j.record.end.is_none() => {
                        let record = j.record.cancelled();
                        (job.clone(), record, j.version)
                    }
                    // Ended meanwhile: the barrier answers it.
                    _ => {
                        self.waiting.push(p);
                        continue;
                    }
                },
                Ask::Poll(_) => continue,
            };
            let size = json_len(&record) + 300;
            if batch.len() >= most || bytes + size > k::TXN_BYTES || keys.contains(&job) {
                rest.push(p);
                continue;
            }
            bytes += size;
            let key = records::job_key(&job);
            txn.conditions.push(Condition {
                key: key.clone(),
                version,
            });
            txn.writes.push(Write::Put {
                key,
                value: Value::Job(Box::new(record)),
                lease: None,
            });
            keys.insert(job);
            batch.push(p);
        }
        self.to_store = rest;
        if batch.is_empty() {
            return;
        }
        self.writes.force(now, batch.len() as f64);
        self.storing += 1;
        let call = self.out.call(
            Target::State,
            "POST",
            "/multi".into(),
            encode(&txn),
            k::STATE_TIMEOUT_MS,
        );
        self.calls.insert(call, Call::Store { batch });
    }

    fn stored(&mut self, batch: Vec<Pending>, result: CallResult) {
        self.storing -= 1;
        let now = self.now.ms;
        match result {
            Ok((200, body)) => {
                let Ok(answer) = decode::<TxnAnswer>(&body) else {
                    return self.give_up(batch);
                };
                for p in batch {
                    match &p.ask {
                        Ask::Submit(spec) => {
                            let record = JobRecord::submitted(spec, self.now.wall_ms);
                            let id = spec.id.clone();
                            self.replica.put_job(&id, record, answer.revision);
                            let body = status(&id, JobPhase::Queued);
                            self.out.reply(p.id, 201, None, &body);
                        }
                        Ask::Cancel(job) => {
                            if let Some(j) = self.replica.jobs.get(job) {
                                let record = j.record.cancelled();
                                self.replica.put_job(job, record, answer.revision);
                            }
                            let body = status(job, JobPhase::Cancelled);
                            self.out.reply(p.id, 200, None, &body);
                        }
                        Ask::Poll(_) => {}
                    }
                }
            }
            // Someone else was first with a key: look again before answering.
            Ok((409, body)) => {
                let failed = decode::<TxnAnswer>(&body)
                    .map(|a| a.failed)
                    .unwrap_or_default();
                for mut p in batch {
                    p.tries += 1;
                    let key = match &p.ask {
                        Ask::Submit(s) => records::job_key(&s.id),
                        Ask::Poll(j) | Ask::Cancel(j) => records::job_key(j),
                    };
                    if p.tries > 5 {
                        self.refuse(p.id);
                    } else if failed.contains(&key) {
                        self.waiting.push(p);
                    } else {
                        self.to_store.push(p);
                    }
                }
            }
            Ok((429, _)) => {
                self.store_at = now + k::STATE_RETRY_MS;
                self.to_store.extend(batch);
            }
            other => {
                log::debug!("store failed: {}", describe(&other));
                self.give_up(batch);
            }
        }
    }

    /// After a barrier: the copy is as new as the request.
    fn answer(&mut self, p: Pending) {
        match &p.ask {
            Ask::Poll(job) => {
                if self.replica.jobs.contains_key(job) {
                    let status = self.status(job);
                    self.out.reply(p.id, 200, None, &status);
                } else {
                    self.out.error(p.id, 404, None, "no such job");
                }
            }
            Ask::Submit(spec) => {
                if self.replica.jobs.contains_key(&spec.id) {
                    let status = self.status(&spec.id);
                    return self.out.reply(p.id, 200, None, &status);
                }
                let verdict = match &self.catalog {
                    Some(c) => can_run(spec, &self.set, c),
                    None => return self.refuse(p.id),
                };
                match verdict {
                    Ok(()) => self.to_store.push(p),
                    Err(why) => self.out.error(p.id, 422, None, &why),
                }
            }
            Ask::Cancel(job) => match self.replica.jobs.get(job) {
                None => self.out.error(p.id, 404, None, "no such job"),
                Some(j) if j.record.end.is_some() => {
                    let status = self.status(job);
                    self.out.reply(p.id, 200, None, &status);
                }
                Some(_) => self.to_store.push(p),
            },
        }
    }

    fn status(&self, job: &str) -> JobStatus {
        let Some(j) = self.replica.jobs.get(job) else {
            return status(job, JobPhase::Queued);
        };
        let (done, running) = match &self.leader {
            Some(l) => l.counts(job),
            None => self.counts.get(job).copied().unwrap_or((0, 0)),
        };
        let (state, done, running) = match j.record.end {
            Some(End::Done) => (JobPhase::Done, j.record.tasks, 0),
            Some(End::Cancelled) => (JobPhase::Cancelled, done, 0),
            None if running > 0 => (JobPhase::Running, done, running),
            None => (JobPhase::Queued, done, 0),
        };
        JobStatus {
            id: job.into(),
            state,
            done: Some(done),
            running: Some(running),
        }
    }

    // ---- Workers and peers ------------------------------------------------------------------

    fn beat(&mut self, id: u64, body: Vec<u8>) {
        let report: Report = match decode(&body) {
            Ok(r) => r,
            Err(why) => return self.out.error(id, 400, None, &why),
        };
        if self.leader.is_some() {
            return match self.lead_beat(report) {
                Some(orders) => self.out.reply(id, 200, None, &orders),
                None => self
                    .out
                    .error(id, 503, Some(k::RETRY_STATE_S), "no longer leading"),
            };
        }
        self.higher_term = self.higher_term.max(report.token);
        let Some((l, _)) = &self.replica.leader else {
            return self.out.error(id, 503, Some(k::RETRY_STATE_S), "no leader");
        };
        let node = l.node.clone();
        let link = self.set.peers.iter().position(|p| *p == node);
        match link {
            Some(i)
                if self.peers[i].up && self.now.ms < self.peers[i].heard + k::PEER_SILENT_MS =>
            {
                self.next_relay += 1;
                let request = self.next_relay;
                self.relays
                    .insert(request, (id, self.now.ms + k::RELAY_TIMEOUT_MS));
                self.out.actions.push(Action::Send {
                    to: Link::Out(i),
                    frame: Frame::Report { request, body },
                });
            }
            Some(_) => self.far_beat(id, report, node),
            None => self.out.reply(id, 421, None, &ReportTo { node: None }),
        }
    }

    /// How long leases may be kept alive without word from the state service.
    fn alone_ms(&self) -> u64 {
        ((self.set.cancel_s - self.set.lease_s).max(0.0) * k::ALONE_PART * 1e3) as u64
    }

    /// A report that can't be relayed, from a worker that may be cut off with us. Its lease is
    /// kept alive with the leader's token, what is cancelled is ended, and the report goes on
    /// through the state service.
    fn far_beat(&mut self, id: u64, report: Report, leader: String) {
        let now = self.now.ms;
        // The lease comes first: only a machine that has been here for a while is sent to try
        // the leader itself, and while it tries in vain its lease still lasts.
        self.redirected
            .retain(|_, at| now < *at + 2 * k::FAR_REDIRECT_MS);
        let since = self.redirected.entry(report.machine.clone()).or_insert(now);
        if now >= *since + k::FAR_REDIRECT_MS {
            *since = now;
            let node = Some(leader);
            return self.out.reply(id, 421, None, &ReportTo { node });
        }
        // Only while our copy of the jobs and of the term is fresh enough to end in time what
        // is cancelled elsewhere.
        let term = self.replica.term().unwrap_or(0);
        if now > self.state_ok_at + self.alone_ms() || report.token > term {
            return self
                .out
                .error(id, 503, Some(k::RETRY_STATE_S), "cut off from the leader");
        }
        let cancelled = |task: &str| {
            let job = records::parse_task(task).map_or("", |t| t.0);
            self.replica.end_of(job) == Some(End::Cancelled)
        };
        let commands = report
            .tasks
            .iter()
            .filter(|t| t.state != TaskState::Exited && cancelled(&t.task))
            .map(|t| Command::Stop {
                task: t.task.clone(),
                attempt: t.attempt,
                grace_s: 0.0,
            })
            .collect();
        let orders = Orders {
            token: term,
            session: None,
            commands,
        };
        self.out.reply(id, 200, None, &orders);
        let entry = self
            .far
            .entry(report.machine.clone())
            .or_insert_with(|| (report.clone(), true, 0));
        entry.1 |= entry.0.tasks != report.tasks || entry.0.session != report.session;
        entry.0 = report;
    }

    /// Hands reports on, the longest unheard first, as many as the budget allows.
    fn advance_far(&mut self) {
        let now = self.now.ms;
        if self.far.is_empty() || now < self.far_at || self.sync != Sync::Live {
            return;
        }
        self.far_at = now + k::FAR_GAP_MS;
        let redirected = &self.redirected;
        self.far.retain(|m, _| redirected.contains_key(m));
        let mut due: Vec<(Ms, String)> = self
            .far
            .iter()
            .filter(|(_, (_, changed, at))| *changed || now >= at + k::FAR_REPEAT_MS)
            .map(|(m, (_, _, at))| (*at, m.clone()))
            .collect();
        due.sort();
        due.truncate((self.writes.level(now).max(0.0) as usize).min(self.set.txn_ops));
        if due.is_empty() || !self.reads.take(now, 1.0) {
            return;
        }
        let mut txn = Txn {
            conditions: vec![],
            writes: vec![],
        };
        let mut bytes = k::TXN_MARGIN;
        for (_, machine) in due {
            let Some((report, changed, at)) = self.far.get_mut(&machine) else {
                continue;
            };
            let value = Value::Far(Box::new(FarRecord {
                via: self.set.node.clone(),
                report: report.clone(),
            }));
            let size = json_len(&value);
            if size > self.set.value_bytes || bytes + size > k::TXN_BYTES {
                continue;
            }
            bytes += size + 100;
            (*changed, *at) = (false, now);
            txn.writes.push(Write::Put {
                key: records::far_key(&machine),
                value,
                lease: None,
            });
        }
        if txn.writes.is_empty() {
            return;
        }
        self.writes.force(now, txn.writes.len() as f64);
        let call = self.out.call(
            Target::State,
            "POST",
            "/multi".into(),
            encode(&txn),
            k::STATE_TIMEOUT_MS,
        );
        self.calls.insert(call, Call::Far);
    }

    /// The leader is alone: neither the state service nor any other node is heard. A higher
    /// term and cancels may pass it by, so it must not keep leases alive for long.
    fn alone(&self) -> bool {
        !self.peers.is_empty()
            && !self.peer_heard()
            && self.now.ms > self.state_ok_at + self.alone_ms()
    }

    fn peer_heard(&self) -> bool {
        let now = self.now.ms;
        let heard = |p: &Peer| p.up && now < p.heard + k::PEER_SILENT_MS;
        self.peers.iter().any(heard)
    }

    /// A report for the leader inside. `None`: it does not lead any more.
    fn lead_beat(&mut self, report: Report) -> Option<Orders> {
        self.higher_term = self.higher_term.max(report.token);
        let term = self.leader.as_ref().map(|l| l.term)?;
        if self.alone() {
            return None;
        }
        if report.token > term {
            self.advance_role();
            return None;
        }
        let mut orders = None;
        self.run_leader(|leader, ctx| orders = leader.beat(ctx, report));
        orders
    }

    fn hello(&mut self, to: Link) {
        let hello = Hello {
            term: self.replica.highest_term.max(self.higher_term).into(),
            leads: u8::from(self.role == Role::Leading),
            state_ok: u8::from(self.sync == Sync::Live && self.state_failed_at.is_none()),
            name: frame::name(&self.set.node),
        };
        self.out.actions.push(Action::Send {
            to,
            frame: Frame::Hello(hello),
        });
    }

    fn send_counts(&mut self) {
        let Some(l) = &self.leader else { return };
        let list = l.all_counts();
        for (i, p) in self.peers.iter().enumerate() {
            if p.up {
                self.out.actions.push(Action::Send {
                    to: Link::Out(i),
                    frame: Frame::Counts(list.clone()),
                });
            }
        }
    }

    fn frame(&mut self, from: Link, frame: Frame) {
        match frame {
            Frame::Hello(h) => {
                self.higher_term = self.higher_term.max(h.term.get());
                let name = frame::text(&h.name).to_owned();
                match from {
                    Link::Out(i) => {
                        self.peers[i].heard = self.now.ms;
                        self.peers[i].state_ok = h.state_ok != 0;
                    }
                    // Every hello is answered, so that both ends of a link hear the other.
                    Link::In(_) => {
                        if self.set.peers.contains(&name) {
                            self.hello(from);
                        } else {
                            log::warn!("a stranger says hello: {name:?}");
                        }
                    }
                }
            }
            Frame::Report { request, body } => {
                let (status, body) = match decode::<Report>(&body) {
                    Ok(report) => match self.lead_beat(report) {
                        Some(orders) => (200, encode(&orders)),
                        None => (503, vec![]),
                    },
                    Err(why) => (400, encode(&ErrorBody { error: why })),
                };
                self.out.actions.push(Action::Send {
                    to: from,
                    frame: Frame::Answer {
                        request,
                        status,
                        body,
                    },
                });
            }
            Frame::Answer {
                request,
                status,
                body,
            } => {
                if let Some((id, _)) = self.relays.remove(&request) {
                    self.out.actions.push(Action::Reply {
                        id,
                        status,
                        retry_after_s: (status == 503).then_some(k::RETRY_STATE_S),
                        body,
                    });
                }
            }
            Frame::Counts(list) => {
                self.counts = list
                    .iter()
                    .map(|c| {
                        let job = frame::text(&c.job).to_owned();
                        (job, (c.done.get(), c.running.get()))
                    })
                    .collect();
            }
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
        JobKind::Service => f64::from(spec.tasks),
    };
    if spec.cpus * n > team.cpus_max + k::EPSILON || spec.gpus * n > team.gpus_max + k::EPSILON {
        return Err("needs more than the team's limit".into());
    }
    Ok(())
}
