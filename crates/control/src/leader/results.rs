//! Puts the ends and the results of jobs that are due into a transaction.
use super::draft::Draft;
use super::*;

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

impl Leader {
    /// Jobs of which all tasks are done: users wait for it.
    pub(super) fn flush_ends(&mut self, ctx: &Ctx, draft: &mut Draft) {
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
    pub(super) fn flush_results(&mut self, ctx: &Ctx, draft: &mut Draft, most: usize) {
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
}
