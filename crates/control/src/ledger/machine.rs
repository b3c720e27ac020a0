//! One machine: its life, how well it is reached, and the tasks on it.
use super::sums::Shown;
use super::{Phase, Placement};
use crate::api::Ms;
use crate::pause::Pause;
use std::collections::{BTreeSet, VecDeque};
use stonegw_constants as k;
use stonegw_wire::msg::MachineType;

/// How far a machine is between its rental and its return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// Rented, not heard from.
    Booting,
    /// Heard from; may get tasks.
    Up,
    /// Gets nothing new: notice, faults, or too many leftovers.
    Draining,
    /// A delete has been or will be asked for.
    Deleting,
}

/// Whether what we say reaches a machine that we hear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Everything we send has its effect.
    Fine,
    /// So many answers or commands in a row had no effect.
    Doubtful {
        /// How many.
        misses: u32,
    },
    /// It hears nothing.
    Deaf {
        /// Found to be so at.
        since: Ms,
    },
}

/// What the leader holds about one machine.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its name at the cloud.
    pub id: String,
    /// Where its worker listens, if known.
    pub addr: Option<String>,
    /// The name of its type in the catalogue.
    pub kind: String,
    /// The zone it is in.
    pub zone: String,
    /// Rented as a spot machine.
    pub spot: bool,
    /// How far it is between rental and return.
    pub life: Life,
    /// The worker's session, as last reported.
    pub session: u64,
    /// The highest sequence number of a report in this session.
    pub seq: u64,
    /// When it was last heard.
    pub heard: Option<Ms>,
    /// Last heard through the state service: commands don't reach it.
    pub via_state: bool,
    /// The last report was made under our token.
    pub under_token: bool,
    /// Whether what we say reaches it.
    pub reach: Reach,
    /// Not asked anew whether it hears us before.
    pub inspect_at: Ms,
    /// Reports answered since its last silence.
    pub answered: u32,
    /// When this leader first knew of it.
    pub known_since: Ms,
    /// Rented at, as far as we know.
    pub born: Ms,
    /// Some list of the cloud had it.
    pub listed: bool,
    /// The last list called it running.
    pub listed_up: bool,
    /// Lists without it since it was listed or heard.
    pub missing: u32,
    /// Taken away by the cloud at.
    pub notice: Option<Ms>,
    /// Its tasks, until what follows from their end is stored.
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
    /// Jobs whose tasks failed here.
    pub errors: BTreeSet<String>,
    /// It refused a task for want of room: gets nothing new before.
    pub full_until: Ms,
    /// Without any task since.
    pub idle_since: Option<Ms>,
    /// When its deletion was last asked for; 0 for never.
    pub delete_sent: Ms,
    /// CPU-milliseconds its tasks ran; for the log.
    pub ran: f64,
    /// The same for tasks that fetched their images.
    pub fetched: f64,
    /// When it was first heard.
    pub up_at: Option<Ms>,
    /// What the sums hold of it.
    pub(super) shown: Shown,
}

impl Machine {
    /// A machine just rented or found, without tasks.
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
            via_state: false,
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

    /// Moves it to another stage of its life and logs the change.
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

    /// Its node ran again after a pause: its silence, its boot and its idleness are timed anew, and how long
    /// its present tasks run is not known.
    pub fn resume(&mut self, pause: Pause) {
        if let Some(at) = &mut self.heard {
            *at = pause.now;
        }
        for at in [&mut self.known_since, &mut self.born] {
            pause.shift(at);
        }
        pause.shift_some(&mut self.idle_since);
        if let Reach::Deaf { since } = &mut self.reach {
            *since = pause.now;
        }
        for p in &mut self.placements {
            p.run_untimed = true;
            pause.shift_some(&mut p.exited_at);
        }
    }

    /// Whether it hears nothing we send.
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

    /// CPUs, cards and memory that its present tasks take.
    pub fn used(&self) -> (f64, f64, f64) {
        self.placements
            .iter()
            .filter(|p| p.present())
            .fold((0.0, 0.0, 0.0), |(c, g, m), p| {
                (c + p.cpus, g + p.gpus, m + p.memory)
            })
    }

    /// CPUs, cards and memory that its present tasks leave free.
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

    /// Whether no task is on it or held for it.
    pub fn idle(&self) -> bool {
        self.held.is_empty() && !self.placements.iter().any(Placement::present)
    }

    /// Whether its cache should hold the image.
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
    pub(super) fn wants_commands(&self) -> bool {
        self.placements.iter().any(|p| match p.phase {
            Phase::Ready => p.stop.is_none(),
            Phase::Fetching | Phase::Gathering | Phase::Running => p.stop.is_some(),
            _ => false,
        })
    }

    /// Whether its reports have stayed out for too long.
    pub fn quiet(&self, now: Ms, report_s: f64) -> bool {
        match self.heard {
            Some(at) => now.saturating_sub(at) as f64 > report_s * k::QUIET_PERIODS * 1e3,
            None => true,
        }
    }
}
