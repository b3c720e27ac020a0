//! Writing ahead: what is due, one transaction at a time.
use super::*;

impl Leader {
    /// Writes what is due, one transaction at a time. Every write names the stamp it replaces,
    /// so that a transaction applied late changes nothing.
    pub fn flush(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.ms;
        if self.flushing || self.rereading || now < self.flush_at || self.stage == Stage::Loading {
            return;
        }
        if self.reread(ctx) {
            return;
        }
        let level = ctx.writes.level(now);
        let most = (level.max(0.0) as usize).min(ctx.set.txn_ops);
        if most == 0 {
            return;
        }
        let mut txn: Txn<Value> = Txn {
            conditions: vec![Condition {
                key: LEADER.into(),
                version: self.term,
            }],
            writes: vec![],
        };
        let mut items = vec![];
        let mut bytes = k::TXN_MARGIN;
        let mut add = |key: String, version: u64, value: Option<Value>, item: Item| -> bool {
            let size = value.as_ref().map_or(0, json_len) + 2 * key.len() + 120;
            if items.len() >= most || bytes + size > k::TXN_BYTES {
                return false;
            }
            bytes += size;
            txn.conditions.push(Condition {
                key: key.clone(),
                version,
            });
            txn.writes.push(match value {
                Some(value) => Write::Put {
                    key,
                    value,
                    lease: None,
                },
                None => Write::Delete { key },
            });
            items.push(item);
            true
        };
        // Ends and results first: users wait for them. Then placements, then tidying.
        for (id, w) in &mut self.works {
            let exits = |chunk: Option<u32>| -> Vec<u64> {
                self.machines
                    .values()
                    .flat_map(|m| &m.placements)
                    .filter(|p| {
                        &p.job == id
                            && chunk.is_none_or(|c| p.index / k::DONE_CHUNK == c)
                            && matches!(
                                p.phase,
                                Phase::Exited {
                                    cause: ExitCause::Done,
                                    ..
                                }
                            )
                    })
                    .map(|p| p.attempt)
                    .collect()
            };
            if w.done_count == w.spec.tasks {
                if w.ending {
                    continue;
                }
                let Some(j) = ctx.replica.jobs.get(id) else {
                    continue;
                };
                let record = JobRecord {
                    spec: None,
                    end: Some(End::Done),
                    seen: self.sched.seen(&w.spec),
                    ..j.record.clone()
                };
                let item = Item::End {
                    job: id.clone(),
                    exits: exits(None),
                };
                if add(
                    job_key(id),
                    j.version,
                    Some(Value::Job(Box::new(record))),
                    item,
                ) {
                    w.ending = true;
                }
                continue;
            }
            for (n, c) in &mut w.chunks {
                let (true, Some(version), false) =
                    (c.stored.dirty, c.stored.version, c.stored.writing)
                else {
                    continue;
                };
                let bits = w.done.encode(n * k::DONE_CHUNK, k::DONE_CHUNK);
                let item = Item::Done {
                    job: id.clone(),
                    chunk: *n,
                    exits: exits(Some(*n)),
                };
                let (runs, run_s) = self.sched.observed(id);
                let value = Value::Done(DoneRecord { bits, runs, run_s });
                if add(done_key(id, *n), version, Some(value), item) {
                    c.stored.dirty = false;
                    c.stored.writing = true;
                }
            }
        }
        // Tidying must not eat the budget that placements may need in the next second.
        let tidy = level > ctx.set.txn_ops as f64 * 0.5;
        for urgent in [true, false] {
            for (id, m) in &mut self.machines {
                let due = if urgent {
                    m.stored.dirty
                } else {
                    m.stored.stale && tidy
                };
                let (true, Some(version), false) = (due, m.stored.version, m.stored.writing) else {
                    continue;
                };
                let (value, item) = if m.life == Life::Gone {
                    (None, Item::MachineGone { id: id.clone() })
                } else {
                    let attempts = m.placements.iter().map(|p| p.attempt).collect();
                    let item = Item::Machine {
                        id: id.clone(),
                        attempts,
                    };
                    (Some(Value::Machine(m.record())), item)
                };
                if add(machine_key(id), version, value, item) {
                    m.stored.dirty = false;
                    m.stored.stale = false;
                    m.stored.writing = true;
                }
            }
        }
        for (key, stored) in &mut self.drops {
            if let (Some(version), false, true) = (stored.version, stored.writing, tidy) {
                let item = Item::DropDone { key: key.clone() };
                if add(key.clone(), version, None, item) {
                    stored.writing = true;
                }
            }
        }
        self.drops.retain(|(_, s)| s.version != Some(0));
        if items.is_empty() {
            return;
        }
        if !ctx.reads.take(now, 1.0) {
            return self.unflush(&items);
        }
        ctx.writes.force(now, items.len() as f64);
        self.flushing = true;
        let wait = k::STATE_TIMEOUT_MS;
        let call = Call::Flush { items };
        ctx.call(
            call,
            Target::State,
            "POST",
            "/multi".into(),
            encode(&txn),
            wait,
        );
    }

