//! The queues of the machines as one pass of deadline placement sees them, with the distributions
//! of the times at which their tasks end.
use super::state::SchedulingState;
use crate::api::Now;
use crate::cluster::{ClusterState, JobState, Lifecycle, Machine, Placement, TaskKey};
use crate::context::LeaderContext;
use std::collections::BTreeMap;
use stonegw_constants::{ENDED_TASK_RELEASE_S, MAX_QUEUED_TASKS_PER_MACHINE};
use stonegw_sched::placement_estimate::{EstimatedStart, ExpectedRelease, QueueForecast};
use stonegw_sched::pruner::{OverloadToggle, Pruner};
use stonegw_sched::run_time_histogram::RunTimeHistogram;
use stonegw_sched::time_distribution::TimeDistribution;
use stonegw_wire::msg::{JobKind, MachineType};

/// A machine with its queue, as one pass sees it.
pub(super) struct MachineQueue {
    pub(super) id: String,
    /// Index of the machine's type in the catalogue.
    pub(super) machine_type_index: usize,
    pub(super) price_per_cpu: f64,
    pub(super) is_spot: bool,
    /// Images cached on the machine, by the ids that this pass has assigned to them.
    pub(super) image_ids: Vec<usize>,
    pub(super) image_fetch_s_per_gb: f64,
    pub(super) forecast: QueueForecast,
    /// Number of tasks that this pass has added here. A score that was computed at a lower count is
    /// out of date.
    pub(super) change_count: u32,
}

/// The robustness of the schedule: the mean on-time probability of all running and queued tasks.
#[derive(Default)]
pub(super) struct OnTimeAverage {
    probability_sum: f64,
    task_count: usize,
}

impl OnTimeAverage {
    fn add(&mut self, on_time_probability: f64) {
        self.probability_sum += on_time_probability;
        self.task_count += 1;
    }

    /// Returns the mean, or 1 if there are no tasks.
    pub(super) fn mean(&self) -> f64 {
        if self.task_count == 0 {
            1.0
        } else {
            self.probability_sum / self.task_count as f64
        }
    }
}

/// How precisely the end of a queued task has to be estimated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndPrecision {
    /// The exact distribution.
    Full,
    /// The mean and the on-time probability only, which saves a convolution.
    MeanAndProbability,
}

/// The estimated end of a queued task, and the probability that it is on time.
struct QueuedTaskEnd {
    distribution: TimeDistribution,
    on_time_probability: f64,
}

impl QueuedTaskEnd {
    fn estimate(
        run_times: &mut RunTimeHistogram,
        start: &EstimatedStart,
        due_s: f64,
        precision: EndPrecision,
    ) -> QueuedTaskEnd {
        let Some(wait) = &start.wait else {
            return QueuedTaskEnd::with_distribution(run_times.distribution().clone(), due_s);
        };
        match precision {
            EndPrecision::Full => {
                let end = wait.distribution.convolve(run_times.distribution());
                QueuedTaskEnd::with_distribution(end, due_s)
            }
            EndPrecision::MeanAndProbability => QueuedTaskEnd {
                distribution: wait.distribution.shift(run_times.mean_s()),
                on_time_probability: wait
                    .distribution
                    .on_time_probability(run_times.cumulative(), due_s),
            },
        }
    }

    fn with_distribution(distribution: TimeDistribution, due_s: f64) -> QueuedTaskEnd {
        QueuedTaskEnd {
            on_time_probability: distribution.probability_by(due_s),
            distribution,
        }
    }
}

/// Builds the forecast of one machine's queue.
struct QueueForecastBuilder<'a> {
    now: Now,
    machine: &'a Machine,
    machine_type: &'a MachineType,
    jobs: &'a mut BTreeMap<String, JobState>,
    scheduling: &'a mut SchedulingState,
    on_time_average: &'a mut OnTimeAverage,
    forecast: QueueForecast,
}

