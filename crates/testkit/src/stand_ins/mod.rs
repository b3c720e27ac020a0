//! Models of what surrounds the controllers: the key-value store, the cloud, the workers, the
//! users' jobs, and the faults in force. None of them knows the simulation.
mod cloud;
mod cluster;
mod faults;
mod job;
mod parameters;
mod store;
mod task;
mod worker;

pub use cloud::{Cloud, CloudMachine};
pub use cluster::ClusterView;
pub use faults::{
    HeartbeatDuplication, IsolatedNode, NetworkFaults, NodePair, SampledFault, StoreFaults,
    StoreSlowdown, TransactionFault, TransactionFaultKind, UserFaults, WorkerFaults, ZonePartition,
};
pub use job::{default_job_spec, SubmittedJob};
pub use parameters::*;
pub use store::{KeyValueStore, Lease, StoreLimits, StoredEntry};
pub use task::{job_id_of, parse_task_id, GangRunId, Task, TaskKey};
pub use worker::{machine_address, machine_id, HeartbeatInFlight, Worker};
pub(crate) use worker::{HEARTBEAT_RETRY_MS, HEARTBEAT_TIMEOUT_MS};

use stonegw_wire::msg::{encode, ErrorBody};

/// Milliseconds of simulated time, or a span of it.
pub type Ms = u64;

/// A response of the key-value store, the cloud or a worker.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body in MessagePack.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Status 200 with a body.
    pub(crate) fn ok(body: Vec<u8>) -> HttpResponse {
        HttpResponse { status: 200, body }
    }

    /// A status and the reason for it.
    pub(crate) fn error(status: u16, reason: &str) -> HttpResponse {
        let body = encode(&ErrorBody {
            error: reason.into(),
        });
        HttpResponse { status, body }
    }
}

/// An empty map in MessagePack.
const EMPTY_MAP: u8 = 0x80;

/// The value of a parameter in a path's query.
pub(crate) fn query_parameter<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    query
        .split('&')
        .find_map(|parameter| parameter.strip_prefix(name)?.strip_prefix('='))
}
