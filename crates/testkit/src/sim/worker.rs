//! A worker's own turns: its lease, its tasks, its reports.
use super::event::Step;
use super::user::Asker;
use super::{job_of, split_task, Sim, LEASE_MS, REPORT_MS};
use crate::outside::{Ms, TaskKey, Worker};
use std::collections::BTreeMap;
use stonegw_wire::http::Request;
use stonegw_wire::msg::*;

/// A worker waits so long for the answer to a report, and so long before it tries another node.
const PATIENCE_MS: Ms = 4_000;
pub(super) const RETRY_MS: Ms = 1_000;
/// Reports about changes are at least so far apart.
const CHANGE_GAP_MS: Ms = 500;
/// A worker looks at itself each time this has passed since it was up.
const STEP_MS: Ms = 100;

/// A report as a request to a node.
fn report_request(report: &Report) -> Request {
    Request {
        method: "POST".into(),
        path: "/agent/beat".into(),
        close: false,
        body: encode(report),
    }
}

fn until(faults: &BTreeMap<String, Ms>, id: &str, now: Ms) -> bool {
    faults.get(id).is_some_and(|until| now < *until)
}

impl Worker {
    /// When it next has something to do by itself.
    fn next_turn(&self) -> Ms {
        let tasks = self.tasks.values();
        let busy = tasks.filter(|t| {
            matches!(
                t.state,
                TaskState::Fetching | TaskState::Gathering | TaskState::Running
            )
        });
        let next_task = busy.map(|t| t.until).min();
        let contact = match self.flying {
            Some((_, sent)) => sent + PATIENCE_MS,
            None if self.changed => self.next_report.min(self.change_due()),
            None => self.next_report,
        };
        let lease_end = self.renewed + LEASE_MS;
        contact.min(lease_end).min(next_task.unwrap_or(Ms::MAX))
    }

    /// When it may report a change.
    fn change_due(&self) -> Ms {
        (self.next_report + CHANGE_GAP_MS).saturating_sub(REPORT_MS)
    }

    fn report_due(&self, now: Ms) -> bool {
        let due = now >= self.next_report || (self.changed && now >= self.change_due());
        self.flying.is_none() && due
    }
}

impl Sim {
    pub(super) fn worker_turn(&mut self, id: &str) {
        let now = self.now;
        let Some(w) = self.workers.get(id) else {
            return;
        };
        if now < w.hangs_until {
            let until = w.hangs_until;
            return self.worker_due(id, until);
        }
        // Seen before the turn: a report right after the worker turned to another node fares as
        // it would have at the old one.
        let unheard = self.apart(w.node, &w.zone);
        self.end_lease(id);
        self.start_fetched(id);
        self.end_tasks(id);
        self.give_up_report(id);
        if self.workers.get(id).is_some_and(|w| w.report_due(now)) {
            self.send_report(id, unheard);
        }
        if let Some(w) = self.workers.get(id) {
            let next = w.next_turn();
            self.worker_due(id, next.max(now + 1));
        }
    }

    fn end_lease(&mut self, id: &str) {
        let now = self.now;
        let w = self.workers.get_mut(id).expect("worker");
        if now >= w.renewed + LEASE_MS {
            w.lose_session(now);
            self.note(format!("{id} loses its session"));
        }
    }

    /// Tasks whose image is there start.
    fn start_fetched(&mut self, id: &str) {
        let now = self.now;
        let tasks = self.workers[id].tasks.iter();
        let ready = tasks.filter(|(_, t)| t.state == TaskState::Fetching && now >= t.until);
        let ready: Vec<TaskKey> = ready.map(|(key, _)| key.clone()).collect();
        for key in ready {
            self.image_ready(id, &key);
        }
    }

    /// Tasks whose time is over exit: those that ran are done, those that waited for their gang
    /// give up.
    fn end_tasks(&mut self, id: &str) {
        let now = self.now;
        let mut done = vec![];
        let w = self.workers.get_mut(id).expect("worker");
        for ((task, _), t) in w.tasks.iter_mut().filter(|(_, t)| now >= t.until) {
            match t.state {
                TaskState::Running if self.jobs[job_of(task)].broken => t.exit(ExitCause::Error),
                TaskState::Running => {
                    t.exit(ExitCause::Done);
                    done.push(task.clone());
                }
                TaskState::Gathering => t.exit(ExitCause::Incomplete),
                _ => continue,
            }
            w.changed = true;
        }
        for task in done {
            self.task_done(&task);
        }
    }

