//! Splits machine groups whose record has become larger than the store's limit for a value, because
//! the limit was lowered, or because more tasks were found on the machines than the record had
//! capacity for.
//!
//! The machines move to new groups. The old record is not changed until the records of all new
//! groups are stored, so that every placement is in a record at any time. Until then, a placement
//! can be in two records.
use super::{machine_group_snapshot, ClusterState, MachineGroup, Machines, Phase, StoredState};
use crate::api::Millis;
use std::collections::BTreeSet;
use stonegw_constants::MACHINE_GROUP_OVERHEAD_BYTES;
use stonegw_wire::msg::json_size_bytes;

/// The division of a group's machines.
#[derive(Debug, Default, PartialEq)]
struct GroupSplit {
    /// Sets of machines that fit into one record each, with capacity to grow.
    fitting: Vec<BTreeSet<String>>,
    /// Machines that do not fit into a record even alone.
    oversized: BTreeSet<String>,
}

fn group_record_bytes(machines: &Machines, group: &BTreeSet<String>) -> usize {
    json_size_bytes(&machine_group_snapshot(machines, group).record)
}

fn divide_group(
    machines: &Machines,
    machine_group: &MachineGroup,
    max_value_bytes: usize,
) -> GroupSplit {
    let mut split = GroupSplit::default();
    let mut group = BTreeSet::new();
    for id in &machine_group.machines {
        let alone = BTreeSet::from([id.clone()]);
        if group_record_bytes(machines, &alone) > max_value_bytes {
            split.oversized.extend(alone);
            continue;
        }
        group.insert(id.clone());
        // Machines share a record only up to half of the limit, so that it has capacity to grow.
        // `ClusterState::find_machine_group` also uses half of the limit.
        if group.len() > 1 && group_record_bytes(machines, &group) > max_value_bytes / 2 {
            group.remove(id);
            split.fitting.push(std::mem::replace(&mut group, alone));
        }
    }
    if !group.is_empty() {
        split.fitting.push(group);
    }
    split
}

impl ClusterState {
    /// Lowers the limit for the size of a value. Records above the new limit are marked to be
    /// rewritten, because they have no capacity for more tasks until then.
    pub(crate) fn lower_max_value_bytes(&mut self, value_bytes: usize) {
        if value_bytes >= self.max_value_bytes {
            return;
        }
        self.max_value_bytes = value_bytes;
        for group in self.machine_groups.values_mut() {
            group.stored_state.stale |= group.estimated_bytes > value_bytes;
        }
    }

    /// Splits the groups whose records are to be written but are too large.
    pub(crate) fn split_oversized_groups(&mut self) {
        let max_bytes = self.max_value_bytes;
        let may_be_oversized = |group: &MachineGroup| {
            group.needs_write()
                && group.estimated_bytes > max_bytes
                && group.stored_state.revision.is_some()
                && !group.stored_state.write_in_flight
        };
        let numbers: Vec<u32> = self
            .machine_groups
            .iter()
            .filter(|(_, group)| may_be_oversized(group))
            .map(|(number, _)| *number)
            .collect();
        for number in numbers {
            let Some(group) = self.machine_groups.get(&number) else {
                continue;
            };
            let size = group_record_bytes(&self.machines, &group.machines);
            if size > max_bytes {
                self.split_group(number, size);
            }
        }
    }

