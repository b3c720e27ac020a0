//! When a machine counts as silent, lost, unreachable for commands, or faulty.

/// ms between two checks for silent machines: their limits are seconds.
pub const SILENCE_CHECK_INTERVAL_MS: u64 = 250;
/// Heartbeat intervals without a heartbeat after which a machine counts as silent and gets no new
/// tasks.
pub const SILENT_HEARTBEAT_INTERVALS: f64 = 2.5;
/// Multiple of a worker's lease, without a heartbeat, after which a machine is declared lost and
/// deleted, so that its tasks can start elsewhere: the deletion proves that they no longer run, and
/// costs a machine at most.
pub const LOST_LEASE_MULTIPLE: f64 = 1.1;
/// ms that a worker loses at a node that does not respond: 4 s of timeout and a second's pause.
pub const WORKER_ATTEMPT_TIMEOUT_MS: u64 = 5_000;
/// ms beyond a heartbeat interval and two such attempts after which a machine with urgent services
/// is declared lost, as long as few machines are silent: waiting for its lease to expire would cost
/// more than a machine that might have come back.
pub const LOST_URGENT_MARGIN_MS: u64 = 2_500;
/// Part of the machines that may fall silent at once before the leader suspects its own network and
/// deletes none.
pub const MASS_SILENCE_FRACTION: f64 = 0.5;
/// Part of a zone's machines whose silence means that the zone is partitioned.
pub const ZONE_PARTITION_FRACTION: f64 = 0.7;
/// Silent machines that never count as too many at once.
pub const MASS_SILENCE_MIN_MACHINES: usize = 3;
/// Replies or commands without effect, in a row, after which a machine whose heartbeats arrive
/// counts as unreachable for commands: one or two are lost messages or a slow relay.
pub const UNREACHABLE_MISSES: u32 = 3;
/// ms between two probes of such a machine.
pub const UNREACHABLE_PROBE_INTERVAL_MS: u64 = 5_000;
/// ms for which late heartbeats and list entries of a deleted machine are recognized as such.
pub const DELETED_MACHINE_RETENTION_MS: u64 = 600_000;
/// Evidence from failed jobs against a machine that makes it count as faulty.
pub const FAULTY_MACHINE_EVIDENCE: usize = 3;
/// Weight of a failed job in that evidence if tasks of it completed on other machines; any other job
/// weighs one, since it may itself be broken.
pub const PROVEN_JOB_EVIDENCE: usize = 2;
/// Machines on which a job fails, with no task completed, that show that it fails everywhere: two
/// may both be faulty, three hardly.
pub const BROKEN_JOB_MIN_MACHINES: usize = 3;
/// ms between two summaries of the cluster's state in the log.
pub const SUMMARY_LOG_INTERVAL_MS: u64 = 10_000;
