//! Calls to the cloud, and the workers of the machines that it has.
use super::event::Call;
use super::Sim;
use crate::outside::{Ms, Worker};
use stonegw_wire::msg::Hire;

/// How long the cloud's answer takes.
const CLOUD_MS: Ms = 80;

impl Sim {
    pub(super) fn at_cloud(&mut self, call: &Call) {
        let before: Vec<String> = self.cloud.machines.keys().cloned().collect();
        let answer = self.cloud.handle(self.now, &call.path, &call.body);
        for id in before {
            if !self.cloud.machines.contains_key(&id) {
                self.workers.remove(&id);
                self.note(format!("{id} is deleted"));
            }
        }
        self.boot();
        self.answer(call.caller, CLOUD_MS, answer);
    }

    /// Gives each machine that has none its worker, which is up when the machine is.
    pub(super) fn boot(&mut self) {
        let new: Vec<(String, Hire, Ms)> = self
            .cloud
            .machines
            .iter()
            .filter(|(id, _)| !self.workers.contains_key(*id) && !self.dead.contains(*id))
            .map(|(id, (h, _, up))| (id.clone(), h.clone(), *up))
            .collect();
        for (id, hire, up) in new {
            let node = self.workers.len() % self.nodes.len();
            let worker = Worker::new(&id, hire, node, up);
            self.workers.insert(id.clone(), worker);
            self.worker_due(&id, up);
        }
    }
}
