//! What runs where. Deadline work by the design's rules: once a second each task picks its
//! best-chance machine and the soonest-finishing pair goes first; what is below the deferring
//! threshold waits; held tasks below the drop threshold leave their queue while the toggle is
//! on. Everything else fills leftover room first fit.
use crate::api::Ms;
use crate::gang::Reservation;
use crate::leader::{zone_allows, Ctx, Leader};
use crate::ledger::{Life, Machine, Phase, Work};
use crate::overdue::Kept;
use crate::preempt::Making;
use crate::records::Seen;
use crate::resources::Resources;
use std::collections::HashMap;
use stonegw_constants as k;
use stonegw_sched::pruner::Pruner;
use stonegw_sched::runtimes::RunTimes;
use stonegw_wire::msg::{JobSpec, Priority};

mod first_fit;
mod mapping;
mod queues;

/// What the scheduler holds between its events.
#[derive(Default)]
pub struct Scheduler {
    /// Drops and defers work that is hardly ever in time.
    pub pruner: Pruner,
    /// Run times seen, by job and machine type.
    runs: HashMap<String, HashMap<String, RunTimes>>,
    /// When the next mapping is due.
    map_at: Ms,
    /// No first fit for urgent work before.
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
    /// The run times of a job on a machine type.
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

    /// A task of the job ran for so long on such a machine.
    pub fn record(&mut self, spec: &JobSpec, kind: &str, run_s: f64) {
        self.runs(spec, kind).record(run_s);
        let o = self.observed.entry(spec.id.clone()).or_default();
        o.0 += 1;
        o.1 += run_s;
    }

    /// The job ended.
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

    /// What the job's runs tell of its class's estimates, to be stored.
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

/// What goes first: by priority, then what is within its team's guarantee.
type Rank = (Priority, bool);

/// Fetches at the same time share the rate.
fn fetch_s_per_gb(m: &Machine, rate: f64) -> f64 {
    let fetching = m.placements.iter().any(|p| p.phase == Phase::Fetching);
    let share = if fetching { 2.0 } else { 1.0 };
    share / rate.max(0.01)
}

impl Leader {
    /// Whether a machine takes new tasks at all.
    fn open(&self, ctx: &Ctx, m: &Machine) -> bool {
        m.life == Life::Up
            && !m.quiet(ctx.now.ms, ctx.set.report_s)
            && m.under_token
            && !m.via_state
            && m.trusted()
            && ctx.now.ms >= m.full_until
    }

    /// Whether a task of this job may go to that machine, which is open, room aside.
    fn suits(&self, m: &Machine, w: &Work) -> bool {
        let spec = &w.spec;
        (!m.spot || spec.spot)
            && spec.types.as_ref().is_none_or(|t| t.contains(&m.kind))
            && !w.failures.avoids(&m.id)
            && zone_allows(&self.machines, w, &m.zone)
            && self.record_has_room(m, &spec.id)
    }

    /// Whether a task of this job may go to that machine now, room aside.
    pub fn usable(&self, ctx: &Ctx, m: &Machine, w: &Work) -> bool {
        self.open(ctx, m) && self.suits(m, w)
    }

    /// Whether the machine has room for one more task.
    pub fn room(&self, m: &Machine, spec: &JobSpec) -> bool {
        let free = self.free(m);
        free.is_some_and(|free| free.fits(&Resources::of_task(spec)))
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

    /// Places urgent work soon after an event, and maps the rest at regular times.
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

    /// Machines with any room: looked for once, not for each task.
    pub fn roomy(&self, ctx: &Ctx) -> Vec<String> {
        let open = self.machines.values().filter(|m| self.open(ctx, m));
        open.filter(|m| self.kind(&m.kind).is_some_and(|t| m.free(t).0 > k::EPSILON))
            .map(|m| m.id.clone())
            .collect()
    }

    /// Seconds that fetching the job's image takes there.
    pub fn fetch_s(&self, m: &Machine, spec: &JobSpec) -> f64 {
        if m.has_image(&spec.image) {
            return 0.0;
        }
        let rate = self.kind(&m.kind).map_or(1.0, |t| t.fetch_gb_per_s);
        fetch_s_per_gb(m, rate) * spec.image_gb
    }
}
