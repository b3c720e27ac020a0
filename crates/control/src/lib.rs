//! The controller's state machines. They perform no I/O: a turn takes the time and a list of
//! events, and returns actions.
//!
//! The modules, from the lowest layer to the highest:
//!
//! - [`api`], [`settings`], [`records`], [`resources`], [`pause`], [`token_bucket`] and
//!   [`store_limits`]: types that all other modules use.
//! - [`replica`]: each node's copy of the replicated records.
//! - [`pending_write`], [`calls`] and [`context`]: the leader's calls, and the parts of the node
//!   that the leader may use during a turn.
//! - [`cluster`]: the leader's state of machines, placements and jobs.
//! - [`scheduling`] and [`autoscaler`]: the placement and provisioning decisions.
//! - [`leader`]: the leader's turn.
//! - [`node`]: the turn of a node, whether it leads or not.
#![deny(missing_docs)]

// Unit tests and integration tests both include `test_support`, which imports this crate by its
// external name.
#[cfg(test)]
extern crate self as stonegw_control;

pub mod api;
pub mod autoscaler;
pub mod calls;
pub mod cluster;
pub mod context;
mod fencing;
pub mod leader;
pub mod node;
mod outbox;
pub mod pause;
pub mod pending_write;
pub mod records;
pub mod replica;
pub mod resources;
pub mod scheduling;
pub mod settings;
pub mod store_limits;
#[cfg(test)]
mod test_support;
pub mod token_bucket;
