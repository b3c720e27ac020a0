//! What a leader does when its process runs again after a pause; see [`crate::pause`]. The node
//! decides when it may act again: [`crate::context::LeaderContext::leadership_confirmed`].
use super::{Leader, Stage};
use crate::cluster::JobState;
use crate::pause::Pause;

impl Leader {
    /// No machine, boot or job is judged by the time that went by, and nothing is learnt from it.
    pub fn resume(&mut self, pause: Pause, wall_ms: u64) {
        self.lease_renewal.resume(pause.now);
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
            .for_each(|deleted_at| pause.shift(deleted_at));
        for job in self.cluster.jobs.values_mut() {
            resume_job(job, pause, wall_ms);
        }
        self.autoscaler.resume(pause);
    }
}

fn resume_job(job: &mut JobState, pause: Pause, wall_ms: u64) {
    pause.shift_if_set(&mut job.last_placed_at);
    if let Some(gang) = &mut job.gang {
        gang.resume(pause);
    }
    // A deadline that passed meanwhile says nothing about the load: the pruner must not count it.
    job.deadline_missed |= job.is_past_deadline(wall_ms);
}

#[cfg(test)]
#[path = "resume_tests.rs"]
mod tests;
