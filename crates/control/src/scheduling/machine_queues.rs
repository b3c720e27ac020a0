//! The machines' queues as one mapping sees them, with the curves of when their tasks end.
use super::state::SchedulingState;
use crate::api::Now;
use crate::cluster::ClusterState;
use crate::cluster::{JobState, Lifecycle, Machine};
use crate::context::LeaderContext;
use std::collections::BTreeMap;
use stonegw_constants::MAX_QUEUED_TASKS_PER_MACHINE;
use stonegw_sched::placement_estimate::{EstimatedStart, ExpectedRelease, QueueForecast};
use stonegw_sched::pruner::{OverloadToggle, Pruner};
use stonegw_sched::run_time_histogram::RunTimeHistogram;
use stonegw_sched::time_distribution::TimeDistribution;
use stonegw_wire::msg::{JobKind, MachineType};

/// A machine as one mapping sees it.
pub(super) struct MachineQueue {
    pub(super) id: String,
    /// Its type's place in the catalogue.
    pub(super) machine_type_index: usize,
    pub(super) price_per_cpu: f64,
    pub(super) spot: bool,
    /// The images it holds, by their number in this mapping.
    pub(super) image_ids: Vec<usize>,
    /// s a GB of an image takes to fetch.
    pub(super) image_fetch_s_per_gb: f64,
    pub(super) forecast: QueueForecast,
    /// Grows with every task put here: offers made before are out of date.
    pub(super) change_count: u32,
}

/// The instantaneous robustness: the mean chance of the tasks on machines to be in time.
#[derive(Default)]
pub(super) struct OnTimeAverage {
    probability_sum: f64,
    task_count: usize,
}

impl OnTimeAverage {
    fn add(&mut self, chance: f64) {
        self.probability_sum += chance;
        self.task_count += 1;
    }

    /// The mean, or 1 without any such task.
    pub(super) fn mean(&self) -> f64 {
        if self.task_count == 0 {
            1.0
        } else {
            self.probability_sum / self.task_count as f64
        }
    }
}

/// One machine's queue while it is put together.
struct QueueForecastBuilder<'a> {
    now: Now,
    machine: &'a Machine,
    machine_type: &'a MachineType,
    jobs: &'a mut BTreeMap<String, JobState>,
    scheduling: &'a mut SchedulingState,
    on_time_average: &'a mut OnTimeAverage,
    forecast: QueueForecast,
}

/// When a held task would end, and its chance to be in time.
struct QueuedTaskEnd {
    end_distribution: TimeDistribution,
    on_time_probability: f64,
}

impl QueuedTaskEnd {
    /// `whole`: the whole curve is needed, not only its mean and the chance.
    fn new(
        runs: &mut RunTimeHistogram,
        start: &EstimatedStart,
        due: f64,
        whole: bool,
    ) -> QueuedTaskEnd {
        let end_distribution = match &start.wait {
            None => runs.distribution().clone(),
            Some(at) if whole => at.distribution.convolve(runs.distribution()),
            Some(at) => at.distribution.shift(runs.mean_s()),
        };
        let on_time_probability = match &start.wait {
            Some(at) if !whole => at.distribution.on_time_probability(runs.cumulative(), due),
            _ => end_distribution.probability_by(due),
        };
        QueuedTaskEnd {
            end_distribution,
            on_time_probability,
        }
    }
}

