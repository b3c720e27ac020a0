//! Making room: urgent work pushes lesser work aside, and teams within their guarantee take back
//! what others borrow.
use crate::api::Ms;
use crate::leader::{Ctx, Leader};
use crate::ledger::{Life, Machine, Phase, Placement, Work};
use crate::resources::Resources;
use std::collections::HashMap;
use stonegw_constants as k;
use stonegw_wire::msg::{JobKind, JobSpec};

/// Room that lesser work is leaving on a machine for an urgent job. Nothing else may take it:
/// else the job would push aside again and again and wait for each.
#[derive(Debug)]
pub struct Making {
    pub machine: String,
    pub job: String,
    until: Ms,
}

/// Room that is being made on machines, by machine.
pub type Claims = HashMap<String, Resources>;

fn claim(claims: &mut Claims, machine: &str, spec: &JobSpec) {
    *claims.entry(machine.to_owned()).or_default() += Resources::of_task(spec);
}

/// For whose tasks room is looked for, and for how many.
pub struct RoomWanted<'a> {
    pub work: &'a Work,
    pub tasks: u32,
    /// What other teams run beyond their guarantees may be stopped as well.
    pub guarantee: bool,
}

/// Room for one task on a machine, after those of the same machine with a lower order.
#[derive(Debug)]
pub struct RoomOffer {
    /// ms of run time that are lost, and the weighted wait for the image.
    pub cost: u64,
    pub machine: String,
    pub order: u32,
    /// What has to be stopped for it: jobs and attempts.
    pub stops: Vec<(String, u64)>,
}

/// A task that may be stopped.
struct Victim {
    lost_ms: u64,
    job: String,
    attempt: u64,
    takes: Resources,
}

/// Run time that is lost if a task is stopped now. A gang is stopped whole; it loses no more than
/// it takes to save where it can.
fn lost_ms(now: Ms, p: &Placement, work: &Work) -> u64 {
    let ran = p.running_at.map_or(0, |at| now.saturating_sub(at));
    if work.gang.is_none() {
        return ran;
    }
    let lost = if work.spec.checkpoint_s > 0.0 {
        ran.min((work.spec.save_s * 1e3) as u64)
    } else {
        ran
    };
    (lost + k::GANG_RESTART_MS) * u64::from(work.spec.tasks)
}

impl Leader {
    /// Room that is being made and may still be believed in, by machine.
    pub fn claims(&mut self, now: Ms) -> Claims {
        let mut claims = Claims::new();
        let mut making = std::mem::take(&mut self.sched.making);
        making.retain(|made| {
            let Some(work) = self.works.get(&made.job) else {
                return false;
            };
            let machine = self.machines.get(&made.machine);
            let Some(free) = machine.and_then(|m| self.free_and_leaving(m)) else {
                return false;
            };
            let taken = claims.get(&made.machine).copied().unwrap_or_default();
            let fits = (free - taken).fits(&Resources::of_task(&work.spec));
            let waits = !work.pending.is_empty() || work.gang_waits();
            let believed = fits && now < made.until && waits;
            if believed {
                claim(&mut claims, &made.machine, &work.spec);
            }
            believed
        });
        self.sched.making = making;
        claims
    }

    /// Whether room on the machine is being made for urgent work.
    pub fn is_made(&self, now: Ms, machine: &str) -> bool {
        let mut making = self.sched.making.iter();
        making.any(|m| m.machine == machine && now < m.until)
    }

    /// The same, unless it is made for this job.
    pub fn is_made_for_other(&self, now: Ms, machine: &str, job: &str) -> bool {
        let mut making = self.sched.making.iter();
        making.any(|m| m.machine == machine && m.job != job && now < m.until)
    }

