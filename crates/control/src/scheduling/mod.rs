//! What runs where. From the bottom up: what all parts share ([`state`]), gangs as they run
//! ([`gang_lifecycle`]), preemption, the placers of gangs, starved jobs, deadline work and the rest, and
//! the [`scheduler`] that calls them in the order of a pass. Each file uses only those listed before it.
pub mod estimates;
pub mod reservations;
pub mod state;

pub mod gang_lifecycle;

pub mod preemption;

mod aging;
mod deadline_placement;
mod first_fit;
mod gang_placement;
mod gang_reservation;
mod machine_queues;

pub mod scheduler;
