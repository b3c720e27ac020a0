//! First fit: urgent work at once, and leftover room for work without a deadline, late or dropped.
use super::preemption::Preemption;
use super::state::PlacementRank;
use super::state::SchedulingState;
use crate::cluster::is_immediate;
use crate::cluster::ClusterState;
use crate::cluster::{JobState, Machine};
use crate::context::LeaderContext;
use stonegw_constants::URGENT_RESERVATION_WAIT_MS;
use stonegw_wire::msg::JobSpec;

/// What a task takes and where it may go, as far as that says whether there is room for it:
/// jobs alike in this find room or none alike.
#[derive(Clone, PartialEq)]
struct PlacementConstraints {
    resource_request: (f64, f64, f64),
    machine_types: Option<Vec<String>>,
    zone: Option<String>,
    allows_spot: bool,
}

impl PlacementConstraints {
    /// `None`: more than this decides.
    fn of_job(w: &JobState) -> Option<PlacementConstraints> {
        let s = &w.spec;
        (!s.requires_single_zone && !s.spreads_across_zones && !w.failures.avoids_any()).then(
            || PlacementConstraints {
                resource_request: (s.cpus, s.gpus, s.memory_gb),
                machine_types: s.machine_types.clone(),
                zone: s.zone.clone(),
                allows_spot: s.allows_spot,
            },
        )
    }
}

/// What a job counts for in the order of work of one rank: an array without a deadline comes after jobs
/// with fewer tasks left. One of thousands would else keep every smaller one waiting until it is done.
fn backlog_rank(work: &JobState) -> u32 {
    if work.spec.deadline_s.is_some() || work.is_urgent() {
        0
    } else {
        work.spec.task_count - work.done_count
    }
}

/// Machines that take tasks of one shape and image, the best first fit last.
struct CandidatePool {
    constraints: PlacementConstraints,
    image: String,
    machines: Vec<String>,
}

/// One pool for all jobs alike, put together once in a round of placing: to look at every machine for every
/// job would cost the square of the fleet.
#[derive(Default)]
struct CandidatePools(Vec<CandidatePool>);

impl CandidatePools {
    /// The pool for the job's tasks; `find` puts it together. `None`: more than shape and image decides.
    fn get_or_build(
        &mut self,
        work: &JobState,
        find: impl FnOnce() -> Vec<String>,
    ) -> Option<&mut CandidatePool> {
        let shape = PlacementConstraints::of_job(work)?;
        let image = &work.spec.image;
        let known = |pool: &CandidatePool| pool.constraints == shape && pool.image == *image;
        let at = match self.0.iter().position(known) {
            Some(at) => at,
            None => {
                self.0.push(CandidatePool {
                    image: image.clone(),
                    machines: find(),
                    constraints: shape,
                });
                self.0.len() - 1
            }
        };
        self.0.get_mut(at)
    }
}

/// Places tasks first fit.
pub struct FirstFit<'a> {
    cluster: &'a mut ClusterState,
    scheduling: &'a mut SchedulingState,
}

impl<'a> FirstFit<'a> {
    pub fn new(cluster: &'a mut ClusterState, scheduling: &'a mut SchedulingState) -> Self {
        FirstFit {
            cluster,
            scheduling,
        }
    }
}

