//! Hands the answer of each call to the part of the node that made it.
use super::*;
use stonegw_constants::{
    CLOUD_RETRY_BACKOFF_MS, FOLLOWER_WATCH_INTERVAL_MS, STORE_RETRY_BACKOFF_MAX_MS,
    STORE_RETRY_BACKOFF_MS,
};

impl Node {
    /// Notes whether the state service answers.
    fn record_store_availability(&mut self, result: &CallResult) {
        match result {
            Ok((status, _)) if *status != 503 && *status != 429 => {
                self.last_store_success_at = self.now.monotonic_ms;
                self.store_failing_since = None;
            }
            Ok((429, _)) => {}
            _ => {
                self.store_failing_since
                    .get_or_insert(self.now.monotonic_ms);
            }
        }
    }

    pub(super) fn handle_call_result(&mut self, call: u64, result: CallResult) {
        let Some(what) = self.calls_in_flight.remove(&call) else {
            return;
        };
        let now = self.now.monotonic_ms;
        match what {
            NodeCall::Leader(c) => {
                if c.targets_store() {
                    self.record_store_availability(&result);
                }
                self.with_leader(|leader, context| leader.call_done(context, c, result));
                return;
            }
            NodeCall::FetchCatalog => {
                self.is_fetching_catalog = false;
                match result {
                    Ok((200, body)) => match decode::<Catalog>(&body) {
                        Ok(c) => self.catalog = Some(c),
                        Err(e) => log::warn!("catalogue not understood: {e}"),
                    },
                    other => log::warn!("no catalogue: {}", describe_result(&other)),
                }
                self.next_catalog_fetch_at = now + CLOUD_RETRY_BACKOFF_MS;
                return;
            }
            // A watch that hangs says nothing: during an outage open watches wait. Nor does one that
            // comes after calls have failed: the service may tell us alone, late, what it held
            // back while it refused us, and be away by then.
            NodeCall::Watch if result.is_err() || self.store_failing_since.is_some() => {}
            _ => self.record_store_availability(&result),
        }
        match what {
            NodeCall::List => self.handle_list_page(result),
            NodeCall::Watch => {
                self.is_watching = false;
                match self.apply_changes(result) {
                    Some(true) if self.role == Role::Leader => self.next_watch_at = now,
                    Some(true) => self.next_watch_at = now + FOLLOWER_WATCH_INTERVAL_MS,
                    Some(false) => self.relist(),
                    None => self.next_watch_at = now + STORE_RETRY_BACKOFF_MS,
                }
            }
            NodeCall::ReadBarrier {
                requests: polls,
                sent_at: sent,
            } => {
                self.barriers_in_flight -= 1;
                match self.apply_changes(result) {
                    Some(true) => {
                        self.cancellation_watermark.record_read(sent);
                        for p in polls {
                            self.reply_after_barrier(p);
                        }
                    }
                    Some(false) => {
                        self.relist();
                        self.reply_unavailable_to_all(polls);
                    }
                    None => self.reply_unavailable_to_all(polls),
                }
            }
            NodeCall::CommitUserRequests {
                requests: batch,
                size,
            } => self.handle_user_commit_result(batch, size, result),
            NodeCall::GrantLease => match result {
                Ok((200, body)) => match decode::<LeaseResponse>(&body) {
                    Ok(a) => self.campaign(a.lease_id),
                    Err(e) => {
                        log::warn!("lease answer not understood: {e}");
                        self.set_role(Role::ElectionBackoff {
                            until: now + STORE_RETRY_BACKOFF_MAX_MS,
                        });
                    }
                },
                _ => self.set_role(Role::ElectionBackoff {
                    until: now + STORE_RETRY_BACKOFF_MS,
                }),
            },
            NodeCall::Campaign { lease } => self.handle_campaign_result(lease, result),
            NodeCall::ReadVersionRecords => self.handle_version_records(result),
            NodeCall::StoreVersionRecord => self.handle_version_record_stored(result),
            NodeCall::HeartbeatsViaStore { machines, size } => {
                self.handle_via_store_result(machines, size, result)
            }
            NodeCall::RevokeLease => {}
            NodeCall::FetchCatalog | NodeCall::Leader(_) => {}
        }
    }
}
