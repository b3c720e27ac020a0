//! Times and sizes that the models, the rule checks and the nodes' settings share.
/// Milliseconds of simulated time, or a span of it.
pub type Ms = u64;

/// How often a worker sends a heartbeat.
pub const HEARTBEAT_INTERVAL_MS: Ms = 3_000;
/// How long a worker's lease lasts after its last acknowledged heartbeat.
pub const WORKER_LEASE_MS: Ms = 24_000;
/// How long tasks of a cancelled job may stay on machines.
pub const CANCELLATION_DEADLINE_MS: Ms = 54_000;
/// How long a gang's task waits for the others before it exits.
pub const GANG_WAIT_TIMEOUT_MS: Ms = 35_000;
/// Within what time the tasks of a running gang notice that one is gone.
pub const GANG_PEER_TIMEOUT_MS: Ms = 8_000;

/// CPUs of every machine.
pub const MACHINE_CPUS: f64 = 4.0;
/// Memory of every machine.
pub const MACHINE_MEMORY_GB: f64 = 16.0;
/// Sums of CPUs and memory are compared with this margin.
pub const RESOURCE_EPSILON: f64 = 1e-6;
/// Tasks of a failing job fail so soon after they start.
pub const TASK_FAILURE_DELAY_MS: Ms = 300;

/// How long a message to the key-value store takes, and its response.
pub const STORE_LATENCY_MS: Ms = 5;
/// How long a message to the cloud takes, and its response.
pub const CLOUD_LATENCY_MS: Ms = 80;
