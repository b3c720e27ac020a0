//! What a worker's newest heartbeat changes of the machine itself, its tasks aside.
use super::{Lifecycle, Machine};
use crate::api::Millis;
use stonegw_wire::msg::Heartbeat;

/// Whether a heartbeat is one that the leader replies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatKind {
    /// It came from the worker itself; the reply renews the worker's lease and carries commands.
    Answered,
    /// It was relayed through the store, or is a reply to a command of ours, or may not be
    /// answered at present.
    Unanswered,
}

/// How and when a heartbeat was received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeartbeatReceipt {
    /// The leader's term.
    pub term: u64,
    /// The time of its arrival.
    pub now: Millis,
    /// Seconds between a worker's heartbeats.
    pub heartbeat_interval_s: f64,
    /// Whether it is answered.
    pub kind: HeartbeatKind,
}

/// What a heartbeat showed to be new.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeartbeatNews {
    /// It is the first from this machine in this term.
    pub is_first: bool,
    /// The worker restarted, or let its lease expire and killed everything.
    pub new_incarnation: bool,
    /// What an earlier leader placed ended with the earlier incarnation as well.
    pub includes_inherited: bool,
}

impl Machine {
    /// Takes in the worker's newest heartbeat. `None`: it is no newer than the last one. Copies of
    /// heartbeats may arrive minutes late, through any node.
    pub(crate) fn record_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        receipt: HeartbeatReceipt,
    ) -> Option<HeartbeatNews> {
        if (heartbeat.incarnation, heartbeat.sequence) <= (self.incarnation, self.sequence) {
            return None;
        }
        let news = HeartbeatNews {
            is_first: self.last_heartbeat_at.is_none(),
            new_incarnation: heartbeat.incarnation > self.incarnation
                && self.last_heartbeat_at.is_some(),
            // What an earlier leader placed may have been sent in either incarnation, unless the
            // worker had already seen our term in the earlier one.
            includes_inherited: self.under_current_term,
        };
        let was_silent = self.is_silent(receipt.now, receipt.heartbeat_interval_s);
        // We answered it all the while, and its lease expired all the same; or it restarted.
        let replies_were_lost =
            news.new_incarnation && self.commands.answered_heartbeats > 1 && !was_silent;
        if was_silent {
            // What was not delivered before or during a silence says nothing about now.
            self.commands.record_delivered(&self.id);
            self.commands.answered_heartbeats = 0;
        }
        self.accumulate_usage(receipt.now);
        self.copy_reported_state(heartbeat, receipt.now);
        self.update_reachability(heartbeat.fencing_token, receipt, replies_were_lost);
        self.update_lifecycle(heartbeat, receipt.now, news.is_first);
        if news.new_incarnation {
            // The worker killed and forgot everything, and nothing sent to the earlier incarnation
            // can start any more.
            log::warn!(
                "machine {} began incarnation {}",
                self.id,
                heartbeat.incarnation
            );
            self.commands.has_unanswered_start = false;
            self.cached_images.clear();
        }
        Some(news)
    }

    fn copy_reported_state(&mut self, heartbeat: &Heartbeat, now: Millis) {
        self.incarnation = heartbeat.incarnation;
        self.sequence = heartbeat.sequence;
        self.last_heartbeat_at = Some(now);
        self.absent_listings = 0;
        self.addr = Some(heartbeat.addr.clone());
        self.machine_type = heartbeat.machine_type.clone();
        self.zone = heartbeat.zone.clone();
        self.spot = heartbeat.is_spot;
    }

    /// A worker that goes on showing an earlier term does not get our replies.
    fn update_reachability(
        &mut self,
        fencing_token: u64,
        receipt: HeartbeatReceipt,
        replies_were_lost: bool,
    ) {
        let is_answered = receipt.kind == HeartbeatKind::Answered;
        let adopted_term = fencing_token == receipt.term && !self.under_current_term;
        self.under_current_term = fencing_token == receipt.term;
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
