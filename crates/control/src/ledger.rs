//! What the leader holds about machines, the tasks that may be on them, and the jobs' work.
use crate::api::Ms;
use crate::records::{task_name, Bitmap, MachineRecord, PlacedRecord};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use stonegw_constants as k;
use stonegw_wire::msg::{ExitCause, JobKind, JobSpec, MachineType, Priority};

/// A task on a machine, from the decision until it is proven gone.
///
/// `New` -> `Ready` (stored) -> `Sent` -> `Fetching` -> `Running` (-> `Saving`) -> `Exited`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// Not stored yet: no `run` may go out.
    New,
    /// Stored; no `run` has gone out.
    Ready,
    /// A `run` has gone out, by us or by an earlier leader; the worker has not shown it.
    Sent,
    Fetching,
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
        }
    }

    pub fn task(&self) -> String {
        task_name(&self.job, self.index)
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
    /// Deleted; only the stored record has to go.
    Gone,
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
    pub known_since: Ms,
    /// Rented at, as far as we know.
    pub born: Ms,
    pub listed: bool,
    /// Lists without it since it was listed or heard.
    pub missing: u32,
    /// Taken away by the cloud at.
    pub notice: Option<Ms>,
    pub placements: Vec<Placement>,
    /// Tasks held for room freeing next.
    pub held: Vec<(String, u32)>,
    pub stored: Stored,
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
            known_since: now,
            born: now,
            listed: false,
            missing: 0,
            notice: None,
            placements: vec![],
            held: vec![],
            stored: Stored::absent(),
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
        }
    }

    pub fn set_life(&mut self, to: Life) {
        if self.life != to {
            log::info!("machine {} {:?} -> {:?}", self.id, self.life, to);
            self.life = to;
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
                Phase::Fetching => self.fetched += p.cpus * dt,
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

    pub fn quiet(&self, now: Ms, report_s: f64) -> bool {
        match self.heard {
            Some(at) => now.saturating_sub(at) as f64 > report_s * k::QUIET_PERIODS * 1e3,
            None => true,
        }
    }

    pub fn record(&self) -> MachineRecord {
        let tasks = self.placements.iter().filter(|p| p.present());
        MachineRecord {
            machine_type: self.kind.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            addr: self.addr.clone(),
            tasks: tasks
                .map(|p| PlacedRecord {
                    task: p.task(),
                    attempt: p.attempt,
                    cpus: p.cpus,
                    gpus: p.gpus,
                    mem: p.memory,
                    team: p.team.clone(),
                })
                .collect(),
        }
    }

    /// Bytes of JSON that the record takes, on the safe side, with one more task of this team.
    pub fn record_bytes(&self, team: &str) -> usize {
        let each = |t: &str| 140 + t.len();
        let sum: usize = self
            .placements
            .iter()
            .filter(|p| p.present())
            .map(|p| each(&p.team))
            .sum();
        300 + sum + each(team)
    }
}

/// A chunk of a job's finished tasks.
#[derive(Clone, Debug)]
pub struct Chunk {
    pub stored: Stored,
}

/// An accepted job that has not ended.
#[derive(Clone, Debug)]
pub struct Work {
    pub spec: JobSpec,
    /// Time of day of the submission, ms.
    pub at: u64,
    /// Waiting tasks, in the order they are to start.
    pub pending: VecDeque<u32>,
    /// Of the waiting tasks, those dropped by the pruner: they run in leftover room.
    pub dropped: HashSet<u32>,
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
}

impl Work {
    pub fn new(spec: JobSpec, at: u64) -> Work {
        Work {
            pending: (0..spec.tasks).collect(),
            spec,
            at,
            dropped: HashSet::new(),
            done: Bitmap::default(),
            done_count: 0,
            chunks: BTreeMap::new(),
            ending: false,
            bad: HashSet::new(),
            failures: 0,
            retry_at: 0,
            missed: false,
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
        match self.pending.iter().position(|p| *p == index) {
            Some(at) => {
                self.pending.remove(at);
                true
            }
            None => false,
        }
    }

    pub fn give_back(&mut self, index: u32) {
        if !self.done.get(index) && !self.pending.contains(&index) {
            self.pending.push_front(index);
        }
    }
}

/// Room and limits of a team, counted over all that is not proven gone.
pub fn team_usage(machines: &BTreeMap<String, Machine>) -> HashMap<String, (f64, f64)> {
    let mut out: HashMap<String, (f64, f64)> = HashMap::new();
    for p in machines.values().flat_map(|m| &m.placements) {
        if p.present() {
            let u = out.entry(p.team.clone()).or_default();
            u.0 += p.cpus;
            u.1 += p.gpus;
        }
    }
    out
}
