//! What all parts of the scheduler share.
use super::estimates::RunTimeEstimates;
use super::reservations::Reservations;
use stonegw_sched::pruner::Pruner;
use stonegw_wire::msg::Priority;

/// What is placed first: by priority, then what is within its team's quota.
pub(super) type PlacementRank = (Priority, bool);

/// What the scheduler's parts hold between their passes.
#[derive(Default)]
pub struct SchedulingState {
    /// Defers and drops tasks that are hardly ever in time.
    pub pruner: Pruner,
    /// How long tasks run.
    pub estimates: RunTimeEstimates,
    /// Capacity that is kept for a job.
    pub reservations: Reservations,
}
