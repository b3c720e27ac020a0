//! The key by which the leader identifies a task.

/// Identifies a task by its job's id and its index in the job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskKey {
    /// The id of the job.
    pub job: String,
    /// The task's index in the job.
    pub index: u32,
}
