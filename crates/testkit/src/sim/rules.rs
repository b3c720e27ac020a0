//! Calls the rule checks at the events that they concern, and records the violations.
use super::event::{FollowUp, SimulationEvent};
use super::simulation::{Simulation, INVARIANT_CHECK_INTERVAL_MS};
use crate::checks::check_waits_despite_capacity;
use crate::stand_ins::{parse_task_id, ClusterView, Ms, TaskKey};
use stonegw_wire::msg::JobKind;

const CAPACITY_CHECK_INTERVAL_MS: Ms = 1_000;

impl Simulation {
    /// Advances the gangs, and checks the rules that the passing of time alone can break.
    pub(super) fn advance_gangs_and_check_rules(&mut self) {
        self.advance_gangs();
        let cluster = ClusterView {
            workers: &self.workers,
            jobs: &self.jobs,
        };
        let violations = self.rules.check_cancelled_tasks(cluster, self.now);
        self.record_violations(violations);
        let faults_are_over = self.faults_over_at.is_some_and(|at| self.now >= at);
        if faults_are_over && self.now % CAPACITY_CHECK_INTERVAL_MS == 0 {
            let settings = &self.nodes[0].settings;
            let violations =
                check_waits_despite_capacity(&self.workers, &mut self.jobs, settings, self.now);
            self.record_violations(violations);
        }
        self.schedule_after(INVARIANT_CHECK_INTERVAL_MS, SimulationEvent::InvariantCheck);
    }

    /// Checks the commands that a node sends.
    pub(super) fn check_sent_commands(&mut self, node: usize, body: &[u8]) {
        let cluster = self.cluster();
        let violations = self
            .rules
            .check_sent_commands(cluster, self.now, node, body);
        self.record_violations(violations);
    }

    /// Records that a task is on a machine from now on, and checks the rules for it.
    pub(super) fn record_task_start(&mut self, machine_id: &str, key: &TaskKey) {
        self.append_log(format!("{key} starts on {machine_id}"));
        let job = self
            .jobs
            .get_mut(key.job_id())
            .expect("the job was submitted");
        if job.spec.kind != JobKind::Gang {
            // A gang counts as started only when all its tasks run.
            job.started_at.get_or_insert(self.now);
            job.starved_since = None;
        }
        let team = self.nodes[0].settings.team(&job.spec.team);
        let limit_cpus = team.expect("the team is configured").limit_cpus;
        let cluster = ClusterView {
            workers: &self.workers,
            jobs: &self.jobs,
        };
        let violations = self
            .rules
            .check_task_start(cluster, self.now, machine_id, key, limit_cpus);
        self.record_violations(violations);
    }

    /// Records that a task is done. If it was the last task of its job, schedules the user's
    /// cancellation if one is to follow the end of the job.
    pub(super) fn record_task_done(&mut self, key: &TaskKey) {
        let (job_id, index) = parse_task_id(&key.task_id);
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        let is_last = job.finished_tasks.insert(index) && job.has_finished_all_tasks();
        if let Some(delay_ms) = job.cancel_after_end_ms.filter(|_| is_last) {
            let cancel = FollowUp::CancelJob(job_id.to_owned());
            self.schedule_after(delay_ms, SimulationEvent::FollowUp(cancel));
        }
    }
}
