//! The periodic work of a worker: its lease, its tasks and its wake-ups.
use super::event::SimulationEvent;
use super::simulation::Simulation;
use crate::stand_ins::{Ms, TaskKey, Worker};
use stonegw_wire::msg::{ExitCause, TaskState};

/// A worker wakes up only at multiples of this time after its machine became ready.
const WORKER_STEP_MS: Ms = 100;

impl Simulation {
    /// Returns a worker; panics if it does not exist.
    pub(super) fn worker_mut(&mut self, id: &str) -> &mut Worker {
        self.workers.get_mut(id).expect("the worker exists")
    }

    /// Runs a worker's turn unless its wake-up was rescheduled since.
    pub(super) fn wake_worker(&mut self, id: &str, at: Ms) {
        let worker = self.workers.get(id);
        if worker.is_some_and(|worker| worker.next_wakeup_at == at) {
            self.run_worker(id);
        }
    }

    fn run_worker(&mut self, id: &str) {
        let now = self.now;
        let worker = &self.workers[id];
        if now < worker.hung_until {
            let until = worker.hung_until;
            return self.schedule_worker_wakeup(id, until);
        }
        // Determined before the steps below: if they switch the worker to another node, the first
        // heartbeat to that node is delivered or lost as it would have been at the old one.
        let delivery = self.heartbeat_delivery(worker);
        self.expire_worker_lease(id);
        self.start_fetched_tasks(id);
        self.finish_due_tasks(id);
        self.time_out_heartbeat(id);
        if self.workers[id].is_heartbeat_due(now) {
            self.send_heartbeat(id, delivery);
        }
        let next_due_at = self.workers[id].next_due_at();
        self.schedule_worker_wakeup(id, next_due_at.max(now + 1));
    }

    fn expire_worker_lease(&mut self, id: &str) {
        let now = self.now;
        let worker = self.worker_mut(id);
        if now >= worker.lease_expires_at() {
            worker.begin_new_incarnation(now);
            self.append_log(format!("{id} kills its tasks: lease expired"));
        }
    }

    /// Advances the tasks whose images have been fetched.
    fn start_fetched_tasks(&mut self, id: &str) {
        let fetched: Vec<TaskKey> = self.workers[id]
            .tasks
            .iter()
            .filter(|(_, task)| task.state == TaskState::Fetching)
            .filter(|(_, task)| self.now >= task.state_ends_at)
            .map(|(key, _)| key.clone())
            .collect();
        for key in fetched {
            self.handle_image_ready(id, &key);
        }
    }

    /// Exits the tasks whose time is over: running tasks are done, or fail if their job's tasks
    /// fail; tasks that waited for their gang give up.
    fn finish_due_tasks(&mut self, id: &str) {
        let now = self.now;
        let mut done = vec![];
        let worker = self.workers.get_mut(id).expect("the worker exists");
        let tasks = worker.tasks.iter_mut();
        for (key, task) in tasks.filter(|(_, task)| now >= task.state_ends_at) {
            match task.state {
                TaskState::Running if self.jobs[key.job_id()].tasks_fail => {
                    task.exit(ExitCause::Error)
                }
                TaskState::Running => {
                    task.exit(ExitCause::Done);
                    done.push(key.clone());
                }
                TaskState::WaitingForGang => task.exit(ExitCause::GangIncomplete),
                _ => continue,
            }
            worker.has_unreported_changes = true;
        }
        for key in done {
            self.record_task_done(&key);
        }
    }

    /// Schedules the worker's next wake-up at its first step from `earliest` on, unless an earlier
    /// wake-up is already scheduled.
    pub(super) fn schedule_worker_wakeup(&mut self, id: &str, earliest: Ms) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let since_ready = earliest.max(now).saturating_sub(worker.ready_at);
        let at = worker.ready_at + since_ready.div_ceil(WORKER_STEP_MS) * WORKER_STEP_MS;
        if at < worker.next_wakeup_at || worker.next_wakeup_at <= now {
            worker.next_wakeup_at = at;
            let machine_id = id.to_owned();
            self.schedule(at, SimulationEvent::WorkerWakeup { machine_id, at });
        }
    }
}
