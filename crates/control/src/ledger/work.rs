//! A job's work: its waiting and finished tasks, failures and deadline.
use super::{Chunk, Failures};
use crate::api::Ms;
use crate::gang::Gang;
use crate::records::Bitmap;
use std::collections::{BTreeMap, BTreeSet};
use stonegw_constants as k;
use stonegw_wire::msg::{JobKind, JobSpec, Priority};

/// An accepted job that has not ended.
#[derive(Clone, Debug)]
pub struct Work {
    /// What was submitted.
    pub spec: JobSpec,
    /// Time of day of the submission, ms.
    pub at: u64,
    /// Waiting tasks; the lowest number starts first. A gang's are never here, see `gang`.
    pub pending: BTreeSet<u32>,
    /// Of the waiting tasks, those dropped by the pruner: they run in leftover room.
    pub dropped: BTreeSet<u32>,
    /// Its finished tasks.
    pub done: Bitmap,
    /// How many tasks are finished.
    pub done_count: u32,
    /// Its records of finished tasks, by number.
    pub chunks: BTreeMap<u32, Chunk>,
    /// The end is being stored.
    pub ending: bool,
    /// Failed starts.
    pub failures: Failures,
    /// No attempt starts before.
    pub retry_at: Ms,
    /// Its deadline has passed.
    pub missed: bool,
    /// When a task of it was last placed, or it was first seen.
    pub moved_at: Option<Ms>,
    /// Tasks that are to be placed before other work, since it waited for long.
    pub owed: usize,
    /// Its tasks start and end together.
    pub gang: Option<Gang>,
}

impl Work {
    /// A job with all of its tasks still to run.
    pub fn new(spec: JobSpec, at: u64) -> Work {
        let gang = (spec.kind == JobKind::Gang).then(Gang::default);
        let single = if gang.is_some() { 0 } else { spec.tasks };
        Work {
            pending: (0..single).collect(),
            gang,
            spec,
            at,
            dropped: BTreeSet::new(),
            done: Bitmap::default(),
            done_count: 0,
            chunks: BTreeMap::new(),
            ending: false,
            failures: Failures::default(),
            retry_at: 0,
            missed: false,
            moved_at: None,
            owed: 0,
        }
    }

    /// Seconds from `wall_ms` to the deadline; negative when late.
    pub fn due_s(&self, wall_ms: u64) -> Option<f64> {
        let due = self.spec.deadline_s?;
        Some(due - (wall_ms as f64 - self.at as f64) / 1e3)
    }

    /// How many of its tasks may start now: none while it waits after a failure, and one at a time of a job that
    /// failed on every machine so far.
    pub fn startable(&self, now: Ms) -> usize {
        if now < self.retry_at {
            0
        } else if self.failures.job_is_broken() {
            1
        } else {
            usize::MAX
        }
    }

    /// A task was placed. The others of a job that failed everywhere wait for its outcome.
    pub fn started(&mut self, now: Ms) {
        self.moved_at = Some(now);
        // Also a start out of a machine's queue is one that was owed: else room stays kept for it.
        self.owed = self.owed.saturating_sub(1);
        if self.failures.job_is_broken() && self.gang.is_none() {
            self.retry_at = now + k::START_RETRY_MAX_MS;
        }
    }

    /// Whether it is urgent: of high priority, or a service.
    pub fn urgent(&self) -> bool {
        self.spec.priority >= Priority::High || self.spec.kind == JobKind::Service
    }

    /// Takes a waiting task out, by number.
    pub fn take(&mut self, index: u32) -> bool {
        self.pending.remove(&index)
    }

    /// Puts a task back among the waiting ones, unless it is finished.
    pub fn give_back(&mut self, index: u32) {
        if self.gang.is_none() && !self.done.get(index) {
            self.pending.insert(index);
        }
    }

    /// Waiting tasks that the pruner has not dropped.
    pub fn fresh(&self) -> usize {
        self.pending.len() - self.pending.intersection(&self.dropped).count()
    }

    /// The next waiting task that the pruner has not dropped.
    pub fn next_fresh(&self) -> Option<u32> {
        let mut fresh = self.pending.iter().filter(|n| !self.dropped.contains(n));
        fresh.next().copied()
    }

    /// The next waiting task that the pruner has dropped.
    pub fn next_dropped(&self) -> Option<u32> {
        let mut dropped = self.dropped.iter().filter(|n| self.pending.contains(n));
        dropped.next().copied()
    }
}
