//! Models of the controllers' environment: the key-value store, the cloud, the workers, the users'
//! jobs, and the active faults. The models don't depend on the simulation.
mod cloud;
mod cluster;
mod faults;
mod http;
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
pub use http::HttpResponse;
pub(crate) use http::{query_number, query_parameter};
pub use job::{default_job_spec, SubmittedJob};
pub use parameters::{
    Ms, CANCELLATION_DEADLINE_MS, CLOUD_LATENCY_MS, GANG_PEER_TIMEOUT_MS, GANG_WAIT_TIMEOUT_MS,
    HEARTBEAT_INTERVAL_MS, MACHINE_CPUS, MACHINE_MEMORY_GB, RESOURCE_EPSILON, STORE_LATENCY_MS,
    TASK_FAILURE_DELAY_MS, WORKER_LEASE_MS,
};
pub use store::{KeyValueStore, Lease, StoreLimits, StoredEntry};
pub use task::{job_id_of, parse_task_id, GangRunId, Task, TaskKey};
pub use worker::{machine_address, machine_id, HeartbeatInFlight, Worker};
pub(crate) use worker::{HEARTBEAT_RETRY_MS, HEARTBEAT_TIMEOUT_MS};
