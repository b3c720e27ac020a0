//! Making room: urgent work pushes lesser work aside, and teams within their guarantee take back
//! what others borrow.
use crate::api::Ms;
use crate::leader::{Ctx, Leader};
use crate::ledger::{Life, Phase};
use std::collections::HashMap;
use stonegw_constants as k;
use stonegw_wire::msg::{JobKind, JobSpec};

/// Room that lesser work is leaving on a machine for an urgent job. Nothing else may take it:
/// else the job would push aside again and again and wait for each.
#[derive(Debug)]
pub struct Making {
    machine: String,
    pub job: String,
    until: Ms,
}

/// Room that is being made on machines, by machine.
pub type Claims = HashMap<String, (f64, f64, f64)>;

fn claim(claims: &mut Claims, machine: &str, spec: &JobSpec) {
    let c = claims.entry(machine.to_owned()).or_default();
    *c = (c.0 + spec.cpus, c.1 + spec.gpus, c.2 + spec.memory_gb);
}

impl Leader {
    /// Room that is being made and may still be believed in, by machine.
    pub fn claims(&mut self, now: Ms) -> Claims {
        let mut claims = Claims::new();
        let (works, machines, types) = (&self.works, &self.machines, &self.catalog.types);
        self.sched.making.retain(|made| {
            let (Some(w), Some(m)) = (works.get(&made.job), machines.get(&made.machine)) else {
                return false;
            };
            let Some(kind) = types.iter().find(|t| t.name == m.kind) else {
                return false;
            };
            let (mut c, mut g, mut mem) = m.free(kind);
            for p in m
                .placements
                .iter()
                .filter(|p| p.present() && p.stop.is_some())
            {
                (c, g, mem) = (c + p.cpus, g + p.gpus, mem + p.memory);
            }
            let taken = claims.get(&made.machine).copied().unwrap_or_default();
            let fits = c - taken.0 + k::EPSILON >= w.spec.cpus
                && g - taken.1 + k::EPSILON >= w.spec.gpus
                && mem - taken.2 + k::EPSILON >= w.spec.memory_gb;
            let believed = fits && now < made.until && !w.pending.is_empty();
            if believed {
                claim(&mut claims, &made.machine, &w.spec);
            }
            believed
        });
        claims
    }

    /// Whether room on the machine is being made for urgent work.
    pub fn is_made(&self, now: Ms, machine: &str) -> bool {
        let mut making = self.sched.making.iter();
        making.any(|m| m.machine == machine && now < m.until)
    }

    /// Stops work of lower priority where that loses least, so that an urgent task can start.
    pub fn preempt(&mut self, ctx: &Ctx, job: &str, claimed: &mut Claims, guarantee: bool) -> bool {
        let now = ctx.now.ms;
        let Some(w) = self.works.get(job) else {
            return false;
        };
        let spec = w.spec.clone();
        // What teams keep, not counting what is being stopped.
        let mut used: HashMap<&str, f64> = HashMap::new();
        if guarantee {
            for t in &ctx.set.teams {
                used.insert(&t.name, self.machines.team(&t.name).0);
            }
            for m in self.machines.with_commands() {
                for p in m.placements.iter().filter(|p| p.present()) {
                    if let (Some(_), Some(u)) = (p.stop, used.get_mut(p.team.as_str())) {
                        *u -= p.cpus;
                    }
                }
            }
        }
        let mut best: Option<(u64, String, Vec<u64>)> = None;
        for m in self.machines.values() {
            let Some(kind) = self.kind(&m.kind) else {
                continue;
            };
            if !self.usable(ctx, m, w) || guarantee && self.is_kept(&m.id, job) {
                continue;
            }
            let (mut c, mut g, mut mem) = m.free(kind);
            let taken = claimed.get(&m.id).copied().unwrap_or_default();
            c -= taken.0;
            g -= taken.1;
            mem -= taken.2;
            let mut victims = vec![];
            let mut out: HashMap<String, f64> = HashMap::new();
            for p in m.placements.iter().filter(|p| p.present()) {
                if p.stop.is_some() {
                    c += p.cpus;
                    g += p.gpus;
                    mem += p.memory;
                } else if let Some(v) = self.works.get(&p.job) {
                    // Beyond lower priority, only what another team runs above its guarantee.
                    let excess = guarantee
                        && v.spec.team != spec.team
                        && v.spec.kind != JobKind::Service
                        && p.running_at.is_none_or(|t| now < t + k::GUARANTEE_LOSS_MS)
                        && ctx.set.team(&v.spec.team).is_some_and(|t| {
                            let kept = used.get(v.spec.team.as_str()).copied().unwrap_or(0.0);
                            let going = out.entry(v.spec.team.clone()).or_insert(0.0);
                            *going += p.cpus;
                            kept - *going >= t.cpus - k::EPSILON
                        });
                    if (v.spec.priority < spec.priority || excess) && p.phase != Phase::Saving {
                        let ran = p.running_at.map_or(0, |t| now.saturating_sub(t));
                        victims.push((ran, p));
                    }
                }
            }
            victims.sort_by_key(|(ran, _)| *ran);
            // An urgent task's wait for its image weighs more than the run time lost.
            let fetch = self.fetch_s(m, &spec);
            let (mut cost, mut stops) = ((fetch * k::FETCH_WEIGHT * 1e3) as u64, vec![]);
            let fits = |c: f64, g: f64, mem: f64| {
                c + k::EPSILON >= spec.cpus
                    && g + k::EPSILON >= spec.gpus
                    && mem + k::EPSILON >= spec.memory_gb
            };
            for (ran, p) in victims {
                if fits(c, g, mem) {
                    break;
                }
                c += p.cpus;
                g += p.gpus;
                mem += p.memory;
                cost += ran + 1;
                stops.push(p.attempt);
            }
            if fits(c, g, mem) && best.as_ref().is_none_or(|b| cost < b.0) {
                best = Some((cost, m.id.clone(), stops));
            }
        }
        let Some((cost, id, stops)) = best else {
            return false;
        };
        claim(claimed, &id, &spec);
        if !stops.is_empty() {
            log::info!(
                "{job} pushes {} tasks aside on {id}, cost {cost} ms",
                stops.len()
            );
        }
        if !guarantee {
            self.sched.making.push(Making {
                machine: id.clone(),
                job: job.to_owned(),
                until: now + k::MAKING_ROOM_MS,
            });
        }
        let Some(mut m) = self.machines.edit(&id) else {
            return false;
        };
        // Held tasks must not take the room that is being made.
        for (job, index) in std::mem::take(&mut m.held) {
            if let Some(w) = self.works.get_mut(&job) {
                w.give_back(index);
            }
        }
        for p in m
            .placements
            .iter_mut()
            .filter(|p| stops.contains(&p.attempt))
        {
            let saves = self.works.get(&p.job).map_or(0.0, |v| {
                if v.spec.checkpoint_s > 0.0 {
                    v.spec.save_s + k::WIND_DOWN_MARGIN_S
                } else {
                    0.0
                }
            });
            p.stop = Some(saves);
        }
        true
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
