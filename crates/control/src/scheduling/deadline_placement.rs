//! Deadline placement: places each task on the machine on which its on-time probability is highest.
use super::machine_queues::{machine_queues, MachineQueue, OnTimeAverage};
use super::state::{PlacementRank, SchedulingState};
use crate::cluster::{
    image_fetch_s_per_gb, is_immediate, zone_allows, ClusterState, JobState, Machine,
};
use crate::context::LeaderContext;
use crate::resources::Resources;
use std::collections::HashMap;
use std::ops::ControlFlow;
use stonegw_constants::{CHANCE_TOLERANCE, MAX_QUEUED_TASKS_PER_MACHINE, MIN_SLOT_CPUS};
use stonegw_sched::placement_estimate::{
    earliest_finish, EstimatedStart, EstimatedWait, PlacementScore,
};
use stonegw_sched::time_distribution::TimeDistribution;
use stonegw_wire::msg::JobSpec;

/// Run times of one job on one machine type, computed once per pass.
struct RunTimeEstimate {
    distribution: TimeDistribution,
    cumulative: TimeDistribution,
    mean_s: f64,
}

/// A job with pending tasks. As its tasks are alike, the job represents each of them.
struct DeadlineCandidate {
    spec: JobSpec,
    due_s: f64,
    remaining_tasks: usize,
    rank: PlacementRank,
    /// The id that this pass has assigned to the job's image.
    image_id: usize,
    /// Run times by machine type. An entry is `None` if there is no machine of the type or if the
    /// job may not run on it.
    run_times_by_type: Vec<Option<RunTimeEstimate>>,
    best_placement: Option<BestPlacement>,
}

impl DeadlineCandidate {
    /// Returns whether the best on-time probability of the job's next task is at least `threshold`.
    fn reaches(&self, threshold: f64) -> bool {
        let best = self.best_placement.as_ref();
        best.is_some_and(|best| best.score.on_time_probability >= threshold)
    }
}

/// The machine on which a candidate's next task has the highest on-time probability.
#[derive(Clone, Copy)]
struct BestPlacement {
    queue_index: usize,
    /// The queue's `change_count` when the score was computed.
    queue_change_count: u32,
    score: PlacementScore,
}

/// Ids for the images that pending jobs need, because each image is compared with those on every
/// machine.
#[derive(Default)]
struct ImageIds(HashMap<String, usize>);

impl ImageIds {
    fn get_or_assign(&mut self, image: &str) -> usize {
        if let Some(id) = self.0.get(image) {
            return *id;
        }
        let id = self.0.len();
        self.0.insert(image.to_owned(), id);
        id
    }

    fn ids_on_machine(&self, machine: &Machine) -> Vec<usize> {
        let images = machine.cached_images.iter();
        images
            .filter_map(|cached| self.0.get(&cached.name).copied())
            .collect()
    }
}

impl MachineQueue {
    /// Updates the cached images and the fetch rate. Scores depend on both, and a placement may
    /// change them.
    fn refresh_images(&mut self, cluster: &ClusterState, image_ids: &ImageIds) {
        if let Some(machine) = cluster.machines.get(&self.id) {
            let machine_type = &cluster.catalog.machine_types[self.machine_type_index];
            self.image_ids = image_ids.ids_on_machine(machine);
            self.image_fetch_s_per_gb = image_fetch_s_per_gb(machine, machine_type.fetch_gb_per_s);
        }
    }

    fn image_fetch_s(&self, candidate: &DeadlineCandidate) -> f64 {
        if self.image_ids.contains(&candidate.image_id) {
            0.0
        } else {
            self.image_fetch_s_per_gb * candidate.spec.image_size_gb
        }
    }

    /// Returns the score of a candidate's next task on this machine. Returns `None` if the task
    /// can't be placed here or if its score can't be better than the best one so far.
    fn score(
        &mut self,
        candidate: &DeadlineCandidate,
        best: Option<&PlacementScore>,
    ) -> Option<PlacementScore> {
        let spec = &candidate.spec;
        let due_s = candidate.due_s;
        let run_times = candidate.run_times_by_type[self.machine_type_index].as_ref()?;
        if self.is_spot && !spec.allows_spot {
            return None;
        }
        let EstimatedStart { wait, .. } =
            self.forecast
                .estimate_start(spec.cpus, spec.gpus, spec.memory_gb)?;
        let image_fetch_s = self.image_fetch_s(candidate);
        let mean_wait_s = wait.as_ref().map_or(0.0, |wait| wait.mean_s);
        let expected_finish_s = mean_wait_s + image_fetch_s + run_times.mean_s;
        // The exact probability is computed only if this machine could be the best one.
        let bound = probability_bound(run_times, wait.as_ref(), image_fetch_s, due_s);
        if best.is_some_and(|best| !best.can_be_beaten_by(bound, expected_finish_s)) {
            return None;
        }
        let cumulative = &run_times.cumulative;
        let on_time_probability = match &wait {
            None => cumulative.on_time_probability_after(image_fetch_s, due_s),
            // The image is fetched during the wait or after it. Assuming the latter gives a lower
            // bound of the probability, which is sufficient here.
            Some(wait) => wait
                .distribution
                .on_time_probability(cumulative, due_s - image_fetch_s),
        };
        Some(PlacementScore {
            on_time_probability,
            expected_finish_s,
            price_per_cpu: self.price_per_cpu,
            cpu_headroom: self.forecast.free_cpus - spec.cpus,
        })
    }
}

