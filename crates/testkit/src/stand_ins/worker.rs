//! A model of a worker: its machine, its incarnation, its tasks and its next deadlines.
use super::parameters::{Ms, HEARTBEAT_INTERVAL_MS, WORKER_LEASE_MS};
use super::task::{Task, TaskKey};
use std::collections::BTreeMap;
use stonegw_wire::msg::{CommandBatch, Heartbeat, ProvisionRequest, TaskStatus};

/// How long a worker waits for the reply to a heartbeat.
pub(crate) const HEARTBEAT_TIMEOUT_MS: Ms = 4_000;
/// How long a worker waits after a heartbeat that timed out or was answered with an error or a
/// redirect, before it sends the next one to another node.
pub(crate) const HEARTBEAT_RETRY_MS: Ms = 1_000;
/// How soon after the last heartbeat a worker may send one that reports changes.
const MIN_HEARTBEAT_GAP_MS: Ms = 500;

/// A heartbeat whose reply has not arrived.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatInFlight {
    /// The id of the request.
    pub request_id: u64,
    /// When it was sent.
    pub sent_at: Ms,
}

/// The worker of one machine.
pub struct Worker {
    /// The machine's id.
    pub id: String,
    /// The name of the machine's type.
    pub machine_type: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether the machine is a spot instance.
    pub is_spot: bool,
    /// The number of the worker's incarnation. It grows whenever the worker kills and forgets all
    /// its tasks.
    pub incarnation: u64,
    /// The sequence number of its last heartbeat.
    pub sequence: u64,
    /// The highest fencing token that it has seen.
    pub fencing_token: u64,
    /// The node to which it sends heartbeats.
    pub heartbeat_node: usize,
    /// When it sent the last acknowledged heartbeat, or began the current incarnation if that was
    /// later.
    pub lease_renewed_at: Ms,
    /// When the next regular heartbeat is due.
    pub next_heartbeat_at: Ms,
    /// Whether something has changed since the last heartbeat.
    pub has_unreported_changes: bool,
    /// The heartbeat whose reply it waits for.
    pub heartbeat_in_flight: Option<HeartbeatInFlight>,
    /// The task attempts that the worker knows, including exited ones.
    pub tasks: BTreeMap<TaskKey, Task>,
    /// When each image is available on the machine.
    pub image_ready_at: BTreeMap<String, Ms>,
    /// A fixed eviction notice in seconds that heartbeats report, if set.
    pub eviction_notice_s: Option<f64>,
    /// When the cloud evicts the machine, if it does; heartbeats report the time left.
    pub eviction_at: Option<Ms>,
    /// When the machine became ready. Wake-ups happen at fixed steps after this time.
    pub ready_at: Ms,
    /// The time of the next wake-up.
    pub next_wakeup_at: Ms,
    /// The time until which the machine and its tasks hang.
    pub hung_until: Ms,
}

/// Returns the id of the machine with this number.
pub fn machine_id(number: u64) -> String {
    format!("host-{number:06}")
}

/// Returns a machine's address.
pub fn machine_address(id: &str) -> String {
    format!("{id}:1")
}

impl Worker {
    /// Creates the worker of a new machine, which is ready at `ready_at`. It sends its first
    /// heartbeat to `heartbeat_node`.
    pub fn new(id: &str, request: ProvisionRequest, heartbeat_node: usize, ready_at: Ms) -> Worker {
        Worker {
            id: id.to_owned(),
            machine_type: request.machine_type,
            zone: request.zone,
            is_spot: request.is_spot,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            heartbeat_node,
            lease_renewed_at: ready_at,
            next_heartbeat_at: ready_at,
            has_unreported_changes: false,
            heartbeat_in_flight: None,
            tasks: BTreeMap::new(),
            image_ready_at: BTreeMap::new(),
            eviction_notice_s: None,
            eviction_at: None,
            ready_at,
            next_wakeup_at: Ms::MAX,
            hung_until: 0,
        }
    }

    /// Builds the next heartbeat and advances the sequence number.
    pub fn build_heartbeat(&mut self, now: Ms) -> Heartbeat {
        self.sequence += 1;
        let time_left_s = self
            .eviction_at
            .map(|at| at.saturating_sub(now) as f64 / 1e3);
        Heartbeat {
            machine_id: self.id.clone(),
            addr: machine_address(&self.id),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            is_spot: self.is_spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            eviction_in_s: time_left_s.or(self.eviction_notice_s),
            tasks: self.task_statuses(),
        }
    }

