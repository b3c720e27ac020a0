//! Bookkeeping of the records that the leader stores: their versions and what must be written.
use crate::api::Ms;
use std::collections::{BTreeSet, HashSet};
use stonegw_constants as k;

/// The stored copy of something the leader writes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stored {
    /// The stamp it has; `None`: a write went unanswered, read before writing again.
    pub version: Option<u64>,
    /// Must be written before something goes on.
    pub dirty: bool,
    /// Holds more than it need; written when there is nothing better to do.
    pub stale: bool,
    /// A write is under way.
    pub writing: bool,
}

impl Stored {
    /// Nothing is stored yet.
    pub fn absent() -> Stored {
        Stored::at(0)
    }

    /// Stored with that stamp, and up to date.
    pub fn at(version: u64) -> Stored {
        Stored {
            version: Some(version),
            dirty: false,
            stale: false,
            writing: false,
        }
    }
}

/// The record that tells of a group of machines.
#[derive(Clone, Debug)]
pub struct Shard {
    /// Its copy in the store.
    pub stored: Stored,
    /// The machines it tells of.
    pub machines: BTreeSet<String>,
    /// Bytes of JSON it takes at most.
    pub bytes: usize,
    /// The jobs counted in `bytes`.
    pub jobs: HashSet<String>,
    /// Urgent work waits for its write.
    pub urgent: bool,
    /// Since when something in it waits to be written.
    pub since: Ms,
    /// Records that took over machines this one tells of: until they are stored it stays as it is.
    pub successors: BTreeSet<u32>,
}

impl Shard {
    /// A shard that tells of no machine yet.
    pub fn new(stored: Stored) -> Shard {
        Shard {
            stored,
            machines: BTreeSet::new(),
            bytes: k::SHARD_HEAD_BYTES,
            jobs: HashSet::new(),
            urgent: false,
            since: 0,
            successors: BTreeSet::new(),
        }
    }

    /// Whether it has anything to write.
    pub fn due(&self) -> bool {
        self.stored.dirty || self.stored.stale
    }

    /// One more task of the job goes in.
    pub fn add(&mut self, now: Ms, job: &str) {
        self.bytes += self.more(job);
        self.jobs.insert(job.to_owned());
        if !self.stored.dirty {
            self.since = now;
        }
        self.stored.dirty = true;
    }

    /// Bytes that one more task of the job takes at most.
    pub fn more(&self, job: &str) -> usize {
        let new = !self.jobs.contains(job);
        k::SHARD_TASK_BYTES + if new { k::SHARD_JOB_BYTES } else { 0 }
    }
}

/// A chunk of a job's finished tasks.
#[derive(Clone, Debug)]
pub struct Chunk {
    /// Its copy in the store.
    pub stored: Stored,
    /// Since when it has to be written.
    pub since: Ms,
}

impl Chunk {
    /// A chunk with nothing to write.
    pub fn new(stored: Stored) -> Chunk {
        Chunk { stored, since: 0 }
    }
}
