//! Durations and sizes that the models, the rule checks and the nodes' settings share.
/// A simulated time or duration in milliseconds.
pub type Ms = u64;

/// The interval between a worker's heartbeats.
pub const HEARTBEAT_INTERVAL_MS: Ms = 3_000;
/// How long a worker's lease lasts after it sent the last acknowledged heartbeat.
pub const WORKER_LEASE_MS: Ms = 24_000;
/// How long tasks may stay on machines after their job was reported cancelled.
pub const CANCELLATION_DEADLINE_MS: Ms = 54_000;
/// How long a task of a gang waits for the other tasks before it exits.
pub const GANG_WAIT_TIMEOUT_MS: Ms = 35_000;
/// The longest time in which the tasks of a running gang detect that one has disappeared.
pub const GANG_PEER_TIMEOUT_MS: Ms = 8_000;

/// The number of CPUs of every machine.
pub const MACHINE_CPUS: f64 = 4.0;
/// The memory of every machine.
pub const MACHINE_MEMORY_GB: f64 = 16.0;
/// The tolerance in comparisons of sums of CPUs or memory.
pub const RESOURCE_EPSILON: f64 = 1e-6;
/// The time after its start at which a task of a failing job fails.
pub const TASK_FAILURE_DELAY_MS: Ms = 300;

/// The latency of a call to the key-value store, and of the response to it.
pub const STORE_LATENCY_MS: Ms = 5;
/// The latency of a call to the cloud, and of the response to it.
pub const CLOUD_LATENCY_MS: Ms = 80;
