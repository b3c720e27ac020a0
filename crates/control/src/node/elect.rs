//! The copy of the jobs, standing for election, and the claim.
use super::*;

impl Node {
    pub(super) fn advance_sync(&mut self) {
        let now = self.now.ms;
        match &mut self.sync {
            Sync::Listing {
                after,
                retry_at,
                asked,
                ..
            } => {
                if !*asked && now >= *retry_at && self.reads.take(now, 1.0) {
                    *asked = true;
                    let mut path = format!("/kv?prefix={COMMON}&limit={}", k::LIST_PAGE);
                    if let Some(a) = after {
                        path.push_str(&format!("&since={a}"));
                    }
                    let call =
                        self.out
                            .call(Target::State, "GET", path, vec![], k::STATE_TIMEOUT_MS);
                    self.calls.insert(call, Call::List);
                }
            }
            Sync::Live => {
                if !self.watching && now >= self.watch_at && self.reads.take(now, 1.0) {
                    self.watching = true;
                    let path = format!(
                        "/changes?prefix={COMMON}&since={}&holdMs={}",
                        self.replica.revision,
                        k::WATCH_HOLD_MS
                    );
                    let wait = k::WATCH_HOLD_MS + k::WATCH_GRACE_MS;
                    let call = self.out.call(Target::State, "GET", path, vec![], wait);
                    self.calls.insert(call, Call::Watch);
                }
            }
        }
    }

    pub(super) fn relist(&mut self) {
        self.sync = Sync::Listing {
            after: None,
            first: None,
            retry_at: self.now.ms + k::STATE_RETRY_MS,
            asked: false,
        };
    }

    pub(super) fn set_role(&mut self, to: Role) {
        if self.role == to {
            return;
        }
        log::info!("role {:?} -> {:?}", self.role, to);
        let led = self.role == Role::Leading;
        for p in &mut self.peers {
            p.counted = false;
        }
        self.role = to;
        if led || self.role == Role::Leading {
            self.share_budgets();
        }
        if led {
            self.leader = None;
            self.calls.retain(|_, c| !matches!(c, Call::Leader(_)));
        }
    }

    pub(super) fn advance_role(&mut self) {
        let now = self.now.ms;
        let term = self.replica.term();
        // Any higher term than our own ends our leadership, wherever we heard of it.
        if let Some(l) = &self.leader {
            if l.deposed || term != Some(l.term) || self.higher_term > l.term {
                log::warn!("term {} is over", l.term);
                if l.resigned {
                    self.release.push(l.lease);
                    self.stand_at = now + k::DEAF_PAUSE_MS;
                    self.resigned_at = Some(now);
                }
                self.set_role(Role::Follower);
            }
        }
        if self.sync != Sync::Live {
            return;
        }
        let holder = self.replica.leader.clone();
        match (&self.role, holder) {
            (Role::Leading, _) => {}
            (Role::Granting, _) => {}
            (Role::Claiming { .. }, _) => {}
            (Role::Checking { lease, until }, Some((l, term))) => {
                let (lease, until) = (*lease, *until);
                if l.nonce == self.nonce && l.lease == lease {
                    self.lead(lease, term);
                } else if now >= until {
                    self.release.push(lease);
                    self.set_role(Role::Follower);
                }
            }
            (Role::Checking { lease, until }, None) => {
                let (lease, until) = (*lease, *until);
                // By now the lease is over, and with it the late claim's chance.
                if now >= until {
                    self.release.push(lease);
                    self.set_role(Role::Follower);
                }
            }
            (_, Some((l, _))) => {
                if l.node == self.set.node && l.nonce != self.nonce {
                    // The key of our earlier life: nobody acts under it, so it need not run out.
                    if !self.release.contains(&l.lease) {
                        log::info!("ending the lease of our earlier life");
                        self.release.push(l.lease);
                    }
                }
                self.set_role(Role::Follower);
            }
            (Role::Follower, None) => {
                let wait = self.rng.random_range(0..k::ELECT_JITTER_MS);
                self.set_role(Role::Waiting { until: now + wait });
            }
            (Role::Waiting { until }, None) => {
                let due = now >= *until && now >= self.stand_at;
                if due && self.proven() && self.catalog.is_some() {
                    self.reads.force(now, 1.0);
                    let body = encode(&LeaseRequest {
                        ttl_ms: self.set.tuning.leader_ttl_ms,
                    });
                    let call = self.out.call(
                        Target::State,
                        "POST",
                        "/grants".into(),
                        body,
                        k::STATE_TIMEOUT_MS,
                    );
                    self.calls.insert(call, Call::Grant);
                    self.grant_sent = now;
                    self.set_role(Role::Granting);
                }
            }
        }
        if let Some(lease) = self.release.pop() {
            if self.reads.take(now, 1.0) {
                let path = format!("/grants/{lease}");
                let call =
                    self.out
                        .call(Target::State, "DELETE", path, vec![], k::STATE_TIMEOUT_MS);
                self.calls.insert(call, Call::Release);
            } else {
                self.release.push(lease);
            }
        }
    }

