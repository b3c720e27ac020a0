//! Scaling of the cluster and calls to the cloud.

/// ms between two decisions of the autoscaler.
pub const AUTOSCALER_INTERVAL_MS: u64 = 2_000;
/// ms between two reads of the cloud's list of machines.
pub const MACHINE_LIST_INTERVAL_MS: u64 = 6_000;
/// ms between two reads of the machine catalogue by the leader: spot prices move slowly.
pub const CATALOG_READ_INTERVAL_MS: u64 = 60_000;
/// ms after which a call to the cloud fails.
pub const CLOUD_TIMEOUT_MS: u64 = 4_000;
/// ms of pause after the cloud refused or failed a call.
pub const CLOUD_RETRY_BACKOFF_MS: u64 = 1_500;
/// ms for which a refused combination of machine type, zone and spot or on-demand is avoided;
/// doubled with each refusal up to [`PROVISION_BACKOFF_MAX_MS`].
pub const PROVISION_BACKOFF_MS: u64 = 8_000;
/// ms, the longest time for which a refused combination is avoided.
pub const PROVISION_BACKOFF_MAX_MS: u64 = 60_000;
/// Machines asked for in one provisioning request at most: the protocol's limit.
pub const MAX_MACHINES_PER_PROVISION: u32 = 50;
/// Machines named in one delete request at most: the protocol's limit.
pub const MAX_MACHINES_PER_DELETE: usize = 100;

/// Boot times for which an idle machine is kept: provisioning it again costs one boot time, so
/// keeping it for about as long is never much worse than knowing the future.
pub const IDLE_RETENTION_BOOTS: f64 = 0.35;
/// Multiple of the catalogue's boot time after which a booting machine is given up. Usual boots take
/// up to 1.5 times.
pub const BOOT_TIMEOUT_MULTIPLE: f64 = 3.0;
/// Multiple of the catalogue's boot time after which a booting machine no longer counts as future
/// capacity.
pub const BOOT_LATE_MULTIPLE: f64 = 1.7;
/// The same for the headroom of urgent services, which cannot wait for a slow boot.
pub const HEADROOM_BOOT_LATE_MULTIPLE: f64 = 1.2;

/// ms over which arrivals of urgent services are counted.
pub const URGENT_ARRIVAL_WINDOW_MS: u64 = 180_000;
/// Headroom for urgent jobs: tasks of the usual urgent size for which capacity is kept free.
pub const HEADROOM_TASKS: f64 = 2.0;
/// Machines of one type provisioned in one decision at most, which keeps a wrong estimate cheap; more
/// on large clusters, see [`SCALE_OUT_STEP_DIVISOR`].
pub const SCALE_OUT_STEP_MIN: u32 = 8;
/// On large clusters that limit is one in so many machines.
pub const SCALE_OUT_STEP_DIVISOR: u32 = 2;

/// Part of the time left to a deadline for which the cluster is sized; the rest covers late starts
/// and wrong estimates.
pub const SLACK_FRACTION: f64 = 0.85;
/// ms over which the arrival rate of jobs with deadlines is measured: long, since jobs differ much
/// in size.
pub const ARRIVAL_RATE_WINDOW_MS: u64 = 240_000;
/// Part of the capacity that such jobs take, by the measured arrival rate, that the sizing keeps for
/// those still to arrive.
pub const ARRIVAL_RATE_FRACTION: f64 = 0.15;
/// The same for jobs that are late: every arriving job goes before them.
pub const ARRIVAL_RATE_FRACTION_LATE: f64 = 1.0;
/// Run times after its boot that a machine provisioned for a deadline needs to be of use for it.
pub const DEADLINE_RUN_TIME_MULTIPLE: f64 = 1.2;
/// Run times after their boot in which provisioned machines are to complete late tasks.
pub const LATE_RUN_TIME_MULTIPLE: f64 = 4.0;
