//! Rolling upgrades.

/// Version of the data that this program can read and write. It is raised by one with each new kind
/// of stored or sent data. Version 2 introduced gangs, version 3 raised fencing tokens. Version 1
/// stored no version number.
pub const PROGRAM_VERSION: u64 = 3;
/// Minimum time between two reads of the other nodes' versions until all nodes have this version,
/// in ms. An upgrade takes a minute or so, and users whose gangs wait retry after seconds.
pub const FEATURE_GATE_READ_INTERVAL_MS: u64 = 2_000;
/// Maximum fraction of a node's requests to the key-value store that the reads of the other nodes'
/// versions take. The reads are less frequent where the request rate is low.
pub const FEATURE_GATE_READ_FRACTION: f64 = 0.05;
