//! Decodes the responses to a node's calls.
use crate::api::{describe_result, CallResult};
use serde::de::DeserializeOwned;
use stonegw_wire::msg::{decode, DecodeError};

/// Why a call gave no usable response.
#[derive(Debug, thiserror::Error)]
pub(super) enum ResponseError {
    /// It failed, or was answered with another status than 200.
    #[error("{}", describe_result(.0))]
    Failed(CallResult),
    /// The body of a successful response could not be decoded.
    #[error("undecodable response: {0}")]
    Undecodable(DecodeError),
}

impl ResponseError {
    /// Logs a failure of `operation`. Calls fail whenever the network does; a body that can't be
    /// decoded is a fault of one of the two programs, and so a warning.
    pub(super) fn log(&self, operation: &str) {
        match self {
            ResponseError::Failed(_) => log::debug!("{operation} failed: {self}"),
            ResponseError::Undecodable(_) => log::warn!("{operation} failed: {self}"),
        }
    }
}

/// The decoded body of a response with status 200.
pub(super) fn decode_success<T: DeserializeOwned>(result: CallResult) -> Result<T, ResponseError> {
    match result {
        Ok((200, body)) => decode(&body).map_err(ResponseError::Undecodable),
        other => Err(ResponseError::Failed(other)),
    }
}
