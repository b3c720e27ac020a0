//! The leader's calls in flight, each with the data that is needed to handle its response.
use crate::api::Millis;
use crate::pending_write::PendingWrite;
use crate::store_limits::TransactionSize;

/// A call of the leader whose response is pending.
#[derive(Debug)]
pub enum LeaderCall {
    /// Renews the lease of the leader key.
    RenewLease {
        /// Time at which the request was sent. If the renewal succeeds, the lease's time to live
        /// counts from this time at the earliest.
        sent_at: Millis,
    },
    /// Reads a page of the records that earlier leaders stored.
    LoadRecords {
        /// The prefix of the records' keys.
        prefix: &'static str,
    },
    /// Commits a transaction.
    Commit {
        /// The writes of the transaction.
        writes: Vec<PendingWrite>,
        /// The size of the transaction. If the store rejects the transaction, the limits are
        /// lowered according to this size.
        size: TransactionSize,
    },
    /// Reads the revision of a key whose last write was not acknowledged.
    ReadRevision {
        /// The unacknowledged write.
        write: PendingWrite,
    },
    /// Sends commands to a worker directly, instead of in the reply to a heartbeat.
    DirectCommand(DirectCommand),
    /// Probes a machine that is unreachable or not trusted. A response shows that commands reach
    /// the machine again.
    Probe {
        /// The id of the machine.
        machine: String,
    },
    /// Makes a call to the cloud provider's API.
    Autoscaler(AutoscalerCall),
}

/// Commands that were sent to a worker directly.
#[derive(Debug)]
pub struct DirectCommand {
    /// The id of the machine.
    pub machine: String,
    /// The incarnation of the worker that the commands are addressed to.
    pub incarnation: u64,
    /// The fencing token of the commands.
    pub fencing_token: u64,
    /// The attempts that the commands start.
    pub started_attempts: Vec<u64>,
}

impl LeaderCall {
    /// Returns whether the call goes to the key-value store.
    pub fn targets_store(&self) -> bool {
        match self {
            LeaderCall::RenewLease { .. }
            | LeaderCall::LoadRecords { .. }
            | LeaderCall::Commit { .. }
            | LeaderCall::ReadRevision { .. } => true,
            LeaderCall::DirectCommand(_) | LeaderCall::Probe { .. } | LeaderCall::Autoscaler(_) => {
                false
            }
        }
    }
}

/// A call of the autoscaler to the cloud provider's API.
#[derive(Debug)]
pub enum AutoscalerCall {
    /// Reads the catalogue of machine types.
    ReadCatalog,
    /// Reads a page of the machine list.
    ListMachines,
    /// Requests new machines.
    Provision {
        /// The number of the provisioning request.
        number: u64,
    },
    /// Deletes machines.
    Terminate {
        /// The ids of the machines.
        machine_ids: Vec<String>,
    },
}
