//! Deletes the machines that are marked for termination, and repeats requests that got no response.
use super::cloud_calls::CloudCallLimiter;
use crate::api::{describe_result, CallResult, Millis};
use crate::calls::AutoscalerCall;
use crate::cluster::{ClusterState, Machine};
use crate::context::LeaderContext;
use stonegw_constants::{CLOUD_RETRY_BACKOFF_MS, CLOUD_TIMEOUT_MS, MAX_MACHINES_PER_DELETE};
use stonegw_wire::msg::{encode, MachineIds};

/// Asks the cloud to delete the machines that are marked for termination.
pub(super) fn terminate_machines(
    cluster: &mut ClusterState,
    context: &mut LeaderContext,
    limiter: &mut CloudCallLimiter,
) {
    let now = context.now.monotonic_ms;
    let machine_ids: Vec<String> = cluster
        .machines
        .terminating()
        .filter(|machine| is_delete_due(machine, now))
        .map(|machine| machine.id.clone())
        .take(MAX_MACHINES_PER_DELETE)
        .collect();
    if machine_ids.is_empty() || !limiter.try_take(now) {
        return;
    }
    for id in &machine_ids {
        if let Some(mut machine) = cluster.machines.edit(id) {
            machine.last_delete_sent_at = now;
        }
    }
    let body = encode(&MachineIds {
        machine_ids: machine_ids.clone(),
    });
    let call = AutoscalerCall::Terminate { machine_ids };
    context.call_cloud(call, "POST", "/hosts/delete", body);
}

/// Returns `true` if no delete request was sent for the machine, or the timeout and the backoff of
/// the last one have passed.
fn is_delete_due(machine: &Machine, now: Millis) -> bool {
    let retry_after_ms = CLOUD_TIMEOUT_MS + CLOUD_RETRY_BACKOFF_MS;
    machine.last_delete_sent_at == 0 || now >= machine.last_delete_sent_at + retry_after_ms
}

/// Handles the response to a delete request: records the machines as deleted, or lets the request
/// be repeated after a backoff.
pub(super) fn handle_terminate_response(
    cluster: &mut ClusterState,
    now: Millis,
    machine_ids: Vec<String>,
    result: CallResult,
) {
    match result {
        Ok((200, _)) => {
            for id in machine_ids {
                cluster.handle_machine_deleted(now, &id);
            }
            cluster.scheduling_needed = true;
        }
        other => {
            log::warn!(
                "deleting machines failed; retrying later: {}",
                describe_result(&other)
            );
            for id in machine_ids {
                if let Some(mut machine) = cluster.machines.edit(&id) {
                    // The call has ended, so only the backoff remains of the wait in
                    // `is_delete_due`.
                    machine.last_delete_sent_at = now.saturating_sub(CLOUD_TIMEOUT_MS);
                }
            }
        }
    }
}
