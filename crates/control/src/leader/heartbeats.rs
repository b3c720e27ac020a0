//! Reports: what a machine shows against what we hold.
use super::*;
use stonegw_constants::RESULT_CHUNK_TASKS;

impl Leader {
    /// A worker's report; the answer renews its lease. `None`: we do not lead any more, or may
    /// not renew it.
    pub fn handle_heartbeat(
        &mut self,
        context: &mut LeaderContext,
        report: Heartbeat,
    ) -> Option<CommandBatch> {
        if report.fencing_token > self.term || self.deposed {
            self.deposed = true;
            return None;
        }
        self.cluster.now_ms = context.now.monotonic_ms;
        if !context.watermark_current {
            // The machine lives, but nothing that we say reaches it by this way.
            if self.stage != Stage::Loading {
                let id = report.machine_id.clone();
                if self.apply_heartbeat(context, report, false) {
                    self.process_exits(context, &id);
                }
            }
            return None;
        }
        let mut commands = vec![];
        if self.stage == Stage::Loading {
            // Loading waits for the state service; what is cancelled does not.
            commands = context.replica.stop_commands(&report);
        } else {
            let id = report.machine_id.clone();
            let newer = self.apply_heartbeat(context, report, true);
            if newer {
                if let Some(mut m) = self.cluster.machines.edit(&id) {
                    m.via_store = false;
                }
                self.process_exits(context, &id);
                if self.stage == Stage::Active {
                    self.scheduler
                        .dispatch_queued(&mut self.cluster, context, &id);
                }
                commands = self.collect_commands(context, &id, true);
            }
        }
        Some(CommandBatch {
            fencing_token: self.term,
            incarnation: None,
            commands,
        })
    }

    /// Takes in a report. `beat`: it came as a report, not as the answer to a direct command.
    /// Only the newest by session and number says anything: copies of reports may come minutes
    /// late, through any node.
    pub(super) fn apply_heartbeat(
        &mut self,
        context: &mut LeaderContext,
        report: Heartbeat,
        beat: bool,
    ) -> bool {
        let now = context.now.monotonic_ms;
        let id = report.machine_id.clone();
        if self.cluster.deleted_machines.contains_key(&id) {
            return false;
        }
        self.cluster.machines.add(&id, || {
            log::info!("machine {id} reports for the first time");
            Machine::new(&id, &report.machine_type, &report.zone, report.is_spot, now)
        });
        let term = self.term;
        let Some(mut m) = self.cluster.machines.edit(&id) else {
            return false;
        };
        if (report.incarnation, report.sequence) <= (m.incarnation, m.sequence) {
            return false;
        }
        let new_session = report.incarnation > m.incarnation && m.last_heartbeat_at.is_some();
        // What an earlier leader placed may have been sent in either session, unless the worker
        // had already seen our token in the old one.
        let inherited_too = m.under_current_term;
        let first = m.last_heartbeat_at.is_none();
        // We answered it all the while, and its lease ran out all the same; or it restarted.
        let unheard = new_session
            && m.answered_heartbeats > 1
            && !m.is_silent(now, context.settings.heartbeat_interval_s);
        if m.is_silent(now, context.settings.heartbeat_interval_s) {
            // What went unheard before or during a silence tells nothing of now.
            m.record_delivered();
            m.answered_heartbeats = 0;
        }
        m.accumulate_usage(now);
        m.incarnation = report.incarnation;
        m.sequence = report.sequence;
        m.last_heartbeat_at = Some(now);
        m.absent_listings = 0;
        m.addr = Some(report.addr.clone());
        m.machine_type = report.machine_type.clone();
        m.zone = report.zone.clone();
        m.spot = report.is_spot;
        let took_token = report.fencing_token == term && !m.under_current_term;
        m.under_current_term = report.fencing_token == term;
        if took_token || !beat {
            m.record_delivered();
        } else if unheard || !m.under_current_term && m.answered_heartbeats > 1 {
            m.record_undelivered(now);
        }
        if beat {
            m.answered_heartbeats += 1;
        }
        m.eviction_at = report
            .eviction_in_s
            .filter(|s| s.is_finite())
            .map(|s| now + (s.max(0.0) * 1e3) as u64);
        if first && m.lifecycle == Lifecycle::Provisioning {
            m.set_lifecycle(Lifecycle::Ready);
        }
        if m.eviction_at.is_some() && m.lifecycle == Lifecycle::Ready {
            m.set_lifecycle(Lifecycle::Draining);
        }
        if new_session {
            // A new session: the worker killed and forgot everything, and nothing sent under
            // the old one can start any more.
            log::warn!("machine {id} began session {}", report.incarnation);
            m.command_unanswered = false;
            m.cached_images.clear();
        }
        drop(m);
        self.cluster.scheduling_needed |= first;
        if new_session {
            self.cluster.remove_terminated_placements(
                &id,
                TerminationEvidence::NewIncarnation {
                    includes_inherited: inherited_too,
                },
            );
        }
        self.reconcile_tasks(context, &id, &report.tasks, beat);
        true
    }

