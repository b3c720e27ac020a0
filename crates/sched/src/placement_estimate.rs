//! Pruning-aware mapping (PAM): each task picks its best-chance machine, the soonest-finishing
//! pair goes first. Tasks of a job are alike, so a job stands for all its waiting tasks.
use crate::time_distribution::TimeDistribution;
use std::rc::Rc;
use stonegw_constants::{
    CHANCE_TOLERANCE, FINISH_TOLERANCE_S, MAX_QUEUED_TASKS_PER_MACHINE, RESOURCE_EPSILON,
};

/// A task on a machine's queue as the mapping sees it: when it ends and what it then frees.
#[derive(Clone, Debug)]
pub struct ExpectedRelease {
    /// Distribution of its end, in seconds from now.
    pub end_distribution: Rc<TimeDistribution>,
    /// Mean of `end`, s.
    pub mean_end_s: f64,
    /// CPUs that its end frees.
    pub cpus: f64,
    /// GPUs that its end frees.
    pub gpus: f64,
    /// Memory that its end frees, GB.
    pub memory_gb: f64,
}

impl ExpectedRelease {
    /// A slot for a task that ends at `end` and then frees these resources; memory in GB.
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

/// A machine's queue: free room now, tasks that will free more, and how many are held.
#[derive(Clone, Debug, Default)]
pub struct QueueForecast {
    /// Free CPUs now.
    pub free_cpus: f64,
    /// Free GPUs now.
    pub free_gpus: f64,
    /// Free memory now, GB.
    pub free_memory_gb: f64,
    /// Tasks that will free more, in the order in which they are expected to end.
    pub expected_releases: Vec<ExpectedRelease>,
    /// Number of tasks that wait on this queue.
    pub queued_count: usize,
    /// Answers of `start` since the last change: many jobs ask for the same room.
    start_cache: Vec<((f64, f64, f64), Option<EstimatedStart>)>,
}

/// When a task can start on a machine.
#[derive(Clone, Debug)]
pub struct EstimatedStart {
    /// When the room is free; `None`: now.
    pub wait: Option<EstimatedWait>,
    consumed_releases: usize,
}

/// The time until the needed room is free.
#[derive(Clone, Debug)]
pub struct EstimatedWait {
    /// Distribution of the time, in seconds from now.
    pub distribution: Rc<TimeDistribution>,
    /// Mean of `curve`, s.
    pub mean_s: f64,
    /// Earliest time with any mass in `curve`, s.
    pub earliest_s: f64,
}

impl QueueForecast {
    /// An empty queue with this much free; memory in GB.
    pub fn with_free(free_cpus: f64, free_gpus: f64, free_memory_gb: f64) -> QueueForecast {
        QueueForecast {
            free_cpus,
            free_gpus,
            free_memory_gb,
            ..QueueForecast::default()
        }
    }

    /// Whether the resources are free now; memory in GB.
    pub fn fits_now(&self, cpus: f64, gpus: f64, memory: f64) -> bool {
        self.free_cpus + RESOURCE_EPSILON >= cpus
            && self.free_gpus + RESOURCE_EPSILON >= gpus
            && self.free_memory_gb + RESOURCE_EPSILON >= memory
    }

    /// When room for such a task will be free: now if there is room and nobody waits for it,
    /// else when enough of the soonest-ending tasks are gone. `None` if it never will be, or
    /// if the queue already holds its two.
    pub fn estimate_start(&mut self, cpus: f64, gpus: f64, memory: f64) -> Option<EstimatedStart> {
        if self.queued_count == 0 && self.fits_now(cpus, gpus, memory) {
            return Some(EstimatedStart {
                wait: None,
                consumed_releases: 0,
            });
        }
        if self.queued_count >= MAX_QUEUED_TASKS_PER_MACHINE {
            return None;
        }
        let size = (cpus, gpus, memory);
        if let Some((_, known)) = self.start_cache.iter().find(|a| a.0 == size) {
            return known.clone();
        }
        let answer = self.estimate_later_start(cpus, gpus, memory);
        self.start_cache.push((size, answer.clone()));
        answer
    }

