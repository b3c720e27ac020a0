//! One machine: its life, how well it is reached, and the tasks on it.
use super::usage_totals::AccountedUsage;
use super::{Phase, Placement};
use crate::api::Millis;
use crate::pause::Pause;
use std::collections::{BTreeSet, VecDeque};
use stonegw_constants::{SILENT_HEARTBEAT_INTERVALS, UNREACHABLE_MISSES};
use stonegw_wire::msg::MachineType;

/// How far a machine is between its rental and its return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// Rented, not heard from.
    Provisioning,
    /// Heard from; may get tasks.
    Ready,
    /// Gets nothing new: notice, faults, or too many leftovers.
    Draining,
    /// A delete has been or will be asked for.
    Terminating,
}

/// Whether what we say reaches a machine that we hear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// Everything we send has its effect.
    Reachable,
    /// So many answers or commands in a row had no effect.
    Suspected {
        /// How many.
        undelivered: u32,
    },
    /// It hears nothing.
    Unreachable {
        /// Found to be so at.
        since: Millis,
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
    pub machine_type: String,
    /// The zone it is in.
    pub zone: String,
    /// Rented as a spot machine.
    pub spot: bool,
    /// How far it is between rental and return.
    pub lifecycle: Lifecycle,
    /// The worker's session, as last reported.
    pub incarnation: u64,
    /// The highest sequence number of a report in this session.
    pub sequence: u64,
    /// When it was last heard.
    pub last_heartbeat_at: Option<Millis>,
    /// Last heard through the state service: commands don't reach it.
    pub via_store: bool,
    /// The last report was made under our token.
    pub under_current_term: bool,
    /// Whether what we say reaches it.
    pub reachability: Reachability,
    /// Not asked anew whether it hears us before.
    pub next_probe_at: Millis,
    /// Reports answered since its last silence.
    pub answered_heartbeats: u32,
    /// When this leader first knew of it.
    pub known_since: Millis,
    /// Rented at, as far as we know.
    pub provisioned_at: Millis,
    /// Some list of the cloud had it.
    pub was_listed: bool,
    /// The last list called it running.
    pub listed_as_running: bool,
    /// Lists without it since it was listed or heard.
    pub absent_listings: u32,
    /// Taken away by the cloud at.
    pub eviction_at: Option<Millis>,
    /// Its tasks, until what follows from their end is stored.
    pub placements: Vec<Placement>,
    /// Tasks held for room freeing next.
    pub queued: Vec<(String, u32)>,
    /// The record that tells of it.
    pub machine_group: Option<u32>,
    /// A predecessor left tasks here.
    pub loaded_from_store: bool,
    /// A direct command is unanswered.
    pub command_in_flight: Option<u64>,
    /// A direct command with a `run` was given up in this session: it may still arrive.
    pub command_unanswered: bool,
    /// Images fetched, most recent last.
    pub cached_images: VecDeque<(String, f64)>,
    /// Jobs whose tasks failed here.
    pub failed_jobs: BTreeSet<String>,
    /// It refused a task for want of room: gets nothing new before.
    pub full_until: Millis,
    /// Without any task since.
    pub idle_since: Option<Millis>,
    /// When its deletion was last asked for; 0 for never.
    pub last_delete_sent_at: Millis,
    /// CPU-milliseconds its tasks ran; for the log.
    pub run_cpu_ms: f64,
    /// The same for tasks that fetched their images.
    pub fetch_cpu_ms: f64,
    /// When it was first heard.
    pub first_heartbeat_at: Option<Millis>,
    /// What the sums hold of it.
    pub(super) accounted_usage: AccountedUsage,
}

impl Machine {
    /// A machine just rented or found, without tasks.
    pub fn new(id: &str, kind: &str, zone: &str, spot: bool, now: Millis) -> Machine {
        Machine {
            id: id.into(),
            addr: None,
            machine_type: kind.into(),
            zone: zone.into(),
            spot,
            lifecycle: Lifecycle::Provisioning,
            incarnation: 0,
            sequence: 0,
            last_heartbeat_at: None,
            via_store: false,
            under_current_term: false,
            reachability: Reachability::Reachable,
            next_probe_at: 0,
            answered_heartbeats: 0,
            known_since: now,
            provisioned_at: now,
            was_listed: false,
            listed_as_running: false,
            absent_listings: 0,
            eviction_at: None,
            placements: vec![],
            queued: vec![],
            machine_group: None,
            loaded_from_store: false,
            command_in_flight: None,
            command_unanswered: false,
            cached_images: VecDeque::new(),
            failed_jobs: BTreeSet::new(),
            full_until: 0,
            idle_since: None,
            last_delete_sent_at: 0,
            run_cpu_ms: 0.0,
            fetch_cpu_ms: 0.0,
            first_heartbeat_at: None,
            accounted_usage: AccountedUsage::default(),
        }
    }

    /// Moves it to another stage of its life and logs the change.
    pub fn set_lifecycle(&mut self, to: Lifecycle) {
        if self.lifecycle != to {
            log::info!("machine {} {:?} -> {:?}", self.id, self.lifecycle, to);
            self.lifecycle = to;
        }
    }

    fn set_reachability(&mut self, to: Reachability) {
        if self.reachability != to {
            log::debug!("machine {} {:?} -> {:?}", self.id, self.reachability, to);
            self.reachability = to;
        }
    }