/// Returns an upper bound of the on-time probability: that of a task which starts at the earliest
/// possible time, plus a tolerance if the task has to wait.
fn probability_bound(
    run_times: &RunTimeEstimate,
    wait: Option<&EstimatedWait>,
    image_fetch_s: f64,
    due_s: f64,
) -> f64 {
    let cumulative = &run_times.cumulative;
    match wait {
        None => cumulative.on_time_probability_after(image_fetch_s, due_s),
        Some(wait) => {
            let start_s = image_fetch_s + wait.earliest_s;
            cumulative.on_time_probability_after(start_s, due_s) + CHANCE_TOLERANCE
        }
    }
}

/// State of one pass.
struct DeadlinePass {
    machine_queues: Vec<MachineQueue>,
    candidates: Vec<DeadlineCandidate>,
    image_ids: ImageIds,
    /// On-time probability below which tasks are deferred.
    deferring_threshold: f64,
    /// Resources of the tasks that this pass has queued, by team. They come on top of the resources
    /// of placed tasks.
    queued_by_team: HashMap<String, Resources>,
}

/// Places tasks with a deadline on the machines on which their on-time probability is highest.
pub struct DeadlinePlacement<'a> {
    cluster: &'a mut ClusterState,
    scheduling: &'a mut SchedulingState,
}

impl<'a> DeadlinePlacement<'a> {
    /// Creates a deadline placement for this cluster and the scheduler's shared state.
    pub fn new(cluster: &'a mut ClusterState, scheduling: &'a mut SchedulingState) -> Self {
        DeadlinePlacement {
            cluster,
            scheduling,
        }
    }
}

