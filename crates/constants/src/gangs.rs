//! Gang scheduling and reservations for gangs.

/// s that a gang's task waits for the others where the settings don't say: the protocol's example.
pub const DEFAULT_GANG_START_TIMEOUT_S: f64 = 35.0;
/// s within which a gang's tasks notice the loss of one where the settings don't say: the protocol's
/// example.
pub const DEFAULT_GANG_LOSS_DETECTION_S: f64 = 8.0;
/// s, the least that either may be set to: with less no command could arrive in time.
pub const MIN_GANG_TIMEOUT_S: f64 = 0.1;
/// ms between two checks of all gangs; a gang that changed is checked at once.
pub const GANG_CHECK_INTERVAL_MS: u64 = 250;
/// ms that a gang waits for capacity that others leave before machines are reserved for it: as long
/// as it takes one scheduling round to pass it over.
pub const GANG_RESERVATION_DELAY_MS: u64 = 1_000;
/// One in so many machines may be reserved for gangs that are not urgent.
pub const GANG_RESERVATION_MACHINES_DIVISOR: usize = 4;
/// ms for which capacity is reserved for a gang at most: smaller jobs must not wait 90 s beside
/// reserved capacity.
pub const GANG_RESERVATION_MAX_MS: u64 = 45_000;
/// ms from the end of a reservation to the next for the same gang, in which smaller jobs get the
/// capacity.
pub const GANG_RESERVATION_PAUSE_MS: u64 = 15_000;
/// ms for which urgent jobs leave alone capacity that is reserved for a gang: as long as it takes to
/// preempt lesser tasks elsewhere.
pub const URGENT_RESERVATION_WAIT_MS: u64 = 2_500;
/// ms, the soonest that a running task is expected to end: one that exceeds its estimate may end at
/// any time.
pub const GANG_MIN_REMAINING_MS: u64 = 1_000;
/// ms of run time that each task of a preempted gang loses besides its progress: exits, another
/// round of placement, and waiting for the last image.
pub const GANG_RESTART_COST_MS: u64 = 30_000;
