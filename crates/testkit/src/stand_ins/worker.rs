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
    pub exit_cause: Option<ExitCause>,
    /// Whether its progress was saved when it was stopped; none if it never saves.
    pub progress_saved: Option<bool>,
    /// The run of its gang that it is part of, once that has started.
    pub gang_run_id: Option<GangRunId>,
    /// When its state ends by itself.
    pub state_ends_at: Ms,
}

impl Task {
    /// A task in that state, which ends by itself at that moment.
    pub fn new(state: TaskState, state_ends_at: Ms) -> Task {
        Task {
            state,
            exit_cause: None,
            progress_saved: None,
            gang_run_id: None,
            state_ends_at,
        }
    }

    /// A start that the worker refuses.
    pub fn rejected(why: ExitCause) -> Task {
        let mut task = Task::new(TaskState::Exited, Ms::MAX);
        task.exit_cause = Some(why);
        task
    }

    /// It ends now.
    pub fn exit(&mut self, why: ExitCause) {
        self.state = TaskState::Exited;
        self.exit_cause = Some(why);
        self.state_ends_at = Ms::MAX;
    }

    /// Whether it has its image and has not exited.
    pub fn is_on_machine(&self) -> bool {
        matches!(
            self.state,
            TaskState::WaitingForGang | TaskState::Running | TaskState::Checkpointing
        )
    }

    /// Whether it takes room on its machine.
    pub fn is_present(&self) -> bool {
        self.state != TaskState::Exited
    }
}

/// The worker of one machine.
pub struct Worker {
    pub id: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub incarnation: u64,
    pub sequence: u64,
    pub fencing_token: u64,
    pub heartbeat_node: usize,
    /// When the last answered report was sent, or the session began.
    pub lease_renewed_at: Ms,
    pub next_heartbeat_at: Ms,
    pub has_unreported_changes: bool,
    /// The report in flight: request number and when it was sent.
    pub heartbeat_in_flight: Option<(u64, Ms)>,
    pub tasks: BTreeMap<TaskKey, Task>,
    /// When each image was there, or will be.
    pub image_ready_at: BTreeMap<String, Ms>,
    /// Seconds' notice it reports.
    pub eviction_notice_s: Option<f64>,
    /// The cloud takes the machine back then, and its worker reports how long that is off.
    pub eviction_at: Option<Ms>,
    /// Its steps count from here; the next at which it looks at itself.
    pub up_since: Ms,
    pub next_wakeup_at: Ms,
    /// It stands still until then, with all its tasks.
    pub hung_until: Ms,
}

/// A machine's address.
pub fn machine_address(id: &str) -> String {
    format!("{id}:1")
}

impl Worker {
    /// The worker of a new machine; it is up at that moment and reports to that node first.
    pub fn new(id: &str, hire: ProvisionRequest, heartbeat_node: usize, up: Ms) -> Worker {
        Worker {
            id: id.to_owned(),
            machine_type: hire.machine_type,
            zone: hire.zone,
            spot: hire.is_spot,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            heartbeat_node,
            lease_renewed_at: up,
            next_heartbeat_at: up,
            has_unreported_changes: false,
            heartbeat_in_flight: None,
            tasks: BTreeMap::new(),
            image_ready_at: BTreeMap::new(),
            eviction_notice_s: None,
            eviction_at: None,
            up_since: up,
            next_wakeup_at: Ms::MAX,
            hung_until: 0,
        }
    }

    /// The next report.
    pub fn build_heartbeat(&mut self, now: Ms) -> Heartbeat {
        self.sequence += 1;
        let left = self
            .eviction_at
            .map(|at| at.saturating_sub(now) as f64 / 1e3);
        Heartbeat {
            machine_id: self.id.clone(),
            addr: machine_address(&self.id),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            is_spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            eviction_in_s: left.or(self.eviction_notice_s),
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt), t)| TaskStatus {
                    task_id: task.clone(),
                    attempt: *attempt,
                    state: t.state,
                    exit_cause: t.exit_cause,
                    progress_saved: t.progress_saved,
                })
                .collect(),
        }
    }

    /// A message with that token was accepted.
    pub fn observe_fencing_token(&mut self, token: u64) {
        if token > self.fencing_token {
            self.fencing_token = token;
            self.has_unreported_changes = true;
        }
    }

    /// The lease ran out: everything is killed and forgotten.
    pub fn begin_new_incarnation(&mut self, now: Ms) {
        self.incarnation += 1;
        self.tasks.clear();
        self.lease_renewed_at = now;
        self.heartbeat_in_flight = None;
        self.has_unreported_changes = true;
    }

    /// Whether a task is on the machine: it has its image and has not exited.
    pub fn has_task_on_machine(&self, task: &str) -> bool {
        self.attempts_of(task).any(|(_, t)| t.is_on_machine())
    }

    /// The attempts of a task that the worker knows, also those that have exited.
    pub fn attempts_of(&self, task: &str) -> impl Iterator<Item = (u64, &Task)> {
        let range = (task.to_owned(), 0)..=(task.to_owned(), u64::MAX);
        self.tasks.range(range).map(|((_, n), t)| (*n, t))
    }

    /// The names of the tasks that are on the machine.
    pub fn tasks_on_machine(&self) -> impl Iterator<Item = &str> {
        let on = self.tasks.iter().filter(|(_, t)| t.is_on_machine());
        on.map(|((task, _), _)| task.as_str())
    }
}
