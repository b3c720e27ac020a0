//! The one exception to the order of the design: work that has waited for long. By its rules a
//! job whose tasks are large, late or dropped has only leftover room, and none is left over
//! while small work keeps arriving. So from time to time a part of its tasks goes before all
//! but urgent work: it takes the room there is, and where none fits, one machine's room, or the
//! team's, is kept for it until it does.
use super::reservations::AgingReservation;
use super::state::SchedulingState;
use crate::api::Millis;
use crate::cluster::ClusterState;
use crate::cluster::{JobState, Machine};
use crate::context::LeaderContext;
use std::collections::HashMap;
use stonegw_constants::{
    DEFERRED_PLACEMENT_MS, DEFERRED_PLACEMENT_QUEUED_MS, RESOURCE_EPSILON, STARVATION_MS,
    STARVATION_REPEAT_MS, STARVED_TASKS_DIVISOR,
};
use stonegw_wire::msg::JobSpec;

/// Places jobs that have waited for long.
pub struct Aging<'a> {
    cluster: &'a mut ClusterState,
    scheduling: &'a mut SchedulingState,
}

impl<'a> Aging<'a> {
    pub fn new(cluster: &'a mut ClusterState, scheduling: &'a mut SchedulingState) -> Self {
        Aging {
            cluster,
            scheduling,
        }
    }
}

