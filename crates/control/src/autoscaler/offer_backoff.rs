//! Offers that the cloud refused, and when each may be asked for again.
use super::offer::MachineOffer;
use crate::api::Millis;
use std::collections::HashMap;
use stonegw_constants::{PROVISION_BACKOFF_MAX_MS, PROVISION_BACKOFF_MS};

/// What follows from the cloud's refusal of an offer.
#[derive(Clone, Copy, Debug)]
struct OfferBackoff {
    /// Not asked for before.
    retry_at: Millis,
    /// How long the wait was; the next one is longer.
    backoff_ms: u64,
}

/// The offers that were refused since they were last granted in full.
#[derive(Default)]
pub(super) struct OfferBackoffs {
    by_offer: HashMap<MachineOffer, OfferBackoff>,
}

impl OfferBackoffs {
    /// The cloud has none left: the offer is not asked for for a while, each time for longer.
    pub(super) fn record_refusal(&mut self, now: Millis, offer: MachineOffer) {
        let backoff_ms = self
            .by_offer
            .get(&offer)
            .map_or(PROVISION_BACKOFF_MS, |last| {
                (last.backoff_ms * 2).min(PROVISION_BACKOFF_MAX_MS)
            });
        let backoff = OfferBackoff {
            retry_at: now + backoff_ms,
            backoff_ms,
        };
        self.by_offer.insert(offer, backoff);
    }

    /// The cloud granted all that was asked for.
    pub(super) fn clear(&mut self, offer: &MachineOffer) {
        self.by_offer.remove(offer);
    }

    /// Whether the offer must not be asked for yet.
    pub(super) fn is_backed_off(&self, now: Millis, offer: &MachineOffer) -> bool {
        self.by_offer
            .get(offer)
            .is_some_and(|backoff| now < backoff.retry_at)
    }
}
