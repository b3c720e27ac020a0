//! Preemption for urgent tasks and for teams below their quota.

/// Time that a job within its team's quota waits before capacity borrowed by other teams is
/// reclaimed, in ms.
pub const QUOTA_RECLAIM_WAIT_MS: u64 = 1_500;
/// Run time above which a task of a borrowing team is not preempted, in ms. It bounds the run time
/// lost.
pub const QUOTA_RECLAIM_MAX_LOSS_MS: u64 = 15_000;
/// Maximum number of tasks for which capacity is reclaimed in one scheduling round. It is higher on
/// large clusters, see [`QUOTA_RECLAIM_MACHINES_DIVISOR`].
pub const QUOTA_RECLAIM_MIN_TASKS: usize = 12;
/// On large clusters the limit of [`QUOTA_RECLAIM_MIN_TASKS`] is the number of machines divided by
/// this.
pub const QUOTA_RECLAIM_MACHINES_DIVISOR: usize = 8;
/// Time that an urgent task waits for the capacity of preempted tasks before further tasks are
/// preempted, in ms. A stop takes a heartbeat or a direct command, and saving a checkpoint takes
/// some seconds.
pub const PREEMPTION_PLAN_TIMEOUT_MS: u64 = 3_000;
