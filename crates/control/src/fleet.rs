//! Renting and returning machines. What is wanted follows from the work at hand, the live
//! catalogue and the refusals observed; names of requests carry the term and are never reused.
use crate::api::{CallError, CallResult, Ms, Target};
use crate::leader::{Ctx, Leader, Stage};
use crate::ledger::{Life, Machine, Phase, Work};
use crate::node::describe;
use crate::settings::Bucket;
use std::collections::{HashMap, HashSet, VecDeque};
use stonegw_constants as k;
use stonegw_wire::msg::{
    decode, encode, Catalog, Hire, JobKind, JobSpec, ListedMachine, MachineList, MachineState,
    MachineType, Machines, Priority,
};

#[derive(Debug)]
pub enum FleetCall {
    Catalog,
    List,
    Hire(u64),
    Delete(Vec<String>),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum HireState {
    Due { at: Ms },
    Sent,
}

#[derive(Debug)]
struct Renting {
    number: u64,
    hire: Hire,
    state: HireState,
    /// An answer may be lost: the same request must be repeated until one comes.
    doubt: bool,
}

pub struct Fleet {
    term: u64,
    decide_at: Ms,
    list_at: Ms,
    listing: Option<Vec<ListedMachine>>,
    /// A whole list has come.
    known: bool,
    list_asked: bool,
    catalog_at: Ms,
    catalog_asked: bool,
    pause_until: Ms,
    budget: Option<Bucket>,
    next_hire: u64,
    renting: Vec<Renting>,
    /// Type, zone and kind that was refused: until when, and the wait after that.
    refused: HashMap<(String, String, bool), (Ms, u64)>,
    /// The latest urgent service seen, the size that spare room is kept for.
    pub usual: Option<JobSpec>,
    /// When urgent services arrived of late.
    arrivals: VecDeque<Ms>,
    departures: VecDeque<Ms>,
    /// Gangs that arrived of late.
    gangs: Vec<(Ms, JobSpec)>,
    /// Work with a deadline that came of late: when, its CPU-seconds, and how long a task runs.
    came: VecDeque<(Ms, f64, f64)>,
}

/// Room as the sizing sees it.
struct Bin {
    /// Seconds until it is up.
    eta: f64,
    kind: String,
    zone: String,
    spot: bool,
    free: (f64, f64, f64),
}

/// Room that is kept for gangs to come, in one zone.
struct GangRoom {
    /// The largest gang of late.
    spec: JobSpec,
    zone: String,
    /// Free slots for its tasks in the zone.
    spare: u32,
}

impl GangRoom {
    /// Slots that would go with an idle machine.
    fn slots(&self, m: &Machine, types: &[MachineType]) -> u32 {
        let machine_type = types.iter().find(|t| t.name == m.kind);
        let here = m.zone == self.zone && allowed(&self.spec, &m.kind, &m.zone, m.spot);
        machine_type
            .filter(|_| here)
            .map_or(0, |t| per_machine(t, &self.spec))
    }

