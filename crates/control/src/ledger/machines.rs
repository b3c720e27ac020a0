//! The set of all machines; changes go through it, so that the sums follow.
use super::sums::Sums;
use super::Machine;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Deref, DerefMut};

/// All machines by name. Whoever changes one does so through `edit`, and the sums follow.
#[derive(Debug, Default)]
pub struct Machines {
    map: BTreeMap<String, Machine>,
    sums: Sums,
    /// Machines looked at so far: what the work comes to, whatever a processor does a second.
    lookups: Cell<u64>,
}

/// A machine being changed; when it goes, the sums are made right.
pub struct Edit<'a> {
    m: &'a mut Machine,
    sums: &'a mut Sums,
}

impl Deref for Edit<'_> {
    type Target = Machine;
    fn deref(&self) -> &Machine {
        self.m
    }
}

impl DerefMut for Edit<'_> {
    fn deref_mut(&mut self) -> &mut Machine {
        self.m
    }
}

impl Drop for Edit<'_> {
    fn drop(&mut self) {
        self.sums.update(self.m);
    }
}

impl Machines {
    /// The machine of that name, to look at.
    pub fn get(&self, id: &str) -> Option<&Machine> {
        self.count_lookups(1);
        self.map.get(id)
    }

    /// All machines, in the order of their names.
    pub fn values(&self) -> impl Iterator<Item = &Machine> {
        self.count_lookups(self.map.len());
        self.map.values()
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
        self.map.len()
    }

    /// Whether there is no machine.
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// The machine of that name, to change.
    pub fn edit(&mut self, id: &str) -> Option<Edit<'_>> {
        self.count_lookups(1);
        let m = self.map.get_mut(id)?;
        let sums = &mut self.sums;
        Some(Edit { m, sums })
    }

    /// Changes each machine in turn.
    pub fn edit_all(&mut self, mut change: impl FnMut(&mut Machine)) {
        self.count_lookups(self.map.len());
        for m in self.map.values_mut() {
            change(m);
            self.sums.update(m);
        }
    }

    /// Puts a machine in, unless it is known.
    pub fn add(&mut self, id: &str, new: impl FnOnce() -> Machine) {
        if !self.map.contains_key(id) {
            self.map.insert(id.to_owned(), new());
            // Its tasks count from now on.
            drop(self.edit(id));
        }
    }

    /// Takes a machine out, with its part of the sums.
    pub fn remove(&mut self, id: &str) {
        if let Some(m) = self.map.remove(id) {
            self.sums.add(id, &m.shown, -1);
        }
    }

    /// What a team's tasks take, over all that is not proven gone: CPUs and cards.
    pub fn team(&self, team: &str) -> (f64, f64) {
        let (c, g) = self.sums.teams.get(team).copied().unwrap_or_default();
        (c as f64 / 1e6, g as f64 / 1e6)
    }

    /// Whether the task may be on some machine.
    pub fn is_present(&self, job: &str, index: u32) -> bool {
        let j = self.sums.jobs.get(job);
        j.is_some_and(|j| j.present.contains_key(&index))
    }

    /// Whether the task waits in a machine's queue.
    pub fn is_held(&self, job: &str, index: u32) -> bool {
        let j = self.sums.jobs.get(job);
        j.is_some_and(|j| j.held.contains_key(&index))
    }

    /// A task of the job that is held in some machine's queue.
    pub fn first_held(&self, job: &str) -> Option<u32> {
        self.sums.jobs.get(job)?.held.keys().next().copied()
    }

    /// How many tasks of the job are held in machines' queues.
    pub fn held_of(&self, job: &str) -> usize {
        self.sums.jobs.get(job).map_or(0, |j| j.held.len())
    }

    /// How many tasks of the job run or save.
    pub fn running_of(&self, job: &str) -> u32 {
        self.sums.jobs.get(job).map_or(0, |j| j.running)
    }

    /// Tasks of a job that may be on machines.
    pub fn present_of(&self, job: &str) -> impl Iterator<Item = u32> + '_ {
        let j = self.sums.jobs.get(job);
        j.into_iter().flat_map(|j| j.present.keys().copied())
    }

    /// Machines with any placement or held task of the job.
    pub fn of_job(&self, job: &str) -> Vec<String> {
        let j = self.sums.jobs.get(job);
        j.map_or(vec![], |j| j.machines.keys().cloned().collect())
    }

    /// Tasks of the job that may be in that zone, and elsewhere.
    pub fn zones_of(&self, job: &str, zone: &str) -> (u32, u32) {
        let Some(j) = self.sums.jobs.get(job) else {
            return (0, 0);
        };
        let here = j.zones.get(zone).copied().unwrap_or(0);
        (here, j.zones.values().sum::<u32>() - here)
    }

    /// Machines that have something to be commanded.
    pub fn with_commands(&self) -> impl Iterator<Item = &Machine> {
        self.sums.commands.iter().filter_map(|id| self.map.get(id))
    }

    /// Machines that are to be deleted.
    pub fn deleting(&self) -> impl Iterator<Item = &Machine> {
        self.sums.deleting.iter().filter_map(|id| self.map.get(id))
    }

    /// Jobs whose running tasks changed in number since this was last asked.
    pub fn take_counted(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.sums.counted)
    }
}

#[cfg(test)]
#[path = "machines_tests.rs"]
mod tests;
