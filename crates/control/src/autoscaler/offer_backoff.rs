//! Exponential backoff for offers that the cloud refused.
use super::offer::MachineOffer;
use crate::api::Millis;
use std::collections::HashMap;
use stonegw_constants::{PROVISION_BACKOFF_MAX_MS, PROVISION_BACKOFF_MS};

/// The backoff of one refused offer.
#[derive(Clone, Copy, Debug)]
struct OfferBackoff {
    /// The offer is not requested before this time.
    retry_at: Millis,
    /// The length of this backoff. The next one is twice as long, up to a maximum.
    backoff_ms: u64,
}

/// The offers that were refused, or granted only in part, since they were last granted in full.
#[derive(Default)]
pub(super) struct OfferBackoffs {
    by_offer: HashMap<MachineOffer, OfferBackoff>,
}

impl OfferBackoffs {
    /// Starts a backoff for an offer that the cloud refused or granted only in part, twice as long
    /// as the last one up to a maximum.
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

    /// Ends the backoff of an offer that the cloud granted in full.
    pub(super) fn clear(&mut self, offer: &MachineOffer) {
        self.by_offer.remove(offer);
    }

    /// Returns `true` if the offer must not be requested yet.
    pub(super) fn is_backed_off(&self, now: Millis, offer: &MachineOffer) -> bool {
        self.by_offer
            .get(offer)
            .is_some_and(|backoff| now < backoff.retry_at)
    }
}
