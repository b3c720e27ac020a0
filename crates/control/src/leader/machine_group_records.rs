//! Puts the records of machines that are due into a transaction.
use super::transaction_builder::TransactionBuilder;
use super::*;
use stonegw_constants::MACHINE_GROUP_OVERHEAD_BYTES;

/// Records to be written, the longest waiting first: by number, the last would wait for ever while
/// the first keep changing.
fn groups_to_write(
    shards: &BTreeMap<u32, MachineGroup>,
    due: fn(&MachineGroup) -> bool,
) -> Vec<u32> {
    // What a successor took over must be stored there before it goes from here.
    let waits = |s: &MachineGroup| s.successors.iter().any(|n| shards.contains_key(n));
    let ready = |s: &MachineGroup| {
        due(s) && s.stored_state.revision.is_some() && !s.stored_state.write_in_flight && !waits(s)
    };
    let ready = shards.iter().filter(|(_, s)| ready(s));
    let mut order: Vec<(Millis, u32)> = ready.map(|(n, s)| (s.dirty_since, *n)).collect();
    order.sort_unstable();
    order.into_iter().map(|(_, n)| n).collect()
}

impl Leader {
    /// Records of machines that `due` chooses, as far as the draft has room.
    pub(super) fn add_machine_group_writes(
        &mut self,
        draft: &mut TransactionBuilder,
        due: fn(&MachineGroup) -> bool,
    ) {
        let mut empty = vec![];
        for number in groups_to_write(&self.cluster.machine_groups, due) {
            // What is already full needs no look at the rest.
            if draft.pending_writes.len() >= draft.max_writes {
                draft.is_full = true;
                break;
            }
            let Some(shard) = self.cluster.machine_groups.get_mut(&number) else {
                continue;
            };
            let Some(version) = shard.stored_state.revision else {
                continue;
            };
            let (record, new) = machine_group_record(&self.cluster.machines, &shard.machines);
            let size = json_size_bytes(&record);
            // Its bytes were counted too low; the next flush divides it.
            if size > self.cluster.max_value_bytes {
                shard.estimated_bytes = size + MACHINE_GROUP_OVERHEAD_BYTES;
                continue;
            }
            let n = number;
            let named: BTreeSet<String> = record
                .machines
                .iter()
                .map(|row| row.machine.clone())
                .collect();
            let jobs = record.jobs.iter().map(|row| row.job.clone()).collect();
            let (value, item) = if !named.is_empty() {
                (
                    Some(StoredRecord::MachineGroup(record)),
                    PendingWrite::MachineGroup {
                        machine_group: n,
                        new_placements: new,
                    },
                )
            } else if version != 0 {
                (None, PendingWrite::DeleteMachineGroup { machine_group: n })
            } else {
                empty.push(n);
                continue;
            };
            if !draft.add_write(machine_group_key(n), version, value, item) {
                continue;
            }
            shard.estimated_bytes = size + MACHINE_GROUP_OVERHEAD_BYTES;
            shard.jobs = jobs;
            shard.stored_state.dirty = false;
            shard.stored_state.stale = false;
            shard.stored_state.write_in_flight = true;
            shard.is_urgent = false;
            // Machines without tasks need no record; they may go to another.
            for id in std::mem::replace(&mut shard.machines, named) {
                if !shard.machines.contains(&id) {
                    if let Some(mut m) = self.cluster.machines.edit(&id) {
                        m.machine_group = None;
                    }
                }
            }
        }
        for n in empty {
            if let Some(s) = self.cluster.machine_groups.remove(&n) {
                for id in s.machines {
                    if let Some(mut m) = self.cluster.machines.edit(&id) {
                        m.machine_group = None;
                    }
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "machine_group_records_tests.rs"]
mod tests;
