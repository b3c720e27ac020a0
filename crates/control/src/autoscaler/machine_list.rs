//! The cloud's list of machines: read page by page, then taken in.
use super::AutoscalerTurn;
use crate::api::describe_result;
use crate::api::{CallResult, Millis};
use crate::calls::AutoscalerCall;
use crate::cluster::{Lifecycle, Machine};
use crate::context::LeaderContext;
use std::collections::HashSet;
use stonegw_constants::MACHINE_LIST_INTERVAL_MS;
use stonegw_wire::msg::{decode, ListedMachine, MachineListPage, MachineState};

impl AutoscalerTurn<'_> {
    /// Reads the list's next page when it is time.
    pub(super) fn request_machine_list(&mut self, context: &mut LeaderContext) {
        let now = context.now.monotonic_ms;
        if now >= self.autoscaler.next_list_at
            && !self.autoscaler.is_list_in_flight
            && self.try_take_cloud_call(now)
        {
            self.autoscaler.is_list_in_flight = true;
            let mut path = "/hosts?limit=500".to_owned();
            if let Some(last) = self
                .autoscaler
                .partial_listing
                .as_ref()
                .and_then(|l| l.last())
            {
                path.push_str(&format!("&since={}", last.machine_id));
            }
            context.call_cloud(AutoscalerCall::ListMachines, "GET", &path, vec![]);
        }
    }

    /// A page of the list came, or no answer did.
    pub(super) fn machine_list_done(&mut self, context: &LeaderContext, result: CallResult) {
        let now = context.now.monotonic_ms;
        self.autoscaler.is_list_in_flight = false;
        self.autoscaler.next_list_at = now + MACHINE_LIST_INTERVAL_MS;
        let page = match result {
            Ok((200, body)) => match decode::<MachineListPage>(&body) {
                Ok(page) => page,
                Err(e) => return log::warn!("machine list not understood: {e}"),
            },
            other => return log::debug!("machine list: {}", describe_result(&other)),
        };
        let more = page.has_more && !page.machines.is_empty();
        self.autoscaler
            .partial_listing
            .get_or_insert_default()
            .extend(page.machines);
        if more {
            self.autoscaler.next_list_at = now;
            return;
        }
        let list = self.autoscaler.partial_listing.take().unwrap_or_default();
        self.autoscaler.has_full_listing = true;
        let mut present = HashSet::new();
        for listed in list {
            present.insert(listed.machine_id.clone());
            if !self
                .cluster
                .deleted_machines
                .contains_key(&listed.machine_id)
            {
                self.apply_listed_machine(now, listed);
            }
        }
        self.count_absent_listings(context, &present);
    }

    /// Takes in what the list tells of one machine.
    fn apply_listed_machine(&mut self, now: Millis, listed: ListedMachine) {
        let age = (listed.age_s.clamp(0.0, 1e9) * 1e3) as u64;
        self.cluster.machines.add(&listed.machine_id, || {
            log::info!("machine {} found in the list", listed.machine_id);
            let (id, machine_type) = (&listed.machine_id, &listed.machine_type);
            let mut m = Machine::new(id, machine_type, &listed.zone, listed.is_spot, now);
            m.provisioned_at = now.saturating_sub(age);
            m
        });
        let Some(mut m) = self.cluster.machines.edit(&listed.machine_id) else {
            return;
        };
        m.was_listed = true;
        m.listed_as_running = listed.state == MachineState::Running;
        m.absent_listings = 0;
        if m.addr.is_none() {
            m.addr = listed.addr;
        }
        if listed.state == MachineState::Failed && m.lifecycle != Lifecycle::Terminating {
            log::warn!("machine {} failed", m.id);
            m.set_lifecycle(Lifecycle::Terminating);
        }
    }

    /// Once listed, a machine stays listed until it is gone; but lists are old.
    fn count_absent_listings(&mut self, context: &LeaderContext, present: &HashSet<String>) {
        let now = context.now.monotonic_ms;
        let lag = (context.settings.cloud_listing_lag_s * 2.0 * 1e3) as u64;
        self.cluster.machines.edit_all(|m| {
            if !present.contains(&m.id) && m.was_listed && now > m.known_since + lag {
                m.absent_listings += 1;
                if m.absent_listings >= 2
                    && m.last_heartbeat_at.is_none()
                    && m.lifecycle == Lifecycle::Provisioning
                {
                    m.set_lifecycle(Lifecycle::Terminating);
                }
            }
        });
    }
}
