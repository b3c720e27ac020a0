//! Provides capacity for waiting gangs: it is either cleared by preemption, for the whole gang or
//! not at all, or reserved on machines whose tasks end.
//!
//! The design (`docs/design.md`) lets work without a deadline fill leftover capacity. While single
//! tasks keep arriving, there is never enough left over for a whole gang. Therefore as many
//! machines as a waiting gang needs are reserved for it. A machine is reserved for one gang only,
//! and a gang reserves either nothing or enough for all its tasks, so no two gangs can each hold
//! half of the machines that both need.
use super::gang_placement::{placement_policy, GangPlacer, PlacementPolicy};
use super::preemption::Preemption;
use super::preemption_search::{
    PreemptionOffer, PreemptionRequest, PreemptionScope, PreemptionSearch,
};
use super::reservations::GangReservation;
use super::state::SchedulingState;
use crate::api::Millis;
use crate::cluster::{ClusterState, JobState, Machine, Placement};
use crate::context::LeaderContext;
use crate::resources::Resources;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use stonegw_constants::{
    GANG_MIN_REMAINING_MS, GANG_RESERVATION_DELAY_MS, GANG_RESERVATION_MACHINES_DIVISOR,
    GANG_RESERVATION_MAX_MS, GANG_RESERVATION_PAUSE_MS, QUOTA_RECLAIM_WAIT_MS, RESOURCE_EPSILON,
};
use stonegw_wire::msg::JobKind;

/// Capacity for one task of a gang that a machine has now or will have.
struct FutureSlot {
    free_in_ms: Millis,
    machine: String,
}

/// Resources that a task will release, and when.
struct FutureRelease {
    in_ms: Millis,
    resources: Resources,
}

/// Machines that will have capacity for a whole gang.
struct ReservableMachines {
    free_in_ms: Millis,
    machines: BTreeSet<String>,
}

/// The tasks that have to be stopped for a whole gang.
struct GangPreemption {
    cost_ms: u64,
    offers: Vec<PreemptionOffer>,
}

/// Reserves or clears capacity for whole gangs.
pub struct GangReserver<'a> {
    cluster: &'a mut ClusterState,
    scheduling: &'a mut SchedulingState,
}

impl<'a> GangReserver<'a> {
    /// Creates a gang reserver for this cluster and the scheduler's shared state.
    pub fn new(cluster: &'a mut ClusterState, scheduling: &'a mut SchedulingState) -> Self {
        GangReserver {
            cluster,
            scheduling,
        }
    }
}

