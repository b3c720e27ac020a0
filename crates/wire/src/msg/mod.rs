//! Message bodies, by counterpart. Field names inside are the field's usual terms; the names on
//! the wire stand in the serde attributes and nowhere else.
mod cloud;
mod encoding;
mod error;
mod store;
mod submission;
mod worker;

pub use cloud::*;
pub use encoding::*;
pub use error::*;
pub use store::*;
pub use submission::*;
pub use worker::*;
