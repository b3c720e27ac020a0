//! Boot times as they were seen, by machine type and zone: the catalogue names one, but machines come up
//! much later on some days and within seconds on others.
use crate::leader::Leader;
use std::collections::HashMap;
use stonegw_constants as k;
use stonegw_wire::msg::MachineType;

/// The mean of late of boot times over the catalogue's, by machine type and zone.
#[derive(Clone, Debug, Default)]
pub struct BootTimes(HashMap<(String, String), f64>);

impl BootTimes {
    /// A machine came up after so many seconds, or was given up after them.
    pub fn record(&mut self, machine_type: &MachineType, zone: &str, took_s: f64) {
        let ratio = took_s / machine_type.boot_s.max(1.0);
        let ratio = ratio.clamp(k::BOOT_LEAST_RATIO, k::BOOT_MOST_RATIO);
        let key = (machine_type.name.clone(), zone.to_owned());
        let mean = self.0.entry(key).or_insert(1.0);
        *mean += (ratio - *mean) * k::BOOT_WEIGHT;
    }

    /// Seconds after which a machine is expected to be up.
    pub fn expected_s(&self, machine_type: &MachineType, zone: &str) -> f64 {
        let key = (machine_type.name.clone(), zone.to_owned());
        machine_type.boot_s * self.0.get(&key).copied().unwrap_or(1.0)
    }

    /// Seconds after which its wait is measured: never less than the catalogue says, or one that is as
    /// slow as usual would be given up after a few quick ones.
    pub fn patient_s(&self, machine_type: &MachineType, zone: &str) -> f64 {
        self.expected_s(machine_type, zone).max(machine_type.boot_s)
    }
}

impl Leader {
    /// A machine that this leader rented reported for the first time.
    pub fn machine_booted(&mut self, id: &str) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let (Some(up_at), true) = (machine.up_at, machine.rented) else {
            return;
        };
        let took_s = up_at.saturating_sub(machine.born) as f64 / 1e3;
        if let Some(machine_type) = self.kind(&machine.kind).cloned() {
            let zone = machine.zone.clone();
            self.fleet.boots.record(&machine_type, &zone, took_s);
        }
    }

    /// Seconds that a new machine of the type takes to be up, in the zone where it is quickest.
    pub(super) fn quickest_boot_s(&self, machine_type: &MachineType) -> f64 {
        let boots = &self.fleet.boots;
        let zones = machine_type.zones.iter();
        zones
            .map(|zone| boots.expected_s(machine_type, zone))
            .fold(f64::MAX, f64::min)
    }
}

#[cfg(test)]
#[path = "boots_tests.rs"]
mod tests;
