//! Answers of the cloud: each goes to the part of the fleet that asked.
use super::FleetCall;
use crate::api::{CallResult, Ms};
use crate::leader::{Ctx, Leader};
use crate::node::describe;
use stonegw_constants as k;

impl Leader {
    /// A call to the cloud was answered, or no answer came.
    pub fn fleet_done(&mut self, ctx: &mut Ctx, call: FleetCall, result: CallResult) {
        let now = ctx.now.ms;
        if matches!(result, Ok((429, _))) {
            self.fleet.pause_until = now + k::CLOUD_RETRY_MS;
        }
        match call {
            FleetCall::Catalog => self.catalog_done(now, result),
            FleetCall::List => self.list_done(ctx, result),
            FleetCall::Hire(number) => self.rental_done(now, number, result),
            FleetCall::Delete(ids) => self.delete_done(now, ids, result),
        }
    }

    /// The machines are gone, or are to be asked for again soon.
    fn delete_done(&mut self, now: Ms, ids: Vec<String>, result: CallResult) {
        match result {
            Ok((200, _)) => {
                for id in ids {
                    self.machine_deleted(now, &id);
                }
                self.wake = true;
            }
            other => {
                log::warn!("delete: {}", describe(&other));
                for id in ids {
                    if let Some(mut m) = self.machines.edit(&id) {
                        m.delete_sent = now.saturating_sub(k::CLOUD_TIMEOUT_MS);
                    }
                }
            }
        }
    }
}
