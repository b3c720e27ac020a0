//! A combined view of workers and jobs, for queries about where tasks are.
use super::job::SubmittedJob;
use super::task::{job_id_of, Task, TaskKey};
use super::worker::Worker;
use std::collections::BTreeMap;
use stonegw_wire::msg::TaskState;

/// A view of all workers and all jobs.
#[derive(Clone, Copy)]
pub struct ClusterView<'a> {
    /// The workers by machine id.
    pub workers: &'a BTreeMap<String, Worker>,
    /// The jobs by id.
    pub jobs: &'a BTreeMap<String, SubmittedJob>,
}

impl<'a> ClusterView<'a> {
    /// Returns the attempts of a job's tasks that workers know, including exited ones.
    fn tasks_of_job(self, job_id: &'a str) -> impl Iterator<Item = (&'a TaskKey, &'a Task)> {
        self.workers
            .values()
            .flat_map(|worker| &worker.tasks)
            .filter(move |(key, _)| key.job_id() == job_id)
    }

    /// Returns the attempts of a job's tasks that have not exited.
    pub fn present_tasks_of_job(
        self,
        job_id: &'a str,
    ) -> impl Iterator<Item = (&'a TaskKey, &'a Task)> {
        self.tasks_of_job(job_id)
            .filter(|(_, task)| task.is_present())
    }

    /// Returns the number of the job's tasks in a state, over all machines.
    pub fn count_tasks_in_state(self, job_id: &'a str, state: TaskState) -> usize {
        self.tasks_of_job(job_id)
            .filter(|(_, task)| task.state == state)
            .count()
    }

    /// Returns the number of the job's tasks on spot machines that have not exited.
    pub fn count_tasks_on_spot(self, job_id: &str) -> usize {
        let spot_workers = self.workers.values().filter(|worker| worker.is_spot);
        spot_workers
            .flat_map(Worker::present_tasks)
            .filter(|(key, _)| key.job_id() == job_id)
            .count()
    }

    /// Returns the number of the job's tasks on machines in each zone, for zones that have any.
    pub fn count_tasks_by_zone(self, job_id: &str) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for worker in self.workers.values() {
            let tasks = worker.tasks_on_machine();
            let count = tasks.filter(|task| job_id_of(task) == job_id).count() as u32;
            if count > 0 {
                *counts.entry(worker.zone.clone()).or_default() += count;
            }
        }
        counts
    }

    /// Returns the machines with an attempt of the task that has not exited.
    pub fn machines_holding_task(self, task_id: &str) -> Vec<String> {
        self.workers
            .values()
            .filter(|worker| worker.has_present_task(task_id))
            .map(|worker| worker.id.clone())
            .collect()
    }
}
