//! The simulated workers run gangs as the protocol says: commands are given to them directly,
//! without a controller.
mod fixture;
mod rules;
mod runs;
