//! Reads the stamps of records whose last write is in doubt.
use super::*;
use stonegw_constants::STORE_RETRY_BACKOFF_MS;

impl Leader {
    /// Reads the stamp of one key whose last write is in doubt.
    pub(super) fn read_unacknowledged_revision(&mut self, context: &mut LeaderContext) -> bool {
        let now = context.now.monotonic_ms;
        let Some(item) = self.unacknowledged_writes.last().cloned() else {
            return false;
        };
        if context.read_budget.try_take(now, 1.0) {
            self.revision_read_in_flight = true;
            let path = format!("/kv/{}", pending_write_key(&item));
            context.read_store(LeaderCall::ReadRevision { write: item }, path);
        }
        true
    }

    /// Takes the stamp that was read.
    pub(super) fn read_revision_done(
        &mut self,
        context: &LeaderContext,
        item: PendingWrite,
        result: CallResult,
    ) {
        self.revision_read_in_flight = false;
        let version = match result {
            Ok((200, body)) => decode::<Entry<serde::de::IgnoredAny>>(&body)
                .map(|e| e.revision)
                .ok(),
            Ok((404, _)) => Some(0),
            _ => None,
        };
        match version {
            Some(v) => {
                self.unacknowledged_writes.pop();
                if let Some(s) = self.stored_state_of(&item) {
                    s.revision = Some(v);
                    s.write_in_flight = false;
                    s.dirty = true;
                }
            }
            None => self.next_commit_at = context.now.monotonic_ms + STORE_RETRY_BACKOFF_MS,
        }
    }
}
