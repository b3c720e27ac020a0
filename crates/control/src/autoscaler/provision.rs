//! Renting: rentals are queued, sent one at a time, and repeated until they are answered.
use super::AutoscalerTurn;
use super::{MachineOffer, OfferBackoff, PendingProvision, ProvisionState};
use crate::api::describe_result;
use crate::api::{CallError, CallResult, Millis};
use crate::calls::AutoscalerCall;
use crate::cluster::Machine;
use crate::context::LeaderContext;
use std::collections::BTreeMap;
use stonegw_constants::{
    CLOUD_RETRY_BACKOFF_MS, MAX_MACHINES_PER_PROVISION, PROVISION_BACKOFF_MAX_MS,
    PROVISION_BACKOFF_MS,
};
use stonegw_wire::msg::{decode, encode, ErrorBody, MachineIds, ProvisionRequest};

impl AutoscalerTurn<'_> {
    /// Queues the rentals in the order of their offers, in requests of limited size: a trace plays the
    /// same each time.
    pub(super) fn queue_provisions(&mut self, now: Millis, rentals: BTreeMap<MachineOffer, u32>) {
        for (offer, mut left) in rentals {
            let MachineOffer {
                machine_type,
                zone,
                spot,
            } = offer;
            log::info!("renting {left} {machine_type} in {zone}, spot {spot}");
            while left > 0 {
                let count = left.min(MAX_MACHINES_PER_PROVISION);
                left -= count;
                self.autoscaler.last_provision_number += 1;
                let number = self.autoscaler.last_provision_number;
                self.autoscaler.pending_provisions.push(PendingProvision {
                    number,
                    request: ProvisionRequest {
                        request_id: format!("t{}-{}", self.autoscaler.term, number),
                        machine_type: machine_type.clone(),
                        zone: zone.clone(),
                        is_spot: spot,
                        count,
                    },
                    state: ProvisionState::Due { not_before: now },
                    is_unacknowledged: false,
                });
            }
        }
    }

    /// Sends the first rental that is due.
    pub(super) fn send_provision(&mut self, context: &mut LeaderContext) {
        let now = context.now.monotonic_ms;
        let due = self.autoscaler.pending_provisions.iter().position(
            |r| matches!(r.state, ProvisionState::Due { not_before } if now >= not_before),
        );
        let Some(at) = due else { return };
        if !self.try_take_cloud_call(now) {
            return;
        }
        let renting = &mut self.autoscaler.pending_provisions[at];
        renting.state = ProvisionState::Sent;
        let (number, body) = (renting.number, encode(&renting.request));
        context.call_cloud(AutoscalerCall::Provision(number), "POST", "/hosts", body);
    }

    /// A rental was answered, or no answer came.
    pub(super) fn provision_done(&mut self, now: Millis, number: u64, result: CallResult) {
        let Some(at) = self
            .autoscaler
            .pending_provisions
            .iter()
            .position(|r| r.number == number)
        else {
            return;
        };
        let offer = {
            let hire = &self.autoscaler.pending_provisions[at].request;
            MachineOffer {
                machine_type: hire.machine_type.clone(),
                zone: hire.zone.clone(),
                spot: hire.is_spot,
            }
        };
        match result {
            Ok((200, body)) => self.provision_granted(now, at, offer, &body),
            Ok((503, body))
                if !self.autoscaler.pending_provisions[at].is_unacknowledged
                    && is_no_capacity_error(&body) =>
            {
                let key = (&offer.machine_type, &offer.zone, offer.spot);
                log::info!("no capacity for {key:?}");
                self.autoscaler.pending_provisions.remove(at);
                self.back_off_offer(now, offer);
            }
            Ok((400, _)) => {
                let key = (&offer.machine_type, &offer.zone, offer.spot);
                log::error!("rental {key:?} called malformed");
                self.autoscaler.pending_provisions.remove(at);
                self.back_off_offer(now, offer);
            }
            // A refusal after an unanswered try answers for the try as well.
            Ok((503, body)) if is_no_capacity_error(&body) => {
                self.autoscaler.pending_provisions.remove(at);
                self.back_off_offer(now, offer);
            }
            other => {
                let renting = &mut self.autoscaler.pending_provisions[at];
                renting.is_unacknowledged |= matches!(other, Err(CallError::OutcomeUnknown));
                renting.state = ProvisionState::Due {
                    not_before: now + CLOUD_RETRY_BACKOFF_MS,
                };
                log::debug!("rental: {}", describe_result(&other));
            }
        }
    }

    /// The cloud rented out some machines, perhaps fewer than asked for.
    fn provision_granted(&mut self, now: Millis, at: usize, offer: MachineOffer, body: &[u8]) {
        let Ok(answer) = decode::<MachineIds>(body) else {
            log::warn!("rental answer not understood");
            self.autoscaler.pending_provisions[at].state = ProvisionState::Due {
                not_before: now + CLOUD_RETRY_BACKOFF_MS,
            };
            return;
        };
        let renting = self.autoscaler.pending_provisions.remove(at);
        if (answer.machine_ids.len() as u32) < renting.request.count {
            self.back_off_offer(now, offer.clone());
        } else {
            self.autoscaler.offer_backoffs.remove(&offer);
        }
        for id in answer.machine_ids {
            if !self.cluster.deleted_machines.contains_key(&id) {
                self.cluster.machines.add(&id, || {
                    Machine::new(&id, &offer.machine_type, &offer.zone, offer.spot, now)
                });
            }
        }
    }

    /// The offer is not asked for again for a while, each time for longer.
    fn back_off_offer(&mut self, now: Millis, offer: MachineOffer) {
        let wait_ms = self
            .autoscaler
            .offer_backoffs
            .get(&offer)
            .map_or(PROVISION_BACKOFF_MS, |r| {
                (r.backoff_ms * 2).min(PROVISION_BACKOFF_MAX_MS)
            });
        let until = now + wait_ms;
        self.autoscaler.offer_backoffs.insert(
            offer,
            OfferBackoff {
                retry_at: until,
                backoff_ms: wait_ms,
            },
        );
    }
}

/// Whether the cloud's error says that it has no such machine left.
fn is_no_capacity_error(body: &[u8]) -> bool {
    decode::<ErrorBody>(body).is_ok_and(|e| e.error.contains("capacity"))
}
