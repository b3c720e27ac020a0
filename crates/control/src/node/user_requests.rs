//! Handles users' requests for jobs: status polls, submissions and cancellations.
//!
//! A poll waits for a read barrier ([`super::read_barriers`]). A submission that can run waits for
//! a transaction that stores it ([`super::user_commits`]). A cancellation waits for a barrier
//! first, then for a transaction.
use super::admission::AdmissionError;
use super::pending_request::{take_expired, PendingRequest, UserRequest};
use super::Node;
use stonegw_constants::{
    RETRY_AFTER_FEATURE_GATE_S, RETRY_AFTER_OVERLOAD_S, RETRY_AFTER_STORE_FAILURE_S,
};
use stonegw_wire::msg::JobSpec;

impl Node {
    /// Handles a request that has just been received.
    pub(super) fn handle_user_request(&mut self, request_id: u64, request: UserRequest) {
        if let UserRequest::Submit(spec) = &request {
            let is_unavailable = self.is_store_unavailable();
            log::debug!(
                "job {} submitted; store unavailable: {is_unavailable}",
                spec.id
            );
        }
        // A job that has ended does not change any more, so the store need not be read.
        if self.replica.end_of(request.job_id()).is_some() {
            return self.reply_job_status(request_id, request.job_id());
        }
        match request {
            UserRequest::Submit(spec) => self.handle_submission(request_id, spec),
            UserRequest::Poll(_) | UserRequest::Cancel(_) => {
                let now = self.now.monotonic_ms;
                self.queue_for_barrier(PendingRequest::new(request_id, request, now));
            }
        }
    }

    fn handle_submission(&mut self, request_id: u64, spec: Box<JobSpec>) {
        // A submission of a known job is answered with the job's status after a barrier, without
        // any other check.
        if self.replica.jobs.contains_key(&spec.id) {
            return self.queue_for_barrier(self.pending_submission(request_id, spec));
        }
        let Some(catalog) = self.catalog.get() else {
            let retry_after_s = Some(RETRY_AFTER_OVERLOAD_S);
            let reason = "machine types not known yet";
            return self
                .outbox
                .reply_error(request_id, 503, retry_after_s, reason);
        };
        let admission = self.check_admission(&spec, catalog);
        let is_live = self.replica_sync.is_live();
        match admission {
            // Machine types and limits are the same on all nodes, so no other node can have
            // accepted a job that can never run.
            Err(AdmissionError::Infeasible(error)) if is_live && self.is_store_unavailable() => {
                let reason = error.to_string();
                self.outbox.reply_error(request_id, 422, None, &reason);
            }
            _ if !is_live || self.is_store_unavailable() => self.reply_unavailable(request_id),
            // Another node may have accepted the job under other conditions. A barrier shows
            // whether it did before the submission is rejected.
            Err(_) => self.queue_for_barrier(self.pending_submission(request_id, spec)),
            Ok(()) => self.enqueue_submission(self.pending_submission(request_id, spec)),
        }
    }

    fn pending_submission(&self, request_id: u64, spec: Box<JobSpec>) -> PendingRequest {
        let request = UserRequest::Submit(spec);
        PendingRequest::new(request_id, request, self.now.monotonic_ms)
    }

    /// Queues a submission that can run; rejects a gang while the feature gate is closed.
    pub(super) fn enqueue_submission(&mut self, pending: PendingRequest) {
        if pending.request.is_gang_submission() && !self.gangs_enabled() {
            let retry_after_s = Some(RETRY_AFTER_FEATURE_GATE_S);
            let reason = "gangs are taken once every controller runs a release that knows them";
            return self
                .outbox
                .reply_error(pending.request_id, 503, retry_after_s, reason);
        }
        self.user_commits.enqueue(pending);
    }

    /// Rejects expired requests, and sends the transactions and reads for which the others wait.
    pub(super) fn advance_user_requests(&mut self) {
        self.reject_expired_requests();
        self.advance_user_commits();
        self.advance_read_barriers();
    }

    fn reject_expired_requests(&mut self) {
        let now = self.now.monotonic_ms;
        let mut expired = take_expired(self.read_barriers.waiting_mut(), now);
        expired.extend(take_expired(self.user_commits.waiting_mut(), now));
        self.reply_unavailable_to_all(expired);
    }

    /// Replies with the status of a job.
    pub(super) fn reply_job_status(&mut self, request_id: u64, job_id: &str) {
        let status = self.job_status(job_id);
        self.outbox.reply(request_id, 200, None, &status);
    }

    /// Replies that the store is unavailable.
    pub(super) fn reply_unavailable(&mut self, request_id: u64) {
        self.outbox.reply_error(
            request_id,
            503,
            Some(RETRY_AFTER_STORE_FAILURE_S),
            "the state service does not answer",
        );
    }

    /// Replies to all these requests that the store is unavailable.
    pub(super) fn reply_unavailable_to_all(&mut self, requests: Vec<PendingRequest>) {
        for pending in requests {
            self.reply_unavailable(pending.request_id);
        }
    }
}

#[cfg(test)]
#[path = "user_requests_tests.rs"]
mod tests;
