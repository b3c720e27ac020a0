//! How far the copy of the jobs has been read from the state service.
use crate::api::Ms;

/// The copy of `c/`.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Sync {
    /// Not listed yet; pages come in key order.
    Listing {
        after: Option<String>,
        first: Option<u64>,
        retry_at: Ms,
        asked: bool,
    },
    Live,
}
