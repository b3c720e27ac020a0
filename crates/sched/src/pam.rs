//! Pruning-aware mapping (PAM): each task picks its best-chance machine, the soonest-finishing
//! pair goes first. Tasks of a job are alike, so a job stands for all its waiting tasks.
use crate::curve::Curve;
use std::rc::Rc;
use stonegw_constants::{CHANCE_STEP, EPSILON, FINISH_STEP_S, HELD};

/// A task on a machine's queue as the mapping sees it: when it ends and what it then frees.
#[derive(Clone, Debug)]
pub struct Slot {
    /// Distribution of its end, in seconds from now.
    pub end: Rc<Curve>,
    /// Mean of `end`, s.
    pub mean: f64,
    /// CPUs that its end frees.
    pub cpus: f64,
    /// GPUs that its end frees.
    pub gpus: f64,
    /// Memory that its end frees, GB.
    pub memory: f64,
}

impl Slot {
    /// A slot for a task that ends at `end` and then frees these resources; memory in GB.
    pub fn new(end: Curve, cpus: f64, gpus: f64, memory: f64) -> Slot {
        let mean = end.mean();
        Slot {
            end: Rc::new(end),
            mean,
            cpus,
            gpus,
            memory,
        }
    }
}

/// A machine's queue: free room now, tasks that will free more, and how many are held.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Free CPUs now.
    pub cpus: f64,
    /// Free GPUs now.
    pub gpus: f64,
    /// Free memory now, GB.
    pub memory: f64,
    /// Tasks that will free more, in the order in which they are expected to end.
    pub slots: Vec<Slot>,
    /// Number of tasks that wait on this queue.
    pub held: usize,
    /// Answers of `start` since the last change: many jobs ask for the same room.
    asked: Vec<((f64, f64, f64), Option<Start>)>,
}

/// When a task can start on a machine.
#[derive(Clone, Debug)]
pub struct Start {
    /// When the room is free; `None`: now.
    pub wait: Option<Wait>,
    used: usize,
}

/// The time until the needed room is free.
#[derive(Clone, Debug)]
pub struct Wait {
    /// Distribution of the time, in seconds from now.
    pub curve: Rc<Curve>,
    /// Mean of `curve`, s.
    pub mean: f64,
    /// Earliest time with any mass in `curve`, s.
    pub earliest: f64,
}

impl Queue {
    /// An empty queue with this much free; memory in GB.
    pub fn with_room(cpus: f64, gpus: f64, memory: f64) -> Queue {
        Queue {
            cpus,
            gpus,
            memory,
            ..Queue::default()
        }
    }

    /// Whether the resources are free now; memory in GB.
    pub fn fits_now(&self, cpus: f64, gpus: f64, memory: f64) -> bool {
        self.cpus + EPSILON >= cpus
            && self.gpus + EPSILON >= gpus
            && self.memory + EPSILON >= memory
    }

    /// When room for such a task will be free: now if there is room and nobody waits for it,
    /// else when enough of the soonest-ending tasks are gone. `None` if it never will be, or
    /// if the queue already holds its two.
    pub fn start(&mut self, cpus: f64, gpus: f64, memory: f64) -> Option<Start> {
        if self.held == 0 && self.fits_now(cpus, gpus, memory) {
            return Some(Start {
                wait: None,
                used: 0,
            });
        }
        if self.held >= HELD {
            return None;
        }
        let size = (cpus, gpus, memory);
        if let Some((_, known)) = self.asked.iter().find(|a| a.0 == size) {
            return known.clone();
        }
        let answer = self.later_start(cpus, gpus, memory);
        self.asked.push((size, answer.clone()));
        answer
    }

    fn later_start(&self, cpus: f64, gpus: f64, memory: f64) -> Option<Start> {
        let (mut c, mut g, mut m) = (self.cpus, self.gpus, self.memory);
        let mut curve: Option<Rc<Curve>> = None;
        for (i, slot) in self.slots.iter().enumerate() {
            c += slot.cpus;
            g += slot.gpus;
            m += slot.memory;
            let end = match curve {
                None => slot.end.clone(),
                Some(before) => Rc::new(before.later(&slot.end)),
            };
            if c + EPSILON >= cpus && g + EPSILON >= gpus && m + EPSILON >= memory {
                let wait = Wait {
                    mean: end.mean(),
                    earliest: end.earliest(),
                    curve: end,
                };
                return Some(Start {
                    wait: Some(wait),
                    used: i + 1,
                });
            }
            curve = Some(end);
        }
        None
    }

    /// Puts a task on the queue: what it waits for is used up, and it ends itself later.
    pub fn push(&mut self, start: &Start, end: Curve, cpus: f64, gpus: f64, memory: f64) {
        self.asked.clear();
        for slot in self.slots.drain(..start.used) {
            self.cpus += slot.cpus;
            self.gpus += slot.gpus;
            self.memory += slot.memory;
        }
        self.cpus -= cpus;
        self.gpus -= gpus;
        self.memory -= memory;
        self.held += usize::from(start.wait.is_some());
        let slot = Slot::new(end, cpus, gpus, memory);
        let at = self.slots.partition_point(|s| s.mean <= slot.mean);
        self.slots.insert(at, slot);
    }
}

/// What a task could get on a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// Chance to end by the deadline, 0 to 1.
    pub chance: f64,
    /// Expected end, in seconds from now.
    pub finish: f64,
    /// What the machine costs per cpu: the cheaper one wins among equals, so that the dearer
    /// falls idle and can be returned.
    pub price: f64,
    /// Free cpus left behind: the tighter fit wins among equals.
    pub spare: f64,
}

impl Offer {
    /// First phase: the better chance for the same task; among equals the sooner, tighter one.
    pub fn beats(&self, other: &Offer) -> bool {
        let d = self.chance - other.chance;
        if d.abs() > CHANCE_STEP {
            return d > 0.0;
        }
        if (self.finish - other.finish).abs() > FINISH_STEP_S {
            return self.finish < other.finish;
        }
        if (self.price - other.price).abs() > 1e-9 {
            return self.price < other.price;
        }
        self.spare < other.spare
    }

    /// Whether an offer with no better chance and no sooner finish than these could win.
    pub fn beatable(&self, chance: f64, finish: f64) -> bool {
        chance - self.chance > CHANCE_STEP || finish <= self.finish + FINISH_STEP_S
    }
}

/// Second phase: which job's best offer finishes soonest. `None` if there is none.
pub fn soonest<T: Copy>(offers: impl Iterator<Item = (T, Offer)>) -> Option<(T, Offer)> {
    offers.min_by(|a, b| a.1.finish.total_cmp(&b.1.finish))
}

#[cfg(test)]
#[path = "pam_tests.rs"]
mod tests;
