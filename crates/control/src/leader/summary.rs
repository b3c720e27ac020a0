//! Logs the summary of the machines, jobs and tasks.
use super::Leader;
use crate::cluster::{ClusterState, Lifecycle, Machine, Phase};
use crate::context::LeaderContext;
use std::collections::BTreeMap;

/// Counts of the machines and of the tasks on them.
#[derive(Default)]
struct MachineSummary {
    machines: BTreeMap<&'static str, usize>,
    cpus: f64,
    used_cpus: f64,
    queued: usize,
    unstored: usize,
    unconfirmed: usize,
    fetching: usize,
    running: usize,
}

impl MachineSummary {
    fn add(&mut self, cluster: &ClusterState, machine: &Machine, is_silent: bool) {
        let state = match machine.lifecycle {
            Lifecycle::Provisioning => "provisioning",
            Lifecycle::Ready if is_silent => "silent",
            Lifecycle::Ready => "ready",
            Lifecycle::Draining => "draining",
            Lifecycle::Terminating => "terminating",
        };
        *self.machines.entry(state).or_default() += 1;
        if machine.lifecycle == Lifecycle::Ready {
            let machine_type = cluster.machine_type(&machine.machine_type);
            self.cpus += machine_type.map_or(0.0, |t| t.cpus);
            self.used_cpus += machine.used_resources().cpus;
            self.queued += machine.queued.len();
        }
        for placement in &machine.placements {
            match placement.phase {
                Phase::Unstored | Phase::Stored => self.unstored += 1,
                Phase::Startable | Phase::Sent => self.unconfirmed += 1,
                Phase::Fetching | Phase::WaitingForGang => self.fetching += 1,
                Phase::Running | Phase::Checkpointing => self.running += 1,
                Phase::Exited { .. } => {}
            }
        }
    }
}

impl Leader {
    /// Logs one line about the state of the machines, jobs and tasks.
    pub(super) fn log_summary(&self, context: &LeaderContext) {
        let now = context.now.monotonic_ms;
        let interval_s = context.settings.heartbeat_interval_s;
        let mut summary = MachineSummary::default();
        for machine in self.cluster.machines.values() {
            summary.add(&self.cluster, machine, machine.is_silent(now, interval_s));
        }
        let (mut pending, mut late) = (0, 0);
        for job in self.cluster.jobs.values() {
            let tasks = job.pending_tasks.len();
            pending += tasks;
            if job.is_past_deadline(context.now.wall_ms) {
                late += tasks;
            }
        }
        let MachineSummary {
            machines,
            cpus,
            used_cpus,
            queued,
            unstored,
            unconfirmed,
            fetching,
            running,
        } = summary;
        let jobs = self.cluster.jobs.len();
        let threshold = self.scheduler.state.pruner.deferring_threshold;
        log::info!(
            "machines {machines:?}, cpus {used_cpus:.0} of {cpus:.0}; jobs {jobs}, \
             tasks pending {pending} (late {late}), queued {queued}, unstored {unstored}, \
             unconfirmed {unconfirmed}, fetching {fetching}, running {running}; \
             deferring threshold {threshold:.2}"
        );
    }
}
