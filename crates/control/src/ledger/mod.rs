//! What the leader holds about machines, the tasks that may be on them, and the jobs' work.
mod failures;
mod machine;
mod machines;
mod placement;
mod stored;
mod sums;
mod work;

pub use failures::Failures;
pub use machine::{Lifecycle, Machine, Reachability};
pub use machines::{MachineGuard, Machines};
pub use placement::{Phase, Placement};
pub use stored::{MachineGroup, ResultChunk, StoredState};
pub use work::JobState;