impl QueueForecastBuilder<'_> {
    /// Puts in the tasks that may be on the machine, the soonest to end first.
    fn add_placements(&mut self) {
        for p in self.machine.placements.iter().filter(|p| p.is_present()) {
            let Some(w) = self.jobs.get(&p.job) else {
                // Ended: it leaves within moments.
                let slot = ExpectedRelease::new(
                    TimeDistribution::point_mass(1.0),
                    p.cpus,
                    p.gpus,
                    p.memory_gb,
                );
                self.forecast.expected_releases.push(slot);
                continue;
            };
            if w.spec.kind == JobKind::Service {
                continue;
            }
            let runs = self
                .scheduling
                .estimates
                .run_time_histogram(&w.spec, &self.machine_type.name);
            let end = match p.running_at {
                Some(t) => {
                    runs.remaining_after(self.now.monotonic_ms.saturating_sub(t) as f64 / 1e3)
                }
                None => runs.distribution().clone(),
            };
            if let Some(due) = w.seconds_to_deadline(self.now.wall_ms) {
                self.on_time_average.add(end.probability_by(due));
            }
            let slot = ExpectedRelease::new(end, p.cpus, p.gpus, p.memory_gb);
            self.forecast.expected_releases.push(slot);
        }
        self.forecast
            .expected_releases
            .sort_by(|a, b| a.mean_end_s.total_cmp(&b.mean_end_s));
    }

    /// Puts in the held tasks and returns those that stay held.
    fn add_queued(&mut self) -> Vec<(String, u32)> {
        let held = &self.machine.queued;
        let mut kept = vec![];
        for (position, (job, index)) in held.iter().enumerate() {
            if self.try_add_queued_task(position, job, *index) {
                kept.push((job.clone(), *index));
            }
        }
        kept
    }

    /// Puts a held task in; or gives it back where it finds no room in time, or where its chance is
    /// below the drop threshold while the toggle is on.
    fn try_add_queued_task(&mut self, position: usize, job: &str, index: u32) -> bool {
        let Some(w) = self.jobs.get(job) else {
            return false;
        };
        let spec = &w.spec;
        let due = w.seconds_to_deadline(self.now.wall_ms).unwrap_or(0.0);
        let (cpus, gpus, memory) = (spec.cpus, spec.gpus, spec.memory_gb);
        let Some(start) = self.forecast.estimate_start(cpus, gpus, memory) else {
            self.jobs.get_mut(job).expect("seen").requeue(index);
            return false;
        };
        let on = self.scheduling.pruner.overload_toggle == OverloadToggle::On;
        let runs = self
            .scheduling
            .estimates
            .run_time_histogram(spec, &self.machine_type.name);
        // The whole curve only where something follows from it: a task behind this one,
        // or the drop threshold.
        let last = self.machine.queued.len();
        let whole = on || position + 1 < last || last < MAX_QUEUED_TASKS_PER_MACHINE;
        let QueuedTaskEnd {
            end_distribution: end,
            on_time_probability: chance,
        } = QueuedTaskEnd::new(runs, &start, due, whole);
        let drop = on && chance < Pruner::drop_threshold(end.skewness(), position + 1);
        if drop || due <= 0.0 {
            let id = &self.machine.id;
            log::info!("{job}/{index} leaves the queue of {id}: chance {chance:.2}");
            let w = self.jobs.get_mut(job).expect("seen");
            w.requeue(index);
            if drop {
                w.pruned_tasks.insert(index);
            }
            return false;
        }
        self.on_time_average.add(chance);
        self.forecast.add_task(&start, end, cpus, gpus, memory);
        true
    }
}

/// Every open machine's queue with its tail curves. Held tasks below the drop threshold
/// leave while the toggle is on. Counts into the instantaneous robustness.
pub(super) fn machine_queues(
    cluster: &mut ClusterState,
    scheduling: &mut SchedulingState,
    context: &LeaderContext,
    robustness: &mut OnTimeAverage,
) -> Vec<MachineQueue> {
    let now = context.now.monotonic_ms;
    let ids: Vec<String> = cluster
        .machines
        .values()
        .filter(|m| {
            m.lifecycle == Lifecycle::Ready
                && !m.is_silent(now, context.settings.heartbeat_interval_s)
        })
        .map(|m| m.id.clone())
        .collect();
    let mut seats = vec![];
    for id in ids {
        seats.extend(machine_queue(cluster, scheduling, context, id, robustness));
    }
    seats
}

/// One machine's queue. `None`: the machine takes no new tasks.
fn machine_queue(
    cluster: &mut ClusterState,
    scheduling: &mut SchedulingState,
    context: &LeaderContext,
    id: String,
    robustness: &mut OnTimeAverage,
) -> Option<MachineQueue> {
    let machine = cluster.machines.get(&id)?;
    let types = &cluster.catalog.machine_types;
    let kind = types.iter().position(|t| t.name == machine.machine_type)?;
    let machine_type = &types[kind];
    let (cpus, gpus, memory) = machine.free_resources(machine_type);
    let (price, spot) = (machine_type.price_per_cpu(machine.spot), machine.spot);
    let mut builder = QueueForecastBuilder {
        now: context.now,
        machine,
        machine_type,
        jobs: &mut cluster.jobs,
        scheduling,
        on_time_average: robustness,
        forecast: QueueForecast::with_free(cpus, gpus, memory),
    };
    builder.add_placements();
    let kept = builder.add_queued();
    let queue = builder.forecast;
    let open = cluster.accepts_tasks(context, machine)
        && !scheduling
            .reservations
            .is_being_cleared(context.now.monotonic_ms, &id);
    if kept != machine.queued {
        if let Some(mut m) = cluster.machines.edit(&id) {
            m.queued = kept;
        }
    }
    open.then_some(MachineQueue {
        id,
        machine_type_index: kind,
        price_per_cpu: price,
        spot,
        image_ids: vec![],
        image_fetch_s_per_gb: 0.0,
        forecast: queue,
        change_count: 0,
    })
}
