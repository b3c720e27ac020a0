//! Offers of the cloud: a machine type in a zone, on demand or as a spot instance.
use std::fmt;
use stonegw_wire::msg::{MachineType, ProvisionRequest};

/// A kind of machine that can be provisioned. Requests are queued in the order of offers, which
/// compares the fields in the order of their declaration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct MachineOffer {
    /// Name of the machine type in the catalogue.
    pub(super) machine_type: String,
    /// The zone of the machine.
    pub(super) zone: String,
    /// Whether the machine is a spot instance.
    pub(super) is_spot: bool,
}

impl MachineOffer {
    /// Returns the offer that a request asks for.
    pub(super) fn of_request(request: &ProvisionRequest) -> MachineOffer {
        MachineOffer {
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            is_spot: request.is_spot,
        }
    }
}

impl fmt::Display for MachineOffer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let spot = if self.is_spot { " (spot)" } else { "" };
        write!(f, "{} in {}{spot}", self.machine_type, self.zone)
    }
}

/// An offer with its price.
pub(super) struct PricedOffer {
    /// The offer.
    pub(super) offer: MachineOffer,
    /// Price of one machine per hour.
    pub(super) hourly_price: f64,
}

/// Returns all offers of a machine type, zone by zone, on demand before spot.
pub(super) fn priced_offers(machine_type: &MachineType) -> impl Iterator<Item = PricedOffer> + '_ {
    machine_type.zones.iter().flat_map(move |zone| {
        [false, true].into_iter().filter_map(move |is_spot| {
            Some(PricedOffer {
                hourly_price: hourly_price(machine_type, is_spot)?,
                offer: MachineOffer {
                    machine_type: machine_type.name.clone(),
                    zone: zone.clone(),
                    is_spot,
                },
            })
        })
    })
}

/// Returns the price per hour on demand or as a spot instance, or `None` if the machine type is not
/// offered as a spot instance.
fn hourly_price(machine_type: &MachineType, is_spot: bool) -> Option<f64> {
    if is_spot {
        machine_type.hourly_spot_price
    } else {
        Some(machine_type.hourly_price)
    }
}
