//! The leader's state of a job: its pending and finished tasks, its failures and its deadline.
use super::{Failures, Gang, GangState, ResultChunk};
use crate::api::{Millis, Now};
use crate::records::Bitmap;
use std::collections::{BTreeMap, BTreeSet};
use stonegw_constants::{START_BACKOFF_MAX_MS, STOP_GRACE_MARGIN_S};
use stonegw_wire::msg::{JobKind, JobSpec, Priority};

/// An accepted job that has not ended.
#[derive(Clone, Debug)]
pub struct JobState {
    /// The submitted specification.
    pub spec: JobSpec,
    /// The wall-clock time of the submission, ms.
    pub submitted_at_ms: u64,
    /// The indexes of the pending tasks; the lowest starts first. Always empty for a gang, whose
    /// tasks are placed together (see `gang`).
    pub pending_tasks: BTreeSet<u32>,
    /// The indexes of tasks that the pruner dropped. While pending, they are placed only in
    /// leftover capacity.
    pub pruned_tasks: BTreeSet<u32>,
    /// The finished tasks.
    pub done_tasks: Bitmap,
    /// The number of finished tasks.
    pub done_count: u32,
    /// The chunks in which the finished tasks are stored, by chunk number.
    pub result_chunks: BTreeMap<u32, ResultChunk>,
    /// Whether the write that stores the job's end is in flight.
    pub end_write_in_flight: bool,
    /// The job's failed starts.
    pub failures: Failures,
    /// The earliest time at which the next task may start, after a failure.
    pub retry_at: Millis,
    /// Whether the deadline is known to have passed.
    pub deadline_missed: bool,
    /// When this leader last placed a task of the job, or, for a job begun under an earlier leader,
    /// when it first checked the job for starvation.
    pub last_placed_at: Option<Millis>,
    /// The number of tasks to place before those of other jobs, because none of this job's tasks
    /// was placed for a long time (aging).
    pub starved_tasks: usize,
    /// The state of the gang, if the job is one. The tasks of a gang start and end together.
    pub gang: Option<Gang>,
}

impl JobState {
    /// Creates a job none of whose tasks has been placed.
    pub fn new(spec: JobSpec, submitted_at_ms: u64) -> JobState {
        let gang = (spec.kind == JobKind::Gang).then(Gang::default);
        let pending_count = if gang.is_some() { 0 } else { spec.task_count };
        JobState {
            pending_tasks: (0..pending_count).collect(),
            gang,
            spec,
            submitted_at_ms,
            pruned_tasks: BTreeSet::new(),
            done_tasks: Bitmap::default(),
            done_count: 0,
            result_chunks: BTreeMap::new(),
            end_write_in_flight: false,
            failures: Failures::default(),
            retry_at: 0,
            deadline_missed: false,
            last_placed_at: None,
            starved_tasks: 0,
        }
    }

    /// Returns the seconds from `wall_ms` to the deadline, negative after the deadline.
    pub fn seconds_to_deadline(&self, wall_ms: u64) -> Option<f64> {
        let deadline_s = self.spec.deadline_s?;
        let age_s = (wall_ms as f64 - self.submitted_at_ms as f64) / 1e3;
        Some(deadline_s - age_s)
    }

    /// Returns `true` if the deadline has passed.
    pub fn is_past_deadline(&self, wall_ms: u64) -> bool {
        self.seconds_to_deadline(wall_ms)
            .is_some_and(|seconds| seconds <= 0.0)
    }

    /// Returns how many of the job's tasks may start now: none while the job waits after a failure,
    /// and one at a time if the job has failed on every machine so far.
    pub fn start_limit(&self, now: Millis) -> usize {
        if now < self.retry_at {
            0
        } else if self.failures.job_is_broken() {
            1
        } else {
            usize::MAX
        }
    }

    /// Records that a task was placed. If the job has failed on every machine so far, its other
    /// tasks wait for the outcome of this one.
    pub fn record_start(&mut self, now: Millis) {
        self.last_placed_at = Some(now);
        // A task that starts from a machine's queue counts as well; otherwise the job would keep
        // its aging reservation.
        self.starved_tasks = self.starved_tasks.saturating_sub(1);
        if self.failures.job_is_broken() && self.gang.is_none() {
            self.retry_at = now + START_BACKOFF_MAX_MS;
        }
    }

    /// Returns `true` if the job is urgent, that is, of high priority or a service.
    pub fn is_urgent(&self) -> bool {
        self.spec.priority >= Priority::High || self.spec.kind == JobKind::Service
    }

    /// Returns `true` if the job's tasks write checkpoints, so that a stopped task loses little
    /// work.
    pub fn can_checkpoint(&self) -> bool {
        self.spec.checkpoint_interval_s > 0.0
    }

    /// Returns the grace period in which a stopped task writes a last checkpoint, in seconds.
    pub fn checkpoint_grace_s(&self) -> f64 {
        self.spec.checkpoint_duration_s + STOP_GRACE_MARGIN_S
    }

    /// Removes a task from the pending tasks. Returns `false` if it was not pending.
    pub fn remove_pending(&mut self, index: u32) -> bool {
        self.pending_tasks.remove(&index)
    }

    /// Makes a task pending again, unless it is finished or belongs to a gang.
    pub fn requeue(&mut self, index: u32) {
        if self.gang.is_none() && !self.done_tasks.get(index) {
            self.pending_tasks.insert(index);
        }
    }

    /// Returns the number of pending tasks that the pruner has not dropped.
    pub fn unpruned_count(&self) -> usize {
        self.pending_tasks.len() - self.pending_tasks.intersection(&self.pruned_tasks).count()
    }

    /// Returns the index of the next pending task that the pruner has not dropped.
    pub fn next_unpruned(&self) -> Option<u32> {
        let mut unpruned = self.pending_tasks.difference(&self.pruned_tasks);
        unpruned.next().copied()
    }

    /// Returns the index of the next pending task that the pruner has dropped.
    pub fn next_pruned(&self) -> Option<u32> {
        let mut pruned = self.pruned_tasks.intersection(&self.pending_tasks);
        pruned.next().copied()
    }

    /// Returns `true` if the job is an unfinished gang none of whose tasks may be running.
    pub(crate) fn is_gang_waiting(&self) -> bool {
        let waiting = |gang: &Gang| gang.state == GangState::Waiting;
        !self.end_write_in_flight
            && self.done_count < self.spec.task_count
            && self.gang.as_ref().is_some_and(waiting)
    }

    /// Returns for how long a waiting gang has waited, in ms: since the end of its last attempt
    /// under this leader, or else since its submission.
    pub(crate) fn gang_waited_ms(&self, now: Now) -> Millis {
        let gang = self.gang.as_ref();
        let ended_at = gang.and_then(|gang| gang.last_attempt_ended_at);
        let age = now.wall_ms.saturating_sub(self.submitted_at_ms);
        ended_at.map_or(age, |at| now.monotonic_ms.saturating_sub(at))
    }
}
