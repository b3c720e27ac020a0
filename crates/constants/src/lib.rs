//! Every constant of the project, with its unit and the reason for its value.
//!
//! The unit ends the name where there is one: `_MS` (milliseconds), `_S` (seconds), `_BYTES`.
//! `_FRACTION` is a part from 0 to 1, `_DIVISOR` an integer one: one in so many.
//!
//! What a deployment decides (limits, leases, prices, teams) is not here: it comes from the
//! settings, the machine catalogue or observation.
#![deny(missing_docs)]

mod admission;
mod autoscaler;
mod connections;
mod gangs;
mod http;
mod isolation;
mod leadership;
mod machine_health;
mod preemption;
mod scheduling;
mod store;
mod store_records;
mod tasks;
mod upgrade;

pub use admission::*;
pub use autoscaler::*;
pub use connections::*;
pub use gangs::*;
pub use http::*;
pub use isolation::*;
pub use leadership::*;
pub use machine_health::*;
pub use preemption::*;
pub use scheduling::*;
pub use store::*;
pub use store_records::*;
pub use tasks::*;
pub use upgrade::*;
