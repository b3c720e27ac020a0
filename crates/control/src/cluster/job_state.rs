//! A job's work: its waiting and finished tasks, failures and deadline.
use super::{Failures, Gang, GangState, ResultChunk};
use crate::api::{Millis, Now};
use crate::records::Bitmap;
use std::collections::{BTreeMap, BTreeSet};
use stonegw_constants::START_BACKOFF_MAX_MS;
use stonegw_wire::msg::{JobKind, JobSpec, Priority};

/// An accepted job that has not ended.
#[derive(Clone, Debug)]
pub struct JobState {
    /// What was submitted.
    pub spec: JobSpec,
    /// Time of day of the submission, ms.
    pub submitted_at_ms: u64,
    /// Waiting tasks; the lowest number starts first. A gang's are never here, see `gang`.
    pub pending_tasks: BTreeSet<u32>,
    /// Of the waiting tasks, those dropped by the pruner: they run in leftover room.
    pub pruned_tasks: BTreeSet<u32>,
    /// Its finished tasks.
    pub done_tasks: Bitmap,
    /// How many tasks are finished.
    pub done_count: u32,
    /// Its records of finished tasks, by number.
    pub result_chunks: BTreeMap<u32, ResultChunk>,
    /// The end is being stored.
    pub end_write_in_flight: bool,
    /// Failed starts.
    pub failures: Failures,
    /// No attempt starts before.
    pub retry_at: Millis,
    /// Its deadline has passed.
    pub deadline_missed: bool,
    /// When a task of it was last placed, or it was first seen.
    pub last_placed_at: Option<Millis>,
    /// Tasks that are to be placed before other work, since it waited for long.
    pub starved_tasks: usize,
    /// Its tasks start and end together.
    pub gang: Option<Gang>,
}

impl JobState {
    /// A job with all of its tasks still to run.
    pub fn new(spec: JobSpec, submitted_at_ms: u64) -> JobState {
        let gang = (spec.kind == JobKind::Gang).then(Gang::default);
        let single = if gang.is_some() { 0 } else { spec.task_count };
        JobState {
            pending_tasks: (0..single).collect(),
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
        let due = self.spec.deadline_s?;
        Some(due - (wall_ms as f64 - self.submitted_at_ms as f64) / 1e3)
    }

    /// How many of its tasks may start now: none while it waits after a failure, and one at a time of a job that
    /// failed on every machine so far.
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
        // Also a start out of a machine's queue is one that was owed: else room stays kept for it.
        self.starved_tasks = self.starved_tasks.saturating_sub(1);
        if self.failures.job_is_broken() && self.gang.is_none() {
            self.retry_at = now + START_BACKOFF_MAX_MS;
        }
    }

    /// Whether it is urgent: of high priority, or a service.
    pub fn is_urgent(&self) -> bool {
        self.spec.priority >= Priority::High || self.spec.kind == JobKind::Service
    }

    /// Takes a waiting task out, by number.
    pub fn remove_pending(&mut self, index: u32) -> bool {
        self.pending_tasks.remove(&index)
    }

    /// Puts a task back among the waiting ones, unless it is finished.
    pub fn requeue(&mut self, index: u32) {
        if self.gang.is_none() && !self.done_tasks.get(index) {
            self.pending_tasks.insert(index);
        }
    }

    /// Waiting tasks that the pruner has not dropped.
    pub fn unpruned_count(&self) -> usize {
        self.pending_tasks.len() - self.pending_tasks.intersection(&self.pruned_tasks).count()
    }

    /// The next waiting task that the pruner has not dropped.
    pub fn next_unpruned(&self) -> Option<u32> {
        let mut fresh = self
            .pending_tasks
            .iter()
            .filter(|n| !self.pruned_tasks.contains(n));
        fresh.next().copied()
    }

    /// The next waiting task that the pruner has dropped.
    pub fn next_pruned(&self) -> Option<u32> {
        let mut dropped = self
            .pruned_tasks
            .iter()
            .filter(|n| self.pending_tasks.contains(n));
        dropped.next().copied()
    }

    /// Whether it is a gang that can be placed, as far as its tasks are concerned.
    pub(crate) fn is_gang_waiting(&self) -> bool {
        let waiting = |g: &Gang| g.state == GangState::Waiting;
        !self.end_write_in_flight
            && self.done_count < self.spec.task_count
            && self.gang.as_ref().is_some_and(waiting)
    }

    /// How long a waiting gang has waited.
    pub(crate) fn gang_waited_ms(&self, now: Now) -> Millis {
        let ended_at = self.gang.as_ref().and_then(|g| g.last_attempt_ended_at);
        let age = now.wall_ms.saturating_sub(self.submitted_at_ms);
        ended_at.map_or(age, |at| now.monotonic_ms.saturating_sub(at))
    }
}
