//! Sums over the placements of all machines, by team, job and zone, kept up with every change.
use super::{Life, Machine, Phase};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// One placement or held task, as far as the sums go.
#[derive(Clone, Debug, PartialEq)]
struct Entry {
    job: String,
    index: u32,
    held: bool,
    present: bool,
    running: bool,
    /// Millionths, so that sums stay exact.
    cpus: i64,
    gpus: i64,
    team: String,
}

fn micro(x: f64) -> i64 {
    (x * 1e6).round() as i64
}

/// What the sums hold of one machine.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Shown {
    entries: Vec<Entry>,
    zone: String,
    commands: bool,
    deleting: bool,
}

impl Shown {
    /// What the sums should hold of the machine as it is.
    pub(super) fn of(m: &Machine) -> Shown {
        let placed = m.placements.iter().map(|p| Entry {
            job: p.job.clone(),
            index: p.index,
            held: false,
            present: p.present(),
            running: matches!(p.phase, Phase::Running | Phase::Saving),
            cpus: micro(p.cpus),
            gpus: micro(p.gpus),
            team: p.team.clone(),
        });
        let held = m.held.iter().map(|(job, index)| Entry {
            job: job.clone(),
            index: *index,
            held: true,
            present: false,
            running: false,
            cpus: 0,
            gpus: 0,
            team: String::new(),
        });
        Shown {
            entries: placed.chain(held).collect(),
            zone: m.zone.clone(),
            commands: m.wants_commands(),
            deleting: m.life == Life::Deleting,
        }
    }

    /// Whether the sums are right as they are; looks without copying.
    pub(super) fn fits(&self, m: &Machine) -> bool {
        self.entries.len() == m.placements.len() + m.held.len()
            && self.zone == m.zone
            && self.commands == m.wants_commands()
            && self.deleting == (m.life == Life::Deleting)
            && self.entries.iter().zip(&m.placements).all(|(e, p)| {
                !e.held
                    && e.index == p.index
                    && e.present == p.present()
                    && e.running == matches!(p.phase, Phase::Running | Phase::Saving)
                    && e.job == p.job
                    && e.cpus == micro(p.cpus)
            })
            && self.entries[m.placements.len()..]
                .iter()
                .zip(&m.held)
                .all(|(e, (job, index))| e.held && e.index == *index && e.job == *job)
    }
}

/// A job's tasks over all machines.
#[derive(Clone, Debug, Default)]
pub(super) struct JobUse {
    /// On how many machines each task may be.
    pub(super) present: HashMap<u32, u32>,
    /// In how many machines' queues each task is held.
    pub(super) held: HashMap<u32, u32>,
    /// Running or saving tasks.
    pub(super) running: u32,
    /// Placements of any phase and held tasks, by machine.
    pub(super) machines: BTreeMap<String, u32>,
    /// Tasks that may be on machines, by zone.
    pub(super) zones: BTreeMap<String, u32>,
}

/// Sums over the placements of all machines, so that nothing has to look at all of them.
#[derive(Debug, Default)]
pub(super) struct Sums {
    /// Millionths of CPUs and cards that each team's tasks take.
    pub(super) teams: HashMap<String, (i64, i64)>,
    pub(super) jobs: HashMap<String, JobUse>,
    /// Machines that have something to be commanded.
    pub(super) commands: BTreeSet<String>,
    /// Machines that are to be deleted.
    pub(super) deleting: BTreeSet<String>,
    /// Jobs whose count of running tasks changed since it was last told.
    pub(super) counted: BTreeSet<String>,
}

impl Sums {
    /// Counts what is shown of a machine in, or out again when `sign` is negative.
    pub(super) fn add(&mut self, id: &str, shown: &Shown, sign: i64) {
        let up = sign > 0;
        let step = |n: &mut u32| *n = if up { *n + 1 } else { n.saturating_sub(1) };
        for e in &shown.entries {
            if !self.jobs.contains_key(&e.job) {
                self.jobs.insert(e.job.clone(), JobUse::default());
            }
            let Some(j) = self.jobs.get_mut(&e.job) else {
                continue;
            };
            let here = j.machines.entry(id.to_owned()).or_default();
            step(here);
            if *here == 0 {
                j.machines.remove(id);
            }
            if e.held {
                let n = j.held.entry(e.index).or_default();
                step(n);
                if *n == 0 {
                    j.held.remove(&e.index);
                }
            }
            if e.present {
                let n = j.present.entry(e.index).or_default();
                step(n);
                if *n == 0 {
                    j.present.remove(&e.index);
                }
                step(j.zones.entry(shown.zone.clone()).or_default());
                let t = self.teams.entry(e.team.clone()).or_default();
                t.0 += sign * e.cpus;
                t.1 += sign * e.gpus;
            }
            if e.running {
                step(&mut j.running);
                self.counted.insert(e.job.clone());
            }
            if j.machines.is_empty() {
                self.jobs.remove(&e.job);
            }
        }
        for (set, on) in [
            (&mut self.commands, shown.commands),
            (&mut self.deleting, shown.deleting),
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
        if m.shown.fits(m) {
            return;
        }
        let new = Shown::of(m);
        self.add(&m.id, &m.shown, -1);
        self.add(&m.id, &new, 1);
        m.shown = new;
    }
}
