//! The body of every error response.
use serde::{Deserialize, Serialize};

/// The body of an error response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Description of the error for human readers.
    pub error: String,
}
