//! Gangs. The tasks of one attempt wait for each other on their machines, start together and finish
//! together; if all of them are stopped in time, they save their progress together.
use super::event::{FollowUp, SimulationEvent};
use super::gang_run::{GangRun, GangRunPhase};
use super::simulation::Simulation;
use crate::stand_ins::{
    parse_task_id, GangRunId, Ms, TaskKey, GANG_PEER_TIMEOUT_MS, TASK_FAILURE_DELAY_MS,
};
use std::collections::BTreeMap;
use stonegw_wire::msg::{ExitCause, JobKind, JobSpec, TaskState};

/// One attempt of a gang.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct GangAttempt {
    job_id: String,
    attempt: u64,
}

/// The machines of a gang's waiting tasks, by task index.
type MachinesByTaskIndex = BTreeMap<u32, String>;

/// The current state of a task in a run.
#[derive(PartialEq)]
enum MemberState {
    Running,
    Hung,
    Missing,
}

/// The exit of a task of a failed run.
struct MemberExit {
    machine_id: String,
    key: TaskKey,
    cause: ExitCause,
    progress_saved: Option<bool>,
}

/// Returns the time that a task of the job needs to save its progress.
fn save_duration_ms(spec: &JobSpec) -> Ms {
    (spec.checkpoint_duration_s * 1e3) as Ms
}

impl Simulation {
    /// Starts gangs that are complete and advances their runs.
    pub(super) fn advance_gangs(&mut self) {
        let mut jobs = self.jobs.values();
        if !jobs.any(|job| job.spec.kind == JobKind::Gang) {
            return;
        }
        self.start_complete_gangs();
        for run_id in self.gang_runs.ids() {
            self.advance_gang_run(run_id);
        }
    }

    // ---- Start ----------------------------------------------------------------------------

    /// Starts each attempt whose tasks are all waiting.
    fn start_complete_gangs(&mut self) {
        for (gang, machines) in self.waiting_gangs() {
            if machines.len() == self.jobs[&gang.job_id].spec.task_count as usize {
                self.start_gang(gang, machines.into_values().collect());
            }
        }
    }

    /// Returns the attempts that have waiting tasks, with the machines of these tasks. Tasks on a
    /// hung machine are left out.
    fn waiting_gangs(&self) -> BTreeMap<GangAttempt, MachinesByTaskIndex> {
        let mut gangs: BTreeMap<GangAttempt, MachinesByTaskIndex> = BTreeMap::new();
        let workers = self.workers.values();
        for worker in workers.filter(|worker| self.now >= worker.hung_until) {
            for (key, task) in &worker.tasks {
                if task.state == TaskState::WaitingForGang {
                    let (job_id, index) = parse_task_id(&key.task_id);
                    let gang = GangAttempt {
                        job_id: job_id.to_owned(),
                        attempt: key.attempt,
                    };
                    let machines = gangs.entry(gang).or_default();
                    machines.insert(index, worker.id.clone());
                }
            }
        }
        gangs
    }

    /// Starts a gang; `machines` holds the machine of each task, by index.
    fn start_gang(&mut self, gang: GangAttempt, machines: Vec<String>) {
        let now = self.now;
        let GangAttempt { job_id, attempt } = gang;
        self.append_log(format!("gang {job_id}#{attempt} starts"));
        if !self.jobs[&job_id].finished_tasks.is_empty() {
            self.record_violation(format!(
                "ran_again {job_id} starts although it has finished tasks"
            ));
        }
        if self.jobs[&job_id].tasks_fail {
            let failure = FollowUp::FailTask(format!("{job_id}/0"));
            self.schedule_after(TASK_FAILURE_DELAY_MS, SimulationEvent::FollowUp(failure));
        }
        let job = self.jobs.get_mut(&job_id).expect("the job was submitted");
        job.started_at.get_or_insert(now);
        job.starved_since = None;
        job.gang_start_times.push(now);
        let run = GangRun {
            job_id,
            attempt,
            machines,
            initial_progress_ms: job.saved_progress_ms,
            started_at: now,
            phase: GangRunPhase::Running,
            stop_received_at: BTreeMap::new(),
        };
        let run_id = self.gang_runs.allocate_id();
        for index in run.task_indices() {
            self.start_gang_member(run_id, run.machine_of(index), &run.task_key(index));
        }
        self.gang_runs.by_id.insert(run_id, run);
    }