    fn is_short(&self, without: u32) -> bool {
        self.spare < self.spec.tasks + without
    }
}

impl Fleet {
    pub fn new(term: u64, now: Ms) -> Fleet {
        Fleet {
            term,
            decide_at: now,
            list_at: now,
            listing: None,
            known: false,
            list_asked: false,
            catalog_at: now + k::CATALOG_MS,
            catalog_asked: false,
            pause_until: 0,
            budget: None,
            next_hire: 0,
            renting: vec![],
            refused: HashMap::new(),
            usual: None,
            arrivals: VecDeque::new(),
            departures: VecDeque::new(),
            gangs: vec![],
            came: VecDeque::new(),
        }
    }
}

impl Bin {
    /// Room for so many tasks is spoken for.
    fn take(&mut self, s: &JobSpec, n: u32) {
        let n = f64::from(n);
        self.free.0 -= n * s.cpus;
        self.free.1 -= n * s.gpus;
        self.free.2 -= n * s.memory_gb;
    }
}

/// Whether a task may go to such a machine.
fn allowed(s: &JobSpec, kind: &str, zone: &str, spot: bool) -> bool {
    (!spot || s.spot)
        && s.types.as_ref().is_none_or(|t| t.iter().any(|t| t == kind))
        && s.zone.as_ref().is_none_or(|z| z == zone)
}

fn fits(free: (f64, f64, f64), s: &JobSpec) -> bool {
    free.0 + k::EPSILON >= s.cpus
        && free.1 + k::EPSILON >= s.gpus
        && free.2 + k::EPSILON >= s.memory_gb
}

/// How many tasks of a kind a fresh machine takes.
fn per_machine(t: &MachineType, s: &JobSpec) -> u32 {
    rooms((t.cpus, t.gpus, t.memory_gb), s)
}

/// How many tasks of a kind fit into that much room.
fn rooms(free: (f64, f64, f64), s: &JobSpec) -> u32 {
    let each = |have: f64, need: f64| {
        if need > k::EPSILON {
            (have + k::EPSILON) / need
        } else {
            f64::MAX
        }
    };
    each(free.0, s.cpus)
        .min(each(free.1, s.gpus))
        .min(each(free.2, s.memory_gb))
        .clamp(0.0, 1e6) as u32
}

impl Leader {
    pub fn run_fleet(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.ms;
        if self.fleet.budget.is_none() {
            let rps = ctx.set.cloud_rps;
            self.fleet.budget = Some(Bucket::new(rps * 0.8, (rps * 1.6).max(1.0)));
        }
        let active = self.stage == Stage::Active;
        // A leader without predecessors need not hear the machines to know that more are wanted:
        // a list tells of them, and every second of the first boots counts.
        if now >= self.fleet.decide_at && (active || self.first && self.fleet.known) {
            self.fleet.decide_at = now + k::FLEET_MS;
            if active {
                self.return_idle(ctx);
            }
            self.decide(ctx);
        }
        if now < self.fleet.pause_until {
            return;
        }
        if active {
            self.delete(ctx);
        }
        self.hire(ctx);
        if now >= self.fleet.list_at && !self.fleet.list_asked && self.cloud(now) {
            self.fleet.list_asked = true;
            let mut path = "/hosts?limit=500".to_owned();
            if let Some(last) = self.fleet.listing.as_ref().and_then(|l| l.last()) {
                path.push_str(&format!("&since={}", last.id));
            }
            let call = crate::leader::Call::Fleet(FleetCall::List);
            ctx.call(
                call,
                Target::Cloud,
                "GET",
                path,
                vec![],
                k::CLOUD_TIMEOUT_MS,
            );
        }
        if now >= self.fleet.catalog_at && !self.fleet.catalog_asked && self.cloud(now) {
            self.fleet.catalog_asked = true;
            let call = crate::leader::Call::Fleet(FleetCall::Catalog);
            ctx.call(
                call,
                Target::Cloud,
                "GET",
                "/catalog".into(),
                vec![],
                k::CLOUD_TIMEOUT_MS,
            );
        }
    }

    fn cloud(&mut self, now: Ms) -> bool {
        self.fleet.budget.as_mut().is_some_and(|b| b.take(now, 1.0))
    }

    // ---- Returning --------------------------------------------------------------------------

    fn return_idle(&mut self, ctx: &Ctx) {
        let now = ctx.now.ms;
        // Room that urgent services could have, beyond what they use.
        let mut spare = self.spare_rooms(ctx, false);
        let wanted = self.spare_wanted(ctx);
        let usual = self.fleet.usual.clone();
        let types = self.catalog.types.clone();
        let idle_boots = ctx.set.tuning.idle_boots;
        let wait_ms = (ctx.set.lease_s * 3e3) as u64;
        let mut gang_room = self.gang_room(ctx);
        self.machines.edit_all(|m| {
            let unsettled = m
                .placements
                .iter()
                .any(|p| matches!(p.phase, Phase::Exited { settled: false, .. }));
            match m.life {
                Life::Booting => {
                    let boot = types
                        .iter()
                        .find(|t| t.name == m.kind)
                        .map_or(60.0, |t| t.boot_s);
                    let age = now.saturating_sub(m.born) as f64 / 1e3;
                    // One that the list calls running is up, and not heard yet by a new leader; it
                    // may be behind a cut.
                    let over = if m.listed_up {
                        now > m.known_since + wait_ms
                    } else {
                        age > boot * k::BOOT_GIVE_UP
                    };
                    if over && m.heard.is_none() && m.placements.is_empty() {
                        log::warn!("machine {} never came up", m.id);
                        m.set_life(Life::Deleting);
                    }
                }
                Life::Draining if m.idle() && !unsettled => m.set_life(Life::Deleting),
                Life::Up if m.idle() => {
                    let since = *m.idle_since.get_or_insert(now);
                    let room = match (&usual, m.spot) {
                        (Some(s), false) => types
                            .iter()
                            .find(|t| t.name == m.kind)
                            .map_or(0.0, |t| f64::from(per_machine(t, s))),
                        _ => 0.0,
                    };
                    let for_gangs = gang_room.as_ref().map_or(0, |g| g.slots(m, &types));
                    let short = gang_room.as_ref().is_some_and(|g| g.is_short(for_gangs));
                    let kept = room > 0.0 && spare - room < wanted || for_gangs > 0 && short;
                    // To rent it again would cost a boot: as long as that it is worth keeping.
                    let boot = types
                        .iter()
                        .find(|t| t.name == m.kind)
                        .map_or(0.0, |t| t.boot_s);
                    let patience = (boot * idle_boots * 1e3) as u64;
                    if now >= since + patience && !kept && !unsettled {
                        spare -= room;
                        if let Some(g) = &mut gang_room {
                            g.spare = g.spare.saturating_sub(for_gangs);
                        }
                        m.set_life(Life::Deleting);
                    }
                }
                Life::Up => m.idle_since = None,
                _ => {}
            }
        });
    }

