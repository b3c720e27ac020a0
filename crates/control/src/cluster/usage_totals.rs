//! Totals over the placements of all machines, by team, job and zone, updated with every change.
use super::{Lifecycle, Machine, Phase};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Whether the totals count the phase as running.
fn is_running_phase(phase: Phase) -> bool {
    matches!(phase, Phase::Running | Phase::Checkpointing)
}

/// One placement or queued task, as far as it enters the totals.
#[derive(Clone, Debug, PartialEq)]
struct TaskUsage {
    job: String,
    index: u32,
    is_queued: bool,
    is_present: bool,
    is_running: bool,
    /// Millionths, so that the totals stay exact.
    cpu_millionths: i64,
    gpu_millionths: i64,
    team: String,
}

fn to_millionths(amount: f64) -> i64 {
    (amount * 1e6).round() as i64
}

/// What the totals hold of one machine.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct AccountedUsage {
    /// Placements first, then queued tasks.
    task_usages: Vec<TaskUsage>,
    zone: String,
    has_pending_commands: bool,
    is_terminating: bool,
}

impl AccountedUsage {
    /// What the totals should hold of the machine as it is.
    pub(super) fn of_machine(machine: &Machine) -> AccountedUsage {
        let placed = machine.placements.iter().map(|placement| TaskUsage {
            job: placement.job.clone(),
            index: placement.index,
            is_queued: false,
            is_present: placement.is_present(),
            is_running: is_running_phase(placement.phase),
            cpu_millionths: to_millionths(placement.cpus),
            gpu_millionths: to_millionths(placement.gpus),
            team: placement.team.clone(),
        });
        let queued = machine.queued.iter().map(|task| TaskUsage {
            job: task.job.clone(),
            index: task.index,
            is_queued: true,
            is_present: false,
            is_running: false,
            cpu_millionths: 0,
            gpu_millionths: 0,
            team: String::new(),
        });
        AccountedUsage {
            task_usages: placed.chain(queued).collect(),
            zone: machine.zone.clone(),
            has_pending_commands: machine.has_pending_commands(),
            is_terminating: machine.lifecycle == Lifecycle::Terminating,
        }
    }

    /// Whether the totals hold the machine as it is; compares without copying.
    pub(super) fn matches(&self, machine: &Machine) -> bool {
        self.task_usages.len() == machine.placements.len() + machine.queued.len()
            && self.zone == machine.zone
            && self.has_pending_commands == machine.has_pending_commands()
            && self.is_terminating == (machine.lifecycle == Lifecycle::Terminating)
            && self.matches_placements(machine)
            && self.matches_queue(machine)
    }

    fn matches_placements(&self, machine: &Machine) -> bool {
        let mut pairs = self.task_usages.iter().zip(&machine.placements);
        pairs.all(|(usage, placement)| {
            !usage.is_queued
                && usage.index == placement.index
                && usage.is_present == placement.is_present()
                && usage.is_running == is_running_phase(placement.phase)
                && usage.job == placement.job
                && usage.cpu_millionths == to_millionths(placement.cpus)
        })
    }

    fn matches_queue(&self, machine: &Machine) -> bool {
        let queued = &self.task_usages[machine.placements.len()..];
        queued.iter().zip(&machine.queued).all(|(usage, task)| {
            usage.is_queued && usage.index == task.index && usage.job == task.job
        })
    }
}

/// What a team's tasks take.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct TeamTotals {
    /// Millionths of CPUs.
    pub(super) cpu_millionths: i64,
    /// Millionths of accelerators.
    pub(super) gpu_millionths: i64,
}

/// A job's tasks over all machines.
#[derive(Clone, Debug, Default)]
pub(super) struct JobUsage {
    /// On how many machines each task may be.
    pub(super) present_machine_counts: HashMap<u32, u32>,
    /// In how many machines' queues each task is.
    pub(super) queued_machine_counts: HashMap<u32, u32>,
    /// Running or checkpointing tasks.
    pub(super) running_tasks: u32,
    /// Placements of any phase and queued tasks, by machine.
    pub(super) entries_by_machine: BTreeMap<String, u32>,
    /// Tasks that may be on machines, by zone.
    pub(super) present_tasks_by_zone: BTreeMap<String, u32>,
}

/// Whether a machine's usage enters the totals or leaves them.
#[derive(Clone, Copy, PartialEq)]
enum Change {
    Add,
    Subtract,
}

