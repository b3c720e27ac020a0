//! Users' requests that wait for the state service.
use crate::api::Millis;
use stonegw_wire::msg::JobSpec;

/// What a user asks for.
pub(super) enum UserRequest {
    Poll(String),
    Submit(Box<JobSpec>),
    Cancel(String),
}

/// A user's request that waits for the state service.
pub(super) struct PendingRequest {
    pub(super) id: u64,
    pub(super) request: UserRequest,
    pub(super) expires_at: Millis,
    /// Times it went through a store; bounds a quarrel over one key.
    pub(super) commit_attempts: u8,
}
