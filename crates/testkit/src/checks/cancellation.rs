//! Checks that no task of a job starts or stays on a machine for long after the job was reported
//! cancelled.
use crate::stand_ins::{job_id_of, ClusterView, Ms, SubmittedJob, CANCELLATION_DEADLINE_MS};
use stonegw_wire::msg::{Command, CommandBatch};

/// The longest time after the report of a cancellation at which a node may still send a start
/// command for the job, whichever node reported the cancellation. The protocol forbids any start
/// after that report, but a leader that is the only node to get errors from the store may not know
/// of the cancellation yet: its own lease lasts 4 s from the last renewal, and a call takes up to
/// 1.5 s.
const START_AFTER_CANCEL_LIMIT_MS: Ms = 6_000;

fn is_past_cancellation_deadline(job: &SubmittedJob, now: Ms) -> bool {
    job.is_cancelled_for_longer_than(now, CANCELLATION_DEADLINE_MS)
}

/// Returns the start commands in a batch that a node sends for jobs that were reported cancelled
/// more than [`START_AFTER_CANCEL_LIMIT_MS`] ago. A start is allowed if the same batch also stops
/// the task: the pair uses up an attempt whose start command may still arrive late.
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
        job.is_some_and(|job| job.is_cancelled_for_longer_than(now, START_AFTER_CANCEL_LIMIT_MS))
    };
    let mut violations = vec![];
    for command in &batch.commands {
        if let Command::Start { task_id, .. } = command {
            if is_cancelled(task_id) && !is_stopped(task_id) {
                violations.push(format!(
                    "started_cancelled {task_id}: start command sent by node-{node}"
                ));
            }
        }
    }
    violations
}

/// Returns a violation if a task starts more than [`CANCELLATION_DEADLINE_MS`] after its job was
/// reported cancelled.
pub(super) fn find_late_start(
    job: &SubmittedJob,
    now: Ms,
    machine_id: &str,
    task_id: &str,
) -> Option<String> {
    is_past_cancellation_deadline(job, now)
        .then(|| format!("ran_cancelled {task_id} starts on {machine_id}"))
}

/// Returns a violation for each task that is still on a machine more than
/// [`CANCELLATION_DEADLINE_MS`] after its job was reported cancelled.
pub(super) fn find_tasks_of_cancelled_jobs(cluster: ClusterView, now: Ms) -> Vec<String> {
    let mut jobs = cluster.jobs.values();
    if !jobs.any(|job| is_past_cancellation_deadline(job, now)) {
        return vec![];
    }
    let mut violations = vec![];
    for worker in cluster.workers.values() {
        for task_id in worker.tasks_on_machine() {
            if is_past_cancellation_deadline(&cluster.jobs[job_id_of(task_id)], now) {
                violations.push(format!("ran_cancelled {task_id} still on {}", worker.id));
            }
        }
    }
    violations
}
