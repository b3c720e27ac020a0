//! Gangs: tasks of one attempt find each other across the machines, start together, are done
//! together, and save together when they are stopped in time.
use super::command::TASK_FAILURE_DELAY_MS;
use super::{job_id_of, parse_task_name, Simulation, GANG_PEER_TIMEOUT_MS};
use crate::stand_ins::{GangRunId, Ms, TaskKey};
use std::collections::BTreeMap;
use stonegw_wire::msg::*;

/// One run of a gang: the tasks that started together.
pub(super) struct GangRun {
    job_id: String,
    attempt: u64,
    /// The machine of each task, by number.
    machines: Vec<String>,
    /// The job's progress when it started.
    initial_progress_ms: Ms,
    started_at: Ms,
    phase: GangRunPhase,
    /// Which tasks were told to stop with enough grace, and when.
    stop_received_at: BTreeMap<u32, Ms>,
}

enum GangRunPhase {
    Running,
    /// A task was told to stop then; progress stands still since.
    Stopping(Ms),
    /// Every task was told in time, and the first has exited: progress is safe.
    Saved,
    /// A task disappeared then, or was not told to stop in time.
    Failed(Ms),
}

/// How a task of a run is at the moment.
#[derive(PartialEq)]
enum MemberState {
    Running,
    Hung,
    Gone,
}

impl GangRun {
    fn task_key(&self, index: u32) -> TaskKey {
        (format!("{}/{index}", self.job_id), self.attempt)
    }

    /// The job's progress at that moment, while nothing has stopped it.
    fn progress_at(&self, now: Ms) -> Ms {
        self.initial_progress_ms + (now - self.started_at)
    }

    fn have_all_received_stop(&self) -> bool {
        self.stop_received_at.len() == self.machines.len()
    }

    fn task_indices(&self) -> std::ops::Range<u32> {
        0..self.machines.len() as u32
    }

    /// When a task that was told to stop exits, if all were told in time.
    fn save_exit_at(&self, index: u32, save_ms: Ms) -> Ms {
        let last = self.stop_received_at.values().max().copied().unwrap_or(0);
        last.max(self.stop_received_at[&index] + save_ms)
    }

    /// How long after a failure a task notices it.
    fn failure_detection_ms(&self, index: u32) -> Ms {
        let quarters = 1 + (u64::from(index) + self.attempt) % 4;
        GANG_PEER_TIMEOUT_MS * quarters / 4
    }
}

/// How long a task of that job needs to save.
fn save_duration_ms(spec: &JobSpec) -> Ms {
    (spec.checkpoint_duration_s * 1e3) as Ms
}

impl Simulation {
    /// What happens to gangs in time.
    pub(super) fn advance_gangs(&mut self) {
        if !self.jobs.values().any(|j| j.spec.kind == JobKind::Gang) {
            return;
        }
        self.start_complete_gangs();
        let ids: Vec<GangRunId> = self.gang_runs.keys().copied().collect();
        for id in ids {
            self.advance_gang_run(id);
        }
    }

    // ---- Start ----------------------------------------------------------------------------

    /// Starts each attempt of which all tasks wait.
    fn start_complete_gangs(&mut self) {
        for ((job, attempt), waiting) in self.gathering_gangs() {
            if waiting.len() == self.jobs[&job].spec.task_count as usize {
                self.start_gang(job, attempt, waiting.into_values().collect());
            }
        }
    }

    /// Which tasks of each job and attempt wait for the others, and where. A hanging machine's
    /// task does not take part.
    fn gathering_gangs(&self) -> BTreeMap<(String, u64), BTreeMap<u32, String>> {
        let mut gangs: BTreeMap<_, BTreeMap<_, _>> = BTreeMap::new();
        let workers = self.workers.values();
        for w in workers.filter(|w| self.now >= w.hung_until) {
            let tasks = w.tasks.iter();
            for ((task, attempt), _) in tasks.filter(|(_, t)| t.state == TaskState::WaitingForGang)
            {
                let (job, index) = parse_task_name(task);
                let gang = gangs.entry((job.to_owned(), *attempt)).or_default();
                gang.insert(index, w.id.clone());
            }
        }
        gangs
    }

    fn start_gang(&mut self, job: String, attempt: u64, machines: Vec<String>) {
        let now = self.now;
        self.append_log(format!("gang {job}#{attempt} starts"));
        if !self.jobs[&job].finished_tasks.is_empty() {
            self.record_violation(format!("ran_again {job} after it was done"));
        }
        if self.jobs[&job].tasks_fail {
            self.schedule_line_after(
                TASK_FAILURE_DELAY_MS,
                vec!["fail".into(), format!("{job}/0")],
            );
        }
        let j = self.jobs.get_mut(&job).expect("job");
        j.started_at.get_or_insert(now);
        j.starved_since = None;
        j.gang_start_times.push(now);
        let run = GangRun {
            job_id: job,
            attempt,
            machines,
            initial_progress_ms: j.saved_progress_ms,
            started_at: now,
            phase: GangRunPhase::Running,
            stop_received_at: BTreeMap::new(),
        };
        let id = self.next_gang_run_id;
        self.next_gang_run_id += 1;
        for index in run.task_indices() {
            let machine = &run.machines[index as usize];
            let w = self.workers.get_mut(machine).expect("waits there");
            let t = w.tasks.get_mut(&run.task_key(index)).expect("waits there");
            (t.state, t.state_ends_at) = (TaskState::Running, Ms::MAX);
            t.gang_run_id = Some(id);
            w.has_unreported_changes = true;
            self.schedule_worker_wakeup(machine, now);
        }
        self.gang_runs.insert(id, run);
    }

