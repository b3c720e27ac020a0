//! Election of the leader: acquires and revokes the lease of the leader key. [`Role`] describes the
//! states.
use super::calls::{NodeCall, StoreCall};
use super::responses::{decode_success, ResponseError};
use super::role::Role;
use super::Node;
use crate::api::{CallError, CallResult, Millis};
use crate::leader::Leader;
use crate::pause::Pause;
use crate::records::{LeaderRecord, StoredRecord, LEADER_KEY};
use rand::Rng;
use stonegw_constants::{
    CANDIDACY_PAUSE_MS, ELECTION_JITTER_MS, RESIGNATION_INTERVAL_MS, STORE_ERROR_BACKOFF_MS,
    STORE_RETRY_BACKOFF_MS,
};
use stonegw_wire::msg::{Condition, LeaseResponse, Txn, TxnResponse, Write};

/// State of the election besides the [`Role`].
#[derive(Default)]
pub(super) struct Election {
    /// Time at which the lease for this node's campaign was requested. The lease is granted later,
    /// so it does not expire before this time plus its time to live.
    lease_requested_at: Millis,
    /// Earliest time of the next campaign.
    next_campaign_at: Millis,
    resigned_at: Option<Millis>,
    /// Leases of an earlier incarnation, of failed campaigns or of a resignation.
    leases_to_revoke: Vec<u64>,
}

impl Election {
    /// Returns whether the last resignation is long enough ago for another one.
    pub(super) fn may_resign(&self, now: Millis) -> bool {
        self.resigned_at
            .is_none_or(|at| now > at + RESIGNATION_INTERVAL_MS)
    }

    /// Shifts the timestamps by the pause, so that it does not count as elapsed time.
    pub(super) fn resume(&mut self, pause: Pause) {
        pause.shift(&mut self.next_campaign_at);
        pause.shift_if_set(&mut self.resigned_at);
    }

    fn record_resignation(&mut self, now: Millis, lease: u64) {
        self.leases_to_revoke.push(lease);
        self.next_campaign_at = now + CANDIDACY_PAUSE_MS;
        self.resigned_at = Some(now);
    }
}

impl Node {
    /// Returns the leader's record in the replica and the leader's term, or `None` if the replica
    /// has no leader.
    pub(super) fn known_leader(&self) -> Option<(&LeaderRecord, u64)> {
        let (record, term) = self.replica.leader.as_ref()?;
        Some((record, *term))
    }

    /// Records a term or a fencing token seen in a message. While the replica has not read what it
    /// belongs to, another node may lead, so this node does not act as the leader.
    pub(super) fn observe_token(&mut self, token: u64) {
        self.highest_observed_token = self.highest_observed_token.max(token);
    }

    /// Returns whether the replica has read which terms all observed tokens belong to.
    pub(super) fn knows_observed_tokens(&self) -> bool {
        self.replica.knows_term_of(self.highest_observed_token)
    }

    /// Changes the role. All role changes go through this function.
    pub(super) fn set_role(&mut self, next: Role) {
        if self.role == next {
            return;
        }
        log::info!("role {:?} -> {:?}", self.role, next);
        let was_leader = self.role == Role::Leader;
        self.peers.forget_sent_counts();
        self.role = next;
        if was_leader || self.role == Role::Leader {
            self.share_budgets();
        }
        if was_leader {
            self.leader = None;
            self.calls_in_flight
                .retain(|_, call| !matches!(call, NodeCall::Leader(_)));
        }
    }

    /// Takes the election steps that are due.
    pub(super) fn advance_role(&mut self) {
        self.step_down_if_superseded();
        if !self.replica_sync.is_live() {
            return;
        }
        match self.role.clone() {
            Role::Leader | Role::AcquiringLease | Role::Campaigning { .. } => {}
            Role::CampaignUnconfirmed { lease, until } => {
                self.confirm_campaign(lease, until);
            }
            Role::Follower | Role::ElectionBackoff { .. } if self.known_leader().is_some() => {
                self.follow_known_leader();
            }
            Role::Follower => {
                let jitter = self.rng.random_range(0..ELECTION_JITTER_MS);
                self.set_role(Role::ElectionBackoff {
                    until: self.now.monotonic_ms + jitter,
                });
            }
            Role::ElectionBackoff { until } => self.request_lease_if_due(until),
        }
        self.revoke_next_lease();
    }

    /// Ends this node's leadership if the leader key changed or the leader was deposed.
    fn step_down_if_superseded(&mut self) {
        let Some(leader) = &self.leader else { return };
        let is_superseded = leader.deposed || self.replica.term() != Some(leader.term);
        if !is_superseded {
            return;
        }
        log::warn!("leadership in term {} has ended", leader.term);
        if leader.resigned {
            let now = self.now.monotonic_ms;
            self.election.record_resignation(now, leader.lease);
        }
        self.set_role(Role::Follower);
    }

    /// Looks in the replica for the outcome of a campaign whose transaction had no response. After
    /// the lease has expired, a late transaction can no longer succeed.
    fn confirm_campaign(&mut self, lease: u64, until: Millis) {
        let our_term = self
            .known_leader()
            .filter(|(leader, _)| leader.nonce == self.incarnation && leader.lease == lease)
            .map(|(_, term)| term);
        if let Some(term) = our_term {
            self.become_leader(lease, term);
        } else if self.now.monotonic_ms >= until {
            self.election.leases_to_revoke.push(lease);
            self.set_role(Role::Follower);
        }
    }

