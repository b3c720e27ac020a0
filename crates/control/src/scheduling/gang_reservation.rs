//! Room for gangs that wait: made by stopping lesser work, whole or not at all, or kept on
//! machines as their tasks end.
//!
//! The design has deadline-free work fill leftover room. None is ever left over for a whole gang
//! while single tasks keep arriving, so a gang that waits has machines reserved, as many as it
//! needs. A machine is reserved for one gang only and a gang reserves nothing or enough for all its
//! tasks, so no two gangs each keep half of what both need.
use super::gang_placement::{placement_policy, GangPlacer, PlacementPolicy};
use super::preemption::{
    preemption_offers, team_cpus_after_stops, Preemption, PreemptionOffer, PreemptionRequest,
};
use super::reservations::GangReservation;
use super::state::SchedulingState;
use crate::api::Millis;
use crate::cluster::ClusterState;
use crate::cluster::{JobState, Machine};
use crate::context::LeaderContext;
use crate::resources::Resources;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use stonegw_constants::{
    GANG_MIN_REMAINING_MS, GANG_RESERVATION_DELAY_MS, GANG_RESERVATION_MACHINES_DIVISOR,
    GANG_RESERVATION_MAX_MS, GANG_RESERVATION_PAUSE_MS, QUOTA_RECLAIM_WAIT_MS, RESOURCE_EPSILON,
};
use stonegw_wire::msg::JobKind;

/// Room for one task that a machine will have.
struct FutureSlot {
    free_in_ms: Millis,
    machine: String,
}

/// Reserves or clears capacity for whole gangs.
pub struct GangReserver<'a> {
    cluster: &'a mut ClusterState,
    scheduling: &'a mut SchedulingState,
}

impl<'a> GangReserver<'a> {
    pub fn new(cluster: &'a mut ClusterState, scheduling: &'a mut SchedulingState) -> Self {
        GangReserver {
            cluster,
            scheduling,
        }
    }
}

