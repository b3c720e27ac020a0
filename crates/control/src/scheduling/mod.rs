//! Scheduling: which task runs on which machine.
//!
//! The modules form layers, listed here from the bottom up. A module uses only modules of the
//! layers below its own and those that precede it in its own layer:
//!
//! 1. [`estimates`], [`reservations`] and [`state`]: the state that all parts of the scheduler
//!    share;
//! 2. [`gang_lifecycle`]: how gangs run and stop;
//! 3. [`preemption_search`] and [`preemption`]: stopping running tasks to free capacity for others;
//! 4. `aging`, `first_fit`, `gang_placement` and `machine_queues`: placement of starved jobs, of
//!    jobs without a deadline and of gangs, and the machine queues that deadline placement works
//!    on;
//! 5. `deadline_placement` and `gang_reservation`: placement of tasks with a deadline, and
//!    reserving or freeing capacity for gangs;
//! 6. [`scheduler`]: runs the other modules in the order of a scheduling pass.
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
