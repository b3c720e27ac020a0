//! Scaling of the cluster and calls to the cloud.

/// Time between two decisions of the autoscaler, in ms.
pub const AUTOSCALER_INTERVAL_MS: u64 = 2_000;
/// Time between two reads of the cloud's list of machines, in ms.
pub const MACHINE_LIST_INTERVAL_MS: u64 = 6_000;
/// Time between two reads of the machine catalogue by the leader, in ms. Spot prices change slowly.
pub const CATALOG_READ_INTERVAL_MS: u64 = 60_000;
/// Timeout of a call to the cloud, in ms.
pub const CLOUD_TIMEOUT_MS: u64 = 4_000;
/// Wait after a call that the cloud rejected or that failed, in ms.
pub const CLOUD_RETRY_BACKOFF_MS: u64 = 1_500;
/// Initial time for which an offer (machine type, zone, spot or on demand) is not requested after
/// the cloud refused it, in ms. The time doubles with each refusal up to
/// [`PROVISION_BACKOFF_MAX_MS`].
pub const PROVISION_BACKOFF_MS: u64 = 8_000;
/// Maximum time for which a refused offer is not requested, in ms.
pub const PROVISION_BACKOFF_MAX_MS: u64 = 60_000;
/// Maximum number of machines in one provision request: the limit of the cloud's protocol.
pub const MAX_MACHINES_PER_PROVISION: u32 = 50;
/// Maximum number of machines in one delete request: the limit of the cloud's protocol.
pub const MAX_MACHINES_PER_DELETE: usize = 100;

/// Time for which an idle machine is kept, in boot times of its type. Provisioning a machine again
/// costs one boot time, so keeping it for a time of that order is never much worse than a decision
/// made with knowledge of the future.
pub const IDLE_RETENTION_BOOTS: f64 = 0.35;
/// Multiple of the catalogue's boot time after which a machine that has not come up is terminated.
/// Boots usually take up to 1.5 times the catalogue's boot time.
pub const BOOT_TIMEOUT_MULTIPLE: f64 = 3.0;
/// Multiple of the catalogue's boot time after which a booting machine no longer counts as future
/// capacity.
pub const BOOT_LATE_MULTIPLE: f64 = 1.7;
/// Multiple of the catalogue's boot time after which a booting machine no longer counts as headroom
/// for urgent services, which cannot wait for a slow boot.
pub const HEADROOM_BOOT_LATE_MULTIPLE: f64 = 1.2;

/// Time over which arrivals of urgent services and of gangs are counted, in ms.
pub const URGENT_ARRIVAL_WINDOW_MS: u64 = 180_000;
/// Minimum headroom for urgent services, in tasks of the latest urgent service.
pub const HEADROOM_TASKS: f64 = 2.0;
/// Maximum number of machines of one offer provisioned in one decision, which bounds the cost of a
/// wrong estimate. It is higher on large clusters, see [`SCALE_OUT_STEP_DIVISOR`].
pub const SCALE_OUT_STEP_MIN: u32 = 8;
/// On large clusters the limit of [`SCALE_OUT_STEP_MIN`] is the number of machines divided by this.
pub const SCALE_OUT_STEP_DIVISOR: u32 = 2;

/// Fraction of the time left to a deadline for which the cluster is sized. The rest covers late
/// starts and wrong estimates.
pub const SLACK_FRACTION: f64 = 0.85;
/// Time over which the arrival rate of jobs with deadlines is measured, in ms. It is long, since
/// the sizes of jobs differ much.
pub const ARRIVAL_RATE_WINDOW_MS: u64 = 240_000;
/// Fraction of the expected demand that the sizing keeps for jobs still to arrive. The expected
/// demand is the number of CPUs that jobs with deadlines take at the measured arrival rate.
pub const ARRIVAL_RATE_FRACTION: f64 = 0.15;
/// The value of [`ARRIVAL_RATE_FRACTION`] in the sizing for late jobs. Every arriving job runs
/// before them.
pub const ARRIVAL_RATE_FRACTION_LATE: f64 = 1.0;
/// Time that must be left to a deadline after the boot of a machine provisioned for it, in run
/// times of the task. With less time the machine would be of no use.
pub const DEADLINE_RUN_TIME_MULTIPLE: f64 = 1.2;
/// Time after their boot in which machines provisioned for late tasks are to complete them, in run
/// times of the task.
pub const LATE_RUN_TIME_MULTIPLE: f64 = 4.0;
