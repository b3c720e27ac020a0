//! Faults of machines and of the store that take effect immediately.
use super::event::{FollowUp, SimulationEvent};
use super::simulation::Simulation;
use crate::stand_ins::{Ms, StoreLimits, TaskKey};
use stonegw_wire::msg::ExitCause;

impl Simulation {
    /// Makes a machine hang with all its tasks; it resumes after `duration`.
    pub fn hang_machine(&mut self, id: &str, duration: Ms) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.hang(now, duration);
        }
    }

    /// Crashes a machine with all its tasks; the cloud still lists it.
    pub fn crash_machine(&mut self, id: &str) {
        self.workers.remove(id);
        self.worker_faults.crashed_machines.insert(id.to_owned());
    }

    /// Evicts a machine with all its tasks; the cloud no longer lists it.
    pub fn evict_machine(&mut self, id: &str) {
        self.workers.remove(id);
        self.cloud.machines.remove(id);
    }

    /// Schedules the eviction of a machine after `notice_ms`; its worker reports the time left.
    pub fn schedule_eviction(&mut self, id: &str, notice_ms: Ms) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.eviction_at = Some(now + notice_ms);
            worker.has_unreported_changes = true;
        }
        self.schedule_worker_wakeup(id, now);
        let eviction = FollowUp::EvictMachine(id.to_owned());
        self.schedule_after(notice_ms, SimulationEvent::FollowUp(eviction));
    }

    /// Makes a worker report a fixed eviction notice from now on; no eviction follows.
    pub fn set_eviction_notice(&mut self, id: &str, notice_ms: Ms) {
        self.worker_mut(id).eviction_notice_s = Some(notice_ms as f64 / 1e3);
    }

    /// Lowers the limits that the store enforces without changing the nodes' settings.
    pub fn lower_store_limits(&mut self, limits: StoreLimits) {
        self.store.limits = limits;
    }

    /// Makes a worker kill and forget all its tasks and begin a new incarnation.
    pub fn begin_new_incarnation(&mut self, id: &str) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.begin_new_incarnation(now);
        }
        self.schedule_worker_wakeup(id, now);
    }

    /// Restarts a worker's process at once: it begins a new incarnation and has lost its images.
    pub fn restart_machine(&mut self, id: &str) {
        self.begin_new_incarnation(id);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.image_ready_at.clear();
        }
    }

    /// Restarts a worker's process at once without any memory: it begins again with the first
    /// incarnation and has lost its tasks and its fencing token.
    pub fn reset_machine(&mut self, id: &str) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.reset(now);
            self.append_log(format!("{id} restarts without memory"));
        }
        self.schedule_worker_wakeup(id, now);
    }

    /// Makes a task exit with an error on every machine that holds it.
    pub fn fail_task(&mut self, task_id: &str) {
        for machine_id in self.cluster().machines_holding_task(task_id) {
            let keys: Vec<TaskKey> = self.workers[&machine_id]
                .present_tasks()
                .filter(|(key, _)| key.task_id == task_id)
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.exit_task(&machine_id, &key, ExitCause::Error, None);
            }
        }
    }
}
