//! Detects outages that affect many machines at once. The cause is then more likely a fault of this
//! node, or a network partition that will heal, than the machines themselves.
use crate::api::Millis;
use crate::cluster::{Lifecycle, Machines};
use std::collections::{BTreeMap, HashMap};
use stonegw_constants::{
    MASS_SILENCE_FRACTION, MASS_SILENCE_MIN_MACHINES, ZONE_PARTITION_FRACTION,
};

/// The number of machines, and how many of them have a problem.
#[derive(Clone, Copy, Default)]
pub(super) struct MachineCounts {
    /// The total number of machines that are counted.
    pub(super) total: usize,
    /// Machines whose heartbeats have been missing for too long.
    pub(super) silent: usize,
    /// Machines that commands do not reach.
    pub(super) unreachable: usize,
    /// Machines whose heartbeats arrive only through the store; silent ones do not count.
    pub(super) via_store: usize,
}

impl MachineCounts {
    /// Returns `true` if too many machines are affected for independent failures to be the cause.
    fn is_mass_outage(&self, affected: usize) -> bool {
        affected > MASS_SILENCE_MIN_MACHINES
            && affected as f64 > self.total as f64 * MASS_SILENCE_FRACTION
    }

    /// Returns `true` if nearly all machines of the zone are silent or reach the leader only
    /// through the store. Most likely the zone is partitioned then, and will recover.
    fn is_zone_partitioned(&self) -> bool {
        let cut_off = self.silent + self.via_store;
        cut_off > MASS_SILENCE_MIN_MACHINES
            && cut_off as f64 >= self.total as f64 * ZONE_PARTITION_FRACTION
    }
}

/// The counts over all machines and for each zone.
pub(super) struct HealthCounts<'a> {
    /// The counts over all zones.
    pub(super) all: MachineCounts,
    by_zone: HashMap<&'a str, MachineCounts>,
}

impl HealthCounts<'_> {
    /// Counts the machines that have sent a heartbeat in this term, and those that were loaded
    /// with tasks from an earlier leader's records. Terminating machines do not count.
    pub(super) fn of_machines(
        machines: &Machines,
        now: Millis,
        heartbeat_interval_s: f64,
    ) -> HealthCounts<'_> {
        let mut all = MachineCounts::default();
        let mut by_zone: HashMap<&str, MachineCounts> = HashMap::new();
        for machine in machines.values() {
            let is_known = machine.last_heartbeat_at.is_some() || machine.loaded_from_store;
            if !is_known || machine.lifecycle == Lifecycle::Terminating {
                continue;
            }
            let is_silent = machine.is_silent(now, heartbeat_interval_s);
            for counts in [&mut all, by_zone.entry(&machine.zone).or_default()] {
                counts.total += 1;
                counts.silent += usize::from(is_silent);
                counts.unreachable += usize::from(machine.is_unreachable());
                counts.via_store += usize::from(machine.via_store && !is_silent);
            }
        }
        HealthCounts { all, by_zone }
    }

    /// Returns `true` if so few machines are silent that each may have failed independently.
    pub(super) fn few_are_silent(&self) -> bool {
        self.all.silent <= MASS_SILENCE_MIN_MACHINES
    }
}

/// The detected outages and until when each is assumed to last. The timeouts of affected machines
/// are longer until then.
#[derive(Debug, Default)]
pub(super) struct OutageDetector {
    mass_silence_until: Millis,
    mass_unreachable_until: Millis,
    zones_partitioned_until: BTreeMap<String, Millis>,
}

impl OutageDetector {
    /// Records an outage of many machines. Machines recover from an outage at different times:
    /// `until` is when the last one should be back.
    pub(super) fn record_outage(&mut self, counts: &HealthCounts, until: Millis) {
        if counts.all.is_mass_outage(counts.all.silent) {
            self.mass_silence_until = until;
        }
        if counts.all.is_mass_outage(counts.all.unreachable) {
            self.mass_unreachable_until = until;
        }
    }

    /// Records the zones that are most likely partitioned.
    pub(super) fn record_zone_partitions(&mut self, counts: &HealthCounts, until: Millis) {
        for (zone, counts) in &counts.by_zone {
            if counts.is_zone_partitioned() {
                let zone = (*zone).to_owned();
                self.zones_partitioned_until.insert(zone, until);
            }
        }
    }

    /// Returns `true` if many machines are silent, or were until recently.
    pub(super) fn is_mass_silence(&self, now: Millis) -> bool {
        now < self.mass_silence_until
    }

    /// Returns `true` if many machines are unreachable, or were until recently.
    pub(super) fn is_mass_unreachability(&self, now: Millis) -> bool {
        now < self.mass_unreachable_until
    }

    /// Returns `true` if the zone is partitioned, or was until recently.
    pub(super) fn is_partitioned(&self, zone: &str, now: Millis) -> bool {
        let until = self.zones_partitioned_until.get(zone);
        until.is_some_and(|until| now < *until)
    }
}
