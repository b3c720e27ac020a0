//! The state service, the cloud and the workers, as the protocol describes them.
mod cloud;
mod state;
mod worker;

pub use cloud::Cloud;
pub use state::{Limits, State};
pub use worker::{addr_of, GangRunId, Task, TaskKey, Worker};

use stonegw_wire::msg::{encode, ErrorBody};

/// Milliseconds of simulated time, or a span of it.
pub type Ms = u64;
/// Status and body of a response.
pub type Answer = (u16, Vec<u8>);

fn error(status: u16, why: &str) -> Answer {
    (status, encode(&ErrorBody { error: why.into() }))
}

/// The value of a parameter in a path's query.
pub(crate) fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, q) = path.split_once('?')?;
    q.split('&')
        .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
}
