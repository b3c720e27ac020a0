//! Leader election and the leader's lease.

/// ms from its last renewal to the expiry of the leader's lease. Long enough for lost packets and
/// late timers on a few per cent of a core, short enough that a crash costs only seconds.
pub const LEADER_LEASE_TTL_MS: u64 = 4_000;
/// ms between two renewals: four attempts per lease.
pub const LEADER_RENEW_INTERVAL_MS: u64 = 1_000;
/// ms of random wait before a node campaigns, so that two rarely do so at once.
pub const ELECTION_JITTER_MS: u64 = 150;
/// Attempt numbers available to one term. They are term * this + counter, so none is used twice.
pub const ATTEMPTS_PER_TERM: u64 = 1_000_000;

/// ms without a heartbeat from any machine, although the key-value store responds, after which a
/// leader resigns: other nodes may receive heartbeats, and two missed intervals are no proof yet.
pub const UNREACHABLE_MS: u64 = 9_000;
/// ms after its resignation before a node campaigns again, so that another one wins.
pub const CANDIDACY_PAUSE_MS: u64 = 15_000;
/// ms before a node resigns again: if the others receive no more heartbeats, some node must lead.
pub const RESIGNATION_INTERVAL_MS: u64 = 180_000;
