//! Commands at a worker: direct ones, their copies, and how they are carried out.
use super::event::{Caller, OutboundCall, SimulationEvent};
use super::invariants::RESOURCE_EPSILON;
use super::setup::{MACHINE_CPUS, MACHINE_MEMORY_GB};
use super::{job_id_of, parse_task_name, Simulation, GANG_WAIT_TIMEOUT_MS};
use crate::stand_ins::{Ms, Task, TaskKey, Worker};
use stonegw_wire::msg::*;

const IMAGE_FETCH_MS: Ms = 1_000;
/// Tasks of a broken job fail so soon after they start.
pub(super) const TASK_FAILURE_DELAY_MS: Ms = 300;

/// Whether a worker carries out a direct command.
fn passes_fencing(orders: &CommandBatch, worker: &Worker) -> bool {
    orders.fencing_token >= worker.fencing_token && orders.incarnation == Some(worker.incarnation)
}

impl Simulation {
    /// A direct call reaches a worker, or is held back.
    pub(super) fn handle_worker_call(&mut self, call: OutboundCall, addr: &str) {
        let id = addr.trim_end_matches(":1").to_owned();
        if let Some(until) = self.calls_held_until(&id) {
            // It arrives when the cut ends, whoever still waits for it.
            self.append_log(format!("{} to {id} is held back", call.path));
            return self.schedule(until, SimulationEvent::CallArrival(call));
        }
        let caller = call.caller;
        let Some(w) = self.workers.get(&id) else {
            return;
        };
        if self.is_node_partitioned_from_zone(caller.node, &w.zone) {
            return;
        }
        if call.method == "GET" {
            return self.respond_with_heartbeat(caller, &id, 200);
        }
        let Ok(orders) = decode::<CommandBatch>(&call.body) else {
            return;
        };
        if let Some(lag) = self.direct_command_copy_delay_ms.get(&id).copied() {
            // A copy, whose own answer nobody waits for; it is not copied again.
            let copy = SimulationEvent::DuplicateCommandArrival(id.clone(), call.body.clone());
            self.schedule(self.now + lag, copy);
        }
        let status = self.apply_direct_commands(&id, orders);
        self.respond_with_heartbeat(caller, &id, status);
    }

    /// Until when calls to a machine are held back.
    fn calls_held_until(&self, id: &str) -> Option<Ms> {
        let faults = [
            &self.machine_partitioned_until,
            &self.direct_commands_held_until,
            &self.machine_unreachable_until,
        ];
        let until = faults.iter().filter_map(|f| f.get(id).copied());
        let hangs = self.workers.get(id).map(|w| w.hung_until);
        until.chain(hangs).max().filter(|until| self.now < *until)
    }

    fn apply_direct_commands(&mut self, id: &str, orders: CommandBatch) -> u16 {
        let w = self.workers.get_mut(id).expect("worker");
        let entitled = passes_fencing(&orders, w);
        w.observe_fencing_token(orders.fencing_token);
        self.schedule_worker_wakeup(id, self.now);
        if !entitled {
            return 409;
        }
        self.execute_commands(id, orders.commands);
        200
    }

    fn respond_with_heartbeat(&mut self, caller: Caller, id: &str, status: u16) {
        let now = self.now;
        let report = self
            .workers
            .get_mut(id)
            .expect("worker")
            .build_heartbeat(now);
        self.schedule_response(caller, self.network_latency_ms, (status, encode(&report)));
    }

    /// A direct command arrives once more.
    pub(super) fn apply_duplicate_commands(&mut self, id: &str, body: &[u8]) {
        let Ok(orders) = decode::<CommandBatch>(body) else {
            return;
        };
        if self
            .workers
            .get(id)
            .is_some_and(|w| passes_fencing(&orders, w))
        {
            self.append_log(format!("a direct command reaches {id} once more"));
            self.execute_commands(id, orders.commands);
        }
    }

