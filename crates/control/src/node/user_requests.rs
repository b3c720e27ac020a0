//! Users' requests for jobs: polls, submissions and cancels.
use super::*;
use stonegw_constants::{
    JOB_WRITE_OVERHEAD_BYTES, MAX_TXN_BYTES, POLL_TIMEOUT_MS, READ_BARRIER_INTERVAL_MS,
    REPLICA_CONFIRM_INTERVAL_MS, RETRY_AFTER_FEATURE_GATE_S, RETRY_AFTER_OVERLOAD_S,
    RETRY_AFTER_STORE_FAILURE_S, STORE_PROBE_INTERVAL_MS, STORE_RETRY_BACKOFF_MS, STORE_TIMEOUT_MS,
    SUBMISSION_TIMEOUT_MS, TXN_MARGIN_BYTES,
};

/// Why a submission is not taken.
enum AdmissionError {
    /// It can never run (422).
    Infeasible(String),
    /// Its record is larger than a value may be (400).
    TooLarge,
}

impl Node {
    pub(super) fn handle_user_request(&mut self, id: u64, ask: UserRequest) {
        let (UserRequest::Poll(job) | UserRequest::Cancel(job)) = &ask else {
            return self.handle_submission(id, ask);
        };
        // What has ended stays so: no need to ask the state service.
        if self.replica.end_of(job).is_some() {
            let status = self.job_status(job);
            return self.outbox.reply(id, 200, None, &status);
        }
        let patience = match ask {
            UserRequest::Poll(_) => POLL_TIMEOUT_MS,
            _ => SUBMISSION_TIMEOUT_MS,
        };
        self.queue_for_barrier(PendingRequest {
            id,
            request: ask,
            expires_at: self.now.monotonic_ms + patience,
            commit_attempts: 0,
        });
    }

    pub(super) fn queue_for_barrier(&mut self, p: PendingRequest) {
        if self.replica_sync != ReplicaSync::Live || self.is_store_unavailable() {
            return self.reply_unavailable(p.id);
        }
        self.awaiting_barrier.push(p);
    }

    pub(super) fn reply_unavailable(&mut self, id: u64) {
        self.outbox.reply_error(
            id,
            503,
            Some(RETRY_AFTER_STORE_FAILURE_S),
            "the state service does not answer",
        );
    }

    pub(super) fn reply_unavailable_to_all(&mut self, polls: Vec<PendingRequest>) {
        for p in polls {
            self.reply_unavailable(p.id);
        }
    }

    pub(super) fn handle_submission(&mut self, id: u64, ask: UserRequest) {
        let UserRequest::Submit(spec) = &ask else {
            return;
        };
        log::debug!(
            "{} submitted, state out {}",
            spec.id,
            self.is_store_unavailable()
        );
        if self.replica.end_of(&spec.id).is_some() {
            let status = self.job_status(&spec.id);
            return self.outbox.reply(id, 200, None, &status);
        }
        let p = |ask| PendingRequest {
            id,
            request: ask,
            expires_at: self.now.monotonic_ms + SUBMISSION_TIMEOUT_MS,
            commit_attempts: 0,
        };
        // Known jobs are answered before any other check.
        if self.replica.jobs.contains_key(&spec.id) {
            let p = p(ask);
            return self.queue_for_barrier(p);
        }
        let Some(catalog) = &self.catalog else {
            return self.outbox.reply_error(
                id,
                503,
                Some(RETRY_AFTER_OVERLOAD_S),
                "machine types not known yet",
            );
        };
        let verdict = self.check_admission(spec, catalog);
        if self.replica_sync != ReplicaSync::Live || self.is_store_unavailable() {
            // Types and limits are alike on all nodes: none can have taken what never runs.
            return match verdict {
                Err(AdmissionError::Infeasible(why)) if self.replica_sync == ReplicaSync::Live => {
                    self.outbox.reply_error(id, 422, None, &why);
                }
                _ => self.reply_unavailable(id),
            };
        }
        match verdict {
            // Another node may have taken it under other circumstances: ask before refusing.
            Err(_) => {
                let p = p(ask);
                self.queue_for_barrier(p);
            }
            Ok(()) => {
                let p = p(ask);
                self.enqueue_submission(p);
            }
        }
    }

