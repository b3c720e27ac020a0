//! A deterministic simulation that runs the real cores of several controllers through scenarios in
//! simulated time.
//!
//! It consists of these layers, each of which uses only the layers before it:
//!
//! - [`stand_ins`]: models of the key-value store, the cloud, the workers and the users' jobs, and
//!   the active faults;
//! - [`checks`]: checks of the protocol's rules on the models;
//! - [`sim`]: the simulation, which advances the models and the controllers and calls the checks;
//! - [`trace`]: the interpreter for the scenarios in `traces/` and their expectations.
#![deny(missing_docs)]
pub mod checks;
pub mod sim;
pub mod stand_ins;
pub mod trace;
