//! Users' requests for jobs: polls, submissions and cancels.
use super::*;

/// Why a submission is not taken.
enum Refusal {
    /// It can never run (422).
    NeverRuns(String),
    /// Its record is larger than a value may be (400).
    TooLarge,
}

impl Node {
    pub(super) fn ask(&mut self, id: u64, ask: Ask) {
        let (Ask::Poll(job) | Ask::Cancel(job)) = &ask else {
            return self.submit(id, ask);
        };
        // What has ended stays so: no need to ask the state service.
        if self.replica.end_of(job).is_some() {
            let status = self.status(job);
            return self.out.reply(id, 200, None, &status);
        }
        let patience = match ask {
            Ask::Poll(_) => k::POLL_PATIENCE_MS,
            _ => k::STORE_PATIENCE_MS,
        };
        self.wait(Pending {
            id,
            ask,
            until: self.now.ms + patience,
            tries: 0,
        });
    }

    pub(super) fn wait(&mut self, p: Pending) {
        if self.sync != Sync::Live || self.state_out() {
            return self.refuse(p.id);
        }
        self.waiting.push(p);
    }

    pub(super) fn refuse(&mut self, id: u64) {
        self.out.error(
            id,
            503,
            Some(k::RETRY_STATE_S),
            "the state service does not answer",
        );
    }

    pub(super) fn give_up(&mut self, polls: Vec<Pending>) {
        for p in polls {
            self.refuse(p.id);
        }
    }

    pub(super) fn submit(&mut self, id: u64, ask: Ask) {
        let Ask::Submit(spec) = &ask else { return };
        log::debug!("{} submitted, state out {}", spec.id, self.state_out());
        if self.replica.end_of(&spec.id).is_some() {
            let status = self.status(&spec.id);
            return self.out.reply(id, 200, None, &status);
        }
        let p = |ask| Pending {
            id,
            ask,
            until: self.now.ms + k::STORE_PATIENCE_MS,
            tries: 0,
        };
        // Known jobs are answered before any other check.
        if self.replica.jobs.contains_key(&spec.id) {
            let p = p(ask);
            return self.wait(p);
        }
        let Some(catalog) = &self.catalog else {
            return self.out.error(
                id,
                503,
                Some(k::RETRY_BUSY_S),
                "machine types not known yet",
            );
        };
        let verdict = self.verdict(spec, catalog);
        if self.sync != Sync::Live || self.state_out() {
            // Types and limits are alike on all nodes: none can have taken what never runs.
            return match verdict {
                Err(Refusal::NeverRuns(why)) if self.sync == Sync::Live => {
                    self.out.error(id, 422, None, &why);
                }
                _ => self.refuse(id),
            };
        }
        match verdict {
            // Another node may have taken it under other circumstances: ask before refusing.
            Err(_) => {
                let p = p(ask);
                self.wait(p);
            }
            Ok(()) => {
                let p = p(ask);
                self.store_submission(p);
            }
        }
    }

    /// Queues a submission that can run; a gang only once the gate is open.
    fn store_submission(&mut self, p: Pending) {
        let gang = matches!(&p.ask, Ask::Submit(spec) if spec.kind == JobKind::Gang);
        if gang && !self.gangs_open() {
            let why = "gangs are taken once every controller runs a release that knows them";
            return self.out.error(p.id, 503, Some(k::RETRY_GATE_S), why);
        }
        self.to_store.push(p);
    }

    /// Whether a job that is not known yet is taken.
    fn verdict(&self, spec: &JobSpec, catalog: &Catalog) -> Result<(), Refusal> {
        can_run(spec, &self.set, catalog).map_err(Refusal::NeverRuns)?;
        let record = JobRecord::submitted(spec, self.now.wall_ms);
        if json_len(&record) > self.record_bytes() {
            return Err(Refusal::TooLarge);
        }
        Ok(())
    }

    /// Bytes of JSON that a job's record may take: a value, within a transaction of its own.
    fn record_bytes(&self) -> usize {
        let alone = k::TXN_BYTES - k::TXN_MARGIN - k::STORE_HEAD_BYTES;
        self.limits.value_bytes().min(alone)
    }