impl FirstFit<'_> {
    /// Machines that take a task, the best first fit last.
    fn machines_by_first_fit(
        &self,
        roomy: &[String],
        spec: &JobSpec,
        takes: impl Fn(&Machine) -> bool,
    ) -> Vec<String> {
        let machines = roomy.iter().filter_map(|id| self.cluster.machines.get(id));
        let fitting = machines.filter(|m| takes(m));
        let mut keyed: Vec<_> = fitting
            .map(|m| (self.cluster.first_fit_key(m, spec), m.id.clone()))
            .collect();
        keyed.sort_by(|a, b| b.cmp(a));
        keyed.into_iter().map(|(_, id)| id).collect()
    }

    /// Starts held tasks for which room has become free.
    pub fn dispatch_queued(&mut self, context: &LeaderContext, id: &str) {
        loop {
            let Some(m) = self.cluster.machines.get(id) else {
                return;
            };
            let Some((job, index)) = m.queued.first().cloned() else {
                return;
            };
            let start = match self.cluster.jobs.get(&job) {
                Some(w) => {
                    if !self.cluster.has_capacity(m, &w.spec)
                        || !self.cluster.is_eligible(context, m, w)
                        || !self.cluster.within_limit(context, &w.spec, (0.0, 0.0))
                        || self.scheduling.reservations.is_reserved_for_other(
                            &self.cluster.jobs,
                            id,
                            &job,
                        )
                        || self
                            .scheduling
                            .reservations
                            .is_team_reserved_for_other(&w.spec)
                        || self
                            .scheduling
                            .reservations
                            .is_being_cleared(context.now.monotonic_ms, id)
                    {
                        return;
                    }
                    true
                }
                None => false,
            };
            if let Some(mut m) = self.cluster.machines.edit(id) {
                m.queued.remove(0);
            }
            if start && !self.cluster.place_task(id, &job, index) {
                self.cluster.requeue_task(&job, index);
                return;
            }
        }
    }

    /// First fit for work without a deadline, late or dropped. `urgent`: only what may not wait
    /// for the next mapping; it may also push lesser work aside.
    pub(super) fn place_first_fit(&mut self, context: &LeaderContext, urgent: bool) {
        let now = context.now.monotonic_ms;
        let mut order: Vec<(PlacementRank, u32, u64, String)> = self
            .cluster
            .jobs
            .iter()
            .filter(|(_, w)| {
                !w.pending_tasks.is_empty() && !w.end_write_in_flight && now >= w.retry_at
            })
            .filter(|(_, w)| {
                if urgent {
                    is_immediate(w) && w.is_urgent()
                } else {
                    is_immediate(w)
                        || w.seconds_to_deadline(context.now.wall_ms)
                            .is_some_and(|d| d <= 0.0)
                        || !w.pruned_tasks.is_empty()
                }
            })
            .map(|(id, w)| {
                let rank = (
                    w.spec.priority,
                    self.cluster.within_quota(context, &w.spec, (0.0, 0.0)),
                );
                (rank, backlog_rank(w), w.submitted_at_ms, id.clone())
            })
            .collect();
        order.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
        if order.is_empty() {
            return;
        }
        let roomy = self.cluster.machines_with_capacity(context);
        let mut pools = CandidatePools::default();
        // Room that is being made for some of them already.
        let mut claims =
            Preemption::new(self.cluster, self.scheduling).refresh_preemption_claims(now);
        let mut none: Vec<PlacementConstraints> = vec![];
        let mut hopeless: Vec<PlacementConstraints> = vec![];
        for (_, _, _, job) in order {
            let Some(shape) = self
                .cluster
                .jobs
                .get(&job)
                .map(PlacementConstraints::of_job)
            else {
                continue;
            };
            let full = shape.as_ref().is_some_and(|s| none.contains(s));
            if !full && self.place_job_first_fit(context, &job, urgent, &roomy, &mut pools) {
                continue;
            }
            let Some(w) = self.cluster.jobs.get(&job) else {
                continue;
            };
            let making = self
                .scheduling
                .reservations
                .preemption_plans
                .iter()
                .any(|m| m.job == job);
            let hopeless_now = shape.as_ref().is_some_and(|s| hopeless.contains(s));
            if urgent
                && !w.failures.job_is_broken()
                && !making
                && !hopeless_now
                && self.cluster.within_limit(context, &w.spec, (0.0, 0.0))
                && !Preemption::new(self.cluster, self.scheduling).preempt(
                    context,
                    &job,
                    &mut claims,
                    false,
                )
            {
                hopeless.extend(shape.clone());
            }
            none.extend(shape);
        }
    }

    /// Places tasks of a job first fit. False: there is no room for the next one.
    fn place_job_first_fit(
        &mut self,
        context: &LeaderContext,
        job: &str,
        urgent: bool,
        roomy: &[String],
        pools: &mut CandidatePools,
    ) -> bool {
        let mut target: Option<String> = None;
        loop {
            let Some(w) = self.cluster.jobs.get(job) else {
                return true;
            };
            if w.start_limit(context.now.monotonic_ms) == 0 {
                return true;
            }
            let late = w
                .seconds_to_deadline(context.now.wall_ms)
                .is_some_and(|d| d <= 0.0);
            let index = if is_immediate(w) || late {
                w.pending_tasks.first().copied()
            } else {
                w.next_pruned()
            };
            let Some(index) = index else { return true };
            let spec = &w.spec;
            if !self.cluster.within_limit(context, spec, (0.0, 0.0))
                || !urgent
                    && self
                        .scheduling
                        .reservations
                        .is_team_reserved_for_other(spec)
            {
                return true;
            }
            // Urgent work first pushes lesser work aside elsewhere: a gang's room takes long to gather.
            let age = context.now.wall_ms.saturating_sub(w.submitted_at_ms);
            let takes_kept = urgent || w.is_urgent();
            let spares_gangs = takes_kept && age < URGENT_RESERVATION_WAIT_MS;
            let takes = |m: &Machine| {
                (m.queued.is_empty() || urgent)
                    && self.cluster.has_capacity(m, spec)
                    && self.cluster.is_eligible(context, m, w)
                    && (takes_kept
                        || !self.scheduling.reservations.is_reserved_for_other(
                            &self.cluster.jobs,
                            &m.id,
                            job,
                        ))
                    && (urgent
                        || !self
                            .scheduling
                            .reservations
                            .is_being_cleared(context.now.monotonic_ms, &m.id))
                    && !(spares_gangs
                        && self.scheduling.reservations.is_gang_reserved_for_other(
                            &self.cluster.jobs,
                            &m.id,
                            job,
                        ))
            };
            // Once one of its tasks is there, a machine is the best for the next as well.
            let same = target
                .take()
                .filter(|id| self.cluster.machines.get(id).is_some_and(takes));
            let find = || self.machines_by_first_fit(roomy, spec, takes);
            target = same.or_else(|| match pools.get_or_build(w, find) {
                Some(pool) => {
                    let full = |id: &String| !self.cluster.machines.get(id).is_some_and(takes);
                    while pool.machines.last().is_some_and(full) {
                        pool.machines.pop();
                    }
                    pool.machines.last().cloned()
                }
                None => find().pop(),
            });
            let Some(id) = &target else { return false };
            let id = id.clone();
            if !self.cluster.place_task(&id, job, index) {
                return false;
            }
        }
    }
}
