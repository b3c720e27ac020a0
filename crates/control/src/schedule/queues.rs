//! The machines' queues as one mapping sees them, with the curves of when their tasks end.
use super::Scheduler;
use crate::api::Now;
use crate::leader::{Ctx, Leader};
use crate::ledger::{Life, Machine, Work};
use std::collections::BTreeMap;
use stonegw_constants as k;
use stonegw_sched::curve::Curve;
use stonegw_sched::pam::{Queue, Slot, Start};
use stonegw_sched::pruner::{Pruner, Toggle};
use stonegw_sched::runtimes::RunTimes;
use stonegw_wire::msg::{JobKind, MachineType};

/// A machine as one mapping sees it.
pub(super) struct Seat {
    pub(super) id: String,
    /// Its type's place in the catalogue.
    pub(super) kind: usize,
    pub(super) price: f64,
    pub(super) spot: bool,
    /// The images it holds, by their number in this mapping.
    pub(super) images: Vec<usize>,
    /// s a GB of an image takes to fetch.
    pub(super) fetch_s_per_gb: f64,
    pub(super) queue: Queue,
    /// Grows with every task put here: offers made before are out of date.
    pub(super) changes: u32,
}

/// The instantaneous robustness: the mean chance of the tasks on machines to be in time.
#[derive(Default)]
pub(super) struct Robustness {
    sum: f64,
    tasks: usize,
}

impl Robustness {
    fn count(&mut self, chance: f64) {
        self.sum += chance;
        self.tasks += 1;
    }

    /// The mean, or 1 without any such task.
    pub(super) fn mean(&self) -> f64 {
        if self.tasks == 0 {
            1.0
        } else {
            self.sum / self.tasks as f64
        }
    }
}

/// One machine's queue while it is put together.
struct QueueBuilder<'a> {
    now: Now,
    machine: &'a Machine,
    machine_type: &'a MachineType,
    works: &'a mut BTreeMap<String, Work>,
    sched: &'a mut Scheduler,
    robustness: &'a mut Robustness,
    queue: Queue,
}

/// When a held task would end, and its chance to be in time.
struct HeldEnd {
    end: Curve,
    chance: f64,
}

impl HeldEnd {
    /// `whole`: the whole curve is needed, not only its mean and the chance.
    fn new(runs: &mut RunTimes, start: &Start, due: f64, whole: bool) -> HeldEnd {
        let end = match &start.wait {
            None => runs.run().clone(),
            Some(at) if whole => at.curve.convolve(runs.run()),
            Some(at) => at.curve.shift(runs.mean_s()),
        };
        let chance = match &start.wait {
            Some(at) if !whole => at.curve.chance(runs.cumulative(), due),
            _ => end.sum_to(due),
        };
        HeldEnd { end, chance }
    }
}

