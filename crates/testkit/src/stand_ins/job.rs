//! A job as its user and its tasks know it.
use super::parameters::Ms;
use std::collections::BTreeSet;
use stonegw_wire::msg::{JobKind, JobPhase, JobSpec, Priority};

/// A job that a user submits: its specification, the replies that the user has received, and the
/// progress of its tasks.
pub struct SubmittedJob {
    /// The specification that is submitted.
    pub spec: JobSpec,
    /// How long each of its tasks runs.
    pub task_run_ms: Ms,
    /// Whether its tasks fail on every machine.
    pub tasks_fail: bool,
    /// Whether the user has received a reply that the job is accepted.
    pub is_accepted: bool,
    /// The final phase that the user has received, if any.
    pub reported_end: Option<JobPhase>,
    /// When the user first received a reply that the job has ended.
    pub reported_end_at: Option<Ms>,
    /// Whether the user wants the job cancelled.
    pub cancel_requested: bool,
    /// When the user first received a reply that the job is cancelled.
    pub reported_cancelled_at: Option<Ms>,
    /// The delay after the end of the last task at which the user cancels the job, if it is to be
    /// cancelled then.
    pub cancel_after_end_ms: Option<Ms>,
    /// The indices of the tasks that are done.
    pub finished_tasks: BTreeSet<u32>,
    /// When it was first submitted.
    pub submitted_at: Ms,
    /// The attempts that workers have begun.
    pub started_attempts: BTreeSet<u64>,
    /// When each run of a gang started.
    pub gang_start_times: Vec<Ms>,
    /// The progress of a gang that is saved.
    pub saved_progress_ms: Ms,
    /// The id of the user's unanswered request about the job.
    pub request_in_flight: Option<u64>,
    /// The status of the last reply to its submission; 0 before the first.
    pub submission_status: u16,
    /// When the user last received a reply about the job's state.
    pub last_answered_at: Ms,
    /// When its first task started; for a gang, when all its tasks first ran together.
    pub started_at: Option<Ms>,
    /// Since when the job has had waiting tasks and there has been capacity for one, but none has
    /// started.
    pub starved_since: Option<Ms>,
}

impl SubmittedJob {
    /// Creates a job that is submitted at `now`.
    pub fn new(spec: JobSpec, task_run_ms: Ms, now: Ms) -> SubmittedJob {
        SubmittedJob {
            spec,
            task_run_ms,
            tasks_fail: false,
            is_accepted: false,
            reported_end: None,
            reported_end_at: None,
            cancel_requested: false,
            reported_cancelled_at: None,
            cancel_after_end_ms: None,
            finished_tasks: BTreeSet::new(),
            submitted_at: now,
            started_attempts: BTreeSet::new(),
            gang_start_times: vec![],
            saved_progress_ms: 0,
            request_in_flight: None,
            submission_status: 0,
            last_answered_at: now,
            started_at: None,
            starved_since: None,
        }
    }

    /// Returns whether the job is accepted, has not been reported ended, and is still wanted by its
    /// user.
    pub fn is_active(&self) -> bool {
        self.is_accepted && self.reported_end.is_none() && !self.cancel_requested
    }

    /// Returns whether the submission was rejected with a status after which it is not retried.
    pub fn is_rejected(&self) -> bool {
        let client_error =
            (400..500).contains(&self.submission_status) && self.submission_status != 429;
        client_error && !self.is_accepted
    }

    /// Returns whether all tasks of the job are done.
    pub fn has_finished_all_tasks(&self) -> bool {
        self.finished_tasks.len() == self.spec.task_count as usize
    }

    /// Returns whether the job was reported cancelled to its user more than `limit_ms` ago.
    pub fn is_cancelled_for_longer_than(&self, now: Ms, limit_ms: Ms) -> bool {
        self.reported_cancelled_at
            .is_some_and(|at| now > at + limit_ms)
    }
}

/// Returns the specification of a small job of the team `red` that may run anywhere; traces and
/// tests modify it.
pub fn default_job_spec(job_id: &str, kind: JobKind, task_count: u32) -> JobSpec {
    JobSpec {
        id: job_id.into(),
        class: "work".into(),
        team: "red".into(),
        kind,
        priority: Priority::Normal,
        task_count,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "img".into(),
        image_size_gb: 1.0,
        machine_types: None,
        zone: None,
        requires_single_zone: false,
        spreads_across_zones: false,
        allows_spot: false,
        estimated_run_time_s: 10.0,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
    }
}
