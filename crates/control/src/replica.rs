//! Every node's copy of what stands under `c/`: the jobs and who leads.
use crate::records::{
    parse_task_name, JobEnd, JobRecord, LeaderRecord, ReplicatedRecord, JOBS_PREFIX, LEADER_KEY,
};
use std::collections::{BTreeSet, HashMap};
use stonegw_wire::msg::{Command, Entry, Heartbeat, TaskState, WatchEvent, WatchResponse};

#[derive(Clone, Debug)]
pub struct ReplicatedJob {
    pub record: JobRecord,
    pub revision: u64,
}

#[derive(Debug, Default)]
pub struct Replica {
    pub jobs: HashMap<String, ReplicatedJob>,
    /// The leader key with its stamp, which is the term.
    pub leader: Option<(LeaderRecord, u64)>,
    /// The highest term or removal of a leader key seen.
    leader_revision: u64,
    pub highest_term: u64,
    pub revision: u64,
    /// Jobs that changed and that the leader has not looked at yet.
    pub changed_jobs: Vec<String>,
    /// Reports handed on by nodes that can't reach the leader.
    pub relayed_heartbeats: Vec<Heartbeat>,
    /// All cancellations known, by the stamp under which each is stored.
    cancellations: BTreeSet<(u64, String)>,
    /// Those that were not handed to the other nodes yet.
    pub unsent_cancellations: Vec<(u64, String)>,
    /// Cancellations of jobs that we have not read yet, with their stamps.
    unread_cancellations: HashMap<String, u64>,
}

impl Replica {
    /// Answers may be late and out of order: a key only ever moves to a higher version.
    fn put_record(&mut self, key: &str, value: ReplicatedRecord, version: u64) {
        match value {
            ReplicatedRecord::Leader(l) if key == LEADER_KEY => {
                if version > self.leader_revision {
                    self.leader_revision = version;
                    self.highest_term = self.highest_term.max(version);
                    self.leader = Some((l, version));
                }
            }
            ReplicatedRecord::Job(record) => {
                if let Some(id) = key.strip_prefix(JOBS_PREFIX) {
                    self.put_job(id, *record, version);
                }
            }
            // The order of reports is in themselves; a late one is told by its number.
            ReplicatedRecord::RelayedHeartbeats(f) => {
                self.relayed_heartbeats.extend(f.heartbeats);
            }
            ReplicatedRecord::Leader(_) => log::warn!("unexpected record at {key}"),
        }
    }

    pub fn put_job(&mut self, id: &str, mut record: JobRecord, mut version: u64) {
        if let Some(stamp) = self
            .unread_cancellations
            .remove(id)
            .filter(|stamp| *stamp > version)
        {
            (record, version) = (record.cancelled(), stamp);
        }
        let known = self.jobs.get(id);
        if known.is_some_and(|j| j.revision >= version) {
            return;
        }
        // An end is for ever; nothing we write takes one back.
        if let Some(was) = known.and_then(|j| j.record.end) {
            if record.end != Some(was) {
                log::error!("job {id} ended as {was:?}, but its record changed; ignored");
                return;
            }
        }
        let before = known.is_some_and(|j| j.record.end.is_some());
        if record.end == Some(JobEnd::Cancelled) && !before {
            self.cancellations.insert((version, id.to_owned()));
            self.unsent_cancellations.push((version, id.to_owned()));
        }
        self.jobs.insert(
            id.to_owned(),
            ReplicatedJob {
                record,
                revision: version,
            },
        );
        self.changed_jobs.push(id.to_owned());
    }

    /// Another node knows of a stored cancellation.
    pub fn apply_announced_cancellation(&mut self, id: &str, stamp: u64) {
        match self.jobs.get(id) {
            Some(j) if j.record.end.is_some() => {}
            Some(j) => {
                let record = j.record.cancelled();
                self.put_job(id, record, stamp);
            }
            // Its submission was stored after our last read. Others may ask us of the cancellation
            // before we have read it.
            None => {
                if self
                    .unread_cancellations
                    .insert(id.to_owned(), stamp)
                    .is_none()
                {
                    self.cancellations.insert((stamp, id.to_owned()));
                    self.unsent_cancellations.push((stamp, id.to_owned()));
                }
            }
        }
    }

    /// Cancellations known that a reader of everything up to a revision may not know.
    pub fn cancellations_since(&self, revision: u64) -> impl Iterator<Item = &(u64, String)> {
        self.cancellations
            .range((revision.saturating_add(1), String::new())..)
    }

    /// What ends the cancelled tasks in a report.
    pub fn stop_commands(&self, report: &Heartbeat) -> Vec<Command> {
        let cancelled = |task: &str| {
            let job = parse_task_name(task).map_or("", |t| t.0);
            self.end_of(job) == Some(JobEnd::Cancelled)
                || self.unread_cancellations.contains_key(job)
        };
        let live = report.tasks.iter().filter(|t| t.state != TaskState::Exited);
        live.filter(|t| cancelled(&t.task_id))
            .map(|t| Command::Stop {
                task_id: t.task_id.clone(),
                attempt: t.attempt,
                grace_period_s: 0.0,
            })
            .collect()
    }

    fn delete_record(&mut self, key: &str, version: u64) {
        if key == LEADER_KEY && version > self.leader_revision {
            self.leader_revision = version;
            self.leader = None;
        }
    }

    pub fn apply_page(&mut self, items: Vec<Entry<ReplicatedRecord>>) {
        for e in items {
            self.put_record(&e.key, e.value, e.revision);
        }
    }

    pub fn apply_changes(&mut self, changes: WatchResponse<ReplicatedRecord>) {
        for event in changes.events {
            match event {
                WatchEvent::Put {
                    key,
                    value,
                    revision: version,
                } => self.put_record(&key, value, version),
                WatchEvent::Delete {
                    key,
                    revision: version,
                } => self.delete_record(&key, version),
            }
        }
        self.revision = self.revision.max(changes.revision);
    }

    /// A transaction of ours made us leader.
    pub fn record_own_election(&mut self, record: LeaderRecord, term: u64) {
        self.put_record(LEADER_KEY, ReplicatedRecord::Leader(record), term);
    }

    /// A listing without a leader key, taken whole, proves there is none.
    pub fn clear_leader(&mut self, revision: u64) {
        self.delete_record(LEADER_KEY, revision);
    }

    pub fn end_of(&self, job: &str) -> Option<JobEnd> {
        self.jobs.get(job).and_then(|j| j.record.end)
    }

    pub fn term(&self) -> Option<u64> {
        self.leader.as_ref().map(|(_, t)| *t)
    }
}

#[cfg(test)]
#[path = "replica_tests.rs"]
mod tests;
