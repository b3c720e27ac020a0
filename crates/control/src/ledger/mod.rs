//! What the leader holds about machines, the tasks that may be on them, and the jobs' work.
mod failures;
mod machine;
mod machines;
mod placement;
mod stored;
mod sums;
mod work;

pub use failures::Failures;
pub use machine::{Life, Machine, Reach};
pub use machines::{Edit, Machines};
pub use placement::{Phase, Placement};
pub use stored::{Chunk, Shard, Stored};
pub use work::Work;