    // ---- Run ------------------------------------------------------------------------------

    fn member_state(&self, id: GangRunId, index: u32) -> MemberState {
        let run = &self.gang_runs[&id];
        let Some(w) = self.workers.get(&run.machines[index as usize]) else {
            return MemberState::Gone;
        };
        let task = w.tasks.get(&run.task_key(index));
        match task.filter(|t| t.gang_run_id == Some(id) && t.is_present()) {
            None => MemberState::Gone,
            Some(_) if self.now < w.hung_until => MemberState::Hung,
            Some(_) => MemberState::Running,
        }
    }

    fn advance_gang_run(&mut self, id: GangRunId) {
        let now = self.now;
        let members: Vec<MemberState> = self.gang_runs[&id]
            .task_indices()
            .map(|index| self.member_state(id, index))
            .collect();
        if members.iter().all(|m| *m == MemberState::Gone) {
            self.remove_gang_run(id);
            return;
        }
        let whole = members.iter().all(|m| *m == MemberState::Running);
        let run = &self.gang_runs[&id];
        match run.phase {
            GangRunPhase::Running | GangRunPhase::Stopping(_) if !whole => self.fail_gang_run(id),
            GangRunPhase::Running if run.progress_at(now) >= self.jobs[&run.job_id].task_run_ms => {
                self.complete_gang_run(id)
            }
            GangRunPhase::Running => {}
            GangRunPhase::Stopping(first)
                if !run.have_all_received_stop() && now > first + GANG_PEER_TIMEOUT_MS =>
            {
                self.fail_gang_run(id);
            }
            GangRunPhase::Stopping(_) | GangRunPhase::Saved => self.exit_saved_members(id),
            GangRunPhase::Failed(_) => self.exit_failed_members(id),
        }
    }

    /// No task of it is left.
    fn remove_gang_run(&mut self, id: GangRunId) {
        if matches!(
            self.gang_runs[&id].phase,
            GangRunPhase::Running | GangRunPhase::Stopping(_)
        ) {
            self.fail_gang_run(id);
        }
        self.gang_runs.remove(&id);
    }

    /// All tasks are done.
    fn complete_gang_run(&mut self, id: GangRunId) {
        let run = self.gang_runs.remove(&id).expect("run");
        self.append_log(format!("gang {}#{} is done", run.job_id, run.attempt));
        for index in run.task_indices() {
            let key = run.task_key(index);
            self.exit_task(&run.machines[index as usize], &key, ExitCause::Done, None);
            self.record_task_done(&key.0);
        }
    }

    /// The run can't go on: the job falls back to its last checkpoint.
    fn fail_gang_run(&mut self, id: GangRunId) {
        let now = self.now;
        let run = self.gang_runs.get_mut(&id).expect("run");
        let progress = match run.phase {
            GangRunPhase::Running => run.progress_at(now),
            GangRunPhase::Stopping(first) => run.progress_at(first),
            GangRunPhase::Saved | GangRunPhase::Failed(_) => return,
        };
        run.phase = GangRunPhase::Failed(now);
        let j = self.jobs.get_mut(&run.job_id).expect("job");
        let every_ms = (j.spec.checkpoint_interval_s * 1e3) as Ms;
        let checkpoints = progress.checked_div(every_ms).unwrap_or(0);
        j.saved_progress_ms = j.saved_progress_ms.max(checkpoints * every_ms);
        let text = format!(
            "gang {}#{} fails, {:.1} s are safe",
            run.job_id,
            run.attempt,
            j.saved_progress_ms as f64 / 1e3
        );
        self.append_log(text);
    }

    /// Tasks of a failed run exit: those told to stop when they are through with saving, which
    /// is in vain, the others when they notice.
    fn exit_failed_members(&mut self, id: GangRunId) {
        let now = self.now;
        let run = &self.gang_runs[&id];
        let GangRunPhase::Failed(since) = run.phase else {
            return;
        };
        let save_ms = save_duration_ms(&self.jobs[&run.job_id].spec);
        let mut exits = vec![];
        for index in run.task_indices() {
            let (when, why, saved) = match run.stop_received_at.get(&index) {
                Some(told) => (since.max(told + save_ms), ExitCause::Stopped, Some(false)),
                None => (
                    since + run.failure_detection_ms(index),
                    ExitCause::GangMembersGone,
                    None,
                ),
            };
            if now >= when && self.member_state(id, index) == MemberState::Running {
                exits.push((
                    run.machines[index as usize].clone(),
                    run.task_key(index),
                    why,
                    saved,
                ));
            }
        }
        for (machine, key, why, saved) in exits {
            self.exit_task(&machine, &key, why, saved);
        }
    }

