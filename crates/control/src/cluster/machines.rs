//! The set of all machines; changes go through it, so that the totals follow.
use super::usage_totals::{JobUsage, UsageTotals};
use super::Machine;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Deref, DerefMut};

/// All machines by id. Whoever changes one does so through `edit`, and the totals follow.
#[derive(Debug, Default)]
pub struct Machines {
    by_id: BTreeMap<String, Machine>,
    usage_totals: UsageTotals,
    /// Machines looked at so far: a measure of the work done that does not depend on the processor.
    lookups: Cell<u64>,
}

/// What a team's tasks take; its quota and limit don't count memory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamUsage {
    /// CPUs.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
}

/// How many tasks of a job may be in a zone, and elsewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneTaskCounts {
    /// In the zone.
    pub here: u32,
    /// In all other zones.
    pub elsewhere: u32,
}

/// A machine being changed; when the guard is dropped, the totals are brought up to date.
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
    /// The machine of that id, to look at.
    pub fn get(&self, id: &str) -> Option<&Machine> {
        self.count_lookups(1);
        self.by_id.get(id)
    }

    /// All machines, in the order of their ids.
    pub fn values(&self) -> impl Iterator<Item = &Machine> {
        self.count_lookups(self.by_id.len());
        self.by_id.values()
    }

    fn count_lookups(&self, count: usize) {
        self.lookups.set(self.lookups.get() + count as u64);
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

    /// The machine of that id, to change.
    pub fn edit(&mut self, id: &str) -> Option<MachineGuard<'_>> {
        self.count_lookups(1);
        Some(MachineGuard {
            machine: self.by_id.get_mut(id)?,
            usage_totals: &mut self.usage_totals,
        })
    }

    /// Changes each machine in turn.
    pub fn edit_all(&mut self, mut change: impl FnMut(&mut Machine)) {
        self.count_lookups(self.by_id.len());
        for machine in self.by_id.values_mut() {
            change(machine);
            self.usage_totals.update(machine);
        }
    }

    /// Adds a machine, unless it is known.
    pub fn add(&mut self, id: &str, new: impl FnOnce() -> Machine) {
        if !self.by_id.contains_key(id) {
            self.by_id.insert(id.to_owned(), new());
            // Its tasks count from now on.
            drop(self.edit(id));
        }
    }

    /// Removes a machine, with its part of the totals.
    pub fn remove(&mut self, id: &str) {
        if let Some(machine) = self.by_id.remove(id) {
            self.usage_totals.subtract(id, &machine.accounted_usage);
        }
    }

    /// What a team's tasks take, over all that may be on machines.
    pub fn team_usage(&self, team: &str) -> TeamUsage {
        let usage = self.usage_totals.team_usage.get(team);
        let usage = usage.copied().unwrap_or_default();
        TeamUsage {
            cpus: usage.cpu_millionths as f64 / 1e6,
            gpus: usage.gpu_millionths as f64 / 1e6,
        }
    }

    fn job_usage(&self, job: &str) -> Option<&JobUsage> {
        self.usage_totals.job_usage.get(job)
    }

    /// Whether the task may be on some machine.
    pub fn is_present(&self, job: &str, index: u32) -> bool {
        self.job_usage(job)
            .is_some_and(|usage| usage.present_machine_counts.contains_key(&index))
    }

    /// Whether the task waits in a machine's queue.
    pub fn is_queued(&self, job: &str, index: u32) -> bool {
        self.job_usage(job)
            .is_some_and(|usage| usage.queued_machine_counts.contains_key(&index))
    }

    /// A task of the job that is in some machine's queue.
    pub fn first_queued(&self, job: &str) -> Option<u32> {
        let queued = &self.job_usage(job)?.queued_machine_counts;
        queued.keys().next().copied()
    }

    /// How many tasks of the job are in machines' queues.
    pub fn queued_count(&self, job: &str) -> usize {
        self.job_usage(job)
            .map_or(0, |usage| usage.queued_machine_counts.len())
    }

    /// How many tasks of the job run or checkpoint.
    pub fn running_count(&self, job: &str) -> u32 {
        self.job_usage(job).map_or(0, |usage| usage.running_tasks)
    }

    /// Tasks of a job that may be on machines.
    pub fn present_tasks(&self, job: &str) -> impl Iterator<Item = u32> + '_ {
        self.job_usage(job)
            .into_iter()
            .flat_map(|usage| usage.present_machine_counts.keys().copied())
    }

    /// Machines with any placement or queued task of the job.
    pub fn machines_of_job(&self, job: &str) -> Vec<String> {
        let usage = self.job_usage(job);
        usage.map_or(vec![], |usage| {
            usage.entries_by_machine.keys().cloned().collect()
        })
    }

    /// How many tasks of the job may be in that zone, and elsewhere.
    pub fn task_counts_by_zone(&self, job: &str, zone: &str) -> ZoneTaskCounts {
        let Some(usage) = self.job_usage(job) else {
            return ZoneTaskCounts::default();
        };
        let by_zone = &usage.present_tasks_by_zone;
        let here = by_zone.get(zone).copied().unwrap_or(0);
        ZoneTaskCounts {
            here,
            elsewhere: by_zone.values().sum::<u32>() - here,
        }
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

    /// Jobs whose number of running tasks changed since the last call.
    pub fn take_jobs_with_changed_counts(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.usage_totals.jobs_with_changed_counts)
    }
}

#[cfg(test)]
#[path = "machines_tests.rs"]
mod tests;
