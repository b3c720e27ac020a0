//! Nodes without the leader or without the key-value store, and the workers that they serve:
//! relayed heartbeats, probes for the leader, partitioned nodes.

/// Part of the time between a worker's lease and the cancellation deadline by which a node's
/// cancellation watermark may lag while it renews leases. The rest covers clock drift and the time
/// a worker takes to act.
pub const WATERMARK_LAG_FRACTION: f64 = 0.9;
/// ms without the key-value store and without any other node after which a node counts as isolated
/// and stops renewing workers' leases: longer than the leader's lease and the pings, so that a brief
/// loss has no effect, and early enough that a worker, which takes some 10 s to find another node,
/// does so within its lease.
pub const ISOLATION_TIMEOUT_MS: u64 = 8_000;
/// ms after which a machine that is served without the leader is sent to probe for it: a round of
/// failed attempts takes 10 s, which together stays within the shortest lease in use.
pub const LEADER_PROBE_DELAY_MS: u64 = 14_000;
/// One in so many of these machines may probe at a time: half, since each batch takes time during
/// which commands wait.
pub const LEADER_PROBE_BATCH_DIVISOR: usize = 2;
/// ms between two batches of probes: one failed attempt and some slack, so that the first probe may
/// be back.
pub const LEADER_PROBE_BATCH_INTERVAL_MS: u64 = 6_000;
/// Machines that may always probe, however few there are: one of them may have been terminated.
pub const MIN_LEADER_PROBES: usize = 3;
/// ms beyond one failed attempt at each other node after which a probe that is not back has found
/// the leader.
pub const LEADER_PROBE_MARGIN_MS: u64 = 2_000;
/// ms before an unchanged heartbeat of a machine is relayed through the key-value store again.
pub const RELAYED_HEARTBEAT_REPEAT_MS: u64 = 6_000;
/// Records for relayed heartbeats that a node writes in turn, per write that a transaction can
/// hold: no record is overwritten by the next transaction.
pub const RELAYED_HEARTBEAT_SLOTS_PER_WRITE: usize = 2;
/// Such records at least, whatever a transaction can hold.
pub const MIN_RELAYED_HEARTBEAT_SLOTS: usize = 16;
/// Bytes of JSON that such a record takes besides its heartbeats.
pub const RELAYED_HEARTBEATS_OVERHEAD_BYTES: usize = 200;
/// ms between two transactions with relayed heartbeats.
pub const RELAYED_HEARTBEATS_INTERVAL_MS: u64 = 1_000;
