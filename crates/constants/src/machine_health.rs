//! When a machine counts as silent, lost, unreachable for commands, or faulty.

/// Time between two checks for silent machines, in ms. The time limits for silence are seconds.
pub const SILENCE_CHECK_INTERVAL_MS: u64 = 250;
/// Time without a heartbeat after which a machine counts as silent and gets no new tasks, in
/// heartbeat intervals.
pub const SILENT_HEARTBEAT_INTERVALS: f64 = 2.5;
/// Time without a heartbeat after which a machine is declared lost and deleted, in worker leases.
/// The deletion proves that its tasks no longer run, so that they can start elsewhere, and costs
/// one machine at most.
pub const LOST_LEASE_MULTIPLE: f64 = 1.1;
/// Time that a worker loses at a node that does not respond, in ms: 4 s of timeout and 1 s of
/// pause.
pub const WORKER_ATTEMPT_TIMEOUT_MS: u64 = 5_000;
/// Margin in the shorter loss timeout of machines with urgent tasks or gangs, in ms. The timeout
/// consists of a late heartbeat, two failed attempts of the worker and this margin, and applies as
/// long as few machines are silent. Waiting for the machine's lease to expire would cost more than
/// a machine that might have come back.
pub const LOST_URGENT_MARGIN_MS: u64 = 2_500;
/// Fraction of the machines that may be silent, or unreachable for commands, at the same time
/// before the leader suspects its own network and waits longer before it deletes any.
pub const MASS_SILENCE_FRACTION: f64 = 0.5;
/// Fraction of a zone's machines that are silent, or reach the leader only through the store, from
/// which the zone counts as partitioned.
pub const ZONE_PARTITION_FRACTION: f64 = 0.7;
/// Number of affected machines up to which neither a mass outage nor a zone partition is assumed.
pub const MASS_SILENCE_MIN_MACHINES: usize = 3;
/// Number of consecutive replies or commands without effect after which a machine whose heartbeats
/// arrive counts as unreachable for commands. One or two may be lost messages or a slow relay.
pub const UNREACHABLE_MISSES: u32 = 3;
/// Time between two probes of a machine that is, or is about to be, unreachable for commands, in
/// ms.
pub const UNREACHABLE_PROBE_INTERVAL_MS: u64 = 5_000;
/// Time for which a deleted machine is remembered, in ms, so that late heartbeats and list entries
/// of it are recognized as such.
pub const DELETED_MACHINE_RETENTION_MS: u64 = 600_000;
/// Evidence from failed jobs at which a machine counts as faulty.
pub const FAULTY_MACHINE_EVIDENCE: usize = 3;
/// Evidence that a failed job adds if a task of the job has completed or the job has ended. Any
/// other failed job adds 1, since the job itself may be broken.
pub const PROVEN_JOB_EVIDENCE: usize = 2;
/// Number of machines on which a job must fail, with no task completed, to count as failing
/// everywhere. Two machines may both be faulty, but three faulty machines are unlikely.
pub const BROKEN_JOB_MIN_MACHINES: usize = 3;
/// Time between two summaries of the cluster's state in the log, in ms.
pub const SUMMARY_LOG_INTERVAL_MS: u64 = 10_000;
