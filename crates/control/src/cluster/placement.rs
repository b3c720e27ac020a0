//! Placements, that is, task attempts assigned to machines, and the phases they pass through.
use super::TaskKey;
use crate::api::Millis;
use crate::records::task_name;
use crate::resources::Resources;
use stonegw_wire::msg::{ExitCause, JobSpec};

/// The phase of a placement, from the placement decision until the task is proven terminated.
///
/// `Unstored` -> `Startable` -> `Sent` -> `Fetching` -> `Running` (-> `Checkpointing`) -> `Exited`.
/// A gang's task has two further phases: it is `Stored` until all placements of its attempt are
/// stored, and `WaitingForGang` until all tasks of the attempt have their image.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// The placement is not stored yet, so no start command may be sent.
    Unstored,
    /// The placement is stored, but other placements of its gang are not, so no start command may
    /// be sent.
    Stored,
    /// The placement is stored, and no start command has been sent.
    Startable,
    /// A start command was sent by this leader, or may have been sent by an earlier one; no
    /// heartbeat has reported the task since.
    Sent,
    /// The machine fetches the task's image.
    Fetching,
    /// The task has its image and waits for the other tasks of its gang.
    WaitingForGang,
    /// The task is running according to the worker's newest heartbeat.
    Running,
    /// The task was ordered to stop and is writing a checkpoint.
    Checkpointing,
    /// The task has terminated.
    Exited {
        /// The cause of the exit.
        cause: ExitCause,
        /// Whether the effect of the exit on the job is stored; also `true` if there is nothing to
        /// store.
        outcome_stored: bool,
    },
}

impl Phase {
    /// Returns `true` unless the task has exited. A task that has not exited may be running or may
    /// yet start, so its resources count as used.
    pub fn is_present(self) -> bool {
        !matches!(self, Phase::Exited { .. })
    }
}

/// One attempt of one task on one machine: its resources, its phase, and the commands that were
/// sent for it.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The id of the task's job.
    pub job: String,
    /// The task's index in its job.
    pub index: u32,
    /// The attempt number; the tasks of a gang share one.
    pub attempt: u64,
    /// The current phase.
    pub phase: Phase,
    /// CPUs that the task uses.
    pub cpus: f64,
    /// GPUs that the task uses.
    pub gpus: f64,
    /// Memory that the task uses, in GB.
    pub memory_gb: f64,
    /// The team whose quota and limit the placement counts towards.
    pub team: String,
    /// Whether the placement was loaded from a record of an earlier leader or adopted from a
    /// heartbeat, and not made by this leader.
    pub inherited: bool,
    /// The grace period for a last checkpoint in seconds, if the task is to be stopped.
    pub stop_grace_s: Option<f64>,
    /// When this leader learned that the job is cancelled.
    pub cancelled_at: Option<Millis>,
    /// When the last stop command was sent, so that it is not repeated too often.
    pub last_stop_sent_at: Millis,
    /// The machine's highest heartbeat sequence number when a start command was last sent in the
    /// reply to a heartbeat or repeated before a stop command, or 0 if none was. Only a heartbeat
    /// with a higher number can prove that the command did not arrive.
    pub sent_sequence: u64,
    /// When this leader first saw the task running. For a task adopted from a heartbeat, the time
    /// of the adoption.
    pub running_at: Option<Millis>,
    /// Whether the leader's process was paused while the placement existed, which makes the task's
    /// run time unknown.
    pub run_time_unknown: bool,
    /// Whether a command to forget the exited task was sent.
    pub forget_sent: bool,
    /// Whether a start command was sent directly; duplicates of it may arrive late.
    pub sent_directly: bool,
    /// When the leader first handled the placement as exited.
    pub exited_at: Option<Millis>,
}

impl Placement {
    /// Creates a placement without a team and without resources, which the caller fills in as far
    /// as they are known.
    pub fn new(job: &str, index: u32, attempt: u64, phase: Phase) -> Placement {
        Placement {
            job: job.into(),
            index,
            attempt,
            phase,
            cpus: 0.0,
            gpus: 0.0,
            memory_gb: 0.0,
            team: String::new(),
            inherited: false,
            stop_grace_s: None,
            cancelled_at: None,
            last_stop_sent_at: 0,
            sent_sequence: 0,
            running_at: None,
            run_time_unknown: false,
            forget_sent: false,
            sent_directly: false,
            exited_at: None,
        }
    }

    /// Fills in the resources that a task of the job uses, and the team it counts towards.
    pub fn with_requirements(self, spec: &JobSpec) -> Placement {
        Placement {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
            team: spec.team.clone(),
            ..self
        }
    }

    /// Returns the task's name, which consists of the job's id and the task's index.
    pub fn task_name(&self) -> String {
        task_name(&self.job, self.index)
    }

    /// Returns the key of the task.
    pub fn task_key(&self) -> TaskKey {
        TaskKey {
            job: self.job.clone(),
            index: self.index,
        }
    }

    /// Returns the resources that the task uses on its machine.
    pub fn resources(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }

    /// Returns `true` if no start command was sent, so that the placement can be withdrawn without
    /// proof of termination.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self.phase,
            Phase::Unstored | Phase::Stored | Phase::Startable
        )
    }

    /// Returns `true` if this leader has sent a start command, no heartbeat has reported the task
    /// since, and the task is to be stopped.
    pub(super) fn is_unwanted_start(&self) -> bool {
        self.phase == Phase::Sent && self.stop_grace_s.is_some() && !self.inherited
    }

    /// Sets the phase and logs a change at trace level.
    pub fn set_phase(&mut self, to: Phase) {
        if self.phase != to {
            log::trace!(
                "{}#{} {:?} -> {:?}",
                self.task_name(),
                self.attempt,
                self.phase,
                to
            );
            self.phase = to;
        }
    }

    /// Records that the effect of the exit on the job is stored, or that there is nothing to store.
    pub fn mark_outcome_stored(&mut self) {
        if let Phase::Exited { outcome_stored, .. } = &mut self.phase {
            *outcome_stored = true;
        }
    }

    /// Returns `true` if the placement counts towards quotas, limits, used capacity and the spread
    /// over zones, because its task may be running.
    pub fn is_present(&self) -> bool {
        self.phase.is_present()
    }
}
