//! The leader: loads what its predecessors stored, hears the workers, writes ahead, commands.
//!
//! The two rules everything here serves: a `run` goes out only after its placement is stored
//! under our term, and a task moves only when it is proven gone.
use crate::api::{CallError, CallResult, Ms, Now, Target};
use crate::fleet::{Fleet, FleetCall};
use crate::ledger::{Chunk, Life, Machine, Machines, Phase, Placement, Reach, Shard, Stored, Work};
use crate::limits::{StoreLimits, TransactionSize};
use crate::node::{describe, Out};
use crate::records::{
    self, done_key, job_key, parse_task, shard_key, DoneRecord, End, JobRecord, JobRow, MachineRow,
    ShardRecord, TaskRow, Value, DONE, LEADER, MACHINES,
};
use crate::replica::Replica;
use crate::schedule::Scheduler;
use crate::settings::{Bucket, Settings};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use stonegw_constants as k;
use stonegw_wire::frame::{self, Counts};
use stonegw_wire::msg::{
    decode, encode, json_len, Catalog, Command, Condition, Entry, ExitCause, JobKind, Listing,
    MachineType, Orders, Priority, Report, TaskReport, TaskState, Txn, TxnAnswer, Write,
};

mod answers;
mod command;
mod draft;
mod hear;
mod jobs;
mod load;
mod machine_records;
mod place;
mod reread;
mod results;
mod silence;
mod split;
mod store;
#[cfg(test)]
mod world_tests;

/// What the leader may use of its node.
pub struct Ctx<'a> {
    pub now: Now,
    pub set: &'a Settings,
    /// No other node is heard, so another may hear the machines that we don't.
    pub may_resign: bool,
    /// What may have been cancelled without our knowledge still ends in time: leases may be
    /// renewed and tasks started.
    pub covered: bool,
    pub replica: &'a mut Replica,
    pub reads: &'a mut Bucket,
    pub writes: &'a mut Bucket,
    /// How large what is written may be.
    pub limits: &'a mut StoreLimits,
    pub(crate) out: &'a mut Out,
    pub calls: &'a mut Vec<(u64, Call)>,
}

impl Ctx<'_> {
    pub fn call(
        &mut self,
        what: Call,
        target: Target,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> u64 {
        let id = self.out.call(target, method, path, body, timeout_ms);
        self.calls.push((id, what));
        id
    }

    /// Reads from the state service.
    pub fn read(&mut self, what: Call, path: String) {
        let wait = k::STATE_TIMEOUT_MS;
        self.call(what, Target::State, "GET", path, vec![], wait);
    }
}

/// A machine's name and an attempt on it.
pub type On = (String, u64);

/// What of the store one transaction changes, to be marked when its answer comes.
#[derive(Clone, Debug)]
pub enum Item {
    /// The unstored attempts that the record now holds.
    Shard {
        shard: u32,
        new: Vec<On>,
    },
    ShardGone {
        shard: u32,
    },
    Done {
        job: String,
        chunk: u32,
        exits: Vec<On>,
    },
    End {
        job: String,
        exits: Vec<On>,
    },
    DropDone {
        key: String,
    },
}

#[derive(Debug)]
pub enum Call {
    Renew,
    Load {
        prefix: &'static str,
    },
    Flush {
        items: Vec<Item>,
        size: TransactionSize,
    },
    Reread {
        item: Item,
    },
    Do {
        machine: String,
        session: u64,
        runs: Vec<u64>,
    },
    /// Asks a machine that did not hear us whether it does now.
    Inspect {
        machine: String,
    },
    Fleet(FleetCall),
}

