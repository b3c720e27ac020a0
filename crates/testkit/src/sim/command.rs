//! Commands at a worker: direct ones, their copies, and how they are carried out.
use super::event::{Call, Caller, Step};
use super::{job_of, Sim};
use crate::outside::{Ms, Task, Worker};
use stonegw_wire::msg::*;

const FETCH_MS: Ms = 1_000;

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
        let report = self.workers.get_mut(id).expect("worker").report();
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
    pub(super) fn execute(&mut self, id: &str, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.start_task(id, &task, attempt),
                Command::Stop { task, attempt, .. } => self.stop_task(id, &task, attempt),
                Command::Forget { task, attempt } => self.forget_task(id, &task, attempt),
            }
        }
        self.worker_due(id, self.now);
    }

    fn start_task(&mut self, id: &str, task: &str, attempt: u64) {
        let w = self.workers.get_mut(id).expect("worker");
        if w.tasks.get(task).is_some_and(|t| t.attempt == attempt) {
            return;
        }
        let Some(j) = self.jobs.get(job_of(task)) else {
            return;
        };
        let fetched = !w.images.insert(j.spec.image.clone());
        let (state, lag) = match fetched {
            true => (TaskState::Running, j.run_ms),
            false => (TaskState::Fetching, FETCH_MS),
        };
        let t = Task {
            attempt,
            state,
            why: None,
            until: self.now + lag,
        };
        w.tasks.insert(task.to_owned(), t);
        w.changed = true;
        if fetched {
            self.started(id, task, attempt);
        }
    }

    fn stop_task(&mut self, id: &str, task: &str, attempt: u64) {
        let w = self.workers.get_mut(id).expect("worker");
        w.changed = true;
        let t = w.tasks.get_mut(task).filter(|t| t.attempt == attempt);
        if let Some(t) = t.filter(|t| t.state != TaskState::Exited) {
            t.state = TaskState::Exited;
            t.why = Some(ExitCause::Stopped);
        }
    }

    fn forget_task(&mut self, id: &str, task: &str, attempt: u64) {
        let w = self.workers.get_mut(id).expect("worker");
        w.changed = true;
        let t = w.tasks.get(task).filter(|t| t.attempt == attempt);
        if t.is_some_and(|t| t.state == TaskState::Exited) {
            w.tasks.remove(task);
        }
    }
}
