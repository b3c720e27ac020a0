//! Adds to a transaction the machine-group records that are due.
use super::transaction_builder::TransactionBuilder;
use super::Leader;
use crate::api::Millis;
use crate::cluster::{machine_group_snapshot, MachineGroup, MachineGroupSnapshot};
use crate::pending_write::PendingWrite;
use crate::records::{machine_group_key, StoredRecord};
use std::collections::{BTreeMap, BTreeSet};
use stonegw_constants::MACHINE_GROUP_OVERHEAD_BYTES;
use stonegw_wire::msg::json_size_bytes;

/// The outcome of adding a group's record to a transaction.
#[derive(PartialEq)]
enum GroupWrite {
    /// The record is in the transaction, or remains due.
    AddedOrDeferred,
    /// The group has neither tasks nor a stored record.
    NoRecordNeeded,
}

/// Returns the groups whose records are to be written, those that have waited longest first. If
/// they were written in the order of their numbers, the last groups would starve while the first
/// ones keep changing.
fn groups_to_write(
    groups: &BTreeMap<u32, MachineGroup>,
    is_due: fn(&MachineGroup) -> bool,
) -> Vec<u32> {
    let may_write = |group: &MachineGroup| {
        // The machines that a successor took over may be removed from this group's record only
        // after the successor's record is stored.
        let mut successors = group.successors.iter();
        group.stored_state.revision.is_some()
            && !group.stored_state.write_in_flight
            && !successors.any(|number| groups.contains_key(number))
    };
    let mut order: Vec<(Millis, u32)> = groups
        .iter()
        .filter(|(_, group)| is_due(group) && may_write(group))
        .map(|(number, group)| (group.dirty_since, *number))
        .collect();
    order.sort_unstable();
    order.into_iter().map(|(_, number)| number).collect()
}

impl Leader {
    /// Adds the records of the groups that `is_due` selects, as far as they fit.
    pub(super) fn add_machine_group_writes(
        &mut self,
        transaction: &mut TransactionBuilder,
        is_due: fn(&MachineGroup) -> bool,
    ) {
        let mut empty_groups = vec![];
        for number in groups_to_write(&self.cluster.machine_groups, is_due) {
            // Once the transaction is full, the other records need not be built.
            if transaction.has_no_write_left() {
                transaction.is_full = true;
                break;
            }
            if self.add_machine_group_write(transaction, number) == GroupWrite::NoRecordNeeded {
                empty_groups.push(number);
            }
        }
        for number in empty_groups {
            if let Some(group) = self.cluster.machine_groups.remove(&number) {
                self.leave_group(group.machines);
            }
        }
    }

    /// Adds the record of one group, or its deletion if no machine of the group has tasks.
    fn add_machine_group_write(
        &mut self,
        transaction: &mut TransactionBuilder,
        number: u32,
    ) -> GroupWrite {
        let Some(group) = self.cluster.machine_groups.get_mut(&number) else {
            return GroupWrite::AddedOrDeferred;
        };
        let Some(revision) = group.stored_state.revision else {
            return GroupWrite::AddedOrDeferred;
        };
        let MachineGroupSnapshot {
            record,
            new_placements,
        } = machine_group_snapshot(&self.cluster.machines, &group.machines);
        let size = json_size_bytes(&record);
        let estimated_bytes = size + MACHINE_GROUP_OVERHEAD_BYTES;
        // The size of the record was estimated too low. With the corrected estimate the next commit
        // splits the group.
        if size > self.cluster.max_value_bytes {
            group.estimated_bytes = estimated_bytes;
            return GroupWrite::AddedOrDeferred;
        }
        let machines: BTreeSet<String> = record
            .machines
            .iter()
            .map(|row| row.machine.clone())
            .collect();
        let jobs = record.jobs.iter().map(|row| row.job.clone()).collect();
        let machine_group = number;
        let (value, write) = if !machines.is_empty() {
            let write = PendingWrite::MachineGroup {
                machine_group,
                new_placements,
            };
            (Some(StoredRecord::MachineGroup(record)), write)
        } else if revision != 0 {
            (None, PendingWrite::DeleteMachineGroup { machine_group })
        } else {
            return GroupWrite::NoRecordNeeded;
        };
        if !transaction.add_write(machine_group_key(number), revision, value, write) {
            return GroupWrite::AddedOrDeferred;
        }
        group.estimated_bytes = estimated_bytes;
        group.jobs = jobs;
        group.stored_state.dirty = false;
        group.stored_state.stale = false;
        group.stored_state.write_in_flight = true;
        group.is_urgent = false;
        // Machines without tasks need no record and may join another group.
        let mut previous = std::mem::replace(&mut group.machines, machines);
        previous.retain(|machine_id| !group.machines.contains(machine_id));
        self.leave_group(previous);
        GroupWrite::AddedOrDeferred
    }

    /// Removes the machines' references to their group.
    fn leave_group(&mut self, machine_ids: BTreeSet<String>) {
        for machine_id in machine_ids {
            if let Some(mut machine) = self.cluster.machines.edit(&machine_id) {
                machine.machine_group = None;
            }
        }
    }
}

#[cfg(test)]
#[path = "machine_group_records_tests.rs"]
mod tests;
