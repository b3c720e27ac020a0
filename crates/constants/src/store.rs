//! Calls to the key-value store, and how its request and write rates are shared.

/// Timeout of a call to the store, in ms. Responses usually take 10 ms, and occasionally some
/// hundred ms.
pub const STORE_TIMEOUT_MS: u64 = 1_500;
/// Time for which the store holds a watch open (long poll), in ms.
pub const WATCH_LONG_POLL_MS: u64 = 20_000;
/// Time beyond [`WATCH_LONG_POLL_MS`] after which a watch counts as failed, in ms.
pub const WATCH_GRACE_MS: u64 = 3_000;
/// Wait before a failed call is retried, in ms.
pub const STORE_RETRY_BACKOFF_MS: u64 = 200;
/// Wait before a call is retried whose response was an unexpected error or could not be decoded, in
/// ms.
pub const STORE_ERROR_BACKOFF_MS: u64 = 1_500;
/// Minimum time between two read barriers, in ms. It bounds their share of the request rate. A read
/// barrier is a read that shows that the replica is current.
pub const READ_BARRIER_INTERVAL_MS: u64 = 100;
/// Time between two probes of a store that did not respond, in ms.
pub const STORE_PROBE_INTERVAL_MS: u64 = 300;
/// Time after which the leader, and any node whose cancellation watermark lags by as much, reads
/// the changes even if its watch reports none, in ms. It bounds how late a cancellation is noticed.
pub const REPLICA_CONFIRM_INTERVAL_MS: u64 = 2_000;
/// Time that a status query waits for the store before the response is 503, in ms. Users wait 2 s.
pub const POLL_TIMEOUT_MS: u64 = 1_600;
/// Time that a submission or cancellation waits for the store before the response is 503, in ms.
/// Users wait 5 s.
pub const SUBMISSION_TIMEOUT_MS: u64 = 3_500;
/// Time without a successful response after which a failing store counts as unavailable, in ms.
pub const STORE_UNREACHABLE_MS: u64 = 2_500;
/// The leader's share of the store's request rate. The followers divide the rest. Users query all
/// nodes alike, and each response needs a read.
pub const LEADER_READ_FRACTION: f64 = 0.45;
/// The leader's share of the store's write rate. The followers divide the rest. Most writes are
/// placements, which the leader makes.
pub const LEADER_WRITE_FRACTION: f64 = 0.7;
/// Time between the end of a follower's watch and the next watch, in ms, so that changes close in
/// time arrive in one response. The leader watches again at once, since jobs wait for it.
pub const FOLLOWER_WATCH_INTERVAL_MS: u64 = 200;
/// Time between two transactions with placements of jobs that are not urgent, in ms. One write of a
/// record then covers all changes in between.
pub const COMMIT_INTERVAL_MS: u64 = 300;
/// Fraction of a transaction's writes, or of a second's writes if those are fewer, that stays in
/// the budget for urgent placements.
pub const URGENT_COMMIT_RESERVE_FRACTION: f64 = 0.25;
/// Time between two transactions that only collect garbage, in ms.
pub const GARBAGE_COLLECTION_INTERVAL_MS: u64 = 2_000;
/// Maximum size of a transaction, in bytes of JSON: the limit of the protocol.
pub const MAX_TXN_BYTES: usize = 64 * 1024;
/// Bytes of JSON that are left free in a transaction for framing.
pub const TXN_MARGIN_BYTES: usize = 2 * 1024;
/// Number of consecutive transactions rejected because of the rate that leave the size of
/// transactions as it is. Each further rejection makes them smaller. One or two may only have
/// coincided with transactions of other nodes in the same second.
pub const MAX_CONSECUTIVE_RATE_REFUSALS: u32 = 3;
/// Number of entries requested in one page of a list.
pub const LIST_PAGE_ENTRIES: usize = 500;
