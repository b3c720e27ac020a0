//! One mapping event: deadline work goes to the machines where it has the best chance.
use super::machine_queues::{machine_queues, MachineQueue, OnTimeAverage};
use super::state::PlacementRank;
use super::state::SchedulingState;
use crate::cluster::image_fetch_s_per_gb;
use crate::cluster::ClusterState;
use crate::cluster::Machine;
use crate::cluster::{is_immediate, zone_allows};
use crate::context::LeaderContext;
use std::collections::HashMap;
use std::ops::ControlFlow;
use stonegw_constants::{CHANCE_TOLERANCE, MAX_QUEUED_TASKS_PER_MACHINE};
use stonegw_sched::placement_estimate::{earliest_finish, EstimatedStart, PlacementScore};
use stonegw_sched::time_distribution::TimeDistribution;
use stonegw_wire::msg::JobSpec;

/// Run times of one job on one machine type, as a mapping uses them.
struct RunTimeEstimate {
    distribution: TimeDistribution,
    cumulative: TimeDistribution,
    mean_s: f64,
}

/// A job with waiting tasks, standing for each of them.
struct DeadlineCandidate {
    spec: JobSpec,
    due_s: f64,
    remaining_tasks: usize,
    rank: PlacementRank,
    /// Its image's number in this mapping.
    image_id: usize,
    /// By machine type.
    run_times_by_type: Vec<Option<RunTimeEstimate>>,
    best_placement: Option<BestPlacement>,
}

/// Numbers for the images that waiting jobs need: each is compared with all machines'.
#[derive(Default)]
struct ImageIds(HashMap<String, usize>);

impl ImageIds {
    fn get_or_assign(&mut self, image: &str) -> usize {
        if let Some(n) = self.0.get(image) {
            return *n;
        }
        let n = self.0.len();
        self.0.insert(image.to_owned(), n);
        n
    }

    fn ids_on_machine(&self, m: &Machine) -> Vec<usize> {
        let known = m.cached_images.iter();
        known.filter_map(|(i, _)| self.0.get(i).copied()).collect()
    }
}

impl MachineQueue {
    /// Takes over what a placement changes of the machine, as far as offers depend on it.
    fn refresh_images(&mut self, m: &Machine, images: &ImageIds, rate: f64) {
        self.image_ids = images.ids_on_machine(m);
        self.image_fetch_s_per_gb = image_fetch_s_per_gb(m, rate);
    }

    fn image_fetch_s(&self, c: &DeadlineCandidate) -> f64 {
        if self.image_ids.contains(&c.image_id) {
            0.0
        } else {
            self.image_fetch_s_per_gb * c.spec.image_size_gb
        }
    }
}

#[derive(Clone, Copy)]
struct BestPlacement {
    queue_index: usize,
    /// The seat's changes when the offer was made.
    queue_change_count: u32,
    score: PlacementScore,
}

/// What one mapping works on.
struct DeadlinePass {
    machine_queues: Vec<MachineQueue>,
    candidates: Vec<DeadlineCandidate>,
    image_ids: ImageIds,
    /// Tasks with a smaller chance are deferred.
    deferring_threshold: f64,
    /// CPUs and cards that this mapping holds for teams, besides what is placed.
    queued_by_team: HashMap<String, (f64, f64)>,
}

/// Places tasks with a deadline where their chance to be in time is best.
pub struct DeadlinePlacement<'a> {
    cluster: &'a mut ClusterState,
    scheduling: &'a mut SchedulingState,
}

impl<'a> DeadlinePlacement<'a> {
    pub fn new(cluster: &'a mut ClusterState, scheduling: &'a mut SchedulingState) -> Self {
        DeadlinePlacement {
            cluster,
            scheduling,
        }
    }
}

