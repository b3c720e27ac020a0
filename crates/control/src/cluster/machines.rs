//! The set of all machines. Machines are changed only through it, so that the usage totals stay up
//! to date.
use super::usage_totals::{JobUsage, UsageTotals};
use super::Machine;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Deref, DerefMut};

/// All machines by id. They are changed only through `edit` and `edit_all`, which update the usage
/// totals.
#[derive(Debug, Default)]
pub struct Machines {
    by_id: BTreeMap<String, Machine>,
    usage_totals: UsageTotals,
    /// The number of machines accessed so far: a measure of the work done that does not depend on
    /// the speed of the processor.
    lookups: Cell<u64>,
}

/// The resources that a team's tasks use, as counted against its quota and limit, which do not
/// count memory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamUsage {
    /// CPUs in use.
    pub cpus: f64,
    /// GPUs in use.
    pub gpus: f64,
}

/// How many tasks of a job may be running in a zone and in all other zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneTaskCounts {
    /// The number of tasks in the zone.
    pub here: u32,
    /// The number of tasks in all other zones.
    pub elsewhere: u32,
}

/// A guard that gives mutable access to a machine. Dropping the guard updates the usage totals.
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
    /// Returns the machine with this id.
    pub fn get(&self, id: &str) -> Option<&Machine> {
        self.count_lookups(1);
        self.by_id.get(id)
    }

    /// Returns all machines in the order of their ids.
    pub fn values(&self) -> impl Iterator<Item = &Machine> {
        self.count_lookups(self.by_id.len());
        self.by_id.values()
    }

    fn count_lookups(&self, count: usize) {
        self.lookups.set(self.lookups.get() + count as u64);
    }

    /// Returns the number of machines accessed so far.
    pub fn lookups(&self) -> u64 {
        self.lookups.get()
    }

    /// Returns the number of machines.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns `true` if there are no machines.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns mutable access to the machine with this id.
    pub fn edit(&mut self, id: &str) -> Option<MachineGuard<'_>> {
        self.count_lookups(1);
        Some(MachineGuard {
            machine: self.by_id.get_mut(id)?,
            usage_totals: &mut self.usage_totals,
        })
    }

    /// Applies `change` to every machine, in the order of their ids.
    pub fn edit_all(&mut self, mut change: impl FnMut(&mut Machine)) {
        self.count_lookups(self.by_id.len());
        for machine in self.by_id.values_mut() {
            change(machine);
            self.usage_totals.update(machine);
        }
    }

    /// Adds a machine, unless the id is already known.
    pub fn add(&mut self, id: &str, new: impl FnOnce() -> Machine) {
        if !self.by_id.contains_key(id) {
            self.by_id.insert(id.to_owned(), new());
            // Dropping the guard adds the machine's tasks to the totals.
            drop(self.edit(id));
        }
    }

    /// Removes a machine and subtracts its contribution from the totals.
    pub fn remove(&mut self, id: &str) {
        if let Some(machine) = self.by_id.remove(id) {
            self.usage_totals.subtract(id, &machine.accounted_usage);
        }
    }

    /// Returns the resources used by all tasks of a team that may be running on machines.
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

    /// Returns `true` if the task may be running on any machine.
    pub fn is_present(&self, job: &str, index: u32) -> bool {
        self.job_usage(job)
            .is_some_and(|usage| usage.present_machine_counts.contains_key(&index))
    }

    /// Returns `true` if the task is in the queue of any machine.
    pub fn is_queued(&self, job: &str, index: u32) -> bool {
        self.job_usage(job)
            .is_some_and(|usage| usage.queued_machine_counts.contains_key(&index))
    }

    /// Returns the index of any task of the job that is in a machine's queue.
    pub fn any_queued(&self, job: &str) -> Option<u32> {
        let queued = &self.job_usage(job)?.queued_machine_counts;
        queued.keys().next().copied()
    }

    /// Returns the number of the job's tasks that are in machines' queues.
    pub fn queued_count(&self, job: &str) -> usize {
        self.job_usage(job)
            .map_or(0, |usage| usage.queued_machine_counts.len())
    }

    /// Returns the number of the job's tasks that are running or checkpointing.
    pub fn running_count(&self, job: &str) -> u32 {
        self.job_usage(job).map_or(0, |usage| usage.running_tasks)
    }

    /// Returns the indexes of the job's tasks that may be running on machines.
    pub fn present_tasks(&self, job: &str) -> impl Iterator<Item = u32> + '_ {
        self.job_usage(job)
            .into_iter()
            .flat_map(|usage| usage.present_machine_counts.keys().copied())
    }

    /// Returns the ids of the machines with any placement or queued task of the job.
    pub fn machines_of_job(&self, job: &str) -> Vec<String> {
        let usage = self.job_usage(job);
        usage.map_or(vec![], |usage| {
            usage.entries_by_machine.keys().cloned().collect()
        })
    }

    /// Returns how many tasks of the job may be running in the zone and in all other zones.
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

    /// Returns the machines with a placement that needs a start or stop command.
    pub fn with_pending_commands(&self) -> impl Iterator<Item = &Machine> {
        self.usage_totals
            .machines_with_commands
            .iter()
            .filter_map(|id| self.by_id.get(id))
    }

    /// Returns the machines that are terminating.
    pub fn terminating(&self) -> impl Iterator<Item = &Machine> {
        self.usage_totals
            .terminating_machines
            .iter()
            .filter_map(|id| self.by_id.get(id))
    }

    /// Returns the ids of the jobs whose number of running tasks changed since the last call, and
    /// clears them.
    pub fn take_jobs_with_changed_counts(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.usage_totals.jobs_with_changed_counts)
    }
}

#[cfg(test)]
#[path = "machines_tests.rs"]
mod tests;
