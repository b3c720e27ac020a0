//! Sums over the placements of all machines, by team, job and zone, kept up with every change.
use super::{Lifecycle, Machine, Phase};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// One placement or held task, as far as the sums go.
#[derive(Clone, Debug, PartialEq)]
struct TaskUsage {
    job: String,
    index: u32,
    is_queued: bool,
    is_present: bool,
    is_running: bool,
    /// Millionths, so that sums stay exact.
    cpu_millionths: i64,
    gpu_millionths: i64,
    team: String,
}

fn to_millionths(x: f64) -> i64 {
    (x * 1e6).round() as i64
}

/// What the sums hold of one machine.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct AccountedUsage {
    task_usages: Vec<TaskUsage>,
    zone: String,
    has_pending_commands: bool,
    is_terminating: bool,
}

impl AccountedUsage {
    /// What the sums should hold of the machine as it is.
    pub(super) fn of_machine(m: &Machine) -> AccountedUsage {
        let placed = m.placements.iter().map(|p| TaskUsage {
            job: p.job.clone(),
            index: p.index,
            is_queued: false,
            is_present: p.is_present(),
            is_running: matches!(p.phase, Phase::Running | Phase::Checkpointing),
            cpu_millionths: to_millionths(p.cpus),
            gpu_millionths: to_millionths(p.gpus),
            team: p.team.clone(),
        });
        let held = m.queued.iter().map(|(job, index)| TaskUsage {
            job: job.clone(),
            index: *index,
            is_queued: true,
            is_present: false,
            is_running: false,
            cpu_millionths: 0,
            gpu_millionths: 0,
            team: String::new(),
        });
        AccountedUsage {
            task_usages: placed.chain(held).collect(),
            zone: m.zone.clone(),
            has_pending_commands: m.has_pending_commands(),
            is_terminating: m.lifecycle == Lifecycle::Terminating,
        }
    }

    /// Whether the sums are right as they are; looks without copying.
    pub(super) fn matches(&self, m: &Machine) -> bool {
        self.task_usages.len() == m.placements.len() + m.queued.len()
            && self.zone == m.zone
            && self.has_pending_commands == m.has_pending_commands()
            && self.is_terminating == (m.lifecycle == Lifecycle::Terminating)
            && self.task_usages.iter().zip(&m.placements).all(|(e, p)| {
                !e.is_queued
                    && e.index == p.index
                    && e.is_present == p.is_present()
                    && e.is_running == matches!(p.phase, Phase::Running | Phase::Checkpointing)
                    && e.job == p.job
                    && e.cpu_millionths == to_millionths(p.cpus)
            })
            && self.task_usages[m.placements.len()..]
                .iter()
                .zip(&m.queued)
                .all(|(e, (job, index))| e.is_queued && e.index == *index && e.job == *job)
    }
}

/// A job's tasks over all machines.
#[derive(Clone, Debug, Default)]
pub(super) struct JobUsage {
    /// On how many machines each task may be.
    pub(super) present_machine_counts: HashMap<u32, u32>,
    /// In how many machines' queues each task is held.
    pub(super) queued_machine_counts: HashMap<u32, u32>,
    /// Running or saving tasks.
    pub(super) running_tasks: u32,
    /// Placements of any phase and held tasks, by machine.
    pub(super) entries_by_machine: BTreeMap<String, u32>,
    /// Tasks that may be on machines, by zone.
    pub(super) present_tasks_by_zone: BTreeMap<String, u32>,
}

/// Sums over the placements of all machines, so that nothing has to look at all of them.
#[derive(Debug, Default)]
pub(super) struct UsageTotals {
    /// Millionths of CPUs and cards that each team's tasks take.
    pub(super) team_usage: HashMap<String, (i64, i64)>,
    pub(super) job_usage: HashMap<String, JobUsage>,
    /// Machines that have something to be commanded.
    pub(super) machines_with_commands: BTreeSet<String>,
    /// Machines that are to be deleted.
    pub(super) terminating_machines: BTreeSet<String>,
    /// Jobs whose count of running tasks changed since it was last told.
    pub(super) jobs_with_changed_counts: BTreeSet<String>,
}

impl UsageTotals {
    /// Counts what is shown of a machine in, or out again when `sign` is negative.
    pub(super) fn apply_usage(&mut self, id: &str, shown: &AccountedUsage, sign: i64) {
        let up = sign > 0;
        let step = |n: &mut u32| *n = if up { *n + 1 } else { n.saturating_sub(1) };
        for e in &shown.task_usages {
            if !self.job_usage.contains_key(&e.job) {
                self.job_usage.insert(e.job.clone(), JobUsage::default());
            }
            let Some(j) = self.job_usage.get_mut(&e.job) else {
                continue;
            };
            let here = j.entries_by_machine.entry(id.to_owned()).or_default();
            step(here);
            if *here == 0 {
                j.entries_by_machine.remove(id);
            }
            if e.is_queued {
                let n = j.queued_machine_counts.entry(e.index).or_default();
                step(n);
                if *n == 0 {
                    j.queued_machine_counts.remove(&e.index);
                }
            }
            if e.is_present {
                let n = j.present_machine_counts.entry(e.index).or_default();
                step(n);
                if *n == 0 {
                    j.present_machine_counts.remove(&e.index);
                }
                step(
                    j.present_tasks_by_zone
                        .entry(shown.zone.clone())
                        .or_default(),
                );
                let t = self.team_usage.entry(e.team.clone()).or_default();
                t.0 += sign * e.cpu_millionths;
                t.1 += sign * e.gpu_millionths;
            }
            if e.is_running {
                step(&mut j.running_tasks);
                self.jobs_with_changed_counts.insert(e.job.clone());
            }
            if j.entries_by_machine.is_empty() {
                self.job_usage.remove(&e.job);
            }
        }
        for (set, on) in [
            (&mut self.machines_with_commands, shown.has_pending_commands),
            (&mut self.terminating_machines, shown.is_terminating),
        ] {
            if on && up {
                set.insert(id.to_owned());
            } else if on {
                set.remove(id);
            }
        }
    }

    /// Makes the sums right for a machine that may have changed.
    pub(super) fn update(&mut self, m: &mut Machine) {
        if m.accounted_usage.matches(m) {
            return;
        }
        let new = AccountedUsage::of_machine(m);
        self.apply_usage(&m.id, &m.accounted_usage, -1);
        self.apply_usage(&m.id, &new, 1);
        m.accounted_usage = new;
    }
}
