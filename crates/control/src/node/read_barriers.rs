//! Read barriers: a request waits until the replica includes everything that was stored before the
//! request arrived.
//!
//! A barrier is a read of the changes that is sent after the request arrived; all requests that
//! wait at that moment share it. The node also sends barriers for its own needs: they detect that
//! the store is available again, and they advance the cancellation watermark.
use super::admission::AdmissionError;
use super::calls::StoreCall;
use super::pending_request::{PendingRequest, UserRequest};
use super::replica_sync::ChangesOutcome;
use super::role::Role;
use super::Node;
use crate::api::{CallResult, Millis};
use stonegw_constants::{
    READ_BARRIER_INTERVAL_MS, REPLICA_CONFIRM_INTERVAL_MS, STORE_PROBE_INTERVAL_MS,
    STORE_TIMEOUT_MS,
};
use stonegw_wire::msg::JobSpec;

/// Maximum number of barriers in flight. While one hangs, another may still get a response.
const MAX_BARRIERS_IN_FLIGHT: usize = 2;
/// Minimum timeout of a barrier, ms, however soon its requests expire.
const MIN_BARRIER_TIMEOUT_MS: Millis = 100;

/// Long-poll time of a barrier, ms: the store answers at once, whether there are changes or not.
const NO_LONG_POLL_MS: Millis = 0;

/// The requests that wait for the next barrier, and the earliest time to send it.
#[derive(Default)]
pub(super) struct ReadBarriers {
    waiting: Vec<PendingRequest>,
    in_flight: usize,
    next_at: Millis,
}

impl ReadBarriers {
    /// Adds a request, to be handled after the next barrier.
    pub(super) fn enqueue(&mut self, pending: PendingRequest) {
        self.waiting.push(pending);
    }

    /// Returns the requests that wait for the next barrier.
    pub(super) fn waiting_mut(&mut self) -> &mut Vec<PendingRequest> {
        &mut self.waiting
    }

    /// Allows the next barrier to be sent at once, because what the node knows was read before a
    /// pause.
    pub(super) fn resume(&mut self, now: Millis) {
        self.next_at = now;
    }

    /// Returns whether the next barrier has been allowed for this long without being sent.
    fn has_been_idle_for(&self, interval_ms: Millis, now: Millis) -> bool {
        now >= self.next_at + interval_ms
    }

    /// Returns the timeout of the next barrier, ms: the time until the first of its requests
    /// expires, within limits.
    fn timeout_ms(&self, now: Millis) -> Millis {
        self.waiting
            .iter()
            .map(|pending| pending.expires_at - now)
            .min()
            .unwrap_or(STORE_TIMEOUT_MS)
            .clamp(MIN_BARRIER_TIMEOUT_MS, STORE_TIMEOUT_MS)
    }
}

impl Node {
    /// Adds a request for the next barrier. Replies that the store is unavailable if the replica is
    /// not live or the store does not respond.
    pub(super) fn queue_for_barrier(&mut self, pending: PendingRequest) {
        if !self.replica_sync.is_live() || self.is_store_unavailable() {
            return self.reply_unavailable(pending.request_id);
        }
        self.read_barriers.enqueue(pending);
    }

    /// Sends a barrier if one is needed and allowed.
    pub(super) fn advance_read_barriers(&mut self) {
        let now = self.now.monotonic_ms;
        if (self.read_barriers.waiting.is_empty() && !self.is_barrier_needed_by_node())
            || !self.replica_sync.is_live()
            || self.read_barriers.in_flight >= MAX_BARRIERS_IN_FLIGHT
            || now < self.read_barriers.next_at
            || !self.read_budget.try_take(now, 1.0)
        {
            return;
        }
        self.read_barriers.in_flight += 1;
        self.read_barriers.next_at = now + READ_BARRIER_INTERVAL_MS;
        let timeout_ms = self.read_barriers.timeout_ms(now);
        let call = StoreCall::ReadBarrier {
            requests: std::mem::take(&mut self.read_barriers.waiting),
            sent_at: now,
        };
        self.read_replica_changes(call, NO_LONG_POLL_MS, timeout_ms);
    }

