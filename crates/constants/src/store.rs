//! Calls to the key-value store, and how its request and write rates are shared.

/// ms after which a call to the store fails: responses take 10 ms, now and then some hundred.
pub const STORE_TIMEOUT_MS: u64 = 1_500;
/// ms for which the store holds a watch open (long poll).
pub const WATCH_LONG_POLL_MS: u64 = 20_000;
/// ms beyond [`WATCH_LONG_POLL_MS`] after which a watch counts as dead.
pub const WATCH_GRACE_MS: u64 = 3_000;
/// ms before a failed call is retried; doubled with each failure up to
/// [`STORE_RETRY_BACKOFF_MAX_MS`].
pub const STORE_RETRY_BACKOFF_MS: u64 = 200;
/// ms, the longest wait before a failed call is retried.
pub const STORE_RETRY_BACKOFF_MAX_MS: u64 = 1_500;
/// ms between two read barriers at least: bounds their share of the request rate.
pub const READ_BARRIER_INTERVAL_MS: u64 = 100;
/// ms between two probes of a store that did not respond.
pub const STORE_PROBE_INTERVAL_MS: u64 = 300;
/// ms after which the leader, and any node whose cancellation watermark lags by as much, reads the
/// changes even if its watch reports none: bounds how late a cancellation is noticed.
pub const REPLICA_CONFIRM_INTERVAL_MS: u64 = 2_000;
/// ms that a status query waits for the store before the response is 503; users wait 2 s.
pub const POLL_TIMEOUT_MS: u64 = 1_600;
/// ms that a submission or cancellation waits for the store before the response is 503; users wait
/// 5 s.
pub const SUBMISSION_TIMEOUT_MS: u64 = 3_500;
/// ms without any response from the store after which it counts as unreachable.
pub const STORE_UNREACHABLE_MS: u64 = 2_500;
/// The leader's share of the store's request rate; the followers divide the rest. Users query all
/// nodes alike, and each response needs a read.
pub const LEADER_READ_FRACTION: f64 = 0.45;
/// The leader's share of the store's write rate; the followers divide the rest. Most writes are
/// placements.
pub const LEADER_WRITE_FRACTION: f64 = 0.7;
/// ms between the end of a follower's watch and the next, so that changes close in time come in one
/// response. The leader watches again at once, since jobs wait for it.
pub const FOLLOWER_WATCH_INTERVAL_MS: u64 = 200;
/// ms between two transactions with placements of jobs that are not urgent: one write of a record
/// then covers what happened meanwhile.
pub const COMMIT_INTERVAL_MS: u64 = 300;
/// Part of a transaction's writes, or of a second's if those are fewer, that stays in the budget for
/// urgent placements.
pub const URGENT_COMMIT_RESERVE_FRACTION: f64 = 0.25;
/// ms between two transactions that only collect garbage.
pub const GARBAGE_COLLECTION_INTERVAL_MS: u64 = 2_000;
/// Bytes of JSON in a transaction at most: the protocol's limit.
pub const MAX_TXN_BYTES: usize = 64 * 1024;
/// Bytes of JSON left free in a transaction for framing.
pub const TXN_MARGIN_BYTES: usize = 2 * 1024;
/// Transactions in a row refused because of the rate after which they are made smaller: one or two
/// may only have coincided with other nodes' in the same second.
pub const MAX_CONSECUTIVE_RATE_REFUSALS: u32 = 3;
/// Entries asked for in one page of a list.
pub const LIST_PAGE_ENTRIES: usize = 500;
