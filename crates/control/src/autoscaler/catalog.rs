//! The cloud's catalogue of machine types, read from time to time since prices change.
use super::cloud_calls::{CloudCallLimiter, PeriodicCall};
use crate::api::{CallResult, Millis};
use crate::calls::AutoscalerCall;
use crate::context::LeaderContext;
use stonegw_constants::{CATALOG_READ_INTERVAL_MS, CLOUD_RETRY_BACKOFF_MS};
use stonegw_wire::msg::{decode, Catalog};

/// Reads the catalogue.
pub(super) struct CatalogReader {
    call: PeriodicCall,
}

impl CatalogReader {
    /// A reader for a new leader, which has been given the catalogue as it was last read.
    pub(super) fn new(now: Millis) -> Self {
        CatalogReader {
            call: PeriodicCall::new(now + CATALOG_READ_INTERVAL_MS),
        }
    }

    /// Asks for the catalogue when it is time.
    pub(super) fn request_if_due(
        &mut self,
        context: &mut LeaderContext,
        limiter: &mut CloudCallLimiter,
    ) {
        if self.call.start_if_due(context.now.monotonic_ms, limiter) {
            context.call_cloud(AutoscalerCall::ReadCatalog, "GET", "/catalog", vec![]);
        }
    }

    /// Takes the answer. `None`: there is none that can be used, and the call is soon repeated.
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
        .inspect_err(|error| log::warn!("malformed catalogue: {error}"))
        .ok()
}
