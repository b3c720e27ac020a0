//! Decodes the responses to a node's calls.
use crate::api::{describe_result, CallResult};
use serde::de::DeserializeOwned;
use stonegw_wire::msg::{decode, DecodeError};

/// The reason why a call returned no usable response.
#[derive(Debug, thiserror::Error)]
pub(super) enum ResponseError {
    /// The call failed, or its response has a status other than 200.
    #[error("{}", describe_result(.0))]
    Failed(CallResult),
    /// The body of a response with status 200 can't be decoded.
    #[error("undecodable response: {0}")]
    Undecodable(DecodeError),
}

impl ResponseError {
    /// Logs a failure of `operation`. Failed calls are expected whenever the network fails and are
    /// logged at debug level. An undecodable body is a fault in this program or in the service that
    /// it called, and is logged as a warning.
    pub(super) fn log(&self, operation: &str) {
        match self {
            ResponseError::Failed(_) => log::debug!("{operation} failed: {self}"),
            ResponseError::Undecodable(_) => log::warn!("{operation} failed: {self}"),
        }
    }
}

/// Returns the decoded body of a response with status 200.
pub(super) fn decode_success<T: DeserializeOwned>(result: CallResult) -> Result<T, ResponseError> {
    match result {
        Ok((200, body)) => decode(&body).map_err(ResponseError::Undecodable),
        other => Err(ResponseError::Failed(other)),
    }
}
