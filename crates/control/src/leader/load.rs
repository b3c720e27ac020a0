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
                let wait = k::STATE_TIMEOUT_MS;
                ctx.call(
                    Call::Load { prefix },
                    Target::State,
                    "GET",
                    path,
                    vec![],
                    wait,
                );
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
            page::<MachineRecord>(&body).map(|(items, next)| {
                for e in items {
                    self.load_machine(now, e);
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

    pub(super) fn load_machine(&mut self, now: Ms, e: Entry<MachineRecord>) {
        let Some(id) = e.key.strip_prefix(MACHINES) else {
            return;
        };
        let mut m = Machine::new(id, &e.value.machine_type, &e.value.zone, e.value.spot, now);
        m.addr = e.value.addr;
        m.stored = Stored::at(e.version);
        for p in e.value.tasks {
            let Some((job, index)) = parse_task(&p.task) else {
                continue;
            };
            m.placements.push(Placement {
                cpus: p.cpus,
                gpus: p.gpus,
                memory: p.mem,
                team: p.team,
                inherited: true,
                ..Placement::new(job, index, p.attempt, Phase::Sent)
            });
        }
        self.machines.insert(id.into(), m);
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
                work.done_count = work.spec.tasks - work.pending.len() as u32;
                let stored = Stored::at(e.version);
                work.chunks.insert(chunk, Chunk { stored });
                self.sched.inherit(job, e.value.runs, e.value.run_s);
            }
            Some(_) => self.drops.push((e.key, Stored::at(e.version))),
            None => self.early.push(e),
        }
    }
}
