//! Commands, in answers to reports and directly.
use super::*;
use stonegw_constants::{
    DIRECT_COMMAND_TIMEOUT_MS, DUPLICATE_COMMAND_LIFETIME_MS, STOP_RESEND_INTERVAL_MS,
};

impl Leader {
    /// Commands due for a machine. `beat`: they go in the answer to its newest report.
    pub(super) fn collect_commands(
        &mut self,
        context: &LeaderContext,
        id: &str,
        beat: bool,
    ) -> Vec<Command> {
        let now = context.now.monotonic_ms;
        let Some(mut m) = self.cluster.machines.edit(id) else {
            return vec![];
        };
        let open = m.command_in_flight.is_some() || m.command_unanswered;
        let (seq, wanted) = (m.sequence, m.lifecycle != Lifecycle::Terminating);
        let mut out = vec![];
        for p in &mut m.placements {
            let (task, attempt) = (p.task_name(), p.attempt);
            match p.phase {
                Phase::Unstored | Phase::Stored => {}
                Phase::Startable | Phase::Sent => {
                    // A predecessor's task is never sent again: the record may be older than
                    // the task's move elsewhere. Either the worker shows it, or it is gone.
                    if let (Some(grace_s), Phase::Sent) = (p.stop_grace_s, p.phase) {
                        // A `run` that may still arrive late must find its attempt used up:
                        // so it is given once more, and ended in the same breath.
                        if open && !p.inherited {
                            out.push(Command::Start {
                                task_id: task.clone(),
                                attempt,
                            });
                            p.sent_sequence = seq;
                        }
                        out.push(Command::Stop {
                            task_id: task,
                            attempt,
                            grace_period_s: grace_s,
                        });
                    } else if p.stop_grace_s.is_none()
                        && !p.inherited
                        && wanted
                        && context.watermark_current
                        && (p.phase == Phase::Startable || beat)
                    {
                        p.set_phase(Phase::Sent);
                        if beat {
                            p.sent_sequence = seq;
                        } else {
                            p.sent_directly = true;
                        }
                        out.push(Command::Start {
                            task_id: task,
                            attempt,
                        });
                    }
                }
                Phase::Fetching | Phase::WaitingForGang | Phase::Running | Phase::Checkpointing => {
                    if let Some(grace_s) = p.stop_grace_s {
                        if beat || now >= p.last_stop_sent_at + STOP_RESEND_INTERVAL_MS {
                            p.last_stop_sent_at = now;
                            out.push(Command::Stop {
                                task_id: task,
                                attempt,
                                grace_period_s: grace_s,
                            });
                        }
                    }
                }
                // Never while a direct `run` may still arrive: after `clear` it would start
                // the task anew.
                Phase::Exited {
                    cause,
                    outcome_stored: settled,
                } => {
                    p.exited_at.get_or_insert(now);
                    if settled && beat && !open && may_forget(now, p, cause) {
                        p.forget_sent = true;
                        out.push(Command::Forget {
                            task_id: task,
                            attempt,
                        });
                    }
                }
            }
        }
        out
    }

    /// Direct commands, where they are faster than the next report.
    pub(super) fn send_direct_commands(&mut self, context: &mut LeaderContext) {
        let now = context.now.monotonic_ms;
        let ids: Vec<String> = self
            .cluster
            .machines
            .with_pending_commands()
            .filter(|m| {
                m.command_in_flight.is_none()
                    && m.addr.is_some()
                    && !m.is_silent(now, context.settings.heartbeat_interval_s)
                    && !m.via_store
                    && !m.is_unreachable()
                    && m.placements.iter().any(|p| match p.phase {
                        Phase::Startable => p.stop_grace_s.is_none() && context.watermark_current,
                        Phase::Fetching | Phase::WaitingForGang | Phase::Running => {
                            p.stop_grace_s.is_some()
                                && now >= p.last_stop_sent_at + STOP_RESEND_INTERVAL_MS
                        }
                        _ => false,
                    })
            })
            .map(|m| m.id.clone())
            .collect();
        for id in ids {
            let commands = self.collect_commands(context, &id, false);
            let Some(mut m) = self.cluster.machines.edit(&id) else {
                continue;
            };
            if commands.is_empty() {
                continue;
            }
            let runs: Vec<u64> = commands
                .iter()
                .filter_map(|c| match c {
                    Command::Start { attempt, .. } => Some(*attempt),
                    _ => None,
                })
                .collect();
            let orders = CommandBatch {
                fencing_token: self.term,
                incarnation: Some(m.incarnation),
                commands,
            };
            let session = m.incarnation;
            let target = Target::Worker(m.addr.clone().unwrap_or_default());
            let call = LeaderCall::DirectCommand {
                machine: id.clone(),
                incarnation: session,
                started_attempts: runs,
            };
            let wait = DIRECT_COMMAND_TIMEOUT_MS;
            let call = context.send_call(call, target, "POST", "/do".into(), encode(&orders), wait);
            m.command_in_flight = Some(call);
        }
    }

    pub(super) fn direct_command_done(
        &mut self,
        context: &mut LeaderContext,
        id: &str,
        session: u64,
        runs: Vec<u64>,
        r: CallResult,
    ) {
        match self.cluster.machines.edit(id) {
            Some(mut m) => m.command_in_flight = None,
            None => return,
        }
        if let Ok((200 | 409, body)) = &r {
            if self.apply_command_reply(context, id, body) {
                return;
            }
        }
        let Some(mut m) = self.cluster.machines.edit(id) else {
            return;
        };
        log::debug!("direct command to {id}: {}", describe_result(&r));
        m.record_undelivered(context.now.monotonic_ms);
        if r == Err(CallError::NotSent) {
            for p in m.placements.iter_mut() {
                if runs.contains(&p.attempt) && p.phase == Phase::Sent && p.sent_sequence == 0 {
                    p.set_phase(Phase::Startable);
                }
            }
            return;
        }
        // It may still arrive, minutes late, for as long as this session lasts.
        if m.incarnation == session && !runs.is_empty() {
            m.command_unanswered = true;
        }
    }
}

/// Whether the worker may forget an exited task. One whose direct `run` may come once more,
/// as a late copy, must find its attempt used up: else it would start anew while the task,
/// which was not done, is elsewhere. The worker keeps it for as long as copies may travel.
fn may_forget(now: Millis, p: &Placement, cause: ExitCause) -> bool {
    let again = p.sent_directly && !p.inherited && cause != ExitCause::Done;
    !again || now >= p.exited_at.unwrap_or(now) + DUPLICATE_COMMAND_LIFETIME_MS
}
