//! Renting: rentals are queued, sent one at a time, and repeated until they are answered.
use super::{FleetCall, HireState, Offer, Refusal, Renting};
use crate::api::{CallError, CallResult, Ms};
use crate::leader::{Ctx, Leader};
use crate::ledger::Machine;
use crate::node::describe;
use std::collections::BTreeMap;
use stonegw_constants as k;
use stonegw_wire::msg::{decode, encode, ErrorBody, Hire, Machines};

impl Leader {
    /// Queues the rentals in the order of their offers, in requests of limited size: a trace plays the
    /// same each time.
    pub(super) fn queue_rentals(&mut self, now: Ms, rentals: BTreeMap<Offer, u32>) {
        for (offer, mut left) in rentals {
            let Offer {
                machine_type,
                zone,
                spot,
            } = offer;
            log::info!("renting {left} {machine_type} in {zone}, spot {spot}");
            while left > 0 {
                let count = left.min(k::HIRE_MAX);
                left -= count;
                self.fleet.next_hire += 1;
                let number = self.fleet.next_hire;
                self.fleet.renting.push(Renting {
                    number,
                    hire: Hire {
                        request: format!("t{}-{}", self.fleet.term, number),
                        machine_type: machine_type.clone(),
                        zone: zone.clone(),
                        spot,
                        count,
                    },
                    state: HireState::Due { at: now },
                    doubt: false,
                });
            }
        }
    }

    /// Sends the first rental that is due.
    pub(super) fn send_rental(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.ms;
        let due = self
            .fleet
            .renting
            .iter()
            .position(|r| matches!(r.state, HireState::Due { at } if now >= at));
        let Some(at) = due else { return };
        if !self.may_call_cloud(now) {
            return;
        }
        let renting = &mut self.fleet.renting[at];
        renting.state = HireState::Sent;
        let (number, body) = (renting.number, encode(&renting.hire));
        ctx.ask_cloud(FleetCall::Hire(number), "POST", "/hosts", body);
    }

    /// A rental was answered, or no answer came.
    pub(super) fn rental_done(&mut self, now: Ms, number: u64, result: CallResult) {
        let Some(at) = self.fleet.renting.iter().position(|r| r.number == number) else {
            return;
        };
        let offer = {
            let hire = &self.fleet.renting[at].hire;
            Offer {
                machine_type: hire.machine_type.clone(),
                zone: hire.zone.clone(),
                spot: hire.spot,
            }
        };
        match result {
            Ok((200, body)) => self.rental_granted(now, at, offer, &body),
            Ok((503, body)) if !self.fleet.renting[at].doubt && no_capacity(&body) => {
                let key = (&offer.machine_type, &offer.zone, offer.spot);
                log::info!("no capacity for {key:?}");
                self.fleet.renting.remove(at);
                self.refuse(now, offer);
            }
            Ok((400, _)) => {
                let key = (&offer.machine_type, &offer.zone, offer.spot);
                log::error!("rental {key:?} called malformed");
                self.fleet.renting.remove(at);
                self.refuse(now, offer);
            }
            // A refusal after an unanswered try answers for the try as well.
            Ok((503, body)) if no_capacity(&body) => {
                self.fleet.renting.remove(at);
                self.refuse(now, offer);
            }
            other => {
                let renting = &mut self.fleet.renting[at];
                renting.doubt |= matches!(other, Err(CallError::Unknown));
                renting.state = HireState::Due {
                    at: now + k::CLOUD_RETRY_MS,
                };
                log::debug!("rental: {}", describe(&other));
            }
        }
    }

    /// The cloud rented out some machines, perhaps fewer than asked for.
    fn rental_granted(&mut self, now: Ms, at: usize, offer: Offer, body: &[u8]) {
        let Ok(answer) = decode::<Machines>(body) else {
            log::warn!("rental answer not understood");
            self.fleet.renting[at].state = HireState::Due {
                at: now + k::CLOUD_RETRY_MS,
            };
            return;
        };
        let renting = self.fleet.renting.remove(at);
        if (answer.machines.len() as u32) < renting.hire.count {
            self.refuse(now, offer.clone());
        } else {
            self.fleet.refused.remove(&offer);
        }
        for id in answer.machines {
            if !self.deleted.contains_key(&id) {
                self.machines.add(&id, || {
                    Machine::new(&id, &offer.machine_type, &offer.zone, offer.spot, now)
                });
            }
        }
    }

    /// The offer is not asked for again for a while, each time for longer.
    fn refuse(&mut self, now: Ms, offer: Offer) {
        let wait_ms = self
            .fleet
            .refused
            .get(&offer)
            .map_or(k::REFUSED_MS, |r| (r.wait_ms * 2).min(k::REFUSED_MAX_MS));
        let until = now + wait_ms;
        self.fleet.refused.insert(offer, Refusal { until, wait_ms });
    }
}

/// Whether the cloud's error says that it has no such machine left.
fn no_capacity(body: &[u8]) -> bool {
    decode::<ErrorBody>(body).is_ok_and(|e| e.error.contains("capacity"))
}
