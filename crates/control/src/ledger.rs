//! What the leader holds about machines, the tasks that may be on them, and the jobs' work.
use crate::api::Ms;
use crate::gang::Gang;
use crate::records::{task_name, Bitmap};
use crate::resources::Resources;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::ops::{Deref, DerefMut};
use stonegw_constants as k;
use stonegw_wire::msg::{ExitCause, JobKind, JobSpec, MachineType, Priority};

/// A task on a machine, from the decision until it is proven gone.
///
/// `New` -> `Ready` (stored) -> `Sent` -> `Fetching` -> `Running` (-> `Saving`) -> `Exited`. A gang's
/// task is `Stored` until all of its attempt are, and `Gathering` until all have their image.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// Not stored yet: no `run` may go out.
    New,
    /// Stored, but other tasks of its gang are not: no `run` may go out.
    Stored,
    /// Stored; no `run` has gone out.
    Ready,
    /// A `run` has gone out, by us or by an earlier leader; the worker has not shown it.
    Sent,
    Fetching,
    /// Has its image and waits for the other tasks of its gang.
    Gathering,
    Running,
    Saving,
    /// Not on the machine any more. `settled`: what follows from it is stored.
    Exited {
        cause: ExitCause,
        settled: bool,
    },
}

#[derive(Clone, Debug)]
pub struct Placement {
    pub job: String,
    pub index: u32,
    pub attempt: u64,
    pub phase: Phase,
    pub cpus: f64,
    pub gpus: f64,
    pub memory: f64,
    pub team: String,
    /// Stored by an earlier leader.
    pub inherited: bool,
    /// Wanted off the machine, with so many seconds to save.
    pub stop: Option<f64>,
    /// The last stop command's time, to repeat it not too often.
    pub stop_sent: Ms,
    /// The machine's highest sequence number when a `run` last went out in a report's answer:
    /// only a report with a higher one can prove that it did not arrive.
    pub sent_seq: u64,
    pub running_at: Option<Ms>,
    pub clear_sent: bool,
    /// A `run` went out by a direct command, of which copies may arrive late.
    pub direct: bool,
    pub exited_at: Option<Ms>,
}

impl Placement {
    /// A placement that takes nothing yet: the caller fills in what it knows.
    pub fn new(job: &str, index: u32, attempt: u64, phase: Phase) -> Placement {
        Placement {
            job: job.into(),
            index,
            attempt,
            phase,
            cpus: 0.0,
            gpus: 0.0,
            memory: 0.0,
            team: String::new(),
            inherited: false,
            stop: None,
            stop_sent: 0,
            sent_seq: 0,
            running_at: None,
            clear_sent: false,
            direct: false,
            exited_at: None,
        }
    }

    pub fn task(&self) -> String {
        task_name(&self.job, self.index)
    }

    /// What it takes of its machine.
    pub fn takes(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory,
        }
    }

    /// No `run` has gone out for it: it may simply be taken back.
    pub fn unsent(&self) -> bool {
        matches!(self.phase, Phase::New | Phase::Stored | Phase::Ready)
    }

    pub fn set_phase(&mut self, to: Phase) {
        if self.phase != to {
            log::trace!(
                "{}#{} {:?} -> {:?}",
                self.task(),
                self.attempt,
                self.phase,
                to
            );
            self.phase = to;
        }
    }

    /// Counts towards limits, room, zones: all that is not proven gone.
    pub fn present(&self) -> bool {
        !matches!(self.phase, Phase::Exited { .. })
    }
}

/// The stored copy of something the leader writes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stored {
    /// The stamp it has; `None`: a write went unanswered, read before writing again.
    pub version: Option<u64>,
    /// Must be written before something goes on.
    pub dirty: bool,
    /// Holds more than it need; written when there is nothing better to do.
    pub stale: bool,
    pub writing: bool,
}

