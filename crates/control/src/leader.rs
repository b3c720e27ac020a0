//! The leader: loads what its predecessors stored, hears the workers, writes ahead, commands.
//!
//! The two rules everything here serves: a `run` goes out only after its placement is stored
//! under our term, and a task moves only when it is proven gone.
use crate::api::{CallError, CallResult, Ms, Now, Target};
use crate::fleet::{Fleet, FleetCall};
use crate::ledger::{Chunk, Life, Machine, Phase, Placement, Stored, Work};
use crate::node::{describe, Out};
use crate::records::{
    self, done_key, job_key, machine_key, parse_task, DoneRecord, End, JobRecord, MachineRecord,
    Value, DONE, LEADER, MACHINES,
};
use crate::replica::Replica;
use crate::schedule::Scheduler;
use crate::settings::{Bucket, Settings};
use std::collections::{BTreeMap, HashMap};
use stonegw_constants as k;
use stonegw_wire::frame::{self, Counts};
use stonegw_wire::msg::{
    decode, encode, json_len, Catalog, Command, Condition, Entry, ExitCause, JobKind, Listing,
    MachineType, Orders, Priority, Report, TaskReport, TaskState, Txn, TxnAnswer, Write,
};

/// What the leader may use of its node.
pub struct Ctx<'a> {
    pub now: Now,
    pub set: &'a Settings,
    /// No other node is heard, so another may hear the machines that we don't.
    pub may_resign: bool,
    pub replica: &'a mut Replica,
    pub reads: &'a mut Bucket,
    pub writes: &'a mut Bucket,
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
}

/// What of the store one transaction changes, to be marked when its answer comes.
#[derive(Clone, Debug)]
pub enum Item {
    /// The attempts the record held.
    Machine {
        id: String,
        attempts: Vec<u64>,
    },
    MachineGone {
        id: String,
    },
    Done {
        job: String,
        chunk: u32,
        exits: Vec<u64>,
    },
    End {
        job: String,
        exits: Vec<u64>,
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
    },
    Reread {
        item: Item,
    },
    Do {
        machine: String,
        session: u64,
        runs: Vec<u64>,
    },
    Fleet(FleetCall),
}

impl Call {
    pub fn is_state(&self) -> bool {
        !matches!(self, Call::Do { .. } | Call::Fleet(_))
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
    pub machines: BTreeMap<String, Machine>,
    pub works: BTreeMap<String, Work>,
    /// Machines that were deleted, with the time: late lists and reports still name them.
    pub deleted: HashMap<String, Ms>,
    flushing: bool,
    flush_at: Ms,
    /// `d/` records of jobs that have ended.
    drops: Vec<(String, Stored)>,
    /// `d/` records of jobs that our copy does not show yet.
    early: Vec<Entry<DoneRecord>>,
    rereading: bool,
    pub sched: Scheduler,
    pub fleet: Fleet,
    /// Something changed that could let work start.
    pub wake: bool,
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
    pub fn new(term: u64, lease: u64, now: Ms, catalog: Catalog) -> Leader {
        Leader {
            term,
            lease,
            deposed: false,
            resigned: false,
            renewed_at: now,
            renew_sent: now,
            stage: Stage::Loading,
            since: now,
            watch_at: 0,
            renew_at: now + k::RENEW_MS,
            renewing: false,
            load: Some((MACHINES, None, false, now)),
            next_attempt: term * k::ATTEMPTS_PER_TERM,
            catalog,
            machines: BTreeMap::new(),
            works: BTreeMap::new(),
            deleted: HashMap::new(),
            flushing: false,
            flush_at: 0,
            drops: vec![],
            early: vec![],
            rereading: false,
            sched: Scheduler::default(),
            fleet: Fleet::new(term, now),
            wake: true,
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
        }
        if self.stage == Stage::Active {
            self.schedule(ctx);
            // A request to the cloud can be carried out late, after another leader has made
            // its own plans: so none without a lease that surely holds.
            if self.confirmed(ctx) {
                self.run_fleet(ctx);
            }
        }
        self.flush(ctx);
        self.command(ctx);
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
            // Without our token it may be as old as the record; nothing follows from it.
            if report.token < self.term {
                continue;
            }
            let id = report.machine.clone();
            if self.hear(ctx, report, false) {
                if let Some(m) = self.machines.get_mut(&id) {
                    m.far = true;
                }
                self.take_exits(ctx);
            }
        }
    }

    // ---- Loading --------------------------------------------------------------------------

    fn load(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.ms;
        match &mut self.load {
            Some((prefix, after, asked, retry_at)) => {
                if *asked || now < *retry_at || !ctx.reads.take(now, 1.0) {
                    return;
                }
                *asked = true;
                let prefix = *prefix;
                let mut path = format!("/kv?prefix={prefix}&limit={}", k::LIST_PAGE);
                if let Some(a) = after {
                    path.push_str(&format!("&since={a}"));
                }
                let wait = k::STATE_TIMEOUT_MS;
                ctx.call(
                    Call::Load { prefix },
                    Target::State,
                    "GET",
                    path,
                    vec![],
                    wait,
                );
            }
            None => {
                // The copy of the jobs was complete when the term began or is caught up by the
                // watch; what changed before we looked is in `changed` or taken here.
                let ids: Vec<String> = ctx.replica.jobs.keys().cloned().collect();
                ctx.replica.changed = ids;
                for seen in ctx
                    .replica
                    .jobs
                    .values()
                    .filter_map(|j| j.record.seen.as_ref())
                {
                    self.sched.learn(&seen.class, seen.ratio);
                }
                self.take_changes(ctx);
                let period = (ctx.set.report_s * 1.25 * 1e3) as u64;
                self.set_stage(Stage::Settling {
                    until: self.since.max(now.saturating_sub(period)) + period,
                });
            }
        }
    }