    // ---- Stop -----------------------------------------------------------------------------

    /// A task of a run is told to stop.
    pub(super) fn stop_gang_member(
        &mut self,
        id: GangRunId,
        machine: &str,
        key: &TaskKey,
        grace_s: f64,
    ) {
        let now = self.now;
        let (job, index) = parse_task_name(&key.0);
        let spec = &self.jobs[job].spec;
        let saves = spec.checkpoint_interval_s > 0.0 && grace_s >= spec.checkpoint_duration_s;
        let run = self.gang_runs.get_mut(&id).expect("run");
        let told = run.stop_received_at.contains_key(&index);
        match run.phase {
            // It saves already, and goes on unless it gets no time at all.
            GangRunPhase::Stopping(_) | GangRunPhase::Saved if told && grace_s > 0.0 => return,
            GangRunPhase::Running if saves => {
                run.phase = GangRunPhase::Stopping(now);
                run.stop_received_at.insert(index, now);
                return;
            }
            GangRunPhase::Stopping(_) if saves && !told => {
                run.stop_received_at.insert(index, now);
                return;
            }
            _ => {}
        }
        let safe = matches!(run.phase, GangRunPhase::Saved);
        let saved = (spec.checkpoint_interval_s > 0.0).then_some(safe);
        self.exit_task(machine, key, ExitCause::Stopped, saved);
        self.fail_gang_run(id);
    }

    /// Tasks that have saved exit once all were told; with the first, progress is safe.
    fn exit_saved_members(&mut self, id: GangRunId) {
        let now = self.now;
        let run = &self.gang_runs[&id];
        if !run.have_all_received_stop() {
            return;
        }
        let save_ms = save_duration_ms(&self.jobs[&run.job_id].spec);
        let over = |index: &u32| now >= run.save_exit_at(*index, save_ms);
        let runs = |index: &u32| self.member_state(id, *index) == MemberState::Running;
        let ready: Vec<u32> = run.task_indices().filter(over).filter(runs).collect();
        if ready.is_empty() {
            return;
        }
        self.save_gang_progress(id);
        for index in ready {
            let run = &self.gang_runs[&id];
            let (machine, key) = (run.machines[index as usize].clone(), run.task_key(index));
            self.exit_task(&machine, &key, ExitCause::Stopped, Some(true));
        }
    }

    /// What the run had reached when it was first told to stop is kept.
    fn save_gang_progress(&mut self, id: GangRunId) {
        let run = self.gang_runs.get_mut(&id).expect("run");
        let GangRunPhase::Stopping(first) = run.phase else {
            return;
        };
        run.phase = GangRunPhase::Saved;
        let progress = run.progress_at(first);
        self.jobs
            .get_mut(&run.job_id)
            .expect("job")
            .saved_progress_ms = progress;
        let text = format!(
            "gang {}#{} has saved {:.1} s",
            run.job_id,
            run.attempt,
            progress as f64 / 1e3
        );
        self.append_log(text);
    }

    fn exit_task(&mut self, machine: &str, key: &TaskKey, why: ExitCause, saved: Option<bool>) {
        let now = self.now;
        if let Some(w) = self.workers.get_mut(machine) {
            if let Some(t) = w.tasks.get_mut(key) {
                t.exit(why);
                t.progress_saved = saved;
                w.has_unreported_changes = true;
            }
        }
        self.append_log(format!("{}#{} exits: {why:?}", key.0, key.1));
        self.schedule_worker_wakeup(machine, now);
    }

    // ---- Faults and questions ---------------------------------------------------------------

    /// A task fails by itself.
    pub fn fail_task(&mut self, task: &str) {
        for machine in self.machines_holding_task(task) {
            let tasks = self.workers[&machine].tasks.iter();
            let keys = tasks.filter(|((name, _), t)| name == task && t.is_present());
            let keys: Vec<TaskKey> = keys.map(|(key, _)| key.clone()).collect();
            for key in keys {
                self.exit_task(&machine, &key, ExitCause::Error, None);
            }
        }
    }

    /// The machines that hold a task which has not exited.
    pub fn machines_holding_task(&self, task: &str) -> Vec<String> {
        let holds =
            |w: &&crate::stand_ins::Worker| w.attempts_of(task).any(|(_, t)| t.is_present());
        let workers = self.workers.values().filter(holds);
        workers.map(|w| w.id.clone()).collect()
    }

    /// How many tasks of a job are on spot machines, exited ones aside.
    pub fn count_tasks_on_spot(&self, job: &str) -> usize {
        let spot = self.workers.values().filter(|w| w.spot);
        let tasks = spot.flat_map(|w| &w.tasks);
        let own = tasks.filter(|((task, _), t)| job_id_of(task) == job && t.is_present());
        own.count()
    }

    /// How many tasks of a job are in that state, on all machines.
    pub fn count_tasks_in_state(&self, job: &str, state: TaskState) -> usize {
        let tasks = self.workers.values().flat_map(|w| &w.tasks);
        let own = tasks.filter(|((task, _), t)| job_id_of(task) == job && t.state == state);
        own.count()
    }
}
