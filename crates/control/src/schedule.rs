//! What runs where. Deadline work by the design's rules: once a second each task picks its
//! best-chance machine and the soonest-finishing pair goes first; what is below the deferring
//! threshold waits; held tasks below the drop threshold leave their queue while the toggle is
//! on. Everything else fills leftover room first fit.
use crate::api::Ms;
use crate::leader::{immediate, zone_allows, Ctx, Leader};
use crate::ledger::{team_usage, Life, Machine, Phase, Work};
use crate::records::Seen;
use std::collections::{BTreeMap, HashMap};
use stonegw_constants as k;
use stonegw_sched::curve::Curve;
use stonegw_sched::pam::{soonest, Offer, Queue, Slot};
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
    /// Per class: how many jobs ended, and the sum of the logarithms of run over estimate.
    ratios: HashMap<String, (f64, f64)>,
}

impl Scheduler {
    pub fn runs(&mut self, spec: &JobSpec, kind: &str) -> &mut RunTimes {
        let scale = self.scale(&spec.class);
        let seen = self.observed.get(&spec.id).copied();
        let per_type = self.runs.entry(spec.id.clone()).or_default();
        if !per_type.contains_key(kind) {
            let mut runs = RunTimes::seeded(spec.estimate_s, scale);
            // What an earlier leader saw counts as much as a few runs of our own.
            if let Some((n, sum)) = seen.filter(|s| s.0 > 0) {
                for _ in 0..n.min(k::INHERITED_RUNS) {
                    runs.record(sum / f64::from(n));
                }
            }
            per_type.insert(kind.into(), runs);
        }
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
    pub fn mean_s(&self, spec: &JobSpec) -> f64 {
        let guess = spec.estimate_s * self.scale(&spec.class);
        let Some(per_type) = self.runs.get(&spec.id) else {
            return guess;
        };
        let best = per_type.values().max_by_key(|r| r.observed);
        best.map_or(guess, RunTimes::mean_s)
    }
}

/// How much each team may still take.
struct Teams<'a> {
    ctx: &'a crate::settings::Settings,
    used: HashMap<String, (f64, f64)>,
}

impl Teams<'_> {
    fn allows(&self, spec: &JobSpec) -> bool {
        let Some(t) = self.ctx.team(&spec.team) else {
            return false;
        };
        let (c, g) = self.used.get(&spec.team).copied().unwrap_or_default();
        c + spec.cpus <= t.cpus_max + k::EPSILON && g + spec.gpus <= t.gpus_max + k::EPSILON
    }

    fn within_guarantee(&self, spec: &JobSpec) -> bool {
        let Some(t) = self.ctx.team(&spec.team) else {
            return false;
        };
        let (c, g) = self.used.get(&spec.team).copied().unwrap_or_default();
        c + spec.cpus <= t.cpus + k::EPSILON && g + spec.gpus <= t.gpus + k::EPSILON
    }

    fn take(&mut self, spec: &JobSpec) {
        let u = self.used.entry(spec.team.clone()).or_default();
        u.0 += spec.cpus;
        u.1 += spec.gpus;
    }
}

type Rank = (Priority, bool);

impl Leader {
    /// Whether a task of this job may go to that machine, room aside.
    fn usable(&self, ctx: &Ctx, m: &Machine, w: &Work) -> bool {
        let spec = &w.spec;
        m.life == Life::Up
            && !m.quiet(ctx.now.ms, ctx.set.report_s)
            && m.under_token
            && !m.far
            && (!m.spot || spec.spot)
            && spec.types.as_ref().is_none_or(|t| t.contains(&m.kind))
            && ctx.now.ms >= m.full_until
            && !w.bad.contains(&m.id)
            && m.record_bytes(&spec.team) < ctx.set.value_bytes
            && zone_allows(&self.machines, w, &m.zone)
    }

