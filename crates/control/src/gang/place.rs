//! Choosing machines for a gang, and placing it whole.
use super::GangState;
use crate::leader::{Ctx, Leader};
use crate::ledger::{Machine, Work};
use crate::resources::Resources;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use stonegw_constants as k;
use stonegw_sched::pruner::{Pruner, Toggle};
use stonegw_wire::msg::Priority;

/// So many tasks of a gang on one machine.
#[derive(Clone, Debug, PartialEq)]
struct Share {
    machine: String,
    tasks: u32,
}

/// Machines for a whole gang, and how good a choice they are; less is better.
struct Plan {
    shares: Vec<Share>,
    /// Some of it is reserved for gangs of lower priority.
    reserved: bool,
    /// s until the last task has its image, in whole seconds.
    fetch_s: i64,
    price: f64,
}

impl Plan {
    fn beats(&self, other: &Plan) -> bool {
        let key = |p: &Plan| (p.reserved, p.fetch_s, p.shares.len());
        (key(self), self.price) < (key(other), other.price)
    }
}

/// A machine with room for some tasks of a gang.
struct Candidate {
    machine: String,
    zone: String,
    /// For a gang of lower priority.
    reserved: bool,
    slots: u32,
    fetch_s: i64,
    price: f64,
}

/// The design's class of a waiting gang.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Turn {
    /// No deadline, late, dropped, or without a start for long: leftover room will do.
    Leftover,
    /// Its chance decides, in the mapping.
    Dated { due_s: f64 },
}

impl Work {
    fn gang_turn(&self, ctx: &Ctx) -> Turn {
        let dropped = self.gang.as_ref().is_some_and(|g| g.dropped);
        let waited_long = self.gang_waited_ms(ctx) >= k::PUT_OFF_MS;
        match self.due_s(ctx.now.wall_ms) {
            Some(due_s) if due_s > 0.0 && !dropped && !waited_long => Turn::Dated { due_s },
            _ => Turn::Leftover,
        }
    }
}

impl Leader {
    /// Gangs that wait, those of the highest rank first, then the longest accepted.
    pub(crate) fn waiting_gangs(&self, ctx: &Ctx) -> Vec<String> {
        let waits = |w: &Work| w.gang_waits() && ctx.now.ms >= w.retry_at;
        let waiting = self.works.iter().filter(|(_, w)| waits(w));
        let mut order: Vec<(Reverse<Priority>, u64, &String)> = waiting
            .map(|(id, w)| (Reverse(w.spec.priority), w.at, id))
            .collect();
        order.sort();
        order.into_iter().map(|(_, _, id)| id.clone()).collect()
    }

    /// Places the gangs that need only leftover room. Urgent ones also push lesser work aside.
    pub fn place_gangs(&mut self, ctx: &Ctx) {
        let waiting = self.waiting_gangs(ctx);
        if waiting.is_empty() {
            return;
        }
        let roomy = self.roomy(ctx);
        for job in waiting {
            let Some(work) = self.works.get(&job) else {
                continue;
            };
            if work.gang_turn(ctx) != Turn::Leftover {
                continue;
            }
            let urgent = work.urgent();
            if !self.place_gang(ctx, &job, &roomy) && urgent {
                self.make_room_for_gang(ctx, &job, false);
            }
        }
    }

    /// Gangs with a deadline ahead, in the mapping: placed whole where their weakest task's chance
    /// reaches the deferring threshold, dropped whole below the drop threshold while the toggle is
    /// on. A gang is never queued on machines, so its place in a queue is the first.
    pub fn map_gangs(&mut self, ctx: &Ctx) {
        let waiting = self.waiting_gangs(ctx);
        if waiting.is_empty() {
            return;
        }
        let roomy = self.roomy(ctx);
        for job in waiting {
            let Some(work) = self.works.get(&job) else {
                continue;
            };
            let Turn::Dated { due_s } = work.gang_turn(ctx) else {
                continue;
            };
            let Some(plan) = self.plan(ctx, &job, &roomy) else {
                continue;
            };
            let chance = self.weakest_chance(&job, &plan, due_s);
            if chance >= self.sched.pruner.deferring {
                self.carry_out(ctx, &job, plan);
            } else if self.sched.pruner.toggle == Toggle::On {
                self.drop_hopeless(&job, &plan, chance);
            }
        }
    }