    pub(super) fn stored_of(&mut self, item: &Item) -> Option<&mut Stored> {
        match item {
            Item::Machine { id, .. } | Item::MachineGone { id } => {
                self.machines.get_mut(id).map(|m| &mut m.stored)
            }
            Item::Done { job, chunk, .. } => {
                if let Some(w) = self.works.get_mut(job) {
                    return w.chunks.get_mut(chunk).map(|c| &mut c.stored);
                }
                let key = done_key(job, *chunk);
                self.drops.iter_mut().find(|d| d.0 == key).map(|d| &mut d.1)
            }
            Item::DropDone { key } => {
                let key = key.clone();
                self.drops.iter_mut().find(|d| d.0 == key).map(|d| &mut d.1)
            }
            Item::End { .. } => None,
        }
    }

    /// Nothing of it was carried out: all is due again.
    pub(super) fn unflush(&mut self, items: &[Item]) {
        for item in items {
            if let Item::End { job, .. } = item {
                if let Some(w) = self.works.get_mut(job) {
                    w.ending = false;
                }
            } else if let Some(s) = self.stored_of(item) {
                s.writing = false;
                s.dirty = true;
            }
        }
    }

    pub(super) fn flushed(&mut self, ctx: &mut Ctx, items: Vec<Item>, result: CallResult) {
        let now = ctx.now.ms;
        self.flushing = false;
        match result {
            Ok((200, body)) => match decode::<TxnAnswer>(&body) {
                Ok(a) => self.written(ctx, items, a.revision),
                Err(e) => {
                    log::warn!("transaction answer not understood: {e}");
                    self.unsure(&items);
                }
            },
            Ok((409, body)) => {
                let failed = decode::<TxnAnswer>(&body)
                    .map(|a| a.failed)
                    .unwrap_or_default();
                if failed.iter().any(|f| f == LEADER) {
                    log::warn!("term {}: the leader key is no longer ours", self.term);
                    self.deposed = true;
                    return;
                }
                self.unflush(&items);
                for item in &items {
                    let key = item_key(item);
                    if failed.contains(&key) {
                        if let Some(s) = self.stored_of(item) {
                            s.version = None;
                        }
                    }
                }
                self.flush_at = now + k::STATE_RETRY_MS;
            }
            Ok((429 | 503, _)) | Err(CallError::NotSent) => {
                self.unflush(&items);
                self.flush_at = now + k::STATE_RETRY_MS;
            }
            Ok((status, body)) => {
                log::error!(
                    "transaction refused: {status} {}",
                    String::from_utf8_lossy(&body)
                );
                self.unflush(&items);
                self.flush_at = now + k::STATE_RETRY_MAX_MS;
            }
            // It may have been carried out, or be applied yet: read the stamps before writing.
            Err(CallError::Unknown) => {
                self.unsure(&items);
                self.flush_at = now + k::STATE_RETRY_MS;
            }
        }
    }

