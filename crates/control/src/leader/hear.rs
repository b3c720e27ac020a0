//! Reports: what a machine shows against what we hold.
use super::*;

impl Leader {
    /// A worker's report; the answer renews its lease. `None`: we do not lead any more, or may
    /// not renew it.
    pub fn beat(&mut self, ctx: &mut Ctx, report: Report) -> Option<Orders> {
        if report.token > self.term || self.deposed {
            self.deposed = true;
            return None;
        }
        self.now_ms = ctx.now.ms;
        if !ctx.covered {
            // The machine lives, but nothing that we say reaches it by this way.
            if self.stage != Stage::Loading {
                let id = report.machine.clone();
                if self.hear(ctx, report, false) {
                    self.take_exits(ctx, &id);
                }
            }
            return None;
        }
        let mut commands = vec![];
        if self.stage == Stage::Loading {
            // Loading waits for the state service; what is cancelled does not.
            commands = ctx.replica.stops(&report);
        } else {
            let id = report.machine.clone();
            let newer = self.hear(ctx, report, true);
            if newer {
                if let Some(mut m) = self.machines.edit(&id) {
                    m.via_state = false;
                }
                self.take_exits(ctx, &id);
                if self.stage == Stage::Active {
                    self.promote(ctx, &id);
                }
                commands = self.orders(ctx, &id, true);
            }
        }
        Some(Orders {
            token: self.term,
            session: None,
            commands,
        })
    }

    /// Takes in a report. `beat`: it came as a report, not as the answer to a direct command.
    /// Only the newest by session and number says anything: copies of reports may come minutes
    /// late, through any node.
    pub(super) fn hear(&mut self, ctx: &mut Ctx, report: Report, beat: bool) -> bool {
        let now = ctx.now.ms;
        let id = report.machine.clone();
        if self.deleted.contains_key(&id) {
            return false;
        }
        self.machines.add(&id, || {
            log::info!("machine {id} reports for the first time");
            Machine::new(&id, &report.machine_type, &report.zone, report.spot, now)
        });
        let term = self.term;
        let Some(mut m) = self.machines.edit(&id) else {
            return false;
        };
        if (report.session, report.seq) <= (m.session, m.seq) {
            return false;
        }
        let new_session = report.session > m.session && m.heard.is_some();
        // What an earlier leader placed may have been sent in either session, unless the worker
        // had already seen our token in the old one.
        let inherited_too = m.under_token;
        let first = m.heard.is_none();
        // We answered it all the while, and its lease ran out all the same; or it restarted.
        let unheard = new_session && m.answered > 1 && !m.quiet(now, ctx.set.report_s);
        if m.quiet(now, ctx.set.report_s) {
            // What went unheard before or during a silence tells nothing of now.
            m.reached();
            m.answered = 0;
        }
        m.count_use(now);
        m.session = report.session;
        m.seq = report.seq;
        m.heard = Some(now);
        m.missing = 0;
        m.addr = Some(report.addr.clone());
        m.kind = report.machine_type.clone();
        m.zone = report.zone.clone();
        m.spot = report.spot;
        let took_token = report.token == term && !m.under_token;
        m.under_token = report.token == term;
        if took_token || !beat {
            m.reached();
        } else if unheard || !m.under_token && m.answered > 1 {
            m.missed(now);
        }
        if beat {
            m.answered += 1;
        }
        m.notice = report
            .notice_s
            .filter(|s| s.is_finite())
            .map(|s| now + (s.max(0.0) * 1e3) as u64);
        if first && m.life == Life::Booting {
            m.set_life(Life::Up);
        }
        if m.notice.is_some() && m.life == Life::Up {
            m.set_life(Life::Draining);
        }
        if new_session {
            // A new session: the worker killed and forgot everything, and nothing sent under
            // the old one can start any more.
            log::warn!("machine {id} began session {}", report.session);
            m.do_lost = false;
            m.images.clear();
        }
        drop(m);
        self.wake |= first;
        if new_session {
            self.all_gone(&id, Gone::Session { inherited_too });
        }
        self.compare(ctx, &id, &report.tasks, beat);
        true
    }