    pub(super) fn advance_front(&mut self) {
        let now = self.now.ms;
        for list in [&mut self.waiting, &mut self.to_store] {
            let mut late = vec![];
            let mut i = 0;
            while i < list.len() {
                if now >= list[i].until {
                    late.push(list.swap_remove(i).id);
                } else {
                    i += 1;
                }
            }
            for id in late {
                self.out.error(
                    id,
                    503,
                    Some(k::RETRY_STATE_S),
                    "the state service does not answer",
                );
            }
        }
        if !self.to_store.is_empty() && self.storing < 2 && now >= self.store_at {
            self.store();
        }
        // Without requests nothing else would notice that the state service is back: the watch
        // may hang, and requests are refused meanwhile.
        let probe = self.state_failed_at.is_some() && now >= self.barrier_at + k::STATE_PROBE_MS
            || self.confirmation_due()
            || !self.proven();
        if (!self.waiting.is_empty() || probe)
            && self.sync == Sync::Live
            && self.barriers < 2
            && now >= self.barrier_at
            && self.reads.take(now, 1.0)
        {
            self.barriers += 1;
            self.barrier_at = now + k::BARRIER_GAP_MS;
            let polls = std::mem::take(&mut self.waiting);
            let patience = polls
                .iter()
                .map(|p| p.until - now)
                .min()
                .unwrap_or(k::STATE_TIMEOUT_MS)
                .max(100);
            let path = format!(
                "/changes?prefix={COMMON}&since={}&holdMs=0",
                self.replica.revision
            );
            let wait = patience.min(k::STATE_TIMEOUT_MS);
            let call = self.out.call(Target::State, "GET", path, vec![], wait);
            self.calls.insert(call, Call::Barrier { polls, sent: now });
        }
    }

    /// The copy is to be confirmed by a read: the leader must not miss a cancel because its watch
    /// hangs, and nothing else helps where the other nodes' answers don't carry the coverage on.
    fn confirmation_due(&self) -> bool {
        let needed = self.role == Role::Leading || self.uncovered_ms() > k::CONFIRM_COPY_MS;
        needed && self.now.ms >= self.barrier_at + k::CONFIRM_COPY_MS
    }

    /// Puts as many submissions and cancels into one transaction as fit.
    pub(super) fn store(&mut self) {
        let now = self.now.ms;
        let most = (self.writes.level(now) as usize).min(self.limits.transaction_writes());
        if most == 0 {
            return;
        }
        let mut txn = Txn {
            conditions: vec![],
            writes: vec![],
        };
        let (mut batch, mut rest, mut keys) = (vec![], vec![], HashSet::new());
        let mut bytes = k::TXN_MARGIN;
        let mut sent = TransactionSize::default();
        let record_bytes = self.record_bytes();
        for p in std::mem::take(&mut self.to_store) {
            let (job, record, version) = match &p.ask {
                Ask::Submit(spec) => {
                    let record = JobRecord::submitted(spec, self.now.wall_ms);
                    (spec.id.clone(), record, 0)
                }
                Ask::Cancel(job) => match self.replica.jobs.get(job) {
                    Some(j) if j.record.end.is_none() => {
                        let record = j.record.cancelled().within(record_bytes);
                        (job.clone(), record, j.version)
                    }
                    // Ended meanwhile: the barrier answers it.
                    _ => {
                        self.waiting.push(p);
                        continue;
                    }
                },
                Ask::Poll(_) => continue,
            };
            let value_bytes = json_len(&record);
            // Another node may have taken it while values could be larger: look before refusing.
            if value_bytes > record_bytes && matches!(p.ask, Ask::Submit(_)) {
                self.waiting.push(p);
                continue;
            }
            let size = value_bytes + k::STORE_HEAD_BYTES;
            if batch.len() >= most || bytes + size > k::TXN_BYTES || keys.contains(&job) {
                rest.push(p);
                continue;
            }
            bytes += size;
            sent.add(value_bytes);
            let key = records::job_key(&job);
            txn.conditions.push(Condition {
                key: key.clone(),
                version,
            });
            txn.writes.push(Write::Put {
                key,
                value: Value::Job(Box::new(record)),
                lease: None,
            });
            keys.insert(job);
            batch.push(p);
        }
        self.to_store = rest;
        if batch.is_empty() {
            return;
        }
        // Users wait for it: polls are answered after.
        self.reads.force(now, 1.0);
        self.writes.force(now, batch.len() as f64);
        self.storing += 1;
        self.transact(&txn, Call::Store { batch, size: sent });
    }

