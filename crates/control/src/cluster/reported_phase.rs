//! The phase of a placement as a worker reports it.
use super::Phase;
use stonegw_wire::msg::{ExitCause, TaskState, TaskStatus};

/// The phase that a worker reports for a task.
pub(crate) fn reported_phase(status: &TaskStatus) -> Phase {
    match status.state {
        TaskState::Fetching | TaskState::Other => Phase::Fetching,
        TaskState::WaitingForGang => Phase::WaitingForGang,
        TaskState::Running => Phase::Running,
        TaskState::Checkpointing => Phase::Checkpointing,
        TaskState::Exited => Phase::Exited {
            cause: status.exit_cause.unwrap_or(ExitCause::Other),
            outcome_stored: false,
        },
    }
}