    /// Stops work of lower priority where that loses least, so that an urgent task can start.
    pub fn preempt(&mut self, ctx: &Ctx, job: &str, claimed: &mut Claims, guarantee: bool) -> bool {
        let Some(work) = self.works.get(job) else {
            return false;
        };
        let wanted = RoomWanted {
            work,
            tasks: 1,
            guarantee,
        };
        let used = self.kept_by_teams(ctx, guarantee);
        let mut best: Option<RoomOffer> = None;
        for m in self.machines.values() {
            let kept = guarantee && self.is_kept(&m.id, job) || self.is_reserved(&m.id, job);
            if kept || !self.usable(ctx, m, work) {
                continue;
            }
            for offer in self.room_offers(ctx, m, &wanted, claimed, &used) {
                if best.as_ref().is_none_or(|b| offer.cost < b.cost) {
                    best = Some(offer);
                }
            }
        }
        let Some(offer) = best else {
            return false;
        };
        if !offer.stops.is_empty() {
            log::info!(
                "{job} pushes {} tasks aside on {}, cost {} ms",
                offer.stops.len(),
                offer.machine,
                offer.cost
            );
        }
        self.take_offers(ctx, job, vec![offer], claimed, !guarantee);
        true
    }

    /// CPUs that each team keeps, not counting what is being stopped. Only a guarantee asks for it.
    pub fn kept_by_teams(&self, ctx: &Ctx, guarantee: bool) -> HashMap<String, f64> {
        let mut kept = HashMap::new();
        if !guarantee {
            return kept;
        }
        for team in &ctx.set.teams {
            kept.insert(team.name.clone(), self.machines.team(&team.name).0);
        }
        for m in self.machines.with_commands() {
            for p in m.placements.iter().filter(|p| p.present()) {
                if let (Some(_), Some(cpus)) = (p.stop, kept.get_mut(p.team.as_str())) {
                    *cpus -= p.cpus;
                }
            }
        }
        kept
    }

    /// Room for up to so many of a job's tasks on one machine, in the order in which it costs more.
    pub fn room_offers(
        &self,
        ctx: &Ctx,
        m: &Machine,
        wanted: &RoomWanted,
        claimed: &Claims,
        kept: &HashMap<String, f64>,
    ) -> Vec<RoomOffer> {
        let Some(mut free) = self.free_and_leaving(m) else {
            return vec![];
        };
        free -= claimed.get(&m.id).copied().unwrap_or_default();
        let need = Resources::of_task(&wanted.work.spec);
        let mut victims = self.victims(ctx, m, wanted, kept).into_iter();
        // An urgent task's wait for its image weighs more than the run time lost.
        let fetch_s = self.fetch_s(m, &wanted.work.spec);
        let mut cost = (fetch_s * k::FETCH_WEIGHT * 1e3) as u64;
        let mut offers = vec![];
        for order in 0..wanted.tasks {
            let mut stops = vec![];
            while !free.fits(&need) {
                let Some(victim) = victims.next() else {
                    return offers;
                };
                free += victim.takes;
                cost += victim.lost_ms + 1;
                stops.push((victim.job, victim.attempt));
            }
            free -= need;
            offers.push(RoomOffer {
                cost,
                machine: m.id.clone(),
                order,
                stops,
            });
        }
        offers
    }

    /// What is free on a machine, and what is being stopped there.
    fn free_and_leaving(&self, m: &Machine) -> Option<Resources> {
        let mut free = self.free(m)?;
        let leaving = m.placements.iter();
        for p in leaving.filter(|p| p.present() && p.stop.is_some()) {
            free += p.takes();
        }
        Some(free)
    }

    /// Tasks on a machine that may be stopped for this work, those that lose least first.
    fn victims(
        &self,
        ctx: &Ctx,
        m: &Machine,
        wanted: &RoomWanted,
        kept: &HashMap<String, f64>,
    ) -> Vec<Victim> {
        let now = ctx.now.ms;
        let spec = &wanted.work.spec;
        let mut victims = vec![];
        let mut going: HashMap<&str, f64> = HashMap::new();
        for p in m.placements.iter().filter(|p| p.present()) {
            let Some(work) = self.works.get(&p.job) else {
                continue;
            };
            if p.stop.is_some() || p.phase == Phase::Saving {
                continue;
            }
            // Beyond lower priority, only what another team runs above its guarantee.
            let excess = wanted.guarantee
                && work.spec.team != spec.team
                && work.spec.kind == JobKind::Array
                && p.running_at
                    .is_none_or(|at| now < at + k::GUARANTEE_LOSS_MS)
                && ctx.set.team(&work.spec.team).is_some_and(|team| {
                    let cpus = kept.get(team.name.as_str()).copied().unwrap_or(0.0);
                    let going = going.entry(&work.spec.team).or_insert(0.0);
                    *going += p.cpus;
                    cpus - *going >= team.cpus - k::EPSILON
                });
            if work.spec.priority < spec.priority || excess {
                victims.push(Victim {
                    lost_ms: lost_ms(now, p, work),
                    job: p.job.clone(),
                    attempt: p.attempt,
                    takes: p.takes(),
                });
            }
        }
        victims.sort_by_key(|v| v.lost_ms);
        victims
    }

