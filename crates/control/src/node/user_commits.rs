//! Stores users' submissions and cancellations, many of them in one transaction.
use super::calls::StoreCall;
use super::commit_batch::{CommitBatch, JobWrite};
use super::job_status::job_status_without_counts;
use super::pending_request::{PendingRequest, UserRequest};
use super::responses::decode_success;
use super::Node;
use crate::api::{describe_result, CallResult, Millis};
use crate::records::{job_key, JobRecord};
use crate::store_limits::TransactionSize;
use stonegw_constants::{STORE_RETRY_BACKOFF_MS, SUBMISSION_TIMEOUT_MS};
use stonegw_wire::msg::{decode, json_size_bytes, JobPhase, JobSpec, TxnResponse};

/// Maximum number of transactions in flight.
const MAX_COMMITS_IN_FLIGHT: usize = 2;
/// Number of conflicts up to which a request is retried. It is rejected at the next conflict, which
/// bounds the contention for one key.
const MAX_COMMIT_CONFLICTS: u8 = 5;

/// The requests that wait for the next transaction, and the earliest time to send it.
#[derive(Default)]
pub(super) struct UserCommits {
    waiting: Vec<PendingRequest>,
    in_flight: usize,
    next_at: Millis,
}

impl UserCommits {
    /// Adds a request for the next transaction.
    pub(super) fn enqueue(&mut self, pending: PendingRequest) {
        self.waiting.push(pending);
    }

    /// Returns the requests that wait for the next transaction.
    pub(super) fn waiting_mut(&mut self) -> &mut Vec<PendingRequest> {
        &mut self.waiting
    }

    fn is_due(&self, now: Millis) -> bool {
        !self.waiting.is_empty() && self.in_flight < MAX_COMMITS_IN_FLIGHT && now >= self.next_at
    }

    /// Queues the requests of a rejected transaction again, behind the other requests.
    fn retry_later(&mut self, requests: Vec<PendingRequest>, now: Millis) {
        self.next_at = now + STORE_RETRY_BACKOFF_MS;
        self.waiting.extend(requests);
    }
}

impl Node {
    /// Sends a transaction with as many submissions and cancellations as fit, if one may be sent.
    pub(super) fn advance_user_commits(&mut self) {
        let now = self.now.monotonic_ms;
        if !self.user_commits.is_due(now) {
            return;
        }
        let max_writes = (self.write_budget.available(now) as usize)
            .min(self.store_limits.max_transaction_writes());
        if max_writes == 0 {
            return;
        }
        let mut batch = CommitBatch::new(max_writes);
        for pending in std::mem::take(&mut self.user_commits.waiting) {
            let Some(write) = self.prepare_write(&pending.request) else {
                self.read_barriers.enqueue(pending);
                continue;
            };
            if let Err(pending) = batch.try_add(pending, write) {
                self.user_commits.enqueue(pending);
            }
        }
        if !batch.is_empty() {
            self.send_commit(batch);
        }
    }

    /// Returns the write that a request needs, or `None` if the state has changed since the request
    /// was queued, so that it must be checked again after a barrier.
    fn prepare_write(&self, request: &UserRequest) -> Option<JobWrite> {
        match request {
            UserRequest::Submit(spec) => self.prepare_submission(spec),
            UserRequest::Cancel(job_id) => self.prepare_cancellation(job_id),
            UserRequest::Poll(_) => None,
        }
    }

    fn prepare_submission(&self, spec: &JobSpec) -> Option<JobWrite> {
        let record = JobRecord::submitted(spec, self.now.wall_ms);
        let value_bytes = json_size_bytes(&record);
        // A record above the limit is not rejected yet: another node may have accepted the job
        // while values could be larger, which the barrier shows.
        (value_bytes <= self.max_record_bytes()).then(|| JobWrite {
            job_id: spec.id.clone(),
            expected_revision: 0,
            record,
            value_bytes,
        })
    }

    fn prepare_cancellation(&self, job_id: &str) -> Option<JobWrite> {
        let job = self.replica.jobs.get(job_id)?;
        if job.record.end.is_some() {
            return None;
        }
        let record = job.record.cancelled().fit_within(self.max_record_bytes());
        Some(JobWrite {
            job_id: job_id.to_owned(),
            expected_revision: job.revision,
            value_bytes: json_size_bytes(&record),
            record,
        })
    }

