//! Room for gangs that wait: made by stopping lesser work, whole or not at all, or kept on
//! machines as their tasks end.
//!
//! The design has deadline-free work fill leftover room. None is ever left over for a whole gang
//! while single tasks keep arriving, so a gang that waits has machines reserved, as many as it
//! needs. A machine is reserved for one gang only and a gang reserves nothing or enough for all its
//! tasks, so no two gangs each keep half of what both need.
use crate::api::Ms;
use crate::leader::{Ctx, Leader};
use crate::ledger::{Machine, Work};
use crate::preempt::{RoomOffer, RoomWanted};
use crate::resources::Resources;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use stonegw_constants as k;
use stonegw_wire::msg::{JobKind, Priority};

/// What is kept for a gang that waits.
#[derive(Clone, Debug, PartialEq)]
pub enum Reservation {
    /// Room on these machines.
    Machines(BTreeSet<String>),
    /// What its team may still take.
    Team(String),
}

/// Room for one task that a machine will have.
struct Slot {
    free_in_ms: Ms,
    machine: String,
}

impl Leader {
    /// Each mapping: who waits for long has room reserved, and takes back what other teams borrow
    /// from its team's guarantee.
    pub fn reserve_for_gangs(&mut self, ctx: &Ctx) {
        let waiting = self.waiting_gangs(ctx);
        let waits: BTreeSet<&String> = waiting.iter().collect();
        self.sched.reservations.retain(|job, _| waits.contains(job));
        if waiting.is_empty() {
            return;
        }
        let roomy = self.roomy(ctx);
        for job in &waiting {
            let Some(work) = self.works.get(job) else {
                continue;
            };
            if work.gang_waited_ms(ctx) < k::GANG_RESERVE_MS || self.place_gang(ctx, job, &roomy) {
                continue;
            }
            self.reserve(ctx, job);
            let Some(work) = self.works.get(job) else {
                continue;
            };
            let waited = work.gang_waited_ms(ctx);
            if waited >= k::GUARANTEE_WAIT_MS && self.guaranteed_whole(ctx, work) {
                self.make_room_for_gang(ctx, job, true);
            }
        }
    }

    fn reserve(&mut self, ctx: &Ctx, job: &str) {
        if !self.may_reserve(ctx.now.ms, job) {
            self.sched.reservations.remove(job);
            return;
        }
        let Some(work) = self.works.get(job) else {
            return;
        };
        if !self.allows_whole(ctx, work) {
            if self.limit_will_allow(ctx, work) {
                let reservation = Reservation::Team(work.spec.team.clone());
                self.sched.reservations.insert(job.to_owned(), reservation);
            }
            return;
        }
        if self.suitable_reservation(ctx, job) {
            return;
        }
        self.sched.reservations.remove(job);
        let Some(machines) = self.machines_to_reserve(ctx, job) else {
            return;
        };
        // Most of the fleet goes on with single tasks. A gang that needs more than that part has it to
        // itself.
        let others = self.reserved_machines();
        if others > 0 && others + machines.len() > self.machines.len() / k::GANG_RESERVE_PART {
            return;
        }
        log::debug!("gang {job} has {} machines reserved", machines.len());
        for id in &machines {
            self.clear_queue(id);
        }
        let reservation = Reservation::Machines(machines);
        self.sched.reservations.insert(job.to_owned(), reservation);
    }

    /// Other work must not wait for long beside reserved room, so a reservation that has not led to a
    /// start in time pauses.
    fn may_reserve(&mut self, now: Ms, job: &str) -> bool {
        let reserved = self.sched.reservations.contains_key(job);
        let gang = self.works.get_mut(job).and_then(|w| w.gang.as_mut());
        let Some(gang) = gang else {
            return false;
        };
        if !reserved {
            gang.reserved_since = None;
        }
        let since = *gang.reserved_since.get_or_insert(now);
        if now >= since + k::GANG_RESERVED_MAX_MS {
            gang.reserve_after = now + k::GANG_RESERVE_PAUSE_MS;
        }
        now >= gang.reserve_after
    }

