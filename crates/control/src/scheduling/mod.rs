//! What runs where.
//!
//! The modules form layers. From the bottom up, where each uses only modules of the layers below it or those
//! before it in its own:
//!
//! 1. [`estimates`], [`reservations`] and [`state`]: what all parts share;
//! 2. [`gang_lifecycle`]: gangs as they run and stop;
//! 3. [`preemption_search`] and [`preemption`]: capacity that is cleared for others;
//! 4. `aging`, `first_fit`, `gang_placement` and `machine_queues`: placement of starved jobs, of work without
//!    a deadline and of gangs, and the queues that deadline placement works on;
//! 5. `deadline_placement` and `gang_reservation`;
//! 6. [`scheduler`]: calls the others in the order of a pass.
pub mod estimates;
pub mod reservations;
pub mod state;

pub mod gang_lifecycle;

pub mod preemption;
pub mod preemption_search;

mod aging;
mod first_fit;
mod gang_placement;
mod machine_queues;

mod deadline_placement;
mod gang_reservation;

pub mod scheduler;
