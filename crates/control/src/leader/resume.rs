//! What a leader does when its process runs again after a pause; see [`crate::pause`]. That it acts
//! only once it is proven to lead still is decided by the node (`Ctx::proven`).
use super::*;
use crate::cluster::JobState;
use crate::pause::Pause;

impl Leader {
    /// No machine, boot or job is judged by the time that went by, and nothing is learnt from it.
    pub fn resume(&mut self, pause: Pause, wall_ms: u64) {
        // The lease is asked for anew at once; an answer from before shows no more than its own time.
        self.renewal_in_flight = false;
        self.next_renewal_at = pause.now;
        pause.shift(&mut self.term_began_at);
        if let Stage::AwaitingHeartbeats { until } = &mut self.stage {
            pause.shift(until);
        }
        self.cluster
            .machines
            .edit_all(|machine| machine.resume(pause));
        self.cluster
            .deleted_machines
            .values_mut()
            .for_each(|at| pause.shift(at));
        for work in self.cluster.jobs.values_mut() {
            resume_job(work, pause, wall_ms);
        }
        self.autoscaler.resume(pause);
    }
}

fn resume_job(work: &mut JobState, pause: Pause, wall_ms: u64) {
    pause.shift_if_set(&mut work.last_placed_at);
    if let Some(gang) = &mut work.gang {
        gang.resume(pause);
    }
    // A deadline that passed meanwhile tells nothing of the load: the pruning toggle must not see it.
    work.deadline_missed |= work
        .seconds_to_deadline(wall_ms)
        .is_some_and(|due_s| due_s <= 0.0);
}

#[cfg(test)]
#[path = "resume_tests.rs"]
mod tests;
