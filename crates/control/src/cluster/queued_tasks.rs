//! Tasks that are queued on a machine for the capacity that frees next.
use super::ClusterState;

impl ClusterState {
    /// Takes a task out of the queues.
    pub fn dequeue(&mut self, job: &str, index: u32) {
        if !self.machines.is_queued(job, index) {
            return;
        }
        for id in self.machines.machines_of_job(job) {
            if let Some(mut m) = self.machines.edit(&id) {
                m.queued.retain(|h| (h.0.as_str(), h.1) != (job, index));
            }
        }
    }

    /// Queued tasks must not take room that is kept or being made.
    pub fn requeue_machine_queue(&mut self, machine: &str) {
        let Some(mut m) = self.machines.edit(machine) else {
            return;
        };
        for (job, index) in std::mem::take(&mut m.queued) {
            if let Some(w) = self.jobs.get_mut(&job) {
                w.requeue(index);
            }
        }
    }

    /// Puts a waiting task in a machine's queue.
    pub(crate) fn enqueue(&mut self, machine: &str, job: String, index: u32) {
        if let Some(w) = self.jobs.get_mut(&job) {
            w.remove_pending(index);
        }
        if let Some(mut m) = self.machines.edit(machine) {
            m.queued.push((job, index));
        }
    }
}
