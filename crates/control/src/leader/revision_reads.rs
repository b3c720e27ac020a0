//! Reads the revisions of records whose last write was not acknowledged.
use super::Leader;
use crate::api::CallResult;
use crate::calls::LeaderCall;
use crate::context::LeaderContext;
use crate::pending_write::PendingWrite;
use serde::de::IgnoredAny;
use stonegw_constants::STORE_RETRY_BACKOFF_MS;
use stonegw_wire::msg::{decode, Entry};

impl Leader {
    /// Requests the revision of one record whose last write was not acknowledged, if the read
    /// budget allows it. Returns `false` if there is no such record.
    pub(super) fn read_unacknowledged_revision(&mut self, context: &mut LeaderContext) -> bool {
        let Some(write) = self.writer.unacknowledged_writes.last().cloned() else {
            return false;
        };
        let now = context.now.monotonic_ms;
        if context.read_budget.try_take(now, 1.0) {
            self.writer.request_in_flight = true;
            let path = format!("/kv/{}", write.key());
            context.read_store(LeaderCall::ReadRevision { write }, path);
        }
        true
    }

    /// Processes the response with the revision.
    pub(super) fn read_revision_done(
        &mut self,
        context: &LeaderContext,
        write: PendingWrite,
        result: CallResult,
    ) {
        self.writer.request_in_flight = false;
        let revision = match result {
            Ok((200, body)) => decode::<Entry<IgnoredAny>>(&body)
                .map(|entry| entry.revision)
                .ok(),
            Ok((404, _)) => Some(0),
            _ => None,
        };
        let Some(revision) = revision else {
            self.writer.next_commit_at = context.now.monotonic_ms + STORE_RETRY_BACKOFF_MS;
            return;
        };
        self.writer.unacknowledged_writes.pop();
        if let Some(stored_state) = self.stored_state_of(&write) {
            stored_state.revision = Some(revision);
            stored_state.write_in_flight = false;
            stored_state.dirty = true;
        }
    }
}