impl Call {
    pub fn is_state(&self) -> bool {
        !matches!(
            self,
            Call::Do { .. } | Call::Inspect { .. } | Call::Fleet(_)
        )
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// Reading what is stored.
    Loading,
    /// Hearing the workers for one report period.
    Settling {
        until: Ms,
    },
    Active,
}

pub struct Leader {
    pub term: u64,
    pub lease: u64,
    pub deposed: bool,
    /// Deposed of its own will: the lease is to be ended.
    pub resigned: bool,
    /// When the last renewal that succeeded was sent.
    renewed_at: Ms,
    renew_sent: Ms,
    pub stage: Stage,
    pub since: Ms,
    watch_at: Ms,
    renew_at: Ms,
    renewing: bool,
    load: Option<(&'static str, Option<String>, bool, Ms)>,
    next_attempt: u64,
    pub catalog: Catalog,
    pub machines: Machines,
    pub works: BTreeMap<String, Work>,
    /// Jobs with results or an end to be stored.
    pub(crate) due: BTreeSet<String>,
    /// Whose results are looked at first, since the last transaction had no room for them.
    results_next: String,
    /// The records that tell of the machines.
    shards: BTreeMap<u32, Shard>,
    /// What was written without an answer: its stamp is read before it is written again.
    doubts: Vec<Item>,
    /// Bytes of JSON that a record may take.
    value_bytes: usize,
    /// The time of the present turn.
    now_ms: Ms,
    /// Machines that were deleted, with the time: late lists and reports still name them.
    pub deleted: HashMap<String, Ms>,
    flushing: bool,
    flush_at: Ms,
    /// When placements that are not urgent may go out again, and what only tidies up.
    batch_at: Ms,
    tidy_at: Ms,
    summary_at: Ms,
    /// Until when zones are taken as cut off, and most machines' silence as our own trouble.
    cut_until: BTreeMap<String, Ms>,
    many_until: Ms,
    many_deaf_until: Ms,
    /// `d/` records of jobs that have ended.
    drops: Vec<(String, Stored)>,
    /// `d/` records of jobs that our copy does not show yet.
    early: Vec<Entry<DoneRecord>>,
    rereading: bool,
    pub sched: Scheduler,
    pub fleet: Fleet,
    /// Something changed that could let work start.
    pub wake: bool,
    /// Nothing was placed before us.
    pub first: bool,
    /// A task of a gang changed, so that the gang's state may have to.
    pub gangs_changed: bool,
    /// When all gangs are looked at again in any case.
    pub gangs_at: Ms,
}

/// Why everything on a machine is gone.
#[derive(Clone, Copy)]
enum Gone {
    /// The cloud has deleted it.
    Machine,
    /// Its worker began a new session.
    Session { inherited_too: bool },
}

impl Leader {
    /// `leased_at`: when its lease was asked for.
    pub fn new(
        term: u64,
        lease: u64,
        now: Ms,
        leased_at: Ms,
        catalog: Catalog,
        set: &Settings,
    ) -> Leader {
        Leader {
            term,
            lease,
            deposed: false,
            resigned: false,
            renewed_at: leased_at,
            renew_sent: leased_at,
            stage: Stage::Loading,
            since: now,
            watch_at: 0,
            renew_at: now,
            renewing: false,
            load: Some((MACHINES, None, false, now)),
            next_attempt: term * k::ATTEMPTS_PER_TERM,
            catalog,
            machines: Machines::default(),
            works: BTreeMap::new(),
            due: BTreeSet::new(),
            results_next: String::new(),
            shards: BTreeMap::new(),
            doubts: vec![],
            value_bytes: set.value_bytes,
            now_ms: now,
            deleted: HashMap::new(),
            flushing: false,
            flush_at: 0,
            batch_at: 0,
            tidy_at: 0,
            summary_at: 0,
            cut_until: BTreeMap::new(),
            many_until: 0,
            many_deaf_until: 0,
            drops: vec![],
            early: vec![],
            rereading: false,
            sched: Scheduler::default(),
            fleet: Fleet::new(term, now),
            wake: true,
            first: false,
            gangs_changed: true,
            gangs_at: now,
        }
    }

