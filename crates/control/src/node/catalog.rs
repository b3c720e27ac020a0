//! The catalogue of machine types, which a node reads from the cloud once.
use super::calls::NodeCall;
use super::responses::decode_success;
use super::Node;
use crate::api::{CallResult, Millis, Target};
use stonegw_constants::{CLOUD_RETRY_BACKOFF_MS, CLOUD_TIMEOUT_MS};
use stonegw_wire::msg::Catalog;

/// The catalogue and the state of its fetch. `Missing` -> `FetchInFlight` when a fetch is due;
/// `FetchInFlight` -> `Known`, or back to `Missing` if the fetch fails. `Known` is final: the
/// leader tracks later changes of the catalogue.
pub(super) enum CatalogCache {
    Missing { next_fetch_at: Millis },
    FetchInFlight,
    Known(Catalog),
}

impl CatalogCache {
    /// Creates an empty cache; a fetch is due at once.
    pub(super) fn new() -> CatalogCache {
        CatalogCache::Missing { next_fetch_at: 0 }
    }

    /// Returns the catalogue once it has been read.
    pub(super) fn get(&self) -> Option<&Catalog> {
        match self {
            CatalogCache::Known(catalog) => Some(catalog),
            CatalogCache::Missing { .. } | CatalogCache::FetchInFlight => None,
        }
    }

    fn is_fetch_due(&self, now: Millis) -> bool {
        matches!(self, CatalogCache::Missing { next_fetch_at } if now >= *next_fetch_at)
    }
}

impl Node {
    /// Fetches the catalogue from the cloud if a fetch is due.
    pub(super) fn advance_catalog(&mut self) {
        if !self.catalog.is_fetch_due(self.now.monotonic_ms) {
            return;
        }
        self.catalog = CatalogCache::FetchInFlight;
        let path = "/catalog".into();
        let call_id = self
            .outbox
            .start_call(Target::Cloud, "GET", path, vec![], CLOUD_TIMEOUT_MS);
        self.calls_in_flight.insert(call_id, NodeCall::FetchCatalog);
    }

    /// Handles the response to the catalogue fetch.
    pub(super) fn handle_catalog_result(&mut self, result: CallResult) {
        self.catalog = match decode_success(result) {
            Ok(catalog) => CatalogCache::Known(catalog),
            Err(error) => {
                log::warn!(
                    "reading the catalogue of machine types failed, retrying later: {error}"
                );
                CatalogCache::Missing {
                    next_fetch_at: self.now.monotonic_ms + CLOUD_RETRY_BACKOFF_MS,
                }
            }
        };
    }
}
