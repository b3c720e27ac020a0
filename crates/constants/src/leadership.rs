//! Leader election and the leader's lease.

/// Time from the last renewal of the leader's lease to its expiry, in ms. It is long enough to
/// tolerate lost packets and late timers on a few per cent of a core, and short enough that a crash
/// costs only seconds.
pub const LEADER_LEASE_TTL_MS: u64 = 4_000;
/// Time between two renewals of the leader's lease, in ms: four attempts per lease.
pub const LEADER_RENEW_INTERVAL_MS: u64 = 1_000;
/// Upper bound of the random wait before a node campaigns, in ms, so that two nodes rarely campaign
/// at once.
pub const ELECTION_JITTER_MS: u64 = 150;
/// Number of task attempts that one term can number. Attempt numbers are term * this + counter, so
/// none is used twice.
pub const ATTEMPTS_PER_TERM: u64 = 1_000_000;

/// Time without a heartbeat from any machine after which a leader resigns although the key-value
/// store responds, in ms. Other nodes may receive heartbeats. Two missed intervals are no proof of
/// a fault yet.
pub const RESIGNATION_SILENCE_MS: u64 = 9_000;
/// Time after its resignation before a node campaigns again, in ms, so that another node wins.
pub const CANDIDACY_PAUSE_MS: u64 = 15_000;
/// Minimum time between two resignations of a node, in ms. If the other nodes receive no heartbeats
/// either, some node must lead.
pub const RESIGNATION_INTERVAL_MS: u64 = 180_000;
