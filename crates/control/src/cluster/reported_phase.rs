//! Converts the task state in a worker's heartbeat to a placement's phase.
use super::Phase;
use stonegw_wire::msg::{ExitCause, TaskState, TaskStatus};

/// Returns the phase that corresponds to the state a worker reports for a task.
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