    /// The chance of the task that ends last: all run at the pace of the slowest machine, from when
    /// the last has its image.
    fn weakest_chance(&mut self, job: &str, plan: &Plan, due_s: f64) -> f64 {
        let Some(spec) = self.works.get(job).map(|w| w.spec.clone()) else {
            return 0.0;
        };
        let mut weakest = 1.0_f64;
        for machine_type in self.types_of(plan) {
            let runs = self.sched.runs(&spec, &machine_type);
            weakest = weakest.min(runs.cumulative().by(plan.fetch_s as f64, due_s));
        }
        weakest
    }

    fn drop_hopeless(&mut self, job: &str, plan: &Plan, chance: f64) {
        let Some(work) = self.works.get_mut(job) else {
            return;
        };
        let spec = work.spec.clone();
        let Some(machine_type) = self.types_of(plan).into_iter().next() else {
            return;
        };
        let skewness = self.sched.runs(&spec, &machine_type).run().skewness();
        if chance >= Pruner::drop_threshold(skewness, 1) {
            return;
        }
        log::info!("gang {job} is dropped: chance {chance:.2}");
        if let Some(gang) = self.works.get_mut(job).and_then(|w| w.gang.as_mut()) {
            gang.dropped = true;
        }
    }

    fn types_of(&self, plan: &Plan) -> Vec<String> {
        let machines = plan.shares.iter();
        let machines = machines.filter_map(|s| self.machines.get(&s.machine));
        let mut types: Vec<String> = machines.map(|m| m.kind.clone()).collect();
        types.sort();
        types.dedup();
        types
    }

    /// Places a gang where it fits whole. False: it does not.
    pub(super) fn place_gang(&mut self, ctx: &Ctx, job: &str, roomy: &[String]) -> bool {
        match self.plan(ctx, job, roomy) {
            Some(plan) => self.carry_out(ctx, job, plan),
            None => false,
        }
    }

