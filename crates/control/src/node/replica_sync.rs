//! How far the copy of the jobs has been read from the state service.
use crate::api::Millis;

/// The copy of `c/`.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ReplicaSync {
    /// Not listed yet; pages come in key order.
    Listing {
        start_after: Option<String>,
        first_page_revision: Option<u64>,
        retry_at: Millis,
        request_in_flight: bool,
    },
    Live,
}