    fn start_gang_member(&mut self, run_id: GangRunId, machine_id: &str, key: &TaskKey) {
        let worker = self.worker_mut(machine_id);
        let task = worker
            .tasks
            .get_mut(key)
            .expect("the task waits on the machine");
        task.state = TaskState::Running;
        task.state_ends_at = Ms::MAX;
        task.gang_run_id = Some(run_id);
        worker.has_unreported_changes = true;
        self.schedule_worker_wakeup(machine_id, self.now);
    }

    // ---- Run ------------------------------------------------------------------------------

    fn member_state(&self, run_id: GangRunId, index: u32) -> MemberState {
        let run = self.gang_runs.get(run_id);
        let Some(worker) = self.workers.get(run.machine_of(index)) else {
            return MemberState::Missing;
        };
        let task = worker.tasks.get(&run.task_key(index));
        match task.filter(|task| task.gang_run_id == Some(run_id) && task.is_present()) {
            None => MemberState::Missing,
            Some(_) if self.now < worker.hung_until => MemberState::Hung,
            Some(_) => MemberState::Running,
        }
    }

    fn advance_gang_run(&mut self, run_id: GangRunId) {
        let now = self.now;
        let run = self.gang_runs.get(run_id);
        let members: Vec<MemberState> = run
            .task_indices()
            .map(|index| self.member_state(run_id, index))
            .collect();
        if members.iter().all(|member| *member == MemberState::Missing) {
            return self.remove_gang_run(run_id);
        }
        let all_running = members.iter().all(|member| *member == MemberState::Running);
        match run.phase {
            GangRunPhase::Running | GangRunPhase::Stopping { .. } if !all_running => {
                self.fail_gang_run(run_id)
            }
            GangRunPhase::Running => {
                if run.progress_at(now) >= self.jobs[&run.job_id].task_run_ms {
                    self.complete_gang_run(run_id);
                }
            }
            GangRunPhase::Stopping { since }
                if !run.have_all_received_stop() && now > since + GANG_PEER_TIMEOUT_MS =>
            {
                self.fail_gang_run(run_id);
            }
            GangRunPhase::Stopping { .. } | GangRunPhase::Saved => self.exit_saved_members(run_id),
            GangRunPhase::Failed { since } => self.exit_failed_members(run_id, since),
        }
    }

    /// Removes a run that has no task left.
    fn remove_gang_run(&mut self, run_id: GangRunId) {
        self.fail_gang_run(run_id);
        self.gang_runs.by_id.remove(&run_id);
    }

    /// Finishes a run: all its tasks exit as done.
    fn complete_gang_run(&mut self, run_id: GangRunId) {
        let run = self
            .gang_runs
            .by_id
            .remove(&run_id)
            .expect("the run exists");
        self.append_log(format!("gang {}#{} is done", run.job_id, run.attempt));
        for index in run.task_indices() {
            let key = run.task_key(index);
            self.exit_task(run.machine_of(index), &key, ExitCause::Done, None);
            self.record_task_done(&key);
        }
    }

    /// Fails a run: the job falls back to its last checkpoint. Does nothing if the run has already
    /// saved its progress or failed.
    fn fail_gang_run(&mut self, run_id: GangRunId) {
        let now = self.now;
        let run = self.gang_runs.get_mut(run_id);
        let progress_ms = match run.phase {
            GangRunPhase::Running => run.progress_at(now),
            GangRunPhase::Stopping { since } => run.progress_at(since),
            GangRunPhase::Saved | GangRunPhase::Failed { .. } => return,
        };
        run.phase = GangRunPhase::Failed { since: now };
        let job = self
            .jobs
            .get_mut(&run.job_id)
            .expect("the job was submitted");
        let interval_ms = (job.spec.checkpoint_interval_s * 1e3) as Ms;
        let checkpoints = progress_ms.checked_div(interval_ms).unwrap_or(0);
        job.saved_progress_ms = job.saved_progress_ms.max(checkpoints * interval_ms);
        let saved_s = job.saved_progress_ms as f64 / 1e3;
        let text = format!(
            "gang {}#{} fails with {saved_s:.1} s of progress saved",
            run.job_id, run.attempt
        );
        self.append_log(text);
    }

