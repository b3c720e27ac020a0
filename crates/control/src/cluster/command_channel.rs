//! Whether commands and heartbeat replies reach a machine, and the direct command on its way to it.
use crate::api::Millis;
use stonegw_constants::UNREACHABLE_MISSES;

/// Whether what we send to a machine, whose heartbeats arrive, has any effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// Everything we send has its effect.
    Reachable,
    /// So many replies or commands in a row had no effect.
    Suspected {
        /// How many.
        undelivered: u32,
    },
    /// Nothing we send has any effect.
    Unreachable {
        /// Found to be so at.
        since: Millis,
    },
}

/// The way from the leader to one worker.
#[derive(Clone, Debug)]
pub struct CommandChannel {
    /// Whether what we send has any effect.
    pub reachability: Reachability,
    /// An untrusted machine is not probed before.
    pub next_probe_at: Millis,
    /// Heartbeats answered since the machine's last silence.
    pub answered_heartbeats: u32,
    /// The call of a direct command that has no result yet.
    pub call_in_flight: Option<u64>,
    /// A direct command with a start was given up in this incarnation: it may still arrive.
    pub has_unanswered_start: bool,
}

impl Default for CommandChannel {
    fn default() -> Self {
        CommandChannel {
            reachability: Reachability::Reachable,
            next_probe_at: 0,
            answered_heartbeats: 0,
            call_in_flight: None,
            has_unanswered_start: false,
        }
    }
}

impl CommandChannel {
    /// Whether a direct command may still arrive at the worker.
    pub fn may_deliver_late(&self) -> bool {
        self.call_in_flight.is_some() || self.has_unanswered_start
    }

    /// Something we sent had its effect.
    pub fn record_delivered(&mut self, machine_id: &str) {
        self.set_reachability(machine_id, Reachability::Reachable);
    }

    /// What we sent had no effect, once more.
    pub fn record_undelivered(&mut self, machine_id: &str, now: Millis) {
        let undelivered = match self.reachability {
            Reachability::Reachable => 1,
            Reachability::Suspected { undelivered } => undelivered + 1,
            Reachability::Unreachable { .. } => return,
        };
        if undelivered >= UNREACHABLE_MISSES {
            log::warn!(
                "machine {machine_id} is unreachable: its heartbeats arrive, our commands do not"
            );
            self.set_reachability(machine_id, Reachability::Unreachable { since: now });
        } else {
            self.set_reachability(machine_id, Reachability::Suspected { undelivered });
        }
    }

    /// Whether nothing we send has any effect.
    pub fn is_unreachable(&self) -> bool {
        matches!(self.reachability, Reachability::Unreachable { .. })
    }

    /// Good for new tasks: nearly all we sent lately had its effect.
    pub fn is_trusted(&self) -> bool {
        match self.reachability {
            Reachability::Reachable => true,
            Reachability::Suspected { undelivered } => undelivered < UNREACHABLE_MISSES - 1,
            Reachability::Unreachable { .. } => false,
        }
    }

    /// The leader's process ran again after a pause: the machine is unreachable from now on only.
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
