//! Adds tasks to the machines' queues and removes them. A queued task waits for the capacity that
//! becomes free next on its machine.
use super::{ClusterState, TaskKey};

impl ClusterState {
    /// Removes a task from the queues of all machines, without making it pending.
    pub fn dequeue(&mut self, job: &str, index: u32) {
        if !self.machines.is_queued(job, index) {
            return;
        }
        for machine_id in self.machines.machines_of_job(job) {
            if let Some(mut machine) = self.machines.edit(&machine_id) {
                machine
                    .queued
                    .retain(|task| (task.job.as_str(), task.index) != (job, index));
            }
        }
    }

    /// Empties a machine's queue and makes its tasks pending again, so that they do not take
    /// capacity that is reserved or being freed by preemption.
    pub fn requeue_machine_queue(&mut self, machine_id: &str) {
        let Some(mut machine) = self.machines.edit(machine_id) else {
            return;
        };
        for task in std::mem::take(&mut machine.queued) {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.requeue(task.index);
            }
        }
    }

    /// Moves a pending task to the end of a machine's queue.
    pub(crate) fn enqueue(&mut self, machine_id: &str, job_id: String, index: u32) {
        if let Some(job) = self.jobs.get_mut(&job_id) {
            job.remove_pending(index);
        }
        if let Some(mut machine) = self.machines.edit(machine_id) {
            machine.queued.push(TaskKey { job: job_id, index });
        }
    }
}
