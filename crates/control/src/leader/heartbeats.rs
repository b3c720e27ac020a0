//! Processes the workers' heartbeats and builds the replies.
use super::commands::CommandPath;
use super::{Leader, Stage};
use crate::cluster::{HeartbeatKind, HeartbeatReceipt, Machine, TerminationEvidence};
use crate::context::LeaderContext;
use stonegw_wire::msg::{decode, CommandBatch, Heartbeat};

impl Leader {
    /// Processes a worker's heartbeat and returns the reply, which renews the worker's lease.
    /// Returns `None` if this leader is deposed or may not renew leases at present.
    pub fn handle_heartbeat(
        &mut self,
        context: &mut LeaderContext,
        heartbeat: Heartbeat,
    ) -> Option<CommandBatch> {
        if !self.observe_token(context, heartbeat.fencing_token) || self.deposed {
            return None;
        }
        self.cluster.now_ms = context.now.monotonic_ms;
        if !context.watermark_current {
            // The heartbeat shows that the machine is alive, but it gets no reply.
            if self.stage != Stage::Loading
                && self.apply_heartbeat(context, &heartbeat, HeartbeatKind::Unanswered)
            {
                self.process_exits(context, &heartbeat.machine_id);
            }
            return None;
        }
        if self.stage != Stage::Loading {
            if let Some(batch) = self.commands_for_heartbeat(context, &heartbeat) {
                return Some(batch);
            }
        }
        // Tasks of cancelled jobs are stopped without the machine's state: loading depends on the
        // store, and a heartbeat that is not newer may come from a worker that has restarted.
        let command_token = self.command_token(context, &heartbeat.machine_id);
        Some(CommandBatch {
            fencing_token: command_token.max(heartbeat.fencing_token),
            incarnation: None,
            commands: context.replica.stop_commands(&heartbeat),
        })
    }

    /// Applies a heartbeat and returns the commands that are due, or `None` if it is not newer than
    /// the last one.
    fn commands_for_heartbeat(
        &mut self,
        context: &mut LeaderContext,
        heartbeat: &Heartbeat,
    ) -> Option<CommandBatch> {
        let machine_id = heartbeat.machine_id.as_str();
        if !self.apply_heartbeat(context, heartbeat, HeartbeatKind::Answered) {
            return None;
        }
        if let Some(mut machine) = self.cluster.machines.edit(machine_id) {
            machine.via_store = false;
        }
        self.process_exits(context, machine_id);
        if self.stage == Stage::Active {
            self.scheduler
                .dispatch_queued(&mut self.cluster, context, machine_id);
        }
        Some(self.collect_commands(context, machine_id, CommandPath::HeartbeatReply))
    }

    /// Applies a heartbeat to the cluster state. Returns `false` if it is no newer than the last
    /// heartbeat of its machine, or if the machine is deleted.
    pub(super) fn apply_heartbeat(
        &mut self,
        context: &mut LeaderContext,
        heartbeat: &Heartbeat,
        kind: HeartbeatKind,
    ) -> bool {
        let now = context.now.monotonic_ms;
        let id = heartbeat.machine_id.as_str();
        if self.cluster.deleted_machines.contains_key(id) {
            return false;
        }
        self.cluster.machines.add(id, || {
            log::info!("machine {id} sent its first heartbeat");
            let (machine_type, zone) = (&heartbeat.machine_type, &heartbeat.zone);
            Machine::new(id, machine_type, zone, heartbeat.is_spot, now)
        });
        let receipt = HeartbeatReceipt {
            term: self.term,
            now,
            heartbeat_interval_s: context.settings.heartbeat_interval_s,
            kind,
        };
        let Some(mut machine) = self.cluster.machines.edit(id) else {
            return false;
        };
        let Some(news) = machine.record_heartbeat(heartbeat, receipt) else {
            return false;
        };
        drop(machine);
        self.cluster.scheduling_needed |= news.is_first;
        if news.new_incarnation {
            let includes_inherited = news.includes_inherited;
            let evidence = TerminationEvidence::NewIncarnation { includes_inherited };
            self.cluster.remove_terminated_placements(id, evidence);
        }
        self.reconcile_tasks(context, id, &heartbeat.tasks, kind);
        true
    }

    /// Processes the heartbeat in a machine's reply to a command or probe. Returns `false` if the
    /// reply contains no heartbeat of that machine.
    pub(super) fn apply_command_reply(
        &mut self,
        context: &mut LeaderContext,
        machine_id: &str,
        body: &[u8],
    ) -> bool {
        match decode::<Heartbeat>(body) {
            Ok(heartbeat) if heartbeat.machine_id == machine_id => {
                if self.observe_token(context, heartbeat.fencing_token) {
                    self.apply_heartbeat(context, &heartbeat, HeartbeatKind::Unanswered);
                    self.process_exits(context, machine_id);
                }
                true
            }
            _ => {
                log::warn!(
                    "can't decode the heartbeat in a reply of machine {machine_id}, \
                     or it is another machine's; ignored"
                );
                false
            }
        }
    }
}

#[cfg(test)]
#[path = "heartbeats_tests.rs"]
mod tests;
