//! Event loop, connections and the admission limit. One thread, built on `polling`.
pub mod admit;
mod conn;
mod event;
mod net;

pub use event::{Failed, Link, NetEvent};
pub use net::Net;