    /// Whether the team's limit has room for the gang once all but the team's services has ended.
    fn limit_will_allow(&self, ctx: &Ctx, work: &Work) -> bool {
        let Some(team) = ctx.set.team(&work.spec.team) else {
            return false;
        };
        let of_team = |w: &&Work| w.spec.team == team.name && w.spec.kind == JobKind::Service;
        let whole = |w: &Work| f64::from(w.spec.tasks) * w.spec.cpus;
        let services: f64 = self.works.values().filter(of_team).map(whole).sum();
        services + whole(work) <= team.cpus_max + k::EPSILON
    }

    /// Whether the machines reserved for a gang will have room for all of it. More urgent work may have
    /// taken some of that.
    fn suitable_reservation(&self, ctx: &Ctx, job: &str) -> bool {
        let Some(Reservation::Machines(kept)) = self.sched.reservations.get(job) else {
            return false;
        };
        let Some(work) = self.works.get(job) else {
            return false;
        };
        let machines = kept.iter().filter_map(|id| self.machines.get(id));
        let usable = machines.filter(|m| self.usable(ctx, m, work));
        let no_run_times = HashMap::new();
        let slots: usize = usable
            .map(|m| self.slots_to_come(ctx.now.ms, m, work, &no_run_times).len())
            .sum();
        slots >= work.spec.tasks as usize
    }

    fn reserved_machines(&self) -> usize {
        let reservations = self.sched.reservations.values();
        let counts = reservations.map(|r| match r {
            Reservation::Machines(ids) => ids.len(),
            Reservation::Team(_) => 0,
        });
        counts.sum()
    }

    /// The machines on which a gang would have its room soonest.
    fn machines_to_reserve(&mut self, ctx: &Ctx, job: &str) -> Option<BTreeSet<String>> {
        let run_ms = self.mean_run_ms();
        let work = self.works.get(job)?;
        let mut by_zone: BTreeMap<&str, Vec<Slot>> = BTreeMap::new();
        for m in self.machines.values() {
            if self.is_kept(&m.id, job) || !self.usable(ctx, m, work) {
                continue;
            }
            let zone = if work.spec.one_zone {
                m.zone.as_str()
            } else {
                ""
            };
            let slots = by_zone.entry(zone).or_default();
            slots.extend(self.slots_to_come(ctx.now.ms, m, work, &run_ms));
        }
        let tasks = work.spec.tasks as usize;
        let mut soonest: Option<(Ms, BTreeSet<String>)> = None;
        for slots in by_zone.values_mut() {
            slots.sort_by(|a, b| (a.free_in_ms, &a.machine).cmp(&(b.free_in_ms, &b.machine)));
            slots.truncate(tasks);
            let Some(last) = slots.last().filter(|_| slots.len() == tasks) else {
                continue;
            };
            if soonest.as_ref().is_none_or(|(at, _)| last.free_in_ms < *at) {
                let machines = slots.iter().map(|s| s.machine.clone()).collect();
                soonest = Some((last.free_in_ms, machines));
            }
        }
        let in_time = soonest.filter(|(at, _)| *at <= k::GANG_RESERVED_MAX_MS);
        in_time.map(|(_, machines)| machines)
    }

    /// How long a task of each job runs on average, ms.
    fn mean_run_ms(&mut self) -> HashMap<String, Ms> {
        let sched = &mut self.sched;
        let works = self.works.iter();
        works
            .map(|(id, w)| (id.clone(), (sched.mean_s(&w.spec) * 1e3) as Ms))
            .collect()
    }

    /// When a machine has room for a task of the gang, for the second and so on: services stay.
    fn slots_to_come(
        &self,
        now: Ms,
        m: &Machine,
        work: &Work,
        run_ms: &HashMap<String, Ms>,
    ) -> Vec<Slot> {
        let need = Resources::of_task(&work.spec);
        let Some(mut free) = self.free(m) else {
            return vec![];
        };
        let mut ends: Vec<(Ms, Resources)> = vec![];
        for p in m.placements.iter().filter(|p| p.present()) {
            let taken = Resources {
                cpus: p.cpus,
                gpus: p.gpus,
                memory_gb: p.memory,
            };
            let ended = p.stop.is_some() || !self.works.contains_key(&p.job);
            let stays = self
                .works
                .get(&p.job)
                .is_some_and(|w| w.spec.estimate_s <= 0.0);
            if ended {
                ends.push((0, taken));
            } else if !stays {
                let ran = p.running_at.map_or(0, |at| now.saturating_sub(at));
                let run = run_ms.get(&p.job).copied().unwrap_or(0);
                ends.push((run.saturating_sub(ran).max(k::GANG_SOONEST_END_MS), taken));
            }
        }
        ends.sort_by_key(|(at, _)| *at);
        let mut slots = vec![];
        let mut count = 0;
        for (at, taken) in std::iter::once((0, Resources::default())).chain(ends) {
            free += taken;
            while free.times(&need) > count {
                count += 1;
                slots.push(Slot {
                    free_in_ms: at,
                    machine: m.id.clone(),
                });
            }
        }
        slots
    }

