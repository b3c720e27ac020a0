//! The order in which the scheduler's parts work.
//!
//! Deadline tasks follow the rules of the design: in each full pass every task picks the machine with its best
//! chance and the soonest-finishing pair is placed first; what is below the deferring threshold waits; queued
//! tasks below the drop threshold leave their queue while the overload toggle is on. Everything else fills
//! leftover capacity first fit.
use super::aging::Aging;
use super::deadline_placement::DeadlinePlacement;
use super::first_fit::FirstFit;
use super::gang_placement::GangPlacer;
use super::gang_reservation::GangReserver;
use super::preemption::Preemption;
use super::state::SchedulingState;
use crate::api::Millis;
use crate::cluster::ClusterState;
use crate::context::LeaderContext;
use stonegw_constants::URGENT_PLACEMENT_INTERVAL_MS;

/// Decides what runs where.
#[derive(Default)]
pub struct Scheduler {
    /// What all of its parts share.
    pub state: SchedulingState,
    /// When the next full pass is due.
    next_full_pass_at: Millis,
    /// No pass for urgent jobs before.
    next_urgent_pass_at: Millis,
}

impl Scheduler {
    /// Places urgent jobs soon after an event, and everything else at regular times.
    pub fn schedule(&mut self, cluster: &mut ClusterState, context: &LeaderContext) {
        let now = context.now.monotonic_ms;
        if cluster.scheduling_needed && now >= self.next_urgent_pass_at {
            self.next_urgent_pass_at = now + URGENT_PLACEMENT_INTERVAL_MS;
            cluster.scheduling_needed = false;
            self.run_urgent_pass(cluster, context);
        }
        if now >= self.next_full_pass_at {
            self.next_full_pass_at = now + context.settings.tuning.scheduling_interval_ms;
            self.run_full_pass(cluster, context);
        }
    }

    /// Starts the tasks queued on a machine for which capacity has become free.
    pub fn dispatch_queued(
        &mut self,
        cluster: &mut ClusterState,
        context: &LeaderContext,
        machine: &str,
    ) {
        FirstFit::new(cluster, &mut self.state).dispatch_queued(context, machine);
    }

    fn run_urgent_pass(&mut self, cluster: &mut ClusterState, context: &LeaderContext) {
        let state = &mut self.state;
        FirstFit::new(cluster, state).place_first_fit(context, true);
        GangReserver::new(cluster, state).place_gangs_first_fit(context);
        let with_queue = cluster.machines.values().filter(|m| !m.queued.is_empty());
        let with_queue: Vec<String> = with_queue.map(|m| m.id.clone()).collect();
        for id in with_queue {
            FirstFit::new(cluster, state).dispatch_queued(context, &id);
        }
    }

    fn run_full_pass(&mut self, cluster: &mut ClusterState, context: &LeaderContext) {
        let state = &mut self.state;
        Aging::new(cluster, state).place_starved(context);
        GangReserver::new(cluster, state).reserve_for_gangs(context);
        GangPlacer::new(cluster, state).place_deadline_gangs(context);
        DeadlinePlacement::new(cluster, state).place_deadline_jobs(context);
        FirstFit::new(cluster, state).place_first_fit(context, false);
        Aging::new(cluster, state).place_deferred(context);
        Preemption::new(cluster, state).reclaim_quota(context);
    }
}
