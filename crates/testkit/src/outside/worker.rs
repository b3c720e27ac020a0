//! A worker: its machine, its session, its tasks.
use super::Ms;
use std::collections::BTreeMap;
use stonegw_wire::msg::*;

/// A task's name and the attempt.
pub type TaskKey = (String, u64);
/// The number of one run of a gang.
pub type GangRunId = u64;

/// A task on a worker, also one that has exited.
#[derive(Clone, Debug)]
pub struct Task {
    pub state: TaskState,
    pub why: Option<ExitCause>,
    /// Whether its progress was saved when it was stopped; none if it never saves.
    pub saved: Option<bool>,
    /// The run of its gang that it is part of, once that has started.
    pub gang_run: Option<GangRunId>,
    /// When its state ends by itself.
    pub until: Ms,
}

impl Task {
    /// A task in that state, which ends by itself at that moment.
    pub fn new(state: TaskState, until: Ms) -> Task {
        Task {
            state,
            why: None,
            saved: None,
            gang_run: None,
            until,
        }
    }

    /// A start that the worker refuses.
    pub fn refused(why: ExitCause) -> Task {
        let mut task = Task::new(TaskState::Exited, Ms::MAX);
        task.why = Some(why);
        task
    }

    /// It ends now.
    pub fn exit(&mut self, why: ExitCause) {
        self.state = TaskState::Exited;
        self.why = Some(why);
        self.until = Ms::MAX;
    }

    /// Whether it has its image and has not exited.
    pub fn on_machine(&self) -> bool {
        matches!(
            self.state,
            TaskState::Gathering | TaskState::Running | TaskState::Saving
        )
    }

    /// Whether it takes room on its machine.
    pub fn present(&self) -> bool {
        self.state != TaskState::Exited
    }
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
    pub tasks: BTreeMap<TaskKey, Task>,
    /// When each image was there, or will be.
    pub images: BTreeMap<String, Ms>,
    /// Seconds' notice it reports.
    pub notice_s: Option<f64>,
    /// The cloud takes the machine back then, and its worker reports how long that is off.
    pub taken_at: Option<Ms>,
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
            images: BTreeMap::new(),
            notice_s: None,
            taken_at: None,
            grid: up,
            turn_at: Ms::MAX,
            hangs_until: 0,
        }
    }

    /// The next report.
    pub fn report(&mut self, now: Ms) -> Report {
        self.seq += 1;
        let left = self.taken_at.map(|at| at.saturating_sub(now) as f64 / 1e3);
        Report {
            machine: self.id.clone(),
            addr: addr_of(&self.id),
            machine_type: self.kind.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            session: self.session,
            seq: self.seq,
            token: self.token,
            notice_s: left.or(self.notice_s),
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt), t)| TaskReport {
                    task: task.clone(),
                    attempt: *attempt,
                    state: t.state,
                    why: t.why,
                    saved: t.saved,
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
        self.attempts_of(task).any(|(_, t)| t.on_machine())
    }

    /// The attempts of a task that the worker knows, also those that have exited.
    pub fn attempts_of(&self, task: &str) -> impl Iterator<Item = (u64, &Task)> {
        let range = (task.to_owned(), 0)..=(task.to_owned(), u64::MAX);
        self.tasks.range(range).map(|((_, n), t)| (*n, t))
    }

    /// The names of the tasks that are on the machine.
    pub fn tasks_on_machine(&self) -> impl Iterator<Item = &str> {
        let on = self.tasks.iter().filter(|(_, t)| t.on_machine());
        on.map(|((task, _), _)| task.as_str())
    }
}
