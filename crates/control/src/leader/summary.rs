//! The line of the log that tells how the fleet and the work stand.
use super::*;

impl Leader {
    /// One line for the log on how the fleet and the work stand.
    pub(super) fn summarize(&self, ctx: &Ctx) {
        let mut lives: BTreeMap<&str, usize> = BTreeMap::new();
        let (mut cpus, mut used, mut held) = (0.0, 0.0, 0);
        let (mut unstored, mut unseen, mut fetching, mut running) = (0, 0, 0, 0);
        for m in self.machines.values() {
            let life = match m.life {
                Life::Booting => "booting",
                Life::Up if m.quiet(ctx.now.ms, ctx.set.report_s) => "silent",
                Life::Up => "up",
                Life::Draining => "draining",
                Life::Deleting => "deleting",
            };
            *lives.entry(life).or_default() += 1;
            if m.life == Life::Up {
                cpus += self.kind(&m.kind).map_or(0.0, |t| t.cpus);
                used += m.used().0;
                held += m.held.len();
            }
            for p in &m.placements {
                match p.phase {
                    Phase::New | Phase::Stored => unstored += 1,
                    Phase::Ready | Phase::Sent => unseen += 1,
                    Phase::Fetching | Phase::Gathering => fetching += 1,
                    Phase::Running | Phase::Saving => running += 1,
                    Phase::Exited { .. } => {}
                }
            }
        }
        let (mut waiting, mut late) = (0, 0);
        for w in self.works.values() {
            let n = w.pending.len();
            waiting += n;
            if w.due_s(ctx.now.wall_ms).is_some_and(|d| d <= 0.0) {
                late += n;
            }
        }
        log::info!(
            "machines {lives:?}, cpus {used:.0} of {cpus:.0}; jobs {}, tasks waiting {waiting} \
             (late {late}), held {held}, unstored {unstored}, not seen yet {unseen}, \
             fetching {fetching}, running {running}; threshold {:.2}",
            self.works.len(),
            self.sched.pruner.deferring
        );
    }
}
