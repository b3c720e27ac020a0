//! One machine: its lifecycle, what its worker and the cloud say of it, and the tasks on it.
use super::command_channel::CommandChannel;
use super::usage_account::UsageAccount;
use super::usage_totals::AccountedUsage;
use super::{Phase, Placement, TaskKey};
use crate::api::Millis;
use crate::pause::Pause;
use crate::resources::Resources;
use std::collections::{BTreeSet, VecDeque};
use stonegw_constants::SILENT_HEARTBEAT_INTERVALS;
use stonegw_wire::msg::MachineType;

/// How far a machine is between its provisioning and its termination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// Requested from the cloud; no heartbeat yet.
    Provisioning,
    /// Sends heartbeats; may get tasks.
    Ready,
    /// Gets nothing new: the cloud takes it back, it is faulty, or there are too many machines.
    Draining,
    /// Its deletion has been or will be requested.
    Terminating,
}

/// An image that a machine's cache should hold.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedImage {
    /// The image's name.
    pub name: String,
    /// Its size in GB.
    pub size_gb: f64,
}

/// What the leader holds about one machine.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its id at the cloud.
    pub id: String,
    /// Where its worker listens, if known.
    pub addr: Option<String>,
    /// The name of its type in the catalogue.
    pub machine_type: String,
    /// The zone it is in.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// How far it is between provisioning and termination.
    pub lifecycle: Lifecycle,
    /// The worker's incarnation, as of its newest heartbeat.
    pub incarnation: u64,
    /// The sequence number of the newest heartbeat of this incarnation.
    pub sequence: u64,
    /// When its newest heartbeat arrived.
    pub last_heartbeat_at: Option<Millis>,
    /// Its newest heartbeat was relayed through the store: commands don't reach it.
    pub via_store: bool,
    /// The worker has seen our term: its newest heartbeat carries our fencing token.
    pub under_current_term: bool,
    /// Whether and how commands reach it.
    pub commands: CommandChannel,
    /// When this leader first knew of it.
    pub known_since: Millis,
    /// Provisioned at, as far as we know.
    pub provisioned_at: Millis,
    /// Some listing of the cloud had it.
    pub was_listed: bool,
    /// The last listing called it running.
    pub listed_as_running: bool,
    /// Listings without it since its last heartbeat or listing.
    pub absent_listings: u32,
    /// When the cloud takes it back, if that was announced.
    pub eviction_at: Option<Millis>,
    /// Its tasks, until the outcome of each is stored.
    pub placements: Vec<Placement>,
    /// Tasks queued for the capacity that frees next.
    pub queued: Vec<TaskKey>,
    /// The number of the machine group whose record holds its placements.
    pub machine_group: Option<u32>,
    /// A predecessor left tasks here.
    pub loaded_from_store: bool,
    /// Images in its cache, most recently used last.
    pub cached_images: VecDeque<CachedImage>,
    /// Jobs whose tasks failed here.
    pub failed_jobs: BTreeSet<String>,
    /// It refused a task for want of capacity: it gets nothing new before.
    pub full_until: Millis,
    /// Without any task since.
    pub idle_since: Option<Millis>,
    /// When its deletion was last requested; 0 for never.
    pub last_delete_sent_at: Millis,
    /// What its time was spent on.
    pub usage_account: UsageAccount,
    /// What the totals hold of it.
    pub(super) accounted_usage: AccountedUsage,
}

impl Machine {
    /// A machine just provisioned or found, without tasks.
    pub fn new(id: &str, machine_type: &str, zone: &str, spot: bool, now: Millis) -> Machine {
        Machine {
            id: id.into(),
            addr: None,
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            lifecycle: Lifecycle::Provisioning,
            incarnation: 0,
            sequence: 0,
            last_heartbeat_at: None,
            via_store: false,
            under_current_term: false,
            commands: CommandChannel::default(),
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
            cached_images: VecDeque::new(),
            failed_jobs: BTreeSet::new(),
            full_until: 0,
            idle_since: None,
            last_delete_sent_at: 0,
            usage_account: UsageAccount::default(),
            accounted_usage: AccountedUsage::default(),
        }
    }

