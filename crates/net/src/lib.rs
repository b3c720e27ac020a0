//! Event loop, connections and the admission limit. One thread, built on `polling`.
#![deny(missing_docs)]

pub mod admission;
mod connection;
mod event;
mod event_loop;

pub use event::{CallFailure, CallResponse, NetworkEvent, OutgoingCall, PeerLink, SocketReserve};
pub use event_loop::EventLoop;