    fn loaded(&mut self, ctx: &mut Ctx, result: CallResult) {
        let now = ctx.now.ms;
        let Some((prefix, _, asked, retry_at)) = &mut self.load else {
            return;
        };
        *asked = false;
        *retry_at = now + k::STATE_RETRY_MS;
        let Ok((200, body)) = result else {
            log::debug!("load failed: {}", describe(&result));
            return;
        };
        let prefix = *prefix;
        let next = if prefix == MACHINES {
            page::<MachineRecord>(&body).map(|(items, next)| {
                for e in items {
                    self.load_machine(now, e);
                }
                next
            })
        } else {
            page::<DoneRecord>(&body).map(|(items, next)| {
                for e in items {
                    self.load_done(ctx, e);
                }
                next
            })
        };
        let next = match next {
            Ok(next) => next,
            Err(e) => return log::error!("what is stored under {prefix} is not understood: {e}"),
        };
        self.load = match next {
            Some(last) => Some((prefix, Some(last), false, now)),
            None if prefix == MACHINES => Some((DONE, None, false, now)),
            None => None,
        };
    }

    fn load_machine(&mut self, now: Ms, e: Entry<MachineRecord>) {
        let Some(id) = e.key.strip_prefix(MACHINES) else {
            return;
        };
        let mut m = Machine::new(id, &e.value.machine_type, &e.value.zone, e.value.spot, now);
        m.addr = e.value.addr;
        m.stored = Stored::at(e.version);
        for p in e.value.tasks {
            let Some((job, index)) = parse_task(&p.task) else {
                continue;
            };
            m.placements.push(Placement {
                cpus: p.cpus,
                gpus: p.gpus,
                memory: p.mem,
                team: p.team,
                inherited: true,
                ..Placement::new(job, index, p.attempt, Phase::Sent)
            });
        }
        self.machines.insert(id.into(), m);
    }

    fn load_done(&mut self, ctx: &mut Ctx, e: Entry<DoneRecord>) {
        let Some((job, chunk)) = e.key.strip_prefix(DONE).and_then(parse_task) else {
            return;
        };
        let known = ctx.replica.jobs.get(job);
        match known {
            Some(j) if j.record.end.is_none() => {
                let Some(spec) = &j.record.spec else { return };
                let at = j.record.at;
                let work = self
                    .works
                    .entry(job.into())
                    .or_insert_with(|| Work::new(spec.clone(), at));
                if let Err(why) = work.done.merge(chunk * k::DONE_CHUNK, &e.value.bits) {
                    log::error!("results of {} not understood: {why}", e.key);
                }
                let done = &work.done;
                work.pending.retain(|n| !done.get(*n));
                work.done_count = work.spec.tasks - work.pending.len() as u32;
                let stored = Stored::at(e.version);
                work.chunks.insert(chunk, Chunk { stored });
                self.sched.inherit(job, e.value.runs, e.value.run_s);
            }
            Some(_) => self.drops.push((e.key, Stored::at(e.version))),
            None => self.early.push(e),
        }
    }

    // ---- Jobs -------------------------------------------------------------------------------

    /// New jobs, and jobs that ended.
    fn take_changes(&mut self, ctx: &mut Ctx) {
        let changed = std::mem::take(&mut ctx.replica.changed);
        if !changed.is_empty() {
            for e in std::mem::take(&mut self.early) {
                self.load_done(ctx, e);
            }
        }
        for id in changed {
            let Some(j) = ctx.replica.jobs.get(&id) else {
                continue;
            };
            match (j.record.end, &j.record.spec) {
                (None, Some(spec)) => {
                    log::debug!(
                        "job {id}: {} x {:?} of {}",
                        spec.tasks,
                        spec.kind,
                        spec.class
                    );
                    let at = j.record.at;
                    let new = !self.works.contains_key(&id) && self.stage == Stage::Active;
                    if new && spec.kind == JobKind::Service && spec.priority >= Priority::High {
                        let now = ctx.now.ms;
                        for _ in 0..spec.tasks.min(k::HIRE_MAX) {
                            self.urgent_arrival(now);
                        }
                    }
                    let work = self
                        .works
                        .entry(id.clone())
                        .or_insert_with(|| Work::new(spec.clone(), at));
                    for p in self.machines.values().flat_map(|m| &m.placements) {
                        if p.job == id && p.present() {
                            work.take(p.index);
                        }
                    }
                    self.wake = true;
                }
                (None, None) => log::error!("job {id} has neither description nor end"),
                (Some(end), _) => {
                    let urgent = self.works.get(&id).is_some_and(|w| {
                        w.spec.kind == JobKind::Service && w.spec.priority >= Priority::High
                    });
                    if urgent {
                        self.urgent_departure(ctx.now.ms);
                    }
                    self.ended(&id, end);
                }
            }
        }
    }

    fn ended(&mut self, id: &str, end: End) {
        if let Some(work) = self.works.remove(id) {
            for (chunk, c) in work.chunks {
                self.drops.push((done_key(id, chunk), c.stored));
            }
        }
        self.sched.forget(id);
        for m in self.machines.values_mut() {
            m.held.retain(|(j, _)| j != id);
            for p in m.placements.iter_mut().filter(|p| p.job == id) {
                if let Phase::Exited { settled, .. } = &mut p.phase {
                    *settled = true;
                } else if end == End::Cancelled {
                    p.stop = Some(0.0);
                }
            }
        }
        self.wake = true;
    }

    pub fn counts(&self, job: &str) -> (u32, u32) {
        let running = self
            .machines
            .values()
            .flat_map(|m| &m.placements)
            .filter(|p| p.job == job && matches!(p.phase, Phase::Running | Phase::Saving))
            .count() as u32;
        (self.works.get(job).map_or(0, |w| w.done_count), running)
    }

    pub fn all_counts(&self) -> Vec<Counts> {
        let mut running: HashMap<&str, u32> = HashMap::new();
        for p in self.machines.values().flat_map(|m| &m.placements) {
            if matches!(p.phase, Phase::Running | Phase::Saving) {
                *running.entry(&p.job).or_default() += 1;
            }
        }
        let all = self.works.iter().map(|(id, w)| Counts {
            job: frame::name(id),
            done: w.done_count.into(),
            running: running.get(id.as_str()).copied().unwrap_or(0).into(),
        });
        all.take(frame::MAX_FRAME / size_of::<Counts>()).collect()
    }