    /// Returns whether the node needs a barrier for itself: to probe a store that does not respond,
    /// to confirm the replica, to synchronize after a pause, or to learn which term an observed
    /// token belongs to. While requests are rejected and the watch may hang, only the probe shows
    /// that the store is available again.
    fn is_barrier_needed_by_node(&self) -> bool {
        let is_probe_due = self.store_availability.is_failing()
            && self
                .read_barriers
                .has_been_idle_for(STORE_PROBE_INTERVAL_MS, self.now.monotonic_ms);
        let needs_unread_term =
            !self.knows_observed_tokens() && !self.store_availability.is_failing();
        is_probe_due
            || self.is_confirming_read_due()
            || !self.has_synced_since_pause()
            || needs_unread_term
    }

    /// Returns whether it is time to send a read that confirms that the replica is up to date. The
    /// leader needs such reads because it must not miss a cancellation if its watch hangs. Any
    /// other node needs one if its cancellation watermark lags: if the peers' answers do not
    /// advance the watermark, only a read does.
    fn is_confirming_read_due(&self) -> bool {
        let is_needed =
            self.role == Role::Leader || self.watermark_lag_ms() > REPLICA_CONFIRM_INTERVAL_MS;
        is_needed
            && self
                .read_barriers
                .has_been_idle_for(REPLICA_CONFIRM_INTERVAL_MS, self.now.monotonic_ms)
    }

    /// Handles the response to a barrier, and then the requests that waited for it.
    pub(super) fn handle_read_barrier_result(
        &mut self,
        requests: Vec<PendingRequest>,
        sent_at: Millis,
        result: CallResult,
    ) {
        self.read_barriers.in_flight -= 1;
        match self.apply_changes(result) {
            ChangesOutcome::Applied => {
                self.cancellation_watermark.record_read(sent_at);
                for pending in requests {
                    self.reply_after_barrier(pending);
                }
            }
            ChangesOutcome::RelistNeeded => {
                self.relist();
                self.reply_unavailable_to_all(requests);
            }
            ChangesOutcome::Failed => self.reply_unavailable_to_all(requests),
        }
    }

    /// Handles a request after its barrier, when the replica includes everything stored before the
    /// request arrived.
    fn reply_after_barrier(&mut self, pending: PendingRequest) {
        // The request is rejected although its barrier succeeded: after a pause of the process, the
        // changes may have been read before the pause, and other nodes may have confirmed newer
        // ones since.
        if pending.is_expired(self.now.monotonic_ms) {
            return self.reply_unavailable(pending.request_id);
        }
        let request_id = pending.request_id;
        let job = self.replica.jobs.get(pending.request.job_id());
        match (&pending.request, job) {
            (UserRequest::Submit(spec), None) => match self.admit_unknown_job(spec) {
                Admission::Accepted => self.enqueue_submission(pending),
                Admission::Rejected { status, reason } => {
                    self.outbox.reply_error(request_id, status, None, &reason);
                }
                Admission::Undecided => self.reply_unavailable(request_id),
            },
            (UserRequest::Poll(_) | UserRequest::Cancel(_), None) => {
                self.outbox
                    .reply_error(request_id, 404, None, "no such job");
            }
            (UserRequest::Cancel(_), Some(job)) if job.record.end.is_none() => {
                self.user_commits.enqueue(pending);
            }
            (_, Some(_)) => self.reply_job_status(request_id, pending.request.job_id()),
        }
    }

    /// Decides on a submission whose job was not stored when the barrier was sent.
    fn admit_unknown_job(&self, spec: &JobSpec) -> Admission {
        let Some(catalog) = self.catalog.get() else {
            return Admission::Undecided;
        };
        match self.check_admission(spec, catalog) {
            Ok(()) => Admission::Accepted,
            Err(AdmissionError::Infeasible(error)) => Admission::Rejected {
                status: 422,
                reason: error.to_string(),
            },
            Err(AdmissionError::TooLarge) => Admission::Rejected {
                status: 400,
                reason: "too large".into(),
            },
        }
    }
}

/// The decision on a submission after its barrier.
enum Admission {
    Accepted,
    Rejected {
        status: u16,
        reason: String,
    },
    /// The catalogue of machine types is not known yet.
    Undecided,
}
