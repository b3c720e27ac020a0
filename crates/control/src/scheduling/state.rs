//! State that all parts of the scheduler share.
use super::estimates::RunTimeEstimates;
use super::reservations::Reservations;
use stonegw_sched::pruner::Pruner;
use stonegw_wire::msg::Priority;

/// The rank by which jobs are placed, the highest first: ordered by priority and then by whether
/// the job is within its team's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PlacementRank {
    pub(super) priority: Priority,
    pub(super) is_within_quota: bool,
}

/// State that the scheduler keeps between passes.
#[derive(Default)]
pub struct SchedulingState {
    /// The pruner, which defers and drops tasks that are unlikely to meet their deadline.
    pub pruner: Pruner,
    /// Estimates of how long tasks run.
    pub estimates: RunTimeEstimates,
    /// Capacity that is reserved for certain jobs.
    pub reservations: Reservations,
}