impl QueueBuilder<'_> {
    /// Puts in the tasks that may be on the machine, the soonest to end first.
    fn add_placements(&mut self) {
        for p in self.machine.placements.iter().filter(|p| p.present()) {
            let Some(w) = self.works.get(&p.job) else {
                // Ended: it leaves within moments.
                let slot = Slot::new(Curve::at(1.0), p.cpus, p.gpus, p.memory);
                self.queue.slots.push(slot);
                continue;
            };
            if w.spec.kind == JobKind::Service {
                continue;
            }
            let runs = self.sched.runs(&w.spec, &self.machine_type.name);
            let end = match p.running_at {
                Some(t) => runs.left(self.now.ms.saturating_sub(t) as f64 / 1e3),
                None => runs.run().clone(),
            };
            if let Some(due) = w.due_s(self.now.wall_ms) {
                self.robustness.count(end.sum_to(due));
            }
            let slot = Slot::new(end, p.cpus, p.gpus, p.memory);
            self.queue.slots.push(slot);
        }
        self.queue.slots.sort_by(|a, b| a.mean.total_cmp(&b.mean));
    }

    /// Puts in the held tasks and returns those that stay held.
    fn add_held(&mut self) -> Vec<(String, u32)> {
        let held = &self.machine.held;
        let mut kept = vec![];
        for (position, (job, index)) in held.iter().enumerate() {
            if self.stays_held(position, job, *index) {
                kept.push((job.clone(), *index));
            }
        }
        kept
    }

    /// Puts a held task in; or gives it back where it finds no room in time, or where its chance is
    /// below the drop threshold while the toggle is on.
    fn stays_held(&mut self, position: usize, job: &str, index: u32) -> bool {
        let Some(w) = self.works.get(job) else {
            return false;
        };
        let spec = &w.spec;
        let due = w.due_s(self.now.wall_ms).unwrap_or(0.0);
        let (cpus, gpus, memory) = (spec.cpus, spec.gpus, spec.memory_gb);
        let Some(start) = self.queue.start(cpus, gpus, memory) else {
            self.works.get_mut(job).expect("seen").give_back(index);
            return false;
        };
        let on = self.sched.pruner.toggle == Toggle::On;
        let runs = self.sched.runs(spec, &self.machine_type.name);
        // The whole curve only where something follows from it: a task behind this one,
        // or the drop threshold.
        let last = self.machine.held.len();
        let whole = on || position + 1 < last || last < k::HELD;
        let HeldEnd { end, chance } = HeldEnd::new(runs, &start, due, whole);
        let drop = on && chance < Pruner::drop_threshold(end.skewness(), position + 1);
        if drop || due <= 0.0 {
            let id = &self.machine.id;
            log::info!("{job}/{index} leaves the queue of {id}: chance {chance:.2}");
            let w = self.works.get_mut(job).expect("seen");
            w.give_back(index);
            if drop {
                w.dropped.insert(index);
            }
            return false;
        }
        self.robustness.count(chance);
        self.queue.push(&start, end, cpus, gpus, memory);
        true
    }
}

impl Leader {
    /// Every open machine's queue with its tail curves. Held tasks below the drop threshold
    /// leave while the toggle is on. Counts into the instantaneous robustness.
    pub(super) fn seats(&mut self, ctx: &Ctx, robustness: &mut Robustness) -> Vec<Seat> {
        let now = ctx.now.ms;
        let ids: Vec<String> = self
            .machines
            .values()
            .filter(|m| m.life == Life::Up && !m.quiet(now, ctx.set.report_s))
            .map(|m| m.id.clone())
            .collect();
        let mut seats = vec![];
        for id in ids {
            seats.extend(self.seat(ctx, id, robustness));
        }
        seats
    }

    /// One machine's queue. `None`: the machine takes no new tasks.
    fn seat(&mut self, ctx: &Ctx, id: String, robustness: &mut Robustness) -> Option<Seat> {
        let machine = self.machines.get(&id)?;
        let types = &self.catalog.types;
        let kind = types.iter().position(|t| t.name == machine.kind)?;
        let machine_type = &types[kind];
        let (cpus, gpus, memory) = machine.free(machine_type);
        let (price, spot) = (machine_type.price_per_cpu(machine.spot), machine.spot);
        let mut builder = QueueBuilder {
            now: ctx.now,
            machine,
            machine_type,
            works: &mut self.works,
            sched: &mut self.sched,
            robustness,
            queue: Queue::with_room(cpus, gpus, memory),
        };
        builder.add_placements();
        let kept = builder.add_held();
        let queue = builder.queue;
        let open = self.open(ctx, machine) && !self.is_made(ctx.now.ms, &id);
        if kept != machine.held {
            if let Some(mut m) = self.machines.edit(&id) {
                m.held = kept;
            }
        }
        open.then_some(Seat {
            id,
            kind,
            price,
            spot,
            images: vec![],
            fetch_s_per_gb: 0.0,
            queue,
            changes: 0,
        })
    }
}
