//! Placements: tasks on machines and the phases they go through.
use super::TaskKey;
use crate::api::Millis;
use crate::records::task_name;
use crate::resources::Resources;
use stonegw_wire::msg::{ExitCause, JobSpec};

/// How far a placement is, from the decision until it is proven to run no more.
///
/// `Unstored` -> `Startable` -> `Sent` -> `Fetching` -> `Running` (-> `Checkpointing`) -> `Exited`. A
/// gang's task is `Stored` until all of its attempt are, and `WaitingForGang` until all have their
/// image.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// Not stored yet: no start command may go out.
    Unstored,
    /// Stored, but other tasks of its gang are not: no start command may go out.
    Stored,
    /// Stored; no start command has gone out.
    Startable,
    /// A start command has gone out, by us or by an earlier leader; no heartbeat has shown the task.
    Sent,
    /// Fetches its image.
    Fetching,
    /// Has its image and waits for the other tasks of its gang.
    WaitingForGang,
    /// Runs, as of the worker's newest heartbeat.
    Running,
    /// Told to stop, and writes a checkpoint.
    Checkpointing,
    /// Runs no more.
    Exited {
        /// Why it ended.
        cause: ExitCause,
        /// What follows from it for its job is stored, or nothing does.
        outcome_stored: bool,
    },
}

impl Phase {
    /// Whether a task in this phase may still run, and so takes its resources.
    pub fn is_present(self) -> bool {
        !matches!(self, Phase::Exited { .. })
    }
}

/// One attempt of one task on one machine: what it takes, how far it is, which commands went out.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The id of its job.
    pub job: String,
    /// The task's number in its job.
    pub index: u32,
    /// The number of the attempt; a gang's tasks share theirs.
    pub attempt: u64,
    /// How far it is.
    pub phase: Phase,
    /// CPUs it takes.
    pub cpus: f64,
    /// Accelerators it takes.
    pub gpus: f64,
    /// Memory it takes, in GB.
    pub memory_gb: f64,
    /// The team whose limit it counts towards.
    pub team: String,
    /// Stored by an earlier leader.
    pub inherited: bool,
    /// To be stopped, with so many seconds for a checkpoint.
    pub stop_grace_s: Option<f64>,
    /// When the last stop command was sent, so that it is not repeated too often.
    pub last_stop_sent_at: Millis,
    /// The machine's highest sequence number when a start command last went out in a heartbeat's
    /// reply: only a heartbeat with a higher one can prove that it did not arrive.
    pub sent_sequence: u64,
    /// When it was first seen running.
    pub running_at: Option<Millis>,
    /// A pause of the leader's process fell into its run: how long it takes is not known.
    pub run_time_unknown: bool,
    /// A command to forget the exited task went out.
    pub forget_sent: bool,
    /// A start command went out directly; copies of it may arrive late.
    pub sent_directly: bool,
    /// When it was found to have exited.
    pub exited_at: Option<Millis>,
}

impl Placement {
    /// A placement that takes no resources: the caller fills in what it knows.
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
            last_stop_sent_at: 0,
            sent_sequence: 0,
            running_at: None,
            run_time_unknown: false,
            forget_sent: false,
            sent_directly: false,
            exited_at: None,
        }
    }

    /// Fills in what a task of the job takes and whose limit it counts towards.
    pub fn with_requirements(self, spec: &JobSpec) -> Placement {
        Placement {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
            team: spec.team.clone(),
            ..self
        }
    }

    /// The task's name, from its job and number.
    pub fn task_name(&self) -> String {
        task_name(&self.job, self.index)
    }

    /// The task, by its job and number.
    pub fn task_key(&self) -> TaskKey {
        TaskKey {
            job: self.job.clone(),
            index: self.index,
        }
    }

    /// What it takes of its machine.
    pub fn resources(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }

    /// No start command has gone out for it: it may be withdrawn without further proof.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self.phase,
            Phase::Unstored | Phase::Stored | Phase::Startable
        )
    }

    /// Moves it to another phase and traces the change.
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

    /// What follows from its exit is stored, or nothing does.
    pub fn mark_outcome_stored(&mut self) {
        if let Phase::Exited { outcome_stored, .. } = &mut self.phase {
            *outcome_stored = true;
        }
    }

    /// Whether it counts towards limits, capacity and zones.
    pub fn is_present(&self) -> bool {
        self.phase.is_present()
    }
}
