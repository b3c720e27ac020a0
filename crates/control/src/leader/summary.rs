//! The line of the log that tells how the fleet and the work stand.
use super::*;

impl Leader {
    /// One line for the log on how the fleet and the work stand.
    pub(super) fn log_summary(&self, context: &LeaderContext) {
        let mut lives: BTreeMap<&str, usize> = BTreeMap::new();
        let (mut cpus, mut used, mut held) = (0.0, 0.0, 0);
        let (mut unstored, mut unseen, mut fetching, mut running) = (0, 0, 0, 0);
        for m in self.cluster.machines.values() {
            let life = match m.lifecycle {
                Lifecycle::Provisioning => "booting",
                Lifecycle::Ready
                    if m.is_silent(
                        context.now.monotonic_ms,
                        context.settings.heartbeat_interval_s,
                    ) =>
                {
                    "silent"
                }
                Lifecycle::Ready => "up",
                Lifecycle::Draining => "draining",
                Lifecycle::Terminating => "deleting",
            };
            *lives.entry(life).or_default() += 1;
            if m.lifecycle == Lifecycle::Ready {
                cpus += self
                    .cluster
                    .machine_type(&m.machine_type)
                    .map_or(0.0, |t| t.cpus);
                used += m.used_resources().0;
                held += m.queued.len();
            }
            for p in &m.placements {
                match p.phase {
                    Phase::Unstored | Phase::Stored => unstored += 1,
                    Phase::Startable | Phase::Sent => unseen += 1,
                    Phase::Fetching | Phase::WaitingForGang => fetching += 1,
                    Phase::Running | Phase::Checkpointing => running += 1,
                    Phase::Exited { .. } => {}
                }
            }
        }
        let (mut waiting, mut late) = (0, 0);
        for w in self.cluster.jobs.values() {
            let n = w.pending_tasks.len();
            waiting += n;
            if w.seconds_to_deadline(context.now.wall_ms)
                .is_some_and(|d| d <= 0.0)
            {
                late += n;
            }
        }
        log::info!(
            "machines {lives:?}, cpus {used:.0} of {cpus:.0}; jobs {}, tasks waiting {waiting} \
             (late {late}), held {held}, unstored {unstored}, not seen yet {unseen}, \
             fetching {fetching}, running {running}; threshold {:.2}",
            self.cluster.jobs.len(),
            self.scheduler.state.pruner.deferring_threshold
        );
    }
}
