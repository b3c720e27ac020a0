//! The subset of HTTP/1.1 that the protocol needs: it uses neither pipelining nor transfer
//! encodings. Parsing is incremental: the caller passes all bytes received so far and gets `None`
//! until the buffer holds a whole message.
mod head;
mod write;

pub use write::{write_request, write_response};

use crate::Parsed;
use head::{parse_head, MessageHead};
use thiserror::Error;

/// The reason for rejecting a message. Servers send its text in the body of the error response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// The head is not valid HTTP/1.1 or HTTP/1.0.
    #[error("Malformed")]
    Malformed,
    /// The start line and the headers have too many bytes, or there are too many headers.
    #[error("HeadTooLarge")]
    HeadTooLarge,
    /// The body exceeds the maximum length.
    #[error("BodyTooLarge")]
    BodyTooLarge,
    /// The message has a `Transfer-Encoding` header, which is not supported.
    #[error("Encoding")]
    UnsupportedTransferEncoding,
    /// A request whose method takes a body has no `Content-Length` header.
    #[error("NoLength")]
    LengthRequired,
}

impl HttpError {
    /// Returns the HTTP status code of the error response.
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed => 400,
            HttpError::HeadTooLarge => 431,
            HttpError::BodyTooLarge => 413,
            HttpError::UnsupportedTransferEncoding => 501,
            HttpError::LengthRequired => 411,
        }
    }
}

/// A parsed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method, in upper case.
    pub method: String,
    /// The request target, which starts with `/`.
    pub path: String,
    /// Whether the connection is to be closed after the response.
    pub connection_close: bool,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
}

/// A parsed response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// Whether the server closes the connection after this response.
    pub connection_close: bool,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
}

/// Parses the request at the start of the buffer. Returns `None` if more bytes are needed.
///
/// # Errors
///
/// Returns an error as soon as the bytes received show that the request is invalid. The connection
/// cannot be used any further.
pub fn parse_request(
    buffer: &[u8],
    max_body_bytes: usize,
) -> Result<Option<Parsed<Request>>, HttpError> {
    let Some(head) = parse_head(buffer, max_body_bytes)? else {
        return Ok(None);
    };
    let (method, path) = parse_request_line(head.start_line)?;
    if head.content_length.is_none() && matches!(method, "POST" | "PUT" | "PATCH") {
        return Err(HttpError::LengthRequired);
    }
    let Some(body) = complete_body(buffer, &head) else {
        return Ok(None);
    };
    Ok(Some(Parsed {
        message: Request {
            method: method.into(),
            path: path.into(),
            connection_close: head.connection_close,
            body: body.to_vec(),
        },
        consumed_bytes: head.head_bytes + body.len(),
    }))
}

/// Returns the method and the target of a request line.
fn parse_request_line(line: &str) -> Result<(&str, &str), HttpError> {
    let mut words = line.split(' ');
    let (Some(method), Some(path), Some(version), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(HttpError::Malformed);
    };
    let is_method = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
    let is_known_version = matches!(version, "HTTP/1.1" | "HTTP/1.0");
    if is_method && path.starts_with('/') && is_known_version {
        Ok((method, path))
    } else {
        Err(HttpError::Malformed)
    }
}

/// Parses the response at the start of the buffer. Returns `None` if more bytes are needed. A
/// response without a `Content-Length` header has an empty body.
///
/// # Errors
///
/// Returns an error as soon as the bytes received show that the response is invalid. The connection
/// cannot be used any further.
pub fn parse_response(
    buffer: &[u8],
    max_body_bytes: usize,
) -> Result<Option<Parsed<Response>>, HttpError> {
    let Some(head) = parse_head(buffer, max_body_bytes)? else {
        return Ok(None);
    };
    let status = parse_status_line(head.start_line)?;
    let Some(body) = complete_body(buffer, &head) else {
        return Ok(None);
    };
    Ok(Some(Parsed {
        message: Response {
            status,
            connection_close: head.connection_close,
            body: body.to_vec(),
        },
        consumed_bytes: head.head_bytes + body.len(),
    }))
}

/// Returns the status code of a status line.
fn parse_status_line(line: &str) -> Result<u16, HttpError> {
    let after_version = line
        .strip_prefix("HTTP/1.1 ")
        .or_else(|| line.strip_prefix("HTTP/1.0 "))
        .ok_or(HttpError::Malformed)?;
    let digits = after_version.get(..3).ok_or(HttpError::Malformed)?;
    let next_byte = after_version.as_bytes().get(3);
    let is_separated = next_byte.is_none_or(|byte| *byte == b' ');
    if !is_separated || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(HttpError::Malformed);
    }
    digits.parse().map_err(|_| HttpError::Malformed)
}

/// Returns the body that follows the head, or `None` until the body is complete.
fn complete_body<'a>(buffer: &'a [u8], head: &MessageHead) -> Option<&'a [u8]> {
    let body_bytes = head.content_length.unwrap_or(0);
    buffer.get(head.head_bytes..head.head_bytes + body_bytes)
}
