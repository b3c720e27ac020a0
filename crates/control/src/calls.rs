//! The calls of the leader that wait for an answer.
use crate::api::Millis;
use crate::cluster::PendingWrite;
use crate::store_limits::TransactionSize;

/// A call that waits for its answer, with what the answer is needed for.
#[derive(Debug)]
pub enum LeaderCall {
    /// Renews the lease of the leader key.
    RenewLease {
        /// When it was asked for: the lease lasts from then on at least.
        sent_at: Millis,
    },
    LoadRecords {
        prefix: &'static str,
    },
    Commit {
        writes: Vec<PendingWrite>,
        size: TransactionSize,
    },
    ReadRevision {
        write: PendingWrite,
    },
    DirectCommand {
        machine: String,
        incarnation: u64,
        started_attempts: Vec<u64>,
    },
    /// Asks a machine that did not hear us whether it does now.
    Probe {
        machine: String,
    },
    Autoscaler(AutoscalerCall),
}

impl LeaderCall {
    /// It goes to the state service.
    pub fn targets_store(&self) -> bool {
        !matches!(
            self,
            LeaderCall::DirectCommand { .. } | LeaderCall::Probe { .. } | LeaderCall::Autoscaler(_)
        )
    }
}

/// A call of the autoscaler to the cloud.
#[derive(Debug)]
pub enum AutoscalerCall {
    /// Reads the catalogue of machine types.
    ReadCatalog,
    /// Reads a page of the machine list.
    ListMachines,
    /// Asks for machines: the number of the request.
    Provision(u64),
    /// Deletes these machines.
    Terminate(Vec<String>),
}
