//! The protocol's rules as checks on the models: when commands leave a node, when a task starts,
//! when a response arrives, and as time passes. Each check returns the violations that it finds,
//! the rule's name first; the simulation calls it and records them.
mod cancellation;
mod capacity;
mod edge_case;
mod placement;

pub(crate) use capacity::check_waits_beside_capacity;
pub use edge_case::EdgeCaseRequest;
pub(crate) use edge_case::{check_edge_case_reply, EdgeCaseReply};

use crate::stand_ins::{ClusterView, Ms, TaskKey};
use cancellation::{find_late_start, find_starts_of_cancelled_jobs, find_tasks_of_cancelled_jobs};
use placement::{find_duplicate_runs, find_misplacements, TeamUsage};
use std::collections::BTreeSet;
use stonegw_wire::msg::{decode, CommandBatch};

/// The checks that remember something from one time to the next.
#[derive(Default)]
pub(crate) struct RuleChecks {
    team_usage: TeamUsage,
    /// Whether any job was reported cancelled: before that commands need not be decoded.
    any_job_cancelled: bool,
    /// Violations by tasks of cancelled jobs that were returned already.
    known_cancelled_tasks: BTreeSet<String>,
}

impl RuleChecks {
    /// A job was reported cancelled.
    pub(crate) fn record_cancellation(&mut self) {
        self.any_job_cancelled = true;
    }

    /// Commands leave a node, encoded as a heartbeat's reply or a direct call.
    pub(crate) fn check_sent_commands(
        &self,
        cluster: ClusterView,
        now: Ms,
        node: usize,
        body: &[u8],
    ) -> Vec<String> {
        if !self.any_job_cancelled {
            return vec![];
        }
        match decode::<CommandBatch>(body) {
            Ok(batch) => find_starts_of_cancelled_jobs(cluster, now, node, &batch),
            Err(_) => vec![],
        }
    }

    /// A task is on a machine from now on.
    pub(crate) fn check_task_start(
        &mut self,
        cluster: ClusterView,
        now: Ms,
        machine_id: &str,
        key: &TaskKey,
        team_limit_cpus: f64,
    ) -> Vec<String> {
        let job = &cluster.jobs[key.job_id()];
        let mut violations = find_duplicate_runs(cluster, machine_id, &key.task_id);
        violations.extend(find_late_start(job, now, machine_id, &key.task_id));
        violations.extend(
            self.team_usage
                .check_start(cluster, &job.spec, team_limit_cpus),
        );
        violations.extend(find_misplacements(cluster, machine_id, &key.task_id));
        violations
    }

    /// Tasks of jobs that were reported cancelled too long ago; each is returned once.
    pub(crate) fn check_cancelled_tasks(&mut self, cluster: ClusterView, now: Ms) -> Vec<String> {
        let mut violations = find_tasks_of_cancelled_jobs(cluster, now);
        violations.retain(|violation| self.known_cancelled_tasks.insert(violation.clone()));
        violations
    }
}
