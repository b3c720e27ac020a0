//! Requests of users and workers to the nodes, and who waits for the replies.
use crate::checks::EdgeCaseRequest;
use crate::stand_ins::Ms;
use std::collections::BTreeMap;

/// Who waits for the reply to a request.
pub(super) enum Requester {
    /// The worker of that machine, with a heartbeat.
    Worker(String),
    /// The job's user, with its submission.
    Submit(String),
    /// The job's user, with a question.
    Poll(String),
    /// The job's user, with a cancel.
    Cancel(String),
    /// Nobody; the reply is logged.
    LogOnly,
    /// A check of what the node replies.
    EdgeCase {
        request: EdgeCaseRequest,
        job_id: String,
        sent_at: Ms,
    },
}

/// The requests that have not been answered.
#[derive(Default)]
pub(super) struct PendingRequests {
    requesters: BTreeMap<u64, Requester>,
    last_id: u64,
}

impl PendingRequests {
    /// The id of a new request.
    pub(super) fn allocate_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Somebody waits for the reply to that request.
    pub(super) fn insert(&mut self, request_id: u64, requester: Requester) {
        self.requesters.insert(request_id, requester);
    }

    /// A new request with its requester.
    pub(super) fn add(&mut self, requester: Requester) -> u64 {
        let request_id = self.allocate_id();
        self.insert(request_id, requester);
        request_id
    }

    /// Nobody waits for the reply any more; returns who did.
    pub(super) fn remove(&mut self, request_id: u64) -> Option<Requester> {
        self.requesters.remove(&request_id)
    }

    /// Whether the request is a worker's heartbeat.
    pub(super) fn is_heartbeat(&self, request_id: u64) -> bool {
        let requester = self.requesters.get(&request_id);
        matches!(requester, Some(Requester::Worker(_)))
    }
}
