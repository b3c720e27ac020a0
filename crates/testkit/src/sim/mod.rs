//! The simulation: it runs the real controller cores against models of their environment in
//! simulated time, injects faults, and checks the protocol's rules throughout.
//!
//! [`Simulation`] (in `simulation`) holds the state. Its parts are defined in `event`, `node_slot`,
//! `requests` and `gang_run`. The other modules advance it: `engine` processes the events in order
//! of time, and each of the rest handles one kind of event.
mod cloud_calls;
mod command;
mod configuration;
mod edge_case;
mod engine;
mod event;
mod fault;
mod gang;
mod gang_run;
mod heartbeat;
mod network;
mod node;
mod node_slot;
mod pause;
mod requests;
mod rules;
mod setup;
mod simulation;
mod store_calls;
mod user;
mod worker;

pub use node_slot::NodeSlot;
pub use simulation::Simulation;
