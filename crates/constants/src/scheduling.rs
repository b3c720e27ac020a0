//! Placement of tasks on machines: deadline scheduling with pruning, run-time estimates, aging.
//!
//! "The design" is the users' page that `docs/design.md` follows; "the paper" is "Efficient Task
//! Pruning Mechanism to Improve Robustness of Heterogeneous Computing Systems".

/// Time between two scheduling rounds, in ms (the design: each second).
pub const SCHEDULING_INTERVAL_MS: u64 = 1_000;
/// Minimum time between two passes for urgent jobs that are services or have no deadline, in ms.
/// These passes run in addition to the full scheduling rounds.
pub const URGENT_PLACEMENT_INTERVAL_MS: u64 = 100;
/// Maximum number of tasks queued per machine for the capacity that becomes free next (the design).
pub const MAX_QUEUED_TASKS_PER_MACHINE: usize = 2;
/// Theta: the step by which the deferring threshold changes (the design). The deferring threshold
/// is the on-time probability below which a pending task is deferred.
pub const DEFERRING_THRESHOLD_STEP: f64 = 0.05;
/// Lambda: the weight of the latest deadline misses in the miss level, which is the exponential
/// moving average of the misses (the paper).
pub const MISS_LEVEL_WEIGHT: f64 = 0.9;
/// Miss level at or above which dropping is turned on (the paper).
pub const DROPPING_ON_MISS_LEVEL: f64 = 2.0;
/// Miss level at or below which dropping is turned off (the paper).
pub const DROPPING_OFF_MISS_LEVEL: f64 = 1.6;
/// Base of the drop threshold, an on-time probability (the design).
pub const DROP_THRESHOLD_BASE: f64 = 0.5;
/// Rho: the scale of the skewness term in the drop threshold (the design).
pub const DROP_SKEWNESS_SCALE: f64 = 0.1;
/// Number of bins of a time distribution. With [`TIME_DISTRIBUTION_BIN_S`] they span 384 s, more
/// than the usual deadline.
pub const TIME_DISTRIBUTION_BINS: usize = 128;
/// Width of a bin of a time distribution, in s.
pub const TIME_DISTRIBUTION_BIN_S: f64 = 3.0;
/// Probabilities of meeting a deadline that differ by no more than this count as equal, since the
/// time distributions are no finer.
pub const CHANCE_TOLERANCE: f64 = 0.02;
/// Completion times that differ by no more than this count as equal, in s. The cheaper machine then
/// wins, then the tighter fit, so that other machines become idle and can be scaled in.
pub const FINISH_TOLERANCE_S: f64 = 1.0;
/// Weight of a second of fetching an image against a second of lost run time, in the cost of a
/// preemption.
pub const IMAGE_FETCH_WEIGHT: f64 = 3.0;
/// Lower bound on the rate at which a machine fetches images, in GB per second, whatever the
/// catalogue says. The rate is a divisor and must not be 0.
pub const MIN_IMAGE_FETCH_GB_PER_S: f64 = 0.01;
/// Factor by which fetching an image takes longer on a machine that fetches another one, since both
/// share the rate.
pub const CONCURRENT_FETCH_FACTOR: f64 = 2.0;
/// Lower bound on the CPUs of the smallest waiting task where free capacity is counted in such
/// tasks. The CPUs are a divisor and must not be 0.
pub const MIN_SLOT_CPUS: f64 = 0.1;
/// Expected time until a task whose job has ended leaves its machine, in s.
pub const ENDED_TASK_RELEASE_S: f64 = 1.0;

/// Quantiles of the initial run-time distribution, as factors of the owner's estimate, which is
/// "often wrong by half".
pub const ESTIMATE_QUANTILE_FACTORS: [f64; 7] = [0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0];
/// Number of samples that one observed run time counts for in a run-time distribution. Each
/// quantile of the initial distribution counts for one.
pub const OBSERVED_RUN_WEIGHT: u32 = 5;
/// Maximum number of runs that an earlier leader's observations of a job count for.
pub const MAX_INHERITED_RUNS: u32 = 5;
/// Weight of the owners' estimates against the run times of ended jobs of the class, in jobs.
pub const ESTIMATE_PRIOR_JOBS: f64 = 3.0;
/// Longest run time that a histogram distinguishes, in ms: a day.
pub const MAX_RUN_TIME_MS: u64 = 86_400_000;

/// Time from its submission after which a job without a started task counts as starved and goes
/// before all jobs that are not urgent, in ms. The largest jobs must begin within four minutes,
/// whatever else arrives.
pub const STARVATION_MS: u64 = 150_000;
/// Time without a further started task after which a job with pending tasks counts as starved
/// again, in ms.
pub const STARVATION_REPEAT_MS: u64 = 180_000;
/// The number of tasks of a starved job that go first is the number of its tasks divided by this,
/// rounded up.
pub const STARVED_TASKS_DIVISOR: usize = 8;
/// Time without a started task after which a deferred job takes capacity that the scheduler leaves
/// free, whatever its probability of meeting its deadline, in ms. No job may wait 90 s while there
/// is free capacity for its tasks.
pub const DEFERRED_PLACEMENT_MS: u64 = 60_000;
/// Time without a started task after which a deferred job may also take free capacity of machines
/// with queued tasks, in ms. The queued tasks would otherwise get that capacity next.
pub const DEFERRED_PLACEMENT_QUEUED_MS: u64 = 75_000;
