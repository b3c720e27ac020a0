//! Deadline scheduling with probabilistic pruning, after "Efficient Task Pruning Mechanism to
//! Improve Robustness of Heterogeneous Computing Systems". Pure: no clock, no I/O. Cost is
//! bounded by the bins of a distribution and by jobs times machines, never by tasks.
//!
//! - [`time_distribution`]: when something happens, as probabilities on a fixed time grid.
//! - [`run_time_histogram`]: how long a job's tasks run, learned from finished runs.
//! - [`placement_estimate`]: when a machine has capacity and how likely a task is on time there.
//! - [`pruner`]: which tasks are deferred or dropped for their low probability.
#![deny(missing_docs)]

pub mod placement_estimate;
pub mod pruner;
pub mod run_time_histogram;
pub mod time_distribution;
