//! Reads the cloud's catalogue of machine types periodically, since prices change.
use super::cloud_calls::{CloudCallLimiter, PeriodicCall};
use crate::api::{CallResult, Millis};
use crate::calls::AutoscalerCall;
use crate::context::LeaderContext;
use stonegw_constants::{CATALOG_READ_INTERVAL_MS, CLOUD_RETRY_BACKOFF_MS};
use stonegw_wire::msg::{decode, Catalog};

/// Reads the catalogue periodically.
pub(super) struct CatalogReader {
    call: PeriodicCall,
}

impl CatalogReader {
    /// Returns a reader for a new leader. The first read is due after a full interval, since the
    /// leader starts with the catalogue that its node has read.
    pub(super) fn new(now: Millis) -> Self {
        CatalogReader {
            call: PeriodicCall::new(now + CATALOG_READ_INTERVAL_MS),
        }
    }

    /// Requests the catalogue if that is due.
    pub(super) fn request_if_due(
        &mut self,
        context: &mut LeaderContext,
        limiter: &mut CloudCallLimiter,
    ) {
        if self.call.start_if_due(context.now.monotonic_ms, limiter) {
            context.call_cloud(AutoscalerCall::ReadCatalog, "GET", "/catalog", vec![]);
        }
    }

    /// Handles the response and returns the catalogue, or `None` if the response has no valid one.
    /// The call is then repeated after a shorter wait.
    pub(super) fn handle_response(&mut self, now: Millis, result: CallResult) -> Option<Catalog> {
        let catalog = decode_catalog(result);
        let wait_ms = match catalog {
            Some(_) => CATALOG_READ_INTERVAL_MS,
            None => CLOUD_RETRY_BACKOFF_MS * 2,
        };
        self.call.finish(now + wait_ms);
        catalog
    }
}

fn decode_catalog(result: CallResult) -> Option<Catalog> {
    let Ok((200, body)) = result else {
        return None;
    };
    decode::<Catalog>(&body)
        .inspect_err(|error| log::warn!("malformed catalogue; keeping the previous one: {error}"))
        .ok()
}
