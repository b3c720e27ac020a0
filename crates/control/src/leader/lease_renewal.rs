//! Renews the lease of the leader key.
use crate::api::{CallResult, Millis, Target};
use crate::calls::LeaderCall;
use crate::context::LeaderContext;
use stonegw_constants::{LEADER_RENEW_INTERVAL_MS, STORE_TIMEOUT_MS};

/// What the result of a renewal shows about the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseStatus {
    /// The lease was renewed, or the result does not show that it has expired.
    MayHold,
    /// The lease is unknown to the store, so it has expired.
    Expired,
}

/// The state of the renewals of one lease.
#[derive(Debug)]
pub(super) struct LeaseRenewal {
    /// When the last successful renewal was sent.
    renewed_at: Millis,
    last_sent_at: Millis,
    next_at: Millis,
    in_flight: bool,
}

impl LeaseRenewal {
    /// Creates the state for a lease that was requested at `leased_at`. The first renewal is due at
    /// once.
    pub(super) fn new(leased_at: Millis, now: Millis) -> LeaseRenewal {
        LeaseRenewal {
            renewed_at: leased_at,
            last_sent_at: leased_at,
            next_at: now,
            in_flight: false,
        }
    }

    /// Sends a renewal if one is due and none is in flight.
    pub(super) fn send_if_due(&mut self, context: &mut LeaderContext, lease: u64) {
        let now = context.now.monotonic_ms;
        if now < self.next_at || self.in_flight {
            return;
        }
        self.in_flight = true;
        self.last_sent_at = now;
        self.next_at = now + LEADER_RENEW_INTERVAL_MS;
        context.read_budget.take_unconditionally(now, 1.0);
        let call = LeaderCall::RenewLease { sent_at: now };
        let path = format!("/grants/{lease}/touch");
        context.send_call(call, Target::Store, "POST", path, vec![], STORE_TIMEOUT_MS);
    }

    /// Processes the result of the renewal that was sent at `sent_at`.
    pub(super) fn done(&mut self, sent_at: Millis, result: &CallResult) -> LeaseStatus {
        // After the result of an earlier renewal, the newest renewal is still in flight.
        self.in_flight &= sent_at != self.last_sent_at;
        match result {
            Ok((200, _)) => {
                self.renewed_at = self.renewed_at.max(sent_at);
                LeaseStatus::MayHold
            }
            Ok((404, _)) => LeaseStatus::Expired,
            _ => LeaseStatus::MayHold,
        }
    }

    /// Returns `true` if the lease is certain to be valid. Its time to live counts from the moment
    /// at which the last successful renewal was sent.
    pub(super) fn is_valid(&self, context: &LeaderContext) -> bool {
        let expires_at = self.renewed_at + context.settings.tuning.leader_lease_ttl_ms;
        context.now.monotonic_ms < expires_at
    }

    /// Handles the end of a process pause: the lease is renewed at once. The result of a renewal
    /// from before the pause shows only that the lease was valid at that time.
    pub(super) fn resume(&mut self, now: Millis) {
        self.in_flight = false;
        self.next_at = now;
    }
}
