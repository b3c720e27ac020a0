//! The one exception to the order of the design: work that has waited for long. By its rules a
//! job whose tasks are large, late or dropped has only leftover room, and none is left over
//! while small work keeps arriving. So from time to time a part of its tasks goes before all
//! but urgent work: it takes the room there is, and where none fits, one machine's room, or the
//! team's, is kept for it until it does.
use crate::api::Ms;
use crate::leader::{Ctx, Leader};
use crate::ledger::{Machine, Work};
use std::collections::HashMap;
use stonegw_constants as k;
use stonegw_wire::msg::JobSpec;

/// What is kept for a job that waited for long.
#[derive(Clone, Debug, PartialEq)]
pub enum Kept {
    Machine(String),
    /// What its team may still take.
    Team(String),
}

impl Leader {
    /// Sets down who is owed a start.
    fn count_owed(&mut self, ctx: &Ctx) {
        let now = ctx.now.ms;
        for (id, w) in &mut self.works {
            // No room is kept for a job that fails everywhere.
            let broken = w.failures.job_is_broken();
            if w.pending.is_empty() || w.ending || w.urgent() || broken {
                w.owed = 0;
                continue;
            }
            let age = ctx.now.wall_ms.saturating_sub(w.at);
            let waited = match w.moved_at {
                Some(at) => now >= at + k::OVERDUE_AGAIN_MS,
                None if w.done_count > 0 || self.machines.present_of(id).next().is_some() => {
                    // Begun under an earlier leader.
                    w.moved_at = Some(now);
                    false
                }
                None => age >= k::OVERDUE_MS,
            };
            if waited && w.owed == 0 {
                w.owed = (w.spec.tasks as usize).div_ceil(k::OVERDUE_PART);
            }
        }
    }

    /// Starts what is owed, the longest accepted first.
    pub fn place_overdue(&mut self, ctx: &Ctx) {
        self.count_owed(ctx);
        let mut waiting: Vec<(u64, String)> = self
            .works
            .iter()
            .filter(|(_, w)| w.owed > 0 && ctx.now.ms >= w.retry_at)
            .map(|(id, w)| (w.at, id.clone()))
            .collect();
        waiting.sort();
        let works = &self.works;
        let owed = |job: &String| works.get(job).is_some_and(|w| w.owed > 0);
        self.sched.kept.retain(|job, _| owed(job));
        for (_, job) in waiting {
            while self.place_owed(ctx, &job) {}
            if self.works.get(&job).is_none_or(|w| w.owed == 0) {
                self.sched.kept.remove(&job);
            }
        }
    }

    /// Room that the mapping leaves free goes, first fit, to jobs without a start for a while, whose
    /// tasks it put off for too small a chance or queued behind others elsewhere: a low chance is
    /// better than none beside an idle machine. Room that queued tasks wait for is taken later.
    pub fn place_put_off(&mut self, ctx: &Ctx) {
        let now = ctx.now.ms;
        let waited = |w: &Work| {
            w.moved_at.map_or_else(
                || ctx.now.wall_ms.saturating_sub(w.at),
                |at| now.saturating_sub(at),
            )
        };
        let waits = |id: &str, w: &Work| {
            waited(w) >= k::PUT_OFF_MS
                && (!w.pending.is_empty() || self.machines.held_of(id) > 0)
                && !w.ending
                && now >= w.retry_at
        };
        let waiting = self.works.iter().filter(|(id, w)| waits(id, w));
        let queued = |w: &Work| waited(w) >= k::PUT_OFF_QUEUED_MS;
        let waiting = waiting.map(|(id, w)| (w.at, id.clone(), queued(w)));
        let mut waiting: Vec<(u64, String, bool)> = waiting.collect();
        if waiting.is_empty() {
            return;
        }
        waiting.sort();
        let roomy = self.roomy(ctx);
        let kept_for_s = self.kept_for_s(ctx);
        for (_, job, queued) in waiting {
            let Some(spec) = self.works.get(&job).map(|w| w.spec.clone()) else {
                continue;
            };
            let run_s = self.sched.mean_s(&spec);
            // Room kept for another is lent for as long as that one can't start there anyway.
            let lent = |id: &String| queued && kept_for_s.get(id).is_some_and(|s| run_s <= *s);
            let lent: Vec<String> = roomy.iter().filter(|id| lent(id)).cloned().collect();
            while self.place_one_put_off(ctx, &job, &roomy, &lent, queued) {}
        }
    }

    /// Machines with room that is kept, and in how many seconds about enough will have ended there
    /// for the task it is kept for.
    fn kept_for_s(&mut self, ctx: &Ctx) -> HashMap<String, f64> {
        let mut out = HashMap::new();
        for (job, kept) in &self.sched.kept.clone() {
            let (Kept::Machine(id), Some(w)) = (kept, self.works.get(job)) else {
                continue;
            };
            let spec = w.spec.clone();
            if let Some(s) = self.room_after_s(ctx, id, &spec) {
                out.insert(id.clone(), s);
            }
        }
        out
    }

    /// Seconds until what runs on a machine has left room for a task, by the mean run times. `None`: what
    /// is there does not end by itself.
    fn room_after_s(&mut self, ctx: &Ctx, machine: &str, spec: &JobSpec) -> Option<f64> {
        let m = self.machines.get(machine)?;
        let (mut cpus, mut gpus, mut memory) = m.free(self.kind(&m.kind)?);
        let mut ends: Vec<(f64, f64, f64, f64)> = vec![];
        for p in m.placements.iter().filter(|p| p.present()) {
            let Some(w) = self.works.get(&p.job).filter(|w| !w.urgent()) else {
                continue;
            };
            let ran_s = p
                .running_at
                .map_or(0.0, |at| ctx.now.ms.saturating_sub(at) as f64 / 1e3);
            // One that has run for longer than the mean may go on for as long again.
            let left_s = (self.sched.mean_s(&w.spec) - ran_s).abs();
            ends.push((left_s, p.cpus, p.gpus, p.memory));
        }
        ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (left_s, c, g, mem) in ends {
            (cpus, gpus, memory) = (cpus + c, gpus + g, memory + mem);
            let fits = cpus + k::EPSILON >= spec.cpus
                && gpus + k::EPSILON >= spec.gpus
                && memory + k::EPSILON >= spec.memory_gb;
            if fits {
                return Some(left_s);
            }
        }
        None
    }

