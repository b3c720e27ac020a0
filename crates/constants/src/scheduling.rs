//! Placement of tasks on machines: deadline scheduling with pruning, run-time estimates, aging.
//!
//! "The design" is the users' page that `docs/design.md` follows; "the paper" is "Efficient Task
//! Pruning Mechanism to Improve Robustness of Heterogeneous Computing Systems".

/// ms between two scheduling rounds (the design: each second).
pub const SCHEDULING_INTERVAL_MS: u64 = 1_000;
/// ms between two placements of urgent jobs without a deadline at least.
pub const URGENT_PLACEMENT_INTERVAL_MS: u64 = 100;
/// Tasks queued per machine for the next free capacity (the design).
pub const MAX_QUEUED_TASKS_PER_MACHINE: usize = 2;
/// Theta: the step of the deferring threshold (the design).
pub const DEFERRING_THRESHOLD_STEP: f64 = 0.05;
/// Lambda: weight of new deadline misses in the miss level (the paper).
pub const MISS_LEVEL_WEIGHT: f64 = 0.9;
/// Miss level that turns dropping on (the paper).
pub const DROPPING_ON_MISS_LEVEL: f64 = 2.0;
/// Miss level that turns dropping off (the paper).
pub const DROPPING_OFF_MISS_LEVEL: f64 = 1.6;
/// Base of the drop threshold (the design).
pub const DROP_THRESHOLD_BASE: f64 = 0.5;
/// Rho: scale of the skewness term of the drop threshold (the design).
pub const DROP_SKEWNESS_SCALE: f64 = 0.1;
/// Bins of a time distribution. With [`CURVE_BIN_S`] they span 384 s, more than the usual deadline.
pub const CURVE_BINS: usize = 128;
/// s per bin of a time distribution.
pub const CURVE_BIN_S: f64 = 3.0;
/// Probabilities of meeting a deadline that differ by less are equal: the distributions are no
/// finer.
pub const CHANCE_TOLERANCE: f64 = 0.02;
/// s; completion times that differ by less are equal: then the cheaper machine wins, then the
/// tighter fit, so that others become idle and can be scaled in.
pub const FINISH_TOLERANCE_S: f64 = 1.0;
/// How much a second of pulling an image weighs against a second of lost run time.
pub const IMAGE_FETCH_WEIGHT: f64 = 3.0;
/// GB per second that a machine fetches images at least, whatever the catalogue says: it divides.
pub const MIN_IMAGE_FETCH_GB_PER_S: f64 = 0.01;
/// How much longer an image takes on a machine that fetches another: both share the rate.
pub const CONCURRENT_FETCH_FACTOR: f64 = 2.0;
/// CPUs of the smallest waiting task at least, when free capacity is counted in such tasks: it
/// divides.
pub const MIN_SLOT_CPUS: f64 = 0.1;
/// s until the task of a job that has ended is expected to leave its machine.
pub const ENDED_TASK_RELEASE_S: f64 = 1.0;

/// Quantiles of the initial run-time distribution, as factors of the owner's estimate, which is
/// "often wrong by half".
pub const ESTIMATE_QUANTILE_FACTORS: [f64; 7] = [0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0];
/// How many samples of the initial distribution one observed run time outweighs.
pub const OBSERVED_RUN_WEIGHT: u32 = 5;
/// Runs that an earlier leader's observations of a job count for at most.
pub const MAX_INHERITED_RUNS: u32 = 5;
/// Jobs' worth of trust in the owners' estimates against what ended jobs of the class showed.
pub const ESTIMATE_PRIOR_JOBS: f64 = 3.0;
/// ms, the longest run time that a histogram tells apart: a day.
pub const MAX_RUN_TIME_MS: u64 = 86_400_000;

/// ms from its submission after which a job without a started task counts as starved and goes
/// before all but urgent jobs: the largest jobs must begin within four minutes, whatever else
/// arrives.
pub const STARVATION_MS: u64 = 150_000;
/// ms without a further started task after which it counts as starved again.
pub const STARVATION_REPEAT_MS: u64 = 180_000;
/// One in so many tasks of a starved job goes first.
pub const STARVED_TASKS_DIVISOR: usize = 8;
/// ms without a started task after which a deferred job takes capacity that the scheduler leaves
/// free, whatever its chance to meet its deadline: no job may wait 90 s beside capacity for it.
pub const DEFERRED_PLACEMENT_MS: u64 = 60_000;
/// ms after which it may also take capacity of machines with queued tasks, which would get it next.
pub const DEFERRED_PLACEMENT_QUEUED_MS: u64 = 75_000;
