//! Every node's copy of what stands under `c/`: the jobs and who leads.
use crate::records::{parse_task, Common, End, JobRecord, LeaderRecord, JOBS, LEADER};
use std::collections::{BTreeSet, HashMap};
use stonegw_wire::msg::{Change, Changes, Command, Entry, Report, TaskState};

#[derive(Clone, Debug)]
pub struct Job {
    pub record: JobRecord,
    pub version: u64,
}

#[derive(Debug, Default)]
pub struct Replica {
    pub jobs: HashMap<String, Job>,
    /// The leader key with its stamp, which is the term.
    pub leader: Option<(LeaderRecord, u64)>,
    /// The highest term or removal of a leader key seen.
    leader_version: u64,
    pub highest_term: u64,
    pub revision: u64,
    /// Jobs that changed and that the leader has not looked at yet.
    pub changed: Vec<String>,
    /// Reports handed on by nodes that can't reach the leader.
    pub reports_via_state: Vec<Report>,
    /// All cancellations known, by the stamp under which each is stored.
    cancelled: BTreeSet<(u64, String)>,
    /// Those that were not handed to the other nodes yet.
    pub unsent_cancellations: Vec<(u64, String)>,
    /// Cancellations of jobs that we have not read yet, with their stamps.
    unread_cancellations: HashMap<String, u64>,
}

impl Replica {
    /// Answers may be late and out of order: a key only ever moves to a higher version.
    fn put(&mut self, key: &str, value: Common, version: u64) {
        match value {
            Common::Leader(l) if key == LEADER => {
                if version > self.leader_version {
                    self.leader_version = version;
                    self.highest_term = self.highest_term.max(version);
                    self.leader = Some((l, version));
                }
            }
            Common::Job(record) => {
                if let Some(id) = key.strip_prefix(JOBS) {
                    self.put_job(id, *record, version);
                }
            }
            // The order of reports is in themselves; a late one is told by its number.
            Common::Far(f) => {
                self.reports_via_state.extend(f.reports);
            }
            Common::Leader(_) => log::warn!("unexpected record at {key}"),
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
        if known.is_some_and(|j| j.version >= version) {
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
        if record.end == Some(End::Cancelled) && !before {
            self.cancelled.insert((version, id.to_owned()));
            self.unsent_cancellations.push((version, id.to_owned()));
        }
        self.jobs.insert(id.to_owned(), Job { record, version });
        self.changed.push(id.to_owned());
    }

    /// Another node knows of a stored cancellation.
    pub fn told_cancelled(&mut self, id: &str, stamp: u64) {
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
                    self.cancelled.insert((stamp, id.to_owned()));
                    self.unsent_cancellations.push((stamp, id.to_owned()));
                }
            }
        }
    }

    /// Cancellations known that a reader of everything up to a revision may not know.
    pub fn cancelled_since(&self, revision: u64) -> impl Iterator<Item = &(u64, String)> {
        self.cancelled
            .range((revision.saturating_add(1), String::new())..)
    }

    /// What ends the cancelled tasks in a report.
    pub fn stops(&self, report: &Report) -> Vec<Command> {
        let cancelled = |task: &str| {
            let job = parse_task(task).map_or("", |t| t.0);
            self.end_of(job) == Some(End::Cancelled) || self.unread_cancellations.contains_key(job)
        };
        let live = report.tasks.iter().filter(|t| t.state != TaskState::Exited);
        live.filter(|t| cancelled(&t.task))
            .map(|t| Command::Stop {
                task: t.task.clone(),
                attempt: t.attempt,
                grace_s: 0.0,
            })
            .collect()
    }

    fn delete(&mut self, key: &str, version: u64) {
        if key == LEADER && version > self.leader_version {
            self.leader_version = version;
            self.leader = None;
        }
    }

    pub fn list_page(&mut self, items: Vec<Entry<Common>>) {
        for e in items {
            self.put(&e.key, e.value, e.version);
        }
    }

    pub fn apply(&mut self, changes: Changes<Common>) {
        for event in changes.events {
            match event {
                Change::Put {
                    key,
                    value,
                    version,
                } => self.put(&key, value, version),
                Change::Delete { key, version } => self.delete(&key, version),
            }
        }
        self.revision = self.revision.max(changes.revision);
    }

    /// A transaction of ours made us leader.
    pub fn we_lead(&mut self, record: LeaderRecord, term: u64) {
        self.put(LEADER, Common::Leader(record), term);
    }

    /// A listing without a leader key, taken whole, proves there is none.
    pub fn no_leader_at(&mut self, revision: u64) {
        self.delete(LEADER, revision);
    }

    pub fn end_of(&self, job: &str) -> Option<End> {
        self.jobs.get(job).and_then(|j| j.record.end)
    }

    pub fn term(&self) -> Option<u64> {
        self.leader.as_ref().map(|(_, t)| *t)
    }
}

#[cfg(test)]
#[path = "replica_tests.rs"]
mod tests;
