//! What follows from the answer to a transaction.
use super::*;

impl Leader {
    /// The bookkeeping of the record that an item changes.
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

    /// Takes the answer of the state service to a transaction.
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
            Err(CallError::Unknown | CallError::TooLarge) => {
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

    /// It is not known whether these were carried out.
    fn unsure(&mut self, items: &[Item]) {
        self.unflush(items);
        for item in items {
            self.doubt(item);
        }
    }

    /// Has the stamp of a record read before it is written again.
    fn doubt(&mut self, item: &Item) {
        let Some(s) = self.stored_of(item) else {
            return;
        };
        if s.version.take().is_some() {
            self.doubts.push(item.clone());
        }
    }

    /// All of it was carried out, at this revision.
    fn written(&mut self, ctx: &mut Ctx, items: Vec<Item>, revision: u64) {
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
            self.gangs_changed |= in_gang;
            p.set_phase(if in_gang { Phase::Stored } else { Phase::Ready });
        }
    }

    /// Changes an attempt's placements, as far as they are still there.
    fn mark(&mut self, (machine, attempt): &On, change: impl Fn(&mut Placement)) {
        if let Some(mut m) = self.machines.edit(machine) {
            let of_attempt = m.placements.iter_mut().filter(|p| p.attempt == *attempt);
            of_attempt.for_each(change);
        }
    }
}
