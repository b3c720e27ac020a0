//! The leader's state of a gang and the history of its attempts.
use crate::api::Millis;
use crate::pause::Pause;

/// The state of a gang.
///
/// `Waiting` -> `Storing` -> `Starting` -> `Running`. Each of these states can change to `Ending`,
/// which changes back to `Waiting`. The state of a finished or cancelled gang is removed with its
/// job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GangState {
    /// No task of the gang may be running on a machine, so the gang can be placed.
    Waiting,
    /// The placements of an attempt are being stored, and no start command of it has been sent.
    Storing {
        /// The attempt number that all tasks share.
        attempt: u64,
    },
    /// All placements of the attempt are stored. Its tasks are being started, fetch their image and
    /// wait for each other.
    Starting {
        /// The attempt number that all tasks share.
        attempt: u64,
    },
    /// All tasks of the attempt have been reported as running.
    Running {
        /// The attempt number that all tasks share.
        attempt: u64,
        /// When the leader found that all of them were running.
        running_since: Millis,
    },
    /// The attempt has ended or is being stopped, but some of its tasks are not proven terminated
    /// yet.
    Ending,
}

/// The leader's state of a gang, in addition to that of its job.
#[derive(Clone, Debug)]
pub struct Gang {
    /// The current state.
    pub state: GangState,
    /// Whether the pruner dropped the gang, which then runs only in leftover capacity.
    pub is_dropped: bool,
    /// When all tasks of the last attempt were proven terminated.
    pub(crate) last_attempt_ended_at: Option<Millis>,
    /// The number of attempts that this leader began.
    pub(crate) attempts_begun: u32,
    /// Whether the leader's process was paused while the gang was running, which makes the gang's
    /// run time unknown.
    pub(crate) is_run_untimed: bool,
    /// Since when capacity has been reserved for the gang.
    pub(crate) reserved_since: Option<Millis>,
    /// The earliest time at which capacity may be reserved for the gang again.
    pub(crate) reservation_allowed_at: Millis,
}

impl Default for Gang {
    fn default() -> Self {
        Gang {
            state: GangState::Waiting,
            is_dropped: false,
            last_attempt_ended_at: None,
            attempts_begun: 0,
            is_run_untimed: false,
            reserved_since: None,
            reservation_allowed_at: 0,
        }
    }
}

impl Gang {
    /// Shifts the timestamps after a pause of the leader's process, so that the pause does not
    /// count towards the gang's waiting times. The run time of a running gang counts as unknown.
    pub fn resume(&mut self, pause: Pause) {
        if let GangState::Running { running_since, .. } = &mut self.state {
            pause.shift(running_since);
            self.is_run_untimed = true;
        }
        pause.shift_if_set(&mut self.last_attempt_ended_at);
        pause.shift_if_set(&mut self.reserved_since);
        pause.shift(&mut self.reservation_allowed_at);
    }

    /// Sets the state and logs a change. Every change of a gang's state is made here.
    pub(crate) fn set_state(&mut self, job: &str, to: GangState) {
        if self.state != to {
            log::debug!("gang {job} {:?} -> {to:?}", self.state);
            self.state = to;
        }
    }
}
