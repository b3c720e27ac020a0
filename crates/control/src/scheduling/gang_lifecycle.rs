//! Gangs are jobs whose tasks either all run at the same time or don't run at all.
//!
//! A gang is started as one attempt. Every task gets the same attempt number, and all placements
//! are stored before the first start command is sent. When one task of the attempt is lost, the
//! whole attempt ends. The next attempt begins only once every task of the previous one is proven
//! to be terminated. A task therefore never runs twice, and limits and zones need no exception for
//! gangs.
//!
//! The waiting tasks of a gang are not in `JobState::pending_tasks`, so code that places single
//! tasks can't take one of them.
use super::estimates::RunTimeEstimates;
use crate::api::Millis;
use crate::cluster::{ClusterState, GangState, JobState, Machine, Phase};
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

/// Returns the state of a gang that follows from its previous state and its members. `tasks` is the
/// number of tasks of the gang.
fn next_gang_state(now: Millis, state: GangState, members: &[GangMember], tasks: u32) -> GangState {
    let Some(attempt) = members.iter().map(|member| member.attempt).max() else {
        return GangState::Waiting;
    };
    let current = members
        .iter()
        .filter(|member| member.attempt == attempt && !member.is_stopping);
    let indexes: BTreeSet<u32> = current.clone().map(|member| member.index).collect();
    if indexes.len() < tasks as usize {
        return GangState::Ending;
    }
    if current
        .clone()
        .any(|member| member.phase == Phase::Unstored)
    {
        return GangState::Storing { attempt };
    }
    if current.clone().any(|member| member.phase != Phase::Running) {
        return GangState::Starting { attempt };
    }
    match state {
        GangState::Running {
            attempt: running, ..
        } if running == attempt => state,
        _ => GangState::Running {
            attempt,
            running_since: now,
        },
    }
}

/// Advances gangs from state to state as their tasks change, and stops whole gangs.
pub struct GangLifecycle<'a> {
    cluster: &'a mut ClusterState,
}

impl<'a> GangLifecycle<'a> {
    /// Creates a `GangLifecycle` for this cluster.
    pub fn new(cluster: &'a mut ClusterState) -> Self {
        GangLifecycle { cluster }
    }
}

