//! What runs where. Deadline work by the design's rules: once a second each task picks its
//! best-chance machine and the soonest-finishing pair goes first; what is below the deferring
//! threshold waits; held tasks below the drop threshold leave their queue while the toggle is
//! on. Everything else fills leftover room first fit.
use crate::api::Ms;
use crate::gang::Reservation;
use crate::leader::{immediate, zone_allows, Ctx, Leader};
use crate::ledger::{Life, Machine, Phase, Work};
use crate::overdue::Kept;
use crate::preempt::Making;
use crate::records::Seen;
use std::collections::HashMap;
use stonegw_constants as k;
use stonegw_sched::curve::Curve;
use stonegw_sched::pam::{soonest, Offer, Queue, Slot, Start};
use stonegw_sched::pruner::{Pruner, Toggle};
use stonegw_sched::runtimes::RunTimes;
use stonegw_wire::msg::{JobKind, JobSpec, Priority};

#[derive(Default)]
pub struct Scheduler {
    pub pruner: Pruner,
    runs: HashMap<String, HashMap<String, RunTimes>>,
    map_at: Ms,
    place_at: Ms,
    /// Runs per job: how many and their sum in s, over all types.
    observed: HashMap<String, (u32, f64)>,
    /// What is kept for jobs that waited for long.
    pub kept: HashMap<String, Kept>,
    /// What is reserved for gangs that wait.
    pub reservations: HashMap<String, Reservation>,
    /// Where lesser work is being stopped for urgent jobs.
    pub making: Vec<Making>,
    /// Per class: how many jobs ended, and the sum of the logarithms of run over estimate.
    ratios: HashMap<String, (f64, f64)>,
}

impl Scheduler {
    pub fn runs(&mut self, spec: &JobSpec, kind: &str) -> &mut RunTimes {
        let known = self
            .runs
            .get(&spec.id)
            .is_some_and(|t| t.contains_key(kind));
        if !known {
            let scale = self.scale(&spec.class);
            let mut runs = RunTimes::seeded(spec.estimate_s, scale);
            // What an earlier leader saw counts as much as a few runs of our own.
            let seen = self.observed.get(&spec.id).copied();
            if let Some((n, sum)) = seen.filter(|s| s.0 > 0) {
                for _ in 0..n.min(k::INHERITED_RUNS) {
                    runs.record(sum / f64::from(n));
                }
            }
            let per_type = self.runs.entry(spec.id.clone()).or_default();
            per_type.insert(kind.into(), runs);
        }
        let per_type = self.runs.get_mut(&spec.id).expect("just inserted");
        per_type.get_mut(kind).expect("just inserted")
    }

    pub fn record(&mut self, spec: &JobSpec, kind: &str, run_s: f64) {
        self.runs(spec, kind).record(run_s);
        let o = self.observed.entry(spec.id.clone()).or_default();
        o.0 += 1;
        o.1 += run_s;
    }

    pub fn forget(&mut self, job: &str) {
        self.runs.remove(job);
        self.observed.remove(job);
    }

    /// Runs observed of a job and their mean.
    pub fn observed(&self, job: &str) -> (u32, f64) {
        let (n, sum) = self.observed.get(job).copied().unwrap_or_default();
        (n, sum / f64::from(n.max(1)))
    }

    /// What an earlier leader had observed of a job. Without it the histograms would start
    /// from estimates again, and wrong estimates drive drops and too small a fleet.
    pub fn inherit(&mut self, job: &str, runs: u32, run_s: f64) {
        if runs > 0 && run_s.is_finite() && run_s > 0.0 {
            let sum = run_s * f64::from(runs);
            self.observed.insert(job.into(), (runs, sum));
        }
    }

    pub fn seen(&self, spec: &JobSpec) -> Option<Seen> {
        let (n, mean) = self.observed(&spec.id);
        (n > 0 && spec.estimate_s > 0.0).then(|| Seen {
            class: spec.class.clone(),
            ratio: mean / spec.estimate_s,
        })
    }

    /// A job of the class ended: owners err alike on some days.
    pub fn learn(&mut self, class: &str, ratio: f64) {
        if ratio.is_finite() && ratio > 0.0 {
            let r = self.ratios.entry(class.into()).or_default();
            r.0 += 1.0;
            r.1 += ratio.ln();
        }
    }

