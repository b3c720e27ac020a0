//! The cloud's catalogue of machine types: read from time to time, since prices change.
use super::AutoscalerTurn;
use crate::api::{CallResult, Millis};
use crate::calls::AutoscalerCall;
use crate::context::LeaderContext;
use stonegw_constants::{CATALOG_READ_INTERVAL_MS, CLOUD_RETRY_BACKOFF_MS};
use stonegw_wire::msg::{decode, Catalog};

impl AutoscalerTurn<'_> {
    /// Reads the catalogue when it is time.
    pub(super) fn request_catalog(&mut self, context: &mut LeaderContext) {
        let now = context.now.monotonic_ms;
        if now >= self.autoscaler.next_catalog_at
            && !self.autoscaler.is_catalog_in_flight
            && self.try_take_cloud_call(now)
        {
            self.autoscaler.is_catalog_in_flight = true;
            context.call_cloud(AutoscalerCall::ReadCatalog, "GET", "/catalog", vec![]);
        }
    }

    /// The catalogue came, or is to be asked for again soon.
    pub(super) fn catalog_done(&mut self, now: Millis, result: CallResult) {
        self.autoscaler.is_catalog_in_flight = false;
        self.autoscaler.next_catalog_at = now + CLOUD_RETRY_BACKOFF_MS * 2;
        if let Ok((200, body)) = result {
            match decode::<Catalog>(&body) {
                Ok(catalog) => {
                    self.cluster.catalog = catalog;
                    self.autoscaler.next_catalog_at = now + CATALOG_READ_INTERVAL_MS;
                }
                Err(e) => log::warn!("catalogue not understood: {e}"),
            }
        }
    }
}