    /// Queues a submission that can run; a gang only once the gate is open.
    fn enqueue_submission(&mut self, p: PendingRequest) {
        let gang = matches!(&p.request, UserRequest::Submit(spec) if spec.kind == JobKind::Gang);
        if gang && !self.gangs_enabled() {
            let why = "gangs are taken once every controller runs a release that knows them";
            return self
                .outbox
                .reply_error(p.id, 503, Some(RETRY_AFTER_FEATURE_GATE_S), why);
        }
        self.awaiting_commit.push(p);
    }

    /// Whether a job that is not known yet is taken.
    fn check_admission(&self, spec: &JobSpec, catalog: &Catalog) -> Result<(), AdmissionError> {
        check_feasibility(spec, &self.settings, catalog).map_err(AdmissionError::Infeasible)?;
        let record = JobRecord::submitted(spec, self.now.wall_ms);
        if json_size_bytes(&record) > self.max_record_bytes() {
            return Err(AdmissionError::TooLarge);
        }
        Ok(())
    }

    /// Bytes of JSON that a job's record may take: a value, within a transaction of its own.
    fn max_record_bytes(&self) -> usize {
        let alone = MAX_TXN_BYTES - TXN_MARGIN_BYTES - JOB_WRITE_OVERHEAD_BYTES;
        self.store_limits.max_value_bytes().min(alone)
    }

    pub(super) fn advance_user_requests(&mut self) {
        let now = self.now.monotonic_ms;
        for list in [&mut self.awaiting_barrier, &mut self.awaiting_commit] {
            let mut late = vec![];
            let mut i = 0;
            while i < list.len() {
                if now >= list[i].expires_at {
                    late.push(list.swap_remove(i).id);
                } else {
                    i += 1;
                }
            }
            for id in late {
                self.outbox.reply_error(
                    id,
                    503,
                    Some(RETRY_AFTER_STORE_FAILURE_S),
                    "the state service does not answer",
                );
            }
        }
        if !self.awaiting_commit.is_empty()
            && self.commits_in_flight < 2
            && now >= self.next_commit_at
        {
            self.commit_user_requests();
        }
        // Without requests nothing else would notice that the state service is back: the watch
        // may hang, and requests are refused meanwhile.
        let probe = self.store_failing_since.is_some()
            && now >= self.next_barrier_at + STORE_PROBE_INTERVAL_MS
            || self.is_confirming_read_due()
            || !self.has_synced_since_pause();
        if (!self.awaiting_barrier.is_empty() || probe)
            && self.replica_sync == ReplicaSync::Live
            && self.barriers_in_flight < 2
            && now >= self.next_barrier_at
            && self.read_budget.try_take(now, 1.0)
        {
            self.barriers_in_flight += 1;
            self.next_barrier_at = now + READ_BARRIER_INTERVAL_MS;
            let polls = std::mem::take(&mut self.awaiting_barrier);
            let patience = polls
                .iter()
                .map(|p| p.expires_at - now)
                .min()
                .unwrap_or(STORE_TIMEOUT_MS)
                .max(100);
            let path = format!(
                "/changes?prefix={REPLICATED_PREFIX}&since={}&holdMs=0",
                self.replica.revision
            );
            let wait = patience.min(STORE_TIMEOUT_MS);
            let call = self
                .outbox
                .start_call(Target::Store, "GET", path, vec![], wait);
            self.calls_in_flight.insert(
                call,
                NodeCall::ReadBarrier {
                    requests: polls,
                    sent_at: now,
                },
            );
        }
    }

    /// The copy is to be confirmed by a read: the leader must not miss a cancel because its watch
    /// hangs, and nothing else helps where the other nodes' answers don't carry the coverage on.
    fn is_confirming_read_due(&self) -> bool {
        let needed =
            self.role == Role::Leader || self.watermark_lag_ms() > REPLICA_CONFIRM_INTERVAL_MS;
        needed && self.now.monotonic_ms >= self.next_barrier_at + REPLICA_CONFIRM_INTERVAL_MS
    }