    fn follow_known_leader(&mut self) {
        let stale_lease = self
            .known_leader()
            .filter(|(leader, _)| {
                leader.node == self.settings.node_name && leader.nonce != self.incarnation
            })
            .map(|(leader, _)| leader.lease);
        if let Some(lease) = stale_lease {
            // The leader key belongs to an earlier incarnation of this node. No process acts under
            // it any more, so its lease is revoked at once instead of waiting for its expiry.
            if !self.election.leases_to_revoke.contains(&lease) {
                log::info!("revoking the leader lease of this node's earlier incarnation");
                self.election.leases_to_revoke.push(lease);
            }
        }
        self.set_role(Role::Follower);
    }

    fn request_lease_if_due(&mut self, until: Millis) {
        let now = self.now.monotonic_ms;
        let is_due = now >= until && now >= self.election.next_campaign_at;
        if !is_due || !self.has_synced_since_pause() || self.catalog.get().is_none() {
            return;
        }
        self.read_budget.take_unconditionally(now, 1.0);
        self.grant_lease(self.settings.tuning.leader_lease_ttl_ms);
        self.election.lease_requested_at = now;
        self.set_role(Role::AcquiringLease);
    }

    fn revoke_next_lease(&mut self) {
        let Some(lease) = self.election.leases_to_revoke.last().copied() else {
            return;
        };
        if self.read_budget.try_take(self.now.monotonic_ms, 1.0) {
            self.election.leases_to_revoke.pop();
            self.revoke_lease(lease);
        }
    }

    /// Handles the response to a lease request; with a lease, the node campaigns.
    pub(super) fn handle_lease_result(&mut self, result: CallResult) {
        let backoff_ms = match decode_success::<LeaseResponse>(result) {
            Ok(response) => return self.campaign(response.lease_id),
            Err(ResponseError::Failed(_)) => STORE_RETRY_BACKOFF_MS,
            Err(error @ ResponseError::Undecodable(_)) => {
                error.log("acquiring the leader lease");
                STORE_ERROR_BACKOFF_MS
            }
        };
        self.set_role(Role::ElectionBackoff {
            until: self.now.monotonic_ms + backoff_ms,
        });
    }

    /// Sends the transaction that creates the leader key if none exists.
    fn campaign(&mut self, lease: u64) {
        let now = self.now.monotonic_ms;
        self.read_budget.take_unconditionally(now, 1.0);
        self.write_budget.take_unconditionally(now, 1.0);
        let txn = Txn {
            conditions: vec![Condition {
                key: LEADER_KEY.into(),
                revision: 0,
            }],
            writes: vec![Write::Put {
                key: LEADER_KEY.into(),
                value: StoredRecord::Leader(self.own_leader_record(lease)),
                lease_id: Some(lease),
            }],
        };
        self.send_transaction(StoreCall::Campaign { lease }, &txn);
        self.set_role(Role::Campaigning { lease });
    }

    fn own_leader_record(&self, lease: u64) -> LeaderRecord {
        LeaderRecord {
            node: self.settings.node_name.clone(),
            nonce: self.incarnation,
            lease,
        }
    }

    /// Handles the response to the transaction that creates the leader key.
    pub(super) fn handle_campaign_result(&mut self, lease: u64, result: CallResult) {
        let now = self.now.monotonic_ms;
        match result {
            Ok((200, _)) => self.handle_campaign_won(lease, result),
            Ok((409 | 400 | 429 | 503, _)) | Err(CallError::NotSent) => {
                self.election.leases_to_revoke.push(lease);
                let jitter = self.rng.random_range(0..ELECTION_JITTER_MS);
                self.set_role(Role::ElectionBackoff {
                    until: now + STORE_RETRY_BACKOFF_MS + jitter,
                });
            }
            // The transaction may have been executed or may still be; a later read shows the
            // outcome. Once the lease's time to live has passed, it can no longer succeed.
            _ => self.set_role(Role::CampaignUnconfirmed {
                lease,
                until: now + self.settings.tuning.leader_lease_ttl_ms,
            }),
        }
    }

    fn handle_campaign_won(&mut self, lease: u64, result: CallResult) {
        if let Ok(response) = decode_success::<TxnResponse>(result) {
            let record = self.own_leader_record(lease);
            let term = response.revision;
            self.replica.record_own_election(record, term);
            // The replica may already have read that the key was deleted again.
            if self.replica.term() == Some(term) {
                return self.become_leader(lease, term);
            }
        }
        self.election.leases_to_revoke.push(lease);
        self.set_role(Role::Follower);
    }

    fn become_leader(&mut self, lease: u64, term: u64) {
        let Some(catalog) = self.catalog.get().cloned() else {
            return;
        };
        log::info!("leading in term {term}");
        self.observe_token(term);
        self.leader = Some(Box::new(Leader::new(
            term,
            lease,
            self.now.monotonic_ms,
            self.election.lease_requested_at,
            catalog,
            &self.settings,
        )));
        self.set_role(Role::Leader);
    }
}