    /// `lent`: machines whose room is kept for another but not needed yet. `queued`: machines with a
    /// queue will do as well.
    fn place_one_put_off(
        &mut self,
        ctx: &Ctx,
        job: &str,
        roomy: &[String],
        lent: &[String],
        queued: bool,
    ) -> bool {
        let Some(w) = self.works.get(job) else {
            return false;
        };
        let held = self.machines.first_held(job);
        let Some(index) = w.pending.first().copied().or(held) else {
            return false;
        };
        let spec = &w.spec;
        let startable = w.startable(ctx.now.ms) > 0;
        if !startable || !self.allows(ctx, spec, (0.0, 0.0)) || self.team_kept(spec) {
            return false;
        }
        let takes = |m: &&Machine| {
            (queued || m.held.is_empty())
                && self.room(m, spec)
                && self.usable(ctx, m, w)
                && (!self.is_kept(&m.id, job) || lent.contains(&m.id))
                && !self.is_made(ctx.now.ms, &m.id)
        };
        let fit = roomy.iter().filter_map(|id| self.machines.get(id));
        let fit = fit.filter(takes);
        let fit = fit.min_by_key(|m| (!m.held.is_empty(), self.first_fit(m, spec)));
        let Some(id) = fit.map(|m| m.id.clone()) else {
            return false;
        };
        log::debug!("{job}/{index} was put off for long and takes room on {id}");
        self.unhold(job, index);
        let placed = self.place(&id, job, index);
        if !placed {
            self.back(job, index);
        }
        placed
    }

    /// Places one task that is owed. False: there is none, or no room for it yet.
    fn place_owed(&mut self, ctx: &Ctx, job: &str) -> bool {
        let Some(w) = self.works.get(job).filter(|w| w.owed > 0) else {
            return false;
        };
        let Some(index) = w.next_fresh().or_else(|| w.pending.first().copied()) else {
            return false;
        };
        if w.startable(ctx.now.ms) == 0 {
            return false;
        }
        let spec = w.spec.clone();
        if !self.allows(ctx, &spec, (0.0, 0.0)) {
            let kept = Kept::Team(spec.team);
            self.sched.kept.insert(job.into(), kept);
            return false;
        }
        let fit = self
            .machines
            .values()
            .filter(|m| self.room(m, &spec) && self.usable(ctx, m, w) && !self.is_kept(&m.id, job))
            .min_by_key(|m| self.first_fit(m, &spec))
            .map(|m| m.id.clone());
        if let Some(id) = fit {
            return self.place(&id, job, index);
        }
        let usable = |id: &str| {
            self.machines
                .get(id)
                .is_some_and(|m| self.usable(ctx, m, w))
        };
        if matches!(self.sched.kept.get(job), Some(Kept::Machine(id)) if usable(id)) {
            return false;
        }
        self.sched.kept.remove(job);
        if let Some(id) = self.machine_to_keep(ctx, job, w) {
            log::info!("{job} waited for long: room on {id} is kept for it");
            self.sched.kept.insert(job.into(), Kept::Machine(id));
        }
        false
    }

    /// Where least has to end for a task of the job to fit.
    fn machine_to_keep(&self, ctx: &Ctx, job: &str, w: &Work) -> Option<String> {
        let spec = &w.spec;
        let holds = |m: &Machine| {
            self.kind(&m.kind).is_some_and(|t| {
                t.cpus + k::EPSILON >= spec.cpus
                    && t.gpus + k::EPSILON >= spec.gpus
                    && t.memory_gb + k::EPSILON >= spec.memory_gb
            })
        };
        self.machines
            .values()
            .filter(|m| holds(m) && self.usable(ctx, m, w) && !self.is_kept(&m.id, job))
            .min_by_key(|m| ((self.staying(m).0 * 1e3) as i64, (m.used().0 * 1e3) as Ms))
            .map(|m| m.id.clone())
    }

    /// What urgent work takes of a machine, which does not end by itself.
    pub fn staying(&self, m: &Machine) -> (f64, f64, f64) {
        let urgent = |job: &str| self.works.get(job).is_some_and(Work::urgent);
        let stay = m.placements.iter();
        let stay = stay.filter(|p| p.present() && urgent(&p.job));
        stay.fold((0.0, 0.0, 0.0), |(c, g, mem), p| {
            (c + p.cpus, g + p.gpus, mem + p.memory)
        })
    }

    /// Whether a machine's room is kept for another job.
    pub fn is_kept(&self, machine: &str, job: &str) -> bool {
        let mut kept = self.sched.kept.iter();
        kept.any(|(j, k)| j != job && matches!(k, Kept::Machine(m) if m == machine))
            || self.is_reserved(machine, job)
    }

    /// Whether what its team may still take is kept for another job.
    pub fn team_kept(&self, spec: &JobSpec) -> bool {
        let mut kept = self.sched.kept.iter();
        kept.any(|(j, k)| *j != spec.id && matches!(k, Kept::Team(t) if *t == spec.team))
            || self.is_team_reserved(&spec.team, &spec.id)
    }
}
