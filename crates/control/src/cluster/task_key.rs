//! The name of a task inside the leader.

/// A task of a job, by the job's id and the task's number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskKey {
    /// The job's id.
    pub job: String,
    /// The task's number in its job.
    pub index: u32,
}