    // ---- Placing ----------------------------------------------------------------------------

    /// Puts a waiting task on a machine. Nothing goes out before it is stored.
    pub fn place(&mut self, machine: &str, job: &str, index: u32) {
        // The last guard against running twice, whatever went wrong before.
        if self.is_present(job, index) {
            log::error!("{job}/{index} may already be on a machine; not placed again");
            if let Some(w) = self.works.get_mut(job) {
                w.take(index);
            }
            return;
        }
        let (Some(m), Some(w)) = (self.machines.get_mut(machine), self.works.get_mut(job)) else {
            return;
        };
        w.take(index);
        self.next_attempt += 1;
        log::debug!("place {job}/{index}#{} on {machine}", self.next_attempt);
        m.placements.push(Placement {
            cpus: w.spec.cpus,
            gpus: w.spec.gpus,
            memory: w.spec.memory_gb,
            team: w.spec.team.clone(),
            ..Placement::new(job, index, self.next_attempt, Phase::New)
        });
        m.stored.dirty = true;
        m.idle_since = None;
        let cache = self
            .catalog
            .types
            .iter()
            .find(|t| t.name == m.kind)
            .map_or(0.0, |t| t.cache_gb);
        m.use_image(&w.spec.image, w.spec.image_gb, cache);
    }

    /// A task is proven gone from where it was: it waits again, unless it is elsewhere.
    pub fn back(&mut self, job: &str, index: u32) {
        self.wake = true;
        // A task that is held waits already; waiting twice, it would start twice.
        let held = |m: &Machine| m.held.iter().any(|(j, i)| j == job && *i == index);
        let elsewhere = self.is_present(job, index) || self.machines.values().any(held);
        if let (false, Some(w)) = (elsewhere, self.works.get_mut(job)) {
            w.give_back(index);
        }
    }

    /// Whether the task may be on some machine.
    fn is_present(&self, job: &str, index: u32) -> bool {
        self.machines
            .values()
            .flat_map(|m| &m.placements)
            .any(|p| p.job == job && p.index == index && p.present())
    }

    /// Everything on the machine is proven gone.
    fn all_gone(&mut self, id: &str, how: Gone) {
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let mut gone = vec![];
        m.placements.retain(|p| {
            if let Gone::Session { inherited_too } = how {
                let unsent = matches!(p.phase, Phase::New | Phase::Ready);
                if unsent || p.inherited && !inherited_too {
                    return true;
                }
            }
            // What it finished here counts only once stored; without the worker's word for it
            // any more, it still was finished.
            gone.push((p.job.clone(), p.index));
            false
        });
        if !gone.is_empty() {
            m.stored.stale = true;
        }
        for (job, index) in gone {
            self.back(&job, index);
        }
    }

    // ---- Reports ----------------------------------------------------------------------------

    /// A worker's report; the answer renews its lease. `None`: we do not lead any more.
    pub fn beat(&mut self, ctx: &mut Ctx, report: Report) -> Option<Orders> {
        if report.token > self.term || self.deposed {
            self.deposed = true;
            return None;
        }
        let mut commands = vec![];
        if self.stage != Stage::Loading {
            let id = report.machine.clone();
            let newer = self.hear(ctx, report, true);
            if let Some(m) = self.machines.get_mut(&id).filter(|_| newer) {
                m.far = false;
            }
            self.take_exits(ctx);
            if newer && self.stage == Stage::Active {
                self.promote(ctx, &id);
            }
            self.flush(ctx);
            if newer {
                commands = self.orders(ctx, &id, true);
            }
            self.command(ctx);
        }
        Some(Orders {
            token: self.term,
            session: None,
            commands,
        })
    }

    /// Takes in a report. `beat`: it came as a report, not as the answer to a direct command.
    fn hear(&mut self, ctx: &mut Ctx, report: Report, beat: bool) -> bool {
        let now = ctx.now.ms;
        let id = report.machine.clone();
        if self.deleted.contains_key(&id) {
            return false;
        }
        let m = self.machines.entry(id.clone()).or_insert_with(|| {
            log::info!("machine {id} reports for the first time");
            Machine::new(&id, &report.machine_type, &report.zone, report.spot, now)
        });
        if (report.session, report.seq) <= (m.session, m.seq) {
            return false;
        }
        let new_session = report.session > m.session && m.heard.is_some();
        // What an earlier leader placed may have been sent in either session, unless the worker
        // had already seen our token in the old one.
        let inherited_too = m.under_token;
        let first = m.heard.is_none();
        m.count_use(now);
        m.session = report.session;
        m.seq = report.seq;
        m.heard = Some(now);
        m.missing = 0;
        m.addr = Some(report.addr.clone());
        m.kind = report.machine_type.clone();
        m.zone = report.zone.clone();
        m.spot = report.spot;
        m.under_token = report.token == self.term;
        m.notice = report
            .notice_s
            .filter(|s| s.is_finite())
            .map(|s| now + (s.max(0.0) * 1e3) as u64);
        if first {
            self.wake = true;
            if m.life == Life::Booting {
                m.set_life(Life::Up);
            }
        }
        if m.notice.is_some() && m.life == Life::Up {
            m.set_life(Life::Draining);
        }
        if new_session {
            // A new session: the worker killed and forgot everything, and nothing sent under
            // the old one can start any more.
            log::warn!("machine {id} began session {}", report.session);
            m.do_lost = false;
            m.images.clear();
            self.all_gone(&id, Gone::Session { inherited_too });
        }
        self.compare(ctx, &id, &report.tasks, beat);
        true
    }

