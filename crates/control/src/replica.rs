//! The copy of the replicated records that every node keeps: the jobs, the leader and relayed
//! heartbeats.
use crate::records::{
    parse_task_name, JobEnd, JobRecord, LeaderRecord, ReplicatedRecord, JOBS_PREFIX, LEADER_KEY,
};
use std::collections::{BTreeSet, HashMap};
use stonegw_wire::msg::{Command, Entry, Heartbeat, TaskState, WatchEvent, WatchResponse};

/// A job's record as last read or written, or as changed by a cancellation that a peer announced.
#[derive(Clone, Debug)]
pub struct ReplicatedJob {
    /// The job's record.
    pub record: JobRecord,
    /// The record's revision.
    pub revision: u64,
}

/// A node's copy of the records whose keys begin with `c/`.
#[derive(Debug, Default)]
pub struct Replica {
    /// The jobs, by their ids.
    pub jobs: HashMap<String, ReplicatedJob>,
    /// The leader's record and the record's revision, which is the term.
    pub leader: Option<(LeaderRecord, u64)>,
    /// The highest revision at which the leader key is known to have been set or deleted.
    leader_revision: u64,
    /// The highest term seen.
    pub highest_term: u64,
    /// The revision of the store up to which this node has read all changes.
    pub revision: u64,
    /// Ids of the jobs that have changed and that the leader has not processed yet.
    pub changed_jobs: Vec<String>,
    /// Heartbeats relayed through the store by nodes that can't reach the leader.
    pub relayed_heartbeats: Vec<Heartbeat>,
    /// All known cancellations, each with the revision at which it was stored and the job's id.
    cancellations: BTreeSet<(u64, String)>,
    /// The cancellations that this node has not announced to the other nodes yet.
    pub unsent_cancellations: Vec<(u64, String)>,
    /// Revisions of announced cancellations of jobs that this node has not read yet, by job id.
    unread_cancellations: HashMap<String, u64>,
}

impl Replica {
    /// Applies a record. Responses may arrive late and out of order, so the record of a job or
    /// leader is replaced only by one of a higher revision.
    fn put_record(&mut self, key: &str, record: ReplicatedRecord, revision: u64) {
        match record {
            ReplicatedRecord::Leader(leader) if key == LEADER_KEY => {
                self.put_leader(leader, revision);
            }
            ReplicatedRecord::Job(record) => {
                if let Some(id) = key.strip_prefix(JOBS_PREFIX) {
                    self.put_job(id, *record, revision);
                }
            }
            // Heartbeats carry sequence numbers, by which the leader ignores those that arrive
            // late.
            ReplicatedRecord::RelayedHeartbeats(relayed) => {
                self.relayed_heartbeats.extend(relayed.heartbeats);
            }
            ReplicatedRecord::Leader(_) => log::warn!("unexpected record at {key}"),
        }
    }

    fn put_leader(&mut self, leader: LeaderRecord, revision: u64) {
        if revision > self.leader_revision {
            self.leader_revision = revision;
            self.highest_term = self.highest_term.max(revision);
            self.leader = Some((leader, revision));
        }
    }

    /// Applies a job's record, unless a newer one is known.
    pub fn put_job(&mut self, id: &str, mut record: JobRecord, mut revision: u64) {
        let announced = self.unread_cancellations.remove(id);
        if let Some(cancelled_at) = announced.filter(|cancelled_at| *cancelled_at > revision) {
            record = record.cancelled();
            revision = cancelled_at;
        }
        let known = self.jobs.get(id);
        if known.is_some_and(|job| job.revision >= revision) {
            return;
        }
        let known_end = known.and_then(|job| job.record.end);
        // A job's end is final: no node ever writes a record that changes or reverts it.
        if let Some(end) = known_end {
            if record.end != Some(end) {
                log::error!("job {id} ended as {end:?}; ignoring a later change of its record");
                return;
            }
        }
        if record.end == Some(JobEnd::Cancelled) && known_end.is_none() {
            self.add_cancellation(id, revision);
        }
        let job = ReplicatedJob { record, revision };
        self.jobs.insert(id.to_owned(), job);
        self.changed_jobs.push(id.to_owned());
    }

