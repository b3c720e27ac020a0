//! Gangs: tasks of one attempt find each other across the machines, start together, are done
//! together, and save together when they are stopped in time.
use super::command::FAILS_AFTER_MS;
use super::{job_of, split_task, Sim, GANG_PEER_MS};
use crate::outside::{GangRunId, Ms, TaskKey};
use std::collections::BTreeMap;
use stonegw_wire::msg::*;

/// One run of a gang: the tasks that started together.
pub(super) struct GangRun {
    job: String,
    attempt: u64,
    /// The machine of each task, by number.
    machines: Vec<String>,
    /// The job's progress when it started.
    from_ms: Ms,
    started: Ms,
    phase: Phase,
    /// Which tasks were told to stop with enough grace, and when.
    told: BTreeMap<u32, Ms>,
}

enum Phase {
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
enum Member {
    Runs,
    Hangs,
    Gone,
}

impl GangRun {
    fn key(&self, index: u32) -> TaskKey {
        (format!("{}/{index}", self.job), self.attempt)
    }

    /// The job's progress at that moment, while nothing has stopped it.
    fn progress(&self, now: Ms) -> Ms {
        self.from_ms + (now - self.started)
    }

    fn all_told(&self) -> bool {
        self.told.len() == self.machines.len()
    }

    fn indices(&self) -> std::ops::Range<u32> {
        0..self.machines.len() as u32
    }

    /// When a task that was told to stop exits, if all were told in time.
    fn saved_at(&self, index: u32, save_ms: Ms) -> Ms {
        let last = self.told.values().max().copied().unwrap_or(0);
        last.max(self.told[&index] + save_ms)
    }

    /// How long after a failure a task notices it.
    fn notice_ms(&self, index: u32) -> Ms {
        let quarters = 1 + (u64::from(index) + self.attempt) % 4;
        GANG_PEER_MS * quarters / 4
    }
}

/// How long a task of that job needs to save.
fn save_ms(spec: &JobSpec) -> Ms {
    (spec.save_s * 1e3) as Ms
}

impl Sim {
    /// What happens to gangs in time.
    pub(super) fn gangs_turn(&mut self) {
        if !self.jobs.values().any(|j| j.spec.kind == JobKind::Gang) {
            return;
        }
        self.start_gangs();
        let ids: Vec<GangRunId> = self.gang_runs.keys().copied().collect();
        for id in ids {
            self.run_turn(id);
        }
    }

    // ---- Start ----------------------------------------------------------------------------

    /// Starts each attempt of which all tasks wait.
    fn start_gangs(&mut self) {
        for ((job, attempt), waiting) in self.waiting_gangs() {
            if waiting.len() == self.jobs[&job].spec.tasks as usize {
                self.start_gang(job, attempt, waiting.into_values().collect());
            }
        }
    }

    /// Which tasks of each job and attempt wait for the others, and where. A hanging machine's
    /// task does not take part.
    fn waiting_gangs(&self) -> BTreeMap<(String, u64), BTreeMap<u32, String>> {
        let mut gangs: BTreeMap<_, BTreeMap<_, _>> = BTreeMap::new();
        let workers = self.workers.values();
        for w in workers.filter(|w| self.now >= w.hangs_until) {
            let tasks = w.tasks.iter();
            for ((task, attempt), _) in tasks.filter(|(_, t)| t.state == TaskState::Gathering) {
                let (job, index) = split_task(task);
                let gang = gangs.entry((job.to_owned(), *attempt)).or_default();
                gang.insert(index, w.id.clone());
            }
        }
        gangs
    }

    fn start_gang(&mut self, job: String, attempt: u64, machines: Vec<String>) {
        let now = self.now;
        self.note(format!("gang {job}#{attempt} starts"));
        if !self.jobs[&job].finished.is_empty() {
            self.broke(format!("ran_again {job} after it was done"));
        }
        if self.jobs[&job].broken {
            self.later(FAILS_AFTER_MS, vec!["fail".into(), format!("{job}/0")]);
        }
        let j = self.jobs.get_mut(&job).expect("job");
        j.begun.get_or_insert(now);
        j.waits_since = None;
        j.gang_starts.push(now);
        let run = GangRun {
            job,
            attempt,
            machines,
            from_ms: j.saved_ms,
            started: now,
            phase: Phase::Running,
            told: BTreeMap::new(),
        };
        let id = self.next_gang_run;
        self.next_gang_run += 1;
        for index in run.indices() {
            let machine = &run.machines[index as usize];
            let w = self.workers.get_mut(machine).expect("waits there");
            let t = w.tasks.get_mut(&run.key(index)).expect("waits there");
            (t.state, t.until) = (TaskState::Running, Ms::MAX);
            t.gang_run = Some(id);
            w.changed = true;
            self.worker_due(machine, now);
        }
        self.gang_runs.insert(id, run);
    }