impl DeadlinePlacement<'_> {
    /// Runs one pass of deadline placement.
    pub(super) fn place_deadline_jobs(&mut self, context: &LeaderContext) {
        self.record_deadline_misses(context.now.wall_ms);
        let mut on_time_average = OnTimeAverage::default();
        let mut queues =
            machine_queues(self.cluster, self.scheduling, context, &mut on_time_average);
        let mut image_ids = ImageIds::default();
        let mut candidates = self.deadline_candidates(context, &queues, &mut image_ids);
        for queue in &mut queues {
            queue.refresh_images(self.cluster, &image_ids);
        }
        for candidate in &mut candidates {
            candidate.best_placement = self.best_placement(&mut queues, candidate);
        }
        let robustness = on_time_average.mean();
        let deferring_threshold = self.adjust_deferring_threshold(&queues, &candidates, robustness);
        let mut pass = DeadlinePass {
            machine_queues: queues,
            candidates,
            image_ids,
            deferring_threshold,
            queued_by_team: HashMap::new(),
        };
        while self.place_next_candidate(context, &mut pass).is_continue() {}
    }

    /// Records the deadlines missed since the last pass, and updates the pruner's overload toggle.
    fn record_deadline_misses(&mut self, wall_ms: u64) {
        let mut missed_tasks = 0;
        for job in self.cluster.jobs.values_mut() {
            if job.deadline_missed || !job.is_past_deadline(wall_ms) {
                continue;
            }
            job.deadline_missed = true;
            // The missed deadline of a job that fails on every machine says nothing about the load.
            if !job.failures.job_is_broken() {
                missed_tasks += (job.spec.task_count - job.done_count) as usize;
            }
        }
        let pruner = &mut self.scheduling.pruner;
        let before = pruner.overload_toggle;
        pruner.record_misses(missed_tasks);
        let after = pruner.overload_toggle;
        if before != after {
            log::info!("pruning toggle {before:?} -> {after:?}");
        }
    }

    /// Adjusts the deferring threshold to the pending tasks and the capacity for them, and returns
    /// it.
    fn adjust_deferring_threshold(
        &mut self,
        queues: &[MachineQueue],
        candidates: &[DeadlineCandidate],
        robustness: f64,
    ) -> f64 {
        let waiting_tasks: usize = candidates
            .iter()
            .map(|candidate| candidate.remaining_tasks)
            .sum();
        let cpus = candidates.iter().map(|candidate| candidate.spec.cpus);
        let least_cpus = cpus.fold(f64::MAX, f64::min).max(MIN_SLOT_CPUS);
        let free_slots = queues
            .iter()
            .map(|queue| {
                let forecast = &queue.forecast;
                let free_now = (forecast.free_cpus.max(0.0) / least_cpus) as usize;
                free_now + MAX_QUEUED_TASKS_PER_MACHINE.saturating_sub(forecast.queued_count)
            })
            .sum();
        let pruner = &mut self.scheduling.pruner;
        let before = pruner.deferring_threshold;
        let passing_tasks = candidates
            .iter()
            .filter(|candidate| candidate.reaches(before))
            .map(|candidate| candidate.remaining_tasks)
            .sum();
        pruner.adjust_deferring_threshold(waiting_tasks, free_slots, passing_tasks, robustness);
        pruner.deferring_threshold
    }

    /// Places or queues the next task, or searches again for its best machine. Returns `Break` if
    /// no task is left to be placed.
    fn place_next_candidate(
        &mut self,
        context: &LeaderContext,
        pass: &mut DeadlinePass,
    ) -> ControlFlow<()> {
        let Some(next) = self.next_candidate(context, pass) else {
            return ControlFlow::Break(());
        };
        let queues = &mut pass.machine_queues;
        let candidate = &mut pass.candidates[next];
        let Some(best) = candidate.best_placement else {
            return ControlFlow::Break(());
        };
        // Adding tasks to queues only makes scores worse, so only the candidate that would be
        // placed next has to be scored again.
        let spec = &candidate.spec;
        let is_zone_dependent = spec.requires_single_zone || spec.spreads_across_zones;
        let has_changed = queues[best.queue_index].change_count != best.queue_change_count;
        let must_search_again = has_changed
            || is_zone_dependent
                && candidate.remaining_tasks > 0
                && !self.is_best_zone_allowed(queues, candidate);
        if must_search_again {
            candidate.best_placement = self.best_placement(queues, candidate);
            return ControlFlow::Continue(());
        }
        self.assign_next_task(pass, next, best.queue_index)
    }

    /// Returns, of the candidates of the highest rank that are within their teams' limits, the one
    /// whose next task would finish soonest.
    fn next_candidate(&self, context: &LeaderContext, pass: &mut DeadlinePass) -> Option<usize> {
        let reservations = &self.scheduling.reservations;
        let mut open = vec![];
        for (index, candidate) in pass.candidates.iter_mut().enumerate() {
            let spec = &candidate.spec;
            if candidate.remaining_tasks == 0 || !candidate.reaches(pass.deferring_threshold) {
                continue;
            }
            let queued = pass.queued_by_team.get(&spec.team).copied();
            let queued = queued.unwrap_or_default();
            if !self.cluster.within_limit_with(context, spec, queued)
                || reservations.is_team_reserved_for_other(spec)
            {
                continue;
            }
            candidate.rank.is_within_quota = self.cluster.within_quota_with(context, spec, queued);
            open.push((index, &*candidate));
        }
        let highest_rank = open.iter().map(|(_, candidate)| candidate.rank).max()?;
        let scores = open
            .into_iter()
            .filter(|(_, candidate)| candidate.rank == highest_rank)
            .filter_map(|(index, candidate)| {
                Some((index, candidate.best_placement.as_ref()?.score))
            });
        earliest_finish(scores).map(|(index, _)| index)
    }

    /// Places the candidate's next task on the machine if there is capacity now, and otherwise adds
    /// the task to the machine's queue.
    fn assign_next_task(
        &mut self,
        pass: &mut DeadlinePass,
        candidate_index: usize,
        queue_index: usize,
    ) -> ControlFlow<()> {
        let candidate = &mut pass.candidates[candidate_index];
        let queue = &mut pass.machine_queues[queue_index];
        let spec = &candidate.spec;
        let need = Resources::of_task(spec);
        let start = queue
            .forecast
            .estimate_start(need.cpus, need.gpus, need.memory_gb);
        let Some(start) = start else {
            candidate.best_placement = None;
            return ControlFlow::Continue(());
        };
        let job = self.cluster.jobs.get(&spec.id);
        let machine = self.cluster.machines.get(&queue.id);
        let (Some(job), Some(machine)) = (job, machine) else {
            return ControlFlow::Break(());
        };
        let Some(index) = job.next_unpruned() else {
            candidate.remaining_tasks = 0;
            return ControlFlow::Continue(());
        };
        candidate.remaining_tasks -= 1;
        let Some(run_times) = &candidate.run_times_by_type[queue.machine_type_index] else {
            return ControlFlow::Continue(());
        };
        let image_fetch_s = self.cluster.image_fetch_s(machine, spec);
        let end = match &start.wait {
            None => run_times.distribution.shift(image_fetch_s),
            Some(wait) => wait.distribution.convolve(&run_times.distribution),
        };
        if start.wait.is_some() {
            *pass.queued_by_team.entry(spec.team.clone()).or_default() += need;
            self.cluster.enqueue(&queue.id, spec.id.clone(), index);
        } else if !self.cluster.place_task(&queue.id, &spec.id, index) {
            return ControlFlow::Continue(());
        }
        queue
            .forecast
            .add_task(&start, end, need.cpus, need.gpus, need.memory_gb);
        queue.change_count += 1;
        queue.refresh_images(self.cluster, &pass.image_ids);
        ControlFlow::Continue(())
    }

    /// Returns whether the candidate's best machine is still in a zone in which the job may run.
    fn is_best_zone_allowed(&self, queues: &[MachineQueue], candidate: &DeadlineCandidate) -> bool {
        let best = candidate.best_placement;
        let machine = best.and_then(|best| self.cluster.machines.get(&queues[best.queue_index].id));
        let job = self.cluster.jobs.get(&candidate.spec.id);
        let (Some(machine), Some(job)) = (machine, job) else {
            return false;
        };
        zone_allows(&self.cluster.machines, job, &machine.zone)
    }

    /// Returns the jobs with pending tasks that may still be on time. Each represents all its
    /// tasks.
    fn deadline_candidates(
        &mut self,
        context: &LeaderContext,
        queues: &[MachineQueue],
        image_ids: &mut ImageIds,
    ) -> Vec<DeadlineCandidate> {
        let now = context.now;
        let mut has_machine = vec![false; self.cluster.catalog.machine_types.len()];
        for queue in queues {
            has_machine[queue.machine_type_index] = true;
        }
        let mut candidates = vec![];
        for job in self.cluster.jobs.values() {
            let start_limit = job.start_limit(now.monotonic_ms);
            if is_immediate(job) || job.end_write_in_flight || start_limit == 0 {
                continue;
            }
            let due_s = job.seconds_to_deadline(now.wall_ms);
            let Some(due_s) = due_s.filter(|due_s| *due_s > 0.0) else {
                continue;
            };
            let remaining_tasks = job.unpruned_count().min(start_limit);
            if remaining_tasks == 0 {
                continue;
            }
            candidates.push(DeadlineCandidate {
                due_s,
                remaining_tasks,
                rank: PlacementRank {
                    priority: job.spec.priority,
                    is_within_quota: false,
                },
                image_id: image_ids.get_or_assign(&job.spec.image),
                run_times_by_type: run_times_by_type(
                    self.cluster,
                    self.scheduling,
                    job,
                    &has_machine,
                ),
                best_placement: None,
                spec: job.spec.clone(),
            });
        }
        candidates
    }

    /// Returns the machine on which the candidate's next task has the highest on-time probability.
    fn best_placement(
        &self,
        queues: &mut [MachineQueue],
        candidate: &DeadlineCandidate,
    ) -> Option<BestPlacement> {
        let job = self.cluster.jobs.get(&candidate.spec.id)?;
        let mut best: Option<BestPlacement> = None;
        for (queue_index, queue) in queues.iter_mut().enumerate() {
            let best_score = best.as_ref().map(|best| &best.score);
            let Some(score) = queue.score(candidate, best_score) else {
                continue;
            };
            let is_better = best_score.is_none_or(|best| score.is_better_than(best));
            if is_better && self.may_queue_on(&queue.id, job) {
                best = Some(BestPlacement {
                    queue_index,
                    queue_change_count: queue.change_count,
                    score,
                });
            }
        }
        best
    }

    fn may_queue_on(&self, machine: &str, job: &JobState) -> bool {
        let reservations = &self.scheduling.reservations;
        let jobs = &self.cluster.jobs;
        let found = self.cluster.machines.get(machine);
        found.is_some_and(|found| self.cluster.meets_constraints(found, job))
            && !reservations.is_reserved_for_other(jobs, machine, &job.spec.id)
    }
}

/// Returns the job's run times on each machine type of the catalogue. An entry is `None` if the job
/// may not run on the type or if there is no machine of it.
fn run_times_by_type(
    cluster: &ClusterState,
    scheduling: &mut SchedulingState,
    job: &JobState,
    has_machine: &[bool],
) -> Vec<Option<RunTimeEstimate>> {
    let machine_types = cluster.catalog.machine_types.iter().zip(has_machine);
    let run_times = machine_types.map(|(machine_type, has_machine)| {
        if !*has_machine || !job.allows_machine_type(&machine_type.name) {
            return None;
        }
        let estimates = &mut scheduling.estimates;
        let histogram = estimates.run_time_histogram(&job.spec, &machine_type.name);
        Some(RunTimeEstimate {
            distribution: histogram.distribution().clone(),
            cumulative: histogram.cumulative().clone(),
            mean_s: histogram.mean_s(),
        })
    });
    run_times.collect()
}
