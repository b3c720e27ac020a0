//! Size limits of HTTP messages.

/// Maximum size of a request body, in bytes: the limit of the protocol.
pub const MAX_REQUEST_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a response body, in bytes. List responses take up to 512 KiB, and watch
/// responses have no limit. If a response exceeds this size, which is well below the memory limit,
/// the pages of a list are read instead.
pub const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Maximum size of start line and headers, in bytes. Users, workers and health checks send far
/// less.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum number of headers of a message. Users, workers and health checks send far fewer.
pub const MAX_HEADERS: usize = 64;
