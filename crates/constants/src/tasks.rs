//! Commands to workers, and retries of tasks.

/// Time after which a direct command, one sent outside the reply to a heartbeat, counts as
/// unanswered, in ms.
pub const DIRECT_COMMAND_TIMEOUT_MS: u64 = 2_500;
/// Time that a relayed heartbeat waits for the leader, in ms. Workers give up after 4 s.
pub const HEARTBEAT_RELAY_TIMEOUT_MS: u64 = 2_500;
/// Time for which a duplicate of a direct command may still arrive ("minutes late"), in ms. For
/// this long a worker keeps the record of an attempt that ended without completing, so that the
/// duplicate does not start the attempt again.
pub const DUPLICATE_COMMAND_LIFETIME_MS: u64 = 600_000;
/// Time between two direct stop commands for the same task, in ms.
pub const STOP_RESEND_INTERVAL_MS: u64 = 1_000;
/// Base of the exponential backoff between failed starts of a job, in ms. The first wait is twice
/// this, and each further one twice the last.
pub const START_BACKOFF_MS: u64 = 1_000;
/// Maximum wait between two starts of a job that keeps failing, in ms.
pub const START_BACKOFF_MAX_MS: u64 = 60_000;
/// Maximum number of doublings of the wait, so that it cannot overflow.
pub const START_BACKOFF_MAX_DOUBLINGS: u32 = 10;
/// The wait is shortened by a random time of at most the wait divided by this, so that tasks do not
/// start in step.
pub const START_BACKOFF_JITTER_DIVISOR: u64 = 4;
/// Time allowed for a stop in addition to the time that saving a checkpoint takes, in s.
pub const STOP_GRACE_MARGIN_S: f64 = 1.0;
/// Amount of a resource (CPUs, GPUs or GB) below which it is a rounding error and not capacity.
pub const RESOURCE_EPSILON: f64 = 1e-6;
