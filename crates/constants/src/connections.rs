//! Sockets, the event loop's timers, and the links between controllers.

/// Time after which an idle connection of a user or worker is closed, in ms. Users poll every 5 s
/// and workers send heartbeats every few seconds, so only abandoned connections stay idle for so
/// long.
pub const IDLE_CONNECTION_TIMEOUT_MS: u64 = 65_000;
/// Time in which a request must arrive completely, from its first byte, in ms. Slow senders occupy
/// sockets.
pub const REQUEST_READ_TIMEOUT_MS: u64 = 5_000;
/// Number of sockets that accepted client connections may not use. They are reserved for calls to
/// the key-value store, the cloud and workers, and for links to peers.
pub const RESERVED_OUTBOUND_SOCKETS: usize = 160;
/// At most the total number of sockets divided by this is reserved by
/// [`RESERVED_OUTBOUND_SOCKETS`], so that a low limit leaves most sockets to users and workers.
pub const RESERVED_OUTBOUND_SOCKETS_DIVISOR: usize = 4;
/// Number of the reserved sockets that calls to workers may not use, so that the key-value store,
/// the cloud and peers always have sockets.
pub const RESERVED_SERVICE_SOCKETS: usize = 32;
/// Number of file descriptors that are not counted individually: the poller, the standard streams
/// and a few more.
pub const UNCOUNTED_SOCKETS: usize = 8;
/// Number of idle connections closed together when the sockets that may be used run out. Finding
/// them requires a scan of all connections.
pub const IDLE_EVICTION_BATCH: usize = 32;
/// Minimum number of sockets with which a node can work.
pub const MIN_SOCKETS: f64 = 128.0;
/// Time after which an idle connection to a server is closed, in ms. A machine with tasks gets a
/// command every few seconds.
pub const IDLE_CLIENT_CONNECTION_TIMEOUT_MS: u64 = 30_000;
/// Maximum number of connections waiting to be accepted. After a crash of a node, all machines and
/// users may connect to the same other node at once. The operating system may allow fewer.
pub const LISTEN_BACKLOG: i32 = 16_384;
/// Maximum time between two runs of the timers, in ms. Each run costs system calls, which matter on
/// a few per cent of a core, and no timer needs a finer resolution.
pub const TIMER_INTERVAL_MS: u64 = 100;
/// Time between two sweeps that close idle connections and redial peers, in ms. The limits of both
/// are seconds.
pub const CONNECTION_SWEEP_INTERVAL_MS: u64 = 1_000;
/// Maximum number of bytes read from a socket at once.
pub const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Bytes of unsent output above which a link to a peer is closed, since the peer has stopped
/// reading. The heartbeats of six thousand machines at once, of two kilobytes each, stay below this
/// limit.
pub const MAX_PEER_BACKLOG_BYTES: usize = 12 * 1024 * 1024;
/// Duration of a controller turn above which its calls to the cloud and to workers are not sent, in
/// ms. The process was paused, and its leader lease may have expired.
pub const STALE_TURN_THRESHOLD_MS: u64 = 1_500;
/// Duration of a controller turn above which the turn is logged, in ms. The leader lease is renewed
/// each second.
pub const SLOW_TURN_THRESHOLD_MS: u64 = 300;
/// Time between two turns from which the process counts as having been paused, in ms. Timers run
/// ten times a second, and the longest turns take half a second.
pub const PROCESS_PAUSE_THRESHOLD_MS: u64 = 1_000;
/// Time between two attempts to connect to a peer, in ms.
pub const PEER_REDIAL_INTERVAL_MS: u64 = 1_000;
/// Time between two pings on a link to a peer, in ms.
pub const PEER_PING_INTERVAL_MS: u64 = 1_000;
/// Time without a frame after which a link to a peer counts as down, in ms: three pings and some
/// slack.
pub const PEER_TIMEOUT_MS: u64 = 3_200;
