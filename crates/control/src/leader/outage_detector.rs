//! Recognizes outages that concern many machines at once: then the trouble is more likely ours, or
//! a network partition that ends, than the machines'.
use crate::api::Millis;
use crate::cluster::{Lifecycle, Machines};
use std::collections::{BTreeMap, HashMap};
use stonegw_constants::{
    MASS_SILENCE_FRACTION, MASS_SILENCE_MIN_MACHINES, ZONE_PARTITION_FRACTION,
};

/// How many machines there are, and how many of them are not in order.
#[derive(Clone, Copy, Default)]
pub(super) struct MachineCounts {
    /// Machines that count.
    pub(super) total: usize,
    /// Those whose heartbeats stay out.
    pub(super) silent: usize,
    /// Those that commands don't reach.
    pub(super) unreachable: usize,
    /// Those whose heartbeats arrive through the store only.
    pub(super) via_store: usize,
}

impl MachineCounts {
    /// Whether so many of the machines are more than some machines that fail by chance.
    fn is_mass(&self, affected: usize) -> bool {
        affected > MASS_SILENCE_MIN_MACHINES
            && affected as f64 > self.total as f64 * MASS_SILENCE_FRACTION
    }

    /// Whether nearly all the zone's machines are silent or don't reach the leader: most likely
    /// the zone is partitioned, and comes back.
    fn is_zone_partitioned(&self) -> bool {
        let cut_off = self.silent + self.via_store;
        cut_off > MASS_SILENCE_MIN_MACHINES
            && cut_off as f64 >= self.total as f64 * ZONE_PARTITION_FRACTION
    }
}

/// The counts of all machines, and of those in each zone.
pub(super) struct HealthCounts<'a> {
    /// Over all zones.
    pub(super) all: MachineCounts,
    by_zone: HashMap<&'a str, MachineCounts>,
}

impl HealthCounts<'_> {
    /// Counts the machines that sent heartbeats in this term, and those that a predecessor left
    /// with tasks.
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

    /// Whether silent machines are so few that each may have failed by itself.
    pub(super) fn few_are_silent(&self) -> bool {
        self.all.silent <= MASS_SILENCE_MIN_MACHINES
    }
}

/// Until when machines are waited for because many had the same trouble at once.
#[derive(Debug, Default)]
pub(super) struct OutageDetector {
    mass_silence_until: Millis,
    mass_unreachable_until: Millis,
    zones_partitioned_until: BTreeMap<String, Millis>,
}

impl OutageDetector {
    /// Notes an outage among all machines. Its end does not come for all at once: `until` is when
    /// the last should be back.
    pub(super) fn record_outage(&mut self, counts: &HealthCounts, until: Millis) {
        if counts.all.is_mass(counts.all.silent) {
            self.mass_silence_until = until;
        }
        if counts.all.is_mass(counts.all.unreachable) {
            self.mass_unreachable_until = until;
        }
    }

    /// Notes the zones that are most likely partitioned.
    pub(super) fn record_zones(&mut self, counts: &HealthCounts, until: Millis) {
        for (zone, counts) in &counts.by_zone {
            if counts.is_zone_partitioned() {
                let zone = (*zone).to_owned();
                self.zones_partitioned_until.insert(zone, until);
            }
        }
    }

    /// Whether many machines are silent, or were until shortly before.
    pub(super) fn is_mass_silence(&self, now: Millis) -> bool {
        now < self.mass_silence_until
    }

    /// Whether many machines are unreachable, or were until shortly before.
    pub(super) fn is_mass_unreachability(&self, now: Millis) -> bool {
        now < self.mass_unreachable_until
    }

    /// Whether the zone is partitioned, or was until shortly before.
    pub(super) fn is_partitioned(&self, zone: &str, now: Millis) -> bool {
        let until = self.zones_partitioned_until.get(zone);
        until.is_some_and(|until| now < *until)
    }
}
