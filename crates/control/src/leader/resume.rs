//! What a leader does when its process runs again after a pause; see [`crate::pause`]. That it acts
//! only once it is proven to lead still is decided by the node (`Ctx::proven`).
use super::*;
use crate::ledger::Work;
use crate::pause::Pause;

impl Leader {
    /// No machine, boot or job is judged by the time that went by, and nothing is learnt from it.
    pub fn resume(&mut self, pause: Pause, wall_ms: u64) {
        // The lease is asked for anew at once; an answer from before shows no more than its own time.
        self.renewing = false;
        self.renew_at = pause.now;
        pause.shift(&mut self.since);
        if let Stage::Settling { until } = &mut self.stage {
            pause.shift(until);
        }
        self.machines.edit_all(|machine| machine.resume(pause));
        self.deleted.values_mut().for_each(|at| pause.shift(at));
        for work in self.works.values_mut() {
            resume_work(work, pause, wall_ms);
        }
        self.fleet.resume(pause);
    }
}

fn resume_work(work: &mut Work, pause: Pause, wall_ms: u64) {
    pause.shift_some(&mut work.moved_at);
    if let Some(gang) = &mut work.gang {
        gang.resume(pause);
    }
    // A deadline that passed meanwhile tells nothing of the load: the pruning toggle must not see it.
    work.missed |= work.due_s(wall_ms).is_some_and(|due_s| due_s <= 0.0);
}

#[cfg(test)]
#[path = "resume_tests.rs"]
mod tests;
