//! Jobs that come and end, and what is told of them.
use super::*;

impl Leader {
    /// New jobs, and jobs that ended.
    pub(super) fn take_changes(&mut self, ctx: &mut Ctx) {
        let changed = std::mem::take(&mut ctx.replica.changed);
        if !changed.is_empty() {
            for e in std::mem::take(&mut self.early) {
                self.load_done(ctx, e);
            }
        }
        for id in changed {
            let Some(j) = ctx.replica.jobs.get(&id) else {
                continue;
            };
            match (j.record.end, &j.record.spec) {
                (None, Some(spec)) => {
                    log::debug!(
                        "job {id}: {} x {:?} of {}",
                        spec.tasks,
                        spec.kind,
                        spec.class
                    );
                    let at = j.record.at;
                    let spec = spec.clone();
                    if spec.deadline_s.is_some() && !self.works.contains_key(&id) {
                        let age = ctx.now.wall_ms.saturating_sub(at);
                        self.dated_arrival(ctx.now.ms, age, &spec);
                    }
                    let new = !self.works.contains_key(&id) && self.stage == Stage::Active;
                    if new && spec.kind == JobKind::Service && spec.priority >= Priority::High {
                        let now = ctx.now.ms;
                        for _ in 0..spec.tasks.min(k::HIRE_MAX) {
                            self.urgent_arrival(now);
                        }
                    }
                    if new && spec.kind == JobKind::Gang {
                        self.gang_arrival(ctx.now.ms, &spec);
                    }
                    let work = self
                        .works
                        .entry(id.clone())
                        .or_insert_with(|| Work::new(spec, at));
                    for index in self.machines.present_of(&id) {
                        work.take(index);
                    }
                    self.wake = true;
                }
                (None, None) => log::error!("job {id} has neither description nor end"),
                (Some(end), _) => {
                    let urgent = self.works.get(&id).is_some_and(|w| {
                        w.spec.kind == JobKind::Service && w.spec.priority >= Priority::High
                    });
                    if urgent {
                        self.urgent_departure(ctx.now.ms);
                    }
                    self.ended(&id, end);
                }
            }
        }
    }

    pub(super) fn ended(&mut self, id: &str, end: End) {
        if let Some(work) = self.works.remove(id) {
            for (chunk, c) in work.chunks {
                self.drops.push((done_key(id, chunk), c.stored));
            }
        }
        self.due.remove(id);
        self.sched.forget(id);
        for machine in self.machines.of_job(id) {
            let Some(mut m) = self.machines.edit(&machine) else {
                continue;
            };
            m.held.retain(|(j, _)| j != id);
            for p in m.placements.iter_mut().filter(|p| p.job == id) {
                if let Phase::Exited { settled, .. } = &mut p.phase {
                    *settled = true;
                } else if end == End::Cancelled {
                    p.stop = Some(0.0);
                }
            }
        }
        self.wake = true;
    }

    pub fn counts(&self, job: &str) -> (u32, u32) {
        let done = self.works.get(job).map_or(0, |w| w.done_count);
        (done, self.machines.running_of(job))
    }

    fn counts_of(&self, job: &str) -> Counts {
        let (done, running) = self.counts(job);
        Counts {
            job: frame::name(job),
            done: done.into(),
            running: running.into(),
        }
    }

    /// Counts of jobs whose running tasks changed since the last time.
    pub fn changed_counts(&mut self) -> Vec<Counts> {
        let changed = self.machines.take_counted();
        changed.iter().map(|job| self.counts_of(job)).collect()
    }

    /// Counts of all jobs that are not finished, for a node that knows none.
    pub fn all_counts(&self) -> Vec<Counts> {
        self.works.keys().map(|job| self.counts_of(job)).collect()
    }
}
