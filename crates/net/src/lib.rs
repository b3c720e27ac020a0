//! Network I/O of a controller: the event loop, the connections and the admission limit. The event
//! loop runs in one thread and is built on the `polling` crate.
#![deny(missing_docs)]

pub mod admission;
mod connection;
mod event;
mod event_loop;

pub use event::{CallFailure, CallResponse, NetworkEvent, OutgoingCall, PeerLink, SocketReserve};
pub use event_loop::EventLoop;
