//! The stored form of a group of machines.
use super::{Machines, Phase, PlacementRef};
use crate::records::{JobRow, MachineGroupRecord, MachineRow, TaskRow};
use std::collections::{BTreeSet, HashMap};

/// What a group's record holds now, and which attempts it holds for the first time.
pub(crate) fn machine_group_record(
    machines: &Machines,
    group: &BTreeSet<String>,
) -> (MachineGroupRecord, Vec<PlacementRef>) {
    let mut out = MachineGroupRecord::default();
    let (mut new, mut jobs) = (vec![], HashMap::new());
    for m in group.iter().filter_map(|id| machines.get(id)) {
        let mut rows = vec![];
        for p in m.placements.iter().filter(|p| p.is_present()) {
            let job = *jobs.entry(p.job.as_str()).or_insert_with(|| {
                let team = out.teams.iter().position(|t| *t == p.team);
                let team = team.unwrap_or_else(|| {
                    out.teams.push(p.team.clone());
                    out.teams.len() - 1
                });
                out.jobs.push(JobRow {
                    job: p.job.clone(),
                    team,
                    cpus: p.cpus,
                    gpus: p.gpus,
                    memory_gb: p.memory_gb,
                });
                out.jobs.len() - 1
            });
            rows.push(TaskRow {
                job,
                index: p.index,
                attempt: p.attempt,
            });
            if p.phase == Phase::Unstored {
                new.push((m.id.clone(), p.attempt));
            }
        }
        if !rows.is_empty() {
            out.machines.push(MachineRow {
                machine: m.id.clone(),
                machine_type: m.machine_type.clone(),
                zone: m.zone.clone(),
                is_spot: m.spot,
                tasks: rows,
            });
        }
    }
    (out, new)
}
