//! The queue of provision requests. Each turn sends at most one request. A request is repeated
//! until the cloud grants or refuses it. Request ids contain the leader's term and a number that is
//! never reused, which makes repeating a request idempotent.
use super::cloud_calls::CloudCallLimiter;
use super::offer::MachineOffer;
use super::offer_backoff::OfferBackoffs;
use crate::api::{describe_result, CallResult, Millis};
use crate::calls::AutoscalerCall;
use crate::cluster::{ClusterState, Machine};
use crate::context::LeaderContext;
use std::collections::BTreeMap;
use stonegw_constants::{CLOUD_RETRY_BACKOFF_MS, MAX_MACHINES_PER_PROVISION};
use stonegw_wire::msg::{decode, encode, ErrorBody, MachineIds, ProvisionRequest};

/// Whether a request is waiting to be sent or for its response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ProvisionState {
    /// The request is to be sent at `not_before` or later.
    Due { not_before: Millis },
    /// The request was sent and has no response yet.
    Sent,
}

/// A provision request that the cloud has neither granted nor refused.
#[derive(Debug)]
struct PendingProvision {
    number: u64,
    request: ProvisionRequest,
    state: ProvisionState,
}

impl PendingProvision {
    fn is_due(&self, now: Millis) -> bool {
        matches!(self.state, ProvisionState::Due { not_before } if now >= not_before)
    }

    fn retry_later(&mut self, now: Millis) {
        self.state = ProvisionState::Due {
            not_before: now + CLOUD_RETRY_BACKOFF_MS,
        };
    }
}

/// Machines that the cloud has granted.
pub(super) struct GrantedMachines {
    offer: MachineOffer,
    machine_ids: Vec<String>,
}

/// The outcome of one attempt to send a request.
enum ProvisionOutcome {
    /// The cloud granted these machines, perhaps fewer than requested.
    Granted(Vec<String>),
    /// The cloud has no capacity for the offer, or rejected the request as malformed.
    Refused,
    /// There was no response, or one that neither grants nor refuses the request. It is retried.
    Undecided,
}

/// The provision requests of one leader.
pub(super) struct ProvisionQueue {
    term: u64,
    /// Number of the latest request.
    last_number: u64,
    pending: Vec<PendingProvision>,
    backoffs: OfferBackoffs,
}

impl ProvisionQueue {
    /// Returns an empty queue.
    pub(super) fn new(term: u64) -> Self {
        ProvisionQueue {
            term,
            last_number: 0,
            pending: vec![],
            backoffs: OfferBackoffs::default(),
        }
    }

    /// Returns the requests that are queued or sent and that the cloud has neither granted nor
    /// refused.
    pub(super) fn pending_requests(&self) -> impl Iterator<Item = &ProvisionRequest> {
        self.pending.iter().map(|pending| &pending.request)
    }

    /// Returns `true` if the cloud refused the offer so recently that it must not be requested.
    pub(super) fn is_backed_off(&self, now: Millis, offer: &MachineOffer) -> bool {
        self.backoffs.is_backed_off(now, offer)
    }

    /// Queues requests for the given number of machines of each offer, split by the cloud's limit
    /// on machines per request.
    pub(super) fn enqueue(&mut self, now: Millis, counts: BTreeMap<MachineOffer, u32>) {
        for (offer, count) in counts {
            log::info!("provisioning {count} x {offer}");
            let mut left = count;
            while left > 0 {
                let request_count = left.min(MAX_MACHINES_PER_PROVISION);
                left -= request_count;
                self.enqueue_request(now, &offer, request_count);
            }
        }
    }

    fn enqueue_request(&mut self, now: Millis, offer: &MachineOffer, count: u32) {
        self.last_number += 1;
        let number = self.last_number;
        self.pending.push(PendingProvision {
            number,
            request: ProvisionRequest {
                request_id: format!("t{}-{}", self.term, number),
                machine_type: offer.machine_type.clone(),
                zone: offer.zone.clone(),
                is_spot: offer.is_spot,
                count,
            },
            state: ProvisionState::Due { not_before: now },
        });
    }

    /// Sends the first request that is due.
    pub(super) fn send_next(
        &mut self,
        context: &mut LeaderContext,
        limiter: &mut CloudCallLimiter,
    ) {
        let now = context.now.monotonic_ms;
        let Some(pending) = self.pending.iter_mut().find(|pending| pending.is_due(now)) else {
            return;
        };
        if !limiter.try_take(now) {
            return;
        }
        pending.state = ProvisionState::Sent;
        let call = AutoscalerCall::Provision {
            number: pending.number,
        };
        context.call_cloud(call, "POST", "/hosts", encode(&pending.request));
    }

    /// Handles the result of sending a request. Returns the machines if the request was granted.
    pub(super) fn handle_response(
        &mut self,
        now: Millis,
        number: u64,
        result: CallResult,
    ) -> Option<GrantedMachines> {
        let position = self
            .pending
            .iter()
            .position(|pending| pending.number == number)?;
        let request = &self.pending[position].request;
        let offer = MachineOffer::of_request(request);
        match read_outcome(&offer, result) {
            ProvisionOutcome::Granted(machine_ids) => {
                if (machine_ids.len() as u32) < request.count {
                    self.backoffs.record_refusal(now, offer.clone());
                } else {
                    self.backoffs.clear(&offer);
                }
                self.pending.remove(position);
                Some(GrantedMachines { offer, machine_ids })
            }
            ProvisionOutcome::Refused => {
                self.pending.remove(position);
                self.backoffs.record_refusal(now, offer);
                None
            }
            ProvisionOutcome::Undecided => {
                self.pending[position].retry_later(now);
                None
            }
        }
    }
}

fn read_outcome(offer: &MachineOffer, result: CallResult) -> ProvisionOutcome {
    match result {
        Ok((200, body)) => match decode::<MachineIds>(&body) {
            Ok(granted) => ProvisionOutcome::Granted(granted.machine_ids),
            Err(error) => {
                log::warn!(
                    "malformed response to a provision request for {offer}; retrying: {error}"
                );
                ProvisionOutcome::Undecided
            }
        },
        // This also settles earlier attempts to send the request that got no response.
        Ok((503, body)) if is_no_capacity_error(&body) => {
            log::info!("no capacity for {offer}; not requesting it for a while");
            ProvisionOutcome::Refused
        }
        Ok((400, _)) => {
            log::error!(
                "the cloud rejected a provision request for {offer} as malformed; giving it up"
            );
            ProvisionOutcome::Refused
        }
        other => {
            log::debug!(
                "provision request for {offer} failed; retrying: {}",
                describe_result(&other)
            );
            ProvisionOutcome::Undecided
        }
    }
}

/// Returns `true` if the cloud's error says that it has no capacity for the offer.
fn is_no_capacity_error(body: &[u8]) -> bool {
    decode::<ErrorBody>(body).is_ok_and(|error_body| error_body.error.contains("capacity"))
}

/// Adds granted machines to the cluster state, except for those already known to be deleted.
pub(super) fn add_granted_machines(
    cluster: &mut ClusterState,
    now: Millis,
    granted: GrantedMachines,
) {
    let offer = granted.offer;
    for id in granted.machine_ids {
        if !cluster.deleted_machines.contains_key(&id) {
            cluster.machines.add(&id, || {
                Machine::new(&id, &offer.machine_type, &offer.zone, offer.is_spot, now)
            });
        }
    }
}
