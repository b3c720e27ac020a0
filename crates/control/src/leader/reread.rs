//! Reads the stamps of records whose last write is in doubt.
use super::*;

impl Leader {
    /// Reads the stamp of one key whose last write is in doubt.
    pub(super) fn reread(&mut self, ctx: &mut Ctx) -> bool {
        let now = ctx.now.ms;
        let Some(item) = self.doubts.last().cloned() else {
            return false;
        };
        if ctx.reads.take(now, 1.0) {
            self.rereading = true;
            let path = format!("/kv/{}", item_key(&item));
            ctx.read(Call::Reread { item }, path);
        }
        true
    }

    /// Takes the stamp that was read.
    pub(super) fn reread_done(&mut self, ctx: &Ctx, item: Item, result: CallResult) {
        self.rereading = false;
        let version = match result {
            Ok((200, body)) => decode::<Entry<serde::de::IgnoredAny>>(&body)
                .map(|e| e.version)
                .ok(),
            Ok((404, _)) => Some(0),
            _ => None,
        };
        match version {
            Some(v) => {
                self.doubts.pop();
                if let Some(s) = self.stored_of(&item) {
                    s.version = Some(v);
                    s.writing = false;
                    s.dirty = true;
                }
            }
            None => self.flush_at = ctx.now.ms + k::STATE_RETRY_MS,
        }
    }
}