    pub(super) fn unsure(&mut self, items: &[Item]) {
        self.unflush(items);
        for item in items {
            if let Some(s) = self.stored_of(item) {
                s.version = None;
            }
        }
    }

    pub(super) fn written(&mut self, ctx: &mut Ctx, items: Vec<Item>, revision: u64) {
        let mut settled: Vec<u64> = vec![];
        for item in items {
            if let Some(s) = self.stored_of(&item) {
                s.writing = false;
                s.version = Some(revision);
            }
            match item {
                Item::Machine { id, attempts } => {
                    if let Some(m) = self.machines.get_mut(&id) {
                        for p in &mut m.placements {
                            if p.phase == Phase::New && attempts.contains(&p.attempt) {
                                p.set_phase(Phase::Ready);
                            }
                        }
                    }
                }
                Item::MachineGone { id } => {
                    self.machines.remove(&id);
                }
                Item::Done { exits, .. } => settled.extend(exits),
                Item::DropDone { key } => self.drops.retain(|d| d.0 != key),
                Item::End { job, exits } => {
                    settled.extend(exits);
                    if let Some(j) = ctx.replica.jobs.get(&job) {
                        let record = JobRecord {
                            spec: None,
                            end: Some(End::Done),
                            seen: None,
                            ..j.record.clone()
                        };
                        ctx.replica.put_job(&job, record, revision);
                    }
                    if let Some(s) = self.works.get(&job).and_then(|w| self.sched.seen(&w.spec)) {
                        self.sched.learn(&s.class, s.ratio);
                    }
                    log::info!("job {job} done");
                    self.ended(&job, End::Done);
                }
            }
        }
        for p in self.machines.values_mut().flat_map(|m| &mut m.placements) {
            if settled.contains(&p.attempt) {
                if let Phase::Exited { settled, .. } = &mut p.phase {
                    *settled = true;
                }
            }
        }
    }

    /// Reads the stamp of one key whose last write is in doubt.
    pub(super) fn reread(&mut self, ctx: &mut Ctx) -> bool {
        let now = ctx.now.ms;
        let machine = self
            .machines
            .values()
            .find(|m| m.stored.version.is_none())
            .map(|m| Item::Machine {
                id: m.id.clone(),
                attempts: vec![],
            });
        let done = || {
            self.works.iter().find_map(|(id, w)| {
                let (chunk, _) = w.chunks.iter().find(|(_, c)| c.stored.version.is_none())?;
                Some(Item::Done {
                    job: id.clone(),
                    chunk: *chunk,
                    exits: vec![],
                })
            })
        };
        let dropped = || {
            let d = self.drops.iter().find(|d| d.1.version.is_none())?;
            Some(Item::DropDone { key: d.0.clone() })
        };
        let Some(item) = machine.or_else(done).or_else(dropped) else {
            return false;
        };
        if ctx.reads.take(now, 1.0) {
            self.rereading = true;
            let path = format!("/kv/{}", item_key(&item));
            let wait = k::STATE_TIMEOUT_MS;
            ctx.call(
                Call::Reread { item },
                Target::State,
                "GET",
                path,
                vec![],
                wait,
            );
        }
        true
    }

    pub(super) fn reread_done(&mut self, ctx: &Ctx, item: Item, result: CallResult) {
        self.rereading = false;
        let version = match result {
            Ok((200, body)) => decode::<Entry<Value>>(&body).map(|e| e.version).ok(),
            Ok((404, _)) => Some(0),
            _ => None,
        };
        match version {
            Some(v) => {
                if let Some(s) = self.stored_of(&item) {
                    s.version = Some(v);
                    s.writing = false;
                    s.dirty = true;
                }
            }
            None => self.flush_at = ctx.now.ms + k::STATE_RETRY_MS,
        }
    }
}
