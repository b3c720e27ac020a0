//! The body of every error response.
use serde::{Deserialize, Serialize};

/// The body of an error response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong, for people.
    pub error: String,
}
