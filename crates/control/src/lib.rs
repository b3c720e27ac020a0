//! The controller's state machines, free of I/O: events and the time go in, actions come out.
// Integration tests include `test_support` too and know this crate by its name.
#[cfg(test)]
extern crate self as stonegw_control;

pub mod aging;
pub mod api;
pub mod autoscaler;
pub mod calls;
pub mod cluster;
pub mod context;
pub mod gang;
pub mod leader;
pub mod node;
mod outbox;
pub mod pause;
pub mod preemption;
pub mod records;
pub mod replica;
pub mod resources;
pub mod scheduler;
pub mod settings;
pub mod store_limits;
#[cfg(test)]
mod test_support;
pub mod token_bucket;
