//! Gangs: jobs whose tasks all run at the same time, or none does.
//!
//! A gang is started as one attempt: every task gets the same attempt number, all placements are
//! stored before the first `run` goes out, and when one task of the attempt is lost the whole
//! attempt ends. The next attempt begins only once every task of the last is proven gone, so a
//! task never runs twice and limits and zones need no exception. A gang's waiting tasks are not
//! in `JobState::pending_tasks`: nothing that places single tasks can take one of them.
use super::estimates::RunTimeEstimates;
use crate::api::Millis;
use crate::cluster::ClusterState;
use crate::cluster::{GangState, Phase};
use crate::context::LeaderContext;
use std::collections::BTreeSet;
use stonegw_constants::{ATTEMPTS_PER_TERM, GANG_CHECK_INTERVAL_MS, STOP_GRACE_MARGIN_S};

/// A task of a gang that may be on a machine.
#[derive(Clone, Debug)]
struct GangMember {
    machine: String,
    index: u32,
    attempt: u64,
    phase: Phase,
    is_stopping: bool,
}

/// The state that follows from what is known of the tasks.
fn next_gang_state(now: Millis, state: GangState, members: &[GangMember], tasks: u32) -> GangState {
    let Some(attempt) = members.iter().map(|m| m.attempt).max() else {
        return GangState::Waiting;
    };
    let current = members
        .iter()
        .filter(|m| m.attempt == attempt && !m.is_stopping);
    let indexes: BTreeSet<u32> = current.clone().map(|m| m.index).collect();
    if indexes.len() < tasks as usize {
        return GangState::Ending;
    }
    if current.clone().any(|m| m.phase == Phase::Unstored) {
        return GangState::Storing { attempt };
    }
    if current.clone().any(|m| m.phase != Phase::Running) {
        return GangState::Starting { attempt };
    }
    match state {
        GangState::Running { attempt: a, .. } if a == attempt => state,
        _ => GangState::Running {
            attempt,
            running_since: now,
        },
    }
}

/// Takes gangs from state to state as their tasks change, and stops them whole.
pub struct GangLifecycle<'a> {
    cluster: &'a mut ClusterState,
}

impl<'a> GangLifecycle<'a> {
    pub fn new(cluster: &'a mut ClusterState) -> Self {
        GangLifecycle { cluster }
    }
}