    fn add_cancellation(&mut self, id: &str, revision: u64) {
        self.cancellations.insert((revision, id.to_owned()));
        self.unsent_cancellations.push((revision, id.to_owned()));
    }

    /// Applies a stored cancellation that another node announced.
    pub fn apply_announced_cancellation(&mut self, id: &str, revision: u64) {
        match self.jobs.get(id) {
            Some(job) if job.record.end.is_some() => {}
            Some(job) => {
                let record = job.record.cancelled();
                self.put_job(id, record, revision);
            }
            // The job was submitted after this node's last read. The cancellation is recorded now,
            // since other nodes may ask for it before this node reads the job.
            None => {
                let announced = self.unread_cancellations.insert(id.to_owned(), revision);
                if announced.is_none() {
                    self.add_cancellation(id, revision);
                }
            }
        }
    }

    /// Returns the known cancellations stored after a revision: a node that has read all changes up
    /// to that revision may lack them.
    pub fn cancellations_since(&self, revision: u64) -> impl Iterator<Item = &(u64, String)> {
        self.cancellations
            .range((revision.saturating_add(1), String::new())..)
    }

    /// Returns the revision of the newest cancellation that this node has read in the store, or 0.
    pub(crate) fn newest_read_cancellation(&self) -> u64 {
        let mut read = self
            .cancellations
            .range(..(self.revision.saturating_add(1), String::new()));
        read.next_back().map_or(0, |(revision, _)| *revision)
    }

    /// Returns stop commands for the tasks in a heartbeat that have not exited and whose jobs are
    /// cancelled.
    pub fn stop_commands(&self, heartbeat: &Heartbeat) -> Vec<Command> {
        heartbeat
            .tasks
            .iter()
            .filter(|task| task.state != TaskState::Exited)
            .filter(|task| self.is_task_cancelled(&task.task_id))
            .map(|task| Command::Stop {
                task_id: task.task_id.clone(),
                attempt: task.attempt,
                grace_period_s: 0.0,
            })
            .collect()
    }

    fn is_task_cancelled(&self, task: &str) -> bool {
        let job = parse_task_name(task).map_or("", |(job, _)| job);
        self.end_of(job) == Some(JobEnd::Cancelled) || self.unread_cancellations.contains_key(job)
    }

    fn delete_record(&mut self, key: &str, revision: u64) {
        if key == LEADER_KEY && revision > self.leader_revision {
            self.leader_revision = revision;
            self.leader = None;
        }
    }

    /// Applies a page of a listing.
    pub fn apply_page(&mut self, entries: Vec<Entry<ReplicatedRecord>>) {
        for entry in entries {
            self.put_record(&entry.key, entry.value, entry.revision);
        }
    }

    /// Applies the changes in the response to a watch or a read barrier.
    pub fn apply_changes(&mut self, changes: WatchResponse<ReplicatedRecord>) {
        for event in changes.events {
            match event {
                WatchEvent::Put {
                    key,
                    value,
                    revision,
                } => self.put_record(&key, value, revision),
                WatchEvent::Delete { key, revision } => self.delete_record(&key, revision),
            }
        }
        self.revision = self.revision.max(changes.revision);
    }

    /// Records that this node's own transaction made it the leader.
    pub fn record_own_election(&mut self, record: LeaderRecord, term: u64) {
        self.put_leader(record, term);
    }

    /// Clears the leader. A complete listing without a leader key proves that there was no leader
    /// at the listing's revision.
    pub fn clear_leader(&mut self, revision: u64) {
        self.delete_record(LEADER_KEY, revision);
    }

    /// Returns how a job ended, or `None` if the job is unknown or has not ended.
    pub fn end_of(&self, job: &str) -> Option<JobEnd> {
        self.jobs.get(job).and_then(|job| job.record.end)
    }

    /// Returns the current leader's term, or `None` if there is no leader.
    pub fn term(&self) -> Option<u64> {
        self.leader.as_ref().map(|(_, term)| *term)
    }
}

#[cfg(test)]
#[path = "replica_tests.rs"]
mod tests;
