//! Commands at a worker: direct commands, duplicates of them, and their execution.
use super::event::{Caller, OutboundCall, SimulationEvent};
use super::simulation::Simulation;
use crate::stand_ins::{
    parse_task_id, HttpResponse, Ms, Task, TaskKey, GANG_WAIT_TIMEOUT_MS, MACHINE_CPUS,
    MACHINE_MEMORY_GB, RESOURCE_EPSILON, TASK_FAILURE_DELAY_MS,
};
use stonegw_wire::msg::{decode, encode, Command, CommandBatch, ExitCause, JobKind, TaskState};

const IMAGE_FETCH_MS: Ms = 1_000;

impl Simulation {
    /// Handles a direct call to a worker, or delays it if a fault holds back calls to the machine.
    pub(super) fn handle_worker_call(&mut self, call: OutboundCall, address: &str) {
        let id = address.trim_end_matches(":1").to_owned();
        if let Some(until) = self.calls_held_until(&id) {
            // The call arrives when the fault ends, even if the caller no longer waits for it.
            self.append_log(format!(
                "{} to {id} is delayed until the fault ends",
                call.path
            ));
            return self.schedule(until, SimulationEvent::CallArrival(call));
        }
        let caller = call.caller;
        let Some(worker) = self.workers.get(&id) else {
            return;
        };
        let faults = &self.network_faults;
        if faults.is_node_partitioned_from_zone(self.now, caller.node, &worker.zone) {
            return;
        }
        if call.method == "GET" {
            return self.respond_with_heartbeat(caller, &id, 200);
        }
        let Ok(batch) = decode::<CommandBatch>(&call.body) else {
            return;
        };
        let copy_delays = &self.worker_faults.direct_command_copy_delay_ms;
        if let Some(delay_ms) = copy_delays.get(&id).copied() {
            // The duplicate gets no response and is not duplicated again.
            let copy = SimulationEvent::DuplicateCommandArrival {
                machine_id: id.clone(),
                body: call.body,
            };
            self.schedule_after(delay_ms, copy);
        }
        let status = self.apply_direct_commands(&id, batch);
        self.respond_with_heartbeat(caller, &id, status);
    }

    /// Returns the time until which calls to a machine are held back, if they are.
    fn calls_held_until(&self, id: &str) -> Option<Ms> {
        let fault_until = self.worker_faults.direct_commands_held_until(id);
        let hung_until = self.workers.get(id).map(|worker| worker.hung_until);
        fault_until
            .max(hung_until)
            .filter(|until| self.now < *until)
    }

    fn apply_direct_commands(&mut self, id: &str, batch: CommandBatch) -> u16 {
        let worker = self.worker_mut(id);
        let is_accepted = worker.accepts_direct_commands(&batch);
        worker.observe_fencing_token(batch.fencing_token);
        self.schedule_worker_wakeup(id, self.now);
        if !is_accepted {
            return 409;
        }
        self.execute_commands(id, batch.commands);
        200
    }

    fn respond_with_heartbeat(&mut self, caller: Caller, id: &str, status: u16) {
        let now = self.now;
        let heartbeat = self.worker_mut(id).build_heartbeat(now);
        let body = encode(&heartbeat);
        let response = HttpResponse { status, body };
        self.schedule_response(caller, self.network_latency_ms, response);
    }

    /// Executes a duplicate of a direct command, unless the worker rejects it as outdated.
    pub(super) fn apply_duplicate_commands(&mut self, id: &str, body: &[u8]) {
        let Ok(batch) = decode::<CommandBatch>(body) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let is_accepted = worker.accepts_direct_commands(&batch);
        worker.observe_fencing_token(batch.fencing_token);
        if !is_accepted {
            return self.append_log(format!("{id} rejects a duplicate of a direct command"));
        }
        self.append_log(format!("{id} executes a duplicate of a direct command"));
        self.execute_commands(id, batch.commands);
    }

    /// Executes commands at a worker in order.
    pub fn execute_commands(&mut self, id: &str, commands: Vec<Command>) {
        for command in commands {
            self.execute_command(id, command);
            self.worker_mut(id).has_unreported_changes = true;
        }
        self.schedule_worker_wakeup(id, self.now);
    }