impl DeadlinePlacement<'_> {
    /// One mapping event.
    pub(super) fn place_deadline_jobs(&mut self, context: &LeaderContext) {
        self.record_deadline_misses(context.now.wall_ms);
        let mut robustness = OnTimeAverage::default();
        let mut seats = machine_queues(self.cluster, self.scheduling, context, &mut robustness);
        let mut images = ImageIds::default();
        let mut candidates = self.deadline_candidates(context, &seats, &mut images);
        for s in &mut seats {
            if let Some(m) = self.cluster.machines.get(&s.id) {
                s.refresh_images(
                    m,
                    &images,
                    self.cluster.catalog.machine_types[s.machine_type_index].fetch_gb_per_s,
                );
            }
        }
        for c in &mut candidates {
            c.best_placement = self.best_placement(&mut seats, c);
        }
        let threshold = self.adjust_deferring_threshold(&seats, &candidates, robustness.mean());
        let mut mapping = DeadlinePass {
            machine_queues: seats,
            candidates,
            image_ids: images,
            deferring_threshold: threshold,
            queued_by_team: HashMap::new(),
        };
        while self
            .place_next_candidate(context, &mut mapping)
            .is_continue()
        {}
    }

    /// Misses since the last mapping feed the toggle.
    fn record_deadline_misses(&mut self, wall_ms: u64) {
        let mut misses = 0;
        for w in self.cluster.jobs.values_mut() {
            if !w.deadline_missed && w.seconds_to_deadline(wall_ms).is_some_and(|d| d <= 0.0) {
                w.deadline_missed = true;
                // That a job fails everywhere tells nothing of the load.
                if w.failures.job_is_broken() {
                    continue;
                }
                misses += (w.spec.task_count - w.done_count) as usize;
            }
        }
        let was = self.scheduling.pruner.overload_toggle;
        self.scheduling.pruner.record_misses(misses);
        if was != self.scheduling.pruner.overload_toggle {
            log::info!(
                "pruning toggle {:?} -> {:?}",
                was,
                self.scheduling.pruner.overload_toggle
            );
        }
    }

    /// Adjusts the deferring threshold to what waits and what there is room for, and returns it.
    fn adjust_deferring_threshold(
        &mut self,
        seats: &[MachineQueue],
        candidates: &[DeadlineCandidate],
        robustness: f64,
    ) -> f64 {
        let waiting: usize = candidates.iter().map(|c| c.remaining_tasks).sum();
        let cpus = candidates.iter().map(|c| c.spec.cpus);
        let smallest = cpus.fold(f64::MAX, f64::min);
        let free_slots: usize = seats
            .iter()
            .map(|s| {
                let now_free = (s.forecast.free_cpus.max(0.0) / smallest.max(0.1)) as usize;
                now_free + MAX_QUEUED_TASKS_PER_MACHINE.saturating_sub(s.forecast.queued_count)
            })
            .sum();
        let pruner = &mut self.scheduling.pruner;
        let old = pruner.deferring_threshold;
        let passing = candidates
            .iter()
            .filter(|c| {
                c.best_placement
                    .as_ref()
                    .is_some_and(|b| b.score.on_time_probability >= old)
            })
            .map(|c| c.remaining_tasks)
            .sum();
        pruner.adjust_deferring_threshold(waiting, free_slots, passing, robustness);
        pruner.deferring_threshold
    }

    /// Puts the next task on a machine or in its queue, or looks again for its best machine.
    fn place_next_candidate(
        &mut self,
        context: &LeaderContext,
        mapping: &mut DeadlinePass,
    ) -> ControlFlow<()> {
        let Some(next) = self.next_candidate(context, mapping) else {
            return ControlFlow::Break(());
        };
        let seats = &mut mapping.machine_queues;
        let c = &mut mapping.candidates[next];
        let Some(best) = c.best_placement else {
            return ControlFlow::Break(());
        };
        // Offers only get worse while tasks are put on queues: so it is enough to look
        // again at the one that would be next.
        let zoned = c.spec.requires_single_zone || c.spec.spreads_across_zones;
        if seats[best.queue_index].change_count != best.queue_change_count
            || zoned && c.remaining_tasks > 0 && !self.is_best_zone_allowed(seats, c)
        {
            c.best_placement = self.best_placement(seats, c);
            return ControlFlow::Continue(());
        }
        self.assign_next_task(mapping, next, best.queue_index)
    }

    /// Of the candidates of the highest rank that their teams' limits leave room for, the one
    /// whose next task would finish soonest.
    fn next_candidate(&self, context: &LeaderContext, mapping: &mut DeadlinePass) -> Option<usize> {
        let mut rank: Option<PlacementRank> = None;
        let mut open = vec![false; mapping.candidates.len()];
        for (i, c) in mapping.candidates.iter_mut().enumerate() {
            let deferred =
                |b: &BestPlacement| b.score.on_time_probability < mapping.deferring_threshold;
            if c.remaining_tasks == 0 || c.best_placement.as_ref().is_none_or(deferred) {
                continue;
            }
            let e = mapping.queued_by_team.get(&c.spec.team).copied();
            let e = e.unwrap_or_default();
            if self.cluster.within_limit(context, &c.spec, e)
                && !self
                    .scheduling
                    .reservations
                    .is_team_reserved_for_other(&c.spec)
            {
                c.rank.1 = self.cluster.within_quota(context, &c.spec, e);
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
            .filter_map(|(i, c)| Some((i, c.best_placement.as_ref()?.score)));
        earliest_finish(offers).map(|(i, _)| i)
    }

    /// Places the candidate's next task there if there is room now, or holds it in the queue.
    fn assign_next_task(
        &mut self,
        mapping: &mut DeadlinePass,
        candidate: usize,
        seat: usize,
    ) -> ControlFlow<()> {
        let c = &mut mapping.candidates[candidate];
        let seat = &mut mapping.machine_queues[seat];
        let (cpus, gpus, memory) = (c.spec.cpus, c.spec.gpus, c.spec.memory_gb);
        let Some(start) = seat.forecast.estimate_start(cpus, gpus, memory) else {
            c.best_placement = None;
            return ControlFlow::Continue(());
        };
        let (Some(w), Some(m)) = (
            self.cluster.jobs.get(&c.spec.id),
            self.cluster.machines.get(&seat.id),
        ) else {
            return ControlFlow::Break(());
        };
        let Some(index) = w.next_unpruned() else {
            c.remaining_tasks = 0;
            return ControlFlow::Continue(());
        };
        c.remaining_tasks -= 1;
        let Some(runs) = &c.run_times_by_type[seat.machine_type_index] else {
            return ControlFlow::Continue(());
        };
        let end = match &start.wait {
            None => runs
                .distribution
                .shift(self.cluster.image_fetch_s(m, &c.spec)),
            Some(at) => at.distribution.convolve(&runs.distribution),
        };
        let (id, job) = (seat.id.clone(), c.spec.id.clone());
        if start.wait.is_none() {
            if !self.cluster.place_task(&id, &job, index) {
                return ControlFlow::Continue(());
            }
        } else {
            let e = mapping
                .queued_by_team
                .entry(c.spec.team.clone())
                .or_default();
            *e = (e.0 + cpus, e.1 + gpus);
            self.cluster.enqueue(&id, job, index);
        }
        seat.forecast.add_task(&start, end, cpus, gpus, memory);
        seat.change_count += 1;
        if let Some(m) = self.cluster.machines.get(&id) {
            let rate = self.cluster.catalog.machine_types[seat.machine_type_index].fetch_gb_per_s;
            seat.refresh_images(m, &mapping.image_ids, rate);
        }
        ControlFlow::Continue(())
    }

    /// Whether a job's best machine is still in a zone where the job may go.
    fn is_best_zone_allowed(&self, seats: &[MachineQueue], c: &DeadlineCandidate) -> bool {
        let place = c
            .best_placement
            .and_then(|b| self.cluster.machines.get(&seats[b.queue_index].id));
        let work = self.cluster.jobs.get(&c.spec.id);
        matches!((place, work), (Some(m), Some(w)) if zone_allows(&self.cluster.machines, w, &m.zone))
    }

    /// What waits and may still be in time, a job standing for its like tasks.
    fn deadline_candidates(
        &mut self,
        context: &LeaderContext,
        seats: &[MachineQueue],
        images: &mut ImageIds,
    ) -> Vec<DeadlineCandidate> {
        let now = context.now.monotonic_ms;
        let mut present = vec![false; self.cluster.catalog.machine_types.len()];
        for s in seats {
            present[s.machine_type_index] = true;
        }
        let mut out = vec![];
        for w in self.cluster.jobs.values() {
            if is_immediate(w)
                || w.end_write_in_flight
                || w.start_limit(now) == 0
                || w.pending_tasks.is_empty()
            {
                continue;
            }
            let Some(due) = w
                .seconds_to_deadline(context.now.wall_ms)
                .filter(|d| *d > 0.0)
            else {
                continue;
            };
            let left = w.unpruned_count().min(w.start_limit(now));
            if left == 0 {
                continue;
            }
            let estimates = &mut self.scheduling.estimates;
            let runs = self
                .cluster
                .catalog
                .machine_types
                .iter()
                .zip(&present)
                .map(|(t, here)| {
                    let suits = w
                        .spec
                        .machine_types
                        .as_ref()
                        .is_none_or(|l| l.contains(&t.name));
                    (*here && suits).then(|| {
                        let r = estimates.run_time_histogram(&w.spec, &t.name);
                        RunTimeEstimate {
                            distribution: r.distribution().clone(),
                            cumulative: r.cumulative().clone(),
                            mean_s: r.mean_s(),
                        }
                    })
                });
            out.push(DeadlineCandidate {
                due_s: due,
                remaining_tasks: left,
                rank: (w.spec.priority, false),
                image_id: images.get_or_assign(&w.spec.image),
                run_times_by_type: runs.collect(),
                best_placement: None,
                spec: w.spec.clone(),
            });
        }
        out
    }

    /// The machine with the best chance for the job's next task.
    fn best_placement(
        &self,
        seats: &mut [MachineQueue],
        c: &DeadlineCandidate,
    ) -> Option<BestPlacement> {
        let w = self.cluster.jobs.get(&c.spec.id)?;
        let spec = &c.spec;
        let mut best: Option<BestPlacement> = None;
        for (i, seat) in seats.iter_mut().enumerate() {
            let Some(runs) = &c.run_times_by_type[seat.machine_type_index] else {
                continue;
            };
            if seat.spot && !spec.allows_spot {
                continue;
            }
            let start = seat
                .forecast
                .estimate_start(spec.cpus, spec.gpus, spec.memory_gb);
            let Some(EstimatedStart { wait, .. }) = start else {
                continue;
            };
            let fetch = seat.image_fetch_s(c);
            // What no wait can better; the full sum is made only where it can matter.
            let (earliest, mean) = wait
                .as_ref()
                .map_or((0.0, 0.0), |w| (w.earliest_s, w.mean_s));
            let bound = runs
                .cumulative
                .on_time_probability_after(fetch + earliest, c.due_s);
            let finish = mean + fetch + runs.mean_s;
            let bound = if wait.is_some() {
                bound + CHANCE_TOLERANCE
            } else {
                bound
            };
            if best
                .as_ref()
                .is_some_and(|b| !b.score.can_be_beaten_by(bound, finish))
            {
                continue;
            }
            let offer = PlacementScore {
                // The image comes while the task waits, or after: a bound is enough here.
                on_time_probability: match &wait {
                    None => runs.cumulative.on_time_probability_after(fetch, c.due_s),
                    Some(at) => at
                        .distribution
                        .on_time_probability(&runs.cumulative, c.due_s - fetch),
                },
                expected_finish_s: finish,
                price_per_cpu: seat.price_per_cpu,
                cpu_headroom: seat.forecast.free_cpus - spec.cpus,
            };
            let better = best.as_ref().is_none_or(|b| offer.is_better_than(&b.score));
            let suits = || {
                let m = self.cluster.machines.get(&seat.id);
                m.is_some_and(|m| self.cluster.meets_constraints(m, w))
                    && !self.scheduling.reservations.is_reserved_for_other(
                        &self.cluster.jobs,
                        &seat.id,
                        &spec.id,
                    )
            };
            if better && suits() {
                best = Some(BestPlacement {
                    queue_index: i,
                    queue_change_count: seat.change_count,
                    score: offer,
                });
            }
        }
        best
    }
}
