//! Records of machines that have become larger than a value may be: the limit was lowered, or more was
//! found on their machines than they had room for.
//!
//! Their machines move to new records. The old record stays as it is until all of these are stored,
//! so that every placement stands in some record at any moment; between, it stands in two.
use super::{machine_group_record, ClusterState, MachineGroup, Machines, Phase, StoredState};
use crate::api::Millis;
use std::collections::BTreeSet;
use stonegw_constants::MACHINE_GROUP_OVERHEAD_BYTES;
use stonegw_wire::msg::json_size_bytes;

/// How the machines of a record are divided.
#[derive(Debug, Default, PartialEq)]
struct GroupSplit {
    /// Groups that fit a record each, with room to grow.
    fitting: Vec<BTreeSet<String>>,
    /// Machines that no record has room for, even alone.
    oversized: BTreeSet<String>,
}

fn group_record_bytes(machines: &Machines, group: &BTreeSet<String>) -> usize {
    json_size_bytes(&machine_group_record(machines, group).0)
}

fn divide_group(machines: &Machines, shard: &MachineGroup, value_bytes: usize) -> GroupSplit {
    let mut parts = GroupSplit::default();
    let mut group = BTreeSet::new();
    for id in &shard.machines {
        let alone = BTreeSet::from([id.clone()]);
        if group_record_bytes(machines, &alone) > value_bytes {
            parts.oversized.extend(alone);
            continue;
        }
        group.insert(id.clone());
        // As full as a record may be to take in another machine.
        if group.len() > 1 && group_record_bytes(machines, &group) > value_bytes / 2 {
            group.remove(id);
            parts.fitting.push(std::mem::replace(&mut group, alone));
        }
    }
    if !group.is_empty() {
        parts.fitting.push(group);
    }
    parts
}

impl ClusterState {
    /// Takes over a lower limit for values. Records above it are due, for nothing more can be placed
    /// on their machines before.
    pub(crate) fn lower_max_value_bytes(&mut self, value_bytes: usize) {
        if value_bytes >= self.max_value_bytes {
            return;
        }
        self.max_value_bytes = value_bytes;
        for s in self.machine_groups.values_mut() {
            s.stored_state.stale |= s.estimated_bytes > value_bytes;
        }
    }

    /// Divides the records that are due and too large to be written.
    pub(crate) fn split_oversized_groups(&mut self) {
        let most = self.max_value_bytes;
        let large = |s: &MachineGroup| {
            s.needs_write()
                && s.estimated_bytes > most
                && s.stored_state.revision.is_some()
                && !s.stored_state.write_in_flight
        };
        let found = self.machine_groups.iter().filter(|(_, s)| large(s));
        let numbers: Vec<u32> = found.map(|(n, _)| *n).collect();
        for number in numbers {
            let Some(shard) = self.machine_groups.get(&number) else {
                continue;
            };
            let size = group_record_bytes(&self.machines, &shard.machines);
            if size > most {
                self.split_group(number, size);
            }
        }
    }

    fn split_group(&mut self, number: u32, size: usize) {
        let Some(old) = self.machine_groups.get_mut(&number) else {
            return;
        };
        let parts = divide_group(&self.machines, old, self.max_value_bytes);
        let (urgent, since) = (old.is_urgent, old.dirty_since);
        old.estimated_bytes = size + MACHINE_GROUP_OVERHEAD_BYTES;
        old.machines.clone_from(&parts.oversized);
        old.is_urgent = false;
        // What remains has nothing to write before it changes again; an empty one is to be deleted.
        old.stored_state.dirty = false;
        old.stored_state.stale = parts.oversized.is_empty();
        let mut successors = BTreeSet::new();
        for group in parts.fitting {
            successors.insert(self.add_machine_group(group, urgent, since));
        }
        log::info!("record {number} of machines takes {size} bytes; moved to {successors:?}");
        // Whoever waits for this record waits for all that takes its place.
        for (n, s) in &mut self.machine_groups {
            if *n == number || s.successors.contains(&number) {
                s.successors.extend(&successors);
            }
        }
        for id in parts.oversized {
            log::warn!("what is on {id} fits no record; nothing more is placed there");
            self.withdraw_unstored(&id);
        }
    }

    /// A new record for machines that have had another.
    fn add_machine_group(
        &mut self,
        machines: BTreeSet<String>,
        urgent: bool,
        since: Millis,
    ) -> u32 {
        let number = self.free_group_number();
        let (record, _) = machine_group_record(&self.machines, &machines);
        let mut shard = MachineGroup::new(StoredState::absent());
        shard.estimated_bytes += json_size_bytes(&record);
        shard.jobs = record.jobs.into_iter().map(|row| row.job).collect();
        shard.is_urgent = urgent;
        shard.dirty_since = since;
        shard.stored_state.dirty = true;
        for id in &machines {
            if let Some(mut m) = self.machines.edit(id) {
                m.machine_group = Some(number);
            }
        }
        shard.machines = machines;
        self.machine_groups.insert(number, shard);
        number
    }

    /// The lowest number that no record has, stored or not.
    pub(crate) fn free_group_number(&self) -> u32 {
        let mut numbers = 0..;
        let free = numbers.find(|n| !self.machine_groups.contains_key(n));
        free.unwrap_or(u32::MAX)
    }

    /// Tasks that wait for a first write which can't be made wait for another machine instead.
    fn withdraw_unstored(&mut self, id: &str) {
        let Some(mut m) = self.machines.edit(id) else {
            return;
        };
        let mut back = vec![];
        m.placements.retain(|p| {
            let unstored = p.phase == Phase::Unstored;
            if unstored {
                back.push((p.job.clone(), p.index));
            }
            !unstored
        });
        drop(m);
        for (job, index) in back {
            self.requeue_task(&job, index);
        }
    }

    /// A record was stored: those whose machines it took over need not wait for it any more.
    pub(crate) fn clear_stored_successor(&mut self, number: u32) {
        for s in self.machine_groups.values_mut() {
            s.successors.remove(&number);
        }
    }

    /// A machine stands in two stored records: a predecessor's process ended between the writes of a
    /// split. One of them, the smaller if one is too large, goes on to tell of it; the other is
    /// rewritten without it only after that one holds what both do.
    pub(crate) fn resolve_duplicate_machine(
        &mut self,
        now: Millis,
        machine: &str,
        first: u32,
        second: u32,
    ) {
        let most = self.max_value_bytes;
        let large = |n: u32| {
            self.machine_groups
                .get(&n)
                .is_some_and(|s| s.estimated_bytes > most)
        };
        let (keeper, other) = match large(first) && !large(second) {
            true => (second, first),
            false => (first, second),
        };
        if let Some(s) = self.machine_groups.get_mut(&keeper) {
            s.machines.insert(machine.to_owned());
            if !s.stored_state.dirty {
                s.dirty_since = now;
            }
            s.stored_state.dirty = true;
        }
        if let Some(s) = self.machine_groups.get_mut(&other) {
            s.machines.remove(machine);
            s.successors.insert(keeper);
            s.stored_state.stale = true;
        }
        if let Some(mut m) = self.machines.edit(machine) {
            m.machine_group = Some(keeper);
        }
    }
}
