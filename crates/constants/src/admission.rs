//! The adaptive limit on user requests in progress, and what rejected clients are told.

/// Requests in progress that are always admitted: with fewer, latencies say nothing about load.
pub const ADMISSION_LIMIT_MIN: f64 = 8.0;
/// Requests in progress at most, whatever the latencies: bounds memory. Twenty thousand users who
/// poll every 5 s, each answered within a second, stay below.
pub const ADMISSION_LIMIT_MAX: f64 = 4_096.0;
/// Part of the limit that status queries may use: users repeat them soon, and a storm of them must
/// not keep out submissions and cancellations.
pub const ADMISSION_STATUS_QUERY_FRACTION: f64 = 0.75;
/// Requests in progress that are admitted at the start, before latencies are known.
pub const ADMISSION_LIMIT_INITIAL: f64 = 64.0;
/// Multiple of the usual latency above which a request decreases the limit.
pub const ADMISSION_LATENCY_TOLERANCE: f64 = 4.0;
/// ms below which a latency never decreases the limit: ordinary noise of the key-value store.
pub const ADMISSION_LATENCY_FLOOR_MS: f64 = 400.0;
/// Factor of a decrease; a tenth less is the customary gentle cut.
pub const ADMISSION_DECREASE_FACTOR: f64 = 0.9;
/// ms of rejections after which a status query is admitted whatever the limit: no job's queries may
/// be starved while others are answered.
pub const ADMISSION_MAX_STARVATION_MS: u64 = 8_000;
/// Rejected status queries remembered at most: one for each job that six thousand machines run, at a
/// hundred bytes each.
pub const ADMISSION_MAX_TRACKED_REJECTIONS: usize = 32_768;
/// Weight of a new sample in the moving average of the usual latency.
pub const ADMISSION_BASELINE_WEIGHT: f64 = 0.02;
/// s after which a client rejected by the limit is asked to retry.
pub const RETRY_AFTER_OVERLOAD_S: u32 = 2;
/// s after which a client is asked to retry whose gang comes before all controllers run a version
/// that supports gangs: a rolling upgrade takes a minute or so.
pub const RETRY_AFTER_FEATURE_GATE_S: u32 = 10;
/// s after which a client is asked to retry when the key-value store did not respond.
pub const RETRY_AFTER_STORE_FAILURE_S: u32 = 1;