    /// Compares a machine's newest report with what we hold.
    fn compare(&mut self, ctx: &mut Ctx, id: &str, tasks: &[TaskReport], beat: bool) {
        let now = ctx.now.ms;
        let mut adopt = vec![];
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let mut seen = vec![false; m.placements.len()];
        for t in tasks {
            let Some((job, index)) = parse_task(&t.task) else {
                log::warn!("{id} reports a task named {:?}", t.task);
                continue;
            };
            let at = m
                .placements
                .iter()
                .position(|p| p.attempt == t.attempt && p.index == index && p.job == job);
            match at {
                Some(at) => {
                    seen[at] = true;
                    let p = &mut m.placements[at];
                    let phase = phase_of(t);
                    if matches!(p.phase, Phase::Exited { .. }) {
                        continue;
                    }
                    if phase == Phase::Running && p.running_at.is_none() {
                        // An inherited task has run for an unknown while.
                        p.running_at = Some(now);
                    }
                    p.set_phase(phase);
                }
                None => adopt.push((job.to_owned(), index, t.clone())),
            }
        }
        // Absence proves something only in a report made under our token: what an earlier
        // leader sent can then no longer start.
        let mut gone = vec![];
        if m.under_token {
            let (open, seq) = (m.do_open.is_some() || m.do_lost, m.seq);
            let mut at = 0;
            m.placements.retain(|p| {
                let here = seen[at];
                at += 1;
                if here {
                    return true;
                }
                let out = match p.phase {
                    Phase::New | Phase::Ready => false,
                    Phase::Exited { settled, .. } => settled && p.clear_sent && beat,
                    _ if p.inherited => true,
                    // A `run` of ours may be on its way: by a direct command without answer,
                    // or in the answer to a report that is no older than this one.
                    Phase::Sent => p.stop.is_some() && beat && !open && seq > p.sent_seq,
                    _ => beat && !open && seq > p.sent_seq,
                };
                // What exited was taken back when it did.
                if out && p.present() {
                    gone.push((p.job.clone(), p.index));
                }
                !out
            });
        }
        if !gone.is_empty() {
            m.stored.stale = true;
        }
        for (job, index) in gone {
            self.back(&job, index);
        }
        for (job, index, t) in adopt {
            self.adopt(ctx, id, &job, index, &t);
        }
    }

    /// A task that we hold nothing of. It counts until it is gone.
    fn adopt(&mut self, ctx: &mut Ctx, id: &str, job: &str, index: u32, t: &TaskReport) {
        let now = ctx.now.ms;
        if t.state != TaskState::Exited {
            log::warn!("{id} has {job}/{index}#{} unknown to us", t.attempt);
        }
        let elsewhere = self.is_present(job, index);
        let spec = ctx
            .replica
            .jobs
            .get(job)
            .and_then(|j| j.record.spec.as_ref());
        let phase = phase_of(t);
        let wanted = !elsewhere && self.works.contains_key(job);
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        m.placements.push(Placement {
            cpus: spec.map_or(0.0, |s| s.cpus),
            gpus: spec.map_or(0.0, |s| s.gpus),
            memory: spec.map_or(0.0, |s| s.memory_gb),
            team: spec.map_or(String::new(), |s| s.team.clone()),
            inherited: true,
            stop: (!wanted).then_some(0.0),
            running_at: Some(now),
            ..Placement::new(job, index, t.attempt, phase)
        });
        m.stored.dirty = true;
        if let (true, Some(w)) = (phase_present(phase), self.works.get_mut(job)) {
            w.take(index);
            for m in self.machines.values_mut() {
                m.held.retain(|h| (h.0.as_str(), h.1) != (job, index));
            }
        }
    }

    /// What exited tasks mean for their jobs.
    fn take_exits(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.ms;
        let mut exits = vec![];
        for m in self.machines.values_mut() {
            for p in &mut m.placements {
                if let Phase::Exited { cause, settled } = &mut p.phase {
                    if *settled || (*cause == ExitCause::Done && p.clear_sent) {
                        continue;
                    }
                    if *cause == ExitCause::Done {
                        // Settled once stored; `clear_sent` is set then.
                        let work = self.works.get(&p.job);
                        if let Some(w) = work.filter(|w| w.done.get(p.index)) {
                            // Known before; if that is stored, nothing else will settle it.
                            let chunk = w.chunks.get(&(p.index / k::DONE_CHUNK));
                            *settled = chunk.is_some_and(|c| {
                                !c.stored.dirty && !c.stored.writing && c.stored.version.is_some()
                            });
                            continue;
                        }
                    } else {
                        *settled = true;
                    }
                    let run_s = p.running_at.map(|t| now.saturating_sub(t) as f64 / 1e3);
                    let run_s = run_s.filter(|_| !p.inherited);
                    exits.push((
                        m.id.clone(),
                        m.kind.clone(),
                        p.job.clone(),
                        p.index,
                        *cause,
                        run_s,
                    ));
                }
            }
        }
        for (id, kind, job, index, cause, run_s) in exits {
            self.wake = true;
            let Some(w) = self.works.get_mut(&job) else {
                // Ended: nothing more follows.
                self.settle(&job, index);
                continue;
            };
            match cause {
                ExitCause::Done => {
                    if w.done.set(index) {
                        w.done_count += 1;
                        w.take(index);
                        w.dropped.remove(&index);
                        let chunk = w.chunks.entry(index / k::DONE_CHUNK).or_insert(Chunk {
                            stored: Stored::absent(),
                        });
                        chunk.stored.dirty = true;
                        if let Some(s) = run_s {
                            let spec = w.spec.clone();
                            self.sched.record(&spec, &kind, s);
                        }
                    }
                    for m in self.machines.values_mut() {
                        m.held.retain(|h| (h.0.as_str(), h.1) != (&job, index));
                    }
                }
                _ => {
                    log::info!("{job}/{index} on {id}: {cause:?}");
                    let wait = |n: u32| (k::START_RETRY_MS << n.min(10)).min(k::START_RETRY_MAX_MS);
                    match cause {
                        ExitCause::Error => {
                            w.failures += 1;
                            w.bad.insert(id.clone());
                            w.retry_at = now + wait(w.failures);
                            if let Some(m) = self.machines.get_mut(&id) {
                                m.errors.insert(job.clone());
                                if m.errors.len() >= k::FAULTY_ERRORS && m.life == Life::Up {
                                    m.set_life(Life::Draining);
                                }
                            }
                        }
                        ExitCause::Unknown | ExitCause::Busy => {
                            w.failures += 1;
                            w.retry_at = now + wait(w.failures);
                        }
                        ExitCause::NoRoom => {
                            if let Some(m) = self.machines.get_mut(&id) {
                                m.full_until = now + k::START_RETRY_MS * 2;
                            }
                        }
                        _ => {}
                    }
                    self.back(&job, index);
                }
            }
        }
    }