    /// Stops what the offers name. `keep`: the room goes to nothing else for a while.
    pub fn take_offers(
        &mut self,
        ctx: &Ctx,
        job: &str,
        offers: Vec<RoomOffer>,
        claimed: &mut Claims,
        keep: bool,
    ) {
        let Some(spec) = self.works.get(job).map(|w| w.spec.clone()) else {
            return;
        };
        for offer in offers {
            claim(claimed, &offer.machine, &spec);
            if keep {
                self.sched.making.push(Making {
                    machine: offer.machine.clone(),
                    job: job.to_owned(),
                    until: ctx.now.ms + k::MAKING_ROOM_MS,
                });
            }
            self.clear_queue(&offer.machine);
            for (victim, attempt) in &offer.stops {
                self.stop_for_room(ctx, &offer.machine, victim, *attempt);
            }
        }
    }

    /// Stops one task, or the whole gang that it belongs to.
    fn stop_for_room(&mut self, ctx: &Ctx, machine: &str, job: &str, attempt: u64) {
        let Some(work) = self.works.get(job) else {
            return;
        };
        if work.gang.is_some() {
            return self.stop_gang(ctx, job);
        }
        let grace_s = if work.spec.checkpoint_s > 0.0 {
            work.spec.save_s + k::WIND_DOWN_MARGIN_S
        } else {
            0.0
        };
        let Some(mut m) = self.machines.edit(machine) else {
            return;
        };
        for p in m.placements.iter_mut().filter(|p| p.attempt == attempt) {
            p.stop = Some(grace_s);
        }
    }

    /// Work within its team's guarantee that found no room: other teams return what they borrow,
    /// the tasks that have run least.
    pub fn reclaim(&mut self, ctx: &Ctx) {
        let mut claimed = Claims::new();
        let mut extra: HashMap<String, (f64, f64)> = HashMap::new();
        let waiting: Vec<(String, usize)> = self
            .works
            .iter()
            .filter(|(_, w)| !w.ending && ctx.now.ms >= w.retry_at && w.spec.deadline_s.is_some())
            .filter(|(_, w)| !w.failures.job_is_broken())
            .filter(|(_, w)| {
                let age = ctx.now.wall_ms.saturating_sub(w.at);
                age > k::GUARANTEE_WAIT_MS && w.due_s(ctx.now.wall_ms).is_some_and(|d| d > 0.0)
            })
            .map(|(id, w)| (id.clone(), w.fresh()))
            .filter(|(_, n)| *n > 0)
            .collect();
        let kind = self.machines.values().find(|m| m.life == Life::Up);
        let kind = kind.map_or(String::new(), |m| m.kind.clone());
        // A part of the fleet at a time: what is stopped in vain must stay little.
        let fleet = self.machines.len() / k::GUARANTEE_STEP_PART;
        let mut left = k::GUARANTEE_STEP.max(fleet);
        for (job, n) in waiting {
            // What the threshold holds back anyway must not push others aside for nothing.
            let Some(w) = self.works.get(&job) else {
                continue;
            };
            let due = w.due_s(ctx.now.wall_ms).unwrap_or(0.0);
            let runs = self.sched.runs(&w.spec, &kind);
            if runs.cumulative().by(0.0, due) < self.sched.pruner.deferring {
                continue;
            }
            let spec = w.spec.clone();
            for _ in 0..n {
                let e = extra.get(&spec.team).copied().unwrap_or_default();
                if left == 0 || !self.guaranteed(ctx, &spec, e) || !self.allows(ctx, &spec, e) {
                    break;
                }
                left -= 1;
                if !self.preempt(ctx, &job, &mut claimed, true) {
                    break;
                }
                let e = extra.entry(spec.team.clone()).or_default();
                *e = (e.0 + spec.cpus, e.1 + spec.gpus);
            }
        }
    }
}
