//! The record of a node's version.
use serde::{Deserialize, Serialize};

/// Name of the field [`VersionRecord::version`] in the stored record.
pub const VERSION_FIELD: &str = "release";

/// The version of the program that a node runs. Later versions must keep this field, because nodes
/// of this version read it. Versions older than the feature gate never read the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The version's number.
    #[serde(rename = "release")]
    pub version: u64,
}
