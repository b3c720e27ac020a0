//! Commands to workers, and retries of tasks.

/// ms after which a direct command counts as unanswered.
pub const DIRECT_COMMAND_TIMEOUT_MS: u64 = 2_500;
/// ms that a relayed heartbeat waits for the leader; workers give up after 4 s.
pub const HEARTBEAT_RELAY_TIMEOUT_MS: u64 = 2_500;
/// ms for which a duplicate of a direct command may still arrive ("minutes late"): for so long a
/// worker keeps the record of an attempt that ended without completing, lest the duplicate start it
/// again.
pub const DUPLICATE_COMMAND_LIFETIME_MS: u64 = 600_000;
/// ms between two direct stop commands for the same task.
pub const STOP_RESEND_INTERVAL_MS: u64 = 1_000;
/// ms, the first wait after a failed start of a task; doubled with each failure.
pub const START_BACKOFF_MS: u64 = 1_000;
/// ms, the longest wait between two starts of a task that keeps failing.
pub const START_BACKOFF_MAX_MS: u64 = 60_000;
/// Doublings of that wait at most, so that it cannot overflow.
pub const START_BACKOFF_MAX_DOUBLINGS: u32 = 10;
/// One in so many parts of the wait is random, so that tasks do not start in step.
pub const START_BACKOFF_JITTER_DIVISOR: u64 = 4;
/// s allowed for a stop beyond the time that saving a checkpoint takes.
pub const STOP_GRACE_MARGIN_S: f64 = 1.0;
/// CPUs, GPUs or GB: resources below this are rounding errors, not capacity.
pub const RESOURCE_EPSILON: f64 = 1e-6;
