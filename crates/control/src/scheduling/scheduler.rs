//! Runs the parts of the scheduler in their order.
//!
//! Tasks with a deadline follow the rules of the design (`docs/design.md`). In each full pass every
//! task picks the machine on which it has the highest on-time probability, and the pair of task and
//! machine that finishes soonest is placed first. Tasks below the deferring threshold remain
//! pending. Queued tasks below the drop threshold are removed from their queue while the overload
//! toggle is on. All other tasks fill the remaining capacity by first fit.
use super::aging::Aging;
use super::deadline_placement::DeadlinePlacement;
use super::first_fit::{FirstFit, FirstFitSelection};
use super::gang_placement::GangPlacer;
use super::gang_reservation::GangReserver;
use super::preemption::Preemption;
use super::state::SchedulingState;
use crate::api::Millis;
use crate::cluster::ClusterState;
use crate::context::LeaderContext;
use stonegw_constants::URGENT_PLACEMENT_INTERVAL_MS;

/// Decides which task runs on which machine.
#[derive(Default)]
pub struct Scheduler {
    /// State that all parts of the scheduler share.
    pub state: SchedulingState,
    /// When the next full pass is due.
    next_full_pass_at: Millis,
    /// The earliest time of the next pass for urgent jobs.
    next_urgent_pass_at: Millis,
}

impl Scheduler {
    /// Runs the passes that are due: one for urgent jobs soon after an event, and a full one at
    /// regular intervals.
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

    /// Places the tasks queued on a machine for which capacity has become free.
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
        FirstFit::new(cluster, state).place_first_fit(context, FirstFitSelection::Urgent);
        GangReserver::new(cluster, state).place_gangs_first_fit(context);
        let machines = cluster.machines.values();
        let with_queue: Vec<String> = machines
            .filter(|machine| !machine.queued.is_empty())
            .map(|machine| machine.id.clone())
            .collect();
        for machine in with_queue {
            FirstFit::new(cluster, state).dispatch_queued(context, &machine);
        }
    }

    fn run_full_pass(&mut self, cluster: &mut ClusterState, context: &LeaderContext) {
        let state = &mut self.state;
        Aging::new(cluster, state).place_starved(context);
        GangReserver::new(cluster, state).reserve_for_gangs(context);
        GangPlacer::new(cluster, state).place_deadline_gangs(context);
        DeadlinePlacement::new(cluster, state).place_deadline_jobs(context);
        FirstFit::new(cluster, state).place_first_fit(context, FirstFitSelection::Backfill);
        Aging::new(cluster, state).place_deferred(context);
        Preemption::new(cluster, state).reclaim_quota(context);
    }
}