    fn send_commit(&mut self, batch: CommitBatch) {
        let now = self.now.monotonic_ms;
        let writes = batch.requests.len() as f64;
        // Users wait for this transaction, so it takes priority over other uses of the budgets.
        self.read_budget.take_unconditionally(now, 1.0);
        self.write_budget.take_unconditionally(now, writes);
        self.user_commits.in_flight += 1;
        let call = StoreCall::CommitUserRequests {
            requests: batch.requests,
            size: batch.size,
        };
        self.send_transaction(call, &batch.txn);
    }

    /// Handles the response to a transaction with these requests.
    pub(super) fn handle_user_commit_result(
        &mut self,
        requests: Vec<PendingRequest>,
        size: TransactionSize,
        result: CallResult,
    ) {
        self.user_commits.in_flight -= 1;
        let now = self.now.monotonic_ms;
        match result {
            Ok((200, _)) => {
                self.store_limits.record_accepted();
                match decode_success::<TxnResponse>(result) {
                    Ok(response) => self.confirm_requests(requests, response.revision),
                    Err(_) => self.reply_unavailable_to_all(requests),
                }
            }
            Ok((409, body)) => {
                let failed_keys = decode::<TxnResponse>(&body)
                    .map(|response| response.failed_keys)
                    .unwrap_or_default();
                self.retry_after_conflict(requests, &failed_keys);
            }
            Ok((429, _)) => {
                self.store_limits.record_rate_rejected();
                self.user_commits.retry_later(requests, now);
            }
            // Most likely the store's limits were lowered: the requests are sent again in smaller
            // transactions until they expire.
            Ok((400, _)) => {
                self.store_limits.record_size_rejected(size);
                self.user_commits.retry_later(requests, now);
            }
            other => {
                log::debug!(
                    "storing users' requests failed, replying 503: {}",
                    describe_result(&other)
                );
                self.reply_unavailable_to_all(requests);
            }
        }
    }

    /// Replies to requests that were stored at this revision.
    fn confirm_requests(&mut self, requests: Vec<PendingRequest>, revision: u64) {
        for pending in &requests {
            match &pending.request {
                UserRequest::Submit(spec) => self.confirm_submission(pending, spec, revision),
                UserRequest::Cancel(job_id) => {
                    self.confirm_cancellation(pending.request_id, job_id, revision);
                }
                UserRequest::Poll(_) => {}
            }
        }
    }

    fn confirm_submission(&mut self, pending: &PendingRequest, spec: &JobSpec, revision: u64) {
        let submitted_at = pending.expires_at.saturating_sub(SUBMISSION_TIMEOUT_MS);
        let took_ms = self.now.monotonic_ms.saturating_sub(submitted_at);
        log::debug!("job {} accepted after {took_ms} ms", spec.id);
        let record = JobRecord::submitted(spec, self.now.wall_ms);
        self.replica.put_job(&spec.id, record, revision);
        let status = job_status_without_counts(&spec.id, JobPhase::Queued);
        self.outbox.reply(pending.request_id, 201, None, &status);
    }

    fn confirm_cancellation(&mut self, request_id: u64, job_id: &str, revision: u64) {
        if let Some(job) = self.replica.jobs.get(job_id) {
            let record = job.record.cancelled();
            self.replica.put_job(job_id, record, revision);
        }
        // Before the user's request is answered, the cancellation is announced to the other nodes,
        // because they serve workers too.
        self.announce_cancellations();
        let status = job_status_without_counts(job_id, JobPhase::Cancelled);
        self.outbox.reply(request_id, 200, None, &status);
    }

    /// Retries the requests of a transaction that conflicted with a write of another node. Requests
    /// for the conflicting keys are checked again after a barrier, the others go into the next
    /// transaction.
    fn retry_after_conflict(&mut self, requests: Vec<PendingRequest>, failed_keys: &[String]) {
        for mut pending in requests {
            pending.commit_conflicts += 1;
            if pending.commit_conflicts > MAX_COMMIT_CONFLICTS {
                self.reply_unavailable(pending.request_id);
            } else if failed_keys.contains(&job_key(pending.request.job_id())) {
                self.read_barriers.enqueue(pending);
            } else {
                self.user_commits.enqueue(pending);
            }
        }
    }
}
