//! The leader: loads what its predecessors stored, hears the workers, writes ahead, commands.
//!
//! The two rules everything here serves: a `run` goes out only after its placement is stored
//! under our term, and a task moves only when it is proven gone.
use crate::api::{CallError, CallResult, Ms, Now, Target};
use crate::fleet::Fleet;
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
use rand::{rngs::SmallRng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use stonegw_constants as k;
use stonegw_wire::frame::{self, Counts};
use stonegw_wire::msg::{
    decode, encode, json_len, Catalog, Command, Condition, Entry, ExitCause, JobKind, MachineType,
    Orders, Priority, Report, TaskReport, Txn, TxnAnswer, Write,
};

mod answers;
mod calls;
mod command;
mod context;
mod draft;
mod failed;
mod hear;
mod item;
mod jobs;
mod load;
mod machine_records;
mod page;
mod place;
mod placement_rules;
mod reported_phase;
mod reread;
mod results;
mod resume;
mod silence;
mod split;
mod store;
mod summary;
#[cfg(test)]
mod world_tests;

pub use calls::Call;
pub use context::Ctx;
use item::item_key;
pub use item::{Item, On};
use page::page;
pub use placement_rules::{immediate, zone_allows};
use reported_phase::{phase_of, phase_present};

/// How far the leader has come since it began.
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

/// The leader of one term.
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
    /// For waits that are spread by chance.
    rng: SmallRng,
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
    /// A leader that has loaded nothing yet. `leased_at`: when its lease was asked for.
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
            rng: SmallRng::seed_from_u64(term),
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

    /// The machine type of this name.
    pub fn kind(&self, name: &str) -> Option<&MachineType> {
        self.catalog.types.iter().find(|t| t.name == name)
    }

    /// What goes on by itself, once a turn.
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
            let call = Call::Renew { sent: now };
            ctx.call(call, Target::State, "POST", path, vec![], wait);
        }
        // After a pause another may lead: neither a command nor a write nor a rental goes out.
        if !ctx.proven {
            return;
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
        self.take_reports_via_state(ctx);
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

    /// Our lease surely holds: no other can lead yet.
    pub fn confirmed(&self, ctx: &Ctx) -> bool {
        ctx.now.ms < self.renewed_at + ctx.set.tuning.leader_ttl_ms
    }

    /// Reports that came through the state service.
    fn take_reports_via_state(&mut self, ctx: &mut Ctx) {
        for report in std::mem::take(&mut ctx.replica.reports_via_state) {
            if report.token > self.term {
                self.deposed = true;
                return;
            }
            // Without our token it may be as old as the record, and shows only that the machine was
            // there; after a change of leader a cut zone has no other way to tell even that.
            let id = report.machine.clone();
            if self.hear(ctx, report, false) {
                if let Some(mut m) = self.machines.edit(&id) {
                    m.via_state = true;
                }
                self.take_exits(ctx, &id);
            }
        }
    }

    /// Takes the answer to one of its calls.
    pub fn call_done(&mut self, ctx: &mut Ctx, call: Call, result: CallResult) {
        match call {
            Call::Renew { sent } => {
                // The answer to an earlier try leaves the present one open.
                self.renewing &= sent != self.renew_sent;
                if let Ok((200, _)) = result {
                    self.renewed_at = self.renewed_at.max(sent);
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