    fn split_group(&mut self, number: u32, size: usize) {
        let Some(old) = self.machine_groups.get_mut(&number) else {
            return;
        };
        let split = divide_group(&self.machines, old, self.max_value_bytes);
        let (is_urgent, dirty_since) = (old.is_urgent, old.dirty_since);
        old.estimated_bytes = size + MACHINE_GROUP_OVERHEAD_BYTES;
        old.machines.clone_from(&split.oversized);
        old.is_urgent = false;
        // The old group keeps only the oversized machines, and its record is not written until it
        // changes again. If no machine is left, the record is to be deleted.
        old.stored_state.dirty = false;
        old.stored_state.stale = split.oversized.is_empty();
        let mut successors = BTreeSet::new();
        for machines in split.fitting {
            successors.insert(self.add_machine_group(machines, is_urgent, dirty_since));
        }
        log::info!(
            "record of machine group {number} takes {size} bytes; moved to groups {successors:?}"
        );
        // The old group waits for the records of the new groups, and so does every group that waits
        // for the old group's record.
        for (other, group) in &mut self.machine_groups {
            if *other == number || group.successors.contains(&number) {
                group.successors.extend(&successors);
            }
        }
        for machine_id in split.oversized {
            log::warn!("machine {machine_id} fits no record; no more tasks are placed on it");
            self.withdraw_unstored(&machine_id);
        }
    }

    /// Adds a new group of machines that were in another group, and returns its number.
    fn add_machine_group(
        &mut self,
        machines: BTreeSet<String>,
        is_urgent: bool,
        dirty_since: Millis,
    ) -> u32 {
        let number = self.free_group_number();
        let record = machine_group_snapshot(&self.machines, &machines).record;
        let mut group = MachineGroup::new(StoredState::absent());
        group.estimated_bytes += json_size_bytes(&record);
        group.jobs = record.jobs.into_iter().map(|row| row.job).collect();
        group.is_urgent = is_urgent;
        group.dirty_since = dirty_since;
        group.stored_state.dirty = true;
        for machine_id in &machines {
            if let Some(mut machine) = self.machines.edit(machine_id) {
                machine.machine_group = Some(number);
            }
        }
        group.machines = machines;
        self.machine_groups.insert(number, group);
        number
    }

    /// Returns the lowest number that no group uses. Groups whose record is not stored count too.
    pub(crate) fn free_group_number(&self) -> u32 {
        let mut numbers = 0..;
        let free = numbers.find(|number| !self.machine_groups.contains_key(number));
        free.unwrap_or(u32::MAX)
    }

    /// Withdraws the machine's placements that are not stored, because no record can store them,
    /// and makes their tasks pending again.
    fn withdraw_unstored(&mut self, machine_id: &str) {
        let Some(mut machine) = self.machines.edit(machine_id) else {
            return;
        };
        let mut withdrawn = vec![];
        machine.placements.retain(|placement| {
            let is_unstored = placement.phase == Phase::Unstored;
            if is_unstored {
                withdrawn.push(placement.task_key());
            }
            !is_unstored
        });
        drop(machine);
        self.requeue_tasks(withdrawn);
    }

    /// Removes a group whose record was stored from the successors of all groups, which no longer
    /// have to wait for it.
    pub(crate) fn clear_stored_successor(&mut self, number: u32) {
        for group in self.machine_groups.values_mut() {
            group.successors.remove(&number);
        }
    }

    /// Resolves a machine that is in two stored records, because an earlier leader's process ended
    /// between the writes of a split. One of the groups keeps the machine: the second if only the
    /// first is oversized, otherwise the first. The record of the other group is rewritten without
    /// the machine only after the record of the keeping group, with the placements of both, is
    /// stored.
    pub(crate) fn resolve_duplicate_machine(
        &mut self,
        now: Millis,
        machine_id: &str,
        first: u32,
        second: u32,
    ) {
        let max_bytes = self.max_value_bytes;
        let is_oversized = |number: u32| {
            let group = self.machine_groups.get(&number);
            group.is_some_and(|group| group.estimated_bytes > max_bytes)
        };
        let (keeper, other) = if is_oversized(first) && !is_oversized(second) {
            (second, first)
        } else {
            (first, second)
        };
        if let Some(group) = self.machine_groups.get_mut(&keeper) {
            group.machines.insert(machine_id.to_owned());
            group.mark_dirty(now);
        }
        if let Some(group) = self.machine_groups.get_mut(&other) {
            group.machines.remove(machine_id);
            group.successors.insert(keeper);
            group.stored_state.stale = true;
        }
        if let Some(mut machine) = self.machines.edit(machine_id) {
            machine.machine_group = Some(keeper);
        }
    }
}
