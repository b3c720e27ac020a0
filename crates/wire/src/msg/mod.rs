//! Message bodies, with one module per communication partner. The code uses the usual terms as
//! field names; the names on the wire appear only in serde attributes and in error texts.
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
