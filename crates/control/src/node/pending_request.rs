//! Users' requests that wait for the key-value store.
use crate::api::Millis;
use stonegw_constants::{POLL_TIMEOUT_MS, SUBMISSION_TIMEOUT_MS};
use stonegw_wire::msg::{JobKind, JobSpec};

/// A user's request.
pub(super) enum UserRequest {
    /// Asks for the status of the job with this id.
    Poll(String),
    /// Submits a new job.
    Submit(Box<JobSpec>),
    /// Cancels the job with this id.
    Cancel(String),
}

impl UserRequest {
    /// Returns the id of the job that the request concerns.
    pub(super) fn job_id(&self) -> &str {
        match self {
            UserRequest::Poll(job_id) | UserRequest::Cancel(job_id) => job_id,
            UserRequest::Submit(spec) => &spec.id,
        }
    }

    /// Returns whether the request submits a gang, which earlier versions of the program can't
    /// read.
    pub(super) fn is_gang_submission(&self) -> bool {
        matches!(self, UserRequest::Submit(spec) if spec.kind == JobKind::Gang)
    }
}

/// A user's request that waits for the store.
pub(super) struct PendingRequest {
    /// The number of the HTTP request to answer.
    pub(super) request_id: u64,
    pub(super) request: UserRequest,
    pub(super) expires_at: Millis,
    /// Number of transactions with this request that failed with a conflict.
    pub(super) commit_conflicts: u8,
}

impl PendingRequest {
    /// Creates a request that was received at `now`.
    pub(super) fn new(request_id: u64, request: UserRequest, now: Millis) -> PendingRequest {
        let timeout_ms = match request {
            UserRequest::Poll(_) => POLL_TIMEOUT_MS,
            UserRequest::Submit(_) | UserRequest::Cancel(_) => SUBMISSION_TIMEOUT_MS,
        };
        PendingRequest {
            request_id,
            request,
            expires_at: now + timeout_ms,
            commit_conflicts: 0,
        }
    }

    /// Returns whether the request has timed out.
    pub(super) fn is_expired(&self, now: Millis) -> bool {
        now >= self.expires_at
    }
}

/// Removes and returns the expired requests of a queue. The order of the others may change.
pub(super) fn take_expired(queue: &mut Vec<PendingRequest>, now: Millis) -> Vec<PendingRequest> {
    let mut expired = vec![];
    let mut index = 0;
    while index < queue.len() {
        if queue[index].is_expired(now) {
            expired.push(queue.swap_remove(index));
        } else {
            index += 1;
        }
    }
    expired
}
