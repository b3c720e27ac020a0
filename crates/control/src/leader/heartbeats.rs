//! Heartbeats of the workers, and the replies to them.
use super::commands::CommandPath;
use super::{Leader, Stage};
use crate::cluster::{HeartbeatKind, HeartbeatReceipt, Machine, TerminationEvidence};
use crate::context::LeaderContext;
use stonegw_wire::msg::{decode, Command, CommandBatch, Heartbeat};

impl Leader {
    /// Takes in a worker's heartbeat; the reply renews the worker's lease. `None`: we don't lead
    /// any more, or may not renew it.
    pub fn handle_heartbeat(
        &mut self,
        context: &mut LeaderContext,
        heartbeat: Heartbeat,
    ) -> Option<CommandBatch> {
        if heartbeat.fencing_token > self.term || self.deposed {
            self.deposed = true;
            return None;
        }
        self.cluster.now_ms = context.now.monotonic_ms;
        if !context.watermark_current {
            // The machine lives, but it gets no reply.
            if self.stage != Stage::Loading {
                let machine_id = heartbeat.machine_id.clone();
                if self.apply_heartbeat(context, heartbeat, HeartbeatKind::Unanswered) {
                    self.process_exits(context, &machine_id);
                }
            }
            return None;
        }
        let commands = if self.stage == Stage::Loading {
            // Loading waits for the store; stopping what is cancelled does not.
            context.replica.stop_commands(&heartbeat)
        } else {
            self.commands_for_heartbeat(context, heartbeat)
        };
        Some(CommandBatch {
            fencing_token: self.term,
            incarnation: None,
            commands,
        })
    }

    fn commands_for_heartbeat(
        &mut self,
        context: &mut LeaderContext,
        heartbeat: Heartbeat,
    ) -> Vec<Command> {
        let machine_id = heartbeat.machine_id.clone();
        if !self.apply_heartbeat(context, heartbeat, HeartbeatKind::Answered) {
            return vec![];
        }
        if let Some(mut machine) = self.cluster.machines.edit(&machine_id) {
            machine.via_store = false;
        }
        self.process_exits(context, &machine_id);
        if self.stage == Stage::Active {
            self.scheduler
                .dispatch_queued(&mut self.cluster, context, &machine_id);
        }
        self.collect_commands(context, &machine_id, CommandPath::HeartbeatReply)
    }

    /// Takes in a heartbeat. False: it is no newer than the last one from its machine, or the
    /// machine is deleted.
    pub(super) fn apply_heartbeat(
        &mut self,
        context: &mut LeaderContext,
        heartbeat: Heartbeat,
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
        let Some(news) = machine.record_heartbeat(&heartbeat, receipt) else {
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

    /// Takes in the heartbeat in a machine's reply to a command or probe. False: it is none.
    pub(super) fn apply_command_reply(
        &mut self,
        context: &mut LeaderContext,
        machine_id: &str,
        body: &[u8],
    ) -> bool {
        match decode::<Heartbeat>(body) {
            Ok(heartbeat) if heartbeat.machine_id == machine_id => {
                if heartbeat.fencing_token > self.term {
                    self.deposed = true;
                } else {
                    self.apply_heartbeat(context, heartbeat, HeartbeatKind::Unanswered);
                    self.process_exits(context, machine_id);
                }
                true
            }
            _ => {
                log::warn!("can't decode the reply of {machine_id}");
                false
            }
        }
    }
}
