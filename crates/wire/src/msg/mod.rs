//! Message bodies, by counterpart. Field names inside are the usual terms; the names on the wire
//! stand in the serde attributes and nowhere else.
mod cloud;
mod encoding;
mod error;
mod job_spec;
mod store;
mod submission;
mod worker;

pub use cloud::{
    Catalog, ListedMachine, MachineIds, MachineListPage, MachineState, MachineType,
    ProvisionRequest,
};
pub use encoding::{decode, encode, json_size_bytes, DecodeError};
pub use error::ErrorBody;
pub use job_spec::{is_job_id, JobKind, JobSpec, JobSpecError, Priority, MAX_TASKS};
pub use store::{
    Condition, Entry, LeaseRequest, LeaseResponse, ListPage, Txn, TxnResponse, WatchEvent,
    WatchResponse, Write,
};
pub use submission::{JobPhase, JobStatus};
pub use worker::{Command, CommandBatch, ExitCause, Heartbeat, Redirect, TaskState, TaskStatus};