    /// By how much the class's estimates are off, with a few jobs' worth of trust in them.
    pub fn scale(&self, class: &str) -> f64 {
        let (n, sum) = self.ratios.get(class).copied().unwrap_or_default();
        (sum / (n + k::ESTIMATE_TRUST)).exp()
    }

    /// The mean run time over the types seen so far, or the estimate.
    pub fn mean_s(&mut self, spec: &JobSpec) -> f64 {
        let guess = spec.estimate_s * self.scale(&spec.class);
        let Some(per_type) = self.runs.get_mut(&spec.id) else {
            return guess;
        };
        let best = per_type.values_mut().max_by_key(|r| r.observed);
        best.map_or(guess, RunTimes::mean_s)
    }
}

type Rank = (Priority, bool);

/// What a task takes and where it may go, as far as that says whether there is room for it:
/// jobs alike in this find room or none alike.
#[derive(Clone, PartialEq)]
struct Shape {
    size: (f64, f64, f64),
    types: Option<Vec<String>>,
    zone: Option<String>,
    spot: bool,
}

impl Shape {
    /// `None`: more than this decides.
    fn of(w: &Work) -> Option<Shape> {
        let s = &w.spec;
        (!s.one_zone && !s.spread && w.bad.is_empty()).then(|| Shape {
            size: (s.cpus, s.gpus, s.memory_gb),
            types: s.types.clone(),
            zone: s.zone.clone(),
            spot: s.spot,
        })
    }
}

/// Run times of one job on one machine type, as a mapping uses them.
struct Runs {
    run: Curve,
    cumulative: Curve,
    mean: f64,
}

/// A machine as one mapping sees it.
struct Seat {
    id: String,
    /// Its type's place in the catalogue.
    kind: usize,
    price: f64,
    spot: bool,
    /// The images it holds, by their number in this mapping.
    images: Vec<usize>,
    /// s a GB of an image takes to fetch.
    fetch_s_per_gb: f64,
    queue: Queue,
    /// Grows with every task put here: offers made before are out of date.
    changes: u32,
}

/// A job with waiting tasks, standing for each of them.
struct Candidate {
    spec: JobSpec,
    due: f64,
    left: usize,
    rank: Rank,
    /// Its image's number in this mapping.
    image: usize,
    /// By machine type.
    runs: Vec<Option<Runs>>,
    best: Option<Best>,
}

/// Numbers for the images that waiting jobs need: each is compared with all machines'.
#[derive(Default)]
struct Images(HashMap<String, usize>);

impl Images {
    fn number(&mut self, image: &str) -> usize {
        if let Some(n) = self.0.get(image) {
            return *n;
        }
        let n = self.0.len();
        self.0.insert(image.to_owned(), n);
        n
    }

    fn on(&self, m: &Machine) -> Vec<usize> {
        let known = m.images.iter();
        known.filter_map(|(i, _)| self.0.get(i).copied()).collect()
    }
}

impl Seat {
    /// Takes over what a placement changes of the machine, as far as offers depend on it.
    fn look(&mut self, m: &Machine, images: &Images, rate: f64) {
        self.images = images.on(m);
        self.fetch_s_per_gb = fetch_s_per_gb(m, rate);
    }

    fn fetch_s(&self, c: &Candidate) -> f64 {
        if self.images.contains(&c.image) {
            0.0
        } else {
            self.fetch_s_per_gb * c.spec.image_gb
        }
    }
}

/// Fetches at the same time share the rate.
fn fetch_s_per_gb(m: &Machine, rate: f64) -> f64 {
    let fetching = m.placements.iter().any(|p| p.phase == Phase::Fetching);
    let share = if fetching { 2.0 } else { 1.0 };
    share / rate.max(0.01)
}

#[derive(Clone, Copy)]
struct Best {
    seat: usize,
    /// The seat's changes when the offer was made.
    at: u32,
    offer: Offer,
}

impl Leader {
    /// Whether a machine takes new tasks at all.
    fn open(&self, ctx: &Ctx, m: &Machine) -> bool {
        m.life == Life::Up
            && !m.quiet(ctx.now.ms, ctx.set.report_s)
            && m.under_token
            && !m.far
            && m.trusted()
            && ctx.now.ms >= m.full_until
    }