impl GangLifecycle<'_> {
    /// A gang's tasks that may be on machines, of any attempt.
    fn gang_members(&self, job: &str) -> Vec<GangMember> {
        let mut members = vec![];
        for id in self.cluster.machines.machines_of_job(job) {
            let placements = self.cluster.machines.get(&id).into_iter();
            let placements = placements.flat_map(|m| &m.placements);
            for p in placements.filter(|p| p.job == job && p.is_present()) {
                members.push(GangMember {
                    machine: id.clone(),
                    index: p.index,
                    attempt: p.attempt,
                    phase: p.phase,
                    is_stopping: p.stop_grace_s.is_some(),
                });
            }
        }
        members
    }

    /// Takes every gang to the state that follows from its tasks.
    pub fn advance_gangs(&mut self, context: &LeaderContext) {
        let now = context.now.monotonic_ms;
        if !self.cluster.gangs_changed && now < self.cluster.next_gang_check_at {
            return;
        }
        self.cluster.gangs_changed = false;
        self.cluster.next_gang_check_at = now + GANG_CHECK_INTERVAL_MS;
        let gangs = self.cluster.jobs.iter().filter(|(_, w)| w.gang.is_some());
        let gangs: Vec<String> = gangs.map(|(id, _)| id.clone()).collect();
        for job in gangs {
            self.advance_gang(context, &job);
        }
    }

    fn advance_gang(&mut self, context: &LeaderContext, job: &str) {
        let now = context.now.monotonic_ms;
        let members = self.gang_members(job);
        let Some(work) = self.cluster.jobs.get_mut(job) else {
            return;
        };
        let tasks = work.spec.task_count;
        let done = work.done_count == tasks;
        let Some(gang) = &mut work.gang else { return };
        let before = gang.state;
        let next = next_gang_state(now, before, &members, tasks);
        gang.set_state(job, next);
        match next {
            // What is done has only to be stored; its last tasks are about to exit.
            _ if done => {}
            GangState::Waiting if before != GangState::Waiting => {
                gang.last_attempt_ended_at = Some(now);
                self.cluster.scheduling_needed = true;
            }
            GangState::Waiting | GangState::Storing { .. } => {}
            GangState::Starting { attempt } => {
                self.mark_startable(job, attempt, &members);
                if self.is_eviction_imminent(context, job, &members) {
                    self.stop_gang(context, job);
                }
            }
            GangState::Running { .. } => {
                if self.can_checkpoint(job) && self.is_eviction_imminent(context, job, &members) {
                    self.stop_gang(context, job);
                }
            }
            GangState::Ending => self.stop_gang_members(&members, job, 0.0),
        }
    }

    /// All placements of the attempt are stored: its `run` commands may go out.
    fn mark_startable(&mut self, job: &str, attempt: u64, members: &[GangMember]) {
        for member in members.iter().filter(|m| m.phase == Phase::Stored) {
            let Some(mut machine) = self.cluster.machines.edit(&member.machine) else {
                continue;
            };
            let of_attempt = machine
                .placements
                .iter_mut()
                .filter(|p| p.job == job && p.attempt == attempt && p.phase == Phase::Stored);
            of_attempt.for_each(|p| p.set_phase(Phase::Startable));
        }
    }

    /// Whether a machine of the gang is taken away so soon that its tasks have to save now.
    fn is_eviction_imminent(
        &self,
        context: &LeaderContext,
        job: &str,
        members: &[GangMember],
    ) -> bool {
        let Some(work) = self.cluster.jobs.get(job) else {
            return false;
        };
        let stop_s = work.spec.checkpoint_duration_s
            + context.settings.gang_loss_detection_s
            + STOP_GRACE_MARGIN_S;
        let last_moment = context.now.monotonic_ms + (stop_s * 1e3) as Millis;
        let mut machines = members
            .iter()
            .filter_map(|m| self.cluster.machines.get(&m.machine));
        machines.any(|m| m.eviction_at.is_some_and(|gone_at| last_moment >= gone_at))
    }

    fn can_checkpoint(&self, job: &str) -> bool {
        let work = self.cluster.jobs.get(job);
        work.is_some_and(|w| w.spec.checkpoint_interval_s > 0.0)
    }

    /// Stops the whole gang. Where every machine of it can be reached its tasks save.
    pub fn stop_gang(&mut self, context: &LeaderContext, job: &str) {
        let members = self.gang_members(job);
        let Some(work) = self.cluster.jobs.get(job) else {
            return;
        };
        let running = work
            .gang
            .as_ref()
            .is_some_and(|g| matches!(g.state, GangState::Running { .. }));
        let saves =
            running && self.can_checkpoint(job) && self.are_all_reachable(context, &members);
        let grace_s = if saves {
            work.spec.checkpoint_duration_s + STOP_GRACE_MARGIN_S
        } else {
            0.0
        };
        log::info!("gang {job} is stopped, {grace_s} s to save");
        self.stop_gang_members(&members, job, grace_s);
        self.cluster.gangs_changed = true;
    }

    /// Whether a command to each of these machines would most likely arrive at once. A stop that
    /// reaches only some of a gang's tasks in time saves nothing.
    fn are_all_reachable(&self, context: &LeaderContext, members: &[GangMember]) -> bool {
        members.iter().all(|member| {
            self.cluster.machines.get(&member.machine).is_some_and(|m| {
                let heard = !m.is_silent(
                    context.now.monotonic_ms,
                    context.settings.heartbeat_interval_s,
                ) && !m.via_store
                    && m.under_current_term;
                heard && m.is_trusted() && m.command_in_flight.is_none() && m.addr.is_some()
            })
        })
    }

    fn stop_gang_members(&mut self, members: &[GangMember], job: &str, grace_s: f64) {
        for member in members.iter().filter(|m| !m.is_stopping) {
            let Some(mut machine) = self.cluster.machines.edit(&member.machine) else {
                continue;
            };
            let of_gang = machine
                .placements
                .iter_mut()
                .filter(|p| p.job == job && p.is_present());
            of_gang.for_each(|p| {
                p.stop_grace_s.get_or_insert(grace_s);
            });
        }
    }

    /// One task of a gang was done, so all are: they complete together. The gang counts as one
    /// observation of its run time, and only if all of the run was seen.
    pub fn finish_gang(
        &mut self,
        estimates: &mut RunTimeEstimates,
        now: Millis,
        job: &str,
        machine_type: &str,
    ) {
        let Some(work) = self.cluster.jobs.get_mut(job) else {
            return;
        };
        for index in 0..work.spec.task_count {
            work.done_tasks.set(index);
        }
        work.done_count = work.spec.task_count;
        let first_attempt_run = work.gang.as_ref().and_then(|gang| match gang.state {
            GangState::Running {
                attempt,
                running_since: since,
            } if gang.attempts_begun == 1 && !gang.is_run_untimed => {
                let ours = attempt / ATTEMPTS_PER_TERM == self.cluster.term;
                ours.then(|| now.saturating_sub(since) as f64 / 1e3)
            }
            _ => None,
        });
        if let Some(run_s) = first_attempt_run {
            let spec = work.spec.clone();
            estimates.record_run(&spec, machine_type, run_s);
        }
        self.cluster.jobs_to_store.insert(job.to_owned());
    }
}

#[cfg(test)]
#[path = "gang_lifecycle_tests.rs"]
mod tests;
