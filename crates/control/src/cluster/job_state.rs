//! A job: its pending and finished tasks, failures and deadline.
use super::{Failures, Gang, GangState, ResultChunk};
use crate::api::{Millis, Now};
use crate::records::Bitmap;
use std::collections::{BTreeMap, BTreeSet};
use stonegw_constants::{START_BACKOFF_MAX_MS, STOP_GRACE_MARGIN_S};
use stonegw_wire::msg::{JobKind, JobSpec, Priority};

/// An accepted job that has not ended.
#[derive(Clone, Debug)]
pub struct JobState {
    /// What was submitted.
    pub spec: JobSpec,
    /// Time of day of the submission, ms.
    pub submitted_at_ms: u64,
    /// Pending tasks; the lowest number starts first. A gang's are never here, see `gang`.
    pub pending_tasks: BTreeSet<u32>,
    /// Of the pending tasks, those dropped by the pruner: they run in leftover capacity.
    pub pruned_tasks: BTreeSet<u32>,
    /// Its finished tasks.
    pub done_tasks: Bitmap,
    /// How many tasks are finished.
    pub done_count: u32,
    /// The records of its finished tasks, by number.
    pub result_chunks: BTreeMap<u32, ResultChunk>,
    /// The write that stores its end is in flight.
    pub end_write_in_flight: bool,
    /// Failed starts.
    pub failures: Failures,
    /// No attempt starts before.
    pub retry_at: Millis,
    /// Its deadline has passed.
    pub deadline_missed: bool,
    /// When a task of it was last placed, or it was first seen.
    pub last_placed_at: Option<Millis>,
    /// Tasks that are to be placed before those of other jobs, since none was for long (aging).
    pub starved_tasks: usize,
    /// `Some` for a gang: its tasks start and end together.
    pub gang: Option<Gang>,
}

impl JobState {
    /// A job with all of its tasks still to run.
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

    /// Seconds from `wall_ms` to the deadline; negative when late.
    pub fn seconds_to_deadline(&self, wall_ms: u64) -> Option<f64> {
        let deadline_s = self.spec.deadline_s?;
        let age_s = (wall_ms as f64 - self.submitted_at_ms as f64) / 1e3;
        Some(deadline_s - age_s)
    }

    /// Whether its deadline has passed.
    pub fn is_past_deadline(&self, wall_ms: u64) -> bool {
        self.seconds_to_deadline(wall_ms)
            .is_some_and(|seconds| seconds <= 0.0)
    }

    /// How many of its tasks may start now: none while it waits after a failure, and one at a time
    /// of a job that failed on every machine so far.
    pub fn start_limit(&self, now: Millis) -> usize {
        if now < self.retry_at {
            0
        } else if self.failures.job_is_broken() {
            1
        } else {
            usize::MAX
        }
    }

    /// A task was placed. The others of a job that failed everywhere wait for its outcome.
    pub fn record_start(&mut self, now: Millis) {
        self.last_placed_at = Some(now);
        // A start out of a machine's queue counts as well: else its reservation would stay.
        self.starved_tasks = self.starved_tasks.saturating_sub(1);
        if self.failures.job_is_broken() && self.gang.is_none() {
            self.retry_at = now + START_BACKOFF_MAX_MS;
        }
    }

    /// Whether it is urgent: of high priority, or a service.
    pub fn is_urgent(&self) -> bool {
        self.spec.priority >= Priority::High || self.spec.kind == JobKind::Service
    }

    /// Whether its tasks checkpoint, so that a stopped one loses little.
    pub fn can_checkpoint(&self) -> bool {
        self.spec.checkpoint_interval_s > 0.0
    }

    /// The grace period in which a task that is stopped makes a last checkpoint, s.
    pub fn checkpoint_grace_s(&self) -> f64 {
        self.spec.checkpoint_duration_s + STOP_GRACE_MARGIN_S
    }

    /// Takes a pending task out, by number. False: it was not pending.
    pub fn remove_pending(&mut self, index: u32) -> bool {
        self.pending_tasks.remove(&index)
    }

    /// Makes a task pending again, unless it is finished.
    pub fn requeue(&mut self, index: u32) {
        if self.gang.is_none() && !self.done_tasks.get(index) {
            self.pending_tasks.insert(index);
        }
    }

    /// How many pending tasks the pruner has not dropped.
    pub fn unpruned_count(&self) -> usize {
        self.pending_tasks.len() - self.pending_tasks.intersection(&self.pruned_tasks).count()
    }

    /// The next pending task that the pruner has not dropped.
    pub fn next_unpruned(&self) -> Option<u32> {
        let mut unpruned = self.pending_tasks.difference(&self.pruned_tasks);
        unpruned.next().copied()
    }

    /// The next pending task that the pruner has dropped.
    pub fn next_pruned(&self) -> Option<u32> {
        let mut pruned = self.pruned_tasks.intersection(&self.pending_tasks);
        pruned.next().copied()
    }

    /// Whether it is a gang that can be placed, as far as its tasks are concerned.
    pub(crate) fn is_gang_waiting(&self) -> bool {
        let waiting = |gang: &Gang| gang.state == GangState::Waiting;
        !self.end_write_in_flight
            && self.done_count < self.spec.task_count
            && self.gang.as_ref().is_some_and(waiting)
    }

    /// How long a waiting gang has waited.
    pub(crate) fn gang_waited_ms(&self, now: Now) -> Millis {
        let gang = self.gang.as_ref();
        let ended_at = gang.and_then(|gang| gang.last_attempt_ended_at);
        let age = now.wall_ms.saturating_sub(self.submitted_at_ms);
        ended_at.map_or(age, |at| now.monotonic_ms.saturating_sub(at))
    }
}