impl Stored {
    pub fn absent() -> Stored {
        Stored::at(0)
    }
    pub fn at(version: u64) -> Stored {
        Stored {
            version: Some(version),
            dirty: false,
            stale: false,
            writing: false,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// Rented, not heard from.
    Booting,
    Up,
    /// Gets nothing new: notice, faults, or too many leftovers.
    Draining,
    /// A delete has been or will be asked for.
    Deleting,
}

/// Whether what we say reaches a machine that we hear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    Fine,
    /// So many answers or commands in a row had no effect.
    Doubtful {
        misses: u32,
    },
    /// It hears nothing.
    Deaf {
        since: Ms,
    },
}

#[derive(Clone, Debug)]
pub struct Machine {
    pub id: String,
    pub addr: Option<String>,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub life: Life,
    pub session: u64,
    pub seq: u64,
    pub heard: Option<Ms>,
    /// Last heard through the state service: commands don't reach it.
    pub far: bool,
    /// The last report was made under our token.
    pub under_token: bool,
    pub reach: Reach,
    pub inspect_at: Ms,
    /// Reports answered since its last silence.
    pub answered: u32,
    pub known_since: Ms,
    /// Rented at, as far as we know.
    pub born: Ms,
    pub listed: bool,
    /// The last list called it running.
    pub listed_up: bool,
    /// Lists without it since it was listed or heard.
    pub missing: u32,
    /// Taken away by the cloud at.
    pub notice: Option<Ms>,
    pub placements: Vec<Placement>,
    /// Tasks held for room freeing next.
    pub held: Vec<(String, u32)>,
    /// The record that tells of it.
    pub shard: Option<u32>,
    /// A predecessor left tasks here.
    pub loaded: bool,
    /// A direct command is unanswered.
    pub do_open: Option<u64>,
    /// A direct command with a `run` was given up in this session: it may still arrive.
    pub do_lost: bool,
    /// Images fetched, most recent last.
    pub images: VecDeque<(String, f64)>,
    pub errors: BTreeSet<String>,
    pub full_until: Ms,
    pub idle_since: Option<Ms>,
    pub delete_sent: Ms,
    /// cpu-milliseconds its tasks ran, fetched; for the log.
    pub ran: f64,
    pub fetched: f64,
    pub up_at: Option<Ms>,
    /// What the sums hold of it.
    shown: Shown,
}

impl Machine {
    pub fn new(id: &str, kind: &str, zone: &str, spot: bool, now: Ms) -> Machine {
        Machine {
            id: id.into(),
            addr: None,
            kind: kind.into(),
            zone: zone.into(),
            spot,
            life: Life::Booting,
            session: 0,
            seq: 0,
            heard: None,
            far: false,
            under_token: false,
            reach: Reach::Fine,
            inspect_at: 0,
            answered: 0,
            known_since: now,
            born: now,
            listed: false,
            listed_up: false,
            missing: 0,
            notice: None,
            placements: vec![],
            held: vec![],
            shard: None,
            loaded: false,
            do_open: None,
            do_lost: false,
            images: VecDeque::new(),
            errors: BTreeSet::new(),
            full_until: 0,
            idle_since: None,
            delete_sent: 0,
            ran: 0.0,
            fetched: 0.0,
            up_at: None,
            shown: Shown::default(),
        }
    }

    pub fn set_life(&mut self, to: Life) {
        if self.life != to {
            log::info!("machine {} {:?} -> {:?}", self.id, self.life, to);
            self.life = to;
        }
    }

    fn set_reach(&mut self, to: Reach) {
        if self.reach != to {
            log::debug!("machine {} {:?} -> {:?}", self.id, self.reach, to);
            self.reach = to;
        }
    }

    /// Something we sent had its effect.
    pub fn reached(&mut self) {
        self.set_reach(Reach::Fine);
    }