    fn settle(&mut self, job: &str, index: u32) {
        for m in self.machines.values_mut() {
            for p in &mut m.placements {
                if p.job == job && p.index == index {
                    if let Phase::Exited { settled, .. } = &mut p.phase {
                        *settled = true;
                    }
                }
            }
        }
    }

    // ---- Commands ---------------------------------------------------------------------------

    /// Commands due for a machine. `beat`: they go in the answer to its newest report.
    fn orders(&mut self, ctx: &Ctx, id: &str, beat: bool) -> Vec<Command> {
        let now = ctx.now.ms;
        let Some(m) = self.machines.get_mut(id) else {
            return vec![];
        };
        let open = m.do_open.is_some() || m.do_lost;
        let (seq, addr_known) = (m.seq, m.life != Life::Deleting);
        let mut out = vec![];
        for p in &mut m.placements {
            let (task, attempt) = (p.task(), p.attempt);
            match p.phase {
                Phase::New => {}
                Phase::Ready | Phase::Sent => {
                    // A predecessor's task is never sent again: the record may be older than
                    // the task's move elsewhere. Either the worker shows it, or it is gone.
                    if let (Some(grace_s), Phase::Sent) = (p.stop, p.phase) {
                        // A `run` that may still arrive late must find its attempt used up:
                        // so it is given once more, and ended in the same breath.
                        if open && !p.inherited {
                            out.push(Command::Start {
                                task: task.clone(),
                                attempt,
                            });
                            p.sent_seq = seq;
                        }
                        out.push(Command::Stop {
                            task,
                            attempt,
                            grace_s,
                        });
                    } else if p.stop.is_none()
                        && !p.inherited
                        && addr_known
                        && (p.phase == Phase::Ready || beat)
                    {
                        p.set_phase(Phase::Sent);
                        if beat {
                            p.sent_seq = seq;
                        }
                        out.push(Command::Start { task, attempt });
                    }
                }
                Phase::Fetching | Phase::Running | Phase::Saving => {
                    if let Some(grace_s) = p.stop {
                        if beat || now >= p.stop_sent + 1_000 {
                            p.stop_sent = now;
                            out.push(Command::Stop {
                                task,
                                attempt,
                                grace_s,
                            });
                        }
                    }
                }
                // Never while a direct `run` may still arrive: after `clear` it would start
                // the task anew.
                Phase::Exited { settled, .. } => {
                    if settled && beat && !open {
                        p.clear_sent = true;
                        out.push(Command::Forget { task, attempt });
                    }
                }
            }
        }
        out
    }

    /// Direct commands, where they are faster than the next report.
    fn command(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.ms;
        let ids: Vec<String> = self
            .machines
            .values()
            .filter(|m| {
                m.do_open.is_none()
                    && m.addr.is_some()
                    && !m.quiet(now, ctx.set.report_s)
                    && !m.far
                    && m.life != Life::Gone
                    && m.placements.iter().any(|p| match p.phase {
                        Phase::Ready => p.stop.is_none(),
                        Phase::Fetching | Phase::Running => {
                            p.stop.is_some() && now >= p.stop_sent + 1_000
                        }
                        _ => false,
                    })
            })
            .map(|m| m.id.clone())
            .collect();
        for id in ids {
            let commands = self.orders(ctx, &id, false);
            let Some(m) = self.machines.get_mut(&id) else {
                continue;
            };
            if commands.is_empty() {
                continue;
            }
            let runs: Vec<u64> = commands
                .iter()
                .filter_map(|c| match c {
                    Command::Start { attempt, .. } => Some(*attempt),
                    _ => None,
                })
                .collect();
            let orders = Orders {
                token: self.term,
                session: Some(m.session),
                commands,
            };
            let session = m.session;
            let target = Target::Worker(m.addr.clone().unwrap_or_default());
            let call = Call::Do {
                machine: id.clone(),
                session,
                runs,
            };
            let wait = k::DO_TIMEOUT_MS;
            let call = ctx.call(call, target, "POST", "/do".into(), encode(&orders), wait);
            m.do_open = Some(call);
        }
    }

    fn done_do(&mut self, ctx: &mut Ctx, id: &str, session: u64, runs: Vec<u64>, r: CallResult) {
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        m.do_open = None;
        match r {
            Ok((200 | 409, body)) => match decode::<Report>(&body) {
                Ok(report) if report.machine == id => {
                    if report.token > self.term {
                        self.deposed = true;
                        return;
                    }
                    self.hear(ctx, report, false);
                    self.take_exits(ctx);
                    return;
                }
                _ => log::warn!("answer of {id} not understood"),
            },
            Err(CallError::NotSent) => {
                for p in m.placements.iter_mut() {
                    if runs.contains(&p.attempt) && p.phase == Phase::Sent && p.sent_seq == 0 {
                        p.set_phase(Phase::Ready);
                    }
                }
                return;
            }
            other => log::debug!("direct command to {id}: {}", describe(&other)),
        }
        // It may still arrive, minutes late, for as long as this session lasts.
        if m.session == session && !runs.is_empty() {
            m.do_lost = true;
        }
    }

    // ---- Machines ---------------------------------------------------------------------------

