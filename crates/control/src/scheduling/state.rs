//! What all parts of the scheduler share.
use super::estimates::RunTimeEstimates;
use super::reservations::Reservations;
use stonegw_sched::pruner::Pruner;
use stonegw_wire::msg::Priority;

/// The order in which jobs are placed, the highest first: by priority, then those within their team's
/// quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PlacementRank {
    pub(super) priority: Priority,
    pub(super) is_within_quota: bool,
}

/// What the scheduler's parts keep between passes.
#[derive(Default)]
pub struct SchedulingState {
    /// Defers and drops tasks that are unlikely to meet their deadline.
    pub pruner: Pruner,
    /// Estimates of how long tasks run.
    pub estimates: RunTimeEstimates,
    /// Capacity reserved for a job.
    pub reservations: Reservations,
}
