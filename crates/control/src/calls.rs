//! The calls of the leader that wait for an answer, each with what the answer is needed for.
use crate::api::Millis;
use crate::pending_write::PendingWrite;
use crate::store_limits::TransactionSize;

/// A call of the leader that waits for its answer.
#[derive(Debug)]
pub enum LeaderCall {
    /// Renews the lease of the leader key.
    RenewLease {
        /// When it was sent: the lease lasts from then on at least.
        sent_at: Millis,
    },
    /// Reads a page of the records that earlier leaders stored.
    LoadRecords {
        /// The prefix of their keys.
        prefix: &'static str,
    },
    /// A transaction.
    Commit {
        /// What it writes.
        writes: Vec<PendingWrite>,
        /// How large it is, for the limits to be learnt from a refusal.
        size: TransactionSize,
    },
    /// Reads the revision of a key whose last write was not acknowledged.
    ReadRevision {
        /// That write.
        write: PendingWrite,
    },
    /// Commands sent to a worker directly, outside the reply to a heartbeat.
    DirectCommand {
        /// The id of the machine.
        machine: String,
        /// The worker's incarnation that the commands are for.
        incarnation: u64,
        /// The attempts that the commands start.
        started_attempts: Vec<u64>,
    },
    /// Asks an unreachable machine whether commands reach it again.
    Probe {
        /// The id of the machine.
        machine: String,
    },
    /// A call to the cloud.
    Autoscaler(AutoscalerCall),
}

impl LeaderCall {
    /// Whether the call goes to the store.
    pub fn targets_store(&self) -> bool {
        match self {
            LeaderCall::RenewLease { .. }
            | LeaderCall::LoadRecords { .. }
            | LeaderCall::Commit { .. }
            | LeaderCall::ReadRevision { .. } => true,
            LeaderCall::DirectCommand { .. }
            | LeaderCall::Probe { .. }
            | LeaderCall::Autoscaler(_) => false,
        }
    }
}

/// A call of the autoscaler to the cloud.
#[derive(Debug)]
pub enum AutoscalerCall {
    /// Reads the catalogue of machine types.
    ReadCatalog,
    /// Reads a page of the machine list.
    ListMachines,
    /// Asks for machines.
    Provision {
        /// The number of the request.
        number: u64,
    },
    /// Deletes machines.
    Terminate {
        /// Their ids.
        machine_ids: Vec<String>,
    },
}