    /// Stops lesser work so that the whole gang finds room, where that loses least; nothing is
    /// stopped where it would not suffice. `guarantee`: also what other teams run beyond theirs.
    pub(super) fn make_room_for_gang(&mut self, ctx: &Ctx, job: &str, guarantee: bool) {
        let now = ctx.now.ms;
        if self.sched.making.iter().any(|made| made.job == job) {
            return;
        }
        let mut claims = self.claims(now);
        let Some(work) = self.works.get(job) else {
            return;
        };
        if !self.allows_whole(ctx, work) {
            return;
        }
        let wanted = RoomWanted {
            work,
            tasks: work.spec.tasks,
            guarantee,
        };
        let used = self.kept_by_teams(ctx, guarantee);
        let mut by_zone: BTreeMap<&str, Vec<RoomOffer>> = BTreeMap::new();
        for m in self.machines.values() {
            if !self.usable(ctx, m, work) || self.is_kept(&m.id, job) {
                continue;
            }
            let zone = if work.spec.one_zone {
                m.zone.as_str()
            } else {
                ""
            };
            let offers = self.room_offers(ctx, m, &wanted, &claims, &used);
            by_zone.entry(zone).or_default().extend(offers);
        }
        let tasks = work.spec.tasks as usize;
        let choices = by_zone.into_values().filter_map(|o| cheapest(o, tasks));
        let choice = choices.min_by_key(|(cost, _)| *cost);
        if let Some((cost, offers)) = choice {
            let stops: usize = offers.iter().map(|o| o.stops.len()).sum();
            log::info!("gang {job} pushes {stops} tasks aside, cost {cost} ms");
            self.take_offers(ctx, job, offers, &mut claims, true);
        }
    }

    /// Queued tasks must not take room that is kept or being made.
    pub fn clear_queue(&mut self, machine: &str) {
        let Some(mut m) = self.machines.edit(machine) else {
            return;
        };
        for (job, index) in std::mem::take(&mut m.held) {
            if let Some(w) = self.works.get_mut(&job) {
                w.give_back(index);
            }
        }
    }

    /// Whether a machine is reserved for another gang.
    pub fn is_reserved(&self, machine: &str, job: &str) -> bool {
        self.reserving_priority(machine, job).is_some()
    }

    /// The priority of the other gang that a machine is reserved for, of the highest if for several.
    pub(super) fn reserving_priority(&self, machine: &str, job: &str) -> Option<Priority> {
        let reservations = self.sched.reservations.iter();
        let others = reservations.filter(|(other, _)| *other != job);
        let here = others
            .filter(|(_, r)| matches!(r, Reservation::Machines(ids) if ids.contains(machine)));
        here.filter_map(|(other, _)| Some(self.works.get(other)?.spec.priority))
            .max()
    }

    /// Whether what a team may still take is reserved for a gang other than `job`.
    pub fn is_team_reserved(&self, team: &str, job: &str) -> bool {
        let mut others = self.sched.reservations.iter().filter(|(j, _)| *j != job);
        others.any(|(_, r)| matches!(r, Reservation::Team(t) if t == team))
    }
}

/// The cheapest so many offers and their cost together. A machine's offers build on each other, and
/// each costs at least as much as the one before, so a machine's first are always taken first.
fn cheapest(mut offers: Vec<RoomOffer>, tasks: usize) -> Option<(u64, Vec<RoomOffer>)> {
    offers.sort_by(|a, b| (a.cost, &a.machine, a.order).cmp(&(b.cost, &b.machine, b.order)));
    if offers.len() < tasks {
        return None;
    }
    offers.truncate(tasks);
    let cost = offers.iter().map(|o| o.cost).sum();
    Some((cost, offers))
}
