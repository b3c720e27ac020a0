//! Selects the commands that are due for a machine.
use super::Leader;
use crate::api::Millis;
use crate::cluster::{Lifecycle, Phase, Placement};
use crate::context::LeaderContext;
use crate::settings::Settings;
use stonegw_constants::{
    DUPLICATE_COMMAND_LIFETIME_MS, STOP_RESEND_INTERVAL_MS, WORKER_ATTEMPT_TIMEOUT_MS,
};
use stonegw_wire::msg::{Command, CommandBatch, ExitCause};

/// The way in which commands reach a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CommandPath {
    /// In the reply to the machine's newest heartbeat.
    HeartbeatReply,
    /// In a request that the leader sends to the worker.
    Direct,
}

/// Selects the commands that are due for one machine's placements at one moment.
struct CommandCollector {
    now: Millis,
    path: CommandPath,
    /// The sequence number of the machine's newest heartbeat.
    sequence: u64,
    /// The fencing token of the commands.
    fencing_token: u64,
    /// The highest fencing token of the direct commands that may still arrive, if any may.
    late_token: Option<u64>,
    /// The time after a cancellation until which a start command may be sent together with a stop
    /// command, in ms.
    max_start_delay_ms: Millis,
    /// Whether tasks may be started on the machine.
    may_start: bool,
}

impl Leader {
    /// Returns the commands that are due for a machine, and records them as sent.
    pub(super) fn collect_commands(
        &mut self,
        context: &LeaderContext,
        machine_id: &str,
        path: CommandPath,
    ) -> CommandBatch {
        let fencing_token = self.command_token(context, machine_id);
        let mut batch = CommandBatch {
            fencing_token,
            incarnation: None,
            commands: vec![],
        };
        let Some(mut machine) = self.cluster.machines.edit(machine_id) else {
            return batch;
        };
        batch.incarnation = (path == CommandPath::Direct).then_some(machine.incarnation);
        let collector = CommandCollector {
            now: context.now.monotonic_ms,
            path,
            sequence: machine.sequence,
            fencing_token,
            late_token: machine.commands.late_token(),
            max_start_delay_ms: max_start_delay_ms(context.settings),
            may_start: machine.lifecycle != Lifecycle::Terminating && context.watermark_current,
        };
        for placement in &mut machine.placements {
            collector.add_commands(placement, &mut batch.commands);
        }
        batch
    }

    /// Returns the fencing token of the commands that are sent to a machine now: the highest one of
    /// this term that its worker has seen, or a higher one if the worker must reject commands that
    /// were sent earlier.
    pub(super) fn command_token(&mut self, context: &LeaderContext, machine_id: &str) -> u64 {
        let Some(machine) = self.cluster.machines.get(machine_id) else {
            return self.term;
        };
        let token = self.term.max(machine.shown_token).max(machine.sent_token);
        let raised = context.raised_token.filter(|raised| *raised > token);
        let Some(raised) = raised.filter(|_| machine.needs_raised_token()) else {
            return token;
        };
        log::debug!("machine {machine_id}: fencing token {token} -> {raised}");
        if let Some(mut machine) = self.cluster.machines.edit(machine_id) {
            machine.sent_token = raised;
        }
        raised
    }
}

/// Returns for how long after this leader learned of a cancellation it may still send a start
/// command together with a stop command: the task is on its machine for a moment, which must end
/// before the cancellation deadline.
fn max_start_delay_ms(settings: &Settings) -> Millis {
    let deadline_ms = (settings.cancellation_deadline_s * 1e3) as Millis;
    deadline_ms.saturating_sub(settings.max_watermark_lag_ms() + WORKER_ATTEMPT_TIMEOUT_MS)
}

impl CommandCollector {
    fn add_commands(&self, placement: &mut Placement, commands: &mut Vec<Command>) {
        match placement.phase {
            Phase::Unstored | Phase::Stored => {}
            Phase::Startable => commands.extend(self.start(placement)),
            Phase::Sent => match placement.stop_grace_s {
                Some(grace_s) => self.stop_sent(placement, grace_s, commands),
                None => commands.extend(self.start(placement)),
            },
            Phase::Fetching | Phase::WaitingForGang | Phase::Running | Phase::Checkpointing => {
                commands.extend(self.stop_running(placement));
            }
            Phase::Exited {
                cause,
                outcome_stored,
            } => {
                placement.exited_at.get_or_insert(self.now);
                if outcome_stored {
                    commands.extend(self.forget(placement, cause));
                }
            }
        }
    }

