//! The cloud's catalogue of machine types: read from time to time, since prices change.
use super::FleetCall;
use crate::api::{CallResult, Ms};
use crate::leader::{Ctx, Leader};
use stonegw_constants as k;
use stonegw_wire::msg::{decode, Catalog};

impl Leader {
    /// Reads the catalogue when it is time.
    pub(super) fn ask_catalog(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.ms;
        if now >= self.fleet.catalog_at && !self.fleet.catalog_asked && self.may_call_cloud(now) {
            self.fleet.catalog_asked = true;
            ctx.ask_cloud(FleetCall::Catalog, "GET", "/catalog", vec![]);
        }
    }

    /// The catalogue came, or is to be asked for again soon.
    pub(super) fn catalog_done(&mut self, now: Ms, result: CallResult) {
        self.fleet.catalog_asked = false;
        self.fleet.catalog_at = now + k::CLOUD_RETRY_MS * 2;
        if let Ok((200, body)) = result {
            match decode::<Catalog>(&body) {
                Ok(catalog) => {
                    self.catalog = catalog;
                    self.fleet.catalog_at = now + k::CATALOG_MS;
                }
                Err(e) => log::warn!("catalogue not understood: {e}"),
            }
        }
    }
}
