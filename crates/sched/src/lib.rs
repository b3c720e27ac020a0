//! Deadline scheduling with probabilistic pruning, after "Efficient Task Pruning Mechanism to
//! Improve Robustness of Heterogeneous Computing Systems". Pure: no clock, no I/O. Cost is
//! bounded by the bins of a curve and by jobs times machines, never by tasks.
#![deny(missing_docs)]

pub mod placement_estimate;
pub mod pruner;
pub mod run_time_histogram;
pub mod time_distribution;
