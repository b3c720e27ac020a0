//! Loading what predecessors stored.
use super::*;

impl Leader {
    pub(super) fn load(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.ms;
        match &mut self.load {
            Some((prefix, after, asked, retry_at)) => {
                if *asked || now < *retry_at || !ctx.reads.take(now, 1.0) {
                    return;
                }
                *asked = true;
                let prefix = *prefix;
                let mut path = format!("/kv?prefix={prefix}&limit={}", k::LIST_PAGE);
                if let Some(a) = after {
                    path.push_str(&format!("&since={a}"));
                }
                ctx.read(Call::Load { prefix }, path);
            }
            None => {
                // The copy of the jobs was complete when the term began or is caught up by the
                // watch; what changed before we looked is in `changed` or taken here.
                let ids: Vec<String> = ctx.replica.jobs.keys().cloned().collect();
                ctx.replica.changed = ids;
                for seen in ctx
                    .replica
                    .jobs
                    .values()
                    .filter_map(|j| j.record.seen.as_ref())
                {
                    self.sched.learn(&seen.class, seen.ratio);
                }
                self.take_changes(ctx);
                self.first = self.shards.is_empty();
                let period = (ctx.set.report_s * 1.25 * 1e3) as u64;
                self.set_stage(Stage::Settling {
                    until: self.since.max(now.saturating_sub(period)) + period,
                });
            }
        }
    }

    pub(super) fn loaded(&mut self, ctx: &mut Ctx, result: CallResult) {
        let now = ctx.now.ms;
        let Some((prefix, _, asked, retry_at)) = &mut self.load else {
            return;
        };
        *asked = false;
        *retry_at = now + k::STATE_RETRY_MS;
        let Ok((200, body)) = result else {
            log::debug!("load failed: {}", describe(&result));
            return;
        };
        let prefix = *prefix;
        let next = if prefix == MACHINES {
            page::<ShardRecord>(&body).map(|(items, next)| {
                for e in items {
                    self.load_shard(now, e);
                }
                next
            })
        } else {
            page::<DoneRecord>(&body).map(|(items, next)| {
                for e in items {
                    self.load_done(ctx, e);
                }
                next
            })
        };
        let next = match next {
            Ok(next) => next,
            Err(e) => return log::error!("what is stored under {prefix} is not understood: {e}"),
        };
        self.load = match next {
            Some(last) => Some((prefix, Some(last), false, now)),
            None if prefix == MACHINES => Some((DONE, None, false, now)),
            None => None,
        };
    }

    pub(super) fn load_shard(&mut self, now: Ms, e: Entry<ShardRecord>) {
        let number = e.key.strip_prefix(MACHINES).and_then(|n| n.parse().ok());
        let Some(number) = number else {
            return log::error!("unexpected record at {}", e.key);
        };
        let mut shard = Shard::new(Stored::at(e.version));
        shard.bytes += json_len(&e.value);
        shard.jobs = e.value.jobs.iter().map(|j| j.0.clone()).collect();
        let record = e.value;
        let mut doubles = vec![];
        for MachineRow(id, kind, zone, spot, tasks) in record.machines {
            self.machines
                .add(&id, || Machine::new(&id, &kind, &zone, spot, now));
            let Some(mut m) = self.machines.edit(&id) else {
                continue;
            };
            m.loaded = true;
            let known = m.shard.filter(|n| *n != number);
            for TaskRow(job, index, attempt) in tasks {
                let Some(JobRow(job, team, cpus, gpus, memory)) = record.jobs.get(job) else {
                    log::error!("a record of {id} is not understood");
                    continue;
                };
                // Two records may tell of it, see `settle_double`.
                let same =
                    |p: &Placement| p.attempt == attempt && p.index == index && p.job == *job;
                if m.placements.iter().any(same) {
                    continue;
                }
                m.placements.push(Placement {
                    cpus: *cpus,
                    gpus: *gpus,
                    memory: *memory,
                    team: record.teams.get(*team).cloned().unwrap_or_default(),
                    inherited: true,
                    ..Placement::new(job, index, attempt, Phase::Sent)
                });
            }
            match known {
                Some(first) => {
                    drop(m);
                    doubles.push((id, first));
                }
                None => {
                    m.shard = Some(number);
                    shard.machines.insert(id);
                }
            }
        }
        shard.stored.stale = true;
        self.shards.insert(number, shard);
        for (id, first) in doubles {
            self.settle_double(now, &id, first, number);
        }
    }

    pub(super) fn load_done(&mut self, ctx: &mut Ctx, e: Entry<DoneRecord>) {
        let Some((job, chunk)) = e.key.strip_prefix(DONE).and_then(parse_task) else {
            return;
        };
        let known = ctx.replica.jobs.get(job);
        match known {
            Some(j) if j.record.end.is_none() => {
                let Some(spec) = &j.record.spec else { return };
                let at = j.record.at;
                let work = self
                    .works
                    .entry(job.into())
                    .or_insert_with(|| Work::new(spec.clone(), at));
                if let Err(why) = work.done.merge(chunk * k::DONE_CHUNK, &e.value.bits) {
                    log::error!("results of {} not understood: {why}", e.key);
                }
                let done = &work.done;
                work.pending.retain(|n| !done.get(*n));
                if work.pending.is_empty() {
                    self.due.insert(job.into());
                }
                work.done_count = work.spec.tasks - work.pending.len() as u32;
                if work.done_count > 0 {
                    work.failures.task_done();
                }
                let stored = Stored::at(e.version);
                work.chunks.insert(chunk, Chunk::new(stored));
                self.sched.inherit(job, e.value.runs, e.value.run_s);
            }
            Some(_) => self.drops.push((e.key, Stored::at(e.version))),
            None => self.early.push(e),
        }
    }
}