    fn watch_machines(&mut self, ctx: &Ctx) {
        let now = ctx.now.ms;
        let lease_ms = (ctx.set.lease_s * 1e3) as u64;
        let lost_ms = (ctx.set.lease_s * k::LOST_LEASES * 1e3) as u64;
        let settled = self.stage == Stage::Active && self.confirmed(ctx);
        // Machines that a predecessor left with tasks count before they are heard.
        let heard = |m: &&Machine| {
            (m.heard.is_some() || m.stored != Stored::absent())
                && matches!(m.life, Life::Booting | Life::Up | Life::Draining)
        };
        let all = self.machines.values().filter(heard).count();
        let silent = |m: &&Machine| m.quiet(now, ctx.set.report_s);
        let quiet = self.machines.values().filter(heard).filter(silent).count();
        // When many fall silent together, the trouble is more likely ours, or a cut that ends.
        let many = quiet > k::SILENT_FEW && quiet as f64 > all as f64 * k::SILENT_PART;
        if settled && all > 1 && ctx.may_resign {
            let last = self.machines.values().filter_map(|m| m.heard).max();
            if last.is_some_and(|at| now > at.max(self.since) + k::DEAF_MS) {
                log::warn!("term {}: no machine is heard; resigning", self.term);
                self.resigned = true;
                self.deposed = true;
                return;
            }
        }
        let period = (ctx.set.report_s * 1.25 * 1e3) as u64;
        let urgent_ms = (period + 2 * k::WORKER_TRY_MS + k::LOST_URGENT_MS).min(lost_ms);
        let few = quiet <= k::SILENT_FEW || (quiet as f64) < all as f64 * k::SILENT_FEW_PART;
        // Nearly a whole zone that falls silent is most likely cut off, and comes back.
        let mut zones: HashMap<String, (usize, usize)> = HashMap::new();
        for m in self.machines.values().filter(heard) {
            let z = zones.entry(m.zone.clone()).or_default();
            z.0 += 1;
            z.1 += usize::from(silent(&m));
        }
        zones.retain(|_, (all, quiet)| {
            *quiet > k::SILENT_FEW && *quiet as f64 >= *all as f64 * k::SILENT_ZONE_PART
        });
        let lost_ms = if many { lost_ms * 3 } else { lost_ms };
        let urgent = |m: &Machine| {
            m.placements.iter().any(|p| {
                let work = self.works.get(&p.job).filter(|_| p.present());
                work.is_some_and(|w| w.urgent())
            })
        };
        for m in self.machines.values_mut() {
            let quiet_ms = now.saturating_sub(m.heard.unwrap_or(m.known_since));
            let mattered = m.heard.is_some() || !m.placements.is_empty();
            if matches!(m.life, Life::Up | Life::Draining | Life::Booting) && settled && mattered {
                let taken = m.notice.is_some_and(|t| now > t + 2_000);
                let vanished = m.missing >= 2 || taken;
                let lost_ms = if zones.contains_key(&m.zone) {
                    lost_ms.max(3 * lease_ms)
                } else if few && !m.far && urgent(m) {
                    urgent_ms
                } else {
                    lost_ms
                };
                if quiet_ms > lost_ms || (vanished && m.quiet(now, ctx.set.report_s)) {
                    // The delete is the proof that everything on it is gone.
                    log::warn!("machine {} is lost after {} ms", m.id, quiet_ms);
                    m.set_life(Life::Deleting);
                }
            }
            // Placements that were never sent may simply be taken back.
            if matches!(m.life, Life::Deleting | Life::Draining) {
                m.idle_since.get_or_insert(now);
            }
        }
        // Unsent placements of jobs that ended, or on machines that get nothing new.
        let mut back = vec![];
        for m in self.machines.values_mut() {
            let closing =
                matches!(m.life, Life::Draining | Life::Deleting) || m.quiet(now, ctx.set.report_s);
            let works = &self.works;
            let writing = m.stored.writing;
            m.placements.retain(|p| {
                let unwanted = p.stop.is_some() || !works.contains_key(&p.job) || closing;
                let out = p.phase == Phase::Ready && unwanted
                    || p.phase == Phase::New && unwanted && !writing;
                if out {
                    back.push((p.job.clone(), p.index));
                    m.stored.stale = true;
                }
                !out
            });
            if closing {
                back.append(&mut m.held);
            }
        }
        for (job, index) in back {
            self.back(&job, index);
        }
        self.deleted.retain(|_, at| now < *at + 600_000);
    }

    /// The cloud confirmed: the machine and everything on it are gone.
    pub fn machine_deleted(&mut self, now: Ms, id: &str) {
        self.all_gone(id, Gone::Machine);
        self.deleted.insert(id.into(), now);
        if let Some(m) = self.machines.get_mut(id) {
            for (job, index) in std::mem::take(&mut m.held) {
                if let Some(w) = self.works.get_mut(&job) {
                    w.give_back(index);
                }
            }
            let cpus = self
                .catalog
                .types
                .iter()
                .find(|t| t.name == m.kind)
                .map_or(1.0, |t| t.cpus);
            log::info!("machine {id} account: {}", m.account(now, cpus));
            m.set_life(Life::Gone);
            if m.stored == Stored::absent() {
                self.machines.remove(id);
            } else {
                m.stored.stale = true;
            }
        }
    }

    // ---- Writing ----------------------------------------------------------------------------