    /// Takes in the report in a machine's own answer. False: it is none.
    pub(super) fn hear_answer(&mut self, ctx: &mut Ctx, id: &str, body: &[u8]) -> bool {
        match decode::<Report>(body) {
            Ok(report) if report.machine == id => {
                if report.token > self.term {
                    self.deposed = true;
                } else {
                    self.hear(ctx, report, false);
                    self.take_exits(ctx, id);
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
    fn compare(&mut self, ctx: &mut Ctx, id: &str, tasks: &[TaskReport], beat: bool) {
        let now = ctx.now.ms;
        let mut adopt = vec![];
        let Some(mut m) = self.machines.edit(id) else {
            return;
        };
        let mut seen = vec![false; m.placements.len()];
        // Whether commands in our last answer had their effect.
        let (mut heeded, mut missed) = (false, false);
        let seq = m.seq;
        for t in tasks {
            let Some((job, index)) = parse_task(&t.task) else {
                log::warn!("{id} reports a task named {:?}", t.task);
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
                    let phase = phase_of(t);
                    if matches!(p.phase, Phase::Exited { .. }) {
                        missed |= p.clear_sent && beat;
                        continue;
                    }
                    heeded |= p.phase == Phase::Sent && p.sent_seq > 0;
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
        if m.under_token {
            let open = m.do_open.is_some() || m.do_lost;
            let mut at = 0;
            m.placements.retain(|p| {
                let here = seen[at];
                at += 1;
                if here {
                    return true;
                }
                if p.phase == Phase::Sent && p.sent_seq > 0 && beat {
                    missed |= seq > p.sent_seq;
                }
                let out = match p.phase {
                    Phase::New | Phase::Stored | Phase::Ready => false,
                    Phase::Exited { settled, .. } => settled && p.clear_sent && beat,
                    _ if p.inherited => true,
                    // A `run` of ours may be on its way: by a direct command without answer,
                    // or in the answer to a report that is no older than this one.
                    Phase::Sent => p.stop.is_some() && beat && !open && seq > p.sent_seq,
                    _ => beat && !open && seq > p.sent_seq,
                };
                heeded |= out && p.clear_sent;
                // What exited was taken back when it did.
                if out && p.present() {
                    gone.push((p.job.clone(), p.index));
                }
                !out
            });
        }
        if heeded {
            m.reached();
        } else if missed {
            m.missed(now);
        }
        drop(m);
        if !gone.is_empty() {
            self.stale(id);
        }
        for (job, index) in gone {
            self.back(&job, index);
        }
        for (job, index, t) in adopt {
            self.adopt(ctx, id, &job, index, &t);
        }
    }

    /// A task that we hold nothing of. It counts until it is gone.
    fn adopt(&mut self, ctx: &mut Ctx, id: &str, job: &str, index: u32, t: &TaskReport) {
        let now = ctx.now.ms;
        let phase = phase_of(t);
        if phase_present(phase) {
            log::warn!("{id} has {job}/{index}#{} unknown to us", t.attempt);
        }
        let spec = ctx
            .replica
            .jobs
            .get(job)
            .and_then(|j| j.record.spec.as_ref());
        let wanted = !self.machines.is_present(job, index) && self.works.contains_key(job);
        // What has exited needs no record.
        let shard = phase_present(phase)
            .then(|| self.shard_for(id, job, true))
            .flatten();
        let Some(mut m) = self.machines.edit(id) else {
            return;
        };
        m.placements.push(Placement {
            cpus: spec.map_or(0.0, |s| s.cpus),
            gpus: spec.map_or(0.0, |s| s.gpus),
            memory: spec.map_or(0.0, |s| s.memory_gb),
            team: spec.map_or(String::new(), |s| s.team.clone()),
            inherited: true,
            stop: (!wanted).then_some(0.0),
            running_at: Some(now),
            ..Placement::new(job, index, t.attempt, phase)
        });
        if !phase_present(phase) {
            return;
        }
        m.shard = shard;
        drop(m);
        if let Some(s) = shard.and_then(|n| self.shards.get_mut(&n)) {
            s.add(now, job);
        }
        if let Some(w) = self.works.get_mut(job) {
            w.take(index);
            self.unhold(job, index);
        }
    }

    /// Takes a task out of the queues.
    pub fn unhold(&mut self, job: &str, index: u32) {
        if !self.machines.is_held(job, index) {
            return;
        }
        for id in self.machines.of_job(job) {
            if let Some(mut m) = self.machines.edit(&id) {
                m.held.retain(|h| (h.0.as_str(), h.1) != (job, index));
            }
        }
    }

    /// What exited tasks on a machine mean for their jobs.
    pub(super) fn take_exits(&mut self, ctx: &mut Ctx, id: &str) {
        let now = ctx.now.ms;
        let mut exits = vec![];
        let works = &self.works;
        let Some(mut m) = self.machines.edit(id) else {
            return;
        };
        let kind = m.kind.clone();
        for p in &mut m.placements {
            let Phase::Exited { cause, settled } = &mut p.phase else {
                continue;
            };
            if *settled || (*cause == ExitCause::Done && p.clear_sent) {
                continue;
            }
            if *cause == ExitCause::Done {
                // Settled once stored; `clear_sent` is set then.
                let work = works.get(&p.job);
                if let Some(w) = work.filter(|w| w.done.get(p.index)) {
                    // Known before; if that is stored, nothing else will settle it.
                    let chunk = w.chunks.get(&(p.index / k::DONE_CHUNK));
                    *settled = chunk.is_some_and(|c| {
                        !c.stored.dirty && !c.stored.writing && c.stored.version.is_some()
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
            let run_s = run_s.filter(|_| !p.inherited && !p.run_untimed);
            exits.push((p.job.clone(), p.index, *cause, run_s));
        }
        drop(m);
        for (job, index, cause, run_s) in exits {
            self.wake = true;
            let Some(w) = self.works.get_mut(&job) else {
                continue;
            };
            if cause != ExitCause::Done {
                self.failed(now, id, &job, index, cause);
                continue;
            }
            if w.gang.is_some() {
                self.finish_gang(now, &job, &kind);
                continue;
            }
            if w.done.set(index) {
                w.done_count += 1;
                w.take(index);
                w.dropped.remove(&index);
                if w.failures.job_is_broken() {
                    w.retry_at = now;
                }
                w.failures.task_done();
                let chunk = w.chunks.entry(index / k::DONE_CHUNK);
                let chunk = chunk.or_insert_with(|| Chunk::new(Stored::absent()));
                if !chunk.stored.dirty {
                    chunk.stored.dirty = true;
                    chunk.since = now;
                }
                self.due.insert(job.clone());
                if let Some(s) = run_s {
                    let spec = w.spec.clone();
                    self.sched.record(&spec, &kind, s);
                }
            }
            self.unhold(&job, index);
        }
    }
}