    fn set_stage(&mut self, to: Stage) {
        log::info!("term {}: {:?} -> {:?}", self.term, self.stage, to);
        self.stage = to;
    }

    pub fn kind(&self, name: &str) -> Option<&MachineType> {
        self.catalog.types.iter().find(|t| t.name == name)
    }

    pub fn advance(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.ms;
        self.now_ms = now;
        self.lower_value_bytes(ctx.limits.value_bytes());
        if now >= self.renew_at && !self.renewing {
            self.renewing = true;
            self.renew_sent = now;
            self.renew_at = now + k::RENEW_MS;
            ctx.reads.force(now, 1.0);
            let path = format!("/grants/{}/touch", self.lease);
            let wait = k::STATE_TIMEOUT_MS;
            ctx.call(Call::Renew, Target::State, "POST", path, vec![], wait);
        }
        match self.stage {
            Stage::Loading => self.load(ctx),
            Stage::Settling { until } if now >= until => {
                self.set_stage(Stage::Active);
                self.wake = true;
                // What was late before our time tells nothing of the present load.
                for w in self.works.values_mut() {
                    w.missed = w.due_s(ctx.now.wall_ms).is_some_and(|d| d <= 0.0);
                }
            }
            Stage::Settling { .. } | Stage::Active => {}
        }
        if self.stage == Stage::Loading {
            return;
        }
        self.take_changes(ctx);
        self.take_far(ctx);
        if now >= self.watch_at {
            self.watch_at = now + k::WATCH_MACHINES_MS;
            self.watch_machines(ctx);
            self.inspect(ctx);
        }
        self.advance_gangs(ctx);
        if self.stage == Stage::Active {
            self.schedule(ctx);
            if now >= self.summary_at {
                self.summary_at = now + k::SUMMARY_MS;
                self.summarize(ctx);
            }
        }
        // A request to the cloud can be carried out late, after another leader has made its own
        // plans: so none without a lease that surely holds.
        if (self.stage == Stage::Active || self.first) && self.confirmed(ctx) {
            self.run_fleet(ctx);
        }
        self.flush(ctx);
        self.command(ctx);
    }

    /// One line for the log on how the fleet and the work stand.
    fn summarize(&self, ctx: &Ctx) {
        let mut lives: BTreeMap<&str, usize> = BTreeMap::new();
        let (mut cpus, mut used, mut held) = (0.0, 0.0, 0);
        let (mut unstored, mut unseen, mut fetching, mut running) = (0, 0, 0, 0);
        for m in self.machines.values() {
            let life = match m.life {
                Life::Booting => "booting",
                Life::Up if m.quiet(ctx.now.ms, ctx.set.report_s) => "silent",
                Life::Up => "up",
                Life::Draining => "draining",
                Life::Deleting => "deleting",
            };
            *lives.entry(life).or_default() += 1;
            if m.life == Life::Up {
                cpus += self.kind(&m.kind).map_or(0.0, |t| t.cpus);
                used += m.used().0;
                held += m.held.len();
            }
            for p in &m.placements {
                match p.phase {
                    Phase::New | Phase::Stored => unstored += 1,
                    Phase::Ready | Phase::Sent => unseen += 1,
                    Phase::Fetching | Phase::Gathering => fetching += 1,
                    Phase::Running | Phase::Saving => running += 1,
                    Phase::Exited { .. } => {}
                }
            }
        }
        let (mut waiting, mut late) = (0, 0);
        for w in self.works.values() {
            let n = w.pending.len();
            waiting += n;
            if w.due_s(ctx.now.wall_ms).is_some_and(|d| d <= 0.0) {
                late += n;
            }
        }
        log::info!(
            "machines {lives:?}, cpus {used:.0} of {cpus:.0}; jobs {}, tasks waiting {waiting} \
             (late {late}), held {held}, unstored {unstored}, not seen yet {unseen}, \
             fetching {fetching}, running {running}; threshold {:.2}",
            self.works.len(),
            self.sched.pruner.deferring
        );
    }

