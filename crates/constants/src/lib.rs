//! The project's shared constants, with their units and the reasons for their values.
//!
//! The suffix of a name gives the unit: `_MS` (milliseconds), `_S` (seconds), `_BYTES`. A
//! `_FRACTION` is a factor from 0 to 1, and a `_DIVISOR` an integer by which a total is divided.
//!
//! Values that depend on the deployment (limits, leases, prices, teams) come from the settings, the
//! machine catalogue or observation instead.
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
