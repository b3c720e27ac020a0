//! The state service, the cloud and the workers, as the protocol describes them.
mod cloud;
mod store;
mod worker;

pub use cloud::Cloud;
pub use store::{KeyValueStore, StoreLimits};
pub use worker::{machine_address, GangRunId, Task, TaskKey, Worker};

use stonegw_wire::msg::{encode, ErrorBody};

/// Milliseconds of simulated time, or a span of it.
pub type Ms = u64;
/// Status and body of a response.
pub type Response = (u16, Vec<u8>);

fn error_response(status: u16, why: &str) -> Response {
    (status, encode(&ErrorBody { error: why.into() }))
}

/// The value of a parameter in a path's query.
pub(crate) fn query_parameter<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, q) = path.split_once('?')?;
    q.split('&')
        .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
}
