//! Scale-in: marks for termination the machines that have been idle for too long or never came up.
use super::capacity::slots_on_empty_machine;
use super::gang_headroom::GangHeadroom;
use super::headroom::{self, HeadroomScope};
use super::view::AutoscalerView;
use crate::api::Millis;
use crate::cluster::{Lifecycle, Machine, Phase};
use stonegw_constants::BOOT_TIMEOUT_MULTIPLE;
use stonegw_wire::msg::{JobSpec, MachineType};

/// Boot time assumed for a machine type that the catalogue no longer lists, in s.
const UNKNOWN_BOOT_S: f64 = 60.0;
/// How long a running machine may go without a first heartbeat, in multiples of the worker lease.
const SILENCE_LIMIT_LEASES: f64 = 3.0;

/// One pass over all machines that decides which of them to terminate. The headroom is updated with
/// each machine that is marked.
pub(super) struct ScaleInReview {
    now: Millis,
    machine_types: Vec<MachineType>,
    /// The latest urgent service, whose tasks define the slots of the headroom.
    reference_task: Option<JobSpec>,
    /// Slots available to urgent services in addition to those in use.
    headroom_slots: f64,
    /// Slots to keep available for urgent services.
    wanted_headroom_slots: f64,
    gang_headroom: Option<GangHeadroom>,
    /// How long an idle machine is kept, in multiples of its type's boot time.
    idle_retention_boots: f64,
    /// How long a running machine may go without a first heartbeat, in ms.
    silence_limit_ms: u64,
}

impl ScaleInReview {
    /// Prepares a review of all machines in their present state.
    pub(super) fn new(view: &AutoscalerView) -> Self {
        let settings = view.context.settings;
        ScaleInReview {
            now: view.now(),
            machine_types: view.cluster.catalog.machine_types.clone(),
            reference_task: view.reference_task.cloned(),
            headroom_slots: headroom::available_slots(view, HeadroomScope::Ready),
            wanted_headroom_slots: headroom::wanted_slots(view),
            gang_headroom: GangHeadroom::new(view),
            idle_retention_boots: settings.tuning.idle_retention_boots,
            silence_limit_ms: (settings.worker_lease_s * (SILENCE_LIMIT_LEASES * 1e3)) as u64,
        }
    }

    /// Marks the machine for termination if it never came up, has been drained or is no longer
    /// needed.
    pub(super) fn review_machine(&mut self, machine: &mut Machine) {
        match machine.lifecycle {
            Lifecycle::Provisioning if self.has_failed_to_boot(machine) => {
                log::warn!("machine {} never came up; terminating it", machine.id);
                machine.set_lifecycle(Lifecycle::Terminating);
            }
            Lifecycle::Draining if machine.is_idle() && !has_unstored_outcome(machine) => {
                machine.set_lifecycle(Lifecycle::Terminating)
            }
            Lifecycle::Ready if machine.is_idle() => self.review_idle(machine),
            Lifecycle::Ready => machine.idle_since = None,
            Lifecycle::Provisioning | Lifecycle::Draining | Lifecycle::Terminating => {}
        }
    }

    /// Returns `true` if the machine should be up by now but has never sent a heartbeat to this
    /// leader, and has no tasks.
    fn has_failed_to_boot(&self, machine: &Machine) -> bool {
        // A machine that the cloud lists as running is up but has not reached a new leader yet. Its
        // zone may be partitioned.
        let is_overdue = if machine.listed_as_running {
            self.now > machine.known_since + self.silence_limit_ms
        } else {
            let boot_s = self
                .machine_type_of(machine)
                .map_or(UNKNOWN_BOOT_S, |machine_type| machine_type.boot_s);
            let age_s = self.now.saturating_sub(machine.provisioned_at) as f64 / 1e3;
            age_s > boot_s * BOOT_TIMEOUT_MULTIPLE
        };
        is_overdue && machine.last_heartbeat_at.is_none() && machine.placements.is_empty()
    }

    /// Marks an idle machine for termination, unless it has been idle only briefly, its capacity is
    /// needed as headroom, or it holds a task outcome that is not stored yet.
    fn review_idle(&mut self, machine: &mut Machine) {
        let idle_since = *machine.idle_since.get_or_insert(self.now);
        let is_retained = self.now < idle_since + self.idle_retention_ms(machine);
        let slots = self.reference_task_slots(machine);
        let gang_slots = self.gang_slots(machine);
        if is_retained
            || self.is_needed_as_headroom(slots, gang_slots)
            || has_unstored_outcome(machine)
        {
            return;
        }
        self.headroom_slots -= slots;
        if let Some(gang_headroom) = &mut self.gang_headroom {
            gang_headroom.remove_slots(gang_slots);
        }
        machine.set_lifecycle(Lifecycle::Terminating);
    }

    /// Returns how long an idle machine is kept, in ms. Provisioning a replacement would cost a
    /// boot.
    fn idle_retention_ms(&self, machine: &Machine) -> u64 {
        let boot_s = self
            .machine_type_of(machine)
            .map_or(0.0, |machine_type| machine_type.boot_s);
        (boot_s * self.idle_retention_boots * 1e3) as u64
    }

    /// Returns `true` if urgent services or the gang headroom would be short of capacity without
    /// these slots.
    fn is_needed_as_headroom(&self, slots: f64, gang_slots: u32) -> bool {
        let urgent_would_miss = self.headroom_slots - slots < self.wanted_headroom_slots;
        let gang_would_miss = self
            .gang_headroom
            .as_ref()
            .is_some_and(|gang_headroom| gang_headroom.is_short_without(gang_slots));
        slots > 0.0 && urgent_would_miss || gang_slots > 0 && gang_would_miss
    }

    /// Returns how many reference tasks the machine holds when empty. Spot instances hold none.
    fn reference_task_slots(&self, machine: &Machine) -> f64 {
        match (&self.reference_task, self.machine_type_of(machine)) {
            (Some(spec), Some(machine_type)) if !machine.spot => {
                f64::from(slots_on_empty_machine(machine_type, spec))
            }
            _ => 0.0,
        }
    }

    /// Returns how many slots of the gang headroom the machine holds when empty.
    fn gang_slots(&self, machine: &Machine) -> u32 {
        match (&self.gang_headroom, self.machine_type_of(machine)) {
            (Some(gang_headroom), Some(machine_type)) => {
                gang_headroom.slots_on(machine, machine_type)
            }
            _ => 0,
        }
    }

    fn machine_type_of(&self, machine: &Machine) -> Option<&MachineType> {
        self.machine_types
            .iter()
            .find(|machine_type| machine_type.name == machine.machine_type)
    }
}

/// Returns `true` if a task exited on the machine whose outcome is not stored yet.
fn has_unstored_outcome(machine: &Machine) -> bool {
    machine.placements.iter().any(|placement| {
        matches!(
            placement.phase,
            Phase::Exited {
                outcome_stored: false,
                ..
            }
        )
    })
}