    /// Whether a task of this job may go to that machine, which is open, room aside.
    fn suits(&self, m: &Machine, w: &Work) -> bool {
        let spec = &w.spec;
        (!m.spot || spec.spot)
            && spec.types.as_ref().is_none_or(|t| t.contains(&m.kind))
            && !w.bad.contains(&m.id)
            && zone_allows(&self.machines, w, &m.zone)
            && self.record_has_room(m, &spec.id)
    }

    pub fn usable(&self, ctx: &Ctx, m: &Machine, w: &Work) -> bool {
        self.open(ctx, m) && self.suits(m, w)
    }

    pub fn room(&self, m: &Machine, spec: &JobSpec) -> bool {
        let Some(kind) = self.kind(&m.kind) else {
            return false;
        };
        let (c, g, mem) = m.free(kind);
        c + k::EPSILON >= spec.cpus
            && g + k::EPSILON >= spec.gpus
            && mem + k::EPSILON >= spec.memory_gb
    }

    /// Whether one more task keeps its team within so many CPUs and cards, besides `extra`.
    fn within(&self, spec: &JobSpec, most: Option<(f64, f64)>, extra: (f64, f64)) -> bool {
        let (c, g) = self.machines.team(&spec.team);
        most.is_some_and(|most| {
            c + extra.0 + spec.cpus <= most.0 + k::EPSILON
                && g + extra.1 + spec.gpus <= most.1 + k::EPSILON
        })
    }

    /// Whether the team's limit leaves room for one more task, besides `extra` CPUs and cards.
    pub fn allows(&self, ctx: &Ctx, spec: &JobSpec, extra: (f64, f64)) -> bool {
        let team = ctx.set.team(&spec.team);
        self.within(spec, team.map(|t| (t.cpus_max, t.gpus_max)), extra)
    }

    /// Whether one more task stays within the team's guarantee.
    pub fn guaranteed(&self, ctx: &Ctx, spec: &JobSpec, extra: (f64, f64)) -> bool {
        let team = ctx.set.team(&spec.team);
        self.within(spec, team.map(|t| (t.cpus, t.gpus)), extra)
    }

    pub fn schedule(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.ms;
        if self.wake && now >= self.sched.place_at {
            self.sched.place_at = now + k::PLACE_MS;
            self.wake = false;
            self.place_now(ctx, true);
            self.place_gangs(ctx);
            let holding: Vec<String> = self
                .machines
                .values()
                .filter(|m| !m.held.is_empty())
                .map(|m| m.id.clone())
                .collect();
            for id in holding {
                self.promote(ctx, &id);
            }
        }
        if now >= self.sched.map_at {
            self.sched.map_at = now + ctx.set.tuning.map_ms;
            self.place_overdue(ctx);
            self.reserve_for_gangs(ctx);
            self.map_gangs(ctx);
            self.map(ctx);
            self.place_now(ctx, false);
            self.place_put_off(ctx);
            self.reclaim(ctx);
        }
    }

    /// Starts held tasks for which room has become free.
    pub fn promote(&mut self, ctx: &Ctx, id: &str) {
        loop {
            let Some(m) = self.machines.get(id) else {
                return;
            };
            let Some((job, index)) = m.held.first().cloned() else {
                return;
            };
            let start = match self.works.get(&job) {
                Some(w) => {
                    if !self.room(m, &w.spec)
                        || !self.usable(ctx, m, w)
                        || !self.allows(ctx, &w.spec, (0.0, 0.0))
                        || self.is_kept(id, &job)
                        || self.team_kept(&w.spec)
                        || self.is_made(ctx.now.ms, id)
                    {
                        return;
                    }
                    true
                }
                None => false,
            };
            if let Some(mut m) = self.machines.edit(id) {
                m.held.remove(0);
            }
            if start && !self.place(id, &job, index) {
                self.back(&job, index);
                return;
            }
        }
    }

    /// First fit: the soonest start, then the cheaper machine, then the tighter fit.
    pub fn first_fit(&self, m: &Machine, spec: &JobSpec) -> (i64, i64, i64) {
        let kind = self.kind(&m.kind);
        let free = kind.map_or(0.0, |t| m.free(t).0);
        let price = kind.map_or(0.0, |t| t.price_per_cpu(m.spot));
        let fetch = self.fetch_s(m, spec).round() as i64;
        (fetch, (price * 1e4) as i64, (free * 100.0) as i64)
    }