    /// Something we sent had its effect.
    pub fn record_delivered(&mut self) {
        self.set_reachability(Reachability::Reachable);
    }

    /// What we sent had no effect, once more.
    pub fn record_undelivered(&mut self, now: Millis) {
        let misses = match self.reachability {
            Reachability::Reachable => 1,
            Reachability::Suspected {
                undelivered: misses,
            } => misses + 1,
            Reachability::Unreachable { .. } => return,
        };
        if misses >= UNREACHABLE_MISSES {
            log::warn!("machine {} is heard but does not hear us", self.id);
            self.set_reachability(Reachability::Unreachable { since: now });
        } else {
            self.set_reachability(Reachability::Suspected {
                undelivered: misses,
            });
        }
    }

    /// Its node ran again after a pause: its silence, its boot and its idleness are timed anew, and how long
    /// its present tasks run is not known.
    pub fn resume(&mut self, pause: Pause) {
        if let Some(at) = &mut self.last_heartbeat_at {
            *at = pause.now;
        }
        for at in [&mut self.known_since, &mut self.provisioned_at] {
            pause.shift(at);
        }
        pause.shift_if_set(&mut self.idle_since);
        if let Reachability::Unreachable { since } = &mut self.reachability {
            *since = pause.now;
        }
        for p in &mut self.placements {
            p.run_time_unknown = true;
            pause.shift_if_set(&mut p.exited_at);
        }
    }

    /// Whether it hears nothing we send.
    pub fn is_unreachable(&self) -> bool {
        matches!(self.reachability, Reachability::Unreachable { .. })
    }

    /// Good for new tasks: nearly all we sent lately had its effect.
    pub fn is_trusted(&self) -> bool {
        match self.reachability {
            Reachability::Reachable => true,
            Reachability::Suspected {
                undelivered: misses,
            } => misses < UNREACHABLE_MISSES - 1,
            Reachability::Unreachable { .. } => false,
        }
    }

    /// CPUs, cards and memory that its present tasks take.
    pub fn used_resources(&self) -> (f64, f64, f64) {
        self.placements
            .iter()
            .filter(|p| p.is_present())
            .fold((0.0, 0.0, 0.0), |(c, g, m), p| {
                (c + p.cpus, g + p.gpus, m + p.memory_gb)
            })
    }

    /// CPUs, cards and memory that its present tasks leave free.
    pub fn free_resources(&self, kind: &MachineType) -> (f64, f64, f64) {
        let (c, g, m) = self.used_resources();
        (kind.cpus - c, kind.gpus - g, kind.memory_gb - m)
    }

    /// Adds up what its tasks used since it was last heard.
    pub fn accumulate_usage(&mut self, now: Millis) {
        let dt = now.saturating_sub(self.last_heartbeat_at.unwrap_or(now)) as f64;
        for p in &self.placements {
            match p.phase {
                Phase::Running | Phase::Checkpointing => self.run_cpu_ms += p.cpus * dt,
                Phase::Fetching | Phase::WaitingForGang => self.fetch_cpu_ms += p.cpus * dt,
                _ => {}
            }
        }
        self.first_heartbeat_at.get_or_insert(now);
    }

    /// What became of the money spent on it, for the log.
    pub fn describe_usage(&self, now: Millis, cpus: f64) -> String {
        let s = |ms: u64| ms as f64 / 1e3;
        let boot = self
            .first_heartbeat_at
            .map_or(now, |u| u)
            .saturating_sub(self.provisioned_at);
        let up = self.first_heartbeat_at.map_or(0, |u| now.saturating_sub(u));
        let part = |x: f64| x / (cpus * up as f64).max(1.0);
        format!(
            "{} {} boot {:.0} s, up {:.0} s, ran {:.2}, fetched {:.2}",
            self.machine_type,
            if self.spot { "spot" } else { "ordinary" },
            s(boot),
            s(up),
            part(self.run_cpu_ms),
            part(self.fetch_cpu_ms)
        )
    }

    /// Whether no task is on it or held for it.
    pub fn is_idle(&self) -> bool {
        self.queued.is_empty() && !self.placements.iter().any(Placement::is_present)
    }

    /// Whether its cache should hold the image.
    pub fn has_image(&self, image: &str) -> bool {
        self.cached_images.iter().any(|(i, _)| i == image)
    }

    /// Remembers what the worker's cache holds: the most recently used images that fit.
    pub fn record_image_use(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.cached_images.retain(|(i, _)| i != image);
        self.cached_images.push_back((image.into(), gb));
        let mut sum: f64 = self.cached_images.iter().map(|(_, g)| g).sum();
        while sum > cache_gb && self.cached_images.len() > 1 {
            sum -= self.cached_images.pop_front().map_or(0.0, |(_, g)| g);
        }
    }

    /// Something waits to be sent to it, time aside.
    pub(super) fn has_pending_commands(&self) -> bool {
        self.placements.iter().any(|p| match p.phase {
            Phase::Startable => p.stop_grace_s.is_none(),
            Phase::Fetching | Phase::WaitingForGang | Phase::Running => p.stop_grace_s.is_some(),
            _ => false,
        })
    }

    /// Whether its reports have stayed out for too long.
    pub fn is_silent(&self, now: Millis, report_s: f64) -> bool {
        match self.last_heartbeat_at {
            Some(at) => now.saturating_sub(at) as f64 > report_s * SILENT_HEARTBEAT_INTERVALS * 1e3,
            None => true,
        }
    }
}
