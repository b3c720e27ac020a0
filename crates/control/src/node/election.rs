//! The copy of the jobs, standing for election, and the claim.
use super::*;
use stonegw_constants::{
    CANDIDACY_PAUSE_MS, ELECTION_JITTER_MS, LIST_PAGE_ENTRIES, STORE_RETRY_BACKOFF_MS,
    STORE_TIMEOUT_MS, WATCH_GRACE_MS, WATCH_LONG_POLL_MS,
};

impl Node {
    pub(super) fn advance_replica_sync(&mut self) {
        let now = self.now.monotonic_ms;
        match &mut self.replica_sync {
            ReplicaSync::Listing {
                start_after: after,
                retry_at,
                request_in_flight: asked,
                ..
            } => {
                if !*asked && now >= *retry_at && self.read_budget.try_take(now, 1.0) {
                    *asked = true;
                    let mut path =
                        format!("/kv?prefix={REPLICATED_PREFIX}&limit={}", LIST_PAGE_ENTRIES);
                    if let Some(a) = after {
                        path.push_str(&format!("&since={a}"));
                    }
                    let call = self.outbox.start_call(
                        Target::Store,
                        "GET",
                        path,
                        vec![],
                        STORE_TIMEOUT_MS,
                    );
                    self.calls_in_flight.insert(call, NodeCall::List);
                }
            }
            ReplicaSync::Live => {
                if !self.is_watching
                    && now >= self.next_watch_at
                    && self.read_budget.try_take(now, 1.0)
                {
                    self.is_watching = true;
                    let path = format!(
                        "/changes?prefix={REPLICATED_PREFIX}&since={}&holdMs={}",
                        self.replica.revision, WATCH_LONG_POLL_MS
                    );
                    let wait = WATCH_LONG_POLL_MS + WATCH_GRACE_MS;
                    let call = self
                        .outbox
                        .start_call(Target::Store, "GET", path, vec![], wait);
                    self.calls_in_flight.insert(call, NodeCall::Watch);
                }
            }
        }
    }

    pub(super) fn relist(&mut self) {
        self.replica_sync = ReplicaSync::Listing {
            start_after: None,
            first_page_revision: None,
            retry_at: self.now.monotonic_ms + STORE_RETRY_BACKOFF_MS,
            request_in_flight: false,
        };
    }

    pub(super) fn set_role(&mut self, to: Role) {
        if self.role == to {
            return;
        }
        log::info!("role {:?} -> {:?}", self.role, to);
        let led = self.role == Role::Leader;
        for p in &mut self.peers {
            p.has_all_counts = false;
        }
        self.role = to;
        if led || self.role == Role::Leader {
            self.share_budgets();
        }
        if led {
            self.leader = None;
            self.calls_in_flight
                .retain(|_, c| !matches!(c, NodeCall::Leader(_)));
        }
    }

    pub(super) fn advance_role(&mut self) {
        let now = self.now.monotonic_ms;
        let term = self.replica.term();
        // Any higher term than our own ends our leadership, wherever we heard of it.
        if let Some(l) = &self.leader {
            if l.deposed || term != Some(l.term) || self.higher_term > l.term {
                log::warn!("term {} is over", l.term);
                if l.resigned {
                    self.leases_to_revoke.push(l.lease);
                    self.next_campaign_at = now + CANDIDACY_PAUSE_MS;
                    self.resigned_at = Some(now);
                }
                self.set_role(Role::Follower);
            }
        }
        if self.replica_sync != ReplicaSync::Live {
            return;
        }
        let holder = self.replica.leader.clone();
        match (&self.role, holder) {
            (Role::Leader, _) => {}
            (Role::AcquiringLease, _) => {}
            (Role::Campaigning { .. }, _) => {}
            (Role::CampaignUnconfirmed { lease, until }, Some((l, term))) => {
                let (lease, until) = (*lease, *until);
                if l.nonce == self.incarnation && l.lease == lease {
                    self.become_leader(lease, term);
                } else if now >= until {
                    self.leases_to_revoke.push(lease);
                    self.set_role(Role::Follower);
                }
            }
            (Role::CampaignUnconfirmed { lease, until }, None) => {
                let (lease, until) = (*lease, *until);
                // By now the lease is over, and with it the late claim's chance.
                if now >= until {
                    self.leases_to_revoke.push(lease);
                    self.set_role(Role::Follower);
                }
            }
            (_, Some((l, _))) => {
                if l.node == self.settings.node_name && l.nonce != self.incarnation {
                    // The key of our earlier life: nobody acts under it, so it need not run out.
                    if !self.leases_to_revoke.contains(&l.lease) {
                        log::info!("ending the lease of our earlier life");
                        self.leases_to_revoke.push(l.lease);
                    }
                }
                self.set_role(Role::Follower);
            }
            (Role::Follower, None) => {
                let wait = self.rng.random_range(0..ELECTION_JITTER_MS);
                self.set_role(Role::ElectionBackoff { until: now + wait });
            }
            (Role::ElectionBackoff { until }, None) => {
                let due = now >= *until && now >= self.next_campaign_at;
                if due && self.has_synced_since_pause() && self.catalog.is_some() {
                    self.read_budget.take_unconditionally(now, 1.0);
                    let body = encode(&LeaseRequest {
                        ttl_ms: self.settings.tuning.leader_lease_ttl_ms,
                    });
                    let call = self.outbox.start_call(
                        Target::Store,
                        "POST",
                        "/grants".into(),
                        body,
                        STORE_TIMEOUT_MS,
                    );
                    self.calls_in_flight.insert(call, NodeCall::GrantLease);
                    self.lease_requested_at = now;
                    self.set_role(Role::AcquiringLease);
                }
            }
        }
        if let Some(lease) = self.leases_to_revoke.pop() {
            if self.read_budget.try_take(now, 1.0) {
                let path = format!("/grants/{lease}");
                let call =
                    self.outbox
                        .start_call(Target::Store, "DELETE", path, vec![], STORE_TIMEOUT_MS);
                self.calls_in_flight.insert(call, NodeCall::RevokeLease);
            } else {
                self.leases_to_revoke.push(lease);
            }
        }
    }

