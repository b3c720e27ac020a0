//! Algorithms for deadline scheduling with probabilistic pruning, after the paper "Efficient Task
//! Pruning Mechanism to Improve Robustness of Heterogeneous Computing Systems".
//!
//! The crate reads no clock and does no I/O. Its cost depends on the number of bins of a
//! distribution, on the number of jobs times the number of machines, and on the number of tasks on
//! each machine, but not on the number of pending tasks.
//!
//! - [`time_distribution`]: probability distributions of points in time on a fixed grid.
//! - [`run_time_histogram`]: how long a job's tasks run, learned from finished runs.
//! - [`placement_estimate`]: when a machine will have capacity and how likely a task placed there
//!   meets its deadline.
//! - [`pruner`]: which tasks are deferred or dropped because of their low on-time probability.
#![deny(missing_docs)]

pub mod placement_estimate;
pub mod pruner;
pub mod run_time_histogram;
pub mod time_distribution;