impl GangReserver<'_> {
    /// Places the waiting gangs that run in leftover capacity. Urgent ones also preempt tasks of
    /// lower priority.
    pub fn place_gangs_first_fit(&mut self, context: &LeaderContext) {
        let waiting = self.cluster.waiting_gangs(context);
        if waiting.is_empty() {
            return;
        }
        let machines = self.cluster.machines_with_capacity(context);
        for job_id in waiting {
            let Some(job) = self.cluster.jobs.get(&job_id) else {
                continue;
            };
            if placement_policy(job, context.now) != PlacementPolicy::FirstFit {
                continue;
            }
            let is_urgent = job.is_urgent();
            if !self.place_gang(context, &job_id, &machines) && is_urgent {
                self.preempt_for_gang(context, &job_id, PreemptionScope::LowerPriority);
            }
        }
    }

    /// Reserves machines for gangs that have waited for `GANG_RESERVATION_DELAY_MS` and can't be
    /// placed yet. A gang within its team's quota also reclaims the capacity that other teams use
    /// beyond their quotas. Called in each full pass.
    pub fn reserve_for_gangs(&mut self, context: &LeaderContext) {
        let waiting = self.cluster.waiting_gangs(context);
        let waiting_set: BTreeSet<&String> = waiting.iter().collect();
        let reservations = &mut self.scheduling.reservations.gang_reservations;
        reservations.retain(|job, _| waiting_set.contains(job));
        if waiting.is_empty() {
            return;
        }
        let machines = self.cluster.machines_with_capacity(context);
        for job_id in &waiting {
            let Some(job) = self.cluster.jobs.get(job_id) else {
                continue;
            };
            if job.gang_waited_ms(context.now) < GANG_RESERVATION_DELAY_MS
                || self.place_gang(context, job_id, &machines)
            {
                continue;
            }
            self.reserve_for_gang(context, job_id);
            if self.may_reclaim_quota(context, job_id) {
                self.preempt_for_gang(context, job_id, PreemptionScope::QuotaReclaim);
            }
        }
    }

    fn place_gang(&mut self, context: &LeaderContext, job: &str, machines: &[String]) -> bool {
        GangPlacer::new(self.cluster, self.scheduling).place_gang(context, job, machines)
    }

    fn may_reclaim_quota(&self, context: &LeaderContext, job: &str) -> bool {
        self.cluster.jobs.get(job).is_some_and(|job| {
            job.gang_waited_ms(context.now) >= QUOTA_RECLAIM_WAIT_MS
                && self.cluster.gang_within_quota(context, job)
        })
    }

    fn reserve_for_gang(&mut self, context: &LeaderContext, job_id: &str) {
        if !self.may_reserve_for_gang(context.now.monotonic_ms, job_id) {
            self.release(job_id);
            return;
        }
        let Some(job) = self.cluster.jobs.get(job_id) else {
            return;
        };
        if !self.cluster.gang_within_limit(context, job) {
            if self.will_fit_team_limit(context, job) {
                let reservation = GangReservation::TeamLimit(job.spec.team.clone());
                self.reserve(job_id, reservation);
            }
            return;
        }
        if self.is_reservation_sufficient(context, job_id) {
            return;
        }
        self.release(job_id);
        let Some(machines) = self.machines_to_reserve(context, job_id) else {
            return;
        };
        if !self.fits_reservation_share(machines.len()) {
            return;
        }
        log::debug!("gang {job_id} has {} machines reserved", machines.len());
        for id in &machines {
            self.cluster.requeue_machine_queue(id);
        }
        self.reserve(job_id, GangReservation::Machines(machines));
    }

    fn reserve(&mut self, job: &str, reservation: GangReservation) {
        let reservations = &mut self.scheduling.reservations.gang_reservations;
        reservations.insert(job.to_owned(), reservation);
    }

    fn release(&mut self, job: &str) {
        let reservations = &mut self.scheduling.reservations.gang_reservations;
        reservations.remove(job);
    }

    /// Returns whether `machine_count` more machines may be reserved for a gang. All gangs together
    /// may reserve one in `GANG_RESERVATION_MACHINES_DIVISOR` machines, so that most of the
    /// cluster remains available to single tasks. A gang that needs more may reserve it if no other
    /// gang has machines reserved.
    fn fits_reservation_share(&self, machine_count: usize) -> bool {
        let reserved = self.scheduling.reservations.reserved_machine_count();
        let share = self.cluster.machines.len() / GANG_RESERVATION_MACHINES_DIVISOR;
        reserved == 0 || reserved + machine_count <= share
    }

    /// Returns whether capacity may be reserved for the gang now. A reservation that has not led to
    /// a start in time is paused, because other jobs must not wait for long beside reserved
    /// capacity.
    fn may_reserve_for_gang(&mut self, now: Millis, job: &str) -> bool {
        let reservations = &self.scheduling.reservations.gang_reservations;
        let is_reserved = reservations.contains_key(job);
        let job = self.cluster.jobs.get_mut(job);
        let Some(gang) = job.and_then(|job| job.gang.as_mut()) else {
            return false;
        };
        if !is_reserved {
            gang.reserved_since = None;
        }
        let reserved_since = *gang.reserved_since.get_or_insert(now);
        if now >= reserved_since + GANG_RESERVATION_MAX_MS {
            gang.reservation_allowed_at = now + GANG_RESERVATION_PAUSE_MS;
        }
        now >= gang.reservation_allowed_at
    }

    /// Returns whether the gang fits into the team's limit once all jobs of the team except its
    /// services have ended.
    fn will_fit_team_limit(&self, context: &LeaderContext, gang: &JobState) -> bool {
        let Some(team) = context.settings.team(&gang.spec.team) else {
            return false;
        };
        let all_cpus = |job: &JobState| f64::from(job.spec.task_count) * job.spec.cpus;
        let jobs = self.cluster.jobs.values();
        let services =
            jobs.filter(|job| job.spec.team == team.name && job.spec.kind == JobKind::Service);
        let service_cpus: f64 = services.map(all_cpus).sum();
        service_cpus + all_cpus(gang) <= team.limit_cpus + RESOURCE_EPSILON
    }

    /// Returns whether the machines reserved for a gang have or will have capacity for all of it.
    /// More urgent tasks may have taken some of that capacity since the reservation.
    fn is_reservation_sufficient(&self, context: &LeaderContext, job_id: &str) -> bool {
        let reservation = self.scheduling.reservations.gang_reservations.get(job_id);
        let Some(GangReservation::Machines(reserved)) = reservation else {
            return false;
        };
        let Some(job) = self.cluster.jobs.get(job_id) else {
            return false;
        };
        let now = context.now.monotonic_ms;
        let no_run_times = HashMap::new();
        let slots: usize = reserved
            .iter()
            .filter_map(|id| self.cluster.machines.get(id))
            .filter(|machine| self.cluster.is_eligible(context, machine, job))
            .map(|machine| self.future_slots(now, machine, job, &no_run_times).len())
            .sum();
        slots >= job.spec.task_count as usize
    }

    /// Returns the machines on which a gang would have its capacity soonest, or `None` if that
    /// takes longer than a reservation may last.
    fn machines_to_reserve(
        &mut self,
        context: &LeaderContext,
        job: &str,
    ) -> Option<BTreeSet<String>> {
        let mean_run_ms = self.mean_run_ms_by_job();
        let job = self.cluster.jobs.get(job)?;
        let now = context.now.monotonic_ms;
        let slots_by_zone = self.collect_by_zone(context, job, |machine| {
            self.future_slots(now, machine, job, &mean_run_ms)
        });
        let task_count = job.spec.task_count as usize;
        let soonest = slots_by_zone
            .into_iter()
            .filter_map(|slots| soonest_slots(slots, task_count))
            .min_by_key(|reservable| reservable.free_in_ms);
        let in_time = soonest.filter(|reservable| reservable.free_in_ms <= GANG_RESERVATION_MAX_MS);
        in_time.map(|reservable| reservable.machines)
    }

    /// Collects what `find` returns for each machine that the gang may use. If the gang must be in
    /// one zone there is one list per zone, in the order of the zones' names; otherwise there is
    /// one list in all.
    fn collect_by_zone<T>(
        &self,
        context: &LeaderContext,
        job: &JobState,
        find: impl Fn(&Machine) -> Vec<T>,
    ) -> Vec<Vec<T>> {
        let reservations = &self.scheduling.reservations;
        let jobs = &self.cluster.jobs;
        let mut by_zone: BTreeMap<&str, Vec<T>> = BTreeMap::new();
        for machine in self.cluster.machines.values() {
            if !self.cluster.is_eligible(context, machine, job)
                || reservations.is_reserved_for_other(jobs, &machine.id, &job.spec.id)
            {
                continue;
            }
            let zone = if job.spec.requires_single_zone {
                machine.zone.as_str()
            } else {
                ""
            };
            by_zone.entry(zone).or_default().extend(find(machine));
        }
        by_zone.into_values().collect()
    }

    /// Returns the mean run time of a task by job, in milliseconds.
    fn mean_run_ms_by_job(&mut self) -> HashMap<String, Millis> {
        let estimates = &mut self.scheduling.estimates;
        let jobs = self.cluster.jobs.iter();
        jobs.map(|(id, job)| {
            (
                id.clone(),
                (estimates.mean_run_s(&job.spec) * 1e3) as Millis,
            )
        })
        .collect()
    }

    /// Returns when a machine will have capacity for the first task of the gang, for the second and
    /// so on. Tasks of jobs without an estimated run time are not expected to end by themselves.
    fn future_slots(
        &self,
        now: Millis,
        machine: &Machine,
        job: &JobState,
        mean_run_ms: &HashMap<String, Millis>,
    ) -> Vec<FutureSlot> {
        let need = Resources::of_task(&job.spec);
        let Some(mut free) = self.cluster.free_resources(machine) else {
            return vec![];
        };
        let present = machine.placements.iter().filter(|task| task.is_present());
        let mut releases: Vec<FutureRelease> = present
            .filter_map(|placement| self.future_release(now, placement, mean_run_ms))
            .collect();
        releases.sort_by_key(|release| release.in_ms);
        let free_now = FutureRelease {
            in_ms: 0,
            resources: Resources::default(),
        };
        let mut slots = vec![];
        let mut slot_count = 0;
        for release in std::iter::once(free_now).chain(releases) {
            free += release.resources;
            while free.count_fitting(&need) > slot_count {
                slot_count += 1;
                slots.push(FutureSlot {
                    free_in_ms: release.in_ms,
                    machine: machine.id.clone(),
                });
            }
        }
        slots
    }

    /// Returns the resources that a task on a machine will release, or `None` if the task does not
    /// end by itself.
    fn future_release(
        &self,
        now: Millis,
        placement: &Placement,
        mean_run_ms: &HashMap<String, Millis>,
    ) -> Option<FutureRelease> {
        let job = self.cluster.jobs.get(&placement.job);
        let is_ending = placement.stop_grace_s.is_some() || job.is_none();
        let never_ends = job.is_some_and(|job| job.spec.estimated_run_time_s <= 0.0);
        let in_ms = if is_ending {
            0
        } else if never_ends {
            return None;
        } else {
            let ran_ms = placement.running_at.map_or(0, |at| now.saturating_sub(at));
            let run_ms = mean_run_ms.get(&placement.job).copied().unwrap_or(0);
            run_ms.saturating_sub(ran_ms).max(GANG_MIN_REMAINING_MS)
        };
        Some(FutureRelease {
            in_ms,
            resources: placement.resources(),
        })
    }

    /// Stops the tasks allowed by `scope` whose loss is least, so that there is capacity for the
    /// whole gang. Stops none if that would not suffice.
    fn preempt_for_gang(&mut self, context: &LeaderContext, job_id: &str, scope: PreemptionScope) {
        let reservations = &self.scheduling.reservations;
        if reservations.has_preemption_plan(job_id) {
            return;
        }
        let now = context.now.monotonic_ms;
        let mut preemption = Preemption::new(self.cluster, self.scheduling);
        let mut claims = preemption.refresh_preemption_claims(now);
        let Some(job) = self.cluster.jobs.get(job_id) else {
            return;
        };
        if !self.cluster.gang_within_limit(context, job) {
            return;
        }
        let request = PreemptionRequest {
            job,
            tasks: job.spec.task_count,
            scope,
        };
        let search = PreemptionSearch::new(self.cluster, context, request, &claims);
        let offers_by_zone =
            self.collect_by_zone(context, job, |machine| search.offers_on(machine));
        let task_count = job.spec.task_count as usize;
        let cheapest = offers_by_zone
            .into_iter()
            .filter_map(|offers| cheapest_offers(offers, task_count))
            .min_by_key(|preemption| preemption.cost_ms);
        let Some(GangPreemption { cost_ms, offers }) = cheapest else {
            return;
        };
        let victim_count: usize = offers.iter().map(|offer| offer.victims.len()).sum();
        log::info!("gang {job_id} preempts {victim_count} tasks, cost {cost_ms} ms");
        let mut preemption = Preemption::new(self.cluster, self.scheduling);
        preemption.reserve_cleared_capacity(context, job_id, &offers);
        preemption.carry_out_preemption(context, job_id, &offers, &mut claims);
    }
}