    pub(super) fn become_leader(&mut self, lease: u64, term: u64) {
        let Some(catalog) = self.catalog.clone() else {
            return;
        };
        log::info!("leading in term {term}");
        self.higher_term = self.higher_term.max(term);
        self.leader = Some(Box::new(Leader::new(
            term,
            lease,
            self.now.monotonic_ms,
            self.lease_requested_at,
            catalog,
            &self.settings,
        )));
        self.set_role(Role::Leader);
    }

    pub(super) fn handle_list_page(&mut self, result: CallResult) {
        let now = self.now.monotonic_ms;
        let ReplicaSync::Listing {
            start_after: after,
            first_page_revision: first,
            retry_at,
            request_in_flight: asked,
        } = &mut self.replica_sync
        else {
            return;
        };
        *asked = false;
        *retry_at = now + STORE_RETRY_BACKOFF_MS;
        let body = match result {
            Ok((200, body)) => body,
            other => {
                log::debug!("list failed: {}", describe_result(&other));
                return;
            }
        };
        let page: ListPage<ReplicatedRecord> = match decode(&body) {
            Ok(p) => p,
            Err(e) => {
                log::warn!("list not understood: {e}");
                return;
            }
        };
        let start = *first.get_or_insert(page.revision);
        *retry_at = now;
        *after = page.entries.last().map(|e| e.key.clone()).or(after.take());
        let leader_listed = page.entries.iter().any(|e| e.key == LEADER_KEY);
        self.replica.apply_page(page.entries);
        // Old ones: who lacks some of them gets them with our next answer.
        self.replica.unsent_cancellations.clear();
        if !page.has_more {
            if !leader_listed {
                self.replica.clear_leader(page.revision);
            }
            self.replica.revision = self.replica.revision.max(start);
            self.replica_sync = ReplicaSync::Live;
            log::info!(
                "{} jobs known at revision {}",
                self.replica.jobs.len(),
                start
            );
        }
    }

    /// `Some(true)`: applied; `Some(false)`: list again; `None`: no answer.
    pub(super) fn apply_changes(&mut self, result: CallResult) -> Option<bool> {
        match result {
            Ok((200, body)) => match decode::<WatchResponse<ReplicatedRecord>>(&body) {
                Ok(c) => {
                    self.replica.apply_changes(c);
                    self.announce_cancellations();
                    Some(true)
                }
                Err(e) => {
                    log::warn!("changes not understood: {e}");
                    None
                }
            },
            Ok((410, _)) => Some(false),
            // So much has changed that the pages of a list are shorter; the same answer would come again.
            Err(CallError::ResponseTooLarge) => Some(false),
            other => {
                log::debug!("no changes: {}", describe_result(&other));
                None
            }
        }
    }

    pub(super) fn campaign(&mut self, lease: u64) {
        let now = self.now.monotonic_ms;
        let record = LeaderRecord {
            node: self.settings.node_name.clone(),
            nonce: self.incarnation,
            lease,
        };
        self.read_budget.take_unconditionally(now, 1.0);
        self.write_budget.take_unconditionally(now, 1.0);
        let txn = Txn {
            conditions: vec![Condition {
                key: LEADER_KEY.into(),
                revision: 0,
            }],
            writes: vec![Write::Put {
                key: LEADER_KEY.into(),
                value: StoredRecord::Leader(record),
                lease_id: Some(lease),
            }],
        };
        self.send_transaction(&txn, NodeCall::Campaign { lease });
        self.set_role(Role::Campaigning { lease });
    }

    pub(super) fn handle_campaign_result(&mut self, lease: u64, result: CallResult) {
        let now = self.now.monotonic_ms;
        match result {
            Ok((200, body)) => {
                if let Ok(a) = decode::<TxnResponse>(&body) {
                    let record = LeaderRecord {
                        node: self.settings.node_name.clone(),
                        nonce: self.incarnation,
                        lease,
                    };
                    self.replica.record_own_election(record, a.revision);
                    if self.replica.term() == Some(a.revision) {
                        return self.become_leader(lease, a.revision);
                    }
                }
                self.leases_to_revoke.push(lease);
                self.set_role(Role::Follower);
            }
            Ok((409 | 400 | 429 | 503, _)) | Err(CallError::NotSent) => {
                self.leases_to_revoke.push(lease);
                let wait = self.rng.random_range(0..ELECTION_JITTER_MS);
                self.set_role(Role::ElectionBackoff {
                    until: now + STORE_RETRY_BACKOFF_MS + wait,
                });
            }
            // It may have been carried out, or may be later: reading settles it. After the
            // lease's life it no longer can be.
            _ => self.set_role(Role::CampaignUnconfirmed {
                lease,
                until: now + self.settings.tuning.leader_lease_ttl_ms,
            }),
        }
    }
}

#[cfg(test)]
#[path = "election_tests.rs"]
mod tests;
