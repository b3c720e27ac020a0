//! Rolling upgrades.

/// Version of what this program can read and write; raised by one with each new kind of stored or
/// sent data. 2: gangs. The version before it stored no such number.
pub const PROGRAM_VERSION: u64 = 2;
/// ms between two reads of the other nodes' versions until all have this one: an upgrade takes a
/// minute or so, and users whose gangs wait retry after seconds.
pub const FEATURE_GATE_READ_INTERVAL_MS: u64 = 2_000;
/// Part of a node's requests to the key-value store that these reads take at most: they come less
/// often where the rate is low.
pub const FEATURE_GATE_READ_FRACTION: f64 = 0.05;
