//! No task of a job may start or stay for long once the job was reported cancelled.
use crate::stand_ins::{job_id_of, ClusterView, Ms, SubmittedJob, CANCELLATION_DEADLINE_MS};
use stonegw_wire::msg::{Command, CommandBatch};

/// By the protocol no task may start once its job is reported cancelled. A leader that the store
/// refuses alone may not know it yet: its own lease lasts 4 s from the last renewal, and a call
/// 1.5 s. Later than that no start command may be sent, wherever the cancellation was reported.
const START_AFTER_CANCEL_LIMIT_MS: Ms = 6_000;

fn is_cancelled_for_long(job: &SubmittedJob, now: Ms) -> bool {
    job.was_cancelled_before(now, CANCELLATION_DEADLINE_MS)
}

/// Commands leave a node. None of them starts a task of a job that has been cancelled for long,
/// unless the same batch stops it: that uses up an attempt which may still arrive.
pub(super) fn find_starts_of_cancelled_jobs(
    cluster: ClusterView,
    now: Ms,
    node: usize,
    batch: &CommandBatch,
) -> Vec<String> {
    let is_stopped = |started: &str| {
        batch
            .commands
            .iter()
            .any(|command| matches!(command, Command::Stop { task_id, .. } if task_id == started))
    };
    let is_cancelled = |task_id: &str| {
        let job = cluster.jobs.get(job_id_of(task_id));
        job.is_some_and(|job| job.was_cancelled_before(now, START_AFTER_CANCEL_LIMIT_MS))
    };
    let mut violations = vec![];
    for command in &batch.commands {
        if let Command::Start { task_id, .. } = command {
            if is_cancelled(task_id) && !is_stopped(task_id) {
                violations.push(format!("started_cancelled {task_id} by node-{node}"));
            }
        }
    }
    violations
}

/// The task that starts now belongs to a job that has been cancelled for too long.
pub(super) fn find_late_start(
    job: &SubmittedJob,
    now: Ms,
    machine_id: &str,
    task_id: &str,
) -> Option<String> {
    is_cancelled_for_long(job, now)
        .then(|| format!("ran_cancelled {task_id} starts on {machine_id}"))
}

/// Tasks on machines whose jobs have been cancelled for too long.
pub(super) fn find_tasks_of_cancelled_jobs(cluster: ClusterView, now: Ms) -> Vec<String> {
    let mut jobs = cluster.jobs.values();
    if !jobs.any(|job| is_cancelled_for_long(job, now)) {
        return vec![];
    }
    let mut violations = vec![];
    for worker in cluster.workers.values() {
        for task_id in worker.tasks_on_machine() {
            if is_cancelled_for_long(&cluster.jobs[job_id_of(task_id)], now) {
                violations.push(format!("ran_cancelled {task_id} on {}", worker.id));
            }
        }
    }
    violations
}
