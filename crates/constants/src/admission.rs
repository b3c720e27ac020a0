//! The adaptive limit on user requests in progress, and the retry times given to rejected clients.

/// Lower bound of the limit, in requests in progress. With fewer, latencies say nothing about load.
pub const ADMISSION_LIMIT_MIN: f64 = 8.0;
/// Upper bound of the limit, in requests in progress, whatever the latencies. It bounds memory.
/// Twenty thousand users who poll every 5 s, each answered within a second, stay below it.
pub const ADMISSION_LIMIT_MAX: f64 = 4_096.0;
/// Fraction of the limit that status queries may use. Users repeat them soon, and a storm of them
/// must not keep out submissions and cancellations.
pub const ADMISSION_STATUS_QUERY_FRACTION: f64 = 0.75;
/// Initial limit, in requests in progress, while latencies are unknown.
pub const ADMISSION_LIMIT_INITIAL: f64 = 64.0;
/// Multiple of the usual latency above which a request lowers the limit.
pub const ADMISSION_LATENCY_TOLERANCE: f64 = 4.0;
/// Latency up to which a request never lowers the limit, in ms. Such latencies are ordinary noise
/// of the key-value store.
pub const ADMISSION_LATENCY_FLOOR_MS: f64 = 400.0;
/// Factor by which a slow request lowers the limit. A cut by a tenth is customary and gentle.
pub const ADMISSION_DECREASE_FACTOR: f64 = 0.9;
/// Time after which a rejected status query is admitted whatever the limit, counted from its first
/// rejection, in ms. No job's queries may be starved while others are answered.
pub const ADMISSION_MAX_STARVATION_MS: u64 = 8_000;
/// Maximum number of rejected status queries that are remembered. It suffices for one query for
/// each job that six thousand machines run. Each takes a hundred bytes of memory.
pub const ADMISSION_MAX_TRACKED_REJECTIONS: usize = 32_768;
/// Weight of a new sample in the moving average that gives the usual latency.
pub const ADMISSION_BASELINE_WEIGHT: f64 = 0.02;
/// Retry-After of requests rejected by the limit, in s.
pub const RETRY_AFTER_OVERLOAD_S: u32 = 2;
/// Retry-After of gangs submitted before all controllers run a version that supports gangs, in s. A
/// rolling upgrade takes a minute or so.
pub const RETRY_AFTER_FEATURE_GATE_S: u32 = 10;
/// Retry-After of requests rejected because the key-value store did not respond, in s.
pub const RETRY_AFTER_STORE_FAILURE_S: u32 = 1;
