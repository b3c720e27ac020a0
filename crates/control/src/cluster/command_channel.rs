//! Tracks whether commands and heartbeat replies reach a machine, and the direct command in flight
//! to it.
use crate::api::Millis;
use stonegw_constants::UNREACHABLE_MISSES;

/// Whether commands and heartbeat replies reach a machine whose heartbeats arrive. A command or
/// reply counts as delivered when its effect shows in what the worker reports afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// Commands and replies are delivered.
    Reachable,
    /// The most recent replies or commands had no effect, but fewer than [`UNREACHABLE_MISSES`] in
    /// a row.
    Suspected {
        /// The number of replies or commands in a row that had no effect.
        undelivered: u32,
    },
    /// At least [`UNREACHABLE_MISSES`] replies or commands in a row had no effect.
    Unreachable {
        /// When the machine was found to be unreachable.
        since: Millis,
    },
}

/// The state of the delivery of commands from the leader to one worker.
#[derive(Clone, Debug)]
pub struct CommandChannel {
    /// Whether commands and replies reach the worker.
    pub reachability: Reachability,
    /// The earliest time of the next probe, which is sent if the machine is not trusted.
    pub next_probe_at: Millis,
    /// The number of heartbeats answered since the machine was last silent.
    pub answered_heartbeats: u32,
    /// The fencing token of the direct commands that were sent last, while they have no result.
    pub call_in_flight: Option<u64>,
    /// The highest fencing token of the direct start commands that were sent so far; 0 if none was.
    start_token: u64,
    /// The fencing token of the last direct start commands to the present incarnation that failed
    /// without a proof that they were not sent, so that they may still arrive. `None` once the
    /// worker has seen a higher token, with which it rejects them.
    unanswered_start: Option<u64>,
}

impl Default for CommandChannel {
    fn default() -> Self {
        CommandChannel {
            reachability: Reachability::Reachable,
            next_probe_at: 0,
            answered_heartbeats: 0,
            call_in_flight: None,
            start_token: 0,
            unanswered_start: None,
        }
    }
}

impl CommandChannel {
    /// Returns `true` if a direct command may still arrive at the worker.
    pub fn may_deliver_late(&self) -> bool {
        self.late_token().is_some()
    }

    /// Returns the highest fencing token of the direct commands that may still arrive at the worker.
    pub fn late_token(&self) -> Option<u64> {
        self.call_in_flight.max(self.unanswered_start)
    }

    /// Records that direct start commands are sent with this fencing token.
    pub fn record_start_sent(&mut self, fencing_token: u64) {
        self.start_token = self.start_token.max(fencing_token);
    }

    /// Returns the highest fencing token of the direct start commands that were sent so far, or 0.
    pub fn start_token(&self) -> u64 {
        self.start_token
    }

    /// Records that direct start commands with this fencing token may still arrive.
    pub fn record_unanswered_start(&mut self, fencing_token: u64) {
        self.unanswered_start = self.unanswered_start.max(Some(fencing_token));
    }

    /// Records that the worker has seen a fencing token: it rejects commands with a lower one.
    pub fn record_seen_token(&mut self, fencing_token: u64) {
        self.unanswered_start
            .take_if(|start_token| *start_token < fencing_token);
    }

    /// Records that the worker began a new incarnation, which rejects commands to the earlier one.
    pub fn record_new_incarnation(&mut self) {
        self.unanswered_start = None;
    }

    /// Records that a command or reply was delivered.
    pub fn record_delivered(&mut self, machine_id: &str) {
        self.set_reachability(machine_id, Reachability::Reachable);
    }

    /// Records that one more command or reply had no effect.
    pub fn record_undelivered(&mut self, machine_id: &str, now: Millis) {
        let undelivered = match self.reachability {
            Reachability::Reachable => 1,
            Reachability::Suspected { undelivered } => undelivered + 1,
            Reachability::Unreachable { .. } => return,
        };
        if undelivered >= UNREACHABLE_MISSES {
            log::warn!(
                "machine {machine_id} is unreachable: heartbeats arrive but commands have no effect"
            );
            self.set_reachability(machine_id, Reachability::Unreachable { since: now });
        } else {
            self.set_reachability(machine_id, Reachability::Suspected { undelivered });
        }
    }

    /// Returns `true` if commands and replies no longer reach the worker.
    pub fn is_unreachable(&self) -> bool {
        matches!(self.reachability, Reachability::Unreachable { .. })
    }

    /// Returns `true` if new tasks may be placed on the machine: it is reachable, and fewer than
    /// [`UNREACHABLE_MISSES`] - 1 commands or replies in a row had no effect.
    pub fn is_trusted(&self) -> bool {
        match self.reachability {
            Reachability::Reachable => true,
            Reachability::Suspected { undelivered } => undelivered < UNREACHABLE_MISSES - 1,
            Reachability::Unreachable { .. } => false,
        }
    }

    /// Restarts the time for which the machine has been unreachable, after a pause of the leader's
    /// process.
    pub fn resume(&mut self, now: Millis) {
        if let Reachability::Unreachable { since } = &mut self.reachability {
            *since = now;
        }
    }

    fn set_reachability(&mut self, machine_id: &str, to: Reachability) {
        if self.reachability != to {
            log::debug!("machine {machine_id} {:?} -> {to:?}", self.reachability);
            self.reachability = to;
        }
    }
}
