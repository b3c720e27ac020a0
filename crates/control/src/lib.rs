//! The controller's state machines, free of I/O: events and the time go in, actions come out.
pub mod api;
pub mod fleet;
pub mod gang;
pub mod leader;
pub mod ledger;
pub mod limits;
pub mod node;
pub mod overdue;
pub mod pause;
pub mod preempt;
pub mod records;
pub mod replica;
pub mod resources;
pub mod schedule;
pub mod settings;
