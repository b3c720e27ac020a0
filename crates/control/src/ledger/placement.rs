//! Placements: tasks on machines and the phases they go through.
use crate::api::Ms;
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
    New,
    /// Stored, but other tasks of its gang are not: no `run` may go out.
    Stored,
    /// Stored; no `run` has gone out.
    Ready,
    /// A `run` has gone out, by us or by an earlier leader; the worker has not shown it.
    Sent,
    /// Fetches its image.
    Fetching,
    /// Has its image and waits for the other tasks of its gang.
    Gathering,
    /// Runs, as far as its worker has told.
    Running,
    /// Told to stop, and saves its state.
    Saving,
    /// Not on the machine any more. `settled`: what follows from it is stored.
    Exited {
        /// Why it ended.
        cause: ExitCause,
        /// What follows from it is stored.
        settled: bool,
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
    pub memory: f64,
    /// The team whose limit it counts towards.
    pub team: String,
    /// Stored by an earlier leader.
    pub inherited: bool,
    /// Wanted off the machine, with so many seconds to save.
    pub stop: Option<f64>,
    /// The last stop command's time, to repeat it not too often.
    pub stop_sent: Ms,
    /// The machine's highest sequence number when a `run` last went out in a report's answer:
    /// only a report with a higher one can prove that it did not arrive.
    pub sent_seq: u64,
    /// When it was first seen running.
    pub running_at: Option<Ms>,
    /// A pause of this process fell into it: how long it ran is not known.
    pub run_untimed: bool,
    /// A command to forget the exited task went out.
    pub clear_sent: bool,
    /// A `run` went out by a direct command, of which copies may arrive late.
    pub direct: bool,
    /// When it was found to be gone.
    pub exited_at: Option<Ms>,
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
            memory: 0.0,
            team: String::new(),
            inherited: false,
            stop: None,
            stop_sent: 0,
            sent_seq: 0,
            running_at: None,
            run_untimed: false,
            clear_sent: false,
            direct: false,
            exited_at: None,
        }
    }

    /// The task's name, from its job and number.
    pub fn task(&self) -> String {
        task_name(&self.job, self.index)
    }

    /// What it takes of its machine.
    pub fn takes(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory,
        }
    }

    /// No `run` has gone out for it: it may simply be taken back.
    pub fn unsent(&self) -> bool {
        matches!(self.phase, Phase::New | Phase::Stored | Phase::Ready)
    }

    /// Moves it to another phase and traces the change.
    pub fn set_phase(&mut self, to: Phase) {
        if self.phase != to {
            log::trace!(
                "{}#{} {:?} -> {:?}",
                self.task(),
                self.attempt,
                self.phase,
                to
            );
            self.phase = to;
        }
    }

    /// Counts towards limits, room, zones: all that is not proven gone.
    pub fn present(&self) -> bool {
        !matches!(self.phase, Phase::Exited { .. })
    }
}
