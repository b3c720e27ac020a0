//! The set of all machines; changes go through it, so that the sums follow.
use super::usage_totals::UsageTotals;
use super::Machine;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Deref, DerefMut};

/// All machines by name. Whoever changes one does so through `edit`, and the sums follow.
#[derive(Debug, Default)]
pub struct Machines {
    by_id: BTreeMap<String, Machine>,
    usage_totals: UsageTotals,
    /// Machines looked at so far: what the work comes to, whatever a processor does a second.
    lookups: Cell<u64>,
}

/// A machine being changed; when it goes, the sums are made right.
pub struct MachineGuard<'a> {
    machine: &'a mut Machine,
    usage_totals: &'a mut UsageTotals,
}

impl Deref for MachineGuard<'_> {
    type Target = Machine;
    fn deref(&self) -> &Machine {
        self.machine
    }
}

impl DerefMut for MachineGuard<'_> {
    fn deref_mut(&mut self) -> &mut Machine {
        self.machine
    }
}

impl Drop for MachineGuard<'_> {
    fn drop(&mut self) {
        self.usage_totals.update(self.machine);
    }
}

impl Machines {
    /// The machine of that name, to look at.
    pub fn get(&self, id: &str) -> Option<&Machine> {
        self.count_lookups(1);
        self.by_id.get(id)
    }

    /// All machines, in the order of their names.
    pub fn values(&self) -> impl Iterator<Item = &Machine> {
        self.count_lookups(self.by_id.len());
        self.by_id.values()
    }

    fn count_lookups(&self, n: usize) {
        self.lookups.set(self.lookups.get() + n as u64);
    }

    /// How many machines were looked at so far.
    pub fn lookups(&self) -> u64 {
        self.lookups.get()
    }

    /// How many machines there are.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether there is no machine.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// The machine of that name, to change.
    pub fn edit(&mut self, id: &str) -> Option<MachineGuard<'_>> {
        self.count_lookups(1);
        let m = self.by_id.get_mut(id)?;
        let sums = &mut self.usage_totals;
        Some(MachineGuard {
            machine: m,
            usage_totals: sums,
        })
    }

    /// Changes each machine in turn.
    pub fn edit_all(&mut self, mut change: impl FnMut(&mut Machine)) {
        self.count_lookups(self.by_id.len());
        for m in self.by_id.values_mut() {
            change(m);
            self.usage_totals.update(m);
        }
    }

    /// Puts a machine in, unless it is known.
    pub fn add(&mut self, id: &str, new: impl FnOnce() -> Machine) {
        if !self.by_id.contains_key(id) {
            self.by_id.insert(id.to_owned(), new());
            // Its tasks count from now on.
            drop(self.edit(id));
        }
    }

    /// Takes a machine out, with its part of the sums.
    pub fn remove(&mut self, id: &str) {
        if let Some(m) = self.by_id.remove(id) {
            self.usage_totals.apply_usage(id, &m.accounted_usage, -1);
        }
    }

    /// What a team's tasks take, over all that is not proven gone: CPUs and cards.
    pub fn team_usage(&self, team: &str) -> (f64, f64) {
        let (c, g) = self
            .usage_totals
            .team_usage
            .get(team)
            .copied()
            .unwrap_or_default();
        (c as f64 / 1e6, g as f64 / 1e6)
    }

    /// Whether the task may be on some machine.
    pub fn is_present(&self, job: &str, index: u32) -> bool {
        let j = self.usage_totals.job_usage.get(job);
        j.is_some_and(|j| j.present_machine_counts.contains_key(&index))
    }

    /// Whether the task waits in a machine's queue.
    pub fn is_queued(&self, job: &str, index: u32) -> bool {
        let j = self.usage_totals.job_usage.get(job);
        j.is_some_and(|j| j.queued_machine_counts.contains_key(&index))
    }

    /// A task of the job that is held in some machine's queue.
    pub fn first_queued(&self, job: &str) -> Option<u32> {
        self.usage_totals
            .job_usage
            .get(job)?
            .queued_machine_counts
            .keys()
            .next()
            .copied()
    }

    /// How many tasks of the job are held in machines' queues.
    pub fn queued_count(&self, job: &str) -> usize {
        self.usage_totals
            .job_usage
            .get(job)
            .map_or(0, |j| j.queued_machine_counts.len())
    }

    /// How many tasks of the job run or save.
    pub fn running_count(&self, job: &str) -> u32 {
        self.usage_totals
            .job_usage
            .get(job)
            .map_or(0, |j| j.running_tasks)
    }

    /// Tasks of a job that may be on machines.
    pub fn present_tasks(&self, job: &str) -> impl Iterator<Item = u32> + '_ {
        let j = self.usage_totals.job_usage.get(job);
        j.into_iter()
            .flat_map(|j| j.present_machine_counts.keys().copied())
    }

    /// Machines with any placement or held task of the job.
    pub fn machines_of_job(&self, job: &str) -> Vec<String> {
        let j = self.usage_totals.job_usage.get(job);
        j.map_or(vec![], |j| j.entries_by_machine.keys().cloned().collect())
    }

    /// Tasks of the job that may be in that zone, and elsewhere.
    pub fn task_counts_by_zone(&self, job: &str, zone: &str) -> (u32, u32) {
        let Some(j) = self.usage_totals.job_usage.get(job) else {
            return (0, 0);
        };
        let here = j.present_tasks_by_zone.get(zone).copied().unwrap_or(0);
        (here, j.present_tasks_by_zone.values().sum::<u32>() - here)
    }

    /// Machines that have something to be commanded.
    pub fn with_pending_commands(&self) -> impl Iterator<Item = &Machine> {
        self.usage_totals
            .machines_with_commands
            .iter()
            .filter_map(|id| self.by_id.get(id))
    }

    /// Machines that are to be deleted.
    pub fn terminating(&self) -> impl Iterator<Item = &Machine> {
        self.usage_totals
            .terminating_machines
            .iter()
            .filter_map(|id| self.by_id.get(id))
    }

    /// Jobs whose running tasks changed in number since this was last asked.
    pub fn take_jobs_with_changed_counts(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.usage_totals.jobs_with_changed_counts)
    }
}

#[cfg(test)]
#[path = "machines_tests.rs"]
mod tests;
