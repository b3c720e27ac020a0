//! Applies a worker's newest heartbeat to the state of its machine. The tasks in the heartbeat are
//! not handled here.
use super::{Lifecycle, Machine};
use crate::api::Millis;
use crate::fencing::HeartbeatPosition;
use stonegw_wire::msg::Heartbeat;

/// Whether the leader replies to a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatKind {
    /// The heartbeat came from the worker itself. The reply renews the worker's lease and carries
    /// commands.
    Answered,
    /// The heartbeat was relayed through the store, or is a worker's reply to a command or probe,
    /// or must not be answered at present.
    Unanswered,
}

/// The circumstances in which a heartbeat was received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeartbeatReceipt {
    /// The leader's term.
    pub term: u64,
    /// When the heartbeat arrived.
    pub now: Millis,
    /// The interval between a worker's heartbeats, in seconds.
    pub heartbeat_interval_s: f64,
    /// Whether the heartbeat is answered.
    pub kind: HeartbeatKind,
}

/// How a heartbeat follows the newest one of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeartbeatOrder {
    /// The same process of the worker sent it later.
    Newer,
    /// A process of the worker sent it that restarted without memory.
    AfterRestart,
}

/// The changes that a heartbeat revealed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeartbeatChanges {
    /// Whether this is the first heartbeat from the machine in this term.
    pub is_first: bool,
    /// Whether the worker began a new incarnation since its last heartbeat in this term: it
    /// restarted, with or without memory, or its lease expired and it killed all tasks.
    pub new_incarnation: bool,
    /// Whether the tasks placed by an earlier leader also ended with the earlier incarnation.
    /// Meaningful only with `new_incarnation`.
    pub includes_inherited: bool,
}

impl Machine {
    /// Applies a heartbeat of the worker and returns what it changed. Returns `None` if the
    /// heartbeat is no newer than the last one, because duplicates may arrive minutes late through
    /// any node.
    pub(crate) fn record_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        receipt: HeartbeatReceipt,
    ) -> Option<HeartbeatChanges> {
        let was_silent = self.is_silent(receipt.now, receipt.heartbeat_interval_s);
        let Some(order) = self.order_heartbeat(heartbeat) else {
            // Records of the store hold heartbeats from before, which say nothing about the present.
            let shows_earlier_token = heartbeat.fencing_token < self.shown_token;
            self.restart_suspected |=
                receipt.kind == HeartbeatKind::Answered && (shows_earlier_token || was_silent);
            return None;
        };
        self.restart_suspected = false;
        let has_restarted = order == HeartbeatOrder::AfterRestart;
        let began_incarnation = heartbeat.incarnation > self.incarnation;
        let changes = HeartbeatChanges {
            is_first: self.last_heartbeat_at.is_none(),
            new_incarnation: has_restarted
                || (began_incarnation && self.last_heartbeat_at.is_some()),
            // A start command of an earlier leader may have reached either incarnation, unless the
            // worker had already seen this leader's term in the earlier one. A worker that restarted
            // has seen a token that is higher than that of any command.
            includes_inherited: self.under_current_term || has_restarted,
        };
        // The worker began a new incarnation although its heartbeats were answered: either the
        // replies were lost and its lease expired, or it restarted.
        let replies_were_lost =
            began_incarnation && self.commands.answered_heartbeats > 1 && !was_silent;
        if was_silent {
            // Failed deliveries before or during a silence say nothing about the present.
            self.commands.record_delivered(&self.id);
            self.commands.answered_heartbeats = 0;
        }
        self.accumulate_usage(receipt.now);
        self.copy_reported_state(heartbeat, receipt.now);
        self.update_reachability(heartbeat.fencing_token, receipt, replies_were_lost);
        self.update_lifecycle(heartbeat, receipt.now, changes.is_first);
        if changes.new_incarnation {
            // The worker has killed and forgotten all tasks, and a start command that was sent to
            // the earlier incarnation can no longer start one.
            log::warn!(
                "machine {} began incarnation {}{}",
                self.id,
                heartbeat.incarnation,
                if has_restarted { " without memory" } else { "" }
            );
            self.commands.record_new_incarnation();
            self.cached_images.clear();
        }
        Some(changes)
    }

    /// Returns how a heartbeat follows the newest one, or `None` if it is not newer. That of a worker
    /// that restarted without memory counts as newer only if the worker rejects all direct start
    /// commands that were sent so far.
    fn order_heartbeat(&self, heartbeat: &Heartbeat) -> Option<HeartbeatOrder> {
        let position = HeartbeatPosition::of(heartbeat);
        let newest = self.heartbeat_position();
        if position <= newest {
            return None;
        }
        if !position.is_of_restarted_worker(&newest) {
            return Some(HeartbeatOrder::Newer);
        }
        (heartbeat.fencing_token > self.commands.start_token())
            .then_some(HeartbeatOrder::AfterRestart)
    }

    fn copy_reported_state(&mut self, heartbeat: &Heartbeat, now: Millis) {
        self.incarnation = heartbeat.incarnation;
        self.sequence = heartbeat.sequence;
        self.shown_token = self.shown_token.max(heartbeat.fencing_token);
        self.commands.record_seen_token(heartbeat.fencing_token);
        self.last_heartbeat_at = Some(now);
        self.absent_listings = 0;
        self.addr = Some(heartbeat.addr.clone());
        self.machine_type = heartbeat.machine_type.clone();
        self.zone = heartbeat.zone.clone();
        self.spot = heartbeat.is_spot;
    }

    /// Records whether replies reach the worker. They do not if `replies_were_lost`, or if the
    /// worker still shows an earlier term after more than one answered heartbeat. An unanswered
    /// heartbeat, or the first one that shows this leader's term, counts as a delivery.
    fn update_reachability(
        &mut self,
        fencing_token: u64,
        receipt: HeartbeatReceipt,
        replies_were_lost: bool,
    ) {
        let is_answered = receipt.kind == HeartbeatKind::Answered;
        let shows_current_term = fencing_token >= receipt.term;
        let adopted_term = shows_current_term && !self.under_current_term;
        self.under_current_term = shows_current_term;
        let shows_earlier_term = !self.under_current_term && self.commands.answered_heartbeats > 1;
        if adopted_term || !is_answered {
            self.commands.record_delivered(&self.id);
        } else if replies_were_lost || shows_earlier_term {
            self.commands.record_undelivered(&self.id, receipt.now);
        }
        if is_answered {
            self.commands.answered_heartbeats += 1;
        }
    }

    fn update_lifecycle(&mut self, heartbeat: &Heartbeat, now: Millis, is_first: bool) {
        self.eviction_at = heartbeat
            .eviction_in_s
            .filter(|seconds| seconds.is_finite())
            .map(|seconds| now + (seconds.max(0.0) * 1e3) as u64);
        if is_first && self.lifecycle == Lifecycle::Provisioning {
            self.set_lifecycle(Lifecycle::Ready);
        }
        if self.eviction_at.is_some() && self.lifecycle == Lifecycle::Ready {
            self.set_lifecycle(Lifecycle::Draining);
        }
    }
}
