//! The status of a job as it is reported to users.
use super::Node;
use crate::records::JobEnd;
use stonegw_wire::frame::TaskCounts;
use stonegw_wire::msg::{JobPhase, JobStatus};

/// Numbers of completed and running tasks of a job, as last received from the leader.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct JobCounts {
    done: u32,
    running: u32,
}

impl From<&TaskCounts> for JobCounts {
    fn from(counts: &TaskCounts) -> JobCounts {
        JobCounts {
            done: counts.done.get(),
            running: counts.running.get(),
        }
    }
}

impl Node {
    /// Returns the status of a job, with the task counts that this node knows.
    pub(super) fn job_status(&self, job_id: &str) -> JobStatus {
        let Some(job) = self.replica.jobs.get(job_id) else {
            return job_status_without_counts(job_id, JobPhase::Queued);
        };
        let JobCounts { done, running } = self.task_counts(job_id);
        let (phase, done, running) = match job.record.end {
            Some(JobEnd::Done) => (JobPhase::Done, job.record.tasks, 0),
            Some(JobEnd::Cancelled) => (JobPhase::Cancelled, done, 0),
            None if running > 0 => (JobPhase::Running, done, running),
            None => (JobPhase::Queued, done, 0),
        };
        JobStatus {
            id: job_id.into(),
            phase,
            tasks_done: Some(done),
            tasks_running: Some(running),
        }
    }

    fn task_counts(&self, job_id: &str) -> JobCounts {
        match &self.leader {
            Some(leader) => {
                let (done, running) = leader.task_counts(job_id);
                JobCounts { done, running }
            }
            None => self.job_counts.get(job_id).copied().unwrap_or_default(),
        }
    }
}

/// Returns the status of a job whose task counts are not known or not reported, such as a job that
/// was just submitted or cancelled.
pub(super) fn job_status_without_counts(job_id: &str, phase: JobPhase) -> JobStatus {
    JobStatus {
        id: job_id.into(),
        phase,
        tasks_done: None,
        tasks_running: None,
    }
}
