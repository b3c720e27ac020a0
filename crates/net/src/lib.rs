//! Event loop, connections and the admission limit. One thread, built on `polling`.
pub mod admit;
mod conn;
mod net;

pub use net::{Failed, Link, Net, NetEvent};
