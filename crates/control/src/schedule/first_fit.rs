//! First fit: urgent work at once, and leftover room for work without a deadline, late or dropped.
use super::Rank;
use crate::leader::{immediate, Ctx, Leader};
use crate::ledger::{Machine, Work};
use stonegw_constants as k;
use stonegw_wire::msg::JobSpec;

/// What a task takes and where it may go, as far as that says whether there is room for it:
/// jobs alike in this find room or none alike.
#[derive(Clone, PartialEq)]
struct Shape {
    size: (f64, f64, f64),
    types: Option<Vec<String>>,
    zone: Option<String>,
    spot: bool,
}

impl Shape {
    /// `None`: more than this decides.
    fn of(w: &Work) -> Option<Shape> {
        let s = &w.spec;
        (!s.one_zone && !s.spread && !w.failures.avoids_any()).then(|| Shape {
            size: (s.cpus, s.gpus, s.memory_gb),
            types: s.types.clone(),
            zone: s.zone.clone(),
            spot: s.spot,
        })
    }
}

/// What a job counts for in the order of work of one rank: an array without a deadline comes after jobs
/// with fewer tasks left. One of thousands would else keep every smaller one waiting until it is done.
fn backlog(work: &Work) -> u32 {
    if work.spec.deadline_s.is_some() || work.urgent() {
        0
    } else {
        work.spec.tasks - work.done_count
    }
}

/// Machines that take tasks of one shape and image, the best first fit last.
struct Pool {
    shape: Shape,
    image: String,
    machines: Vec<String>,
}

/// One pool for all jobs alike, put together once in a round of placing: to look at every machine for every
/// job would cost the square of the fleet.
#[derive(Default)]
struct Pools(Vec<Pool>);

impl Pools {
    /// The pool for the job's tasks; `find` puts it together. `None`: more than shape and image decides.
    fn of(&mut self, work: &Work, find: impl FnOnce() -> Vec<String>) -> Option<&mut Pool> {
        let shape = Shape::of(work)?;
        let image = &work.spec.image;
        let known = |pool: &Pool| pool.shape == shape && pool.image == *image;
        let at = match self.0.iter().position(known) {
            Some(at) => at,
            None => {
                self.0.push(Pool {
                    image: image.clone(),
                    machines: find(),
                    shape,
                });
                self.0.len() - 1
            }
        };
        self.0.get_mut(at)
    }
}

impl Leader {
    /// Machines that take a task, the best first fit last.
    fn fitting(
        &self,
        roomy: &[String],
        spec: &JobSpec,
        takes: impl Fn(&Machine) -> bool,
    ) -> Vec<String> {
        let machines = roomy.iter().filter_map(|id| self.machines.get(id));
        let fitting = machines.filter(|m| takes(m));
        let mut keyed: Vec<_> = fitting
            .map(|m| (self.first_fit(m, spec), m.id.clone()))
            .collect();
        keyed.sort_by(|a, b| b.cmp(a));
        keyed.into_iter().map(|(_, id)| id).collect()
    }

    /// Starts held tasks for which room has become free.
    pub fn promote(&mut self, ctx: &Ctx, id: &str) {
        loop {
            let Some(m) = self.machines.get(id) else {
                return;
            };
            let Some((job, index)) = m.held.first().cloned() else {
                return;
            };
            let start = match self.works.get(&job) {
                Some(w) => {
                    if !self.room(m, &w.spec)
                        || !self.usable(ctx, m, w)
                        || !self.allows(ctx, &w.spec, (0.0, 0.0))
                        || self.is_kept(id, &job)
                        || self.team_kept(&w.spec)
                        || self.is_made(ctx.now.ms, id)
                    {
                        return;
                    }
                    true
                }
                None => false,
            };
            if let Some(mut m) = self.machines.edit(id) {
                m.held.remove(0);
            }
            if start && !self.place(id, &job, index) {
                self.back(&job, index);
                return;
            }
        }
    }

    /// First fit: the soonest start, then the cheaper machine, then the tighter fit.
    pub fn first_fit(&self, m: &Machine, spec: &JobSpec) -> (i64, i64, i64) {
        let kind = self.kind(&m.kind);
        let free = kind.map_or(0.0, |t| m.free(t).0);
        let price = kind.map_or(0.0, |t| t.price_per_cpu(m.spot));
        let fetch = self.fetch_s(m, spec).round() as i64;
        (fetch, (price * 1e4) as i64, (free * 100.0) as i64)
    }

