//! One machine: its lifecycle, the state reported by its worker and by the cloud, and the tasks on
//! it.
use super::command_channel::CommandChannel;
use super::usage_account::UsageAccount;
use super::usage_totals::AccountedUsage;
use super::{Phase, Placement, TaskKey};
use crate::api::Millis;
use crate::fencing::HeartbeatPosition;
use crate::pause::Pause;
use crate::resources::Resources;
use std::collections::{BTreeSet, VecDeque};
use stonegw_constants::SILENT_HEARTBEAT_INTERVALS;
use stonegw_wire::msg::MachineType;

/// The stage of a machine between its provisioning and its termination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// The machine was requested from the cloud and has not sent a heartbeat to this leader yet.
    Provisioning,
    /// The machine has sent a heartbeat and may get tasks.
    Ready,
    /// The machine gets no new tasks, because the cloud is evicting it or it is faulty.
    Draining,
    /// The machine's deletion has been requested or is about to be requested.
    Terminating,
}

/// An image that is expected to be in a machine's cache.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedImage {
    /// The image's name.
    pub name: String,
    /// Its size in GB.
    pub size_gb: f64,
}

/// The leader's state of one machine.
#[derive(Clone, Debug)]
pub struct Machine {
    /// The id that the cloud gave the machine.
    pub id: String,
    /// The address on which the machine's worker listens, if known.
    pub addr: Option<String>,
    /// The name of the machine's type in the catalogue.
    pub machine_type: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// The stage between provisioning and termination.
    pub lifecycle: Lifecycle,
    /// The worker's incarnation according to the newest heartbeat.
    pub incarnation: u64,
    /// The sequence number of the newest heartbeat of this incarnation.
    pub sequence: u64,
    /// When the newest heartbeat arrived.
    pub last_heartbeat_at: Option<Millis>,
    /// Whether the newest heartbeat was relayed through the store, in which case commands do not
    /// reach the machine.
    pub via_store: bool,
    /// Whether the worker has seen this leader's term, that is, whether its newest heartbeat
    /// carries a fencing token of this term.
    pub under_current_term: bool,
    /// The highest fencing token that the worker has shown in a heartbeat.
    pub shown_token: u64,
    /// The highest fencing token that this leader has sent to the worker.
    pub sent_token: u64,
    /// The state of the delivery of commands to the worker.
    pub commands: CommandChannel,
    /// Whether the worker may have restarted without memory: a heartbeat was not newer than those
    /// before, and showed an earlier token or came after a silence. It may also be a late copy. The
    /// worker's token is raised until a heartbeat is newer again, and no direct commands are sent.
    pub restart_suspected: bool,
    /// When this leader first learned of the machine.
    pub known_since: Millis,
    /// When the machine was provisioned, as far as this leader knows.
    pub provisioned_at: Millis,
    /// Whether any of the cloud's machine lists has contained the machine.
    pub was_listed: bool,
    /// Whether the last machine list that contained the machine reported it as running.
    pub listed_as_running: bool,
    /// The number of machine lists that lacked the machine since its last heartbeat or since a list
    /// last contained it.
    pub absent_listings: u32,
    /// When the cloud will evict the machine, if it has announced an eviction.
    pub eviction_at: Option<Millis>,
    /// The tasks placed on the machine, including exited ones whose outcome is not stored or which
    /// the worker has not forgotten yet.
    pub placements: Vec<Placement>,
    /// Tasks queued for the capacity that becomes free next on the machine.
    pub queued: Vec<TaskKey>,
    /// The number of the machine group whose record stores the machine's placements.
    pub machine_group: Option<u32>,
    /// Whether the machine was loaded from a stored record, which means that an earlier leader
    /// placed tasks on it.
    pub loaded_from_store: bool,
    /// The images expected to be in the machine's cache, the most recently used last.
    pub cached_images: VecDeque<CachedImage>,
    /// Jobs of which a task failed with an error on this machine, except jobs that fail everywhere.
    pub failed_jobs: BTreeSet<String>,
    /// The time until which the machine gets no new tasks, because it refused one for lack of
    /// capacity.
    pub full_until: Millis,
    /// Since when the machine has been idle, if the autoscaler found it idle.
    pub idle_since: Option<Millis>,
    /// When the machine's deletion was last requested; 0 if never.
    pub last_delete_sent_at: Millis,
    /// How the machine's CPU time was used.
    pub usage_account: UsageAccount,
    /// The machine's share of the usage totals, as they were last updated.
    pub(super) accounted_usage: AccountedUsage,
}