impl Change {
    fn apply_to_count(self, count: &mut u32) {
        *count = match self {
            Change::Add => *count + 1,
            Change::Subtract => count.saturating_sub(1),
        };
    }

    fn apply_to_amount(self, total: &mut i64, amount: i64) {
        match self {
            Change::Add => *total += amount,
            Change::Subtract => *total -= amount,
        }
    }

    /// Changes the count of an index and drops it once it is 0.
    fn apply_to_entry(self, counts: &mut HashMap<u32, u32>, index: u32) {
        let count = counts.entry(index).or_default();
        self.apply_to_count(count);
        if *count == 0 {
            counts.remove(&index);
        }
    }

    fn apply_to_set(self, set: &mut BTreeSet<String>, machine_id: &str) {
        match self {
            Change::Add => {
                set.insert(machine_id.to_owned());
            }
            Change::Subtract => {
                set.remove(machine_id);
            }
        }
    }
}

/// Totals over the placements of all machines, so that nothing has to look at all of them.
#[derive(Debug, Default)]
pub(super) struct UsageTotals {
    /// What each team's tasks take.
    pub(super) team_usage: HashMap<String, TeamTotals>,
    /// Where each job's tasks are.
    pub(super) job_usage: HashMap<String, JobUsage>,
    /// Machines that have something to be commanded.
    pub(super) machines_with_commands: BTreeSet<String>,
    /// Machines that are to be deleted.
    pub(super) terminating_machines: BTreeSet<String>,
    /// Jobs whose count of running tasks changed since it was last announced.
    pub(super) jobs_with_changed_counts: BTreeSet<String>,
}

impl UsageTotals {
    /// Adds a machine's usage.
    pub(super) fn add(&mut self, machine_id: &str, usage: &AccountedUsage) {
        self.apply(machine_id, usage, Change::Add);
    }

    /// Subtracts a machine's usage.
    pub(super) fn subtract(&mut self, machine_id: &str, usage: &AccountedUsage) {
        self.apply(machine_id, usage, Change::Subtract);
    }

    /// Brings the totals up to date with a machine that may have changed.
    pub(super) fn update(&mut self, machine: &mut Machine) {
        if machine.accounted_usage.matches(machine) {
            return;
        }
        let usage = AccountedUsage::of_machine(machine);
        self.subtract(&machine.id, &machine.accounted_usage);
        self.add(&machine.id, &usage);
        machine.accounted_usage = usage;
    }

    fn apply(&mut self, machine_id: &str, usage: &AccountedUsage, change: Change) {
        for task in &usage.task_usages {
            self.apply_task(machine_id, &usage.zone, task, change);
        }
        if usage.has_pending_commands {
            change.apply_to_set(&mut self.machines_with_commands, machine_id);
        }
        if usage.is_terminating {
            change.apply_to_set(&mut self.terminating_machines, machine_id);
        }
    }

    fn apply_task(&mut self, machine_id: &str, zone: &str, task: &TaskUsage, change: Change) {
        if !self.job_usage.contains_key(&task.job) {
            self.job_usage.insert(task.job.clone(), JobUsage::default());
        }
        let Some(job) = self.job_usage.get_mut(&task.job) else {
            return;
        };
        let entries = job
            .entries_by_machine
            .entry(machine_id.to_owned())
            .or_default();
        change.apply_to_count(entries);
        if *entries == 0 {
            job.entries_by_machine.remove(machine_id);
        }
        if task.is_queued {
            change.apply_to_entry(&mut job.queued_machine_counts, task.index);
        }
        if task.is_present {
            change.apply_to_entry(&mut job.present_machine_counts, task.index);
            let in_zone = job
                .present_tasks_by_zone
                .entry(zone.to_owned())
                .or_default();
            change.apply_to_count(in_zone);
            let team = self.team_usage.entry(task.team.clone()).or_default();
            change.apply_to_amount(&mut team.cpu_millionths, task.cpu_millionths);
            change.apply_to_amount(&mut team.gpu_millionths, task.gpu_millionths);
        }
        if task.is_running {
            change.apply_to_count(&mut job.running_tasks);
            self.jobs_with_changed_counts.insert(task.job.clone());
        }
        if job.entries_by_machine.is_empty() {
            self.job_usage.remove(&task.job);
        }
    }
}
