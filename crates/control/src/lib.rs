//! The controller's state machines, free of I/O: events and the time go in, actions come out.
pub mod api;
pub mod autoscaler;
pub mod calls;
pub mod cluster;
pub mod context;
pub mod leader;
pub mod node;
mod outbox;
pub mod pause;
pub mod records;
pub mod replica;
pub mod resources;
pub mod scheduling;
pub mod settings;
pub mod store_limits;
