//! Calls to the cloud, and the workers of its machines.
use super::event::OutboundCall;
use super::simulation::Simulation;
use crate::stand_ins::{CloudMachine, Worker, CLOUD_LATENCY_MS};

impl Simulation {
    pub(super) fn handle_cloud_call(&mut self, call: &OutboundCall) {
        let machines_before: Vec<String> = self.cloud.machines.keys().cloned().collect();
        let response = self.cloud.handle_request(self.now, &call.path, &call.body);
        for id in machines_before {
            if !self.cloud.machines.contains_key(&id) {
                self.workers.remove(&id);
                self.append_log(format!("{id} is deleted"));
            }
        }
        self.start_new_workers();
        self.schedule_response(call.caller, CLOUD_LATENCY_MS, response);
    }

    /// Creates a worker for each machine that has none; the worker starts when the machine has
    /// booted.
    pub(super) fn start_new_workers(&mut self) {
        let crashed_machines = &self.worker_faults.crashed_machines;
        let new_machines: Vec<(String, CloudMachine)> = self
            .cloud
            .machines
            .iter()
            .filter(|(id, _)| !self.workers.contains_key(*id) && !crashed_machines.contains(*id))
            .map(|(id, machine)| (id.clone(), machine.clone()))
            .collect();
        for (id, machine) in new_machines {
            let node = self.workers.len() % self.nodes.len();
            let ready_at = machine.ready_at;
            let worker = Worker::new(&id, machine.request, node, ready_at);
            self.workers.insert(id.clone(), worker);
            self.schedule_worker_wakeup(&id, ready_at);
        }
    }
}