    /// First fit for work without a deadline, late or dropped. `urgent`: only what may not wait
    /// for the next mapping; it may also push lesser work aside.
    fn place_now(&mut self, ctx: &Ctx, urgent: bool) {
        let now = ctx.now.ms;
        let mut order: Vec<(Rank, u64, String)> = self
            .works
            .iter()
            .filter(|(_, w)| !w.pending.is_empty() && !w.ending && now >= w.retry_at)
            .filter(|(_, w)| {
                if urgent {
                    immediate(w) && w.urgent()
                } else {
                    immediate(w)
                        || w.due_s(ctx.now.wall_ms).is_some_and(|d| d <= 0.0)
                        || !w.dropped.is_empty()
                }
            })
            .map(|(id, w)| {
                let rank = (w.spec.priority, self.guaranteed(ctx, &w.spec, (0.0, 0.0)));
                (rank, w.at, id.clone())
            })
            .collect();
        order.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
        if order.is_empty() {
            return;
        }
        let roomy = self.roomy(ctx);
        // Room that is being made for some of them already.
        let mut claims = self.claims(now);
        let mut none: Vec<Shape> = vec![];
        let mut hopeless: Vec<Shape> = vec![];
        for (_, _, job) in order {
            let Some(shape) = self.works.get(&job).map(Shape::of) else {
                continue;
            };
            let full = shape.as_ref().is_some_and(|s| none.contains(s));
            if !full && self.fill(ctx, &job, urgent, &roomy) {
                continue;
            }
            let Some(w) = self.works.get(&job) else {
                continue;
            };
            let making = self.sched.making.iter().any(|m| m.job == job);
            let hopeless_now = shape.as_ref().is_some_and(|s| hopeless.contains(s));
            if urgent
                && !making
                && !hopeless_now
                && self.allows(ctx, &w.spec, (0.0, 0.0))
                && !self.preempt(ctx, &job, &mut claims, false)
            {
                hopeless.extend(shape.clone());
            }
            none.extend(shape);
        }
    }

    /// Places tasks of a job first fit. False: there is no room for the next one.
    fn fill(&mut self, ctx: &Ctx, job: &str, urgent: bool, roomy: &[String]) -> bool {
        let mut target: Option<String> = None;
        loop {
            let Some(w) = self.works.get(job) else {
                return true;
            };
            let late = w.due_s(ctx.now.wall_ms).is_some_and(|d| d <= 0.0);
            // Also when its turn comes with the others: room kept for lesser work must not stop it.
            let urgent = urgent || immediate(w) && w.urgent();
            let index = if immediate(w) || late {
                w.pending.first().copied()
            } else {
                w.next_dropped()
            };
            let Some(index) = index else { return true };
            let spec = &w.spec;
            if !self.allows(ctx, spec, (0.0, 0.0)) || !urgent && self.team_kept(spec) {
                return true;
            }
            // Urgent work first pushes lesser work aside elsewhere: a gang's room takes long to gather.
            let age = ctx.now.wall_ms.saturating_sub(w.at);
            let spares_gangs = urgent && age < k::RESERVED_WAIT_MS;
            let takes = |m: &Machine| {
                (m.held.is_empty() || urgent)
                    && self.room(m, spec)
                    && self.usable(ctx, m, w)
                    && (urgent || !self.is_kept(&m.id, job) && !self.is_made(ctx.now.ms, &m.id))
                    && !(spares_gangs && self.is_reserved(&m.id, job))
            };
            // Once one of its tasks is there, a machine is the best for the next as well.
            let same = target
                .take()
                .filter(|id| self.machines.get(id).is_some_and(takes));
            target = same.or_else(|| {
                let roomy = roomy.iter().filter_map(|id| self.machines.get(id));
                let best = roomy.filter(|m| takes(m));
                let best = best.min_by_key(|m| self.first_fit(m, spec));
                best.map(|m| m.id.clone())
            });
            let Some(id) = &target else { return false };
            let id = id.clone();
            if !self.place(&id, job, index) {
                return false;
            }
        }
    }

    /// Machines with any room: looked for once, not for each task.
    pub fn roomy(&self, ctx: &Ctx) -> Vec<String> {
        let open = self.machines.values().filter(|m| self.open(ctx, m));
        open.filter(|m| self.kind(&m.kind).is_some_and(|t| m.free(t).0 > k::EPSILON))
            .map(|m| m.id.clone())
            .collect()
    }

