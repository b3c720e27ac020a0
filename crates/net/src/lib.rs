//! Event loop, connections and the admission limit. One thread, built on `polling`.
#![deny(missing_docs)]

pub mod admit;
mod conn;
mod event;
mod net;

pub use event::{Failed, Link, NetEvent};
pub use net::Net;
