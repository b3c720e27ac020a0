//! Returning machines: those that are idle or never came up are marked, and their deletion asked
//! for.
use super::gang_room::GangRoom;
use super::room::slots_of_type;
use super::FleetCall;
use crate::api::Ms;
use crate::leader::{Ctx, Leader};
use crate::ledger::{Life, Machine, Phase};
use stonegw_constants as k;
use stonegw_wire::msg::{encode, JobSpec, MachineType, Machines};

/// What decides whether a machine is returned, while all machines are gone through.
struct Returning {
    now: Ms,
    types: Vec<MachineType>,
    /// The latest urgent service seen.
    usual: Option<JobSpec>,
    /// Slots that urgent services could have, beyond what they use.
    spare: f64,
    /// Slots to keep for them.
    wanted: f64,
    gang_room: Option<GangRoom>,
    /// How many boots long an idle machine is kept.
    idle_boots: f64,
    /// How long a machine that is up may stay unheard.
    wait_ms: u64,
}

impl Returning {
    fn type_of(&self, machine: &Machine) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == machine.kind)
    }

    /// Marks the machine for deletion if it is of no use any more.
    fn review(&mut self, machine: &mut Machine) {
        let unsettled = machine
            .placements
            .iter()
            .any(|p| matches!(p.phase, Phase::Exited { settled: false, .. }));
        match machine.life {
            Life::Booting if self.never_came_up(machine) => {
                log::warn!("machine {} never came up", machine.id);
                machine.set_life(Life::Deleting);
            }
            Life::Draining if machine.idle() && !unsettled => machine.set_life(Life::Deleting),
            Life::Up if machine.idle() => self.review_idle(machine, unsettled),
            Life::Up => machine.idle_since = None,
            _ => {}
        }
    }

    /// Whether a booting machine is overdue and nothing was heard of it.
    fn never_came_up(&self, m: &Machine) -> bool {
        let boot = self.type_of(m).map_or(60.0, |t| t.boot_s);
        let age = self.now.saturating_sub(m.born) as f64 / 1e3;
        // One that the list calls running is up, and not heard yet by a new leader; it
        // may be behind a cut.
        let over = if m.listed_up {
            self.now > m.known_since + self.wait_ms
        } else {
            age > boot * k::BOOT_GIVE_UP
        };
        over && m.heard.is_none() && m.placements.is_empty()
    }

    /// Marks an idle machine for deletion unless its room is kept or it is idle for a short time.
    fn review_idle(&mut self, machine: &mut Machine, unsettled: bool) {
        let since = *machine.idle_since.get_or_insert(self.now);
        let slots = self.urgent_slots(machine);
        let gang_room = self.gang_room.as_ref();
        let gang_slots = gang_room.map_or(0, |g| g.slots(machine, &self.types));
        let short = gang_room.is_some_and(|g| g.is_short(gang_slots));
        let kept = slots > 0.0 && self.spare - slots < self.wanted || gang_slots > 0 && short;
        // To rent it again would cost a boot: as long as that it is worth keeping.
        let boot = self.type_of(machine).map_or(0.0, |t| t.boot_s);
        let patience = (boot * self.idle_boots * 1e3) as u64;
        if self.now >= since + patience && !kept && !unsettled {
            self.spare -= slots;
            if let Some(g) = &mut self.gang_room {
                g.spare = g.spare.saturating_sub(gang_slots);
            }
            machine.set_life(Life::Deleting);
        }
    }

    /// How many usual urgent tasks the machine takes when empty.
    fn urgent_slots(&self, machine: &Machine) -> f64 {
        match (&self.usual, machine.spot) {
            (Some(spec), false) => self
                .type_of(machine)
                .map_or(0.0, |t| f64::from(slots_of_type(t, spec))),
            _ => 0.0,
        }
    }
}

impl Leader {
    /// Marks for deletion the machines that are idle or never came up.
    pub(super) fn return_idle(&mut self, ctx: &Ctx) {
        let mut returning = Returning {
            now: ctx.now.ms,
            spare: self.spare_slots(ctx, false),
            wanted: self.spare_wanted(ctx),
            usual: self.fleet.usual.clone(),
            types: self.catalog.types.clone(),
            idle_boots: ctx.set.tuning.idle_boots,
            wait_ms: (ctx.set.lease_s * 3e3) as u64,
            gang_room: self.gang_room(ctx),
        };
        self.machines.edit_all(|m| returning.review(m));
    }

    /// Asks the cloud to delete the machines marked for it, again where no answer came.
    pub(super) fn delete_machines(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.ms;
        let again = k::CLOUD_TIMEOUT_MS + k::CLOUD_RETRY_MS;
        let ids: Vec<String> = self
            .machines
            .deleting()
            .filter(|m| m.delete_sent == 0 || now >= m.delete_sent + again)
            .map(|m| m.id.clone())
            .take(k::DELETE_MAX)
            .collect();
        if ids.is_empty() || !self.may_call_cloud(now) {
            return;
        }
        for id in &ids {
            if let Some(mut m) = self.machines.edit(id) {
                m.delete_sent = now;
            }
        }
        let body = encode(&Machines {
            machines: ids.clone(),
        });
        ctx.ask_cloud(FleetCall::Delete(ids), "POST", "/hosts/delete", body);
    }
}