    fn estimate_later_start(&self, cpus: f64, gpus: f64, memory: f64) -> Option<EstimatedStart> {
        let (mut c, mut g, mut m) = (self.free_cpus, self.free_gpus, self.free_memory_gb);
        let mut curve: Option<Rc<TimeDistribution>> = None;
        for (i, slot) in self.expected_releases.iter().enumerate() {
            c += slot.cpus;
            g += slot.gpus;
            m += slot.memory_gb;
            let end = match curve {
                None => slot.end_distribution.clone(),
                Some(before) => Rc::new(before.maximum(&slot.end_distribution)),
            };
            if c + RESOURCE_EPSILON >= cpus
                && g + RESOURCE_EPSILON >= gpus
                && m + RESOURCE_EPSILON >= memory
            {
                let wait = EstimatedWait {
                    mean_s: end.mean_s(),
                    earliest_s: end.earliest_s(),
                    distribution: end,
                };
                return Some(EstimatedStart {
                    wait: Some(wait),
                    consumed_releases: i + 1,
                });
            }
            curve = Some(end);
        }
        None
    }

    /// Puts a task on the queue: what it waits for is used up, and it ends itself later.
    pub fn add_task(
        &mut self,
        start: &EstimatedStart,
        end: TimeDistribution,
        cpus: f64,
        gpus: f64,
        memory: f64,
    ) {
        self.start_cache.clear();
        for slot in self.expected_releases.drain(..start.consumed_releases) {
            self.free_cpus += slot.cpus;
            self.free_gpus += slot.gpus;
            self.free_memory_gb += slot.memory_gb;
        }
        self.free_cpus -= cpus;
        self.free_gpus -= gpus;
        self.free_memory_gb -= memory;
        self.queued_count += usize::from(start.wait.is_some());
        let slot = ExpectedRelease::new(end, cpus, gpus, memory);
        let at = self
            .expected_releases
            .partition_point(|s| s.mean_end_s <= slot.mean_end_s);
        self.expected_releases.insert(at, slot);
    }
}

/// What a task could get on a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementScore {
    /// Chance to end by the deadline, 0 to 1.
    pub on_time_probability: f64,
    /// Expected end, in seconds from now.
    pub expected_finish_s: f64,
    /// What the machine costs per cpu: the cheaper one wins among equals, so that the dearer
    /// falls idle and can be returned.
    pub price_per_cpu: f64,
    /// Free cpus left behind: the tighter fit wins among equals.
    pub cpu_headroom: f64,
}

impl PlacementScore {
    /// First phase: the better chance for the same task; among equals the sooner, tighter one.
    pub fn is_better_than(&self, other: &PlacementScore) -> bool {
        let d = self.on_time_probability - other.on_time_probability;
        if d.abs() > CHANCE_TOLERANCE {
            return d > 0.0;
        }
        if (self.expected_finish_s - other.expected_finish_s).abs() > FINISH_TOLERANCE_S {
            return self.expected_finish_s < other.expected_finish_s;
        }
        if (self.price_per_cpu - other.price_per_cpu).abs() > 1e-9 {
            return self.price_per_cpu < other.price_per_cpu;
        }
        self.cpu_headroom < other.cpu_headroom
    }

    /// Whether an offer with no better chance and no sooner finish than these could win.
    pub fn can_be_beaten_by(&self, chance: f64, finish: f64) -> bool {
        chance - self.on_time_probability > CHANCE_TOLERANCE
            || finish <= self.expected_finish_s + FINISH_TOLERANCE_S
    }
}

/// Second phase: which job's best offer finishes soonest. `None` if there is none.
pub fn earliest_finish<T: Copy>(
    offers: impl Iterator<Item = (T, PlacementScore)>,
) -> Option<(T, PlacementScore)> {
    offers.min_by(|a, b| a.1.expected_finish_s.total_cmp(&b.1.expected_finish_s))
}

#[cfg(test)]
#[path = "placement_estimate_tests.rs"]
mod tests;