    fn task_statuses(&self) -> Vec<TaskStatus> {
        let statuses = self.tasks.iter().map(|(key, task)| TaskStatus {
            task_id: key.task_id.clone(),
            attempt: key.attempt,
            state: task.state,
            exit_cause: task.exit_cause,
            progress_saved: task.progress_saved,
        });
        statuses.collect()
    }

    /// Updates the highest fencing token seen with that of a received message.
    pub fn observe_fencing_token(&mut self, fencing_token: u64) {
        if fencing_token > self.fencing_token {
            self.fencing_token = fencing_token;
            self.has_unreported_changes = true;
        }
    }

    /// Returns whether the worker executes a direct batch: its fencing token must not be outdated,
    /// and it must name the current incarnation.
    pub(crate) fn accepts_direct_commands(&self, batch: &CommandBatch) -> bool {
        batch.fencing_token >= self.fencing_token && batch.incarnation == Some(self.incarnation)
    }

    /// Kills and forgets all tasks and begins a new incarnation.
    pub fn begin_new_incarnation(&mut self, now: Ms) {
        self.incarnation += 1;
        self.tasks.clear();
        self.lease_renewed_at = now;
        self.heartbeat_in_flight = None;
        self.has_unreported_changes = true;
    }

    /// Forgets everything and begins again with the first incarnation, like a new worker. The images
    /// are still on the machine.
    pub(crate) fn reset(&mut self, now: Ms) {
        self.begin_new_incarnation(now);
        self.incarnation = 1;
        self.sequence = 0;
        self.fencing_token = 0;
        self.next_heartbeat_at = now;
    }

    /// Makes the machine and its tasks hang for `duration`.
    pub(crate) fn hang(&mut self, now: Ms, duration: Ms) {
        self.hung_until = now + duration;
        for task in self.tasks.values_mut() {
            task.state_ends_at = task.state_ends_at.saturating_add(duration);
        }
    }

    /// Returns whether an attempt of the task is on the machine: it has its image and has not
    /// exited.
    pub fn has_task_on_machine(&self, task_id: &str) -> bool {
        self.attempts_of(task_id).any(|task| task.is_on_machine())
    }

    /// Returns whether an attempt of the task has not exited.
    pub fn has_present_task(&self, task_id: &str) -> bool {
        self.attempts_of(task_id).any(|task| task.is_present())
    }

    /// Returns the attempts of a task that the worker knows, including exited ones.
    fn attempts_of(&self, task_id: &str) -> impl Iterator<Item = &Task> {
        let range = TaskKey::new(task_id, 0)..=TaskKey::new(task_id, u64::MAX);
        self.tasks.range(range).map(|(_, task)| task)
    }

    /// Returns the attempts that have not exited.
    pub fn present_tasks(&self) -> impl Iterator<Item = (&TaskKey, &Task)> {
        self.tasks.iter().filter(|(_, task)| task.is_present())
    }

    /// Returns the ids of the tasks that are on the machine.
    pub fn tasks_on_machine(&self) -> impl Iterator<Item = &str> {
        let on_machine = self.tasks.iter().filter(|(_, task)| task.is_on_machine());
        on_machine.map(|(key, _)| key.task_id.as_str())
    }

    /// Returns the next time at which the worker has something to do without a message.
    pub(crate) fn next_due_at(&self) -> Ms {
        let timed_tasks = self.tasks.values().filter(|task| task.has_timed_state());
        let next_task = timed_tasks.map(|task| task.state_ends_at).min();
        let next_contact = match self.heartbeat_in_flight {
            Some(heartbeat) => heartbeat.sent_at + HEARTBEAT_TIMEOUT_MS,
            None if self.has_unreported_changes => {
                self.next_heartbeat_at.min(self.change_heartbeat_due_at())
            }
            None => self.next_heartbeat_at,
        };
        next_contact
            .min(self.lease_expires_at())
            .min(next_task.unwrap_or(Ms::MAX))
    }

    /// Returns when the worker's lease expires.
    pub(crate) fn lease_expires_at(&self) -> Ms {
        self.lease_renewed_at + WORKER_LEASE_MS
    }

    /// Returns the earliest time at which the worker may send a heartbeat for a change.
    fn change_heartbeat_due_at(&self) -> Ms {
        (self.next_heartbeat_at + MIN_HEARTBEAT_GAP_MS).saturating_sub(HEARTBEAT_INTERVAL_MS)
    }

    /// Returns whether the worker sends a heartbeat now.
    pub(crate) fn is_heartbeat_due(&self, now: Ms) -> bool {
        let is_due = now >= self.next_heartbeat_at
            || (self.has_unreported_changes && now >= self.change_heartbeat_due_at());
        self.heartbeat_in_flight.is_none() && is_due
    }
}
