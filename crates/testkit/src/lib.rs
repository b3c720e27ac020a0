//! Plays scenarios around the real cores of several controllers, in simulated time.
//!
//! The layers, each using only those before it:
//!
//! - [`stand_ins`]: models of the key-value store, the cloud, the workers and the users' jobs, and
//!   the faults in force;
//! - [`checks`]: the protocol's rules, as checks on the models;
//! - [`sim`]: the simulation, which steps the models and the controllers and calls the checks;
//! - [`trace`]: the language of the scenarios in `traces/`, and what they expect.
#![deny(missing_docs)]
pub mod checks;
pub mod sim;
pub mod stand_ins;
pub mod trace;
