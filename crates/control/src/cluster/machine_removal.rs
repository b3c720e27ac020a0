//! Withdraws or removes placements from machines that get no more tasks, were deleted or restarted,
//! and requeues their tasks.
use super::{ClusterState, Phase, TerminationEvidence};
use crate::api::Millis;

/// The placements to withdraw from a machine. Placements whose start command was sent are never
/// withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WithdrawScope {
    /// Placements that are to be stopped or whose job has ended.
    EndedJobs,
    /// All placements, and the machine's queue as well, because no more tasks may start on the
    /// machine.
    Everything,
}

impl ClusterState {
    /// Withdraws the placements in `scope` for which no start command was sent, and makes their
    /// tasks pending again. Since these tasks never started, no proof of termination is needed.
    /// Placements that are not stored yet stay while their record is being written. With
    /// [`WithdrawScope::Everything`], tasks whose start command was sent to an unreachable machine
    /// are marked to be stopped.
    pub(crate) fn withdraw_unsent(&mut self, machine_id: &str, scope: WithdrawScope) {
        let withdraws_all = scope == WithdrawScope::Everything;
        let jobs = &self.jobs;
        let write_in_flight = self
            .machines
            .get(machine_id)
            .and_then(|machine| self.machine_groups.get(&machine.machine_group?))
            .is_some_and(|group| group.stored_state.write_in_flight);
        let Some(mut machine) = self.machines.edit(machine_id) else {
            return;
        };
        let mut withdrawn = vec![];
        machine.placements.retain(|placement| {
            let unwanted = placement.stop_grace_s.is_some()
                || !jobs.contains_key(&placement.job)
                || withdraws_all;
            let being_stored = placement.phase == Phase::Unstored && write_in_flight;
            let withdraw = unwanted && placement.is_unsent() && !being_stored;
            if withdraw {
                withdrawn.push(placement.task_key());
            }
            !withdraw
        });
        let record_is_stale = !withdrawn.is_empty();
        if withdraws_all {
            withdrawn.append(&mut machine.queued);
            if machine.is_unreachable() {
                for placement in &mut machine.placements {
                    if placement.phase == Phase::Sent {
                        placement.stop_grace_s.get_or_insert(0.0);
                    }
                }
            }
        }
        drop(machine);
        if record_is_stale {
            self.mark_group_stale(machine_id);
        }
        self.requeue_tasks(withdrawn);
    }

    /// Removes a machine after the cloud confirmed its deletion, which proves that all of its tasks
    /// have terminated.
    pub fn handle_machine_deleted(&mut self, now: Millis, machine_id: &str) {
        self.remove_terminated_placements(machine_id, TerminationEvidence::MachineDeleted);
        self.deleted_machines.insert(machine_id.into(), now);
        let Some(mut machine) = self.machines.edit(machine_id) else {
            return;
        };
        let queued = std::mem::take(&mut machine.queued);
        let machine_type = machine.machine_type.clone();
        drop(machine);
        self.requeue_tasks(queued);
        self.mark_group_stale(machine_id);
        let cpus = self.machine_type(&machine_type).map_or(1.0, |t| t.cpus);
        if let Some(machine) = self.machines.get(machine_id) {
            let account = machine.describe_usage(now, cpus);
            log::info!("machine {machine_id} account: {account}");
            let group = machine
                .machine_group
                .and_then(|number| self.machine_groups.get_mut(&number));
            if let Some(group) = group {
                group.machines.remove(machine_id);
            }
        }
        self.machines.remove(machine_id);
    }

    /// Removes the placements that the evidence proves to have terminated, and makes their tasks
    /// pending again.
    pub(crate) fn remove_terminated_placements(
        &mut self,
        machine_id: &str,
        evidence: TerminationEvidence,
    ) {
        let Some(mut machine) = self.machines.edit(machine_id) else {
            return;
        };
        let mut terminated = vec![];
        machine.placements.retain(|placement| {
            if let TerminationEvidence::NewIncarnation { includes_inherited } = evidence {
                if placement.is_unsent() || placement.inherited && !includes_inherited {
                    return true;
                }
            }
            // Finished tasks are in this list too, but are not requeued: their job counts them as
            // done, whether or not that is stored.
            terminated.push(placement.task_key());
            false
        });
        drop(machine);
        if !terminated.is_empty() {
            self.mark_group_stale(machine_id);
        }
        self.requeue_tasks(terminated);
    }
}
