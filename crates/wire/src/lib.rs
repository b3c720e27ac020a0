//! Wire formats of stonegw. No I/O: clients can use this crate as well.
#![deny(missing_docs)]

pub mod frame;
pub mod http;
pub mod msg;
