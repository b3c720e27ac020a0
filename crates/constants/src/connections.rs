//! Sockets, the event loop's timers, and the links between controllers.

/// ms after which an idle connection of a user or worker is closed. Users poll every 5 s and workers
/// send heartbeats every few seconds, so only abandoned connections reach it.
pub const IDLE_CONNECTION_TIMEOUT_MS: u64 = 65_000;
/// ms in which a request must arrive whole, from its first byte: slow senders occupy sockets.
pub const REQUEST_READ_TIMEOUT_MS: u64 = 5_000;
/// Sockets that accepted connections may not use: they are for calls to the key-value store, the
/// cloud and workers, and for links to peers.
pub const RESERVED_OUTBOUND_SOCKETS: usize = 160;
/// At most one in so many sockets is reserved in this way, so that a low limit leaves most to users
/// and workers.
pub const RESERVED_OUTBOUND_SOCKETS_DIVISOR: usize = 4;
/// Of the reserved sockets, those that calls to workers may not use: the key-value store, the cloud
/// and peers never go without one.
pub const RESERVED_SERVICE_SOCKETS: usize = 32;
/// File descriptors not counted one by one: the poller, the standard streams and a few more.
pub const UNCOUNTED_SOCKETS: usize = 8;
/// Idle connections closed at once near the limit: finding them means looking at all connections.
pub const IDLE_EVICTION_BATCH: usize = 32;
/// Fewest sockets with which a node can work.
pub const MIN_SOCKETS: f64 = 128.0;
/// ms for which an idle connection to a server is kept: a machine with tasks gets a command every
/// few seconds.
pub const IDLE_CLIENT_CONNECTION_TIMEOUT_MS: u64 = 30_000;
/// Connections waiting to be accepted: after a crash all machines and users turn to the same node
/// at once. The operating system may allow fewer.
pub const LISTEN_BACKLOG: i32 = 16_384;
/// ms between two runs of the timers at most. Each costs system calls, which matter on a few per
/// cent of a core; no timer needs a finer resolution.
pub const TIMER_INTERVAL_MS: u64 = 100;
/// ms between two sweeps that close idle connections and redial peers: both limits are seconds.
pub const CONNECTION_SWEEP_INTERVAL_MS: u64 = 1_000;
/// Bytes read from a socket at once.
pub const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Bytes of unsent output after which a link to a peer is closed, since the peer has stopped
/// reading. The heartbeats of six thousand machines at once, two kilobytes each, stay below.
pub const MAX_PEER_BACKLOG_BYTES: usize = 12 * 1024 * 1024;
/// ms that a turn of the controller may take before its calls to the cloud and to workers are
/// dropped: the process was paused, and its leader lease may have expired.
pub const STALE_TURN_THRESHOLD_MS: u64 = 1_500;
/// ms from which the log mentions a turn's duration: the leader lease is renewed each second.
pub const SLOW_TURN_THRESHOLD_MS: u64 = 300;
/// ms between two turns from which the process counts as having been paused: timers run ten times a
/// second, and the longest turns take half a second.
pub const PROCESS_PAUSE_THRESHOLD_MS: u64 = 1_000;
/// ms between two attempts to connect to a peer.
pub const PEER_REDIAL_INTERVAL_MS: u64 = 1_000;
/// ms between two pings on a link to a peer.
pub const PEER_PING_INTERVAL_MS: u64 = 1_000;
/// ms without a frame after which a link to a peer counts as down: three pings, and some slack.
pub const PEER_TIMEOUT_MS: u64 = 3_200;
