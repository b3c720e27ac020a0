//! Wire formats of stonegw: message bodies, HTTP/1.1 and frames between controllers. The crate does
//! no I/O, so clients can use it as well.
#![deny(missing_docs)]

pub mod frame;
pub mod http;
pub mod msg;

/// A message that was parsed from the start of a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parsed<T> {
    /// The message.
    pub message: T,
    /// Number of bytes that the message takes up in the buffer; the next message starts after them.
    pub consumed_bytes: usize,
}