/// Returns the machines of the `task_count` soonest slots, or `None` if there are too few slots.
fn soonest_slots(mut slots: Vec<FutureSlot>, task_count: usize) -> Option<ReservableMachines> {
    slots.sort_by(|a, b| (a.free_in_ms, &a.machine).cmp(&(b.free_in_ms, &b.machine)));
    slots.truncate(task_count);
    let last = slots.last().filter(|_| slots.len() == task_count)?;
    Some(ReservableMachines {
        free_in_ms: last.free_in_ms,
        machines: slots.iter().map(|slot| slot.machine.clone()).collect(),
    })
}

/// Returns the `task_count` cheapest offers, or `None` if there are too few. A machine's offers
/// build on each other, and each costs at least as much as the one before, so they are always taken
/// in their order.
fn cheapest_offers(mut offers: Vec<PreemptionOffer>, task_count: usize) -> Option<GangPreemption> {
    offers.sort_by(|a, b| {
        (a.cost_ms, &a.machine, a.index_on_machine).cmp(&(
            b.cost_ms,
            &b.machine,
            b.index_on_machine,
        ))
    });
    if offers.len() < task_count {
        return None;
    }
    offers.truncate(task_count);
    let cost_ms = offers.iter().map(|offer| offer.cost_ms).sum();
    Some(GangPreemption { cost_ms, offers })
}
