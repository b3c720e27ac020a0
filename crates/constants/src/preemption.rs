//! Preemption for urgent tasks and for teams below their quota.

/// ms that a job within its team's quota waits before other teams' borrowed capacity is reclaimed.
pub const QUOTA_RECLAIM_WAIT_MS: u64 = 1_500;
/// ms of run time that a preempted task of a borrowing team may lose at most.
pub const QUOTA_RECLAIM_MAX_LOSS_MS: u64 = 15_000;
/// Tasks for which capacity is reclaimed in one scheduling round at most; more on large clusters,
/// see [`QUOTA_RECLAIM_MACHINES_DIVISOR`].
pub const QUOTA_RECLAIM_MIN_TASKS: usize = 12;
/// On large clusters that limit is one in so many machines.
pub const QUOTA_RECLAIM_MACHINES_DIVISOR: usize = 8;
/// ms that an urgent task waits for the capacity that preempted tasks are leaving, before others are
/// preempted: a stop takes a heartbeat or a direct command, and saving some seconds.
pub const PREEMPTION_PLAN_TIMEOUT_MS: u64 = 3_000;