    /// Counts a task as done; if it was the last of its job, its user may cancel now.
    pub(super) fn task_done(&mut self, task: &str) {
        let (job, index) = split_task(task);
        let Some(j) = self.jobs.get_mut(job) else {
            return;
        };
        let ended = j.finished.insert(index) && j.finished.len() == j.spec.tasks as usize;
        if let Some(lag) = j.cancel_at_end.filter(|_| ended) {
            let line = ["cancel-now", job, "any"];
            self.later(lag, line.map(str::to_owned).to_vec());
        }
    }

    /// A report unanswered for too long: the next node is tried.
    fn give_up_report(&mut self, id: &str) {
        let (now, nodes) = (self.now, self.nodes.len());
        let w = self.workers.get_mut(id).expect("worker");
        let Some((ask, _)) = w.flying.filter(|f| now >= f.1 + PATIENCE_MS) else {
            return;
        };
        w.flying = None;
        w.node = (w.node + 1) % nodes;
        w.next_report = now + RETRY_MS;
        self.asks.remove(&ask);
    }

    fn send_report(&mut self, id: &str, apart: bool) {
        let now = self.now;
        let ask = self.new_ask();
        let w = self.workers.get_mut(id).expect("worker");
        w.changed = false;
        w.next_report = now + REPORT_MS;
        w.flying = Some((ask, now));
        let (node, report) = (w.node, w.report(now));
        let unheard = apart || until(&self.cut, id, now) || until(&self.mute, id, now);
        if !unheard {
            self.asks.insert(ask, Asker::Worker(id.into()));
            let request = report_request(&report);
            self.at(now + self.wire_ms, Step::Ask { ask, node, request });
        }
        self.copy_report(id, node, &report);
    }

    /// A copy of the report arrives late at another node, if a fault says so.
    fn copy_report(&mut self, id: &str, node: usize, report: &Report) {
        let next = (node + 1) % self.nodes.len();
        let copy = self.copy_reports.get(id).map(|lag| (*lag, next));
        let Some((lag, node)) = copy.or_else(|| self.late_report()) else {
            return;
        };
        let ask = self.new_ask();
        self.asks.insert(ask, Asker::Probe);
        let request = report_request(report);
        self.at(self.now + lag, Step::Ask { ask, node, request });
    }

    /// The worker looks at itself at the next step of its own from then on, if not before.
    pub(super) fn worker_due(&mut self, id: &str, when: Ms) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(id) else {
            return;
        };
        let ahead = when.max(now).saturating_sub(w.grid);
        let at = w.grid + ahead.div_ceil(STEP_MS) * STEP_MS;
        if at < w.turn_at || w.turn_at <= now {
            w.turn_at = at;
            self.at(at, Step::WorkerTurn(id.into(), at));
        }
    }

    /// The answer to a worker's report.
    pub(super) fn worker_answered(&mut self, id: &str, ask: u64, status: u16, body: &[u8]) {
        let now = self.now;
        let deaf = until(&self.cut, id, now) || until(&self.deaf, id, now);
        let Some(w) = self.workers.get_mut(id) else {
            return;
        };
        let deaf = deaf || now < w.hangs_until;
        let Some((_, sent)) = w.flying.filter(|f| f.0 == ask && !deaf) else {
            return;
        };
        w.flying = None;
        self.worker_due(id, now);
        if status != 200 {
            return self.worker_refused(id, body);
        }
        let Ok(orders) = decode::<Orders>(body) else {
            return;
        };
        let w = self.workers.get_mut(id).expect("seen");
        if orders.token < w.token {
            return;
        }
        w.saw(orders.token);
        w.renewed = sent;
        self.execute(id, orders.commands);
    }

    /// The worker turns to the node that it is told, or else to the next.
    fn worker_refused(&mut self, id: &str, body: &[u8]) {
        let (now, nodes) = (self.now, self.nodes.len());
        let named = decode::<ReportTo>(body).ok().and_then(|r| r.node);
        let number = named.and_then(|n| n.strip_prefix("node-")?.parse().ok());
        let w = self.workers.get_mut(id).expect("worker");
        let other = number.filter(|n| *n != w.node);
        w.node = other.unwrap_or((w.node + 1) % nodes);
        w.next_report = now + RETRY_MS;
    }
}