    /// Puts as many submissions and cancels into one transaction as fit.
    pub(super) fn commit_user_requests(&mut self) {
        let now = self.now.monotonic_ms;
        let most = (self.write_budget.available(now) as usize)
            .min(self.store_limits.max_transaction_writes());
        if most == 0 {
            return;
        }
        let mut txn = Txn {
            conditions: vec![],
            writes: vec![],
        };
        let (mut batch, mut rest, mut keys) = (vec![], vec![], HashSet::new());
        let mut bytes = TXN_MARGIN_BYTES;
        let mut sent = TransactionSize::default();
        let record_bytes = self.max_record_bytes();
        for p in std::mem::take(&mut self.awaiting_commit) {
            let (job, record, version) = match &p.request {
                UserRequest::Submit(spec) => {
                    let record = JobRecord::submitted(spec, self.now.wall_ms);
                    (spec.id.clone(), record, 0)
                }
                UserRequest::Cancel(job) => match self.replica.jobs.get(job) {
                    Some(j) if j.record.end.is_none() => {
                        let record = j.record.cancelled().fit_within(record_bytes);
                        (job.clone(), record, j.revision)
                    }
                    // Ended meanwhile: the barrier answers it.
                    _ => {
                        self.awaiting_barrier.push(p);
                        continue;
                    }
                },
                UserRequest::Poll(_) => continue,
            };
            let value_bytes = json_size_bytes(&record);
            // Another node may have taken it while values could be larger: look before refusing.
            if value_bytes > record_bytes && matches!(p.request, UserRequest::Submit(_)) {
                self.awaiting_barrier.push(p);
                continue;
            }
            let size = value_bytes + JOB_WRITE_OVERHEAD_BYTES;
            if batch.len() >= most || bytes + size > MAX_TXN_BYTES || keys.contains(&job) {
                rest.push(p);
                continue;
            }
            bytes += size;
            sent.add_write(value_bytes);
            let key = records::job_key(&job);
            txn.conditions.push(Condition {
                key: key.clone(),
                revision: version,
            });
            txn.writes.push(Write::Put {
                key,
                value: StoredRecord::Job(Box::new(record)),
                lease_id: None,
            });
            keys.insert(job);
            batch.push(p);
        }
        self.awaiting_commit = rest;
        if batch.is_empty() {
            return;
        }
        // Users wait for it: polls are answered after.
        self.read_budget.take_unconditionally(now, 1.0);
        self.write_budget
            .take_unconditionally(now, batch.len() as f64);
        self.commits_in_flight += 1;
        self.send_transaction(
            &txn,
            NodeCall::CommitUserRequests {
                requests: batch,
                size: sent,
            },
        );
    }

    pub(super) fn handle_user_commit_result(
        &mut self,
        batch: Vec<PendingRequest>,
        size: TransactionSize,
        result: CallResult,
    ) {
        self.commits_in_flight -= 1;
        let now = self.now.monotonic_ms;
        if let Ok((200, _)) = result {
            self.store_limits.record_accepted();
        }
        match result {
            Ok((200, body)) => {
                let Ok(answer) = decode::<TxnResponse>(&body) else {
                    return self.reply_unavailable_to_all(batch);
                };
                for p in batch {
                    match &p.request {
                        UserRequest::Submit(spec) => {
                            let record = JobRecord::submitted(spec, self.now.wall_ms);
                            let id = spec.id.clone();
                            let asked = p.expires_at.saturating_sub(SUBMISSION_TIMEOUT_MS);
                            log::debug!("{id} accepted after {} ms", now.saturating_sub(asked));
                            self.replica.put_job(&id, record, answer.revision);
                            let body = job_status_without_counts(&id, JobPhase::Queued);
                            self.outbox.reply(p.id, 201, None, &body);
                        }
                        UserRequest::Cancel(job) => {
                            if let Some(j) = self.replica.jobs.get(job) {
                                let record = j.record.cancelled();
                                self.replica.put_job(job, record, answer.revision);
                            }
                            // Whoever serves the workers learns it before the user does.
                            self.announce_cancellations();
                            let body = job_status_without_counts(job, JobPhase::Cancelled);
                            self.outbox.reply(p.id, 200, None, &body);
                        }
                        UserRequest::Poll(_) => {}
                    }
                }
            }
            // Someone else was first with a key: look again before answering.
            Ok((409, body)) => {
                let failed = decode::<TxnResponse>(&body)
                    .map(|a| a.failed_keys)
                    .unwrap_or_default();
                for mut p in batch {
                    p.commit_attempts += 1;
                    let key = match &p.request {
                        UserRequest::Submit(s) => records::job_key(&s.id),
                        UserRequest::Poll(j) | UserRequest::Cancel(j) => records::job_key(j),
                    };
                    if p.commit_attempts > 5 {
                        self.reply_unavailable(p.id);
                    } else if failed.contains(&key) {
                        self.awaiting_barrier.push(p);
                    } else {
                        self.awaiting_commit.push(p);
                    }
                }
            }
            Ok((429, _)) => {
                self.store_limits.record_rate_rejected();
                self.next_commit_at = now + STORE_RETRY_BACKOFF_MS;
                self.awaiting_commit.extend(batch);
            }
            // Most likely the limits were lowered: the same again, in smaller parts and behind the
            // others, until its users' patience ends.
            Ok((400, _)) => {
                self.store_limits.record_size_rejected(size);
                self.next_commit_at = now + STORE_RETRY_BACKOFF_MS;
                self.awaiting_commit.extend(batch);
            }
            other => {
                log::debug!("store failed: {}", describe_result(&other));
                self.reply_unavailable_to_all(batch);
            }
        }
    }

