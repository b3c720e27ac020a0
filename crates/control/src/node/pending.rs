//! Users' requests that wait for the state service.
use crate::api::Ms;
use stonegw_wire::msg::JobSpec;

/// What a user asks for.
pub(super) enum Ask {
    Poll(String),
    Submit(Box<JobSpec>),
    Cancel(String),
}

/// A user's request that waits for the state service.
pub(super) struct Pending {
    pub(super) id: u64,
    pub(super) ask: Ask,
    pub(super) until: Ms,
    /// Times it went through a store; bounds a quarrel over one key.
    pub(super) tries: u8,
}
