//! Placements: tasks on machines and the phases they go through.
use crate::api::Millis;
use crate::records::task_name;
use crate::resources::Resources;
use stonegw_wire::msg::ExitCause;

/// A task on a machine, from the decision until it is proven gone.
///
/// `New` -> `Ready` (stored) -> `Sent` -> `Fetching` -> `Running` (-> `Saving`) -> `Exited`. A gang's
/// task is `Stored` until all of its attempt are, and `Gathering` until all have their image.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// Not stored yet: no `run` may go out.
    Unstored,
    /// Stored, but other tasks of its gang are not: no `run` may go out.
    Stored,
    /// Stored; no `run` has gone out.
    Startable,
    /// A `run` has gone out, by us or by an earlier leader; the worker has not shown it.
    Sent,
    /// Fetches its image.
    Fetching,
    /// Has its image and waits for the other tasks of its gang.
    WaitingForGang,
    /// Runs, as far as its worker has told.
    Running,
    /// Told to stop, and saves its state.
    Checkpointing,
    /// Not on the machine any more. `settled`: what follows from it is stored.
    Exited {
        /// Why it ended.
        cause: ExitCause,
        /// What follows from it is stored.
        outcome_stored: bool,
    },
}

/// One attempt of one task on one machine: what it takes, how far it is, what it was told.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The job it is of.
    pub job: String,
    /// The task's number in its job.
    pub index: u32,
    /// The number of the attempt; a gang's tasks share theirs.
    pub attempt: u64,
    /// How far it is.
    pub phase: Phase,
    /// CPUs it takes.
    pub cpus: f64,
    /// Accelerator cards it takes.
    pub gpus: f64,
    /// Memory it takes, in GB.
    pub memory_gb: f64,
    /// The team whose limit it counts towards.
    pub team: String,
    /// Stored by an earlier leader.
    pub inherited: bool,
    /// Wanted off the machine, with so many seconds to save.
    pub stop_grace_s: Option<f64>,
    /// The last stop command's time, to repeat it not too often.
    pub last_stop_sent_at: Millis,
    /// The machine's highest sequence number when a `run` last went out in a report's answer:
    /// only a report with a higher one can prove that it did not arrive.
    pub sent_sequence: u64,
    /// When it was first seen running.
    pub running_at: Option<Millis>,
    /// A pause of this process fell into it: how long it ran is not known.
    pub run_time_unknown: bool,
    /// A command to forget the exited task went out.
    pub forget_sent: bool,
    /// A `run` went out by a direct command, of which copies may arrive late.
    pub sent_directly: bool,
    /// When it was found to be gone.
    pub exited_at: Option<Millis>,
}

impl Placement {
    /// A placement that takes nothing yet: the caller fills in what it knows.
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

    /// The task's name, from its job and number.
    pub fn task_name(&self) -> String {
        task_name(&self.job, self.index)
    }

    /// What it takes of its machine.
    pub fn resources(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }

    /// No `run` has gone out for it: it may simply be taken back.
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

    /// Counts towards limits, room, zones: all that is not proven gone.
    pub fn is_present(&self) -> bool {
        !matches!(self.phase, Phase::Exited { .. })
    }
}
