//! Hands the answer of each call to the part of the node that made it.
use super::*;

impl Node {
    /// Notes whether the state service answers.
    fn state_seen(&mut self, result: &CallResult) {
        match result {
            Ok((status, _)) if *status != 503 && *status != 429 => {
                self.state_ok_at = self.now.ms;
                self.state_failed_at = None;
            }
            Ok((429, _)) => {}
            _ => {
                self.state_failed_at.get_or_insert(self.now.ms);
            }
        }
    }

    pub(super) fn call_done(&mut self, call: u64, result: CallResult) {
        let Some(what) = self.calls.remove(&call) else {
            return;
        };
        let now = self.now.ms;
        match what {
            Call::Leader(c) => {
                if c.is_state() {
                    self.state_seen(&result);
                }
                self.run_leader(|leader, ctx| leader.call_done(ctx, c, result));
                return;
            }
            Call::Catalog => {
                self.catalog_asked = false;
                match result {
                    Ok((200, body)) => match decode::<Catalog>(&body) {
                        Ok(c) => self.catalog = Some(c),
                        Err(e) => log::warn!("catalogue not understood: {e}"),
                    },
                    other => log::warn!("no catalogue: {}", describe(&other)),
                }
                self.catalog_at = now + k::CLOUD_RETRY_MS;
                return;
            }
            // A watch that hangs says nothing: during an outage open watches wait. Nor does one that
            // comes after calls have failed: the service may tell us alone, late, what it held
            // back while it refused us, and be away by then.
            Call::Watch if result.is_err() || self.state_failed_at.is_some() => {}
            _ => self.state_seen(&result),
        }
        match what {
            Call::List => self.listed(result),
            Call::Watch => {
                self.watching = false;
                match self.changes(result) {
                    Some(true) if self.role == Role::Leading => self.watch_at = now,
                    Some(true) => self.watch_at = now + k::WATCH_GAP_MS,
                    Some(false) => self.relist(),
                    None => self.watch_at = now + k::STATE_RETRY_MS,
                }
            }
            Call::Barrier { polls, sent } => {
                self.barriers -= 1;
                match self.changes(result) {
                    Some(true) => {
                        self.coverage.read(sent);
                        for p in polls {
                            self.answer(p);
                        }
                    }
                    Some(false) => {
                        self.relist();
                        self.give_up(polls);
                    }
                    None => self.give_up(polls),
                }
            }
            Call::Store { batch, size } => self.stored(batch, size, result),
            Call::Grant => match result {
                Ok((200, body)) => match decode::<LeaseAnswer>(&body) {
                    Ok(a) => self.claim(a.lease),
                    Err(e) => {
                        log::warn!("lease answer not understood: {e}");
                        self.set_role(Role::Waiting {
                            until: now + k::STATE_RETRY_MAX_MS,
                        });
                    }
                },
                _ => self.set_role(Role::Waiting {
                    until: now + k::STATE_RETRY_MS,
                }),
            },
            Call::Claim { lease } => self.claimed(lease, result),
            Call::ReadReleases => self.releases_read(result),
            Call::RecordRelease => self.release_recorded(result),
            Call::ReportsViaState { machines, size } => {
                self.stored_via_state(machines, size, result)
            }
            Call::Release => {}
            Call::Catalog | Call::Leader(_) => {}
        }
    }
}

/// An answer in words, for the log.
pub(crate) fn describe(result: &CallResult) -> String {
    match result {
        Ok((status, _)) => format!("status {status}"),
        Err(e) => format!("{e:?}"),
    }
}
