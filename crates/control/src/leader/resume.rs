//! Resumes the leader after a pause of its process; see [`crate::pause`]. The node decides when the
//! leader may act again: [`crate::context::LeaderContext::leadership_confirmed`].
use super::{Leader, Stage};
use crate::cluster::JobState;
use crate::pause::Pause;

impl Leader {
    /// Adjusts timestamps after the pause, so that the pause does not count toward the silence,
    /// boot or idle time of a machine or toward the time since a job's last placement or a gang's
    /// last attempt, and enters no observed run time or arrival rate. A job's retry time and its
    /// age since the submission are not adjusted.
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
    // A deadline that passed during the pause says nothing about the load. Marking it as missed
    // here keeps the pruner from counting it.
    job.deadline_missed |= job.is_past_deadline(wall_ms);
}

#[cfg(test)]
#[path = "resume_tests.rs"]
mod tests;
