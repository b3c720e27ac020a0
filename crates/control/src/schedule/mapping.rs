//! One mapping event: deadline work goes to the machines where it has the best chance.
use super::queues::{Robustness, Seat};
use super::{fetch_s_per_gb, Rank};
use crate::leader::{immediate, zone_allows, Ctx, Leader};
use crate::ledger::Machine;
use std::collections::HashMap;
use std::ops::ControlFlow;
use stonegw_constants as k;
use stonegw_sched::curve::Curve;
use stonegw_sched::pam::{soonest, Offer, Start};
use stonegw_wire::msg::JobSpec;

/// Run times of one job on one machine type, as a mapping uses them.
struct Runs {
    run: Curve,
    cumulative: Curve,
    mean: f64,
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

#[derive(Clone, Copy)]
struct Best {
    seat: usize,
    /// The seat's changes when the offer was made.
    at: u32,
    offer: Offer,
}

/// What one mapping works on.
struct Mapping {
    seats: Vec<Seat>,
    candidates: Vec<Candidate>,
    images: Images,
    /// Tasks with a smaller chance are deferred.
    threshold: f64,
    /// CPUs and cards that this mapping holds for teams, besides what is placed.
    extra: HashMap<String, (f64, f64)>,
}

impl Leader {
    /// One mapping event.
    pub(super) fn map(&mut self, ctx: &Ctx) {
        self.count_misses(ctx.now.wall_ms);
        let mut robustness = Robustness::default();
        let mut seats = self.seats(ctx, &mut robustness);
        let mut images = Images::default();
        let mut candidates = self.candidates(ctx, &seats, &mut images);
        for s in &mut seats {
            if let Some(m) = self.machines.get(&s.id) {
                s.look(m, &images, self.catalog.types[s.kind].fetch_gb_per_s);
            }
        }
        for c in &mut candidates {
            c.best = self.best_offer(&mut seats, c);
        }
        let threshold = self.adjust_threshold(&seats, &candidates, robustness.mean());
        let mut mapping = Mapping {
            seats,
            candidates,
            images,
            threshold,
            extra: HashMap::new(),
        };
        while self.map_next(ctx, &mut mapping).is_continue() {}
    }

    /// Misses since the last mapping feed the toggle.
    fn count_misses(&mut self, wall_ms: u64) {
        let mut misses = 0;
        for w in self.works.values_mut() {
            if !w.missed && w.due_s(wall_ms).is_some_and(|d| d <= 0.0) {
                w.missed = true;
                // That a job fails everywhere tells nothing of the load.
                if w.failures.job_is_broken() {
                    continue;
                }
                misses += (w.spec.tasks - w.done_count) as usize;
            }
        }
        let was = self.sched.pruner.toggle;
        self.sched.pruner.count_misses(misses);
        if was != self.sched.pruner.toggle {
            log::info!("pruning toggle {:?} -> {:?}", was, self.sched.pruner.toggle);
        }
    }

    /// Adjusts the deferring threshold to what waits and what there is room for, and returns it.
    fn adjust_threshold(
        &mut self,
        seats: &[Seat],
        candidates: &[Candidate],
        robustness: f64,
    ) -> f64 {
        let waiting: usize = candidates.iter().map(|c| c.left).sum();
        let cpus = candidates.iter().map(|c| c.spec.cpus);
        let smallest = cpus.fold(f64::MAX, f64::min);
        let free_slots: usize = seats
            .iter()
            .map(|s| {
                let now_free = (s.queue.cpus.max(0.0) / smallest.max(0.1)) as usize;
                now_free + k::HELD.saturating_sub(s.queue.held)
            })
            .sum();
        let pruner = &mut self.sched.pruner;
        let old = pruner.deferring;
        let passing = candidates
            .iter()
            .filter(|c| c.best.as_ref().is_some_and(|b| b.offer.chance >= old))
            .map(|c| c.left)
            .sum();
        pruner.adjust(waiting, free_slots, passing, robustness);
        pruner.deferring
    }