    /// What we sent had no effect, once more.
    pub fn missed(&mut self, now: Ms) {
        let misses = match self.reach {
            Reach::Fine => 1,
            Reach::Doubtful { misses } => misses + 1,
            Reach::Deaf { .. } => return,
        };
        if misses >= k::DEAF_MISSES {
            log::warn!("machine {} is heard but does not hear us", self.id);
            self.set_reach(Reach::Deaf { since: now });
        } else {
            self.set_reach(Reach::Doubtful { misses });
        }
    }

    pub fn deaf(&self) -> bool {
        matches!(self.reach, Reach::Deaf { .. })
    }

    /// Good for new tasks: nearly all we sent lately had its effect.
    pub fn trusted(&self) -> bool {
        match self.reach {
            Reach::Fine => true,
            Reach::Doubtful { misses } => misses < k::DEAF_MISSES - 1,
            Reach::Deaf { .. } => false,
        }
    }

    pub fn used(&self) -> (f64, f64, f64) {
        self.placements
            .iter()
            .filter(|p| p.present())
            .fold((0.0, 0.0, 0.0), |(c, g, m), p| {
                (c + p.cpus, g + p.gpus, m + p.memory)
            })
    }

    pub fn free(&self, kind: &MachineType) -> (f64, f64, f64) {
        let (c, g, m) = self.used();
        (kind.cpus - c, kind.gpus - g, kind.memory_gb - m)
    }

    /// Adds up what its tasks used since it was last heard.
    pub fn count_use(&mut self, now: Ms) {
        let dt = now.saturating_sub(self.heard.unwrap_or(now)) as f64;
        for p in &self.placements {
            match p.phase {
                Phase::Running | Phase::Saving => self.ran += p.cpus * dt,
                Phase::Fetching | Phase::Gathering => self.fetched += p.cpus * dt,
                _ => {}
            }
        }
        self.up_at.get_or_insert(now);
    }

    /// What became of the money spent on it, for the log.
    pub fn account(&self, now: Ms, cpus: f64) -> String {
        let s = |ms: u64| ms as f64 / 1e3;
        let boot = self.up_at.map_or(now, |u| u).saturating_sub(self.born);
        let up = self.up_at.map_or(0, |u| now.saturating_sub(u));
        let part = |x: f64| x / (cpus * up as f64).max(1.0);
        format!(
            "{} {} boot {:.0} s, up {:.0} s, ran {:.2}, fetched {:.2}",
            self.kind,
            if self.spot { "spot" } else { "ordinary" },
            s(boot),
            s(up),
            part(self.ran),
            part(self.fetched)
        )
    }

    pub fn idle(&self) -> bool {
        self.held.is_empty() && !self.placements.iter().any(Placement::present)
    }

    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(i, _)| i == image)
    }

    /// Remembers what the worker's cache holds: the most recently used images that fit.
    pub fn use_image(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.images.retain(|(i, _)| i != image);
        self.images.push_back((image.into(), gb));
        let mut sum: f64 = self.images.iter().map(|(_, g)| g).sum();
        while sum > cache_gb && self.images.len() > 1 {
            sum -= self.images.pop_front().map_or(0.0, |(_, g)| g);
        }
    }

    /// Something waits to be sent to it, time aside.
    fn wants_commands(&self) -> bool {
        self.placements.iter().any(|p| match p.phase {
            Phase::Ready => p.stop.is_none(),
            Phase::Fetching | Phase::Gathering | Phase::Running => p.stop.is_some(),
            _ => false,
        })
    }

    pub fn quiet(&self, now: Ms, report_s: f64) -> bool {
        match self.heard {
            Some(at) => now.saturating_sub(at) as f64 > report_s * k::QUIET_PERIODS * 1e3,
            None => true,
        }
    }
}

// ---- All machines --------------------------------------------------------------------------

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
struct Shown {
    entries: Vec<Entry>,
    zone: String,
    commands: bool,
    deleting: bool,
}