impl Aging<'_> {
    /// Sets down who is owed a start.
    fn update_starved_tasks(&mut self, context: &LeaderContext) {
        let now = context.now.monotonic_ms;
        for (id, w) in &mut self.cluster.jobs {
            // No room is kept for a job that fails everywhere.
            let broken = w.failures.job_is_broken();
            if w.pending_tasks.is_empty() || w.end_write_in_flight || w.is_urgent() || broken {
                w.starved_tasks = 0;
                continue;
            }
            let age = context.now.wall_ms.saturating_sub(w.submitted_at_ms);
            let waited = match w.last_placed_at {
                Some(at) => now >= at + STARVATION_REPEAT_MS,
                None if w.done_count > 0
                    || self.cluster.machines.present_tasks(id).next().is_some() =>
                {
                    // Begun under an earlier leader.
                    w.last_placed_at = Some(now);
                    false
                }
                None => age >= STARVATION_MS,
            };
            if waited && w.starved_tasks == 0 {
                w.starved_tasks = (w.spec.task_count as usize).div_ceil(STARVED_TASKS_DIVISOR);
            }
        }
    }

    /// Starts what is owed, the longest accepted first.
    pub fn place_starved(&mut self, context: &LeaderContext) {
        self.update_starved_tasks(context);
        let mut waiting: Vec<(u64, String)> = self
            .cluster
            .jobs
            .iter()
            .filter(|(_, w)| w.starved_tasks > 0 && context.now.monotonic_ms >= w.retry_at)
            .map(|(id, w)| (w.submitted_at_ms, id.clone()))
            .collect();
        waiting.sort();
        let works = &self.cluster.jobs;
        let owed = |job: &String| works.get(job).is_some_and(|w| w.starved_tasks > 0);
        self.scheduling
            .reservations
            .aging_reservations
            .retain(|job, _| owed(job));
        for (_, job) in waiting {
            while self.place_starved_task(context, &job) {}
            if self
                .cluster
                .jobs
                .get(&job)
                .is_none_or(|w| w.starved_tasks == 0)
            {
                self.scheduling.reservations.aging_reservations.remove(&job);
            }
        }
    }

    /// Room that the mapping leaves free goes, first fit, to jobs without a start for a while, whose
    /// tasks it put off for too small a chance or queued behind others elsewhere: a low chance is
    /// better than none beside an idle machine. Room that queued tasks wait for is taken later.
    pub fn place_deferred(&mut self, context: &LeaderContext) {
        let now = context.now.monotonic_ms;
        let waited = |w: &JobState| {
            w.last_placed_at.map_or_else(
                || context.now.wall_ms.saturating_sub(w.submitted_at_ms),
                |at| now.saturating_sub(at),
            )
        };
        let waits = |id: &str, w: &JobState| {
            waited(w) >= DEFERRED_PLACEMENT_MS
                && (!w.pending_tasks.is_empty() || self.cluster.machines.queued_count(id) > 0)
                && !w.end_write_in_flight
                && now >= w.retry_at
        };
        let waiting = self.cluster.jobs.iter().filter(|(id, w)| waits(id, w));
        let queued = |w: &JobState| waited(w) >= DEFERRED_PLACEMENT_QUEUED_MS;
        let waiting = waiting.map(|(id, w)| (w.submitted_at_ms, id.clone(), queued(w)));
        let mut waiting: Vec<(u64, String, bool)> = waiting.collect();
        if waiting.is_empty() {
            return;
        }
        waiting.sort();
        let roomy = self.cluster.machines_with_capacity(context);
        let kept_for_s = self.backfill_windows_s(context);
        for (_, job, queued) in waiting {
            let Some(spec) = self.cluster.jobs.get(&job).map(|w| w.spec.clone()) else {
                continue;
            };
            let run_s = self.scheduling.estimates.mean_run_s(&spec);
            // Room kept for another is lent for as long as that one can't start there anyway.
            let lent = |id: &String| queued && kept_for_s.get(id).is_some_and(|s| run_s <= *s);
            let lent: Vec<String> = roomy.iter().filter(|id| lent(id)).cloned().collect();
            while self.place_deferred_task(context, &job, &roomy, &lent, queued) {}
        }
    }

    /// Machines with room that is kept, and in how many seconds about enough will have ended there
    /// for the task it is kept for.
    fn backfill_windows_s(&mut self, context: &LeaderContext) -> HashMap<String, f64> {
        let mut out = HashMap::new();
        for (job, kept) in &self.scheduling.reservations.aging_reservations.clone() {
            let (AgingReservation::Machine(id), Some(w)) = (kept, self.cluster.jobs.get(job))
            else {
                continue;
            };
            let spec = w.spec.clone();
            if let Some(s) = self.capacity_available_in_s(context, id, &spec) {
                out.insert(id.clone(), s);
            }
        }
        out
    }

    /// Seconds until what runs on a machine has left room for a task, by the mean run times. `None`: what
    /// is there does not end by itself.
    fn capacity_available_in_s(
        &mut self,
        context: &LeaderContext,
        machine: &str,
        spec: &JobSpec,
    ) -> Option<f64> {
        let m = self.cluster.machines.get(machine)?;
        let (mut cpus, mut gpus, mut memory) =
            m.free_resources(self.cluster.machine_type(&m.machine_type)?);
        let mut ends: Vec<(f64, f64, f64, f64)> = vec![];
        for p in m.placements.iter().filter(|p| p.is_present()) {
            let Some(w) = self.cluster.jobs.get(&p.job).filter(|w| !w.is_urgent()) else {
                continue;
            };
            let ran_s = p.running_at.map_or(0.0, |at| {
                context.now.monotonic_ms.saturating_sub(at) as f64 / 1e3
            });
            // One that has run for longer than the mean may go on for as long again.
            let left_s = (self.scheduling.estimates.mean_run_s(&w.spec) - ran_s).abs();
            ends.push((left_s, p.cpus, p.gpus, p.memory_gb));
        }
        ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (left_s, c, g, mem) in ends {
            (cpus, gpus, memory) = (cpus + c, gpus + g, memory + mem);
            let fits = cpus + RESOURCE_EPSILON >= spec.cpus
                && gpus + RESOURCE_EPSILON >= spec.gpus
                && memory + RESOURCE_EPSILON >= spec.memory_gb;
            if fits {
                return Some(left_s);
            }
        }
        None
    }

    /// `lent`: machines whose room is kept for another but not needed yet. `queued`: machines with a
    /// queue will do as well.
    fn place_deferred_task(
        &mut self,
        context: &LeaderContext,
        job: &str,
        roomy: &[String],
        lent: &[String],
        queued: bool,
    ) -> bool {
        let Some(w) = self.cluster.jobs.get(job) else {
            return false;
        };
        let held = self.cluster.machines.first_queued(job);
        let Some(index) = w.pending_tasks.first().copied().or(held) else {
            return false;
        };
        let spec = &w.spec;
        let startable = w.start_limit(context.now.monotonic_ms) > 0;
        if !startable
            || !self.cluster.within_limit(context, spec, (0.0, 0.0))
            || self
                .scheduling
                .reservations
                .is_team_reserved_for_other(spec)
        {
            return false;
        }
        let takes = |m: &&Machine| {
            (queued || m.queued.is_empty())
                && self.cluster.has_capacity(m, spec)
                && self.cluster.is_eligible(context, m, w)
                && (!self.scheduling.reservations.is_reserved_for_other(
                    &self.cluster.jobs,
                    &m.id,
                    job,
                ) || lent.contains(&m.id))
                && !self
                    .scheduling
                    .reservations
                    .is_being_cleared(context.now.monotonic_ms, &m.id)
        };
        let fit = roomy.iter().filter_map(|id| self.cluster.machines.get(id));
        let fit = fit.filter(takes);
        let fit = fit.min_by_key(|m| (!m.queued.is_empty(), self.cluster.first_fit_key(m, spec)));
        let Some(id) = fit.map(|m| m.id.clone()) else {
            return false;
        };
        log::debug!("{job}/{index} was put off for long and takes room on {id}");
        self.cluster.dequeue(job, index);
        let placed = self.cluster.place_task(&id, job, index);
        if !placed {
            self.cluster.requeue_task(job, index);
        }
        placed
    }

    /// Places one task that is owed. False: there is none, or no room for it yet.
    fn place_starved_task(&mut self, context: &LeaderContext, job: &str) -> bool {
        let Some(w) = self.cluster.jobs.get(job).filter(|w| w.starved_tasks > 0) else {
            return false;
        };
        let Some(index) = w
            .next_unpruned()
            .or_else(|| w.pending_tasks.first().copied())
        else {
            return false;
        };
        if w.start_limit(context.now.monotonic_ms) == 0 {
            return false;
        }
        let spec = w.spec.clone();
        if !self.cluster.within_limit(context, &spec, (0.0, 0.0)) {
            let kept = AgingReservation::TeamLimit(spec.team);
            self.scheduling
                .reservations
                .aging_reservations
                .insert(job.into(), kept);
            return false;
        }
        let fit = self
            .cluster
            .machines
            .values()
            .filter(|m| {
                self.cluster.has_capacity(m, &spec)
                    && self.cluster.is_eligible(context, m, w)
                    && !self.scheduling.reservations.is_reserved_for_other(
                        &self.cluster.jobs,
                        &m.id,
                        job,
                    )
            })
            .min_by_key(|m| self.cluster.first_fit_key(m, &spec))
            .map(|m| m.id.clone());
        if let Some(id) = fit {
            return self.cluster.place_task(&id, job, index);
        }
        let usable = |id: &str| {
            self.cluster
                .machines
                .get(id)
                .is_some_and(|m| self.cluster.is_eligible(context, m, w))
        };
        if matches!(self.scheduling.reservations.aging_reservations.get(job), Some(AgingReservation::Machine(id)) if usable(id))
        {
            return false;
        }
        self.scheduling.reservations.aging_reservations.remove(job);
        if let Some(id) = self.machine_for_aging_reservation(context, job, w) {
            log::info!("{job} waited for long: room on {id} is kept for it");
            self.scheduling
                .reservations
                .aging_reservations
                .insert(job.into(), AgingReservation::Machine(id));
        }
        false
    }

    /// Where least has to end for a task of the job to fit.
    fn machine_for_aging_reservation(
        &self,
        context: &LeaderContext,
        job: &str,
        w: &JobState,
    ) -> Option<String> {
        let spec = &w.spec;
        let holds = |m: &Machine| {
            self.cluster.machine_type(&m.machine_type).is_some_and(|t| {
                t.cpus + RESOURCE_EPSILON >= spec.cpus
                    && t.gpus + RESOURCE_EPSILON >= spec.gpus
                    && t.memory_gb + RESOURCE_EPSILON >= spec.memory_gb
            })
        };
        self.cluster
            .machines
            .values()
            .filter(|m| {
                holds(m)
                    && self.cluster.is_eligible(context, m, w)
                    && !self.scheduling.reservations.is_reserved_for_other(
                        &self.cluster.jobs,
                        &m.id,
                        job,
                    )
            })
            .min_by_key(|m| {
                (
                    (self.cluster.urgent_usage(m).0 * 1e3) as i64,
                    (m.used_resources().0 * 1e3) as Millis,
                )
            })
            .map(|m| m.id.clone())
    }
}
