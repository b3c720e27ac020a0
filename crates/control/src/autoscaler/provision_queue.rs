//! Requests for machines: queued, sent one at a time, and repeated until the cloud answers. Their
//! names carry the term and are never reused, so that a repeated request gets nothing twice.
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

/// Whether a request waits to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ProvisionState {
    /// To be sent at this time or later.
    Due { not_before: Millis },
    /// Sent, not answered.
    Sent,
}

/// A request that the cloud has neither granted nor refused.
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

/// What an answer says of a request.
enum ProvisionOutcome {
    /// Granted, perhaps with fewer machines than asked for.
    Granted(Vec<String>),
    /// The cloud has no such machines left, or calls the request malformed.
    Refused,
    /// No answer, or none that decides: the request is repeated.
    Undecided,
}

/// The requests for machines of one leader.
pub(super) struct ProvisionQueue {
    term: u64,
    /// The number of the latest request.
    last_number: u64,
    pending: Vec<PendingProvision>,
    backoffs: OfferBackoffs,
}

impl ProvisionQueue {
    /// An empty queue.
    pub(super) fn new(term: u64) -> Self {
        ProvisionQueue {
            term,
            last_number: 0,
            pending: vec![],
            backoffs: OfferBackoffs::default(),
        }
    }

    /// What has been asked for, or will be, without a decision of the cloud.
    pub(super) fn pending_requests(&self) -> impl Iterator<Item = &ProvisionRequest> {
        self.pending.iter().map(|pending| &pending.request)
    }

    /// Whether the cloud refused the offer so recently that it must not be asked for.
    pub(super) fn is_backed_off(&self, now: Millis, offer: &MachineOffer) -> bool {
        self.backoffs.is_backed_off(now, offer)
    }

    /// Queues so many machines of each offer, in requests of limited size.
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

    /// A request was answered, or no answer came. `Some`: these machines were granted.
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
                log::warn!("malformed answer to a provision request: {error}");
                ProvisionOutcome::Undecided
            }
        },
        // After an attempt without an answer this decides that one as well.
        Ok((503, body)) if is_no_capacity_error(&body) => {
            log::info!("no capacity for {offer}");
            ProvisionOutcome::Refused
        }
        Ok((400, _)) => {
            log::error!("the provision request for {offer} is called malformed");
            ProvisionOutcome::Refused
        }
        other => {
            log::debug!("provision request: {}", describe_result(&other));
            ProvisionOutcome::Undecided
        }
    }
}

/// Whether the cloud's error says that it has no such machine left.
fn is_no_capacity_error(body: &[u8]) -> bool {
    decode::<ErrorBody>(body).is_ok_and(|error_body| error_body.error.contains("capacity"))
}

/// Adds granted machines to the cluster, except for those that are known to be deleted again.
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