    pub(super) fn lead(&mut self, lease: u64, term: u64) {
        let Some(catalog) = self.catalog.clone() else {
            return;
        };
        log::info!("leading in term {term}");
        self.higher_term = self.higher_term.max(term);
        self.leader = Some(Box::new(Leader::new(
            term,
            lease,
            self.now.ms,
            self.grant_sent,
            catalog,
            &self.set,
        )));
        self.set_role(Role::Leading);
    }

    pub(super) fn listed(&mut self, result: CallResult) {
        let now = self.now.ms;
        let Sync::Listing {
            after,
            first,
            retry_at,
            asked,
        } = &mut self.sync
        else {
            return;
        };
        *asked = false;
        *retry_at = now + k::STATE_RETRY_MS;
        let body = match result {
            Ok((200, body)) => body,
            other => {
                log::debug!("list failed: {}", describe(&other));
                return;
            }
        };
        let page: Listing<Common> = match decode(&body) {
            Ok(p) => p,
            Err(e) => {
                log::warn!("list not understood: {e}");
                return;
            }
        };
        let start = *first.get_or_insert(page.revision);
        *retry_at = now;
        *after = page.items.last().map(|e| e.key.clone()).or(after.take());
        let leader_listed = page.items.iter().any(|e| e.key == LEADER);
        self.replica.list_page(page.items);
        // Old ones: who lacks some of them gets them with our next answer.
        self.replica.unsent_cancellations.clear();
        if !page.more {
            if !leader_listed {
                self.replica.no_leader_at(page.revision);
            }
            self.replica.revision = self.replica.revision.max(start);
            self.sync = Sync::Live;
            log::info!(
                "{} jobs known at revision {}",
                self.replica.jobs.len(),
                start
            );
        }
    }

    /// `Some(true)`: applied; `Some(false)`: list again; `None`: no answer.
    pub(super) fn changes(&mut self, result: CallResult) -> Option<bool> {
        match result {
            Ok((200, body)) => match decode::<Changes<Common>>(&body) {
                Ok(c) => {
                    self.replica.apply(c);
                    self.tell_cancelled();
                    Some(true)
                }
                Err(e) => {
                    log::warn!("changes not understood: {e}");
                    None
                }
            },
            Ok((410, _)) => Some(false),
            // So much has changed that the pages of a list are shorter; the same answer would come again.
            Err(CallError::TooLarge) => Some(false),
            other => {
                log::debug!("no changes: {}", describe(&other));
                None
            }
        }
    }

    pub(super) fn claim(&mut self, lease: u64) {
        let now = self.now.ms;
        let record = LeaderRecord {
            node: self.set.node.clone(),
            nonce: self.nonce,
            lease,
        };
        self.reads.force(now, 1.0);
        self.writes.force(now, 1.0);
        let txn = Txn {
            conditions: vec![Condition {
                key: LEADER.into(),
                version: 0,
            }],
            writes: vec![Write::Put {
                key: LEADER.into(),
                value: Value::Leader(record),
                lease: Some(lease),
            }],
        };
        self.transact(&txn, Call::Claim { lease });
        self.set_role(Role::Claiming { lease });
    }

    pub(super) fn claimed(&mut self, lease: u64, result: CallResult) {
        let now = self.now.ms;
        match result {
            Ok((200, body)) => {
                if let Ok(a) = decode::<TxnAnswer>(&body) {
                    let record = LeaderRecord {
                        node: self.set.node.clone(),
                        nonce: self.nonce,
                        lease,
                    };
                    self.replica.we_lead(record, a.revision);
                    if self.replica.term() == Some(a.revision) {
                        return self.lead(lease, a.revision);
                    }
                }
                self.release.push(lease);
                self.set_role(Role::Follower);
            }
            Ok((409 | 400 | 429 | 503, _)) | Err(CallError::NotSent) => {
                self.release.push(lease);
                let wait = self.rng.random_range(0..k::ELECT_JITTER_MS);
                self.set_role(Role::Waiting {
                    until: now + k::STATE_RETRY_MS + wait,
                });
            }
            // It may have been carried out, or may be later: reading settles it. After the
            // lease's life it no longer can be.
            _ => self.set_role(Role::Checking {
                lease,
                until: now + self.set.tuning.leader_ttl_ms,
            }),
        }
    }
}

#[cfg(test)]
#[path = "elect_tests.rs"]
mod tests;
