//! What the leader holds of a gang: its state and the history of its attempts.
use crate::api::Millis;
use crate::pause::Pause;

/// The life of a gang.
///
/// `Waiting` -> `Storing` -> `Gathering` -> `Running`; from each of these `Ending`, and from there
/// `Waiting` again. A gang that is done or cancelled leaves with its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GangState {
    /// No task of it may be on a machine: it can be placed.
    Waiting,
    /// An attempt's placements are being stored; nothing of it has been sent.
    Storing { attempt: u64 },
    /// All placements are stored. Its tasks are started, fetch their image and wait for each other.
    Starting { attempt: u64 },
    /// All its tasks were seen running.
    Running { attempt: u64, running_since: Millis },
    /// The attempt is over or being stopped; some of its tasks are not proven gone.
    Ending,
}

/// What the leader holds of a gang besides its job.
#[derive(Clone, Debug)]
pub struct Gang {
    pub state: GangState,
    /// The pruner dropped it: it runs in leftover room.
    pub is_dropped: bool,
    /// When its last attempt had ended.
    pub(crate) last_attempt_ended_at: Option<Millis>,
    /// Attempts that this leader began.
    pub(crate) attempts_begun: u32,
    /// A pause of this process fell into its run: how long it takes is not known.
    pub(crate) is_run_untimed: bool,
    /// Since when room is reserved for it.
    pub(crate) reserved_since: Option<Millis>,
    /// No room is reserved for it before.
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
    /// The leader's process ran again after a pause: its waits go on from here.
    pub fn resume(&mut self, pause: Pause) {
        if let GangState::Running {
            running_since: since,
            ..
        } = &mut self.state
        {
            pause.shift(since);
            self.is_run_untimed = true;
        }
        pause.shift_if_set(&mut self.last_attempt_ended_at);
        pause.shift_if_set(&mut self.reserved_since);
        pause.shift(&mut self.reservation_allowed_at);
    }

    /// The one place where a gang's state changes.
    pub(crate) fn set_state(&mut self, job: &str, to: GangState) {
        if self.state != to {
            log::debug!("gang {job} {:?} -> {to:?}", self.state);
            self.state = to;
        }
    }
}
