//! The stored form of a group of machines.
use super::{Machines, Phase, Placement};
use crate::pending_write::PlacementRef;
use crate::records::{JobRow, MachineGroupRecord, MachineRow, TaskRow};
use std::collections::{BTreeSet, HashMap};

/// What a group's record holds now.
pub(crate) struct MachineGroupSnapshot {
    /// The record as it is to be stored.
    pub record: MachineGroupRecord,
    /// The attempts that no record has held yet.
    pub new_placements: Vec<PlacementRef>,
}

/// What the record of a group of machines holds now. Machines without tasks are not in it.
pub(crate) fn machine_group_snapshot(
    machines: &Machines,
    group: &BTreeSet<String>,
) -> MachineGroupSnapshot {
    let mut record = MachineGroupRecord::default();
    let mut new_placements = vec![];
    let mut job_rows = HashMap::new();
    let is_present = |placement: &&Placement| placement.is_present();
    for machine in group.iter().filter_map(|id| machines.get(id)) {
        let mut task_rows = vec![];
        for placement in machine.placements.iter().filter(is_present) {
            let job_row = *job_rows
                .entry(placement.job.as_str())
                .or_insert_with(|| add_job_row(&mut record, placement));
            task_rows.push(TaskRow {
                job: job_row,
                index: placement.index,
                attempt: placement.attempt,
            });
            if placement.phase == Phase::Unstored {
                new_placements.push(PlacementRef {
                    machine: machine.id.clone(),
                    attempt: placement.attempt,
                });
            }
        }
        if !task_rows.is_empty() {
            record.machines.push(MachineRow {
                machine: machine.id.clone(),
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                is_spot: machine.spot,
                tasks: task_rows,
            });
        }
    }
    MachineGroupSnapshot {
        record,
        new_placements,
    }
}

/// Adds the row of the placement's job, and its team if need be. Returns the row's number.
fn add_job_row(record: &mut MachineGroupRecord, placement: &Placement) -> usize {
    let known = record.teams.iter().position(|team| *team == placement.team);
    let team = known.unwrap_or_else(|| {
        record.teams.push(placement.team.clone());
        record.teams.len() - 1
    });
    record.jobs.push(JobRow {
        job: placement.job.clone(),
        team,
        cpus: placement.cpus,
        gpus: placement.gpus,
        memory_gb: placement.memory_gb,
    });
    record.jobs.len() - 1
}
