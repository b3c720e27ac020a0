//! Pruning-aware mapping (PAM), in two phases. First, each task picks the machine on which it has
//! the highest on-time probability. Then, of these pairs of task and machine, the one that finishes
//! first is placed first. The tasks of a job are alike, so a job represents all its pending tasks.
use crate::time_distribution::TimeDistribution;
use std::rc::Rc;
use stonegw_constants::{
    CHANCE_TOLERANCE, FINISH_TOLERANCE_S, MAX_QUEUED_TASKS_PER_MACHINE, RESOURCE_EPSILON,
};

/// Prices per CPU that differ by at most this count as equal.
const PRICE_TOLERANCE: f64 = 1e-9;

/// The expected end of a task on a machine, and the resources that the task then releases.
#[derive(Clone, Debug)]
pub struct ExpectedRelease {
    /// Distribution of the time at which the task ends, in seconds from now.
    pub end_distribution: Rc<TimeDistribution>,
    /// Mean of `end_distribution`, in seconds from now.
    pub mean_end_s: f64,
    /// Number of CPUs released.
    pub cpus: f64,
    /// Number of GPUs released.
    pub gpus: f64,
    /// Memory released, in GB.
    pub memory_gb: f64,
}

impl ExpectedRelease {
    /// Creates the release of these resources at the time `end`, with the memory in GB.
    pub fn new(end: TimeDistribution, cpus: f64, gpus: f64, memory_gb: f64) -> ExpectedRelease {
        let mean_end_s = end.mean_s();
        ExpectedRelease {
            end_distribution: Rc::new(end),
            mean_end_s,
            cpus,
            gpus,
            memory_gb,
        }
    }
}

/// Forecast of a machine's free capacity: what is free now, which tasks will release more, and how
/// many tasks are queued on the machine.
#[derive(Clone, Debug, Default)]
pub struct QueueForecast {
    /// Number of CPUs that are free now.
    pub free_cpus: f64,
    /// Number of GPUs that are free now.
    pub free_gpus: f64,
    /// Memory that is free now, in GB.
    pub free_memory_gb: f64,
    /// Resources that running and queued tasks will release, in the order in which the tasks are
    /// expected to end.
    pub expected_releases: Vec<ExpectedRelease>,
    /// Number of tasks that are queued on the machine and can't start now.
    pub queued_count: usize,
    /// Results of `estimate_later_start` since the last change of the forecast, cached because many
    /// jobs request the same resources.
    start_cache: Vec<CachedStart>,
}

/// A cached result of `estimate_later_start` and the resource request that it belongs to.
#[derive(Clone, Debug)]
struct CachedStart {
    cpus: f64,
    gpus: f64,
    memory_gb: f64,
    start: Option<EstimatedStart>,
}

/// The time at which a task can start on a machine.
#[derive(Clone, Debug)]
pub struct EstimatedStart {
    /// The wait for the capacity, or `None` if the task can start now.
    pub wait: Option<EstimatedWait>,
    /// Number of expected releases that the task has to wait for.
    consumed_releases: usize,
}

/// The time until the requested capacity is free.
#[derive(Clone, Debug)]
pub struct EstimatedWait {
    /// Distribution of the wait, in seconds from now.
    pub distribution: Rc<TimeDistribution>,
    /// Mean of `distribution`, in seconds from now.
    pub mean_s: f64,
    /// Earliest time that has any probability mass in `distribution`, in seconds from now.
    pub earliest_s: f64,
}

impl QueueForecast {
    /// Creates a forecast for a machine without tasks that has these resources free, with the
    /// memory in GB.
    pub fn with_free(free_cpus: f64, free_gpus: f64, free_memory_gb: f64) -> QueueForecast {
        QueueForecast {
            free_cpus,
            free_gpus,
            free_memory_gb,
            ..QueueForecast::default()
        }
    }

    /// Returns whether these resources are free now, with the memory in GB.
    pub fn fits_now(&self, cpus: f64, gpus: f64, memory_gb: f64) -> bool {
        self.free_cpus + RESOURCE_EPSILON >= cpus
            && self.free_gpus + RESOURCE_EPSILON >= gpus
            && self.free_memory_gb + RESOURCE_EPSILON >= memory_gb
    }

    /// Returns when a task with this resource request can start. It starts now if the resources are
    /// free and no task is queued, and otherwise once enough of the tasks that end first have
    /// ended. Returns `None` if there will never be enough capacity or if the queue is full.
    pub fn estimate_start(
        &mut self,
        cpus: f64,
        gpus: f64,
        memory_gb: f64,
    ) -> Option<EstimatedStart> {
        if self.queued_count == 0 && self.fits_now(cpus, gpus, memory_gb) {
            return Some(EstimatedStart {
                wait: None,
                consumed_releases: 0,
            });
        }
        if self.queued_count >= MAX_QUEUED_TASKS_PER_MACHINE {
            return None;
        }
        let cached = self.start_cache.iter().find(|cached| {
            cached.cpus == cpus && cached.gpus == gpus && cached.memory_gb == memory_gb
        });
        if let Some(cached) = cached {
            return cached.start.clone();
        }
        let start = self.estimate_later_start(cpus, gpus, memory_gb);
        self.start_cache.push(CachedStart {
            cpus,
            gpus,
            memory_gb,
            start: start.clone(),
        });
        start
    }