    // ---- Run ------------------------------------------------------------------------------

    fn member(&self, id: GangRunId, index: u32) -> Member {
        let run = &self.gang_runs[&id];
        let Some(w) = self.workers.get(&run.machines[index as usize]) else {
            return Member::Gone;
        };
        let task = w.tasks.get(&run.key(index));
        match task.filter(|t| t.gang_run == Some(id) && t.present()) {
            None => Member::Gone,
            Some(_) if self.now < w.hangs_until => Member::Hangs,
            Some(_) => Member::Runs,
        }
    }

    fn run_turn(&mut self, id: GangRunId) {
        let now = self.now;
        let members: Vec<Member> = self.gang_runs[&id]
            .indices()
            .map(|index| self.member(id, index))
            .collect();
        if members.iter().all(|m| *m == Member::Gone) {
            self.run_over(id);
            return;
        }
        let whole = members.iter().all(|m| *m == Member::Runs);
        let run = &self.gang_runs[&id];
        match run.phase {
            Phase::Running | Phase::Stopping(_) if !whole => self.run_failed(id),
            Phase::Running if run.progress(now) >= self.jobs[&run.job].run_ms => self.run_done(id),
            Phase::Running => {}
            Phase::Stopping(first) if !run.all_told() && now > first + GANG_PEER_MS => {
                self.run_failed(id);
            }
            Phase::Stopping(_) | Phase::Saved => self.exit_saved(id),
            Phase::Failed(_) => self.exit_failed(id),
        }
    }

    /// No task of it is left.
    fn run_over(&mut self, id: GangRunId) {
        if matches!(
            self.gang_runs[&id].phase,
            Phase::Running | Phase::Stopping(_)
        ) {
            self.run_failed(id);
        }
        self.gang_runs.remove(&id);
    }

    /// All tasks are done.
    fn run_done(&mut self, id: GangRunId) {
        let run = self.gang_runs.remove(&id).expect("run");
        self.note(format!("gang {}#{} is done", run.job, run.attempt));
        for index in run.indices() {
            let key = run.key(index);
            self.exit_member(&run.machines[index as usize], &key, ExitCause::Done, None);
            self.task_done(&key.0);
        }
    }

    /// The run can't go on: the job falls back to its last checkpoint.
    fn run_failed(&mut self, id: GangRunId) {
        let now = self.now;
        let run = self.gang_runs.get_mut(&id).expect("run");
        let progress = match run.phase {
            Phase::Running => run.progress(now),
            Phase::Stopping(first) => run.progress(first),
            Phase::Saved | Phase::Failed(_) => return,
        };
        run.phase = Phase::Failed(now);
        let j = self.jobs.get_mut(&run.job).expect("job");
        let every_ms = (j.spec.checkpoint_s * 1e3) as Ms;
        let checkpoints = progress.checked_div(every_ms).unwrap_or(0);
        j.saved_ms = j.saved_ms.max(checkpoints * every_ms);
        let text = format!(
            "gang {}#{} fails, {:.1} s are safe",
            run.job,
            run.attempt,
            j.saved_ms as f64 / 1e3
        );
        self.note(text);
    }

    /// Tasks of a failed run exit: those told to stop when they are through with saving, which
    /// is in vain, the others when they notice.
    fn exit_failed(&mut self, id: GangRunId) {
        let now = self.now;
        let run = &self.gang_runs[&id];
        let Phase::Failed(since) = run.phase else {
            return;
        };
        let save_ms = save_ms(&self.jobs[&run.job].spec);
        let mut exits = vec![];
        for index in run.indices() {
            let (when, why, saved) = match run.told.get(&index) {
                Some(told) => (since.max(told + save_ms), ExitCause::Stopped, Some(false)),
                None => (since + run.notice_ms(index), ExitCause::PeersGone, None),
            };
            if now >= when && self.member(id, index) == Member::Runs {
                exits.push((
                    run.machines[index as usize].clone(),
                    run.key(index),
                    why,
                    saved,
                ));
            }
        }
        for (machine, key, why, saved) in exits {
            self.exit_member(&machine, &key, why, saved);
        }
    }

    // ---- Stop -----------------------------------------------------------------------------

