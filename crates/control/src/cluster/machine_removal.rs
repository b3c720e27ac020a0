//! What becomes of the tasks of machines that take no more work or are gone.
use super::{ClusterState, Phase, TerminationEvidence};
use crate::api::Millis;

impl ClusterState {
    /// Placements that were never sent may simply be taken back: of jobs that ended, and all
    /// where nothing new is to start. What was sent to a machine that does not hear us is
    /// called off.
    pub(crate) fn withdraw_unsent(&mut self, id: &str, closing: bool) {
        let works = &self.jobs;
        let writing = self
            .machines
            .get(id)
            .and_then(|m| self.machine_groups.get(&m.machine_group?))
            .is_some_and(|s| s.stored_state.write_in_flight);
        let Some(mut m) = self.machines.edit(id) else {
            return;
        };
        let mut back = vec![];
        m.placements.retain(|p| {
            let unwanted = p.stop_grace_s.is_some() || !works.contains_key(&p.job) || closing;
            let out = unwanted && p.is_unsent() && !(p.phase == Phase::Unstored && writing);
            if out {
                back.push((p.job.clone(), p.index));
            }
            !out
        });
        let unstored = !back.is_empty();
        if closing {
            back.append(&mut m.queued);
            if m.is_unreachable() {
                for p in m.placements.iter_mut().filter(|p| p.phase == Phase::Sent) {
                    p.stop_grace_s.get_or_insert(0.0);
                }
            }
        }
        drop(m);
        if unstored {
            self.mark_group_stale(id);
        }
        for (job, index) in back {
            self.requeue_task(&job, index);
        }
    }

    /// The cloud confirmed: the machine and everything on it are gone.
    pub fn handle_machine_deleted(&mut self, now: Millis, id: &str) {
        self.remove_terminated_placements(id, TerminationEvidence::MachineDeleted);
        self.deleted_machines.insert(id.into(), now);
        let Some(mut m) = self.machines.edit(id) else {
            return;
        };
        let held = std::mem::take(&mut m.queued);
        let kind = m.machine_type.clone();
        drop(m);
        for (job, index) in held {
            self.requeue_task(&job, index);
        }
        self.mark_group_stale(id);
        let cpus = self.machine_type(&kind).map_or(1.0, |t| t.cpus);
        if let Some(m) = self.machines.get(id) {
            log::info!("machine {id} account: {}", m.describe_usage(now, cpus));
            if let Some(s) = m
                .machine_group
                .and_then(|n| self.machine_groups.get_mut(&n))
            {
                s.machines.remove(id);
            }
        }
        self.machines.remove(id);
    }

    /// Everything on the machine is proven gone.
    pub(crate) fn remove_terminated_placements(&mut self, id: &str, how: TerminationEvidence) {
        let Some(mut m) = self.machines.edit(id) else {
            return;
        };
        let mut gone = vec![];
        m.placements.retain(|p| {
            if let TerminationEvidence::NewIncarnation {
                includes_inherited: inherited_too,
            } = how
            {
                if p.is_unsent() || p.inherited && !inherited_too {
                    return true;
                }
            }
            // What it finished here counts only once stored; without the worker's word for it
            // any more, it still was finished.
            gone.push((p.job.clone(), p.index));
            false
        });
        drop(m);
        if !gone.is_empty() {
            self.mark_group_stale(id);
        }
        for (job, index) in gone {
            self.requeue_task(&job, index);
        }
    }
}