    /// Puts the next task on a machine or in its queue, or looks again for its best machine.
    fn map_next(&mut self, ctx: &Ctx, mapping: &mut Mapping) -> ControlFlow<()> {
        let Some(next) = self.next_candidate(ctx, mapping) else {
            return ControlFlow::Break(());
        };
        let seats = &mut mapping.seats;
        let c = &mut mapping.candidates[next];
        let Some(best) = c.best else {
            return ControlFlow::Break(());
        };
        // Offers only get worse while tasks are put on queues: so it is enough to look
        // again at the one that would be next.
        let zoned = c.spec.one_zone || c.spec.spread;
        if seats[best.seat].changes != best.at || zoned && c.left > 0 && !self.fits(seats, c) {
            c.best = self.best_offer(seats, c);
            return ControlFlow::Continue(());
        }
        self.assign(mapping, next, best.seat)
    }

    /// Of the candidates of the highest rank that their teams' limits leave room for, the one
    /// whose next task would finish soonest.
    fn next_candidate(&self, ctx: &Ctx, mapping: &mut Mapping) -> Option<usize> {
        let mut rank: Option<Rank> = None;
        let mut open = vec![false; mapping.candidates.len()];
        for (i, c) in mapping.candidates.iter_mut().enumerate() {
            let deferred = |b: &Best| b.offer.chance < mapping.threshold;
            if c.left == 0 || c.best.as_ref().is_none_or(deferred) {
                continue;
            }
            let e = mapping.extra.get(&c.spec.team).copied();
            let e = e.unwrap_or_default();
            if self.allows(ctx, &c.spec, e) && !self.team_kept(&c.spec) {
                c.rank.1 = self.guaranteed(ctx, &c.spec, e);
                open[i] = true;
                rank = rank.max(Some(c.rank));
            }
        }
        let rank = rank?;
        let offers = mapping
            .candidates
            .iter()
            .enumerate()
            .filter(|(i, c)| open[*i] && c.rank == rank)
            .filter_map(|(i, c)| Some((i, c.best.as_ref()?.offer)));
        soonest(offers).map(|(i, _)| i)
    }

    /// Places the candidate's next task there if there is room now, or holds it in the queue.
    fn assign(&mut self, mapping: &mut Mapping, candidate: usize, seat: usize) -> ControlFlow<()> {
        let c = &mut mapping.candidates[candidate];
        let seat = &mut mapping.seats[seat];
        let (cpus, gpus, memory) = (c.spec.cpus, c.spec.gpus, c.spec.memory_gb);
        let Some(start) = seat.queue.start(cpus, gpus, memory) else {
            c.best = None;
            return ControlFlow::Continue(());
        };
        let (Some(w), Some(m)) = (self.works.get(&c.spec.id), self.machines.get(&seat.id)) else {
            return ControlFlow::Break(());
        };
        let Some(index) = w.next_fresh() else {
            c.left = 0;
            return ControlFlow::Continue(());
        };
        c.left -= 1;
        let Some(runs) = &c.runs[seat.kind] else {
            return ControlFlow::Continue(());
        };
        let end = match &start.wait {
            None => runs.run.shift(self.fetch_s(m, &c.spec)),
            Some(at) => at.curve.convolve(&runs.run),
        };
        let (id, job) = (seat.id.clone(), c.spec.id.clone());
        if start.wait.is_none() {
            if !self.place(&id, &job, index) {
                return ControlFlow::Continue(());
            }
        } else {
            let e = mapping.extra.entry(c.spec.team.clone()).or_default();
            *e = (e.0 + cpus, e.1 + gpus);
            self.hold(&id, job, index);
        }
        seat.queue.push(&start, end, cpus, gpus, memory);
        seat.changes += 1;
        if let Some(m) = self.machines.get(&id) {
            let rate = self.catalog.types[seat.kind].fetch_gb_per_s;
            seat.look(m, &mapping.images, rate);
        }
        ControlFlow::Continue(())
    }

    /// Puts a waiting task in a machine's queue.
    fn hold(&mut self, machine: &str, job: String, index: u32) {
        if let Some(w) = self.works.get_mut(&job) {
            w.take(index);
        }
        if let Some(mut m) = self.machines.edit(machine) {
            m.held.push((job, index));
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
            if immediate(w) || w.ending || w.startable(now) == 0 || w.pending.is_empty() {
                continue;
            }
            let Some(due) = w.due_s(ctx.now.wall_ms).filter(|d| *d > 0.0) else {
                continue;
            };
            let left = w.fresh().min(w.startable(now));
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
}