    /// Returns the placement's start command if it is due, and records it as sent. This leader
    /// never sends a start command for a task that an earlier leader placed, since the task may
    /// have moved to another machine after the record was stored. If the worker does not report
    /// such a task, the task no longer runs.
    fn start(&self, placement: &mut Placement) -> Option<Command> {
        let is_reply = self.path == CommandPath::HeartbeatReply;
        let is_due = placement.phase == Phase::Startable || is_reply;
        let may_start = placement.stop_grace_s.is_none() && !placement.inherited && self.may_start;
        if !is_due || !may_start {
            return None;
        }
        placement.set_phase(Phase::Sent);
        if is_reply {
            placement.sent_sequence = self.sequence;
        } else {
            placement.sent_directly = true;
        }
        Some(start_command(placement))
    }

    /// Adds the stop command of a task whose start was sent but that no heartbeat has reported. The
    /// worker rejects a start command that arrives later, because this one carries a higher fencing
    /// token. If the token can't be raised, the start command is sent once more before the stop
    /// command, so that the late command finds its attempt already used at the worker.
    fn stop_sent(&self, placement: &mut Placement, grace_s: f64, commands: &mut Vec<Command>) {
        let may_arrive = self
            .late_token
            .is_some_and(|late_token| late_token >= self.fencing_token);
        if may_arrive && !placement.inherited && self.may_start_to_stop(placement) {
            commands.push(start_command(placement));
            placement.sent_sequence = self.sequence;
        }
        commands.push(stop_command(placement, grace_s));
    }

    /// Returns whether a task that is stopped at once may be started: the cancellation deadline of
    /// its job is not near.
    fn may_start_to_stop(&self, placement: &Placement) -> bool {
        placement
            .cancelled_at
            .is_none_or(|cancelled_at| self.now < cancelled_at + self.max_start_delay_ms)
    }

    fn stop_running(&self, placement: &mut Placement) -> Option<Command> {
        let grace_s = placement.stop_grace_s?;
        let resend_at = placement.last_stop_sent_at + STOP_RESEND_INTERVAL_MS;
        if self.path == CommandPath::Direct && self.now < resend_at {
            return None;
        }
        placement.last_stop_sent_at = self.now;
        Some(stop_command(placement, grace_s))
    }

    /// Returns the command to forget an exited task, if the worker may forget it. It is never sent
    /// while a direct start command may still arrive: that command would start the task again.
    fn forget(&self, placement: &mut Placement, cause: ExitCause) -> Option<Command> {
        if self.path == CommandPath::Direct
            || self.late_token.is_some()
            || !may_forget(self.now, placement, cause)
        {
            return None;
        }
        placement.forget_sent = true;
        Some(Command::Forget {
            task_id: placement.task_name(),
            attempt: placement.attempt,
        })
    }
}

fn start_command(placement: &Placement) -> Command {
    Command::Start {
        task_id: placement.task_name(),
        attempt: placement.attempt,
    }
}

fn stop_command(placement: &Placement, grace_period_s: f64) -> Command {
    Command::Stop {
        task_id: placement.task_name(),
        attempt: placement.attempt,
        grace_period_s,
    }
}

/// Returns `true` if the worker may forget an exited task. A duplicate of a direct start command
/// may arrive late. If the worker had forgotten the attempt by then, the duplicate would start a
/// task that was not done and may be on another machine now. The worker therefore keeps the attempt
/// for as long as duplicates may arrive.
fn may_forget(now: Millis, placement: &Placement, cause: ExitCause) -> bool {
    let may_start_again =
        placement.sent_directly && !placement.inherited && cause != ExitCause::Done;
    let exited_at = placement.exited_at.unwrap_or(now);
    !may_start_again || now >= exited_at + DUPLICATE_COMMAND_LIFETIME_MS
}
