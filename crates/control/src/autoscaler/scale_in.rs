//! Returning machines: those that are idle or never came up are marked, and their deletion asked
//! for.
use super::capacity::slots_on_empty_machine;
use super::gang_headroom::GangHeadroom;
use super::AutoscalerTurn;
use crate::api::Millis;
use crate::calls::AutoscalerCall;
use crate::cluster::{Lifecycle, Machine, Phase};
use crate::context::LeaderContext;
use stonegw_constants::{
    BOOT_TIMEOUT_MULTIPLE, CLOUD_RETRY_BACKOFF_MS, CLOUD_TIMEOUT_MS, MAX_MACHINES_PER_DELETE,
};
use stonegw_wire::msg::{encode, JobSpec, MachineIds, MachineType};

/// What decides whether a machine is returned, while all machines are gone through.
struct ScaleInReview {
    now: Millis,
    machine_types: Vec<MachineType>,
    /// The latest urgent service seen.
    reference_task: Option<JobSpec>,
    /// Slots that urgent services could have, beyond what they use.
    headroom_slots: f64,
    /// Slots to keep for them.
    wanted_headroom_slots: f64,
    gang_headroom: Option<GangHeadroom>,
    /// How many boots long an idle machine is kept.
    idle_boots: f64,
    /// How long a machine that is up may stay unheard.
    silence_limit_ms: u64,
}

impl ScaleInReview {
    fn machine_type_of(&self, machine: &Machine) -> Option<&MachineType> {
        self.machine_types
            .iter()
            .find(|t| t.name == machine.machine_type)
    }

    /// Marks the machine for deletion if it is of no use any more.
    fn review_machine(&mut self, machine: &mut Machine) {
        let unsettled = machine.placements.iter().any(|p| {
            matches!(
                p.phase,
                Phase::Exited {
                    outcome_stored: false,
                    ..
                }
            )
        });
        match machine.lifecycle {
            Lifecycle::Provisioning if self.has_failed_to_boot(machine) => {
                log::warn!("machine {} never came up", machine.id);
                machine.set_lifecycle(Lifecycle::Terminating);
            }
            Lifecycle::Draining if machine.is_idle() && !unsettled => {
                machine.set_lifecycle(Lifecycle::Terminating)
            }
            Lifecycle::Ready if machine.is_idle() => self.review_idle(machine, unsettled),
            Lifecycle::Ready => machine.idle_since = None,
            _ => {}
        }
    }

    /// Whether a booting machine is overdue and nothing was heard of it.
    fn has_failed_to_boot(&self, m: &Machine) -> bool {
        let boot = self.machine_type_of(m).map_or(60.0, |t| t.boot_s);
        let age = self.now.saturating_sub(m.provisioned_at) as f64 / 1e3;
        // One that the list calls running is up, and not heard yet by a new leader; it
        // may be behind a cut.
        let over = if m.listed_as_running {
            self.now > m.known_since + self.silence_limit_ms
        } else {
            age > boot * BOOT_TIMEOUT_MULTIPLE
        };
        over && m.last_heartbeat_at.is_none() && m.placements.is_empty()
    }

    /// Marks an idle machine for deletion unless its room is kept or it is idle for a short time.
    fn review_idle(&mut self, machine: &mut Machine, unsettled: bool) {
        let since = *machine.idle_since.get_or_insert(self.now);
        let slots = self.reference_task_slots(machine);
        let gang_room = self.gang_headroom.as_ref();
        let gang_slots = gang_room.map_or(0, |g| g.slots_on(machine, &self.machine_types));
        let short = gang_room.is_some_and(|g| g.is_short_without(gang_slots));
        let kept = slots > 0.0 && self.headroom_slots - slots < self.wanted_headroom_slots
            || gang_slots > 0 && short;
        // To rent it again would cost a boot: as long as that it is worth keeping.
        let boot = self.machine_type_of(machine).map_or(0.0, |t| t.boot_s);
        let patience = (boot * self.idle_boots * 1e3) as u64;
        if self.now >= since + patience && !kept && !unsettled {
            self.headroom_slots -= slots;
            if let Some(g) = &mut self.gang_headroom {
                g.free_slots = g.free_slots.saturating_sub(gang_slots);
            }
            machine.set_lifecycle(Lifecycle::Terminating);
        }
    }

    /// How many usual urgent tasks the machine takes when empty.
    fn reference_task_slots(&self, machine: &Machine) -> f64 {
        match (&self.reference_task, machine.spot) {
            (Some(spec), false) => self
                .machine_type_of(machine)
                .map_or(0.0, |t| f64::from(slots_on_empty_machine(t, spec))),
            _ => 0.0,
        }
    }
}

impl AutoscalerTurn<'_> {
    /// Marks for deletion the machines that are idle or never came up.
    pub(super) fn scale_in_idle(&mut self, context: &LeaderContext) {
        let mut returning = ScaleInReview {
            now: context.now.monotonic_ms,
            headroom_slots: self.headroom_slots(context, false),
            wanted_headroom_slots: self.wanted_headroom_slots(context),
            reference_task: self.autoscaler.reference_task.clone(),
            machine_types: self.cluster.catalog.machine_types.clone(),
            idle_boots: context.settings.tuning.idle_retention_boots,
            silence_limit_ms: (context.settings.worker_lease_s * 3e3) as u64,
            gang_headroom: self.gang_headroom(context),
        };
        self.cluster
            .machines
            .edit_all(|m| returning.review_machine(m));
    }

    /// Asks the cloud to delete the machines marked for it, again where no answer came.
    pub(super) fn terminate_machines(&mut self, context: &mut LeaderContext) {
        let now = context.now.monotonic_ms;
        let again = CLOUD_TIMEOUT_MS + CLOUD_RETRY_BACKOFF_MS;
        let ids: Vec<String> = self
            .cluster
            .machines
            .terminating()
            .filter(|m| m.last_delete_sent_at == 0 || now >= m.last_delete_sent_at + again)
            .map(|m| m.id.clone())
            .take(MAX_MACHINES_PER_DELETE)
            .collect();
        if ids.is_empty() || !self.try_take_cloud_call(now) {
            return;
        }
        for id in &ids {
            if let Some(mut m) = self.cluster.machines.edit(id) {
                m.last_delete_sent_at = now;
            }
        }
        let body = encode(&MachineIds {
            machine_ids: ids.clone(),
        });
        context.call_cloud(
            AutoscalerCall::Terminate(ids),
            "POST",
            "/hosts/delete",
            body,
        );
    }
}
