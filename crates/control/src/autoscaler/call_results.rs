//! Answers of the cloud: each goes to the part of the fleet that asked.
use super::AutoscalerTurn;
use crate::api::describe_result;
use crate::api::{CallResult, Millis};
use crate::calls::AutoscalerCall;
use crate::context::LeaderContext;
use stonegw_constants::{CLOUD_RETRY_BACKOFF_MS, CLOUD_TIMEOUT_MS};

impl AutoscalerTurn<'_> {
    /// A call to the cloud was answered, or no answer came.
    pub fn cloud_call_done(
        &mut self,
        context: &mut LeaderContext,
        call: AutoscalerCall,
        result: CallResult,
    ) {
        let now = context.now.monotonic_ms;
        if matches!(result, Ok((429, _))) {
            self.autoscaler.calls_paused_until = now + CLOUD_RETRY_BACKOFF_MS;
        }
        match call {
            AutoscalerCall::ReadCatalog => self.catalog_done(now, result),
            AutoscalerCall::ListMachines => self.machine_list_done(context, result),
            AutoscalerCall::Provision(number) => self.provision_done(now, number, result),
            AutoscalerCall::Terminate(ids) => self.terminate_done(now, ids, result),
        }
    }

    /// The machines are gone, or are to be asked for again soon.
    fn terminate_done(&mut self, now: Millis, ids: Vec<String>, result: CallResult) {
        match result {
            Ok((200, _)) => {
                for id in ids {
                    self.cluster.handle_machine_deleted(now, &id);
                }
                self.cluster.scheduling_needed = true;
            }
            other => {
                log::warn!("delete: {}", describe_result(&other));
                for id in ids {
                    if let Some(mut m) = self.cluster.machines.edit(&id) {
                        m.last_delete_sent_at = now.saturating_sub(CLOUD_TIMEOUT_MS);
                    }
                }
            }
        }
    }
}