impl QueueForecastBuilder<'_> {
    /// Adds the tasks that may be on the machine, in the order in which they are expected to end.
    fn add_placements(&mut self) {
        let machine = self.machine;
        for placement in &machine.placements {
            if placement.is_present() {
                self.add_placement(placement);
            }
        }
        self.forecast
            .expected_releases
            .sort_by(|a, b| a.mean_end_s.total_cmp(&b.mean_end_s));
    }

    fn add_placement(&mut self, placement: &Placement) {
        let Some(job) = self.jobs.get(&placement.job) else {
            // The job has ended, so its task leaves the machine within moments.
            return self.add_release(
                placement,
                TimeDistribution::point_mass(ENDED_TASK_RELEASE_S),
            );
        };
        if job.spec.kind == JobKind::Service {
            return;
        }
        let estimates = &mut self.scheduling.estimates;
        let run_times = estimates.run_time_histogram(&job.spec, &self.machine_type.name);
        let end = match placement.running_at {
            Some(at) => {
                let ran_ms = self.now.monotonic_ms.saturating_sub(at);
                run_times.remaining_after(ran_ms as f64 / 1e3)
            }
            None => run_times.distribution().clone(),
        };
        if let Some(due_s) = job.seconds_to_deadline(self.now.wall_ms) {
            self.on_time_average.add(end.probability_by(due_s));
        }
        self.add_release(placement, end);
    }

    fn add_release(&mut self, placement: &Placement, end: TimeDistribution) {
        let Placement {
            cpus,
            gpus,
            memory_gb,
            ..
        } = *placement;
        let release = ExpectedRelease::new(end, cpus, gpus, memory_gb);
        self.forecast.expected_releases.push(release);
    }

    /// Adds the queued tasks and returns those that remain queued.
    fn add_queued(&mut self) -> Vec<TaskKey> {
        let machine = self.machine;
        let mut still_queued = vec![];
        for (position, task) in machine.queued.iter().enumerate() {
            if self.add_queued_task(position, &task.job, task.index) {
                still_queued.push(task.clone());
            }
        }
        still_queued
    }

    /// Adds a queued task. Returns `false` if the task is removed from the queue instead: it will
    /// not get capacity here, its deadline has passed, or its on-time probability is below the drop
    /// threshold while the overload toggle is on.
    fn add_queued_task(&mut self, position: usize, job_id: &str, index: u32) -> bool {
        let Some(job) = self.jobs.get(job_id) else {
            return false;
        };
        let (cpus, gpus, memory_gb) = (job.spec.cpus, job.spec.gpus, job.spec.memory_gb);
        let Some(start) = self.forecast.estimate_start(cpus, gpus, memory_gb) else {
            self.remove_from_queue(job_id, index);
            return false;
        };
        let due_s = job.seconds_to_deadline(self.now.wall_ms).unwrap_or(0.0);
        let precision = self.end_precision(position);
        let estimates = &mut self.scheduling.estimates;
        let run_times = estimates.run_time_histogram(&job.spec, &self.machine_type.name);
        let end = QueuedTaskEnd::estimate(run_times, &start, due_s, precision);
        let probability = end.on_time_probability;
        let is_dropped = self.is_overload_toggle_on()
            && probability < Pruner::drop_threshold(end.distribution.skewness(), position + 1);
        if is_dropped || due_s <= 0.0 {
            let machine = &self.machine.id;
            log::info!(
                "{job_id}/{index} leaves the queue of {machine}: on-time probability {probability:.2}"
            );
            let job = self.remove_from_queue(job_id, index);
            if is_dropped {
                job.pruned_tasks.insert(index);
            }
            return false;
        }
        self.on_time_average.add(probability);
        let distribution = end.distribution;
        self.forecast
            .add_task(&start, distribution, cpus, gpus, memory_gb);
        true
    }

    fn is_overload_toggle_on(&self) -> bool {
        self.scheduling.pruner.overload_toggle == OverloadToggle::On
    }

    /// Returns the precision needed for the task at this position. The exact distribution is needed
    /// only if another task may be queued behind this one, or to compute the drop threshold.
    fn end_precision(&self, position: usize) -> EndPrecision {
        let queued_count = self.machine.queued.len();
        let has_successor =
            position + 1 < queued_count || queued_count < MAX_QUEUED_TASKS_PER_MACHINE;
        if self.is_overload_toggle_on() || has_successor {
            EndPrecision::Full
        } else {
            EndPrecision::MeanAndProbability
        }
    }

    /// Makes the task pending again and returns its job. The caller removes the task from the
    /// queue.
    fn remove_from_queue(&mut self, job: &str, index: u32) -> &mut JobState {
        let job = self.jobs.get_mut(job).expect("looked up by the caller");
        job.requeue(index);
        job
    }
}

