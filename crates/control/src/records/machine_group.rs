//! The record of the tasks on a group of machines.
use serde::{Deserialize, Serialize};

/// The tasks that may be on a group of machines. One record for many machines, since the store limits
/// the rate of writes. It is self-contained, so that a new leader can account for the resources in
/// use whatever became of the jobs. Rows, which are stored as arrays, keep it small.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineGroupRecord {
    /// Names of the teams whose jobs are in `jobs`.
    pub teams: Vec<String>,
    /// The jobs whose tasks are in `machines`.
    pub jobs: Vec<JobRow>,
    /// The machines that have tasks.
    pub machines: Vec<MachineRow>,
}

/// Job id, index of its team in `teams`, and the request of one task: CPUs, GPUs, memory in GB.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRow(pub String, pub usize, pub f64, pub f64, pub f64);

/// Machine id, machine type, zone, whether it is a spot machine, and its tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRow(
    pub String,
    pub String,
    pub String,
    pub bool,
    pub Vec<TaskRow>,
);

/// Index of the job in `jobs`, index of the task in its job, and the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskRow(pub usize, pub u32, pub u64);