    pub(super) fn stored(
        &mut self,
        batch: Vec<Pending>,
        size: TransactionSize,
        result: CallResult,
    ) {
        self.storing -= 1;
        let now = self.now.ms;
        if let Ok((200, _)) = result {
            self.limits.accepted();
        }
        match result {
            Ok((200, body)) => {
                let Ok(answer) = decode::<TxnAnswer>(&body) else {
                    return self.give_up(batch);
                };
                for p in batch {
                    match &p.ask {
                        Ask::Submit(spec) => {
                            let record = JobRecord::submitted(spec, self.now.wall_ms);
                            let id = spec.id.clone();
                            let asked = p.until.saturating_sub(k::STORE_PATIENCE_MS);
                            log::debug!("{id} accepted after {} ms", now.saturating_sub(asked));
                            self.replica.put_job(&id, record, answer.revision);
                            let body = status(&id, JobPhase::Queued);
                            self.out.reply(p.id, 201, None, &body);
                        }
                        Ask::Cancel(job) => {
                            if let Some(j) = self.replica.jobs.get(job) {
                                let record = j.record.cancelled();
                                self.replica.put_job(job, record, answer.revision);
                            }
                            // Whoever serves the workers learns it before the user does.
                            self.tell_cancelled();
                            let body = status(job, JobPhase::Cancelled);
                            self.out.reply(p.id, 200, None, &body);
                        }
                        Ask::Poll(_) => {}
                    }
                }
            }
            // Someone else was first with a key: look again before answering.
            Ok((409, body)) => {
                let failed = decode::<TxnAnswer>(&body)
                    .map(|a| a.failed)
                    .unwrap_or_default();
                for mut p in batch {
                    p.tries += 1;
                    let key = match &p.ask {
                        Ask::Submit(s) => records::job_key(&s.id),
                        Ask::Poll(j) | Ask::Cancel(j) => records::job_key(j),
                    };
                    if p.tries > 5 {
                        self.refuse(p.id);
                    } else if failed.contains(&key) {
                        self.waiting.push(p);
                    } else {
                        self.to_store.push(p);
                    }
                }
            }
            Ok((429, _)) => {
                self.limits.rate_refused();
                self.store_at = now + k::STATE_RETRY_MS;
                self.to_store.extend(batch);
            }
            // Most likely the limits were lowered: the same again, in smaller parts and behind the
            // others, until its users' patience ends.
            Ok((400, _)) => {
                self.limits.size_refused(size);
                self.store_at = now + k::STATE_RETRY_MS;
                self.to_store.extend(batch);
            }
            other => {
                log::debug!("store failed: {}", describe(&other));
                self.give_up(batch);
            }
        }
    }

    /// After a barrier: the copy is as new as the request.
    pub(super) fn answer(&mut self, p: Pending) {
        // Read before a pause: other nodes may have told something newer since.
        if self.now.ms >= p.until {
            return self.refuse(p.id);
        }
        match &p.ask {
            Ask::Poll(job) => {
                if self.replica.jobs.contains_key(job) {
                    let status = self.status(job);
                    self.out.reply(p.id, 200, None, &status);
                } else {
                    self.out.error(p.id, 404, None, "no such job");
                }
            }
            Ask::Submit(spec) => {
                if self.replica.jobs.contains_key(&spec.id) {
                    let status = self.status(&spec.id);
                    return self.out.reply(p.id, 200, None, &status);
                }
                let verdict = match &self.catalog {
                    Some(c) => self.verdict(spec, c),
                    None => return self.refuse(p.id),
                };
                match verdict {
                    Ok(()) => self.store_submission(p),
                    Err(Refusal::NeverRuns(why)) => self.out.error(p.id, 422, None, &why),
                    Err(Refusal::TooLarge) => self.out.error(p.id, 400, None, "too large"),
                }
            }
            Ask::Cancel(job) => match self.replica.jobs.get(job) {
                None => self.out.error(p.id, 404, None, "no such job"),
                Some(j) if j.record.end.is_some() => {
                    let status = self.status(job);
                    self.out.reply(p.id, 200, None, &status);
                }
                Some(_) => self.to_store.push(p),
            },
        }
    }

    pub(super) fn status(&self, job: &str) -> JobStatus {
        let Some(j) = self.replica.jobs.get(job) else {
            return status(job, JobPhase::Queued);
        };
        let (done, running) = match &self.leader {
            Some(l) => l.counts(job),
            None => self.counts.get(job).copied().unwrap_or((0, 0)),
        };
        let (state, done, running) = match j.record.end {
            Some(End::Done) => (JobPhase::Done, j.record.tasks, 0),
            Some(End::Cancelled) => (JobPhase::Cancelled, done, 0),
            None if running > 0 => (JobPhase::Running, done, running),
            None => (JobPhase::Queued, done, 0),
        };
        JobStatus {
            id: job.into(),
            state,
            done: Some(done),
            running: Some(running),
        }
    }
}

fn status(job: &str, state: JobPhase) -> JobStatus {
    JobStatus {
        id: job.into(),
        state,
        done: None,
        running: None,
    }
}

#[cfg(test)]
#[path = "users_tests.rs"]
mod tests;