    /// Our lease surely holds: no other can lead yet.
    pub fn confirmed(&self, ctx: &Ctx) -> bool {
        ctx.now.ms < self.renewed_at + ctx.set.tuning.leader_ttl_ms
    }

    /// Reports that came through the state service.
    fn take_far(&mut self, ctx: &mut Ctx) {
        for report in std::mem::take(&mut ctx.replica.far) {
            if report.token > self.term {
                self.deposed = true;
                return;
            }
            // Without our token it may be as old as the record, and shows only that the machine was
            // there; after a change of leader a cut zone has no other way to tell even that.
            let id = report.machine.clone();
            if self.hear(ctx, report, false) {
                if let Some(mut m) = self.machines.edit(&id) {
                    m.far = true;
                }
                self.take_exits(ctx, &id);
            }
        }
    }

    pub fn call_done(&mut self, ctx: &mut Ctx, call: Call, result: CallResult) {
        match call {
            Call::Renew => {
                self.renewing = false;
                if let Ok((200, _)) = result {
                    self.renewed_at = self.renew_sent;
                }
                if let Ok((404, _)) = result {
                    log::warn!("term {}: the lease is gone", self.term);
                    self.deposed = true;
                }
            }
            Call::Load { .. } => self.loaded(ctx, result),
            Call::Flush { items, size } => self.flushed(ctx, items, size, result),
            Call::Reread { item } => self.reread_done(ctx, item, result),
            Call::Do {
                machine,
                session,
                runs,
            } => {
                self.done_do(ctx, &machine, session, runs, result);
            }
            Call::Inspect { machine } => self.inspected(ctx, &machine, result),
            Call::Fleet(c) => self.fleet_done(ctx, c, result),
        }
    }
}

/// A page of a listing, and after which key the next begins if there is one.
type Page<V> = (Vec<Entry<V>>, Option<String>);

fn page<V: serde::de::DeserializeOwned>(body: &[u8]) -> Result<Page<V>, String> {
    let l: Listing<V> = decode(body)?;
    let last = l.items.last().map(|e| e.key.clone());
    Ok((l.items, last.filter(|_| l.more)))
}

fn item_key(item: &Item) -> String {
    match item {
        Item::Shard { shard, .. } | Item::ShardGone { shard } => shard_key(*shard),
        Item::Done { job, chunk, .. } => done_key(job, *chunk),
        Item::End { job, .. } => records::job_key(job),
        Item::DropDone { key } => key.clone(),
    }
}

fn phase_of(t: &TaskReport) -> Phase {
    match t.state {
        TaskState::Fetching | TaskState::Other => Phase::Fetching,
        TaskState::Gathering => Phase::Gathering,
        TaskState::Running => Phase::Running,
        TaskState::Saving => Phase::Saving,
        TaskState::Exited => Phase::Exited {
            cause: t.why.unwrap_or(ExitCause::Other),
            settled: false,
        },
    }
}

fn phase_present(phase: Phase) -> bool {
    !matches!(phase, Phase::Exited { .. })
}

/// Which tasks a job may have where, given its others.
pub fn zone_allows(machines: &Machines, work: &Work, zone: &str) -> bool {
    let spec = &work.spec;
    if spec.zone.as_ref().is_some_and(|z| z != zone) {
        return false;
    }
    if !spec.one_zone && !spec.spread {
        return true;
    }
    let (here, elsewhere) = machines.zones_of(&spec.id, zone);
    let most = spec.tasks.div_ceil(2);
    !(spec.one_zone && elsewhere > 0 || spec.spread && here >= most)
}

/// True for work that is placed on arrival: urgent and without a deadline.
pub fn immediate(work: &Work) -> bool {
    work.spec.kind == JobKind::Service || work.spec.deadline_s.is_none()
}
