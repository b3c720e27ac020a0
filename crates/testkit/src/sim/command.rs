//! Commands at a worker: direct ones, their copies, and how they are carried out.
use super::event::{Call, Caller, Step};
use super::rule::MARGIN;
use super::setup::{MACHINE_CPUS, MACHINE_GB};
use super::{job_of, split_task, Sim, GANG_WAIT_MS};
use crate::outside::{Ms, Task, TaskKey, Worker};
use stonegw_wire::msg::*;

const FETCH_MS: Ms = 1_000;
/// Tasks of a broken job fail so soon after they start.
pub(super) const FAILS_AFTER_MS: Ms = 300;

/// Whether a worker carries out a direct command.
fn entitled(orders: &Orders, worker: &Worker) -> bool {
    orders.token >= worker.token && orders.session == Some(worker.session)
}

impl Sim {
    /// A direct call reaches a worker, or is held back.
    pub(super) fn at_worker(&mut self, call: Call, addr: &str) {
        let id = addr.trim_end_matches(":1").to_owned();
        if let Some(until) = self.held_until(&id) {
            // It arrives when the cut ends, whoever still waits for it.
            self.note(format!("{} to {id} is held back", call.path));
            return self.at(until, Step::Arrive(call));
        }
        let caller = call.caller;
        let Some(w) = self.workers.get(&id) else {
            return;
        };
        if self.apart(caller.node, &w.zone) {
            return;
        }
        if call.method == "GET" {
            return self.answer_report(caller, &id, 200);
        }
        let Ok(orders) = decode::<Orders>(&call.body) else {
            return;
        };
        if let Some(lag) = self.copy_do.get(&id).copied() {
            // A copy, whose own answer nobody waits for; it is not copied again.
            let copy = Step::Copy(id.clone(), call.body.clone());
            self.at(self.now + lag, copy);
        }
        let status = self.direct(&id, orders);
        self.answer_report(caller, &id, status);
    }

    /// Until when calls to a machine are held back.
    fn held_until(&self, id: &str) -> Option<Ms> {
        let faults = [&self.cut, &self.hold_do, &self.deaf];
        let until = faults.iter().filter_map(|f| f.get(id).copied());
        let hangs = self.workers.get(id).map(|w| w.hangs_until);
        until.chain(hangs).max().filter(|until| self.now < *until)
    }

    fn direct(&mut self, id: &str, orders: Orders) -> u16 {
        let w = self.workers.get_mut(id).expect("worker");
        let entitled = entitled(&orders, w);
        w.saw(orders.token);
        self.worker_due(id, self.now);
        if !entitled {
            return 409;
        }
        self.execute(id, orders.commands);
        200
    }

    fn answer_report(&mut self, caller: Caller, id: &str, status: u16) {
        let now = self.now;
        let report = self.workers.get_mut(id).expect("worker").report(now);
        self.answer(caller, self.wire_ms, (status, encode(&report)));
    }

    /// A direct command arrives once more.
    pub(super) fn copy_arrives(&mut self, id: &str, body: &[u8]) {
        let Ok(orders) = decode::<Orders>(body) else {
            return;
        };
        if self.workers.get(id).is_some_and(|w| entitled(&orders, w)) {
            self.note(format!("a direct command reaches {id} once more"));
            self.execute(id, orders.commands);
        }
    }

    /// Carries out commands in order.
    pub fn execute(&mut self, id: &str, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.start_task(id, (task, attempt)),
                Command::Stop {
                    task,
                    attempt,
                    grace_s,
                } => self.stop_task(id, &(task, attempt), grace_s),
                Command::Forget { task, attempt } => self.forget_task(id, &(task, attempt)),
            }
            self.workers.get_mut(id).expect("worker").changed = true;
        }
        self.worker_due(id, self.now);
    }

    fn start_task(&mut self, id: &str, key: TaskKey) {
        let now = self.now;
        if self.workers[id].tasks.contains_key(&key) {
            return;
        }
        let refusal = self.refusal(id, &key.0);
        let w = self.workers.get_mut(id).expect("worker");
        if let Some(why) = refusal {
            w.tasks.insert(key.clone(), Task::refused(why));
            return self.note(format!("{}#{} is refused by {id}: {why:?}", key.0, key.1));
        }
        let j = self.jobs.get_mut(job_of(&key.0)).expect("not refused");
        j.attempts.insert(key.1);
        let image = w.images.entry(j.spec.image.clone());
        let ready = *image.or_insert(now + FETCH_MS);
        let task = Task::new(TaskState::Fetching, ready);
        w.tasks.insert(key.clone(), task);
        if now >= ready {
            self.image_ready(id, &key);
        }
    }

    /// Why a worker refuses to start a task, if it does.
    fn refusal(&self, id: &str, task: &str) -> Option<ExitCause> {
        let w = &self.workers[id];
        let Some(job) = self.jobs.get(job_of(task)) else {
            return Some(ExitCause::Unknown);
        };
        if w.attempts_of(task).any(|(_, t)| t.present()) {
            return Some(ExitCause::Busy);
        }
        let present = w.tasks.iter().filter(|(_, t)| t.present());
        let specs = present.map(|((task, _), _)| &self.jobs[job_of(task)].spec);
        let (mut cpus, mut memory_gb) = (job.spec.cpus, job.spec.memory_gb);
        for spec in specs {
            cpus += spec.cpus;
            memory_gb += spec.memory_gb;
        }
        let full = cpus > MACHINE_CPUS + MARGIN || memory_gb > MACHINE_GB + MARGIN;
        full.then_some(ExitCause::NoRoom)
    }

    /// A task has its image: it runs, waits for its gang, or tells a result that was kept.
    pub(super) fn image_ready(&mut self, id: &str, key: &TaskKey) {
        let now = self.now;
        let (job, index) = split_task(&key.0);
        let j = &self.jobs[job];
        let w = self.workers.get_mut(id).expect("worker");
        let t = w.tasks.get_mut(key).expect("task");
        w.changed = true;
        if j.finished.contains(&index) {
            t.exit(ExitCause::Done);
            return self.note(format!("{}#{} was done before", key.0, key.1));
        }
        let gang = j.spec.kind == JobKind::Gang;
        let run_ms = if j.broken { FAILS_AFTER_MS } else { j.run_ms };
        (t.state, t.until) = match gang {
            true => (TaskState::Gathering, now + GANG_WAIT_MS),
            false => (TaskState::Running, now.saturating_add(run_ms)),
        };
        self.started(id, &key.0, key.1);
    }

    fn stop_task(&mut self, id: &str, key: &TaskKey, grace_s: f64) {
        let w = self.workers.get_mut(id).expect("worker");
        let Some(t) = w.tasks.get_mut(key).filter(|t| t.present()) else {
            return;
        };
        match t.gang_run {
            Some(run) => self.stop_member(run, id, key, grace_s),
            None => t.exit(ExitCause::Stopped),
        }
    }

    fn forget_task(&mut self, id: &str, key: &TaskKey) {
        let w = self.workers.get_mut(id).expect("worker");
        if w.tasks.get(key).is_some_and(|t| !t.present()) {
            w.tasks.remove(key);
        }
    }
}
