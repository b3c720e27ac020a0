//! Decodes the responses to a node's calls.
use crate::api::{describe_result, CallResult};
use serde::de::DeserializeOwned;
use std::fmt;

/// Why a call gave no usable response.
#[derive(Debug)]
pub(super) enum ResponseError {
    /// It failed, or was answered with another status than 200.
    Failed(CallResult),
    /// The body of a successful response could not be decoded.
    Undecodable(String),
}

impl fmt::Display for ResponseError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ResponseError::Failed(result) => formatter.write_str(&describe_result(result)),
            ResponseError::Undecodable(reason) => {
                write!(formatter, "undecodable response: {reason}")
            }
        }
    }
}

impl std::error::Error for ResponseError {}

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
        Ok((200, body)) => stonegw_wire::msg::decode(&body)
            .map_err(|error| ResponseError::Undecodable(error.to_string())),
        other => Err(ResponseError::Failed(other)),
    }
}