impl GangLifecycle<'_> {
    /// Returns the tasks of a gang that may be on machines, of any attempt.
    fn gang_members(&self, job: &str) -> Vec<GangMember> {
        let mut members = vec![];
        for id in self.cluster.machines.machines_of_job(job) {
            let Some(machine) = self.cluster.machines.get(&id) else {
                continue;
            };
            let of_gang = machine
                .placements
                .iter()
                .filter(|placement| placement.job == job && placement.is_present());
            members.extend(of_gang.map(|placement| GangMember {
                machine: id.clone(),
                index: placement.index,
                attempt: placement.attempt,
                phase: placement.phase,
                is_stopping: placement.stop_grace_s.is_some(),
            }));
        }
        members
    }

    /// Advances every gang to the state that follows from its tasks.
    pub fn advance_gangs(&mut self, context: &LeaderContext) {
        let now = context.now.monotonic_ms;
        if !self.cluster.gangs_changed && now < self.cluster.next_gang_check_at {
            return;
        }
        self.cluster.gangs_changed = false;
        self.cluster.next_gang_check_at = now + GANG_CHECK_INTERVAL_MS;
        let jobs = self.cluster.jobs.iter();
        let gangs: Vec<String> = jobs
            .filter(|(_, job)| job.gang.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        for job in gangs {
            self.advance_gang(context, &job);
        }
    }

    fn advance_gang(&mut self, context: &LeaderContext, job_id: &str) {
        let now = context.now.monotonic_ms;
        let members = self.gang_members(job_id);
        let Some(job) = self.cluster.jobs.get_mut(job_id) else {
            return;
        };
        let task_count = job.spec.task_count;
        let is_done = job.done_count == task_count;
        let Some(gang) = &mut job.gang else { return };
        let before = gang.state;
        let next = next_gang_state(now, before, &members, task_count);
        gang.set_state(job_id, next);
        match next {
            // The gang is done. Only its results remain to be stored, and its last tasks are about
            // to exit.
            _ if is_done => {}
            GangState::Waiting if before != GangState::Waiting => {
                gang.last_attempt_ended_at = Some(now);
                self.cluster.scheduling_needed = true;
            }
            GangState::Waiting | GangState::Storing { .. } => {}
            GangState::Starting { attempt } => {
                self.mark_startable(job_id, attempt, &members);
                if self.is_eviction_imminent(context, job_id, &members) {
                    self.stop_gang(context, job_id);
                }
            }
            GangState::Running { .. } => {
                let job = self.cluster.jobs.get(job_id);
                if job.is_some_and(JobState::can_checkpoint)
                    && self.is_eviction_imminent(context, job_id, &members)
                {
                    self.stop_gang(context, job_id);
                }
            }
            GangState::Ending => self.stop_gang_members(&members, job_id, 0.0),
        }
    }

    /// Marks the tasks of an attempt as startable. All placements of the attempt are stored, so its
    /// start commands may be sent.
    fn mark_startable(&mut self, job: &str, attempt: u64, members: &[GangMember]) {
        for member in members
            .iter()
            .filter(|member| member.phase == Phase::Stored)
        {
            let Some(mut machine) = self.cluster.machines.edit(&member.machine) else {
                continue;
            };
            for placement in &mut machine.placements {
                if placement.job == job
                    && placement.attempt == attempt
                    && placement.phase == Phase::Stored
                {
                    placement.set_phase(Phase::Startable);
                }
            }
        }
    }

    /// Returns whether the cloud will evict a machine of the gang so soon that the gang has to be
    /// stopped now to leave its tasks time for a checkpoint.
    fn is_eviction_imminent(
        &self,
        context: &LeaderContext,
        job: &str,
        members: &[GangMember],
    ) -> bool {
        let Some(job) = self.cluster.jobs.get(job) else {
            return false;
        };
        let stop_s = job.spec.checkpoint_duration_s
            + context.settings.gang_loss_detection_s
            + STOP_GRACE_MARGIN_S;
        let stopped_at = context.now.monotonic_ms + (stop_s * 1e3) as Millis;
        let mut machines = members
            .iter()
            .filter_map(|member| self.cluster.machines.get(&member.machine));
        machines.any(|machine| {
            let eviction_at = machine.eviction_at;
            eviction_at.is_some_and(|eviction_at| stopped_at >= eviction_at)
        })
    }

    /// Stops the whole gang. If the gang is running and all its machines can be reached, its tasks
    /// get a grace period to checkpoint.
    pub fn stop_gang(&mut self, context: &LeaderContext, job_id: &str) {
        let members = self.gang_members(job_id);
        let Some(job) = self.cluster.jobs.get(job_id) else {
            return;
        };
        let gang = job.gang.as_ref();
        let is_running = gang.is_some_and(|gang| matches!(gang.state, GangState::Running { .. }));
        let may_checkpoint =
            is_running && job.can_checkpoint() && self.are_all_reachable(context, &members);
        let grace_s = if may_checkpoint {
            job.checkpoint_grace_s()
        } else {
            0.0
        };
        log::info!("gang {job_id} is stopped, grace period {grace_s} s");
        self.stop_gang_members(&members, job_id, grace_s);
        self.cluster.gangs_changed = true;
    }

    /// Returns whether a command to each of these machines would most likely arrive at once. A stop
    /// command that reaches only some of a gang's tasks in time saves nothing.
    fn are_all_reachable(&self, context: &LeaderContext, members: &[GangMember]) -> bool {
        let now = context.now.monotonic_ms;
        let heartbeat_interval_s = context.settings.heartbeat_interval_s;
        let is_reachable = |machine: &Machine| {
            !machine.is_silent(now, heartbeat_interval_s)
                && !machine.via_store
                && machine.under_current_term
                && machine.is_trusted()
                && machine.commands.call_in_flight.is_none()
                && machine.addr.is_some()
        };
        members.iter().all(|member| {
            let machine = self.cluster.machines.get(&member.machine);
            machine.is_some_and(is_reachable)
        })
    }

    fn stop_gang_members(&mut self, members: &[GangMember], job: &str, grace_s: f64) {
        for member in members.iter().filter(|member| !member.is_stopping) {
            let Some(mut machine) = self.cluster.machines.edit(&member.machine) else {
                continue;
            };
            for placement in &mut machine.placements {
                if placement.job == job && placement.is_present() {
                    placement.stop_grace_s.get_or_insert(grace_s);
                }
            }
        }
    }

    /// Marks all tasks of a gang as done. The tasks complete together, so one that is done means
    /// that all are. The gang counts as one observation of its run time, and only if its whole run
    /// was observed.
    pub fn finish_gang(
        &mut self,
        estimates: &mut RunTimeEstimates,
        now: Millis,
        job_id: &str,
        machine_type: &str,
    ) {
        let term = self.cluster.term;
        let Some(job) = self.cluster.jobs.get_mut(job_id) else {
            return;
        };
        for index in 0..job.spec.task_count {
            job.done_tasks.set(index);
        }
        job.done_count = job.spec.task_count;
        if let Some(run_s) = observed_run_s(term, now, job) {
            estimates.record_run(&job.spec, machine_type, run_s);
        }
        self.cluster.jobs_to_store.insert(job_id.to_owned());
    }
}

/// Returns how long a gang ran, in seconds, if it had only one attempt and this leader observed all
/// of it.
fn observed_run_s(term: u64, now: Millis, job: &JobState) -> Option<f64> {
    let gang = job.gang.as_ref()?;
    let GangState::Running {
        attempt,
        running_since,
    } = gang.state
    else {
        return None;
    };
    let is_current_term = attempt / ATTEMPTS_PER_TERM == term;
    let is_fully_observed = gang.attempts_begun == 1 && !gang.is_run_untimed && is_current_term;
    is_fully_observed.then(|| now.saturating_sub(running_since) as f64 / 1e3)
}

#[cfg(test)]
#[path = "gang_lifecycle_tests.rs"]
mod tests;
