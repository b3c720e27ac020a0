//! The phase of a placement as a worker reports it.
use crate::ledger::Phase;
use stonegw_wire::msg::{ExitCause, TaskReport, TaskState};

/// The phase that a worker reports for a task.
pub(super) fn phase_of(t: &TaskReport) -> Phase {
    match t.state {
        TaskState::Fetching | TaskState::Other => Phase::Fetching,
        TaskState::Gathering => Phase::Gathering,
        TaskState::Running => Phase::Running,
        TaskState::Saving => Phase::Saving,
        TaskState::Exited => Phase::Exited {
            cause: t.why.unwrap_or(ExitCause::Other),
            settled: false,
        },
    }
}

/// A task in this phase still takes its room.
pub(super) fn phase_present(phase: Phase) -> bool {
    !matches!(phase, Phase::Exited { .. })
}