    /// Machines for the whole gang out of these: in one zone if any will do, else spread over
    /// several where its job allows that.
    fn plan(&self, ctx: &Ctx, job: &str, roomy: &[String]) -> Option<Plan> {
        let work = self.works.get(job)?;
        if !self.allows_whole(ctx, work) || !work.urgent() && self.team_kept(&work.spec) {
            return None;
        }
        let machines = roomy.iter().filter_map(|id| self.machines.get(id));
        let mut candidates: Vec<Candidate> = machines
            .filter_map(|m| self.candidate(ctx, m, work))
            .collect();
        candidates.sort_by(|a, b| {
            let slots = |c: &Candidate| Reverse(c.slots.min(work.spec.tasks));
            let key = |c: &Candidate| (c.reserved, c.fetch_s, slots(c));
            key(a).cmp(&key(b)).then(a.price.total_cmp(&b.price))
        });
        let tasks = work.spec.tasks;
        let zone_limit = if work.spec.spread {
            tasks.div_ceil(2)
        } else {
            tasks
        };
        let mut zones: Vec<&str> = candidates.iter().map(|c| c.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        let mut best: Option<Plan> = None;
        for zone in zones {
            let in_zone = candidates.iter().filter(|c| c.zone == zone);
            if let Some(plan) = fill(in_zone, tasks, zone_limit) {
                if best.as_ref().is_none_or(|b| plan.beats(b)) {
                    best = Some(plan);
                }
            }
        }
        if best.is_none() && !work.spec.one_zone {
            best = fill(candidates.iter(), tasks, zone_limit);
        }
        best
    }

    /// What a machine with room offers to the gang. Room that is kept or made for others, or that
    /// queued tasks wait for, is none.
    fn candidate(&self, ctx: &Ctx, m: &Machine, work: &Work) -> Option<Candidate> {
        let spec = &work.spec;
        let machine_type = self.kind(&m.kind)?;
        let slots = self.free(m)?.times(&Resources::of_task(spec));
        let queue_first =
            !m.held.is_empty() && !work.urgent() && work.gang_waited_ms(ctx) < k::PUT_OFF_QUEUED_MS;
        if slots == 0 || queue_first || !self.usable(ctx, m, work) {
            return None;
        }
        // Urgent gangs take what is kept for lesser work, if need be: the alternative is to stop some.
        let reserved = self.reserving_priority(&m.id, &spec.id);
        let kept = match work.urgent() {
            true => reserved.is_some_and(|priority| priority >= spec.priority),
            false => self.is_kept(&m.id, &spec.id),
        };
        if kept || self.is_made_for_other(ctx.now.ms, &m.id, &spec.id) {
            return None;
        }
        Some(Candidate {
            reserved: reserved.is_some(),
            machine: m.id.clone(),
            zone: m.zone.clone(),
            slots,
            fetch_s: self.fetch_s(m, spec).round() as i64,
            price: machine_type.price_per_cpu(m.spot),
        })
    }

    /// Whether the team's limit leaves room for all tasks of the gang.
    pub(crate) fn allows_whole(&self, ctx: &Ctx, work: &Work) -> bool {
        let others = f64::from(work.spec.tasks.saturating_sub(1));
        let extra = (others * work.spec.cpus, others * work.spec.gpus);
        self.allows(ctx, &work.spec, extra)
    }

    /// Whether all tasks of the gang stay within their team's guarantee.
    pub(super) fn guaranteed_whole(&self, ctx: &Ctx, work: &Work) -> bool {
        let others = f64::from(work.spec.tasks.saturating_sub(1));
        let extra = (others * work.spec.cpus, others * work.spec.gpus);
        self.guaranteed(ctx, &work.spec, extra)
    }

    /// Places every task under one new attempt, or none: a record may have no room for it.
    fn carry_out(&mut self, ctx: &Ctx, job: &str, plan: Plan) -> bool {
        // The last guard against running twice, whatever went wrong before.
        if self.machines.present_of(job).next().is_some() {
            log::error!("a task of gang {job} may still be on a machine; not placed");
            return false;
        }
        let attempt = self.new_attempt();
        let shares = plan.shares.iter();
        let machines = shares.flat_map(|s| (0..s.tasks).map(|_| s.machine.clone()));
        let machines: Vec<String> = machines.collect();
        for (index, machine) in machines.iter().enumerate() {
            if !self.place_attempt(machine, job, index as u32, attempt) {
                self.take_back_attempt(&machines, job, attempt);
                return false;
            }
        }
        self.sched.reservations.remove(job);
        self.sched.making.retain(|made| made.job != job);
        if let Some(gang) = self.works.get_mut(job).and_then(|w| w.gang.as_mut()) {
            gang.attempts += 1;
            gang.set_state(job, GangState::Storing { attempt });
        }
        log::info!(
            "gang {job}#{attempt} is placed on {} machines after {} ms",
            plan.shares.len(),
            self.works.get(job).map_or(0, |w| w.gang_waited_ms(ctx))
        );
        true
    }

    /// Takes placements back that were made a moment ago.
    fn take_back_attempt(&mut self, machines: &[String], job: &str, attempt: u64) {
        for id in machines {
            if let Some(mut m) = self.machines.edit(id) {
                m.placements
                    .retain(|p| p.job != job || p.attempt != attempt);
            }
            self.stale(id);
        }
    }

    /// What is free on a machine.
    pub(crate) fn free(&self, m: &Machine) -> Option<Resources> {
        let (cpus, gpus, memory_gb) = m.free(self.kind(&m.kind)?);
        Some(Resources {
            cpus,
            gpus,
            memory_gb,
        })
    }
}

/// Takes machines in turn until all tasks have one. `None`: there are too few.
fn fill<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    tasks: u32,
    zone_limit: u32,
) -> Option<Plan> {
    let mut plan = Plan {
        shares: vec![],
        reserved: false,
        fetch_s: 0,
        price: 0.0,
    };
    let mut left = tasks;
    let mut by_zone: BTreeMap<&str, u32> = BTreeMap::new();
    for candidate in candidates {
        let here = by_zone.entry(&candidate.zone).or_default();
        let count = candidate.slots.min(left).min(zone_limit - *here);
        if count == 0 {
            continue;
        }
        *here += count;
        left -= count;
        plan.reserved |= candidate.reserved;
        plan.fetch_s = plan.fetch_s.max(candidate.fetch_s);
        plan.price += candidate.price * f64::from(count);
        plan.shares.push(Share {
            machine: candidate.machine.clone(),
            tasks: count,
        });
        if left == 0 {
            return Some(plan);
        }
    }
    None
}
