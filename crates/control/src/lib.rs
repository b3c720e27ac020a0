//! The controller's state machines, free of I/O: events and the time go in, actions come out.
//!
//! From the bottom up:
//!
//! - [`api`], [`settings`], [`records`], [`resources`], [`pause`], [`token_bucket`] and
//!   [`store_limits`]: the types that all others use; [`replica`]: each node's copy of the
//!   replicated records.
//! - [`calls`] and [`context`]: how the leader makes calls and what it may use during a turn.
//! - [`cluster`]: the leader's state of machines, placements and jobs.
//! - [`scheduling`] and [`autoscaler`]: the decisions.
//! - [`leader`]: the leader's turn; [`node`]: a node's turn, whether it leads or not.
#![deny(missing_docs)]

// Integration tests include `test_support` too and know this crate by its name.
#[cfg(test)]
extern crate self as stonegw_control;

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
#[cfg(test)]
mod test_support;
pub mod token_bucket;
