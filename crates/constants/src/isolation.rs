//! Nodes that are cut off from the leader or from the key-value store, and the workers that they
//! serve: relayed heartbeats, probes for the leader, partitioned nodes.

/// Maximum lag of a node's cancellation watermark at which the node renews workers' leases, as a
/// fraction of the time by which the cancellation deadline exceeds the worker lease. The watermark
/// is the time up to which the node knows all cancellations. The rest of that time covers clock
/// drift and the time that a worker takes to act.
pub const WATERMARK_LAG_FRACTION: f64 = 0.9;
/// Time without contact to the key-value store and to any other node after which a node counts as
/// isolated and stops renewing workers' leases, in ms. It is longer than the leader's lease and the
/// peer timeout, so that a brief loss of contact has no effect. It is short enough that a worker,
/// which takes some 10 s to find another node, does so within its lease.
pub const ISOLATION_TIMEOUT_MS: u64 = 8_000;
/// Time for which a machine is served without the leader before its worker is sent to probe for the
/// leader, in ms. A round of failed attempts takes 10 s, and both together stay within the shortest
/// lease in use.
pub const LEADER_PROBE_DELAY_MS: u64 = 14_000;
/// At most the number of machines served without the leader divided by this may probe at the same
/// time. It is half of them, since each batch takes time, during which commands wait.
pub const LEADER_PROBE_BATCH_DIVISOR: usize = 2;
/// Time between two batches of probes, in ms: one failed attempt and some slack, so that the first
/// probe may have returned.
pub const LEADER_PROBE_BATCH_INTERVAL_MS: u64 = 6_000;
/// Number of machines that may probe at the same time in any case, however few are served without
/// the leader. One of them may have been terminated.
pub const MIN_LEADER_PROBES: usize = 3;
/// Margin after which a probe that has not returned counts as having found the leader, in ms. It is
/// added to the time of one failed attempt at each other node.
pub const LEADER_PROBE_MARGIN_MS: u64 = 2_000;
/// Time after which an unchanged heartbeat of a machine is relayed through the key-value store
/// again, in ms.
pub const RELAYED_HEARTBEAT_REPEAT_MS: u64 = 6_000;
/// Number of records for relayed heartbeats that a node writes in rotation, per write that a
/// transaction may hold. With two, the next transaction overwrites no record of the last one.
pub const RELAYED_HEARTBEAT_SLOTS_PER_WRITE: usize = 2;
/// Minimum number of records for relayed heartbeats of a node, however few writes a transaction may
/// hold.
pub const MIN_RELAYED_HEARTBEAT_SLOTS: usize = 16;
/// Bytes of JSON in a record of relayed heartbeats in addition to the heartbeats.
pub const RELAYED_HEARTBEATS_OVERHEAD_BYTES: usize = 200;
/// Time between two transactions with relayed heartbeats, in ms.
pub const RELAYED_HEARTBEATS_INTERVAL_MS: u64 = 1_000;