impl Shown {
    fn of(m: &Machine) -> Shown {
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
    fn fits(&self, m: &Machine) -> bool {
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

/// What is known of a job over all machines.
#[derive(Clone, Debug, Default)]
pub struct JobUse {
    /// On how many machines each task may be.
    present: HashMap<u32, u32>,
    held: HashMap<u32, u32>,
    pub running: u32,
    /// Placements of any phase and held tasks, by machine.
    machines: BTreeMap<String, u32>,
    /// Tasks that may be on machines, by zone.
    zones: BTreeMap<String, u32>,
}

/// Sums over the placements of all machines, so that nothing has to look at all of them.
#[derive(Debug, Default)]
struct Sums {
    teams: HashMap<String, (i64, i64)>,
    jobs: HashMap<String, JobUse>,
    commands: BTreeSet<String>,
    deleting: BTreeSet<String>,
    /// Jobs whose count of running tasks changed since it was last told.
    counted: BTreeSet<String>,
}

impl Sums {
    fn add(&mut self, id: &str, shown: &Shown, sign: i64) {
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

    fn update(&mut self, m: &mut Machine) {
        if m.shown.fits(m) {
            return;
        }
        let new = Shown::of(m);
        self.add(&m.id, &m.shown, -1);
        self.add(&m.id, &new, 1);
        m.shown = new;
    }
}

/// All machines by name. Whoever changes one does so through `edit`, and the sums follow.
#[derive(Debug, Default)]
pub struct Machines {
    map: BTreeMap<String, Machine>,
    sums: Sums,
    /// Machines looked at so far: what the work comes to, whatever a processor does a second.
    looks: Cell<u64>,
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
    pub fn get(&self, id: &str) -> Option<&Machine> {
        self.looked(1);
        self.map.get(id)
    }

    pub fn values(&self) -> impl Iterator<Item = &Machine> {
        self.looked(self.map.len());
        self.map.values()
    }

    fn looked(&self, n: usize) {
        self.looks.set(self.looks.get() + n as u64);
    }

    pub fn looks(&self) -> u64 {
        self.looks.get()
    }

    pub fn len(&self) -> usize {
        self.map.len()
    }

    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    pub fn edit(&mut self, id: &str) -> Option<Edit<'_>> {
        self.looked(1);
        let m = self.map.get_mut(id)?;
        let sums = &mut self.sums;
        Some(Edit { m, sums })
    }

    /// Changes each machine in turn.
    pub fn edit_all(&mut self, mut change: impl FnMut(&mut Machine)) {
        self.looked(self.map.len());
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

    pub fn held_of(&self, job: &str) -> usize {
        self.sums.jobs.get(job).map_or(0, |j| j.held.len())
    }

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

    pub fn deleting(&self) -> impl Iterator<Item = &Machine> {
        self.sums.deleting.iter().filter_map(|id| self.map.get(id))
    }

    /// Jobs whose running tasks changed in number since this was last asked.
    pub fn take_counted(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.sums.counted)
    }
}

/// The record that tells of a group of machines.
#[derive(Clone, Debug)]
pub struct Shard {
    pub stored: Stored,
    pub machines: BTreeSet<String>,
    /// Bytes of JSON it takes at most, and the jobs counted in them.
    pub bytes: usize,
    pub jobs: HashSet<String>,
    /// Urgent work waits for its write.
    pub urgent: bool,
    /// Since when something in it waits to be written.
    pub since: Ms,
    /// Records that took over machines this one tells of: until they are stored it stays as it is.
    pub successors: BTreeSet<u32>,
}

impl Shard {
    pub fn new(stored: Stored) -> Shard {
        Shard {
            stored,
            machines: BTreeSet::new(),
            bytes: k::SHARD_HEAD_BYTES,
            jobs: HashSet::new(),
            urgent: false,
            since: 0,
            successors: BTreeSet::new(),
        }
    }

    pub fn due(&self) -> bool {
        self.stored.dirty || self.stored.stale
    }

    /// One more task of the job goes in.
    pub fn add(&mut self, now: Ms, job: &str) {
        self.bytes += self.more(job);
        self.jobs.insert(job.to_owned());
        if !self.stored.dirty {
            self.since = now;
        }
        self.stored.dirty = true;
    }

    /// Bytes that one more task of the job takes at most.
    pub fn more(&self, job: &str) -> usize {
        let new = !self.jobs.contains(job);
        k::SHARD_TASK_BYTES + if new { k::SHARD_JOB_BYTES } else { 0 }
    }
}

/// A chunk of a job's finished tasks.
#[derive(Clone, Debug)]
pub struct Chunk {
    pub stored: Stored,
    /// Since when it has to be written.
    pub since: Ms,
}

impl Chunk {
    pub fn new(stored: Stored) -> Chunk {
        Chunk { stored, since: 0 }
    }
}

/// An accepted job that has not ended.
#[derive(Clone, Debug)]
pub struct Work {
    pub spec: JobSpec,
    /// Time of day of the submission, ms.
    pub at: u64,
    /// Waiting tasks; the lowest number starts first. A gang's are never here, see `gang`.
    pub pending: BTreeSet<u32>,
    /// Of the waiting tasks, those dropped by the pruner: they run in leftover room.
    pub dropped: BTreeSet<u32>,
    pub done: Bitmap,
    pub done_count: u32,
    pub chunks: BTreeMap<u32, Chunk>,
    /// The end is being stored.
    pub ending: bool,
    /// Machines where it failed.
    pub bad: HashSet<String>,
    pub failures: u32,
    pub retry_at: Ms,
    pub missed: bool,
    /// When a task of it was last placed, or it was first seen.
    pub moved_at: Option<Ms>,
    /// Tasks that are to be placed before other work, since it waited for long.
    pub owed: usize,
    /// Its tasks start and end together.
    pub gang: Option<Gang>,
}

impl Work {
    pub fn new(spec: JobSpec, at: u64) -> Work {
        let gang = (spec.kind == JobKind::Gang).then(Gang::default);
        let single = if gang.is_some() { 0 } else { spec.tasks };
        Work {
            pending: (0..single).collect(),
            gang,
            spec,
            at,
            dropped: BTreeSet::new(),
            done: Bitmap::default(),
            done_count: 0,
            chunks: BTreeMap::new(),
            ending: false,
            bad: HashSet::new(),
            failures: 0,
            retry_at: 0,
            missed: false,
            moved_at: None,
            owed: 0,
        }
    }

    /// Seconds from `wall_ms` to the deadline; negative when late.
    pub fn due_s(&self, wall_ms: u64) -> Option<f64> {
        let due = self.spec.deadline_s?;
        Some(due - (wall_ms as f64 - self.at as f64) / 1e3)
    }

    pub fn urgent(&self) -> bool {
        self.spec.priority >= Priority::High || self.spec.kind == JobKind::Service
    }

    /// Takes a waiting task out, by number.
    pub fn take(&mut self, index: u32) -> bool {
        self.pending.remove(&index)
    }

    pub fn give_back(&mut self, index: u32) {
        if self.gang.is_none() && !self.done.get(index) {
            self.pending.insert(index);
        }
    }

    /// Waiting tasks that the pruner has not dropped.
    pub fn fresh(&self) -> usize {
        self.pending.len() - self.pending.intersection(&self.dropped).count()
    }

    pub fn next_fresh(&self) -> Option<u32> {
        let mut fresh = self.pending.iter().filter(|n| !self.dropped.contains(n));
        fresh.next().copied()
    }

    pub fn next_dropped(&self) -> Option<u32> {
        let mut dropped = self.dropped.iter().filter(|n| self.pending.contains(n));
        dropped.next().copied()
    }
}

#[cfg(test)]
#[path = "ledger_tests.rs"]
mod tests;