    /// Writes what is due, one transaction at a time. Every write names the stamp it replaces,
    /// so that a transaction applied late changes nothing.
    pub fn flush(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.ms;
        if self.flushing || self.rereading || now < self.flush_at || self.stage == Stage::Loading {
            return;
        }
        if self.reread(ctx) {
            return;
        }
        let level = ctx.writes.level(now);
        let most = (level.max(0.0) as usize).min(ctx.set.txn_ops);
        if most == 0 {
            return;
        }
        let mut txn: Txn<Value> = Txn {
            conditions: vec![Condition {
                key: LEADER.into(),
                version: self.term,
            }],
            writes: vec![],
        };
        let mut items = vec![];
        let mut bytes = k::TXN_MARGIN;
        let mut add = |key: String, version: u64, value: Option<Value>, item: Item| -> bool {
            let size = value.as_ref().map_or(0, json_len) + 2 * key.len() + 120;
            if items.len() >= most || bytes + size > k::TXN_BYTES {
                return false;
            }
            bytes += size;
            txn.conditions.push(Condition {
                key: key.clone(),
                version,
            });
            txn.writes.push(match value {
                Some(value) => Write::Put {
                    key,
                    value,
                    lease: None,
                },
                None => Write::Delete { key },
            });
            items.push(item);
            true
        };
        // Ends and results first: users wait for them. Then placements, then tidying.
        for (id, w) in &mut self.works {
            let exits = |chunk: Option<u32>| -> Vec<u64> {
                self.machines
                    .values()
                    .flat_map(|m| &m.placements)
                    .filter(|p| {
                        &p.job == id
                            && chunk.is_none_or(|c| p.index / k::DONE_CHUNK == c)
                            && matches!(
                                p.phase,
                                Phase::Exited {
                                    cause: ExitCause::Done,
                                    ..
                                }
                            )
                    })
                    .map(|p| p.attempt)
                    .collect()
            };
            if w.done_count == w.spec.tasks {
                if w.ending {
                    continue;
                }
                let Some(j) = ctx.replica.jobs.get(id) else {
                    continue;
                };
                let record = JobRecord {
                    spec: None,
                    end: Some(End::Done),
                    seen: self.sched.seen(&w.spec),
                    ..j.record.clone()
                };
                let item = Item::End {
                    job: id.clone(),
                    exits: exits(None),
                };
                if add(
                    job_key(id),
                    j.version,
                    Some(Value::Job(Box::new(record))),
                    item,
                ) {
                    w.ending = true;
                }
                continue;
            }
            for (n, c) in &mut w.chunks {
                let (true, Some(version), false) =
                    (c.stored.dirty, c.stored.version, c.stored.writing)
                else {
                    continue;
                };
                let bits = w.done.encode(n * k::DONE_CHUNK, k::DONE_CHUNK);
                let item = Item::Done {
                    job: id.clone(),
                    chunk: *n,
                    exits: exits(Some(*n)),
                };
                let (runs, run_s) = self.sched.observed(id);
                let value = Value::Done(DoneRecord { bits, runs, run_s });
                if add(done_key(id, *n), version, Some(value), item) {
                    c.stored.dirty = false;
                    c.stored.writing = true;
                }
            }
        }
        // Tidying must not eat the budget that placements may need in the next second.
        let tidy = level > ctx.set.txn_ops as f64 * 0.5;
        for urgent in [true, false] {
            for (id, m) in &mut self.machines {
                let due = if urgent {
                    m.stored.dirty
                } else {
                    m.stored.stale && tidy
                };
                let (true, Some(version), false) = (due, m.stored.version, m.stored.writing) else {
                    continue;
                };
                let (value, item) = if m.life == Life::Gone {
                    (None, Item::MachineGone { id: id.clone() })
                } else {
                    let attempts = m.placements.iter().map(|p| p.attempt).collect();
                    let item = Item::Machine {
                        id: id.clone(),
                        attempts,
                    };
                    (Some(Value::Machine(m.record())), item)
                };
                if add(machine_key(id), version, value, item) {
                    m.stored.dirty = false;
                    m.stored.stale = false;
                    m.stored.writing = true;
                }
            }
        }
        for (key, stored) in &mut self.drops {
            if let (Some(version), false, true) = (stored.version, stored.writing, tidy) {
                let item = Item::DropDone { key: key.clone() };
                if add(key.clone(), version, None, item) {
                    stored.writing = true;
                }
            }
        }
        self.drops.retain(|(_, s)| s.version != Some(0));
        if items.is_empty() {
            return;
        }
        if !ctx.reads.take(now, 1.0) {
            return self.unflush(&items);
        }
        ctx.writes.force(now, items.len() as f64);
        self.flushing = true;
        let wait = k::STATE_TIMEOUT_MS;
        let call = Call::Flush { items };
        ctx.call(
            call,
            Target::State,
            "POST",
            "/multi".into(),
            encode(&txn),
            wait,
        );
    }

    fn stored_of(&mut self, item: &Item) -> Option<&mut Stored> {
        match item {
            Item::Machine { id, .. } | Item::MachineGone { id } => {
                self.machines.get_mut(id).map(|m| &mut m.stored)
            }
            Item::Done { job, chunk, .. } => {
                if let Some(w) = self.works.get_mut(job) {
                    return w.chunks.get_mut(chunk).map(|c| &mut c.stored);
                }
                let key = done_key(job, *chunk);
                self.drops.iter_mut().find(|d| d.0 == key).map(|d| &mut d.1)
            }
            Item::DropDone { key } => {
                let key = key.clone();
                self.drops.iter_mut().find(|d| d.0 == key).map(|d| &mut d.1)
            }
            Item::End { .. } => None,
        }
    }

    /// Nothing of it was carried out: all is due again.
    fn unflush(&mut self, items: &[Item]) {
        for item in items {
            if let Item::End { job, .. } = item {
                if let Some(w) = self.works.get_mut(job) {
                    w.ending = false;
                }
            } else if let Some(s) = self.stored_of(item) {
                s.writing = false;
                s.dirty = true;
            }
        }
    }

    fn flushed(&mut self, ctx: &mut Ctx, items: Vec<Item>, result: CallResult) {
        let now = ctx.now.ms;
        self.flushing = false;
        match result {
            Ok((200, body)) => match decode::<TxnAnswer>(&body) {
                Ok(a) => self.written(ctx, items, a.revision),
                Err(e) => {
                    log::warn!("transaction answer not understood: {e}");
                    self.unsure(&items);
                }
            },
            Ok((409, body)) => {
                let failed = decode::<TxnAnswer>(&body)
                    .map(|a| a.failed)
                    .unwrap_or_default();
                if failed.iter().any(|f| f == LEADER) {
                    log::warn!("term {}: the leader key is no longer ours", self.term);
                    self.deposed = true;
                    return;
                }
                self.unflush(&items);
                for item in &items {
                    let key = item_key(item);
                    if failed.contains(&key) {
                        if let Some(s) = self.stored_of(item) {
                            s.version = None;
                        }
                    }
                }
                self.flush_at = now + k::STATE_RETRY_MS;
            }
            Ok((429 | 503, _)) | Err(CallError::NotSent) => {
                self.unflush(&items);
                self.flush_at = now + k::STATE_RETRY_MS;
            }
            Ok((status, body)) => {
                log::error!(
                    "transaction refused: {status} {}",
                    String::from_utf8_lossy(&body)
                );
                self.unflush(&items);
                self.flush_at = now + k::STATE_RETRY_MAX_MS;
            }
            // It may have been carried out, or be applied yet: read the stamps before writing.
            Err(CallError::Unknown) => {
                self.unsure(&items);
                self.flush_at = now + k::STATE_RETRY_MS;
            }
        }
    }

