//! Writing ahead: what is due, one transaction at a time.
use super::*;

/// A transaction being put together.
struct Draft {
    txn: Txn<Value>,
    items: Vec<Item>,
    bytes: usize,
    size: TransactionSize,
    most: usize,
    /// Something found no room in it.
    full: bool,
}

impl Draft {
    fn new(term: u64, most: usize) -> Draft {
        let ours = Condition {
            key: LEADER.into(),
            version: term,
        };
        Draft {
            txn: Txn {
                conditions: vec![ours],
                writes: vec![],
            },
            items: vec![],
            bytes: k::TXN_MARGIN,
            size: TransactionSize::default(),
            most,
            full: false,
        }
    }

    /// False if it does not fit any more.
    fn add(&mut self, key: String, version: u64, value: Option<Value>, item: Item) -> bool {
        let value_bytes = value.as_ref().map_or(0, json_len);
        let size = value_bytes + 2 * key.len() + 120;
        if self.items.len() >= self.most || self.bytes + size > k::TXN_BYTES {
            self.full = true;
            return false;
        }
        self.bytes += size;
        self.size.add(value_bytes);
        self.txn.conditions.push(Condition {
            key: key.clone(),
            version,
        });
        self.txn.writes.push(match value {
            Some(value) => Write::Put {
                key,
                value,
                lease: None,
            },
            None => Write::Delete { key },
        });
        self.items.push(item);
        true
    }
}

/// What was done of a job, or of one chunk of it, and is still shown by a worker.
fn done_exits(machines: &Machines, job: &str, chunk: Option<u32>) -> Vec<On> {
    let mut out = vec![];
    for id in machines.of_job(job) {
        for p in machines.get(&id).iter().flat_map(|m| &m.placements) {
            let done = Phase::Exited {
                cause: ExitCause::Done,
                settled: false,
            };
            let here = chunk.is_none_or(|c| p.index / k::DONE_CHUNK == c);
            if p.job == job && p.phase == done && here {
                out.push((id.clone(), p.attempt));
            }
        }
    }
    out
}

/// What a group's record holds now, and which attempts it holds for the first time.
pub(super) fn shard_record(
    machines: &Machines,
    group: &BTreeSet<String>,
) -> (ShardRecord, Vec<On>) {
    let mut out = ShardRecord::default();
    let (mut new, mut jobs) = (vec![], HashMap::new());
    for m in group.iter().filter_map(|id| machines.get(id)) {
        let mut rows = vec![];
        for p in m.placements.iter().filter(|p| p.present()) {
            let job = *jobs.entry(p.job.as_str()).or_insert_with(|| {
                let team = out.teams.iter().position(|t| *t == p.team);
                let team = team.unwrap_or_else(|| {
                    out.teams.push(p.team.clone());
                    out.teams.len() - 1
                });
                out.jobs
                    .push(JobRow(p.job.clone(), team, p.cpus, p.gpus, p.memory));
                out.jobs.len() - 1
            });
            rows.push(TaskRow(job, p.index, p.attempt));
            if p.phase == Phase::New {
                new.push((m.id.clone(), p.attempt));
            }
        }
        if !rows.is_empty() {
            out.machines.push(MachineRow(
                m.id.clone(),
                m.kind.clone(),
                m.zone.clone(),
                m.spot,
                rows,
            ));
        }
    }
    (out, new)
}

