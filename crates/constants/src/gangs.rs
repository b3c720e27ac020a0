//! Gang scheduling and reservations for gangs.

/// Default time that a gang's task waits for the other tasks to start, in s: the value of the
/// protocol's example. It applies if the settings give none.
pub const DEFAULT_GANG_START_TIMEOUT_S: f64 = 35.0;
/// Default time within which a gang's tasks detect the loss of one of them, in s: the value of the
/// protocol's example. It applies if the settings give none.
pub const DEFAULT_GANG_LOSS_DETECTION_S: f64 = 8.0;
/// Lower bound, in s, on each of the two times that the settings give for gangs: the wait for the
/// other tasks and the detection of a loss. With less, no command could arrive in time.
pub const MIN_GANG_TIMEOUT_S: f64 = 0.1;
/// Time between two checks of all gangs, in ms. A gang whose state changed is checked at once.
pub const GANG_CHECK_INTERVAL_MS: u64 = 250;
/// Time that a gang waits for free capacity before machines are reserved for it, in ms. By then one
/// scheduling round has passed the gang over.
pub const GANG_RESERVATION_DELAY_MS: u64 = 1_000;
/// All gangs together may reserve at most the number of machines divided by this. A single gang may
/// exceed the limit if no other gang has machines reserved.
pub const GANG_RESERVATION_MACHINES_DIVISOR: usize = 4;
/// Maximum time for which capacity is reserved for a gang, in ms. Smaller jobs must not wait 90 s
/// beside reserved capacity.
pub const GANG_RESERVATION_MAX_MS: u64 = 45_000;
/// Time from the end of a reservation to the next one for the same gang, in ms. Smaller jobs get
/// the capacity meanwhile.
pub const GANG_RESERVATION_PAUSE_MS: u64 = 15_000;
/// Time for which urgent jobs do not use capacity that is reserved for a gang, in ms. It is as long
/// as preempting tasks of lower priority elsewhere takes.
pub const URGENT_RESERVATION_WAIT_MS: u64 = 2_500;
/// Lower bound on the expected remaining run time of a running task, in ms. A task that has
/// exceeded its estimate may end at any time.
pub const GANG_MIN_REMAINING_MS: u64 = 1_000;
/// Run time that each task of a preempted gang loses in addition to its progress, in ms: exits,
/// another round of placement, and waiting for the last image.
pub const GANG_RESTART_COST_MS: u64 = 30_000;
