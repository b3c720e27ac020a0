//! What the leader holds about machines, the tasks that may be on them, and the jobs' work.
mod failures;
mod job_state;
mod machine;
mod machines;
mod pending_write;
mod placement;
mod placement_rules;
mod reported_phase;
mod stored_state;
mod usage_totals;

pub use failures::Failures;
pub use job_state::JobState;
pub use machine::{Lifecycle, Machine, Reachability};
pub use machines::{MachineGuard, Machines};
pub(crate) use pending_write::pending_write_key;
pub use pending_write::{PendingWrite, PlacementRef};
pub use placement::{Phase, Placement};
pub use placement_rules::{is_immediate, zone_allows};
pub(crate) use reported_phase::{is_present_phase, reported_phase};
pub use stored_state::{MachineGroup, ResultChunk, StoredState};