    /// Room for the largest gang of late, in the zone that has most. A gang that has to wait for a
    /// boot is late; one that finds a zone with room for it is not.
    fn gang_room(&self, ctx: &Ctx) -> Option<GangRoom> {
        let recent = |(at, _): &&(Ms, JobSpec)| ctx.now.ms <= at + k::ARRIVALS_MS;
        let gangs = self.fleet.gangs.iter().filter(recent).map(|(_, spec)| spec);
        let cpus = |spec: &&JobSpec| f64::from(spec.tasks) * spec.cpus;
        let spec = gangs.max_by(|a, b| cpus(a).total_cmp(&cpus(b)))?.clone();
        let mut zones: HashMap<&str, u32> = HashMap::new();
        for id in self.roomy(ctx) {
            let Some(m) = self.machines.get(&id) else {
                continue;
            };
            let Some(t) = self.kind(&m.kind) else {
                continue;
            };
            if allowed(&spec, &m.kind, &m.zone, m.spot) {
                *zones.entry(&m.zone).or_default() += rooms(m.free(t), &spec);
            }
        }
        let (zone, spare) = zones.into_iter().max_by_key(|(_, slots)| *slots)?;
        let zone = zone.to_owned();
        Some(GangRoom { spec, zone, spare })
    }

    /// A gang arrived.
    pub fn gang_arrival(&mut self, now: Ms, spec: &JobSpec) {
        self.fleet
            .gangs
            .retain(|(at, _)| now <= at + k::ARRIVALS_MS);
        self.fleet.gangs.push((now, spec.clone()));
    }

    /// Rooms to keep for urgent tasks: a few, and the spread of what arrives during a boot.
    fn spare_wanted(&self, ctx: &Ctx) -> f64 {
        let Some(s) = &self.fleet.usual else {
            return 0.0;
        };
        let fits = self.catalog.types.iter().filter(|t| per_machine(t, s) > 0);
        let boot = fits.map(|t| t.boot_s).fold(0.0, f64::max);
        let span = ctx.now.ms.saturating_sub(self.since).min(k::ARRIVALS_MS) as f64 / 1e3;
        let span = span.max(boot).max(1.0);
        let (came, went) = (self.fleet.arrivals.len(), self.fleet.departures.len());
        let rate = came as f64 / span;
        // While more come than go, what comes during a boot needs room that is up already.
        let growth = came.saturating_sub(went) as f64 / span;
        ctx.set.tuning.spare_tasks + growth * boot + (rate * boot).sqrt()
    }

    /// Work with a deadline came, so long ago.
    pub fn dated_arrival(&mut self, now: Ms, age_ms: u64, spec: &JobSpec) {
        let run = self.sched.mean_s(spec);
        let work = f64::from(spec.tasks) * spec.cpus * run;
        let at = now.saturating_sub(age_ms);
        let old = |c: &(Ms, f64, f64)| now > c.0 + k::INFLOW_MS;
        self.fleet.came.retain(|c| !old(c));
        if age_ms < k::INFLOW_MS {
            self.fleet.came.push_back((at, work, run));
        }
    }

    /// CPUs that work with deadlines would keep busy if it kept coming as it did of late: only
    /// what goes before tasks that run so long, since what finishes soonest goes first.
    fn inflow(&self, now: Ms, run: f64) -> f64 {
        let recent = |c: &&(Ms, f64, f64)| now <= c.0 + k::INFLOW_MS;
        let came = self.fleet.came.iter().filter(recent);
        let first = came.clone().map(|c| c.0).min().unwrap_or(now);
        let sum: f64 = came.filter(|c| c.2 < run).map(|c| c.1).sum();
        let span = now
            .saturating_sub(first)
            .clamp(k::INFLOW_MS / 2, k::INFLOW_MS);
        sum / (span as f64 / 1e3)
    }

    /// An urgent service ended.
    pub fn urgent_departure(&mut self, now: Ms) {
        self.fleet.departures.push_back(now);
    }

