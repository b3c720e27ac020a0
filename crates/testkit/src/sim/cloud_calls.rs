//! Calls to the cloud, and the workers of the machines that it has.
use super::event::OutboundCall;
use super::Simulation;
use crate::stand_ins::{Ms, Worker};
use stonegw_wire::msg::ProvisionRequest;

/// How long the cloud's answer takes.
const CLOUD_LATENCY_MS: Ms = 80;

impl Simulation {
    pub(super) fn handle_cloud_call(&mut self, call: &OutboundCall) {
        let before: Vec<String> = self.cloud.machines.keys().cloned().collect();
        let answer = self.cloud.handle_request(self.now, &call.path, &call.body);
        for id in before {
            if !self.cloud.machines.contains_key(&id) {
                self.workers.remove(&id);
                self.append_log(format!("{id} is deleted"));
            }
        }
        self.start_new_workers();
        self.schedule_response(call.caller, CLOUD_LATENCY_MS, answer);
    }

    /// Gives each machine that has none its worker, which is up when the machine is.
    pub(super) fn start_new_workers(&mut self) {
        let new: Vec<(String, ProvisionRequest, Ms)> = self
            .cloud
            .machines
            .iter()
            .filter(|(id, _)| {
                !self.workers.contains_key(*id) && !self.crashed_machines.contains(*id)
            })
            .map(|(id, (h, _, up))| (id.clone(), h.clone(), *up))
            .collect();
        for (id, hire, up) in new {
            let node = self.workers.len() % self.nodes.len();
            let worker = Worker::new(&id, hire, node, up);
            self.workers.insert(id.clone(), worker);
            self.schedule_worker_wakeup(&id, up);
        }
    }
}