    fn unsure(&mut self, items: &[Item]) {
        self.unflush(items);
        for item in items {
            if let Some(s) = self.stored_of(item) {
                s.version = None;
            }
        }
    }

    fn written(&mut self, ctx: &mut Ctx, items: Vec<Item>, revision: u64) {
        let mut settled: Vec<u64> = vec![];
        for item in items {
            if let Some(s) = self.stored_of(&item) {
                s.writing = false;
                s.version = Some(revision);
            }
            match item {
                Item::Machine { id, attempts } => {
                    if let Some(m) = self.machines.get_mut(&id) {
                        for p in &mut m.placements {
                            if p.phase == Phase::New && attempts.contains(&p.attempt) {
                                p.set_phase(Phase::Ready);
                            }
                        }
                    }
                }
                Item::MachineGone { id } => {
                    self.machines.remove(&id);
                }
                Item::Done { exits, .. } => settled.extend(exits),
                Item::DropDone { key } => self.drops.retain(|d| d.0 != key),
                Item::End { job, exits } => {
                    settled.extend(exits);
                    if let Some(j) = ctx.replica.jobs.get(&job) {
                        let record = JobRecord {
                            spec: None,
                            end: Some(End::Done),
                            seen: None,
                            ..j.record.clone()
                        };
                        ctx.replica.put_job(&job, record, revision);
                    }
                    if let Some(s) = self.works.get(&job).and_then(|w| self.sched.seen(&w.spec)) {
                        self.sched.learn(&s.class, s.ratio);
                    }
                    log::info!("job {job} done");
                    self.ended(&job, End::Done);
                }
            }
        }
        for p in self.machines.values_mut().flat_map(|m| &mut m.placements) {
            if settled.contains(&p.attempt) {
                if let Phase::Exited { settled, .. } = &mut p.phase {
                    *settled = true;
                }
            }
        }
    }

    /// Reads the stamp of one key whose last write is in doubt.
    fn reread(&mut self, ctx: &mut Ctx) -> bool {
        let now = ctx.now.ms;
        let machine = self
            .machines
            .values()
            .find(|m| m.stored.version.is_none())
            .map(|m| Item::Machine {
                id: m.id.clone(),
                attempts: vec![],
            });
        let done = || {
            self.works.iter().find_map(|(id, w)| {
                let (chunk, _) = w.chunks.iter().find(|(_, c)| c.stored.version.is_none())?;
                Some(Item::Done {
                    job: id.clone(),
                    chunk: *chunk,
                    exits: vec![],
                })
            })
        };
        let dropped = || {
            let d = self.drops.iter().find(|d| d.1.version.is_none())?;
            Some(Item::DropDone { key: d.0.clone() })
        };
        let Some(item) = machine.or_else(done).or_else(dropped) else {
            return false;
        };
        if ctx.reads.take(now, 1.0) {
            self.rereading = true;
            let path = format!("/kv/{}", item_key(&item));
            let wait = k::STATE_TIMEOUT_MS;
            ctx.call(
                Call::Reread { item },
                Target::State,
                "GET",
                path,
                vec![],
                wait,
            );
        }
        true
    }

    fn reread_done(&mut self, ctx: &Ctx, item: Item, result: CallResult) {
        self.rereading = false;
        let version = match result {
            Ok((200, body)) => decode::<Entry<Value>>(&body).map(|e| e.version).ok(),
            Ok((404, _)) => Some(0),
            _ => None,
        };
        match version {
            Some(v) => {
                if let Some(s) = self.stored_of(&item) {
                    s.version = Some(v);
                    s.writing = false;
                    s.dirty = true;
                }
            }
            None => self.flush_at = ctx.now.ms + k::STATE_RETRY_MS,
        }
    }

    // ---- Answers ----------------------------------------------------------------------------

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
            Call::Flush { items } => self.flushed(ctx, items, result),
            Call::Reread { item } => self.reread_done(ctx, item, result),
            Call::Do {
                machine,
                session,
                runs,
            } => {
                self.done_do(ctx, &machine, session, runs, result);
            }
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
        Item::Machine { id, .. } | Item::MachineGone { id } => machine_key(id),
        Item::Done { job, chunk, .. } => done_key(job, *chunk),
        Item::End { job, .. } => records::job_key(job),
        Item::DropDone { key } => key.clone(),
    }
}

fn phase_of(t: &TaskReport) -> Phase {
    match t.state {
        TaskState::Fetching | TaskState::Other => Phase::Fetching,
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
pub fn zone_allows(machines: &BTreeMap<String, Machine>, work: &Work, zone: &str) -> bool {
    let spec = &work.spec;
    if spec.zone.as_ref().is_some_and(|z| z != zone) {
        return false;
    }
    if !spec.one_zone && !spec.spread {
        return true;
    }
    let (mut here, mut elsewhere) = (0, 0);
    for m in machines.values() {
        let n = m
            .placements
            .iter()
            .filter(|p| p.job == spec.id && p.present())
            .count();
        if m.zone == zone {
            here += n;
        } else {
            elsewhere += n;
        }
    }
    let most = spec.tasks.div_ceil(2) as usize;
    !(spec.one_zone && elsewhere > 0 || spec.spread && here >= most)
}

/// True for work that is placed on arrival: urgent and without a deadline.
pub fn immediate(work: &Work) -> bool {
    work.spec.kind == JobKind::Service || work.spec.deadline_s.is_none()
}
