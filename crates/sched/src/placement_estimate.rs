//! Pruning-aware mapping (PAM): each task picks the machine with the highest on-time probability,
//! then the pair that finishes first is placed first. Tasks of a job are alike, so a job stands for
//! all its pending tasks.
use crate::time_distribution::TimeDistribution;
use std::rc::Rc;
use stonegw_constants::{
    CHANCE_TOLERANCE, FINISH_TOLERANCE_S, MAX_QUEUED_TASKS_PER_MACHINE, RESOURCE_EPSILON,
};

/// Difference of prices per CPU below which they count as equal.
const PRICE_TOLERANCE: f64 = 1e-9;

/// The expected end of a task on a machine, and the resources that it then releases.
#[derive(Clone, Debug)]
pub struct ExpectedRelease {
    /// Distribution of the task's end, in seconds from now.
    pub end_distribution: Rc<TimeDistribution>,
    /// Mean of `end_distribution`, s.
    pub mean_end_s: f64,
    /// CPUs released.
    pub cpus: f64,
    /// GPUs released.
    pub gpus: f64,
    /// Memory released, GB.
    pub memory_gb: f64,
}

impl ExpectedRelease {
    /// The release of these resources at the time `end`; memory in GB.
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
/// many tasks are queued for it.
#[derive(Clone, Debug, Default)]
pub struct QueueForecast {
    /// Free CPUs now.
    pub free_cpus: f64,
    /// Free GPUs now.
    pub free_gpus: f64,
    /// Free memory now, GB.
    pub free_memory_gb: f64,
    /// Tasks that will release more, in the order in which they are expected to end.
    pub expected_releases: Vec<ExpectedRelease>,
    /// Number of tasks queued on the machine, beside those that can start now.
    pub queued_count: usize,
    /// Results of `estimate_later_start` since the last change: many jobs have the same demand.
    start_cache: Vec<CachedStart>,
}

/// A cached result of `estimate_later_start`.
#[derive(Clone, Debug)]
struct CachedStart {
    cpus: f64,
    gpus: f64,
    memory_gb: f64,
    start: Option<EstimatedStart>,
}

/// When a task can start on a machine.
#[derive(Clone, Debug)]
pub struct EstimatedStart {
    /// Time until the capacity is free; `None`: it is free now.
    pub wait: Option<EstimatedWait>,
    /// How many of the expected releases the task waits for.
    consumed_releases: usize,
}

/// The time until the needed capacity is free.
#[derive(Clone, Debug)]
pub struct EstimatedWait {
    /// Distribution of the time, in seconds from now.
    pub distribution: Rc<TimeDistribution>,
    /// Mean of `distribution`, s.
    pub mean_s: f64,
    /// Earliest time with any mass in `distribution`, s.
    pub earliest_s: f64,
}

impl QueueForecast {
    /// A forecast without tasks and with this much free; memory in GB.
    pub fn with_free(free_cpus: f64, free_gpus: f64, free_memory_gb: f64) -> QueueForecast {
        QueueForecast {
            free_cpus,
            free_gpus,
            free_memory_gb,
            ..QueueForecast::default()
        }
    }

    /// Whether the resources are free now; memory in GB.
    pub fn fits_now(&self, cpus: f64, gpus: f64, memory_gb: f64) -> bool {
        self.free_cpus + RESOURCE_EPSILON >= cpus
            && self.free_gpus + RESOURCE_EPSILON >= gpus
            && self.free_memory_gb + RESOURCE_EPSILON >= memory_gb
    }

    /// When capacity for such a task will be free: now if it is free and no task is queued for it,
    /// else once enough of the tasks that end first are done. `None` if it never will be, or if
    /// the queue is full.
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

    /// Adds a task: it consumes the releases that it waits for, and has a release of its own.
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
    /// Probability that the task ends by its deadline, 0 to 1.
    pub on_time_probability: f64,
    /// Expected end, in seconds from now.
    pub expected_finish_s: f64,
    /// The machine's price per CPU: the cheaper one wins among equals, so that the more expensive
    /// one falls idle and can be terminated.
    pub price_per_cpu: f64,
    /// CPUs that stay free: the tighter fit wins among equals.
    pub cpu_headroom: f64,
}

impl PlacementScore {
    /// First phase of the mapping: the higher on-time probability for the same task; among equals
    /// the earlier finish, then the lower price, then the tighter fit.
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

    /// Whether a score with at most this on-time probability and at best this finish could win.
    pub fn can_be_beaten_by(&self, on_time_probability: f64, finish_s: f64) -> bool {
        on_time_probability - self.on_time_probability > CHANCE_TOLERANCE
            || finish_s <= self.expected_finish_s + FINISH_TOLERANCE_S
    }
}

/// Second phase of the mapping: of each job's best placement, the one that finishes first. `None` if
/// there is none.
pub fn earliest_finish<T: Copy>(
    best_placements: impl Iterator<Item = (T, PlacementScore)>,
) -> Option<(T, PlacementScore)> {
    best_placements
        .min_by(|(_, left), (_, right)| left.expected_finish_s.total_cmp(&right.expected_finish_s))
}

#[cfg(test)]
#[path = "placement_estimate_tests.rs"]
mod tests;