/// Records to be written, the longest waiting first: by number, the last would wait for ever while
/// the first keep changing.
fn in_turn(shards: &BTreeMap<u32, Shard>, due: fn(&Shard) -> bool) -> Vec<u32> {
    // What a successor took over must be stored there before it goes from here.
    let waits = |s: &Shard| s.successors.iter().any(|n| shards.contains_key(n));
    let ready = |s: &Shard| due(s) && s.stored.version.is_some() && !s.stored.writing && !waits(s);
    let ready = shards.iter().filter(|(_, s)| ready(s));
    let mut order: Vec<(Ms, u32)> = ready.map(|(n, s)| (s.since, *n)).collect();
    order.sort_unstable();
    order.into_iter().map(|(_, n)| n).collect()
}

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
        if self.due.is_empty() && self.drops.is_empty() && !self.shards.values().any(Shard::due) {
            return;
        }
        let level = ctx.writes.level(now);
        let most = (level.max(0.0) as usize).min(ctx.limits.transaction_writes());
        if most == 0 {
            return;
        }
        self.split_large();
        let mut draft = Draft::new(self.term, most);
        // Placements of urgent work are counted in seconds.
        self.flush_shards(&mut draft, |s| s.stored.dirty && s.urgent);
        self.flush_ends(ctx, &mut draft);
        // The rest waits for company, and leaves urgent placements their budget.
        let ops = (ctx.limits.transaction_writes() as f64).min(ctx.set.state_write_rps);
        let reserve = ops * k::FLUSH_RESERVE;
        if now >= self.batch_at && level > reserve {
            // Tasks wait for placements, nobody for results that can be told again: these have a
            // part of each transaction, so that they are stored all the same.
            self.flush_results(ctx, &mut draft, most.div_ceil(k::RESULTS_SHARE));
            self.flush_shards(&mut draft, |s| s.stored.dirty);
            // A full transaction has no more company to wait for.
            if !draft.items.is_empty() && !draft.full {
                self.batch_at = now + k::FLUSH_GAP_MS;
            }
        }
        // Tidying must not eat the budget that placements may need in the next second.
        if now >= self.tidy_at && level > ops * 0.5 {
            self.tidy_at = now + k::TIDY_GAP_MS;
            self.flush_shards(&mut draft, |s| s.stored.stale);
            for (key, stored) in &mut self.drops {
                if let (Some(version), false) = (stored.version, stored.writing) {
                    let item = Item::DropDone { key: key.clone() };
                    if version != 0 && draft.add(key.clone(), version, None, item) {
                        stored.writing = true;
                    }
                }
            }
            self.drops.retain(|(_, s)| s.version != Some(0));
        }
        let Draft {
            txn, items, size, ..
        } = draft;
        if items.is_empty() {
            return;
        }
        if !ctx.reads.take(now, 1.0) {
            return self.unflush(&items);
        }
        ctx.writes.force(now, items.len() as f64);
        self.flushing = true;
        let body = encode(&txn);
        let call = Call::Flush { items, size };
        let wait = k::STATE_TIMEOUT_MS;
        ctx.call(call, Target::State, "POST", "/multi".into(), body, wait);
    }

    /// Jobs of which all tasks are done: users wait for it.
    fn flush_ends(&mut self, ctx: &Ctx, draft: &mut Draft) {
        for id in &self.due {
            let (Some(w), Some(j)) = (self.works.get_mut(id), ctx.replica.jobs.get(id)) else {
                continue;
            };
            if w.done_count != w.spec.tasks || w.ending {
                continue;
            }
            let record = JobRecord {
                spec: None,
                end: Some(End::Done),
                seen: self.sched.seen(&w.spec),
                ..j.record.clone()
            };
            let item = Item::End {
                job: id.clone(),
                exits: done_exits(&self.machines, id, None),
            };
            let value = Some(Value::Job(Box::new(record)));
            if draft.add(job_key(id), j.version, value, item) {
                w.ending = true;
            }
        }
    }

    /// Results of jobs that go on. They wait a little, so that one write holds several; the
    /// worker tells them until they are stored.
    fn flush_results(&mut self, ctx: &Ctx, draft: &mut Draft, most: usize) {
        let now = ctx.now.ms;
        // The more jobs have results, the longer each waits: together they take a part of what
        // may be written.
        let rate = (ctx.set.state_write_rps * k::LEADER_WRITES * k::RESULTS_PART).max(0.1);
        let wait = k::RESULTS_MS.max((self.due.len() as f64 / rate * 1e3) as u64);
        let mut left = most;
        let mut settled = vec![];
        // In turn, so that none is passed over for long.
        let next = std::mem::take(&mut self.results_next);
        for id in self.due.range(next.clone()..).chain(self.due.range(..next)) {
            if left == 0 {
                self.results_next = id.clone();
                break;
            }
            let Some(w) = self.works.get_mut(id) else {
                settled.push(id.clone());
                continue;
            };
            if w.done_count == w.spec.tasks {
                continue;
            }
            for (n, c) in &mut w.chunks {
                let (true, Some(version), false) =
                    (c.stored.dirty, c.stored.version, c.stored.writing)
                else {
                    continue;
                };
                if now < c.since + wait || left == 0 {
                    continue;
                }
                let bits = w.done.encode(n * k::DONE_CHUNK, k::DONE_CHUNK);
                let item = Item::Done {
                    job: id.clone(),
                    chunk: *n,
                    exits: done_exits(&self.machines, id, Some(*n)),
                };
                let (runs, run_s) = self.sched.observed(id);
                let value = Value::Done(DoneRecord { bits, runs, run_s });
                if draft.add(done_key(id, *n), version, Some(value), item) {
                    left -= 1;
                    c.stored.dirty = false;
                    c.stored.writing = true;
                }
            }
            if !w.chunks.values().any(|c| c.stored.dirty) {
                settled.push(id.clone());
            }
        }
        for id in settled {
            self.due.remove(&id);
        }
    }

    fn flush_shards(&mut self, draft: &mut Draft, due: fn(&Shard) -> bool) {
        let mut empty = vec![];
        for number in in_turn(&self.shards, due) {
            // What is already full needs no look at the rest.
            if draft.items.len() >= draft.most {
                draft.full = true;
                break;
            }
            let Some(shard) = self.shards.get_mut(&number) else {
                continue;
            };
            let Some(version) = shard.stored.version else {
                continue;
            };
            let (record, new) = shard_record(&self.machines, &shard.machines);
            let size = json_len(&record);
            // Its bytes were counted too low; the next flush divides it.
            if size > self.value_bytes {
                shard.bytes = size + k::SHARD_HEAD_BYTES;
                continue;
            }
            let n = number;
            let named: BTreeSet<String> = record.machines.iter().map(|m| m.0.clone()).collect();
            let jobs = record.jobs.iter().map(|j| j.0.clone()).collect();
            let (value, item) = if !named.is_empty() {
                (Some(Value::Shard(record)), Item::Shard { shard: n, new })
            } else if version != 0 {
                (None, Item::ShardGone { shard: n })
            } else {
                empty.push(n);
                continue;
            };
            if !draft.add(shard_key(n), version, value, item) {
                continue;
            }
            shard.bytes = size + k::SHARD_HEAD_BYTES;
            shard.jobs = jobs;
            shard.stored.dirty = false;
            shard.stored.stale = false;
            shard.stored.writing = true;
            shard.urgent = false;
            // Machines without tasks need no record; they may go to another.
            for id in std::mem::replace(&mut shard.machines, named) {
                if !shard.machines.contains(&id) {
                    if let Some(mut m) = self.machines.edit(&id) {
                        m.shard = None;
                    }
                }
            }
        }
        for n in empty {
            if let Some(s) = self.shards.remove(&n) {
                for id in s.machines {
                    if let Some(mut m) = self.machines.edit(&id) {
                        m.shard = None;
                    }
                }
            }
        }
    }

    pub(super) fn stored_of(&mut self, item: &Item) -> Option<&mut Stored> {
        match item {
            Item::Shard { shard, .. } | Item::ShardGone { shard } => {
                self.shards.get_mut(shard).map(|s| &mut s.stored)
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
            if let Item::End { job, .. } | Item::Done { job, .. } = item {
                self.due.insert(job.clone());
            }
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

    pub(super) fn flushed(
        &mut self,
        ctx: &mut Ctx,
        items: Vec<Item>,
        size: TransactionSize,
        result: CallResult,
    ) {
        let now = ctx.now.ms;
        self.flushing = false;
        match &result {
            Ok((200, _)) => ctx.limits.accepted(),
            Ok((429, _)) => ctx.limits.rate_refused(),
            _ => {}
        }
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
                        self.doubt(item);
                    }
                }
                self.flush_at = now + k::STATE_RETRY_MS;
            }
            Ok((429 | 503, _)) | Err(CallError::NotSent) => {
                self.unflush(&items);
                self.flush_at = now + k::STATE_RETRY_MS;
            }
            // The limits were lowered: the same again, in smaller parts.
            Ok((400, _)) if ctx.limits.size_refused(size) => {
                self.unflush(&items);
                self.flush_at = now + k::STATE_RETRY_MS;
            }
            Ok((status, body)) => {
                log::error!(
                    "transaction refused: {status} {}",
                    String::from_utf8_lossy(&body)
                );
                self.unflush(&items);
                self.put_last(now, &items);
                self.flush_at = now + k::STATE_RETRY_MAX_MS;
            }
            // It may have been carried out, or be applied yet: read the stamps before writing.
            Err(CallError::Unknown) => {
                self.unsure(&items);
                self.flush_at = now + k::STATE_RETRY_MS;
            }
        }
    }

    /// What can't be written must not keep other records waiting.
    fn put_last(&mut self, now: Ms, items: &[Item]) {
        for item in items {
            if let Item::Shard { shard, .. } = item {
                if let Some(s) = self.shards.get_mut(shard) {
                    s.since = now;
                    s.urgent = false;
                }
            }
        }
    }

    pub(super) fn unsure(&mut self, items: &[Item]) {
        self.unflush(items);
        for item in items {
            self.doubt(item);
        }
    }

    fn doubt(&mut self, item: &Item) {
        let Some(s) = self.stored_of(item) else {
            return;
        };
        if s.version.take().is_some() {
            self.doubts.push(item.clone());
        }
    }

    pub(super) fn written(&mut self, ctx: &mut Ctx, items: Vec<Item>, revision: u64) {
        let mut settled: Vec<On> = vec![];
        for item in items {
            let gone = matches!(item, Item::ShardGone { .. });
            if let Some(s) = self.stored_of(&item) {
                s.writing = false;
                s.version = Some(if gone { 0 } else { revision });
            }
            match item {
                Item::Shard { shard, new } => {
                    self.succeeded(shard);
                    for on in new {
                        self.placement_stored(&on);
                    }
                }
                // Something may have gone into it since.
                Item::ShardGone { shard } => {
                    if self
                        .shards
                        .get(&shard)
                        .is_some_and(|s| s.machines.is_empty())
                    {
                        self.shards.remove(&shard);
                    }
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
        for on in settled {
            self.mark(&on, |p| {
                if let Phase::Exited { settled, .. } = &mut p.phase {
                    *settled = true;
                }
            });
        }
    }

    /// A single task may be started now; one of a gang waits for the gang's other placements.
    fn placement_stored(&mut self, on: &On) {
        let works = &self.works;
        let Some(mut m) = self.machines.edit(&on.0) else {
            return;
        };
        for p in m.placements.iter_mut() {
            if p.attempt != on.1 || p.phase != Phase::New {
                continue;
            }
            let in_gang = works.get(&p.job).is_some_and(|w| w.gang.is_some());
            p.set_phase(if in_gang { Phase::Stored } else { Phase::Ready });
        }
        drop(m);
        self.gangs_changed = true;
    }

    /// Changes an attempt's placements, as far as they are still there.
    fn mark(&mut self, (machine, attempt): &On, change: impl Fn(&mut Placement)) {
        if let Some(mut m) = self.machines.edit(machine) {
            let of_attempt = m.placements.iter_mut().filter(|p| p.attempt == *attempt);
            of_attempt.for_each(change);
        }
    }

    /// Reads the stamp of one key whose last write is in doubt.
    pub(super) fn reread(&mut self, ctx: &mut Ctx) -> bool {
        let now = ctx.now.ms;
        let Some(item) = self.doubts.last().cloned() else {
            return false;
        };
        if ctx.reads.take(now, 1.0) {
            self.rereading = true;
            let path = format!("/kv/{}", item_key(&item));
            ctx.read(Call::Reread { item }, path);
        }
        true
    }

    pub(super) fn reread_done(&mut self, ctx: &Ctx, item: Item, result: CallResult) {
        self.rereading = false;
        let version = match result {
            Ok((200, body)) => decode::<Entry<serde::de::IgnoredAny>>(&body)
                .map(|e| e.version)
                .ok(),
            Ok((404, _)) => Some(0),
            _ => None,
        };
        match version {
            Some(v) => {
                self.doubts.pop();
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

#[cfg(test)]
#[path = "store_tests.rs"]
mod tests;
