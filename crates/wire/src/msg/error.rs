//! The body of every error answer.
use serde::{Deserialize, Serialize};

/// The body of an error answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong, for people.
    pub error: String,
}