    /// Takes in the report in a machine's own answer. False: it is none.
    pub(super) fn apply_command_reply(
        &mut self,
        context: &mut LeaderContext,
        id: &str,
        body: &[u8],
    ) -> bool {
        match decode::<Heartbeat>(body) {
            Ok(report) if report.machine_id == id => {
                if report.fencing_token > self.term {
                    self.deposed = true;
                } else {
                    self.apply_heartbeat(context, report, false);
                    self.process_exits(context, id);
                }
                true
            }
            _ => {
                log::warn!("answer of {id} not understood");
                false
            }
        }
    }

    /// Compares a machine's newest report with what we hold.
    fn reconcile_tasks(
        &mut self,
        context: &mut LeaderContext,
        id: &str,
        tasks: &[TaskStatus],
        beat: bool,
    ) {
        let now = context.now.monotonic_ms;
        let mut adopt = vec![];
        let Some(mut m) = self.cluster.machines.edit(id) else {
            return;
        };
        let mut seen = vec![false; m.placements.len()];
        // Whether commands in our last answer had their effect.
        let (mut heeded, mut missed) = (false, false);
        let seq = m.sequence;
        for t in tasks {
            let Some((job, index)) = parse_task_name(&t.task_id) else {
                log::warn!("{id} reports a task named {:?}", t.task_id);
                continue;
            };
            let at = m
                .placements
                .iter()
                .position(|p| p.attempt == t.attempt && p.index == index && p.job == job);
            match at {
                Some(at) => {
                    seen[at] = true;
                    let p = &mut m.placements[at];
                    let phase = reported_phase(t);
                    if matches!(p.phase, Phase::Exited { .. }) {
                        missed |= p.forget_sent && beat;
                        continue;
                    }
                    heeded |= p.phase == Phase::Sent && p.sent_sequence > 0;
                    if phase == Phase::Running && p.running_at.is_none() {
                        // An inherited task has run for an unknown while.
                        p.running_at = Some(now);
                    }
                    p.set_phase(phase);
                }
                None => adopt.push((job.to_owned(), index, t.clone())),
            }
        }
        // Absence proves something only in a report made under our token: what an earlier
        // leader sent can then no longer start.
        let mut gone = vec![];
        if m.under_current_term {
            let open = m.command_in_flight.is_some() || m.command_unanswered;
            let mut at = 0;
            m.placements.retain(|p| {
                let here = seen[at];
                at += 1;
                if here {
                    return true;
                }
                if p.phase == Phase::Sent && p.sent_sequence > 0 && beat {
                    missed |= seq > p.sent_sequence;
                }
                let out = match p.phase {
                    Phase::Unstored | Phase::Stored | Phase::Startable => false,
                    Phase::Exited {
                        outcome_stored: settled,
                        ..
                    } => settled && p.forget_sent && beat,
                    _ if p.inherited => true,
                    // A `run` of ours may be on its way: by a direct command without answer,
                    // or in the answer to a report that is no older than this one.
                    Phase::Sent => {
                        p.stop_grace_s.is_some() && beat && !open && seq > p.sent_sequence
                    }
                    _ => beat && !open && seq > p.sent_sequence,
                };
                heeded |= out && p.forget_sent;
                // What exited was taken back when it did.
                if out && p.is_present() {
                    gone.push((p.job.clone(), p.index));
                }
                !out
            });
        }
        if heeded {
            m.record_delivered();
        } else if missed {
            m.record_undelivered(now);
        }
        drop(m);
        if !gone.is_empty() {
            self.cluster.mark_group_stale(id);
        }
        for (job, index) in gone {
            self.cluster.requeue_task(&job, index);
        }
        for (job, index, t) in adopt {
            self.adopt_unknown_task(context, id, &job, index, &t);
        }
    }

