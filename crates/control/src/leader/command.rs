//! Commands, in answers to reports and directly.
use super::*;

impl Leader {
    /// Commands due for a machine. `beat`: they go in the answer to its newest report.
    pub(super) fn orders(&mut self, ctx: &Ctx, id: &str, beat: bool) -> Vec<Command> {
        let now = ctx.now.ms;
        let Some(mut m) = self.machines.edit(id) else {
            return vec![];
        };
        let open = m.do_open.is_some() || m.do_lost;
        let (seq, wanted) = (m.seq, m.life != Life::Deleting);
        let mut out = vec![];
        for p in &mut m.placements {
            let (task, attempt) = (p.task(), p.attempt);
            match p.phase {
                Phase::New | Phase::Stored => {}
                Phase::Ready | Phase::Sent => {
                    // A predecessor's task is never sent again: the record may be older than
                    // the task's move elsewhere. Either the worker shows it, or it is gone.
                    if let (Some(grace_s), Phase::Sent) = (p.stop, p.phase) {
                        // A `run` that may still arrive late must find its attempt used up:
                        // so it is given once more, and ended in the same breath.
                        if open && !p.inherited {
                            out.push(Command::Start {
                                task: task.clone(),
                                attempt,
                            });
                            p.sent_seq = seq;
                        }
                        out.push(Command::Stop {
                            task,
                            attempt,
                            grace_s,
                        });
                    } else if p.stop.is_none()
                        && !p.inherited
                        && wanted
                        && ctx.covered
                        && (p.phase == Phase::Ready || beat)
                    {
                        p.set_phase(Phase::Sent);
                        if beat {
                            p.sent_seq = seq;
                        } else {
                            p.direct = true;
                        }
                        out.push(Command::Start { task, attempt });
                    }
                }
                Phase::Fetching | Phase::Gathering | Phase::Running | Phase::Saving => {
                    if let Some(grace_s) = p.stop {
                        if beat || now >= p.stop_sent + k::STOP_REPEAT_MS {
                            p.stop_sent = now;
                            out.push(Command::Stop {
                                task,
                                attempt,
                                grace_s,
                            });
                        }
                    }
                }
                // Never while a direct `run` may still arrive: after `clear` it would start
                // the task anew.
                Phase::Exited { cause, settled } => {
                    p.exited_at.get_or_insert(now);
                    if settled && beat && !open && may_clear(now, p, cause) {
                        p.clear_sent = true;
                        out.push(Command::Forget { task, attempt });
                    }
                }
            }
        }
        out
    }

    /// Direct commands, where they are faster than the next report.
    pub(super) fn command(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.ms;
        let ids: Vec<String> = self
            .machines
            .with_commands()
            .filter(|m| {
                m.do_open.is_none()
                    && m.addr.is_some()
                    && !m.quiet(now, ctx.set.report_s)
                    && !m.via_state
                    && !m.deaf()
                    && m.placements.iter().any(|p| match p.phase {
                        Phase::Ready => p.stop.is_none() && ctx.covered,
                        Phase::Fetching | Phase::Gathering | Phase::Running => {
                            p.stop.is_some() && now >= p.stop_sent + k::STOP_REPEAT_MS
                        }
                        _ => false,
                    })
            })
            .map(|m| m.id.clone())
            .collect();
        for id in ids {
            let commands = self.orders(ctx, &id, false);
            let Some(mut m) = self.machines.edit(&id) else {
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
            let orders = Orders {
                token: self.term,
                session: Some(m.session),
                commands,
            };
            let session = m.session;
            let target = Target::Worker(m.addr.clone().unwrap_or_default());
            let call = Call::Do {
                machine: id.clone(),
                session,
                runs,
            };
            let wait = k::DO_TIMEOUT_MS;
            let call = ctx.call(call, target, "POST", "/do".into(), encode(&orders), wait);
            m.do_open = Some(call);
        }
    }

    pub(super) fn done_do(
        &mut self,
        ctx: &mut Ctx,
        id: &str,
        session: u64,
        runs: Vec<u64>,
        r: CallResult,
    ) {
        match self.machines.edit(id) {
            Some(mut m) => m.do_open = None,
            None => return,
        }
        if let Ok((200 | 409, body)) = &r {
            if self.hear_answer(ctx, id, body) {
                return;
            }
        }
        let Some(mut m) = self.machines.edit(id) else {
            return;
        };
        log::debug!("direct command to {id}: {}", describe(&r));
        m.missed(ctx.now.ms);
        if r == Err(CallError::NotSent) {
            for p in m.placements.iter_mut() {
                if runs.contains(&p.attempt) && p.phase == Phase::Sent && p.sent_seq == 0 {
                    p.set_phase(Phase::Ready);
                }
            }
            return;
        }
        // It may still arrive, minutes late, for as long as this session lasts.
        if m.session == session && !runs.is_empty() {
            m.do_lost = true;
        }
    }
}

/// Whether the worker may forget an exited task. One whose direct `run` may come once more,
/// as a late copy, must find its attempt used up: else it would start anew while the task,
/// which was not done, is elsewhere. The worker keeps it for as long as copies may travel.
fn may_clear(now: Ms, p: &Placement, cause: ExitCause) -> bool {
    let again = p.direct && !p.inherited && cause != ExitCause::Done;
    !again || now >= p.exited_at.unwrap_or(now) + k::COPY_LIFE_MS
}
