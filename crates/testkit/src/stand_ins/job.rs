//! A job as its user and its tasks know it.
use super::parameters::Ms;
use std::collections::BTreeSet;
use stonegw_wire::msg::{JobKind, JobPhase, JobSpec, Priority};

/// A job that a user submits: what was asked for, what the user was told, what its tasks did.
pub struct SubmittedJob {
    /// What is submitted.
    pub spec: JobSpec,
    /// How long its tasks run.
    pub task_run_ms: Ms,
    /// Whether its tasks fail on every machine.
    pub tasks_fail: bool,
    /// Whether the user was told that it is accepted.
    pub is_accepted: bool,
    /// How it has ended, as the user was told.
    pub reported_end: Option<JobPhase>,
    /// When the user was told that it has ended.
    pub reported_end_at: Option<Ms>,
    /// Whether the user wants it cancelled.
    pub cancel_requested: bool,
    /// When the user was told that it is cancelled.
    pub reported_cancelled_at: Option<Ms>,
    /// The user cancels so much after the end of its last task.
    pub cancel_after_end_ms: Option<Ms>,
    /// The indices of the tasks that are done.
    pub finished_tasks: BTreeSet<u32>,
    /// When it was first submitted.
    pub submitted_at: Ms,
    /// The attempts that workers began.
    pub started_attempts: BTreeSet<u64>,
    /// When each run of a gang started.
    pub gang_start_times: Vec<Ms>,
    /// The progress of a gang that is safe.
    pub saved_progress_ms: Ms,
    /// The user's request about it that waits for its response.
    pub request_in_flight: Option<u64>,
    /// The status of the last response to its submission; 0 before there is one.
    pub submission_status: u16,
    /// When a request about its state was last answered.
    pub last_answered_at: Ms,
    /// When its first task started, or all tasks of a gang.
    pub started_at: Option<Ms>,
    /// Since when tasks of it wait, none starts and one could.
    pub starved_since: Option<Ms>,
}

impl SubmittedJob {
    /// A job that is about to be submitted.
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

    /// Whether it is accepted, has not ended, and its user wants it.
    pub fn is_active(&self) -> bool {
        self.is_accepted && self.reported_end.is_none() && !self.cancel_requested
    }

    /// Whether its submission was answered with a status that is not retried.
    pub fn is_rejected(&self) -> bool {
        let client_error =
            (400..500).contains(&self.submission_status) && self.submission_status != 429;
        client_error && !self.is_accepted
    }

    /// Whether all its tasks are done.
    pub fn has_finished_all_tasks(&self) -> bool {
        self.finished_tasks.len() == self.spec.task_count as usize
    }

    /// Whether its user was told more than so long ago that it is cancelled.
    pub fn was_cancelled_before(&self, now: Ms, limit_ms: Ms) -> bool {
        self.reported_cancelled_at
            .is_some_and(|at| now > at + limit_ms)
    }
}

/// A small job of the team `red` that may run anywhere: what traces and tests begin with.
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
