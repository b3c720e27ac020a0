//! Builds the stored record of a machine group.
use super::{Machines, Phase, Placement};
use crate::pending_write::PlacementRef;
use crate::records::{JobRow, MachineGroupRecord, MachineRow, TaskRow};
use std::collections::{BTreeSet, HashMap};

/// The record of a machine group, built from the leader's current state.
pub(crate) struct MachineGroupSnapshot {
    /// The record to be stored.
    pub record: MachineGroupRecord,
    /// The placements in the record that have not been stored before.
    pub new_placements: Vec<PlacementRef>,
}

/// Builds the record of a group of machines from their present placements. The record omits
/// machines without such placements.
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

/// Adds a row for the placement's job, and its team if the record does not have it yet. Returns the
/// index of the job's row.
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