    /// Exits the tasks of a failed run. Tasks that received a stop exit when they would have
    /// finished saving, but their progress is not saved; the others exit when they detect the
    /// failure.
    fn exit_failed_members(&mut self, run_id: GangRunId, failed_at: Ms) {
        let run = self.gang_runs.get(run_id);
        let save_ms = save_duration_ms(&self.jobs[&run.job_id].spec);
        let mut exits = vec![];
        for index in run.task_indices() {
            let stop_received_at = run.stop_received_at.get(&index);
            let exit_at = match stop_received_at {
                Some(received_at) => failed_at.max(received_at + save_ms),
                None => failed_at + run.failure_detection_ms(index),
            };
            if self.now < exit_at || self.member_state(run_id, index) != MemberState::Running {
                continue;
            }
            let has_received_stop = stop_received_at.is_some();
            exits.push(MemberExit {
                machine_id: run.machine_of(index).to_owned(),
                key: run.task_key(index),
                cause: match has_received_stop {
                    true => ExitCause::Stopped,
                    false => ExitCause::GangMembersGone,
                },
                progress_saved: has_received_stop.then_some(false),
            });
        }
        for exit in exits {
            self.exit_task(&exit.machine_id, &exit.key, exit.cause, exit.progress_saved);
        }
    }

    // ---- Stop -----------------------------------------------------------------------------

    /// Handles a stop command for a task of a run.
    pub(super) fn stop_gang_member(
        &mut self,
        run_id: GangRunId,
        machine_id: &str,
        key: &TaskKey,
        grace_period_s: f64,
    ) {
        let now = self.now;
        let (job_id, index) = parse_task_id(&key.task_id);
        let spec = &self.jobs[job_id].spec;
        let has_checkpoints = spec.checkpoint_interval_s > 0.0;
        let can_save = has_checkpoints && grace_period_s >= spec.checkpoint_duration_s;
        let run = self.gang_runs.get_mut(run_id);
        let already_received_stop = run.stop_received_at.contains_key(&index);
        match run.phase {
            // The task is already saving. Another stop changes nothing, unless its grace period is
            // zero.
            GangRunPhase::Stopping { .. } | GangRunPhase::Saved
                if already_received_stop && grace_period_s > 0.0 =>
            {
                return
            }
            GangRunPhase::Running if can_save => {
                run.phase = GangRunPhase::Stopping { since: now };
                run.stop_received_at.insert(index, now);
                return;
            }
            GangRunPhase::Stopping { .. } if can_save && !already_received_stop => {
                run.stop_received_at.insert(index, now);
                return;
            }
            _ => {}
        }
        let is_saved = matches!(run.phase, GangRunPhase::Saved);
        let progress_saved = has_checkpoints.then_some(is_saved);
        self.exit_task(machine_id, key, ExitCause::Stopped, progress_saved);
        self.fail_gang_run(run_id);
    }

    /// Exits the tasks that have finished saving, once all tasks have received a stop. When the
    /// first of them exits, the progress counts as saved.
    fn exit_saved_members(&mut self, run_id: GangRunId) {
        let run = self.gang_runs.get(run_id);
        if !run.have_all_received_stop() {
            return;
        }
        let save_ms = save_duration_ms(&self.jobs[&run.job_id].spec);
        let exiting: Vec<u32> = run
            .task_indices()
            .filter(|index| self.now >= run.save_exit_at(*index, save_ms))
            .filter(|index| self.member_state(run_id, *index) == MemberState::Running)
            .collect();
        if exiting.is_empty() {
            return;
        }
        self.save_gang_progress(run_id);
        for index in exiting {
            let run = self.gang_runs.get(run_id);
            let machine_id = run.machine_of(index).to_owned();
            let key = run.task_key(index);
            self.exit_task(&machine_id, &key, ExitCause::Stopped, Some(true));
        }
    }

    /// Saves the progress that the run had made when its first task received a stop. Does nothing
    /// if the progress is already saved.
    fn save_gang_progress(&mut self, run_id: GangRunId) {
        let run = self.gang_runs.get_mut(run_id);
        let GangRunPhase::Stopping { since } = run.phase else {
            return;
        };
        run.phase = GangRunPhase::Saved;
        let progress_ms = run.progress_at(since);
        let job = self
            .jobs
            .get_mut(&run.job_id)
            .expect("the job was submitted");
        job.saved_progress_ms = progress_ms;
        let saved_s = progress_ms as f64 / 1e3;
        let text = format!(
            "gang {}#{} has saved {saved_s:.1} s of progress",
            run.job_id, run.attempt
        );
        self.append_log(text);
    }

    pub(super) fn exit_task(
        &mut self,
        machine_id: &str,
        key: &TaskKey,
        cause: ExitCause,
        progress_saved: Option<bool>,
    ) {
        if let Some(worker) = self.workers.get_mut(machine_id) {
            if let Some(task) = worker.tasks.get_mut(key) {
                task.exit(cause);
                task.progress_saved = progress_saved;
                worker.has_unreported_changes = true;
            }
        }
        self.append_log(format!("{key} exits: {cause:?}"));
        self.schedule_worker_wakeup(machine_id, self.now);
    }
}
