//! The leader's calls in flight, with what their responses are needed for.
use crate::api::Millis;
use crate::cluster::PendingWrite;
use crate::store_limits::TransactionSize;

/// A call of the leader that awaits its response.
#[derive(Debug)]
pub enum LeaderCall {
    /// Renews the lease of the leader key.
    RenewLease {
        /// When the renewal was sent: the lease lasts at least its time to live from then on.
        sent_at: Millis,
    },
    /// Reads a page of the stored records when the leader takes over.
    LoadRecords {
        /// Prefix of the keys that are read.
        prefix: &'static str,
    },
    /// Commits a transaction to the store.
    Commit {
        /// What is written.
        writes: Vec<PendingWrite>,
        /// The transaction's size, to lower the limits if the store rejects it.
        size: TransactionSize,
    },
    /// Reads a record's revision after a write with an unknown outcome.
    ReadRevision {
        /// The write.
        write: PendingWrite,
    },
    /// Sends commands to a worker, beside those in the replies to its heartbeats.
    DirectCommand {
        /// The machine's id.
        machine: String,
        /// The worker's incarnation that the commands are for.
        incarnation: u64,
        /// Attempts for which a start command is among them.
        started_attempts: Vec<u64>,
    },
    /// Checks whether commands reach a machine again that they did not reach.
    Probe {
        /// The machine's id.
        machine: String,
    },
    /// A call of the autoscaler to the cloud.
    Autoscaler(AutoscalerCall),
}

impl LeaderCall {
    /// Whether it goes to the key-value store.
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
    /// Reads the catalog of machine types.
    ReadCatalog,
    /// Reads a page of the list of machines.
    ListMachines,
    /// Provisions machines; the number of the request.
    Provision(u64),
    /// Terminates the machines with these ids.
    Terminate(Vec<String>),
}