    /// After a barrier: the copy is as new as the request.
    pub(super) fn reply_after_barrier(&mut self, p: PendingRequest) {
        // Read before a pause: other nodes may have told something newer since.
        if self.now.monotonic_ms >= p.expires_at {
            return self.reply_unavailable(p.id);
        }
        match &p.request {
            UserRequest::Poll(job) => {
                if self.replica.jobs.contains_key(job) {
                    let status = self.job_status(job);
                    self.outbox.reply(p.id, 200, None, &status);
                } else {
                    self.outbox.reply_error(p.id, 404, None, "no such job");
                }
            }
            UserRequest::Submit(spec) => {
                if self.replica.jobs.contains_key(&spec.id) {
                    let status = self.job_status(&spec.id);
                    return self.outbox.reply(p.id, 200, None, &status);
                }
                let verdict = match &self.catalog {
                    Some(c) => self.check_admission(spec, c),
                    None => return self.reply_unavailable(p.id),
                };
                match verdict {
                    Ok(()) => self.enqueue_submission(p),
                    Err(AdmissionError::Infeasible(why)) => {
                        self.outbox.reply_error(p.id, 422, None, &why)
                    }
                    Err(AdmissionError::TooLarge) => {
                        self.outbox.reply_error(p.id, 400, None, "too large")
                    }
                }
            }
            UserRequest::Cancel(job) => match self.replica.jobs.get(job) {
                None => self.outbox.reply_error(p.id, 404, None, "no such job"),
                Some(j) if j.record.end.is_some() => {
                    let status = self.job_status(job);
                    self.outbox.reply(p.id, 200, None, &status);
                }
                Some(_) => self.awaiting_commit.push(p),
            },
        }
    }

    pub(super) fn job_status(&self, job: &str) -> JobStatus {
        let Some(j) = self.replica.jobs.get(job) else {
            return job_status_without_counts(job, JobPhase::Queued);
        };
        let (done, running) = match &self.leader {
            Some(l) => l.task_counts(job),
            None => self.job_counts.get(job).copied().unwrap_or((0, 0)),
        };
        let (state, done, running) = match j.record.end {
            Some(JobEnd::Done) => (JobPhase::Done, j.record.tasks, 0),
            Some(JobEnd::Cancelled) => (JobPhase::Cancelled, done, 0),
            None if running > 0 => (JobPhase::Running, done, running),
            None => (JobPhase::Queued, done, 0),
        };
        JobStatus {
            id: job.into(),
            phase: state,
            tasks_done: Some(done),
            tasks_running: Some(running),
        }
    }
}

fn job_status_without_counts(job: &str, state: JobPhase) -> JobStatus {
    JobStatus {
        id: job.into(),
        phase: state,
        tasks_done: None,
        tasks_running: None,
    }
}

#[cfg(test)]
#[path = "user_requests_tests.rs"]
mod tests;
