//! Probes machines that are unreachable, or not trusted because several commands had no effect. A
//! reply shows that commands reach the machine again. Probes are needed because no new tasks are
//! placed on such a machine, so there may be no other command whose effect would show this.
use super::Leader;
use crate::api::{CallResult, Target};
use crate::calls::LeaderCall;
use crate::cluster::Lifecycle;
use crate::context::LeaderContext;
use stonegw_constants::{DIRECT_COMMAND_TIMEOUT_MS, UNREACHABLE_PROBE_INTERVAL_MS};

/// A machine to probe.
struct ProbeTarget {
    machine_id: String,
    addr: String,
}

impl Leader {
    /// Sends a probe to each untrusted machine whose next probe is due.
    pub(super) fn probe_unreachable_machines(&mut self, context: &mut LeaderContext) {
        let now = context.now.monotonic_ms;
        let due: Vec<ProbeTarget> = self
            .cluster
            .machines
            .values()
            .filter(|machine| {
                !machine.is_trusted()
                    && now >= machine.commands.next_probe_at
                    && machine.lifecycle != Lifecycle::Terminating
            })
            .filter_map(|machine| {
                Some(ProbeTarget {
                    machine_id: machine.id.clone(),
                    addr: machine.addr.clone()?,
                })
            })
            .collect();
        for ProbeTarget { machine_id, addr } in due {
            if let Some(mut machine) = self.cluster.machines.edit(&machine_id) {
                machine.commands.next_probe_at = now + UNREACHABLE_PROBE_INTERVAL_MS;
            }
            let call = LeaderCall::Probe {
                machine: machine_id,
            };
            let target = Target::Worker(addr);
            let timeout_ms = DIRECT_COMMAND_TIMEOUT_MS;
            context.send_call(call, target, "GET", "/inspect".into(), vec![], timeout_ms);
        }
    }

    /// Processes the result of a probe.
    pub(super) fn probe_done(
        &mut self,
        context: &mut LeaderContext,
        machine_id: &str,
        result: CallResult,
    ) {
        if let Ok((200, body)) = result {
            self.apply_command_reply(context, machine_id, &body);
        }
    }
}
