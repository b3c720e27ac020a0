//! The simulation: real controller cores among models of all that is around them, in simulated
//! time, with faults, and with the rules of the protocol checked all the while.
//!
//! [`Simulation`] (in `simulation`) is the state; the events, the controllers' slots, the requests
//! and the gang runs that it consists of stand below it. The other modules say how it goes on:
//! `engine` takes the events in order of time, the rest handle one kind each.
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
