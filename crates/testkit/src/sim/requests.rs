//! Requests from users and workers to the nodes, and the recipients of the replies.
use crate::checks::EdgeCaseRequest;
use crate::stand_ins::Ms;
use std::collections::BTreeMap;

/// The recipient of the reply to a request.
pub(super) enum Requester {
    /// The worker of this machine, which sent a heartbeat.
    Worker(String),
    /// The job's user, who submitted the job.
    Submit(String),
    /// The job's user, who requested its status.
    Poll(String),
    /// The job's user, who cancelled the job.
    Cancel(String),
    /// No recipient; the reply is only logged.
    LogOnly,
    /// The check of the reply to an edge-case request.
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
    /// Returns the id of a new request.
    pub(super) fn allocate_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Registers the recipient of the reply to a request.
    pub(super) fn insert(&mut self, request_id: u64, requester: Requester) {
        self.requesters.insert(request_id, requester);
    }

    /// Registers a recipient under a new request id and returns the id.
    pub(super) fn add(&mut self, requester: Requester) -> u64 {
        let request_id = self.allocate_id();
        self.insert(request_id, requester);
        request_id
    }

    /// Removes a request and returns the recipient of its reply; a later reply is ignored.
    pub(super) fn remove(&mut self, request_id: u64) -> Option<Requester> {
        self.requesters.remove(&request_id)
    }

    /// Returns whether the request is an unanswered heartbeat of a worker.
    pub(super) fn is_heartbeat(&self, request_id: u64) -> bool {
        let requester = self.requesters.get(&request_id);
        matches!(requester, Some(Requester::Worker(_)))
    }
}