    fn execute_command(&mut self, id: &str, command: Command) {
        match command {
            Command::Start { task_id, attempt } => {
                self.start_task(id, TaskKey { task_id, attempt })
            }
            Command::Stop {
                task_id,
                attempt,
                grace_period_s,
            } => self.stop_task(id, &TaskKey { task_id, attempt }, grace_period_s),
            Command::Forget { task_id, attempt } => {
                self.forget_task(id, &TaskKey { task_id, attempt })
            }
        }
    }

    fn start_task(&mut self, id: &str, key: TaskKey) {
        let now = self.now;
        if self.workers[id].tasks.contains_key(&key) {
            return;
        }
        if let Some(cause) = self.start_rejection(id, &key) {
            let text = format!("{id} rejects the start of {key}: {cause:?}");
            self.worker_mut(id).tasks.insert(key, Task::rejected(cause));
            return self.append_log(text);
        }
        let job = self
            .jobs
            .get_mut(key.job_id())
            .expect("start_rejection found the job");
        job.started_attempts.insert(key.attempt);
        let worker = self.workers.get_mut(id).expect("the worker exists");
        let image_ready_at = worker.image_ready_at.entry(job.spec.image.clone());
        let ready_at = *image_ready_at.or_insert(now + IMAGE_FETCH_MS);
        let task = Task::new(TaskState::Fetching, ready_at);
        worker.tasks.insert(key.clone(), task);
        if now >= ready_at {
            self.handle_image_ready(id, &key);
        }
    }

    /// Returns the reason for which a worker rejects the start of a task, if it does.
    fn start_rejection(&self, id: &str, key: &TaskKey) -> Option<ExitCause> {
        let worker = &self.workers[id];
        let Some(job) = self.jobs.get(key.job_id()) else {
            return Some(ExitCause::UnknownTask);
        };
        if worker.has_present_task(&key.task_id) {
            return Some(ExitCause::AttemptConflict);
        }
        let mut cpus = job.spec.cpus;
        let mut memory_gb = job.spec.memory_gb;
        for (present, _) in worker.present_tasks() {
            let spec = &self.jobs[present.job_id()].spec;
            cpus += spec.cpus;
            memory_gb += spec.memory_gb;
        }
        let is_full = cpus > MACHINE_CPUS + RESOURCE_EPSILON
            || memory_gb > MACHINE_MEMORY_GB + RESOURCE_EPSILON;
        is_full.then_some(ExitCause::NoCapacity)
    }

    /// Advances a task whose image has been fetched: the task runs, waits for its gang, or exits at
    /// once as done if an earlier attempt of it had finished.
    pub(super) fn handle_image_ready(&mut self, id: &str, key: &TaskKey) {
        let now = self.now;
        let (job_id, index) = parse_task_id(&key.task_id);
        let job = &self.jobs[job_id];
        let worker = self.workers.get_mut(id).expect("the worker exists");
        let task = worker
            .tasks
            .get_mut(key)
            .expect("the worker knows the task");
        worker.has_unreported_changes = true;
        if job.finished_tasks.contains(&index) {
            task.exit(ExitCause::Done);
            return self.append_log(format!(
                "{key} exits as done: an earlier attempt had finished"
            ));
        }
        if job.spec.kind == JobKind::Gang {
            task.state = TaskState::WaitingForGang;
            task.state_ends_at = now + GANG_WAIT_TIMEOUT_MS;
        } else {
            let run_ms = match job.tasks_fail {
                true => TASK_FAILURE_DELAY_MS,
                false => job.task_run_ms,
            };
            task.state = TaskState::Running;
            task.state_ends_at = now.saturating_add(run_ms);
        }
        self.record_task_start(id, key);
    }

    fn stop_task(&mut self, id: &str, key: &TaskKey, grace_period_s: f64) {
        let worker = self.worker_mut(id);
        let task = worker.tasks.get_mut(key).filter(|task| task.is_present());
        let Some(task) = task else {
            return;
        };
        match task.gang_run_id {
            Some(run_id) => self.stop_gang_member(run_id, id, key, grace_period_s),
            None => task.exit(ExitCause::Stopped),
        }
    }

    fn forget_task(&mut self, id: &str, key: &TaskKey) {
        let worker = self.worker_mut(id);
        if worker.tasks.get(key).is_some_and(|task| !task.is_present()) {
            worker.tasks.remove(key);
        }
    }
}