    /// Carries out commands in order.
    pub fn execute_commands(&mut self, id: &str, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Start {
                    task_id: task,
                    attempt,
                } => self.start_task(id, (task, attempt)),
                Command::Stop {
                    task_id: task,
                    attempt,
                    grace_period_s: grace_s,
                } => self.stop_task(id, &(task, attempt), grace_s),
                Command::Forget {
                    task_id: task,
                    attempt,
                } => self.forget_task(id, &(task, attempt)),
            }
            self.workers
                .get_mut(id)
                .expect("worker")
                .has_unreported_changes = true;
        }
        self.schedule_worker_wakeup(id, self.now);
    }

    fn start_task(&mut self, id: &str, key: TaskKey) {
        let now = self.now;
        if self.workers[id].tasks.contains_key(&key) {
            return;
        }
        let refusal = self.start_rejection(id, &key.0);
        let w = self.workers.get_mut(id).expect("worker");
        if let Some(why) = refusal {
            w.tasks.insert(key.clone(), Task::rejected(why));
            return self.append_log(format!("{}#{} is refused by {id}: {why:?}", key.0, key.1));
        }
        let j = self.jobs.get_mut(job_id_of(&key.0)).expect("not refused");
        j.started_attempts.insert(key.1);
        let image = w.image_ready_at.entry(j.spec.image.clone());
        let ready = *image.or_insert(now + IMAGE_FETCH_MS);
        let task = Task::new(TaskState::Fetching, ready);
        w.tasks.insert(key.clone(), task);
        if now >= ready {
            self.handle_image_ready(id, &key);
        }
    }

    /// Why a worker refuses to start a task, if it does.
    fn start_rejection(&self, id: &str, task: &str) -> Option<ExitCause> {
        let w = &self.workers[id];
        let Some(job) = self.jobs.get(job_id_of(task)) else {
            return Some(ExitCause::UnknownTask);
        };
        if w.attempts_of(task).any(|(_, t)| t.is_present()) {
            return Some(ExitCause::AttemptConflict);
        }
        let present = w.tasks.iter().filter(|(_, t)| t.is_present());
        let specs = present.map(|((task, _), _)| &self.jobs[job_id_of(task)].spec);
        let (mut cpus, mut memory_gb) = (job.spec.cpus, job.spec.memory_gb);
        for spec in specs {
            cpus += spec.cpus;
            memory_gb += spec.memory_gb;
        }
        let full = cpus > MACHINE_CPUS + RESOURCE_EPSILON
            || memory_gb > MACHINE_MEMORY_GB + RESOURCE_EPSILON;
        full.then_some(ExitCause::NoCapacity)
    }

    /// A task has its image: it runs, waits for its gang, or tells a result that was kept.
    pub(super) fn handle_image_ready(&mut self, id: &str, key: &TaskKey) {
        let now = self.now;
        let (job, index) = parse_task_name(&key.0);
        let j = &self.jobs[job];
        let w = self.workers.get_mut(id).expect("worker");
        let t = w.tasks.get_mut(key).expect("task");
        w.has_unreported_changes = true;
        if j.finished_tasks.contains(&index) {
            t.exit(ExitCause::Done);
            return self.append_log(format!("{}#{} was done before", key.0, key.1));
        }
        let gang = j.spec.kind == JobKind::Gang;
        let run_ms = if j.tasks_fail {
            TASK_FAILURE_DELAY_MS
        } else {
            j.task_run_ms
        };
        (t.state, t.state_ends_at) = match gang {
            true => (TaskState::WaitingForGang, now + GANG_WAIT_TIMEOUT_MS),
            false => (TaskState::Running, now.saturating_add(run_ms)),
        };
        self.record_task_start(id, &key.0, key.1);
    }

    fn stop_task(&mut self, id: &str, key: &TaskKey, grace_s: f64) {
        let w = self.workers.get_mut(id).expect("worker");
        let Some(t) = w.tasks.get_mut(key).filter(|t| t.is_present()) else {
            return;
        };
        match t.gang_run_id {
            Some(run) => self.stop_gang_member(run, id, key, grace_s),
            None => t.exit(ExitCause::Stopped),
        }
    }

    fn forget_task(&mut self, id: &str, key: &TaskKey) {
        let w = self.workers.get_mut(id).expect("worker");
        if w.tasks.get(key).is_some_and(|t| !t.is_present()) {
            w.tasks.remove(key);
        }
    }
}