    /// Moves it to another stage of its lifecycle and logs the change.
    pub fn set_lifecycle(&mut self, to: Lifecycle) {
        if self.lifecycle != to {
            log::info!("machine {} {:?} -> {:?}", self.id, self.lifecycle, to);
            self.lifecycle = to;
        }
    }

    /// The leader's process ran again after a pause: the machine's silence, boot and idleness are
    /// timed anew, and how long its present tasks run is not known.
    pub fn resume(&mut self, pause: Pause) {
        if let Some(at) = &mut self.last_heartbeat_at {
            *at = pause.now;
        }
        for at in [&mut self.known_since, &mut self.provisioned_at] {
            pause.shift(at);
        }
        pause.shift_if_set(&mut self.idle_since);
        self.commands.resume(pause.now);
        for placement in &mut self.placements {
            placement.run_time_unknown = true;
            pause.shift_if_set(&mut placement.exited_at);
        }
    }

    /// Whether nothing we send to it has any effect.
    pub fn is_unreachable(&self) -> bool {
        self.commands.is_unreachable()
    }

    /// Good for new tasks: nearly all we sent lately had its effect.
    pub fn is_trusted(&self) -> bool {
        self.commands.is_trusted()
    }

    /// What its present tasks take.
    pub fn used_resources(&self) -> Resources {
        self.placements
            .iter()
            .filter(|placement| placement.is_present())
            .fold(Resources::default(), |used, placement| {
                used + placement.resources()
            })
    }

    /// What its present tasks leave free.
    pub fn free_resources(&self, machine_type: &MachineType) -> Resources {
        Resources::of_type(machine_type) - self.used_resources()
    }

    /// Adds up what its tasks used since its last heartbeat.
    pub fn accumulate_usage(&mut self, now: Millis) {
        let elapsed_ms = now.saturating_sub(self.last_heartbeat_at.unwrap_or(now)) as f64;
        self.usage_account.add(&self.placements, elapsed_ms, now);
    }

    /// What its time, and so the money spent on it, went to; for the log.
    pub fn describe_usage(&self, now: Millis, cpus: f64) -> String {
        let market = if self.spot { "spot" } else { "ordinary" };
        let usage = self.usage_account.describe(self.provisioned_at, now, cpus);
        format!("{} {market} {usage}", self.machine_type)
    }

    /// Whether no task is on it or queued for it.
    pub fn is_idle(&self) -> bool {
        self.queued.is_empty() && !self.placements.iter().any(Placement::is_present)
    }

    /// Whether its cache should hold the image.
    pub fn has_image(&self, image: &str) -> bool {
        self.cached_images.iter().any(|cached| cached.name == image)
    }

    /// Remembers what the worker's cache holds: the most recently used images that fit.
    pub fn record_image_use(&mut self, image: &str, size_gb: f64, cache_gb: f64) {
        self.cached_images.retain(|cached| cached.name != image);
        self.cached_images.push_back(CachedImage {
            name: image.into(),
            size_gb,
        });
        let mut total_gb: f64 = self.cached_images.iter().map(|cached| cached.size_gb).sum();
        while total_gb > cache_gb && self.cached_images.len() > 1 {
            let evicted = self.cached_images.pop_front();
            total_gb -= evicted.map_or(0.0, |cached| cached.size_gb);
        }
    }

    /// Whether a command may be due for it, whatever the time.
    pub(super) fn has_pending_commands(&self) -> bool {
        self.placements
            .iter()
            .any(|placement| match placement.phase {
                Phase::Startable => placement.stop_grace_s.is_none(),
                Phase::Fetching | Phase::WaitingForGang | Phase::Running => {
                    placement.stop_grace_s.is_some()
                }
                _ => false,
            })
    }

    /// Whether its heartbeats have been missing for too long.
    pub fn is_silent(&self, now: Millis, heartbeat_interval_s: f64) -> bool {
        let max_silence_ms = heartbeat_interval_s * SILENT_HEARTBEAT_INTERVALS * 1e3;
        match self.last_heartbeat_at {
            Some(at) => now.saturating_sub(at) as f64 > max_silence_ms,
            None => true,
        }
    }
}
