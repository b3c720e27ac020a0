//! The cloud's list of machines: read page by page, then taken in.
use super::FleetCall;
use crate::api::{CallResult, Ms};
use crate::leader::{Ctx, Leader};
use crate::ledger::{Life, Machine};
use crate::node::describe;
use std::collections::HashSet;
use stonegw_constants as k;
use stonegw_wire::msg::{decode, ListedMachine, MachineList, MachineState};

impl Leader {
    /// Reads the list's next page when it is time.
    pub(super) fn ask_list(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.ms;
        if now >= self.fleet.list_at && !self.fleet.list_asked && self.may_call_cloud(now) {
            self.fleet.list_asked = true;
            let mut path = "/hosts?limit=500".to_owned();
            if let Some(last) = self.fleet.listing.as_ref().and_then(|l| l.last()) {
                path.push_str(&format!("&since={}", last.id));
            }
            ctx.ask_cloud(FleetCall::List, "GET", &path, vec![]);
        }
    }

    /// A page of the list came, or no answer did.
    pub(super) fn list_done(&mut self, ctx: &Ctx, result: CallResult) {
        let now = ctx.now.ms;
        self.fleet.list_asked = false;
        self.fleet.list_at = now + k::LIST_MS;
        let page = match result {
            Ok((200, body)) => match decode::<MachineList>(&body) {
                Ok(page) => page,
                Err(e) => return log::warn!("machine list not understood: {e}"),
            },
            other => return log::debug!("machine list: {}", describe(&other)),
        };
        let more = page.more && !page.machines.is_empty();
        self.fleet
            .listing
            .get_or_insert_default()
            .extend(page.machines);
        if more {
            self.fleet.list_at = now;
            return;
        }
        let list = self.fleet.listing.take().unwrap_or_default();
        self.fleet.known = true;
        let mut present = HashSet::new();
        for listed in list {
            present.insert(listed.id.clone());
            if !self.deleted.contains_key(&listed.id) {
                self.machine_listed(now, listed);
            }
        }
        self.machines_not_listed(ctx, &present);
    }

    /// Takes in what the list tells of one machine.
    fn machine_listed(&mut self, now: Ms, listed: ListedMachine) {
        let age = (listed.age_s.clamp(0.0, 1e9) * 1e3) as u64;
        self.machines.add(&listed.id, || {
            log::info!("machine {} found in the list", listed.id);
            let (id, machine_type) = (&listed.id, &listed.machine_type);
            let mut m = Machine::new(id, machine_type, &listed.zone, listed.spot, now);
            m.born = now.saturating_sub(age);
            m
        });
        let Some(mut m) = self.machines.edit(&listed.id) else {
            return;
        };
        m.listed = true;
        m.listed_up = listed.state == MachineState::Running;
        m.missing = 0;
        if m.addr.is_none() {
            m.addr = listed.addr;
        }
        if listed.state == MachineState::Failed && m.life != Life::Deleting {
            log::warn!("machine {} failed", m.id);
            m.set_life(Life::Deleting);
        }
    }

    /// Once listed, a machine stays listed until it is gone; but lists are old.
    fn machines_not_listed(&mut self, ctx: &Ctx, present: &HashSet<String>) {
        let now = ctx.now.ms;
        let lag = (ctx.set.list_lag_s * 2.0 * 1e3) as u64;
        self.machines.edit_all(|m| {
            if !present.contains(&m.id) && m.listed && now > m.known_since + lag {
                m.missing += 1;
                if m.missing >= 2 && m.heard.is_none() && m.life == Life::Booting {
                    m.set_life(Life::Deleting);
                }
            }
        });
    }
}
