//! Sizes of HTTP messages.

/// Bytes of a request's body at most: the protocol's limit.
pub const MAX_REQUEST_BODY_BYTES: usize = 64 * 1024;
/// Bytes of a response's body at most. List responses go to 512 KiB, watch responses have no limit.
/// Beyond this, which is well below the memory limit, the pages of a list are read instead.
pub const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Bytes of start line and headers at most; far above what users, workers or health checks send.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Headers of a message at most; far above what users, workers or health checks send.
pub const MAX_HEADERS: usize = 64;
