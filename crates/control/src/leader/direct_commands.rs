//! Sends commands directly to workers, where that is faster than the reply to the next heartbeat.
use super::commands::CommandPath;
use super::Leader;
use crate::api::{describe_result, CallError, CallResult, Target};
use crate::calls::{DirectCommand, LeaderCall};
use crate::cluster::{Machine, Phase};
use crate::context::LeaderContext;
use stonegw_constants::{DIRECT_COMMAND_TIMEOUT_MS, STOP_RESEND_INTERVAL_MS};
use stonegw_wire::msg::{encode, Command, CommandBatch};

impl Leader {
    /// Sends all due commands to the machines that can be reached directly.
    pub(super) fn send_direct_commands(&mut self, context: &mut LeaderContext) {
        let machine_ids: Vec<String> = self
            .cluster
            .machines
            .with_pending_commands()
            .filter(|machine| {
                is_directly_reachable(machine, context) && has_due_command(machine, context)
            })
            .map(|machine| machine.id.clone())
            .collect();
        for machine_id in machine_ids {
            let batch = self.collect_commands(context, &machine_id, CommandPath::Direct);
            self.send_direct_command(context, &machine_id, batch);
        }
    }

    fn send_direct_command(
        &mut self,
        context: &mut LeaderContext,
        machine_id: &str,
        batch: CommandBatch,
    ) {
        let Some(mut machine) = self.cluster.machines.edit(machine_id) else {
            return;
        };
        if batch.commands.is_empty() {
            return;
        }
        let command = DirectCommand {
            machine: machine_id.to_owned(),
            incarnation: machine.incarnation,
            fencing_token: batch.fencing_token,
            started_attempts: started_attempts(&batch.commands),
        };
        if !command.started_attempts.is_empty() {
            machine.commands.record_start_sent(batch.fencing_token);
        }
        let call = LeaderCall::DirectCommand(command);
        let target = Target::Worker(machine.addr.clone().unwrap_or_default());
        let (path, body) = ("/do".into(), encode(&batch));
        let timeout_ms = DIRECT_COMMAND_TIMEOUT_MS;
        context.send_call(call, target, "POST", path, body, timeout_ms);
        machine.commands.call_in_flight = Some(batch.fencing_token);
    }

    /// Processes the result of a direct command.
    pub(super) fn direct_command_done(
        &mut self,
        context: &mut LeaderContext,
        command: &DirectCommand,
        result: CallResult,
    ) {
        let machine_id = command.machine.as_str();
        match self.cluster.machines.edit(machine_id) {
            Some(mut machine) => machine.commands.call_in_flight = None,
            None => return,
        }
        if let Ok((200 | 409, body)) = &result {
            if self.apply_command_reply(context, machine_id, body) {
                return;
            }
        }
        let Some(mut machine) = self.cluster.machines.edit(machine_id) else {
            return;
        };
        let outcome = describe_result(&result);
        log::debug!("direct command to machine {machine_id} was not confirmed: {outcome}");
        let now = context.now.monotonic_ms;
        machine.commands.record_undelivered(machine_id, now);
        if result == Err(CallError::NotSent) {
            for placement in &mut machine.placements {
                if command.started_attempts.contains(&placement.attempt)
                    && placement.phase == Phase::Sent
                    && placement.sent_sequence == 0
                {
                    placement.set_phase(Phase::Startable);
                }
            }
            return;
        }
        // The command may still arrive, minutes late, as long as this incarnation of the worker
        // lasts and its worker has not seen a higher fencing token.
        if machine.incarnation == command.incarnation
            && machine.shown_token <= command.fencing_token
            && !command.started_attempts.is_empty()
        {
            machine
                .commands
                .record_unanswered_start(command.fencing_token);
        }
    }
}

fn is_directly_reachable(machine: &Machine, context: &LeaderContext) -> bool {
    let now = context.now.monotonic_ms;
    machine.commands.call_in_flight.is_none()
        && machine.addr.is_some()
        && !machine.is_silent(now, context.settings.heartbeat_interval_s)
        && !machine.via_store
        && !machine.is_unreachable()
        && !machine.restart_suspected
}

fn has_due_command(machine: &Machine, context: &LeaderContext) -> bool {
    let now = context.now.monotonic_ms;
    machine
        .placements
        .iter()
        .any(|placement| match placement.phase {
            Phase::Startable => placement.stop_grace_s.is_none() && context.watermark_current,
            Phase::Fetching | Phase::WaitingForGang | Phase::Running => {
                placement.stop_grace_s.is_some()
                    && now >= placement.last_stop_sent_at + STOP_RESEND_INTERVAL_MS
            }
            _ => false,
        })
}

fn started_attempts(commands: &[Command]) -> Vec<u64> {
    let attempts = commands.iter().filter_map(|command| match command {
        Command::Start { attempt, .. } => Some(*attempt),
        _ => None,
    });
    attempts.collect()
}