    fn room(&self, m: &Machine, spec: &JobSpec) -> bool {
        let Some(kind) = self.kind(&m.kind) else {
            return false;
        };
        let (c, g, mem) = m.free(kind);
        c + k::EPSILON >= spec.cpus
            && g + k::EPSILON >= spec.gpus
            && mem + k::EPSILON >= spec.memory_gb
    }

    fn teams<'a>(&self, ctx: &Ctx<'a>) -> Teams<'a> {
        Teams {
            ctx: ctx.set,
            used: team_usage(&self.machines),
        }
    }

    pub fn schedule(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.ms;
        if self.wake && now >= self.sched.place_at {
            self.sched.place_at = now + k::PLACE_MS;
            self.wake = false;
            let ids: Vec<String> = self.machines.keys().cloned().collect();
            self.place_now(ctx, true);
            for id in ids {
                self.promote(ctx, &id);
            }
        }
        if now >= self.sched.map_at {
            self.sched.map_at = now + ctx.set.tuning.map_ms;
            self.map(ctx);
            self.place_now(ctx, false);
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
            let Some(w) = self.works.get(&job) else {
                self.machines.get_mut(id).expect("seen").held.remove(0);
                continue;
            };
            if !self.room(m, &w.spec) || !self.usable(ctx, m, w) || !self.teams(ctx).allows(&w.spec)
            {
                return;
            }
            self.machines.get_mut(id).expect("seen").held.remove(0);
            self.place(id, &job, index);
        }
    }

    /// First fit for work without a deadline, late or dropped. `urgent`: only what may not wait
    /// for the next mapping; it may also push lesser work aside.
    fn place_now(&mut self, ctx: &Ctx, urgent: bool) {
        let now = ctx.now.ms;
        let mut teams = self.teams(ctx);
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
                let rank = (w.spec.priority, teams.within_guarantee(&w.spec));
                (rank, w.at, id.clone())
            })
            .collect();
        order.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut claimed: HashMap<String, (f64, f64, f64)> = HashMap::new();
        for (_, _, job) in order {
            while let Some(w) = self.works.get(&job) {
                let late = w.due_s(ctx.now.wall_ms).is_some_and(|d| d <= 0.0);
                let index = if immediate(w) || late {
                    w.pending.front().copied()
                } else {
                    w.pending.iter().find(|n| w.dropped.contains(n)).copied()
                };
                let Some(index) = index else { break };
                if !teams.allows(&w.spec) {
                    break;
                }
                let spec = w.spec.clone();
                let fit = self
                    .machines
                    .values()
                    .filter(|m| {
                        (m.held.is_empty() || urgent)
                            && self.room(m, &spec)
                            && self.usable(ctx, m, w)
                    })
                    .min_by(|a, b| {
                        // The soonest start, then the cheaper machine, then the tighter fit.
                        let key = |m: &Machine| {
                            let kind = self.kind(&m.kind);
                            let free = kind.map_or(0.0, |t| m.free(t).0);
                            let price = kind.map_or(0.0, |t| t.price_per_cpu(m.spot));
                            let fetch = self.fetch_s(&m.id, &spec).round() as i64;
                            (fetch, (price * 1e4) as i64, (free * 100.0) as i64)
                        };
                        key(a).cmp(&key(b))
                    })
                    .map(|m| m.id.clone());
                match fit {
                    Some(id) => {
                        teams.take(&spec);
                        self.place(&id, &job, index);
                    }
                    None => {
                        if urgent {
                            self.preempt(ctx, &job, &mut claimed, false);
                        }
                        break;
                    }
                }
            }
        }
    }

    /// Stops work of lower priority where that loses least, so that an urgent task can start.
    fn preempt(
        &mut self,
        ctx: &Ctx,
        job: &str,
        claimed: &mut HashMap<String, (f64, f64, f64)>,
        guarantee: bool,
    ) -> bool {
        let now = ctx.now.ms;
        let Some(w) = self.works.get(job) else {
            return false;
        };
        let spec = w.spec.clone();
        // What teams keep, not counting what is being stopped.
        let mut used: HashMap<&str, f64> = HashMap::new();
        for p in self.machines.values().flat_map(|m| &m.placements) {
            if p.present() && p.stop.is_none() {
                *used.entry(&p.team).or_default() += p.cpus;
            }
        }
        let mut best: Option<(u64, String, Vec<u64>)> = None;
        for m in self.machines.values() {
            let Some(kind) = self.kind(&m.kind) else {
                continue;
            };
            if !self.usable(ctx, m, w) {
                continue;
            }
            let (mut c, mut g, mut mem) = m.free(kind);
            let taken = claimed.get(&m.id).copied().unwrap_or_default();
            c -= taken.0;
            g -= taken.1;
            mem -= taken.2;
            let mut victims = vec![];
            let mut out: HashMap<String, f64> = HashMap::new();
            for p in m.placements.iter().filter(|p| p.present()) {
                if p.stop.is_some() {
                    c += p.cpus;
                    g += p.gpus;
                    mem += p.memory;
                } else if let Some(v) = self.works.get(&p.job) {
                    // Beyond lower priority, only what another team runs above its guarantee.
                    let excess = guarantee
                        && v.spec.team != spec.team
                        && v.spec.kind != JobKind::Service
                        && p.running_at.is_none_or(|t| now < t + k::GUARANTEE_LOSS_MS)
                        && ctx.set.team(&v.spec.team).is_some_and(|t| {
                            let kept = used.get(v.spec.team.as_str()).copied().unwrap_or(0.0);
                            let going = out.entry(v.spec.team.clone()).or_insert(0.0);
                            *going += p.cpus;
                            kept - *going >= t.cpus - k::EPSILON
                        });
                    if (v.spec.priority < spec.priority || excess) && p.phase != Phase::Saving {
                        let ran = p.running_at.map_or(0, |t| now.saturating_sub(t));
                        victims.push((ran, p));
                    }
                }
            }
            victims.sort_by_key(|(ran, _)| *ran);
            // An urgent task's wait for its image weighs more than the run time lost.
            let fetch = self.fetch_s(&m.id, &spec);
            let (mut cost, mut stops) = ((fetch * k::FETCH_WEIGHT * 1e3) as u64, vec![]);
            let fits = |c: f64, g: f64, mem: f64| {
                c + k::EPSILON >= spec.cpus
                    && g + k::EPSILON >= spec.gpus
                    && mem + k::EPSILON >= spec.memory_gb
            };
            for (ran, p) in victims {
                if fits(c, g, mem) {
                    break;
                }
                c += p.cpus;
                g += p.gpus;
                mem += p.memory;
                cost += ran + 1;
                stops.push(p.attempt);
            }
            if fits(c, g, mem) && best.as_ref().is_none_or(|b| cost < b.0) {
                best = Some((cost, m.id.clone(), stops));
            }
        }
        let Some((cost, id, stops)) = best else {
            return false;
        };
        let claim = claimed.entry(id.clone()).or_default();
        claim.0 += spec.cpus;
        claim.1 += spec.gpus;
        claim.2 += spec.memory_gb;
        if !stops.is_empty() {
            log::info!(
                "{job} pushes {} tasks aside on {id}, cost {cost} ms",
                stops.len()
            );
        }
        let Some(m) = self.machines.get_mut(&id) else {
            return false;
        };
        if guarantee {
            // Held tasks must not take the room that is being made.
            for (job, index) in std::mem::take(&mut m.held) {
                if let Some(w) = self.works.get_mut(&job) {
                    w.give_back(index);
                }
            }
        }
        for p in m
            .placements
            .iter_mut()
            .filter(|p| stops.contains(&p.attempt))
        {
            let saves = self.works.get(&p.job).map_or(0.0, |v| {
                if v.spec.checkpoint_s > 0.0 {
                    v.spec.save_s + k::WIND_DOWN_MARGIN_S
                } else {
                    0.0
                }
            });
            p.stop = Some(saves);
        }
        true
    }

    /// One mapping event.
    fn map(&mut self, ctx: &Ctx) {
        let now = ctx.now.ms;
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
        let (mut queues, robustness) = self.queues(ctx);
        let mut teams = self.teams(ctx);

        // What waits, a job standing for its like tasks.
        struct Cand {
            job: String,
            spec: JobSpec,
            due: f64,
            left: usize,
            rank: Rank,
            best: Option<(String, Offer)>,
        }
        let mut cands: Vec<Cand> = self
            .works
            .iter()
            .filter(|(_, w)| !immediate(w) && !w.ending && now >= w.retry_at)
            .filter_map(|(id, w)| {
                let due = w.due_s(wall).filter(|d| *d > 0.0)?;
                let left = w.pending.len().saturating_sub(w.dropped.len());
                (left > 0).then(|| Cand {
                    job: id.clone(),
                    spec: w.spec.clone(),
                    due,
                    left,
                    rank: (w.spec.priority, false),
                    best: None,
                })
            })
            .collect();
        let waiting: usize = cands.iter().map(|c| c.left).sum();
        for c in &mut cands {
            c.best = self.best_offer(ctx, &queues, &c.job, c.due);
        }
        let threshold = {
            let smallest = cands.iter().map(|c| c.spec.cpus).fold(f64::MAX, f64::min);
            let free_slots: usize = queues
                .values()
                .map(|q| {
                    let now_free = (q.cpus.max(0.0) / smallest.max(0.1)) as usize;
                    now_free + k::HELD.saturating_sub(q.held)
                })
                .sum();
            let old = self.sched.pruner.deferring;
            let passing = cands
                .iter()
                .filter(|c| c.best.as_ref().is_some_and(|b| b.1.chance >= old))
                .map(|c| c.left)
                .sum();
            self.sched
                .pruner
                .adjust(waiting, free_slots, passing, robustness);
            self.sched.pruner.deferring
        };
        loop {
            for c in &mut cands {
                c.rank.1 = teams.within_guarantee(&c.spec);
            }
            let open = |c: &&Cand| {
                c.left > 0
                    && teams.allows(&c.spec)
                    && c.best.as_ref().is_some_and(|b| b.1.chance >= threshold)
            };
            let Some(rank) = cands.iter().filter(open).map(|c| c.rank).max() else {
                break;
            };
            let offers = cands
                .iter()
                .enumerate()
                .filter(|(_, c)| open(c) && c.rank == rank)
                .filter_map(|(i, c)| Some((i, c.best.as_ref()?.1)));
            let Some((i, _)) = soonest(offers) else { break };
            let c = &mut cands[i];
            let Some((id, _)) = c.best.clone() else { break };
            let spec = c.spec.clone();
            let Some(q) = queues.get_mut(&id) else { break };
            let Some(start) = q.start(spec.cpus, spec.gpus, spec.memory_gb) else {
                c.best = None;
                continue;
            };
            let Some(w) = self.works.get(&c.job) else {
                break;
            };
            let next = w.pending.iter().find(|n| !w.dropped.contains(n)).copied();
            let Some(index) = next else {
                c.left = 0;
                continue;
            };
            c.left -= 1;
            let fetch = self.fetch_s(&id, &spec);
            let kind = self
                .machines
                .get(&id)
                .map_or(String::new(), |m| m.kind.clone());
            let run = self.sched.runs(&spec, &kind).run().clone();
            let end = match &start.curve {
                None => run.shift(fetch),
                Some(at) => at.convolve(&run),
            };
            let q = queues.get_mut(&id).expect("seen");
            q.push(&start, end, spec.cpus, spec.gpus, spec.memory_gb);
            teams.take(&spec);
            let job = c.job.clone();
            if start.curve.is_none() {
                self.place(&id, &job, index);
            } else {
                if let Some(w) = self.works.get_mut(&job) {
                    w.take(index);
                }
                if let Some(m) = self.machines.get_mut(&id) {
                    m.held.push((job.clone(), index));
                }
            }
            // Only offers on that machine changed, and of that job where zones matter.
            for c in &mut cands {
                let here = c.best.as_ref().is_some_and(|b| b.0 == id);
                let zoned = c.job == job && (c.spec.one_zone || c.spec.spread);
                if c.left > 0 && (here || zoned) {
                    c.best = self.best_offer(ctx, &queues, &c.job, c.due);
                }
            }
        }
    }

    /// Work within its team's guarantee that found no room: other teams return what they borrow,
    /// the tasks that have run least.
    fn reclaim(&mut self, ctx: &Ctx) {
        let mut teams = self.teams(ctx);
        let mut claimed = HashMap::new();
        let waiting: Vec<(String, JobSpec, usize)> = self
            .works
            .iter()
            .filter(|(_, w)| !w.ending && ctx.now.ms >= w.retry_at && w.spec.deadline_s.is_some())
            .filter(|(_, w)| {
                let age = ctx.now.wall_ms.saturating_sub(w.at);
                age > k::GUARANTEE_WAIT_MS && w.due_s(ctx.now.wall_ms).is_some_and(|d| d > 0.0)
            })
            .map(|(id, w)| {
                let n = w.pending.len().saturating_sub(w.dropped.len());
                (id.clone(), w.spec.clone(), n)
            })
            .collect();
        let mut left = k::GUARANTEE_STEP;
        for (job, spec, n) in waiting {
            // What the threshold holds back anyway must not push others aside for nothing.
            let due = self.works.get(&job).and_then(|w| w.due_s(ctx.now.wall_ms));
            let kind = self.machines.values().find(|m| m.life == Life::Up);
            let kind = kind.map_or(String::new(), |m| m.kind.clone());
            let runs = self.sched.runs(&spec, &kind);
            let chance = Curve::at(0.0).chance(runs.cumulative(), due.unwrap_or(0.0));
            if chance < self.sched.pruner.deferring {
                continue;
            }
            for _ in 0..n {
                if left == 0 || !teams.within_guarantee(&spec) || !teams.allows(&spec) {
                    break;
                }
                left -= 1;
                if !self.preempt(ctx, &job, &mut claimed, true) {
                    break;
                }
                teams.take(&spec);
            }
        }
    }

    fn fetch_s(&self, machine: &str, spec: &JobSpec) -> f64 {
        let Some(m) = self.machines.get(machine) else {
            return 0.0;
        };
        if m.has_image(&spec.image) {
            return 0.0;
        }
        let rate = self.kind(&m.kind).map_or(1.0, |t| t.fetch_gb_per_s);
        // Fetches at the same time share the rate.
        let fetching = m.placements.iter().any(|p| p.phase == Phase::Fetching);
        let share = if fetching { 2.0 } else { 1.0 };
        share * spec.image_gb / rate.max(0.01)
    }

    fn best_offer(
        &mut self,
        ctx: &Ctx,
        queues: &BTreeMap<String, Queue>,
        job: &str,
        due: f64,
    ) -> Option<(String, Offer)> {
        let spec = self.works.get(job)?.spec.clone();
        let mut best: Option<(String, Offer)> = None;
        for (id, q) in queues {
            let Some(start) = q.start(spec.cpus, spec.gpus, spec.memory_gb) else {
                continue;
            };
            let (Some(m), Some(w)) = (self.machines.get(id), self.works.get(job)) else {
                continue;
            };
            if !self.usable(ctx, m, w) {
                continue;
            }
            let kind = m.kind.clone();
            let fetch = self.fetch_s(id, &spec);
            let spare = q.cpus - spec.cpus;
            let price = self.kind(&kind).map_or(0.0, |t| t.price_per_cpu(m.spot));
            let runs = self.sched.runs(&spec, &kind);
            let mean = runs.mean_s();
            let offer = match &start.curve {
                None => Offer {
                    chance: Curve::at(fetch).chance(runs.cumulative(), due),
                    finish: fetch + mean,
                    price,
                    spare,
                },
                // The image comes while the task waits, or after: a bound is enough here.
                Some(at) => {
                    let wait = at.mean();
                    Offer {
                        chance: at.chance(runs.cumulative(), due - fetch),
                        finish: wait + fetch + mean,
                        price,
                        spare,
                    }
                }
            };
            if best.as_ref().is_none_or(|b| offer.beats(&b.1)) {
                best = Some((id.clone(), offer));
            }
        }
        best
    }

    /// Every machine's queue with its tail curves. Held tasks below the drop threshold leave
    /// while the toggle is on. Also returns the instantaneous robustness.
    fn queues(&mut self, ctx: &Ctx) -> (BTreeMap<String, Queue>, f64) {
        let now = ctx.now.ms;
        let wall = ctx.now.wall_ms;
        let mut out = BTreeMap::new();
        let (mut sum, mut count) = (0.0, 0usize);
        let ids: Vec<String> = self
            .machines
            .values()
            .filter(|m| m.life == Life::Up && !m.quiet(now, ctx.set.report_s))
            .map(|m| m.id.clone())
            .collect();
        for id in ids {
            let m = &self.machines[&id];
            let Some(kind) = self.kind(&m.kind) else {
                continue;
            };
            let (cpus, gpus, memory) = m.free(kind);
            let mut q = Queue {
                cpus,
                gpus,
                memory,
                ..Queue::default()
            };
            let kind = m.kind.clone();
            let running: Vec<_> = m
                .placements
                .iter()
                .filter(|p| p.present())
                .map(|p| {
                    let ran = p.running_at.map(|t| now.saturating_sub(t) as f64 / 1e3);
                    (p.job.clone(), ran, p.cpus, p.gpus, p.memory)
                })
                .collect();
            for (job, ran, cpus, gpus, memory) in running {
                let Some(w) = self.works.get(&job) else {
                    // Ended: it leaves within moments.
                    q.slots.push(Slot::new(Curve::at(1.0), cpus, gpus, memory));
                    continue;
                };
                if w.spec.kind == stonegw_wire::msg::JobKind::Service {
                    continue;
                }
                let (spec, due) = (w.spec.clone(), w.due_s(wall));
                let runs = self.sched.runs(&spec, &kind);
                let end = match ran {
                    Some(s) => runs.left(s),
                    None => runs.run().clone(),
                };
                if let Some(due) = due {
                    sum += end.chance(&Curve::at(0.0).cumulative(), due);
                    count += 1;
                }
                q.slots.push(Slot::new(end, cpus, gpus, memory));
            }
            q.slots.sort_by(|a, b| a.mean.total_cmp(&b.mean));
            let held = std::mem::take(&mut self.machines.get_mut(&id).expect("listed").held);
            let mut kept = vec![];
            for (position, (job, index)) in held.into_iter().enumerate() {
                let Some(w) = self.works.get(&job) else {
                    continue;
                };
                let (spec, due) = (w.spec.clone(), w.due_s(wall).unwrap_or(0.0));
                let Some(start) = q.start(spec.cpus, spec.gpus, spec.memory_gb) else {
                    self.works.get_mut(&job).expect("seen").give_back(index);
                    continue;
                };
                let runs = self.sched.runs(&spec, &kind);
                let end = match &start.curve {
                    Some(at) => at.convolve(runs.run()),
                    None => runs.run().clone(),
                };
                let chance = end.chance(&Curve::at(0.0).cumulative(), due);
                let threshold = Pruner::drop_threshold(end.skewness(), position + 1);
                let drop = self.sched.pruner.toggle == Toggle::On && chance < threshold;
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
            self.machines.get_mut(&id).expect("listed").held = kept;
            out.insert(id, q);
        }
        (out, if count == 0 { 1.0 } else { sum / count as f64 })
    }
}
