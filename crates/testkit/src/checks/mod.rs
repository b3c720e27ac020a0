//! Checks of the protocol's rules on the models. They run when a node sends commands, when a task
//! starts, when a reply arrives, and at regular intervals. Each check returns the violations that
//! it finds, each beginning with the name of the rule; the simulation calls the checks and records
//! the violations. The protocol defines some of the rules' names, such as `invented` and
//! `went_back`; they must not be renamed.
mod cancellation;
mod capacity;
mod edge_case;
mod placement;

pub(crate) use capacity::check_waits_despite_capacity;
pub use edge_case::EdgeCaseRequest;
pub(crate) use edge_case::{check_edge_case_reply, EdgeCaseReply};

use crate::stand_ins::{ClusterView, Ms, TaskKey};
use cancellation::{find_late_start, find_starts_of_cancelled_jobs, find_tasks_of_cancelled_jobs};
use placement::{find_duplicate_runs, find_misplacements, TeamUsage};
use std::collections::BTreeSet;
use stonegw_wire::msg::{decode, CommandBatch};

/// The checks that keep state between calls.
#[derive(Default)]
pub(crate) struct RuleChecks {
    team_usage: TeamUsage,
    /// Whether any job was reported cancelled. Until then commands are not decoded.
    any_job_cancelled: bool,
    /// The violations by tasks of cancelled jobs that were already returned.
    returned_violations: BTreeSet<String>,
}

impl RuleChecks {
    /// Records that a job was reported cancelled.
    pub(crate) fn record_cancellation(&mut self) {
        self.any_job_cancelled = true;
    }

    /// Returns the violations in commands that a node sends; `body` is the encoded batch, either
    /// the reply to a heartbeat or the body of a direct call.
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

    /// Returns the violations that a task causes by starting on a machine.
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

    /// Returns the violations by tasks that stay on machines although their jobs were reported
    /// cancelled too long ago. Each violation is returned once.
    pub(crate) fn check_cancelled_tasks(&mut self, cluster: ClusterView, now: Ms) -> Vec<String> {
        let mut violations = find_tasks_of_cancelled_jobs(cluster, now);
        violations.retain(|violation| self.returned_violations.insert(violation.clone()));
        violations
    }
}