impl GangReserver<'_> {
    /// Places the gangs that need only leftover room. Urgent ones also push lesser work aside.
    pub fn place_gangs_first_fit(&mut self, context: &LeaderContext) {
        let waiting = self.cluster.waiting_gangs(context);
        if waiting.is_empty() {
            return;
        }
        let roomy = self.cluster.machines_with_capacity(context);
        for job in waiting {
            let Some(work) = self.cluster.jobs.get(&job) else {
                continue;
            };
            if placement_policy(work, context.now) != PlacementPolicy::FirstFit {
                continue;
            }
            let urgent = work.is_urgent();
            if !GangPlacer::new(self.cluster, self.scheduling).place_gang(context, &job, &roomy)
                && urgent
            {
                self.preempt_for_gang(context, &job, false);
            }
        }
    }

    /// Each mapping: who waits for long has room reserved, and takes back what other teams borrow
    /// from its team's guarantee.
    pub fn reserve_for_gangs(&mut self, context: &LeaderContext) {
        let waiting = self.cluster.waiting_gangs(context);
        let waits: BTreeSet<&String> = waiting.iter().collect();
        self.scheduling
            .reservations
            .gang_reservations
            .retain(|job, _| waits.contains(job));
        if waiting.is_empty() {
            return;
        }
        let roomy = self.cluster.machines_with_capacity(context);
        for job in &waiting {
            let Some(work) = self.cluster.jobs.get(job) else {
                continue;
            };
            if work.gang_waited_ms(context.now) < GANG_RESERVATION_DELAY_MS
                || GangPlacer::new(self.cluster, self.scheduling).place_gang(context, job, &roomy)
            {
                continue;
            }
            self.reserve_for_gang(context, job);
            let Some(work) = self.cluster.jobs.get(job) else {
                continue;
            };
            let waited = work.gang_waited_ms(context.now);
            if waited >= QUOTA_RECLAIM_WAIT_MS && self.cluster.gang_within_quota(context, work) {
                self.preempt_for_gang(context, job, true);
            }
        }
    }

    fn reserve_for_gang(&mut self, context: &LeaderContext, job: &str) {
        if !self.may_reserve_for_gang(context.now.monotonic_ms, job) {
            self.scheduling.reservations.gang_reservations.remove(job);
            return;
        }
        let Some(work) = self.cluster.jobs.get(job) else {
            return;
        };
        if !self.cluster.gang_within_limit(context, work) {
            if self.will_limit_fit_gang(context, work) {
                let reservation = GangReservation::TeamLimit(work.spec.team.clone());
                self.scheduling
                    .reservations
                    .gang_reservations
                    .insert(job.to_owned(), reservation);
            }
            return;
        }
        if self.is_reservation_sufficient(context, job) {
            return;
        }
        self.scheduling.reservations.gang_reservations.remove(job);
        let Some(machines) = self.machines_to_reserve(context, job) else {
            return;
        };
        // Most of the fleet goes on with single tasks. A gang that needs more than that part has it to
        // itself.
        let others = self.scheduling.reservations.reserved_machine_count();
        if others > 0
            && others + machines.len()
                > self.cluster.machines.len() / GANG_RESERVATION_MACHINES_DIVISOR
        {
            return;
        }
        log::debug!("gang {job} has {} machines reserved", machines.len());
        for id in &machines {
            self.cluster.requeue_machine_queue(id);
        }
        let reservation = GangReservation::Machines(machines);
        self.scheduling
            .reservations
            .gang_reservations
            .insert(job.to_owned(), reservation);
    }

    /// Other work must not wait for long beside reserved room, so a reservation that has not led to a
    /// start in time pauses.
    fn may_reserve_for_gang(&mut self, now: Millis, job: &str) -> bool {
        let reserved = self
            .scheduling
            .reservations
            .gang_reservations
            .contains_key(job);
        let gang = self.cluster.jobs.get_mut(job).and_then(|w| w.gang.as_mut());
        let Some(gang) = gang else {
            return false;
        };
        if !reserved {
            gang.reserved_since = None;
        }
        let since = *gang.reserved_since.get_or_insert(now);
        if now >= since + GANG_RESERVATION_MAX_MS {
            gang.reservation_allowed_at = now + GANG_RESERVATION_PAUSE_MS;
        }
        now >= gang.reservation_allowed_at
    }

    /// Whether the team's limit has room for the gang once all but the team's services has ended.
    fn will_limit_fit_gang(&self, context: &LeaderContext, work: &JobState) -> bool {
        let Some(team) = context.settings.team(&work.spec.team) else {
            return false;
        };
        let of_team = |w: &&JobState| w.spec.team == team.name && w.spec.kind == JobKind::Service;
        let whole = |w: &JobState| f64::from(w.spec.task_count) * w.spec.cpus;
        let services: f64 = self.cluster.jobs.values().filter(of_team).map(whole).sum();
        services + whole(work) <= team.limit_cpus + RESOURCE_EPSILON
    }

    /// Whether the machines reserved for a gang will have room for all of it. More urgent work may have
    /// taken some of that.
    fn is_reservation_sufficient(&self, context: &LeaderContext, job: &str) -> bool {
        let Some(GangReservation::Machines(kept)) =
            self.scheduling.reservations.gang_reservations.get(job)
        else {
            return false;
        };
        let Some(work) = self.cluster.jobs.get(job) else {
            return false;
        };
        let machines = kept.iter().filter_map(|id| self.cluster.machines.get(id));
        let usable = machines.filter(|m| self.cluster.is_eligible(context, m, work));
        let no_run_times = HashMap::new();
        let slots: usize = usable
            .map(|m| {
                self.future_slots(context.now.monotonic_ms, m, work, &no_run_times)
                    .len()
            })
            .sum();
        slots >= work.spec.task_count as usize
    }

    /// The machines on which a gang would have its room soonest.
    fn machines_to_reserve(
        &mut self,
        context: &LeaderContext,
        job: &str,
    ) -> Option<BTreeSet<String>> {
        let run_ms = self.mean_run_ms_by_job();
        let work = self.cluster.jobs.get(job)?;
        let mut by_zone: BTreeMap<&str, Vec<FutureSlot>> = BTreeMap::new();
        for m in self.cluster.machines.values() {
            if self
                .scheduling
                .reservations
                .is_reserved_for_other(&self.cluster.jobs, &m.id, job)
                || !self.cluster.is_eligible(context, m, work)
            {
                continue;
            }
            let zone = if work.spec.requires_single_zone {
                m.zone.as_str()
            } else {
                ""
            };
            let slots = by_zone.entry(zone).or_default();
            slots.extend(self.future_slots(context.now.monotonic_ms, m, work, &run_ms));
        }
        let tasks = work.spec.task_count as usize;
        let mut soonest: Option<(Millis, BTreeSet<String>)> = None;
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
        let in_time = soonest.filter(|(at, _)| *at <= GANG_RESERVATION_MAX_MS);
        in_time.map(|(_, machines)| machines)
    }

    /// How long a task of each job runs on average, ms.
    fn mean_run_ms_by_job(&mut self) -> HashMap<String, Millis> {
        let estimates = &mut self.scheduling.estimates;
        let works = self.cluster.jobs.iter();
        works
            .map(|(id, w)| (id.clone(), (estimates.mean_run_s(&w.spec) * 1e3) as Millis))
            .collect()
    }

    /// When a machine has room for a task of the gang, for the second and so on: services stay.
    fn future_slots(
        &self,
        now: Millis,
        m: &Machine,
        work: &JobState,
        run_ms: &HashMap<String, Millis>,
    ) -> Vec<FutureSlot> {
        let need = Resources::of_task(&work.spec);
        let Some(mut free) = self.cluster.free_resources(m) else {
            return vec![];
        };
        let mut ends: Vec<(Millis, Resources)> = vec![];
        for p in m.placements.iter().filter(|p| p.is_present()) {
            let taken = Resources {
                cpus: p.cpus,
                gpus: p.gpus,
                memory_gb: p.memory_gb,
            };
            let ended = p.stop_grace_s.is_some() || !self.cluster.jobs.contains_key(&p.job);
            let stays = self
                .cluster
                .jobs
                .get(&p.job)
                .is_some_and(|w| w.spec.estimated_run_time_s <= 0.0);
            if ended {
                ends.push((0, taken));
            } else if !stays {
                let ran = p.running_at.map_or(0, |at| now.saturating_sub(at));
                let run = run_ms.get(&p.job).copied().unwrap_or(0);
                ends.push((run.saturating_sub(ran).max(GANG_MIN_REMAINING_MS), taken));
            }
        }
        ends.sort_by_key(|(at, _)| *at);
        let mut slots = vec![];
        let mut count = 0;
        for (at, taken) in std::iter::once((0, Resources::default())).chain(ends) {
            free += taken;
            while free.count_fitting(&need) > count {
                count += 1;
                slots.push(FutureSlot {
                    free_in_ms: at,
                    machine: m.id.clone(),
                });
            }
        }
        slots
    }

    /// Stops lesser work so that the whole gang finds room, where that loses least; nothing is
    /// stopped where it would not suffice. `guarantee`: also what other teams run beyond theirs.
    pub(super) fn preempt_for_gang(&mut self, context: &LeaderContext, job: &str, guarantee: bool) {
        let now = context.now.monotonic_ms;
        if self
            .scheduling
            .reservations
            .preemption_plans
            .iter()
            .any(|made| made.job == job)
        {
            return;
        }
        let mut claims =
            Preemption::new(self.cluster, self.scheduling).refresh_preemption_claims(now);
        let Some(work) = self.cluster.jobs.get(job) else {
            return;
        };
        if !self.cluster.gang_within_limit(context, work) {
            return;
        }
        let wanted = PreemptionRequest {
            job: work,
            tasks: work.spec.task_count,
            reclaims_quota: guarantee,
        };
        let used = team_cpus_after_stops(self.cluster, context, guarantee);
        let mut by_zone: BTreeMap<&str, Vec<PreemptionOffer>> = BTreeMap::new();
        for m in self.cluster.machines.values() {
            if !self.cluster.is_eligible(context, m, work)
                || self.scheduling.reservations.is_reserved_for_other(
                    &self.cluster.jobs,
                    &m.id,
                    job,
                )
            {
                continue;
            }
            let zone = if work.spec.requires_single_zone {
                m.zone.as_str()
            } else {
                ""
            };
            let offers = preemption_offers(self.cluster, context, m, &wanted, &claims, &used);
            by_zone.entry(zone).or_default().extend(offers);
        }
        let tasks = work.spec.task_count as usize;
        let choices = by_zone
            .into_values()
            .filter_map(|o| cheapest_offers(o, tasks));
        let choice = choices.min_by_key(|(cost, _)| *cost);
        if let Some((cost, offers)) = choice {
            let stops: usize = offers.iter().map(|o| o.victims.len()).sum();
            log::info!("gang {job} pushes {stops} tasks aside, cost {cost} ms");
            Preemption::new(self.cluster, self.scheduling).carry_out_preemption(
                context,
                job,
                offers,
                &mut claims,
                true,
            );
        }
    }
}

/// The cheapest so many offers and their cost together. A machine's offers build on each other, and
/// each costs at least as much as the one before, so a machine's first are always taken first.
fn cheapest_offers(
    mut offers: Vec<PreemptionOffer>,
    tasks: usize,
) -> Option<(u64, Vec<PreemptionOffer>)> {
    offers.sort_by(|a, b| {
        (a.cost_ms, &a.machine, a.machine_order).cmp(&(b.cost_ms, &b.machine, b.machine_order))
    });
    if offers.len() < tasks {
        return None;
    }
    offers.truncate(tasks);
    let cost = offers.iter().map(|o| o.cost_ms).sum();
    Some((cost, offers))
}
