//! Totals over the placements of all machines, by team, job and zone. They are updated with every
//! change of a machine.
use super::{Lifecycle, Machine, Phase};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Returns `true` if the totals count a task in this phase as running.
fn is_running_phase(phase: Phase) -> bool {
    matches!(phase, Phase::Running | Phase::Checkpointing)
}

/// The part of one placement or queued task that enters the totals.
#[derive(Clone, Debug, PartialEq)]
struct TaskUsage {
    job: String,
    index: u32,
    is_queued: bool,
    is_present: bool,
    is_running: bool,
    /// Millionths of CPUs; whole numbers keep the totals exact.
    cpu_millionths: i64,
    /// Millionths of GPUs.
    gpu_millionths: i64,
    team: String,
}

fn to_millionths(amount: f64) -> i64 {
    (amount * 1e6).round() as i64
}

/// The contribution of one machine to the totals.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct AccountedUsage {
    /// The machine's placements, followed by its queued tasks.
    task_usages: Vec<TaskUsage>,
    zone: String,
    has_pending_commands: bool,
    is_terminating: bool,
}

impl AccountedUsage {
    /// Computes the contribution of a machine in its current state.
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

    /// Returns `true` if this is the contribution of the machine in its current state. Compares
    /// without copying.
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

/// The resources that a team's tasks use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct TeamTotals {
    /// Millionths of CPUs.
    pub(super) cpu_millionths: i64,
    /// Millionths of GPUs.
    pub(super) gpu_millionths: i64,
}

/// The tasks of one job on all machines.
#[derive(Clone, Debug, Default)]
pub(super) struct JobUsage {
    /// The number of machines on which each task may be running, by task index.
    pub(super) present_machine_counts: HashMap<u32, u32>,
    /// The number of machines in whose queue each task is, by task index.
    pub(super) queued_machine_counts: HashMap<u32, u32>,
    /// The number of tasks that are running or checkpointing.
    pub(super) running_tasks: u32,
    /// The number of placements, in any phase, and queued tasks on each machine, by machine id.
    pub(super) entries_by_machine: BTreeMap<String, u32>,
    /// The number of tasks that may be running on machines of each zone, by zone.
    pub(super) present_tasks_by_zone: BTreeMap<String, u32>,
}

/// Whether a machine's contribution is added to the totals or subtracted from them.
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

    /// Changes the count of a task index and removes the entry once the count is 0.
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

/// Totals over the placements of all machines, so that callers do not have to iterate over all
/// machines.
#[derive(Debug, Default)]
pub(super) struct UsageTotals {
    /// The resources that each team's tasks use, by team.
    pub(super) team_usage: HashMap<String, TeamTotals>,
    /// The tasks of each job on the machines, by job id.
    pub(super) job_usage: HashMap<String, JobUsage>,
    /// Ids of the machines with a placement that needs a start or stop command.
    pub(super) machines_with_commands: BTreeSet<String>,
    /// Ids of the machines that are terminating.
    pub(super) terminating_machines: BTreeSet<String>,
    /// Ids of the jobs whose number of running tasks changed since [`super::Machines`] last
    /// returned them.
    pub(super) jobs_with_changed_counts: BTreeSet<String>,
}

impl UsageTotals {
    /// Adds a machine's contribution.
    pub(super) fn add(&mut self, machine_id: &str, usage: &AccountedUsage) {
        self.apply(machine_id, usage, Change::Add);
    }

    /// Subtracts a machine's contribution.
    pub(super) fn subtract(&mut self, machine_id: &str, usage: &AccountedUsage) {
        self.apply(machine_id, usage, Change::Subtract);
    }

    /// Updates the totals for a machine that may have changed.
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