    /// One mapping event.
    fn map(&mut self, ctx: &Ctx) {
        let wall = ctx.now.wall_ms;
        // Misses since the last mapping feed the toggle.
        let mut misses = 0;
        for w in self.works.values_mut() {
            if !w.missed && w.due_s(wall).is_some_and(|d| d <= 0.0) {
                w.missed = true;
                misses += (w.spec.tasks - w.done_count) as usize;
            }
        }
        let was = self.sched.pruner.toggle;
        self.sched.pruner.count_misses(misses);
        if was != self.sched.pruner.toggle {
            log::info!("pruning toggle {:?} -> {:?}", was, self.sched.pruner.toggle);
        }
        let (mut seats, robustness) = self.seats(ctx);
        let mut images = Images::default();
        let mut cands = self.candidates(ctx, &seats, &mut images);
        for s in &mut seats {
            if let Some(m) = self.machines.get(&s.id) {
                s.look(m, &images, self.catalog.types[s.kind].fetch_gb_per_s);
            }
        }
        let waiting: usize = cands.iter().map(|c| c.left).sum();
        for c in &mut cands {
            c.best = self.best_offer(&mut seats, c);
        }
        let threshold = {
            let smallest = cands.iter().map(|c| c.spec.cpus).fold(f64::MAX, f64::min);
            let free_slots: usize = seats
                .iter()
                .map(|s| {
                    let now_free = (s.queue.cpus.max(0.0) / smallest.max(0.1)) as usize;
                    now_free + k::HELD.saturating_sub(s.queue.held)
                })
                .sum();
            let old = self.sched.pruner.deferring;
            let passing = cands
                .iter()
                .filter(|c| c.best.as_ref().is_some_and(|b| b.offer.chance >= old))
                .map(|c| c.left)
                .sum();
            self.sched
                .pruner
                .adjust(waiting, free_slots, passing, robustness);
            self.sched.pruner.deferring
        };
        // What this mapping holds for teams, besides what is placed.
        let mut extra: HashMap<String, (f64, f64)> = HashMap::new();
        loop {
            let mut rank: Option<Rank> = None;
            let mut open = vec![false; cands.len()];
            for (i, c) in cands.iter_mut().enumerate() {
                if c.left == 0 || c.best.as_ref().is_none_or(|b| b.offer.chance < threshold) {
                    continue;
                }
                let e = extra.get(&c.spec.team).copied().unwrap_or_default();
                if self.allows(ctx, &c.spec, e) && !self.team_kept(&c.spec) {
                    c.rank.1 = self.guaranteed(ctx, &c.spec, e);
                    open[i] = true;
                    rank = rank.max(Some(c.rank));
                }
            }
            let Some(rank) = rank else { break };
            let offers = cands
                .iter()
                .enumerate()
                .filter(|(i, c)| open[*i] && c.rank == rank)
                .filter_map(|(i, c)| Some((i, c.best.as_ref()?.offer)));
            let Some((i, _)) = soonest(offers) else { break };
            let c = &mut cands[i];
            let Some(best) = c.best else { break };
            // Offers only get worse while tasks are put on queues: so it is enough to look
            // again at the one that would be next.
            let zoned = c.spec.one_zone || c.spec.spread;
            if seats[best.seat].changes != best.at || zoned && c.left > 0 && !self.fits(&seats, c) {
                c.best = self.best_offer(&mut seats, c);
                continue;
            }
            let seat = &mut seats[best.seat];
            let (cpus, gpus, memory) = (c.spec.cpus, c.spec.gpus, c.spec.memory_gb);
            let Some(start) = seat.queue.start(cpus, gpus, memory) else {
                c.best = None;
                continue;
            };
            let (Some(w), Some(m)) = (self.works.get(&c.spec.id), self.machines.get(&seat.id))
            else {
                break;
            };
            let Some(index) = w.next_fresh() else {
                c.left = 0;
                continue;
            };
            c.left -= 1;
            let Some(runs) = &c.runs[seat.kind] else {
                continue;
            };
            let end = match &start.wait {
                None => runs.run.shift(self.fetch_s(m, &c.spec)),
                Some(at) => at.curve.convolve(&runs.run),
            };
            let (id, job) = (seat.id.clone(), c.spec.id.clone());
            if start.wait.is_none() {
                if !self.place(&id, &job, index) {
                    continue;
                }
            } else {
                let e = extra.entry(c.spec.team.clone()).or_default();
                *e = (e.0 + cpus, e.1 + gpus);
                if let Some(w) = self.works.get_mut(&job) {
                    w.take(index);
                }
                if let Some(mut m) = self.machines.edit(&id) {
                    m.held.push((job.clone(), index));
                }
            }
            seat.queue.push(&start, end, cpus, gpus, memory);
            seat.changes += 1;
            if let Some(m) = self.machines.get(&id) {
                seat.look(m, &images, self.catalog.types[seat.kind].fetch_gb_per_s);
            }
        }
    }

