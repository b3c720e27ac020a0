//! A worker: its machine, its session, its tasks.
use super::Ms;
use std::collections::{BTreeMap, BTreeSet};
use stonegw_wire::msg::*;

/// A task on a worker, also one that has exited.
#[derive(Clone, Debug)]
pub struct Task {
    pub attempt: u64,
    pub state: TaskState,
    pub why: Option<ExitCause>,
    /// When its state ends by itself.
    pub until: Ms,
}

/// The worker of one machine.
pub struct Worker {
    pub id: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    pub node: usize,
    /// When the last answered report was sent, or the session began.
    pub renewed: Ms,
    pub next_report: Ms,
    pub changed: bool,
    /// The report in flight: request number and when it was sent.
    pub flying: Option<(u64, Ms)>,
    pub tasks: BTreeMap<String, Task>,
    pub images: BTreeSet<String>,
    /// Seconds' notice it reports.
    pub notice_s: Option<f64>,
    /// Its steps count from here; the next at which it looks at itself.
    pub grid: Ms,
    pub turn_at: Ms,
    /// It stands still until then, with all its tasks.
    pub hangs_until: Ms,
}

/// A machine's address.
pub fn addr_of(id: &str) -> String {
    format!("{id}:1")
}

impl Worker {
    /// The worker of a new machine; it is up at that moment and reports to that node first.
    pub fn new(id: &str, hire: Hire, node: usize, up: Ms) -> Worker {
        Worker {
            id: id.to_owned(),
            kind: hire.machine_type,
            zone: hire.zone,
            spot: hire.spot,
            session: 1,
            seq: 0,
            token: 0,
            node,
            renewed: up,
            next_report: up,
            changed: false,
            flying: None,
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            notice_s: None,
            grid: up,
            turn_at: Ms::MAX,
            hangs_until: 0,
        }
    }

    /// The next report.
    pub fn report(&mut self) -> Report {
        self.seq += 1;
        Report {
            machine: self.id.clone(),
            addr: addr_of(&self.id),
            machine_type: self.kind.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            session: self.session,
            seq: self.seq,
            token: self.token,
            notice_s: self.notice_s,
            tasks: self
                .tasks
                .iter()
                .map(|(task, t)| TaskReport {
                    task: task.clone(),
                    attempt: t.attempt,
                    state: t.state,
                    why: t.why,
                    saved: None,
                })
                .collect(),
        }
    }

    /// A message with that token was accepted.
    pub fn saw(&mut self, token: u64) {
        if token > self.token {
            self.token = token;
            self.changed = true;
        }
    }

    /// The lease ran out: everything is killed and forgotten.
    pub fn lose_session(&mut self, now: Ms) {
        self.session += 1;
        self.tasks.clear();
        self.renewed = now;
        self.flying = None;
        self.changed = true;
    }

    /// Whether a task is on the machine: it has its image and has not exited.
    pub fn on_machine(&self, task: &str) -> bool {
        let t = self.tasks.get(task);
        t.is_some_and(|t| matches!(t.state, TaskState::Running | TaskState::Saving))
    }
}