/// Returns the queues of all machines that take new tasks. Removes queued tasks whose deadline has
/// passed or which get no capacity, and while the overload toggle is on those below the drop
/// threshold. Adds every running and queued task to `on_time_average`.
pub(super) fn machine_queues(
    cluster: &mut ClusterState,
    scheduling: &mut SchedulingState,
    context: &LeaderContext,
    on_time_average: &mut OnTimeAverage,
) -> Vec<MachineQueue> {
    let now = context.now.monotonic_ms;
    let heartbeat_interval_s = context.settings.heartbeat_interval_s;
    let is_live = |machine: &&Machine| {
        machine.lifecycle == Lifecycle::Ready && !machine.is_silent(now, heartbeat_interval_s)
    };
    let live = cluster.machines.values().filter(is_live);
    let ids: Vec<String> = live.map(|machine| machine.id.clone()).collect();
    let mut queues = vec![];
    for id in ids {
        queues.extend(machine_queue(
            cluster,
            scheduling,
            context,
            id,
            on_time_average,
        ));
    }
    queues
}

/// Returns one machine's queue, or `None` if the machine takes no new tasks or its type is not in
/// the catalogue. Unless the type is unknown, also removes tasks from the machine's queue and
/// updates `on_time_average`, as [`machine_queues`] describes.
fn machine_queue(
    cluster: &mut ClusterState,
    scheduling: &mut SchedulingState,
    context: &LeaderContext,
    id: String,
    on_time_average: &mut OnTimeAverage,
) -> Option<MachineQueue> {
    let machine = cluster.machines.get(&id)?;
    let machine_types = &cluster.catalog.machine_types;
    let machine_type_index = machine_types
        .iter()
        .position(|machine_type| machine_type.name == machine.machine_type)?;
    let machine_type = &machine_types[machine_type_index];
    let free = cluster.free_resources(machine)?;
    let accepts_tasks = cluster.accepts_tasks(context, machine);
    let mut builder = QueueForecastBuilder {
        now: context.now,
        machine,
        machine_type,
        jobs: &mut cluster.jobs,
        scheduling,
        on_time_average,
        forecast: QueueForecast::with_free(free.cpus, free.gpus, free.memory_gb),
    };
    builder.add_placements();
    let still_queued = builder.add_queued();
    let queue = MachineQueue {
        machine_type_index,
        price_per_cpu: machine_type.price_per_cpu(machine.spot),
        is_spot: machine.spot,
        image_ids: vec![],
        image_fetch_s_per_gb: 0.0,
        forecast: builder.forecast,
        change_count: 0,
        id,
    };
    if still_queued != machine.queued {
        if let Some(mut machine) = cluster.machines.edit(&queue.id) {
            machine.queued = still_queued;
        }
    }
    let now = context.now.monotonic_ms;
    let is_being_cleared = scheduling.reservations.is_being_cleared(now, &queue.id);
    (accepts_tasks && !is_being_cleared).then_some(queue)
}