    /// An urgent service arrived.
    pub fn urgent_arrival(&mut self, now: Ms) {
        self.fleet.arrivals.push_back(now);
        let gone = |at: &Ms| now > at + k::ARRIVALS_MS;
        while self.fleet.departures.front().is_some_and(gone) {
            self.fleet.departures.pop_front();
        }
        while self
            .fleet
            .arrivals
            .front()
            .is_some_and(|at| now > at + k::ARRIVALS_MS)
        {
            self.fleet.arrivals.pop_front();
        }
    }

    /// How many usual urgent tasks could run beside those that do, pushing lesser work aside.
    fn spare_rooms(&self, ctx: &Ctx, coming: bool) -> f64 {
        let now = ctx.now.ms;
        let Some(s) = &self.fleet.usual else {
            return 0.0;
        };
        let mut sum = 0.0;
        for m in self.machines.values() {
            // Room on a silent machine, or on one whose boot is overdue, is no room.
            let boot = self.kind(&m.kind).map_or(0.0, |t| t.boot_s);
            let age = now.saturating_sub(m.born) as f64 / 1e3;
            let counts = match m.life {
                Life::Up => !m.quiet(now, ctx.set.report_s) && !m.far,
                Life::Booting => coming && age < boot * k::SPARE_OVERDUE,
                _ => false,
            };
            if m.spot || !counts {
                continue;
            }
            let Some(t) = self.kind(&m.kind) else {
                continue;
            };
            let (mut c, mut mem) = (t.cpus, t.memory_gb);
            for p in m.placements.iter().filter(|p| p.present()) {
                let lesser = self
                    .works
                    .get(&p.job)
                    .is_some_and(|w| w.spec.priority < s.priority);
                if !lesser {
                    c -= p.cpus;
                    mem -= p.memory;
                }
            }
            let n = (c + k::EPSILON) / s.cpus.max(0.01);
            sum += n
                .min((mem + k::EPSILON) / s.memory_gb.max(0.01))
                .floor()
                .max(0.0);
        }
        sum
    }

    fn delete(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.ms;
        let again = k::CLOUD_TIMEOUT_MS + k::CLOUD_RETRY_MS;
        let ids: Vec<String> = self
            .machines
            .deleting()
            .filter(|m| m.delete_sent == 0 || now >= m.delete_sent + again)
            .map(|m| m.id.clone())
            .take(k::DELETE_MAX)
            .collect();
        if ids.is_empty() || !self.cloud(now) {
            return;
        }
        for id in &ids {
            if let Some(mut m) = self.machines.edit(id) {
                m.delete_sent = now;
            }
        }
        let body = encode(&Machines {
            machines: ids.clone(),
        });
        let call = crate::leader::Call::Fleet(FleetCall::Delete(ids));
        ctx.call(
            call,
            Target::Cloud,
            "POST",
            "/hosts/delete".into(),
            body,
            k::CLOUD_TIMEOUT_MS,
        );
    }

    // ---- Renting ----------------------------------------------------------------------------

