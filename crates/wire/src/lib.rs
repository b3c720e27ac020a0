//! Wire formats of stonegw. No I/O: clients can use this crate as well.
#![deny(missing_docs)]

pub mod frame;
pub mod http;
pub mod msg;

/// A message at the start of a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parsed<T> {
    /// The message.
    pub message: T,
    /// How many bytes of the buffer it takes; the next message starts after them.
    pub consumed_bytes: usize,
}