    /// First fit for work without a deadline, late or dropped. `urgent`: only what may not wait
    /// for the next mapping; it may also push lesser work aside.
    pub(super) fn place_now(&mut self, ctx: &Ctx, urgent: bool) {
        let now = ctx.now.ms;
        let mut order: Vec<(Rank, u32, u64, String)> = self
            .works
            .iter()
            .filter(|(_, w)| !w.pending.is_empty() && !w.ending && now >= w.retry_at)
            .filter(|(_, w)| {
                if urgent {
                    immediate(w) && w.urgent()
                } else {
                    immediate(w)
                        || w.due_s(ctx.now.wall_ms).is_some_and(|d| d <= 0.0)
                        || !w.dropped.is_empty()
                }
            })
            .map(|(id, w)| {
                let rank = (w.spec.priority, self.guaranteed(ctx, &w.spec, (0.0, 0.0)));
                (rank, backlog(w), w.at, id.clone())
            })
            .collect();
        order.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
        if order.is_empty() {
            return;
        }
        let roomy = self.roomy(ctx);
        let mut pools = Pools::default();
        // Room that is being made for some of them already.
        let mut claims = self.claims(now);
        let mut none: Vec<Shape> = vec![];
        let mut hopeless: Vec<Shape> = vec![];
        for (_, _, _, job) in order {
            let Some(shape) = self.works.get(&job).map(Shape::of) else {
                continue;
            };
            let full = shape.as_ref().is_some_and(|s| none.contains(s));
            if !full && self.fill(ctx, &job, urgent, &roomy, &mut pools) {
                continue;
            }
            let Some(w) = self.works.get(&job) else {
                continue;
            };
            let making = self.sched.making.iter().any(|m| m.job == job);
            let hopeless_now = shape.as_ref().is_some_and(|s| hopeless.contains(s));
            if urgent
                && !w.failures.job_is_broken()
                && !making
                && !hopeless_now
                && self.allows(ctx, &w.spec, (0.0, 0.0))
                && !self.preempt(ctx, &job, &mut claims, false)
            {
                hopeless.extend(shape.clone());
            }
            none.extend(shape);
        }
    }

    /// Places tasks of a job first fit. False: there is no room for the next one.
    fn fill(
        &mut self,
        ctx: &Ctx,
        job: &str,
        urgent: bool,
        roomy: &[String],
        pools: &mut Pools,
    ) -> bool {
        let mut target: Option<String> = None;
        loop {
            let Some(w) = self.works.get(job) else {
                return true;
            };
            if w.startable(ctx.now.ms) == 0 {
                return true;
            }
            let late = w.due_s(ctx.now.wall_ms).is_some_and(|d| d <= 0.0);
            let index = if immediate(w) || late {
                w.pending.first().copied()
            } else {
                w.next_dropped()
            };
            let Some(index) = index else { return true };
            let spec = &w.spec;
            if !self.allows(ctx, spec, (0.0, 0.0)) || !urgent && self.team_kept(spec) {
                return true;
            }
            // Urgent work first pushes lesser work aside elsewhere: a gang's room takes long to gather.
            let age = ctx.now.wall_ms.saturating_sub(w.at);
            let takes_kept = urgent || w.urgent();
            let spares_gangs = takes_kept && age < k::RESERVED_WAIT_MS;
            let takes = |m: &Machine| {
                (m.held.is_empty() || urgent)
                    && self.room(m, spec)
                    && self.usable(ctx, m, w)
                    && (takes_kept || !self.is_kept(&m.id, job))
                    && (urgent || !self.is_made(ctx.now.ms, &m.id))
                    && !(spares_gangs && self.is_reserved(&m.id, job))
            };
            // Once one of its tasks is there, a machine is the best for the next as well.
            let same = target
                .take()
                .filter(|id| self.machines.get(id).is_some_and(takes));
            let find = || self.fitting(roomy, spec, takes);
            target = same.or_else(|| match pools.of(w, find) {
                Some(pool) => {
                    let full = |id: &String| !self.machines.get(id).is_some_and(takes);
                    while pool.machines.last().is_some_and(full) {
                        pool.machines.pop();
                    }
                    pool.machines.last().cloned()
                }
                None => find().pop(),
            });
            let Some(id) = &target else { return false };
            let id = id.clone();
            if !self.place(&id, job, index) {
                return false;
            }
        }
    }
}