    fn estimate_later_start(&self, cpus: f64, gpus: f64, memory_gb: f64) -> Option<EstimatedStart> {
        let mut forecast =
            QueueForecast::with_free(self.free_cpus, self.free_gpus, self.free_memory_gb);
        let mut latest_end: Option<Rc<TimeDistribution>> = None;
        for (index, release) in self.expected_releases.iter().enumerate() {
            forecast.add_free(release);
            let end = match latest_end {
                None => release.end_distribution.clone(),
                Some(before) => Rc::new(before.maximum(&release.end_distribution)),
            };
            if forecast.fits_now(cpus, gpus, memory_gb) {
                let wait = EstimatedWait {
                    mean_s: end.mean_s(),
                    earliest_s: end.earliest_s(),
                    distribution: end,
                };
                return Some(EstimatedStart {
                    wait: Some(wait),
                    consumed_releases: index + 1,
                });
            }
            latest_end = Some(end);
        }
        None
    }

    fn add_free(&mut self, release: &ExpectedRelease) {
        self.free_cpus += release.cpus;
        self.free_gpus += release.gpus;
        self.free_memory_gb += release.memory_gb;
    }

    /// Adds a task to the forecast. The task takes the capacity of the releases that it waits for,
    /// and adds a release of its own.
    pub fn add_task(
        &mut self,
        start: &EstimatedStart,
        end: TimeDistribution,
        cpus: f64,
        gpus: f64,
        memory_gb: f64,
    ) {
        self.start_cache.clear();
        let mut releases = std::mem::take(&mut self.expected_releases);
        for release in releases.drain(..start.consumed_releases) {
            self.add_free(&release);
        }
        self.expected_releases = releases;
        self.free_cpus -= cpus;
        self.free_gpus -= gpus;
        self.free_memory_gb -= memory_gb;
        self.queued_count += usize::from(start.wait.is_some());
        let release = ExpectedRelease::new(end, cpus, gpus, memory_gb);
        let position = self
            .expected_releases
            .partition_point(|other| other.mean_end_s <= release.mean_end_s);
        self.expected_releases.insert(position, release);
    }
}

/// How well a machine suits a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementScore {
    /// Probability that the task ends by its deadline, from 0 to 1.
    pub on_time_probability: f64,
    /// Expected end of the task, in seconds from now.
    pub expected_finish_s: f64,
    /// The machine's price per CPU. Between otherwise equal machines the cheaper one is chosen, so
    /// that the more expensive one becomes idle and can be terminated.
    pub price_per_cpu: f64,
    /// Number of CPUs that remain free on the machine. Between otherwise equal machines the tighter
    /// fit is chosen.
    pub cpu_headroom: f64,
}

impl PlacementScore {
    /// Returns whether this placement of a task is better than another placement of the same task
    /// (first phase of the mapping). The higher on-time probability is better; at equal
    /// probabilities the earlier finish, then the lower price, then the tighter fit.
    pub fn is_better_than(&self, other: &PlacementScore) -> bool {
        let gain = self.on_time_probability - other.on_time_probability;
        if gain.abs() > CHANCE_TOLERANCE {
            return gain > 0.0;
        }
        if (self.expected_finish_s - other.expected_finish_s).abs() > FINISH_TOLERANCE_S {
            return self.expected_finish_s < other.expected_finish_s;
        }
        if (self.price_per_cpu - other.price_per_cpu).abs() > PRICE_TOLERANCE {
            return self.price_per_cpu < other.price_per_cpu;
        }
        self.cpu_headroom < other.cpu_headroom
    }

    /// Returns whether another placement could have a better score than this one, given that the
    /// other's on-time probability is at most `on_time_probability` and that the other finishes at
    /// `finish_s` at the earliest.
    pub fn can_be_beaten_by(&self, on_time_probability: f64, finish_s: f64) -> bool {
        on_time_probability - self.on_time_probability > CHANCE_TOLERANCE
            || finish_s <= self.expected_finish_s + FINISH_TOLERANCE_S
    }
}

/// Returns, of the best placements of all jobs, the one that finishes first (second phase of the
/// mapping). Returns `None` if there are no placements.
pub fn earliest_finish<T: Copy>(
    best_placements: impl Iterator<Item = (T, PlacementScore)>,
) -> Option<(T, PlacementScore)> {
    best_placements
        .min_by(|(_, left), (_, right)| left.expected_finish_s.total_cmp(&right.expected_finish_s))
}

#[cfg(test)]
#[path = "placement_estimate_tests.rs"]
mod tests;