    /// Whether a job's best machine is still in a zone where the job may go.
    fn fits(&self, seats: &[Seat], c: &Candidate) -> bool {
        let place = c.best.and_then(|b| self.machines.get(&seats[b.seat].id));
        let work = self.works.get(&c.spec.id);
        matches!((place, work), (Some(m), Some(w)) if zone_allows(&self.machines, w, &m.zone))
    }

    /// What waits and may still be in time, a job standing for its like tasks.
    fn candidates(&mut self, ctx: &Ctx, seats: &[Seat], images: &mut Images) -> Vec<Candidate> {
        let now = ctx.now.ms;
        let mut present = vec![false; self.catalog.types.len()];
        for s in seats {
            present[s.kind] = true;
        }
        let mut out = vec![];
        for w in self.works.values() {
            if immediate(w) || w.ending || now < w.retry_at || w.pending.is_empty() {
                continue;
            }
            let Some(due) = w.due_s(ctx.now.wall_ms).filter(|d| *d > 0.0) else {
                continue;
            };
            let left = w.fresh();
            if left == 0 {
                continue;
            }
            let sched = &mut self.sched;
            let runs = self.catalog.types.iter().zip(&present).map(|(t, here)| {
                let suits = w.spec.types.as_ref().is_none_or(|l| l.contains(&t.name));
                (*here && suits).then(|| {
                    let r = sched.runs(&w.spec, &t.name);
                    Runs {
                        run: r.run().clone(),
                        cumulative: r.cumulative().clone(),
                        mean: r.mean_s(),
                    }
                })
            });
            out.push(Candidate {
                due,
                left,
                rank: (w.spec.priority, false),
                image: images.number(&w.spec.image),
                runs: runs.collect(),
                best: None,
                spec: w.spec.clone(),
            });
        }
        out
    }

    pub fn fetch_s(&self, m: &Machine, spec: &JobSpec) -> f64 {
        if m.has_image(&spec.image) {
            return 0.0;
        }
        let rate = self.kind(&m.kind).map_or(1.0, |t| t.fetch_gb_per_s);
        fetch_s_per_gb(m, rate) * spec.image_gb
    }

    /// The machine with the best chance for the job's next task.
    fn best_offer(&self, seats: &mut [Seat], c: &Candidate) -> Option<Best> {
        let w = self.works.get(&c.spec.id)?;
        let spec = &c.spec;
        let mut best: Option<Best> = None;
        for (i, seat) in seats.iter_mut().enumerate() {
            let Some(runs) = &c.runs[seat.kind] else {
                continue;
            };
            if seat.spot && !spec.spot {
                continue;
            }
            let start = seat.queue.start(spec.cpus, spec.gpus, spec.memory_gb);
            let Some(Start { wait, .. }) = start else {
                continue;
            };
            let fetch = seat.fetch_s(c);
            // What no wait can better; the full sum is made only where it can matter.
            let (earliest, mean) = wait.as_ref().map_or((0.0, 0.0), |w| (w.earliest, w.mean));
            let bound = runs.cumulative.by(fetch + earliest, c.due);
            let finish = mean + fetch + runs.mean;
            let bound = if wait.is_some() {
                bound + k::CHANCE_STEP
            } else {
                bound
            };
            if best
                .as_ref()
                .is_some_and(|b| !b.offer.beatable(bound, finish))
            {
                continue;
            }
            let offer = Offer {
                // The image comes while the task waits, or after: a bound is enough here.
                chance: match &wait {
                    None => runs.cumulative.by(fetch, c.due),
                    Some(at) => at.curve.chance(&runs.cumulative, c.due - fetch),
                },
                finish,
                price: seat.price,
                spare: seat.queue.cpus - spec.cpus,
            };
            let better = best.as_ref().is_none_or(|b| offer.beats(&b.offer));
            let suits = || {
                let m = self.machines.get(&seat.id);
                m.is_some_and(|m| self.suits(m, w)) && !self.is_kept(&seat.id, &spec.id)
            };
            if better && suits() {
                best = Some(Best {
                    seat: i,
                    at: seat.changes,
                    offer,
                });
            }
        }
        best
    }

