//! Faults of machines and of the store that take effect at once.
use super::event::{FollowUp, SimulationEvent};
use super::simulation::Simulation;
use crate::stand_ins::{Ms, StoreLimits, TaskKey};
use stonegw_wire::msg::ExitCause;

impl Simulation {
    /// The machine hangs, with all that is on it, and goes on later.
    pub fn hang_machine(&mut self, id: &str, duration: Ms) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.hang(now, duration);
        }
    }

    /// The machine stops with all that is on it; the cloud still lists it.
    pub fn crash_machine(&mut self, id: &str) {
        self.workers.remove(id);
        self.worker_faults.crashed_machines.insert(id.to_owned());
    }

    /// The cloud evicts the machine with all that is on it, and lists it no more.
    pub fn evict_machine(&mut self, id: &str) {
        self.workers.remove(id);
        self.cloud.machines.remove(id);
    }

    /// The cloud will evict the machine so much later, and its worker reports that.
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

    /// The worker reports that much notice of an eviction from now on; none follows.
    pub fn set_eviction_notice(&mut self, id: &str, notice_ms: Ms) {
        self.worker_mut(id).eviction_notice_s = Some(notice_ms as f64 / 1e3);
    }

    /// The store accepts less from now on; no node is told.
    pub fn lower_store_limits(&mut self, limits: StoreLimits) {
        self.store.limits = limits;
    }

    /// The worker kills and forgets all its tasks.
    pub fn begin_new_incarnation(&mut self, id: &str) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.begin_new_incarnation(now);
        }
        self.schedule_worker_wakeup(id, now);
    }

    /// The worker's process ends and is back at once: a new incarnation, without images.
    pub fn restart_machine(&mut self, id: &str) {
        self.begin_new_incarnation(id);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.image_ready_at.clear();
        }
    }

    /// A task fails by itself, on every machine that holds it.
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
