//! What the leader holds about machines, the tasks that may be on them, and the jobs' work.
mod failures;
mod job_state;
mod machine;
mod machines;
mod placement;
mod stored_state;
mod usage_totals;

pub use failures::Failures;
pub use job_state::JobState;
pub use machine::{Lifecycle, Machine, Reachability};
pub use machines::{MachineGuard, Machines};
pub use placement::{Phase, Placement};
pub use stored_state::{MachineGroup, ResultChunk, StoredState};