    /// A task that we hold nothing of. It counts until it is gone.
    fn adopt_unknown_task(
        &mut self,
        context: &mut LeaderContext,
        id: &str,
        job: &str,
        index: u32,
        t: &TaskStatus,
    ) {
        let now = context.now.monotonic_ms;
        let phase = reported_phase(t);
        if is_present_phase(phase) {
            log::warn!("{id} has {job}/{index}#{} unknown to us", t.attempt);
        }
        let spec = context
            .replica
            .jobs
            .get(job)
            .and_then(|j| j.record.spec.as_ref());
        let wanted =
            !self.cluster.machines.is_present(job, index) && self.cluster.jobs.contains_key(job);
        // What has exited needs no record.
        let shard = is_present_phase(phase)
            .then(|| self.cluster.assign_machine_group(id, job, true))
            .flatten();
        let Some(mut m) = self.cluster.machines.edit(id) else {
            return;
        };
        m.placements.push(Placement {
            cpus: spec.map_or(0.0, |s| s.cpus),
            gpus: spec.map_or(0.0, |s| s.gpus),
            memory_gb: spec.map_or(0.0, |s| s.memory_gb),
            team: spec.map_or(String::new(), |s| s.team.clone()),
            inherited: true,
            stop_grace_s: (!wanted).then_some(0.0),
            running_at: Some(now),
            ..Placement::new(job, index, t.attempt, phase)
        });
        if !is_present_phase(phase) {
            return;
        }
        m.machine_group = shard;
        drop(m);
        if let Some(s) = shard.and_then(|n| self.cluster.machine_groups.get_mut(&n)) {
            s.add_task(now, job);
        }
        if let Some(w) = self.cluster.jobs.get_mut(job) {
            w.remove_pending(index);
            self.cluster.dequeue(job, index);
        }
    }

    /// What exited tasks on a machine mean for their jobs.
    pub(super) fn process_exits(&mut self, context: &mut LeaderContext, id: &str) {
        let now = context.now.monotonic_ms;
        let mut exits = vec![];
        let works = &self.cluster.jobs;
        let Some(mut m) = self.cluster.machines.edit(id) else {
            return;
        };
        let kind = m.machine_type.clone();
        for p in &mut m.placements {
            let Phase::Exited {
                cause,
                outcome_stored: settled,
            } = &mut p.phase
            else {
                continue;
            };
            if *settled || (*cause == ExitCause::Done && p.forget_sent) {
                continue;
            }
            if *cause == ExitCause::Done {
                // Settled once stored; `clear_sent` is set then.
                let work = works.get(&p.job);
                if let Some(w) = work.filter(|w| w.done_tasks.get(p.index)) {
                    // Known before; if that is stored, nothing else will settle it.
                    let chunk = w.result_chunks.get(&(p.index / RESULT_CHUNK_TASKS));
                    *settled = chunk.is_some_and(|c| {
                        !c.stored_state.dirty
                            && !c.stored_state.write_in_flight
                            && c.stored_state.revision.is_some()
                    });
                    continue;
                }
                // Ended: nothing more follows.
                if work.is_none() {
                    *settled = true;
                    continue;
                }
            } else {
                *settled = true;
            }
            let run_s = p.running_at.map(|t| now.saturating_sub(t) as f64 / 1e3);
            let run_s = run_s.filter(|_| !p.inherited && !p.run_time_unknown);
            exits.push((p.job.clone(), p.index, *cause, run_s));
        }
        drop(m);
        for (job, index, cause, run_s) in exits {
            self.cluster.scheduling_needed = true;
            let Some(w) = self.cluster.jobs.get_mut(&job) else {
                continue;
            };
            if cause != ExitCause::Done {
                self.handle_task_failure(now, id, &job, index, cause);
                continue;
            }
            if w.gang.is_some() {
                let estimates = &mut self.scheduler.state.estimates;
                GangLifecycle::new(&mut self.cluster).finish_gang(estimates, now, &job, &kind);
                continue;
            }
            if w.done_tasks.set(index) {
                w.done_count += 1;
                w.remove_pending(index);
                w.pruned_tasks.remove(&index);
                if w.failures.job_is_broken() {
                    w.retry_at = now;
                }
                w.failures.record_success();
                let chunk = w.result_chunks.entry(index / RESULT_CHUNK_TASKS);
                let chunk = chunk.or_insert_with(|| ResultChunk::new(StoredState::absent()));
                if !chunk.stored_state.dirty {
                    chunk.stored_state.dirty = true;
                    chunk.dirty_since = now;
                }
                self.cluster.jobs_to_store.insert(job.clone());
                if let Some(s) = run_s {
                    let spec = w.spec.clone();
                    self.scheduler.state.estimates.record_run(&spec, &kind, s);
                }
            }
            self.cluster.dequeue(&job, index);
        }
    }
}
