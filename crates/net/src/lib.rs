//! Event loop, connections and the admission limit. One thread, built on `polling`.
#![deny(missing_docs)]

pub mod admit;
mod conn;
mod event;
mod net;

pub use event::{CallFailure, NetworkEvent, PeerLink};
pub use net::EventLoop;
