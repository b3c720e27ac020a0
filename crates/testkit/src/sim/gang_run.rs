//! The runs of gangs: the tasks that started together, and the phase of each run.
use crate::stand_ins::{GangRunId, Ms, TaskKey, GANG_PEER_TIMEOUT_MS};
use std::collections::BTreeMap;
use std::ops::Range;

/// The phase of a run.
pub(super) enum GangRunPhase {
    Running,
    /// A task received a stop at `since`; the job has made no progress from then on.
    Stopping {
        since: Ms,
    },
    /// Every task received a stop in time and the first has exited, so the progress is saved.
    Saved,
    /// A task disappeared, or did not receive a stop in time.
    Failed {
        since: Ms,
    },
}

/// One run of a gang: a set of tasks that started together.
pub(super) struct GangRun {
    pub job_id: String,
    pub attempt: u64,
    /// The machine of each task, by index.
    pub machines: Vec<String>,
    /// The job's saved progress when the run started.
    pub initial_progress_ms: Ms,
    pub started_at: Ms,
    pub phase: GangRunPhase,
    /// When each task received a stop with enough grace to save, by task index.
    pub stop_received_at: BTreeMap<u32, Ms>,
}

impl GangRun {
    pub(super) fn task_key(&self, index: u32) -> TaskKey {
        TaskKey::new(&format!("{}/{index}", self.job_id), self.attempt)
    }

    pub(super) fn machine_of(&self, index: u32) -> &str {
        &self.machines[index as usize]
    }

    pub(super) fn task_indices(&self) -> Range<u32> {
        0..self.machines.len() as u32
    }

    /// Returns the job's progress at `now`, assuming that the run was never stopped.
    pub(super) fn progress_at(&self, now: Ms) -> Ms {
        self.initial_progress_ms + (now - self.started_at)
    }

    pub(super) fn have_all_received_stop(&self) -> bool {
        self.stop_received_at.len() == self.machines.len()
    }

    /// Returns when a task that received a stop exits, given that all tasks received one in time:
    /// after it has saved, and not before the last stop was received.
    pub(super) fn save_exit_at(&self, index: u32, save_ms: Ms) -> Ms {
        let last_stop = self.stop_received_at.values().max().copied().unwrap_or(0);
        last_stop.max(self.stop_received_at[&index] + save_ms)
    }

    /// Returns how long after a failure the task detects it. The delay varies with the task's index
    /// and the attempt.
    pub(super) fn failure_detection_ms(&self, index: u32) -> Ms {
        let quarters = 1 + (u64::from(index) + self.attempt) % 4;
        GANG_PEER_TIMEOUT_MS * quarters / 4
    }
}

/// The runs that still have tasks, by run id.
#[derive(Default)]
pub(super) struct GangRuns {
    pub by_id: BTreeMap<GangRunId, GangRun>,
    last_id: GangRunId,
}

impl GangRuns {
    pub(super) fn allocate_id(&mut self) -> GangRunId {
        self.last_id += 1;
        self.last_id
    }

    pub(super) fn ids(&self) -> Vec<GangRunId> {
        self.by_id.keys().copied().collect()
    }

    pub(super) fn get(&self, id: GangRunId) -> &GangRun {
        &self.by_id[&id]
    }

    pub(super) fn get_mut(&mut self, id: GangRunId) -> &mut GangRun {
        self.by_id.get_mut(&id).expect("the run exists")
    }
}