    fn decide(&mut self, ctx: &Ctx) {
        let now = ctx.now.ms;
        let mut bins: Vec<Bin> = vec![];
        // The same machines with the room that comes free in the end: all but what urgent work takes.
        let mut lasting: Vec<Bin> = vec![];
        for m in self.machines.values() {
            let Some(t) = self.kind(&m.kind) else {
                continue;
            };
            let age = now.saturating_sub(m.born) as f64 / 1e3;
            let coming = m.life == Life::Booting && age < t.boot_s * k::BOOT_OVERDUE;
            // Before the first reports, the list's word is good enough.
            let unheard = self.stage != Stage::Active && m.listed_up && m.life == Life::Booting;
            let up = m.life == Life::Up && !m.quiet(now, ctx.set.report_s) || unheard;
            if coming || up {
                let eta = if up {
                    0.0
                } else {
                    (t.boot_s - age).max(t.boot_s * 0.2)
                };
                let bin = |free| Bin {
                    eta,
                    kind: m.kind.clone(),
                    zone: m.zone.clone(),
                    spot: m.spot,
                    free,
                };
                bins.push(bin(m.free(t)));
                let (c, g, mem) = self.staying(m);
                lasting.push(bin((t.cpus - c, t.gpus - g, t.memory_gb - mem)));
            }
        }
        for r in &self.fleet.renting {
            if let Some(t) = self.kind(&r.hire.machine_type) {
                for _ in 0..r.hire.count {
                    bins.push(Bin {
                        eta: t.boot_s,
                        kind: t.name.clone(),
                        zone: r.hire.zone.clone(),
                        spot: r.hire.spot,
                        free: (t.cpus, t.gpus, t.memory_gb),
                    });
                }
            }
        }
        let mut zones: HashMap<String, usize> = HashMap::new();
        for m in self.machines.values() {
            *zones.entry(m.zone.clone()).or_default() += 1;
        }
        let boot = self
            .catalog
            .types
            .iter()
            .map(|t| t.boot_s)
            .fold(f64::MAX, f64::min);
        let mut dated: Vec<(f64, f64, JobSpec, usize, bool)> = vec![];
        // Urgent first.
        let mut wants: Vec<(Priority, f64, JobSpec, usize)> = vec![];
        for (id, w) in &self.works {
            let s = &w.spec;
            if s.kind == JobKind::Service && s.priority >= Priority::High {
                self.fleet.usual = Some(s.clone());
            }
            let mut n = w.pending.len() + self.machines.held_of(id);
            if n == 0 || w.ending || w.failures > k::RENT_FAILURES {
                continue;
            }
            if let Some(t) = ctx.set.team(&s.team) {
                let used = self.machines.team(&s.team).0;
                n = n.min(((t.cpus_max - used).max(0.0) / s.cpus.max(0.01)) as usize);
            }
            // All the CPUs at hand are of no use to a task that no single machine will have room for.
            let ever = |b: &Bin| fits(b.free, s) && allowed(s, &b.kind, &b.zone, b.spot);
            if n > 0 && self.machines.present_of(id).next().is_none() && !lasting.iter().any(ever) {
                wants.push((s.priority, 0.0, s.clone(), 1));
                continue;
            }
            let due = w.due_s(ctx.now.wall_ms);
            if let Some(due) = due {
                let run = self.sched.mean_s(s).max(1.0);
                // What a machine rented now would not finish in time is late either way, by its
                // deadline and by all that is promised of its class: then few machines that work
                // for a while are better than many for one run each.
                let age = ctx.now.wall_ms.saturating_sub(w.at) as f64 / 1e3;
                let promises: Vec<f64> = ctx.set.promised(&s.class, run).map(|p| p - age).collect();
                let reachable = boot + run * k::RUN_ROOM;
                let targets = promises.iter().copied().chain([due]);
                let next = targets.filter(|d| *d >= reachable);
                let next = next.min_by(f64::total_cmp);
                let due = next.unwrap_or(boot + run * k::LATE_ROOM);
                // Where more than the deadline is promised, lateness goes on to matter.
                let late = next.is_none() && !promises.is_empty();
                dated.push((due, run, s.clone(), n, late));
                continue;
            }
            let due = 0.0;
            if n > 0 {
                wants.push((s.priority, due, s.clone(), n));
            }
        }
        for (spec, tasks) in self.gangs_to_rent_for(ctx, &bins) {
            wants.push((spec.priority, 0.0, spec, tasks));
        }
        wants.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)));
        let mut hires: HashMap<(String, String, bool), u32> = HashMap::new();
        // Spare room for urgent services comes before lesser work, which may use it meanwhile.
        if let Some(s) = self.fleet.usual.clone() {
            let renting: f64 = self
                .fleet
                .renting
                .iter()
                .filter(|r| !r.hire.spot)
                .filter_map(|r| {
                    Some(per_machine(self.kind(&r.hire.machine_type)?, &s) * r.hire.count)
                })
                .map(f64::from)
                .sum();
            let have = self.spare_rooms(ctx, true) + renting;
            let waiting: usize = wants
                .iter()
                .filter(|w| w.0 >= s.priority)
                .map(|w| w.3)
                .sum();
            let short = waiting as f64 + self.spare_wanted(ctx) - have;
            if short > 0.0 {
                self.rent_for(
                    now,
                    &s,
                    short.ceil() as usize,
                    &zones,
                    &mut bins,
                    &mut hires,
                    true,
                );
            }
        }
        for (_, _, s, n) in wants {
            self.rent_for(now, &s, n, &zones, &mut bins, &mut hires, false);
        }
        // Deadline work: what the machines at hand can do by each deadline, earliest first, is
        // not rented for, though it may have to wait.
        dated.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut cpus = self.dated_cpus(&bins);
        let have: f64 = cpus.iter().map(|c| c.0).sum();
        let mut work = self.dated_running();
        for (due, run, s, n, late) in dated {
            work += n as f64 * s.cpus * run;
            // What cpus that are up after `eta` can do by then; the last run must fit in.
            let use_s = |eta: f64| (due - eta - run * 0.5).max(0.0) * ctx.set.tuning.slack_use;
            // What is still to come and will go first takes its part of them: without that,
            // long tasks with a late deadline would be put off until it is too late for them.
            // All that comes goes before what is late.
            let coming = if late {
                k::INFLOW_LATE * self.inflow(now, f64::MAX)
            } else {
                ctx.set.tuning.inflow_use * self.inflow(now, run)
            };
            let coming = coming / have.max(1.0);
            let can: f64 = cpus.iter().map(|(c, eta)| c * use_s(*eta)).sum();
            let can = can * (1.0 - coming).max(0.0);
            let short = work - can;
            if short <= 0.0 {
                continue;
            }
            let more = (short / use_s(boot).max(1.0)).min(n as f64 * s.cpus);
            let tasks = (more / s.cpus.max(0.01)).ceil() as usize;
            self.rent_for(now, &s, tasks.min(n), &zones, &mut bins, &mut hires, true);
            cpus.push((tasks as f64 * s.cpus, boot));
        }
        for ((kind, zone, spot), mut left) in hires {
            log::info!("renting {left} {kind} in {zone}, spot {spot}");
            while left > 0 {
                let count = left.min(k::HIRE_MAX);
                left -= count;
                self.fleet.next_hire += 1;
                let number = self.fleet.next_hire;
                self.fleet.renting.push(Renting {
                    number,
                    hire: Hire {
                        request: format!("t{}-{}", self.fleet.term, number),
                        machine_type: kind.clone(),
                        zone: zone.clone(),
                        spot,
                        count,
                    },
                    state: HireState::Due { at: now },
                    doubt: false,
                });
            }
        }
    }

    /// Gangs that wait and their tasks. One that needs a single zone gets all its room in the zone
    /// that has most of it.
    fn gangs_to_rent_for(&self, ctx: &Ctx, bins: &[Bin]) -> Vec<(JobSpec, usize)> {
        let mut wanted = vec![];
        for job in self.waiting_gangs(ctx) {
            let Some(work) = self.works.get(&job) else {
                continue;
            };
            if work.failures > k::RENT_FAILURES || !self.allows_whole(ctx, work) {
                continue;
            }
            let mut spec = work.spec.clone();
            if spec.one_zone && spec.zone.is_none() {
                spec.zone = self.roomiest_zone(&spec, bins);
            }
            let tasks = work.spec.tasks + self.useless_slots(work, &spec);
            wanted.push((spec, tasks as usize));
        }
        wanted
    }

    /// Free slots that the sizing counts on machines where the job failed or that don't hear us.
    fn useless_slots(&self, work: &Work, spec: &JobSpec) -> u32 {
        let useless = |m: &&Machine| work.bad.contains(&m.id) || !m.trusted();
        let machines = self.machines.values().filter(|m| m.life == Life::Up);
        let machines = machines.filter(useless);
        let suits = |m: &&Machine| allowed(spec, &m.kind, &m.zone, m.spot);
        machines
            .filter(suits)
            .filter_map(|m| Some(rooms(m.free(self.kind(&m.kind)?), spec)))
            .sum()
    }

    fn roomiest_zone(&self, spec: &JobSpec, bins: &[Bin]) -> Option<String> {
        let zones = self.catalog.types.iter().flat_map(|t| &t.zones);
        let slots = |zone: &String| -> u32 {
            let suits = |b: &&Bin| b.zone == *zone && allowed(spec, &b.kind, &b.zone, b.spot);
            bins.iter()
                .filter(suits)
                .map(|b| rooms(b.free, spec).min(spec.tasks))
                .sum()
        };
        zones.max_by_key(|zone| slots(zone)).cloned()
    }

    /// The cpus that deadline work may use, with the seconds until they are up: all but those of
    /// deadline-free tasks.
    fn dated_cpus(&self, bins: &[Bin]) -> Vec<(f64, f64)> {
        let used: f64 = self
            .machines
            .values()
            .filter(|m| matches!(m.life, Life::Up))
            .flat_map(|m| &m.placements)
            .filter(|p| p.present())
            .filter(|p| {
                let w = self.works.get(&p.job);
                w.is_some_and(|w| w.spec.deadline_s.is_some())
            })
            .map(|p| p.cpus)
            .sum();
        let free = bins.iter().map(|b| (b.free.0.max(0.0), b.eta));
        free.chain([(used, 0.0)]).filter(|c| c.0 > 0.0).collect()
    }

    /// cpu-seconds that running deadline tasks still need, about: half a run each.
    fn dated_running(&mut self) -> f64 {
        let mut sum = 0.0;
        for (id, w) in &self.works {
            let n = self.machines.present_of(id).count();
            if w.spec.deadline_s.is_some() && n > 0 {
                sum += n as f64 * w.spec.cpus * self.sched.mean_s(&w.spec) * 0.5;
            }
        }
        sum
    }

    /// Finds room for `n` tasks, renting where none is left. `fresh`: only new machines count.
    #[allow(clippy::too_many_arguments)]
    fn rent_for(
        &self,
        now: Ms,
        s: &JobSpec,
        n: usize,
        zones: &HashMap<String, usize>,
        bins: &mut Vec<Bin>,
        hires: &mut HashMap<(String, String, bool), u32>,
        fresh: bool,
    ) {
        let first = if fresh { bins.len() } else { 0 };
        let mut left = n as u32;
        for b in &mut bins[first..] {
            if left > 0 && fits(b.free, s) && allowed(s, &b.kind, &b.zone, b.spot) {
                let k = rooms(b.free, s).min(left);
                b.take(s, k);
                left -= k;
            }
        }
        // A wrong estimate must stay cheap, for the fleet's size.
        let step = k::HIRE_STEP.max(self.machines.len() as u32 / k::HIRE_STEP_PART);
        while left > 0 {
            let mut best: Option<(f64, &MachineType, &String, bool)> = None;
            for t in &self.catalog.types {
                let each = per_machine(t, s).min(left);
                if each == 0 {
                    continue;
                }
                for zone in &t.zones {
                    for spot in [false, true] {
                        let price = match (spot, t.spot_price) {
                            (false, _) => t.price,
                            (true, Some(p)) => p,
                            (true, None) => continue,
                        };
                        let key = (t.name.clone(), zone.clone(), spot);
                        let waits = self.fleet.refused.get(&key).is_some_and(|r| now < r.0);
                        let full = hires.get(&key).copied().unwrap_or(0) >= step;
                        if waits || full || !allowed(s, &t.name, zone, spot) {
                            continue;
                        }
                        // Among equals, the zone with fewer machines: one cut hurts less.
                        let here = zones.get(zone).copied().unwrap_or(0);
                        let cost = price / f64::from(each) * (1.0 + here as f64 * 1e-6);
                        if best.as_ref().is_none_or(|b| cost < b.0) {
                            best = Some((cost, t, zone, spot));
                        }
                    }
                }
            }
            let Some((_, t, zone, spot)) = best else {
                return;
            };
            *hires
                .entry((t.name.clone(), zone.clone(), spot))
                .or_default() += 1;
            let mut bin = Bin {
                eta: t.boot_s,
                kind: t.name.clone(),
                zone: zone.clone(),
                spot,
                free: (t.cpus, t.gpus, t.memory_gb),
            };
            let k = per_machine(t, s).min(left);
            bin.take(s, k);
            left -= k;
            bins.push(bin);
        }
    }

    fn hire(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.ms;
        let due = self
            .fleet
            .renting
            .iter()
            .position(|r| matches!(r.state, HireState::Due { at } if now >= at));
        let Some(at) = due else { return };
        if !self.cloud(now) {
            return;
        }
        let r = &mut self.fleet.renting[at];
        r.state = HireState::Sent;
        let (number, body) = (r.number, encode(&r.hire));
        let call = crate::leader::Call::Fleet(FleetCall::Hire(number));
        ctx.call(
            call,
            Target::Cloud,
            "POST",
            "/hosts".into(),
            body,
            k::CLOUD_TIMEOUT_MS,
        );
    }

    // ---- Answers ----------------------------------------------------------------------------

    pub fn fleet_done(&mut self, ctx: &mut Ctx, call: FleetCall, result: CallResult) {
        let now = ctx.now.ms;
        if matches!(result, Ok((429, _))) {
            self.fleet.pause_until = now + k::CLOUD_RETRY_MS;
        }
        match call {
            FleetCall::Catalog => {
                self.fleet.catalog_asked = false;
                self.fleet.catalog_at = now + k::CLOUD_RETRY_MS * 2;
                if let Ok((200, body)) = result {
                    match decode::<Catalog>(&body) {
                        Ok(c) => {
                            self.catalog = c;
                            self.fleet.catalog_at = now + k::CATALOG_MS;
                        }
                        Err(e) => log::warn!("catalogue not understood: {e}"),
                    }
                }
            }
            FleetCall::List => self.list_done(ctx, result),
            FleetCall::Hire(number) => self.hire_done(now, number, result),
            FleetCall::Delete(ids) => match result {
                Ok((200, _)) => {
                    for id in ids {
                        self.machine_deleted(now, &id);
                    }
                    self.wake = true;
                }
                other => {
                    log::warn!("delete: {}", describe(&other));
                    for id in ids {
                        if let Some(mut m) = self.machines.edit(&id) {
                            m.delete_sent = now.saturating_sub(k::CLOUD_TIMEOUT_MS);
                        }
                    }
                }
            },
        }
    }

    fn hire_done(&mut self, now: Ms, number: u64, result: CallResult) {
        let Some(at) = self.fleet.renting.iter().position(|r| r.number == number) else {
            return;
        };
        let key = {
            let h = &self.fleet.renting[at].hire;
            (h.machine_type.clone(), h.zone.clone(), h.spot)
        };
        match result {
            Ok((200, body)) => {
                let Ok(answer) = decode::<Machines>(&body) else {
                    log::warn!("rental answer not understood");
                    self.fleet.renting[at].state = HireState::Due {
                        at: now + k::CLOUD_RETRY_MS,
                    };
                    return;
                };
                let r = self.fleet.renting.remove(at);
                if (answer.machines.len() as u32) < r.hire.count {
                    self.refuse(now, key.clone());
                } else {
                    self.fleet.refused.remove(&key);
                }
                for id in answer.machines {
                    if !self.deleted.contains_key(&id) {
                        self.machines
                            .add(&id, || Machine::new(&id, &key.0, &key.1, key.2, now));
                    }
                }
            }
            Ok((503, body)) if !self.fleet.renting[at].doubt && no_capacity(&body) => {
                log::info!("no capacity for {key:?}");
                self.fleet.renting.remove(at);
                self.refuse(now, key);
            }
            Ok((400, _)) => {
                log::error!("rental {key:?} called malformed");
                self.fleet.renting.remove(at);
                self.refuse(now, key);
            }
            other => {
                let r = &mut self.fleet.renting[at];
                // A refusal after an unanswered try answers for the try as well.
                if matches!(&other, Ok((503, body)) if no_capacity(body)) {
                    self.fleet.renting.remove(at);
                    self.refuse(now, key);
                    return;
                }
                r.doubt |= matches!(other, Err(CallError::Unknown));
                r.state = HireState::Due {
                    at: now + k::CLOUD_RETRY_MS,
                };
                log::debug!("rental: {}", describe(&other));
            }
        }
    }

    fn refuse(&mut self, now: Ms, key: (String, String, bool)) {
        let wait = self
            .fleet
            .refused
            .get(&key)
            .map_or(k::REFUSED_MS, |r| (r.1 * 2).min(k::REFUSED_MAX_MS));
        self.fleet.refused.insert(key, (now + wait, wait));
    }

    fn list_done(&mut self, ctx: &Ctx, result: CallResult) {
        let now = ctx.now.ms;
        self.fleet.list_asked = false;
        self.fleet.list_at = now + k::LIST_MS;
        let page = match result {
            Ok((200, body)) => match decode::<MachineList>(&body) {
                Ok(p) => p,
                Err(e) => return log::warn!("machine list not understood: {e}"),
            },
            other => return log::debug!("machine list: {}", describe(&other)),
        };
        let more = page.more && !page.machines.is_empty();
        self.fleet
            .listing
            .get_or_insert_default()
            .extend(page.machines);
        if more {
            self.fleet.list_at = now;
            return;
        }
        let list = self.fleet.listing.take().unwrap_or_default();
        self.fleet.known = true;
        let mut present = HashSet::new();
        for l in list {
            present.insert(l.id.clone());
            if self.deleted.contains_key(&l.id) {
                continue;
            }
            let age = (l.age_s.clamp(0.0, 1e9) * 1e3) as u64;
            self.machines.add(&l.id, || {
                log::info!("machine {} found in the list", l.id);
                let mut m = Machine::new(&l.id, &l.machine_type, &l.zone, l.spot, now);
                m.born = now.saturating_sub(age);
                m
            });
            let Some(mut m) = self.machines.edit(&l.id) else {
                continue;
            };
            m.listed = true;
            m.listed_up = l.state == MachineState::Running;
            m.missing = 0;
            if m.addr.is_none() {
                m.addr = l.addr;
            }
            if l.state == MachineState::Failed && m.life != Life::Deleting {
                log::warn!("machine {} failed", m.id);
                m.set_life(Life::Deleting);
            }
        }
        // Once listed, a machine stays listed until it is gone; but lists are old.
        let lag = (ctx.set.list_lag_s * 2.0 * 1e3) as u64;
        self.machines.edit_all(|m| {
            if !present.contains(&m.id) && m.listed && now > m.known_since + lag {
                m.missing += 1;
                if m.missing >= 2 && m.heard.is_none() && m.life == Life::Booting {
                    m.set_life(Life::Deleting);
                }
            }
        });
    }
}

fn no_capacity(body: &[u8]) -> bool {
    decode::<stonegw_wire::msg::ErrorBody>(body).is_ok_and(|e| e.error.contains("capacity"))
}