impl Machine {
    /// Creates a machine without tasks that was just provisioned or discovered.
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
            shown_token: 0,
            sent_token: 0,
            commands: CommandChannel::default(),
            restart_suspected: false,
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

    /// Sets the stage of the lifecycle and logs a change.
    pub fn set_lifecycle(&mut self, to: Lifecycle) {
        if self.lifecycle != to {
            log::info!("machine {} {:?} -> {:?}", self.id, self.lifecycle, to);
            self.lifecycle = to;
        }
    }

    /// Adjusts the timestamps after a pause of the leader's process. Silence and unreachability are
    /// measured from the end of the pause, and the pause does not count as boot or idle time or as
    /// time since an exit. The run time of the tasks on the machine counts as unknown.
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

    /// Returns `true` if commands and heartbeat replies no longer reach the worker.
    pub fn is_unreachable(&self) -> bool {
        self.commands.is_unreachable()
    }

    /// Returns `true` if new tasks may be placed on the machine, because commands and replies reach
    /// its worker; see [`CommandChannel::is_trusted`].
    pub fn is_trusted(&self) -> bool {
        self.commands.is_trusted()
    }

    /// Returns the resources used by the tasks that may be running on the machine.
    pub fn used_resources(&self) -> Resources {
        self.placements
            .iter()
            .filter(|placement| placement.is_present())
            .fold(Resources::default(), |used, placement| {
                used + placement.resources()
            })
    }

    /// Returns the machine's capacity without the resources in use.
    pub fn free_resources(&self, machine_type: &MachineType) -> Resources {
        Resources::of_type(machine_type) - self.used_resources()
    }

    /// Adds the CPU time that the tasks used since the last heartbeat to the machine's account.
    pub fn accumulate_usage(&mut self, now: Millis) {
        let elapsed_ms = now.saturating_sub(self.last_heartbeat_at.unwrap_or(now)) as f64;
        self.usage_account.add(&self.placements, elapsed_ms, now);
    }

    /// Describes, for the log, how the machine's time was used, which shows what the machine's cost
    /// was spent on.
    pub fn describe_usage(&self, now: Millis, cpus: f64) -> String {
        let market = if self.spot { "spot" } else { "on-demand" };
        let usage = self.usage_account.describe(self.provisioned_at, now, cpus);
        format!("{} {market} {usage}", self.machine_type)
    }

    /// Returns `true` if the worker must reject commands that were sent earlier: a task is to be
    /// stopped whose start command may still arrive, or the worker may have forgotten the attempts
    /// that it has used up.
    pub(crate) fn needs_raised_token(&self) -> bool {
        let mut placements = self.placements.iter();
        self.restart_suspected
            || (self.commands.may_deliver_late() && placements.any(Placement::is_unwanted_start))
    }

    /// Returns the position of the worker's newest heartbeat.
    pub(super) fn heartbeat_position(&self) -> HeartbeatPosition {
        HeartbeatPosition::new(self.shown_token, self.incarnation, self.sequence)
    }

    /// Returns `true` if no task may be running on the machine and none is queued for it.
    pub fn is_idle(&self) -> bool {
        self.queued.is_empty() && !self.placements.iter().any(Placement::is_present)
    }

    /// Returns `true` if the image is expected to be in the machine's cache.
    pub fn has_image(&self, image: &str) -> bool {
        self.cached_images.iter().any(|cached| cached.name == image)
    }

    /// Records the use of an image in the estimate of the worker's cache, which holds the most
    /// recently used images that fit into it.
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

    /// Returns `true` if a placement needs a start or stop command. The command may not be due yet,
    /// because of the interval between two sends of a stop command.
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

    /// Returns `true` if no heartbeat has arrived for more than [`SILENT_HEARTBEAT_INTERVALS`]
    /// heartbeat intervals, or none at all.
    pub fn is_silent(&self, now: Millis, heartbeat_interval_s: f64) -> bool {
        let max_silence_ms = heartbeat_interval_s * SILENT_HEARTBEAT_INTERVALS * 1e3;
        match self.last_heartbeat_at {
            Some(at) => now.saturating_sub(at) as f64 > max_silence_ms,
            None => true,
        }
    }
}