    /// Every open machine's queue with its tail curves. Held tasks below the drop threshold
    /// leave while the toggle is on. Also returns the instantaneous robustness.
    fn seats(&mut self, ctx: &Ctx) -> (Vec<Seat>, f64) {
        let now = ctx.now.ms;
        let wall = ctx.now.wall_ms;
        let mut out = vec![];
        let (mut sum, mut count) = (0.0, 0usize);
        let ids: Vec<String> = self
            .machines
            .values()
            .filter(|m| m.life == Life::Up && !m.quiet(now, ctx.set.report_s))
            .map(|m| m.id.clone())
            .collect();
        for id in ids {
            let Some(m) = self.machines.get(&id) else {
                continue;
            };
            let types = &self.catalog.types;
            let Some(at) = types.iter().position(|t| t.name == m.kind) else {
                continue;
            };
            let kind = &types[at];
            let (cpus, gpus, memory) = m.free(kind);
            let mut q = Queue::with_room(cpus, gpus, memory);
            let (price, spot) = (kind.price_per_cpu(m.spot), m.spot);
            for p in m.placements.iter().filter(|p| p.present()) {
                let Some(w) = self.works.get(&p.job) else {
                    // Ended: it leaves within moments.
                    q.slots
                        .push(Slot::new(Curve::at(1.0), p.cpus, p.gpus, p.memory));
                    continue;
                };
                if w.spec.kind == JobKind::Service {
                    continue;
                }
                let runs = self.sched.runs(&w.spec, &kind.name);
                let end = match p.running_at {
                    Some(t) => runs.left(now.saturating_sub(t) as f64 / 1e3),
                    None => runs.run().clone(),
                };
                if let Some(due) = w.due_s(wall) {
                    sum += end.sum_to(due);
                    count += 1;
                }
                q.slots.push(Slot::new(end, p.cpus, p.gpus, p.memory));
            }
            q.slots.sort_by(|a, b| a.mean.total_cmp(&b.mean));
            let open = self.open(ctx, m) && !self.is_made(now, &id);
            let held = m.held.clone();
            let mut kept = vec![];
            let last = held.len();
            for (position, (job, index)) in held.iter().cloned().enumerate() {
                let Some(w) = self.works.get(&job) else {
                    continue;
                };
                let spec = &w.spec;
                let due = w.due_s(wall).unwrap_or(0.0);
                let Some(start) = q.start(spec.cpus, spec.gpus, spec.memory_gb) else {
                    self.works.get_mut(&job).expect("seen").give_back(index);
                    continue;
                };
                let on = self.sched.pruner.toggle == Toggle::On;
                let runs = self.sched.runs(spec, &kind.name);
                // The whole curve only where something follows from it: a task behind this one,
                // or the drop threshold.
                let whole = on || position + 1 < last || last < k::HELD;
                let end = match &start.wait {
                    None => runs.run().clone(),
                    Some(at) if whole => at.curve.convolve(runs.run()),
                    Some(at) => at.curve.shift(runs.mean_s()),
                };
                let chance = match &start.wait {
                    Some(at) if !whole => at.curve.chance(runs.cumulative(), due),
                    _ => end.sum_to(due),
                };
                let drop = on && chance < Pruner::drop_threshold(end.skewness(), position + 1);
                if drop || due <= 0.0 {
                    log::info!("{job}/{index} leaves the queue of {id}: chance {chance:.2}");
                    let w = self.works.get_mut(&job).expect("seen");
                    w.give_back(index);
                    if drop {
                        w.dropped.insert(index);
                    }
                    continue;
                }
                sum += chance;
                count += 1;
                q.push(&start, end, spec.cpus, spec.gpus, spec.memory_gb);
                kept.push((job, index));
            }
            if kept != held {
                if let Some(mut m) = self.machines.edit(&id) {
                    m.held = kept;
                }
            }
            if open {
                out.push(Seat {
                    id,
                    kind: at,
                    price,
                    spot,
                    images: vec![],
                    fetch_s_per_gb: 0.0,
                    queue: q,
                    changes: 0,
                });
            }
        }
        (out, if count == 0 { 1.0 } else { sum / count as f64 })
    }
}
