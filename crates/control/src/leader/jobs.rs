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
                    let new = !self.works.contains_key(&id) && self.stage == Stage::Active;
                    if new && spec.kind == JobKind::Service && spec.priority >= Priority::High {
                        let now = ctx.now.ms;
                        for _ in 0..spec.tasks.min(k::HIRE_MAX) {
                            self.urgent_arrival(now);
                        }
                    }
                    let work = self
                        .works
                        .entry(id.clone())
                        .or_insert_with(|| Work::new(spec.clone(), at));
                    for p in self.machines.values().flat_map(|m| &m.placements) {
                        if p.job == id && p.present() {
                            work.take(p.index);
                        }
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
        self.sched.forget(id);
        for m in self.machines.values_mut() {
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
        let running = self
            .machines
            .values()
            .flat_map(|m| &m.placements)
            .filter(|p| p.job == job && matches!(p.phase, Phase::Running | Phase::Saving))
            .count() as u32;
        (self.works.get(job).map_or(0, |w| w.done_count), running)
    }

    pub fn all_counts(&self) -> Vec<Counts> {
        let mut running: HashMap<&str, u32> = HashMap::new();
        for p in self.machines.values().flat_map(|m| &m.placements) {
            if matches!(p.phase, Phase::Running | Phase::Saving) {
                *running.entry(&p.job).or_default() += 1;
            }
        }
        let all = self.works.iter().map(|(id, w)| Counts {
            job: frame::name(id),
            done: w.done_count.into(),
            running: running.get(id.as_str()).copied().unwrap_or(0).into(),
        });
        all.take(frame::MAX_FRAME / size_of::<Counts>()).collect()
    }
}