    /// A task of a run is told to stop.
    pub(super) fn stop_member(
        &mut self,
        id: GangRunId,
        machine: &str,
        key: &TaskKey,
        grace_s: f64,
    ) {
        let now = self.now;
        let (job, index) = split_task(&key.0);
        let spec = &self.jobs[job].spec;
        let saves = spec.checkpoint_s > 0.0 && grace_s >= spec.save_s;
        let run = self.gang_runs.get_mut(&id).expect("run");
        let told = run.told.contains_key(&index);
        match run.phase {
            // It saves already, and goes on unless it gets no time at all.
            Phase::Stopping(_) | Phase::Saved if told && grace_s > 0.0 => return,
            Phase::Running if saves => {
                run.phase = Phase::Stopping(now);
                run.told.insert(index, now);
                return;
            }
            Phase::Stopping(_) if saves && !told => {
                run.told.insert(index, now);
                return;
            }
            _ => {}
        }
        let safe = matches!(run.phase, Phase::Saved);
        let saved = (spec.checkpoint_s > 0.0).then_some(safe);
        self.exit_member(machine, key, ExitCause::Stopped, saved);
        self.run_failed(id);
    }

    /// Tasks that have saved exit once all were told; with the first, progress is safe.
    fn exit_saved(&mut self, id: GangRunId) {
        let now = self.now;
        let run = &self.gang_runs[&id];
        if !run.all_told() {
            return;
        }
        let save_ms = save_ms(&self.jobs[&run.job].spec);
        let over = |index: &u32| now >= run.saved_at(*index, save_ms);
        let runs = |index: &u32| self.member(id, *index) == Member::Runs;
        let ready: Vec<u32> = run.indices().filter(over).filter(runs).collect();
        if ready.is_empty() {
            return;
        }
        self.progress_safe(id);
        for index in ready {
            let run = &self.gang_runs[&id];
            let (machine, key) = (run.machines[index as usize].clone(), run.key(index));
            self.exit_member(&machine, &key, ExitCause::Stopped, Some(true));
        }
    }

    /// What the run had reached when it was first told to stop is kept.
    fn progress_safe(&mut self, id: GangRunId) {
        let run = self.gang_runs.get_mut(&id).expect("run");
        let Phase::Stopping(first) = run.phase else {
            return;
        };
        run.phase = Phase::Saved;
        let progress = run.progress(first);
        self.jobs.get_mut(&run.job).expect("job").saved_ms = progress;
        let text = format!(
            "gang {}#{} has saved {:.1} s",
            run.job,
            run.attempt,
            progress as f64 / 1e3
        );
        self.note(text);
    }

    fn exit_member(&mut self, machine: &str, key: &TaskKey, why: ExitCause, saved: Option<bool>) {
        let now = self.now;
        if let Some(w) = self.workers.get_mut(machine) {
            if let Some(t) = w.tasks.get_mut(key) {
                t.exit(why);
                t.saved = saved;
                w.changed = true;
            }
        }
        self.note(format!("{}#{} exits: {why:?}", key.0, key.1));
        self.worker_due(machine, now);
    }

    // ---- Faults and questions ---------------------------------------------------------------

    /// A task fails by itself.
    pub fn fail_task(&mut self, task: &str) {
        for machine in self.machines_of(task) {
            let tasks = self.workers[&machine].tasks.iter();
            let keys = tasks.filter(|((name, _), t)| name == task && t.present());
            let keys: Vec<TaskKey> = keys.map(|(key, _)| key.clone()).collect();
            for key in keys {
                self.exit_member(&machine, &key, ExitCause::Error, None);
            }
        }
    }

    /// The machines that hold a task which has not exited.
    pub fn machines_of(&self, task: &str) -> Vec<String> {
        let holds = |w: &&crate::outside::Worker| w.attempts_of(task).any(|(_, t)| t.present());
        let workers = self.workers.values().filter(holds);
        workers.map(|w| w.id.clone()).collect()
    }

    /// How many tasks of a job are on spot machines, exited ones aside.
    pub fn tasks_on_spot(&self, job: &str) -> usize {
        let spot = self.workers.values().filter(|w| w.spot);
        let tasks = spot.flat_map(|w| &w.tasks);
        let own = tasks.filter(|((task, _), t)| job_of(task) == job && t.present());
        own.count()
    }

    /// How many tasks of a job are in that state, on all machines.
    pub fn tasks_in(&self, job: &str, state: TaskState) -> usize {
        let tasks = self.workers.values().flat_map(|w| &w.tasks);
        let own = tasks.filter(|((task, _), t)| job_of(task) == job && t.state == state);
        own.count()
    }
}
