//! The calls of the leader that wait for an answer.
use super::{Item, TransactionSize};
use crate::api::Ms;
use crate::fleet::FleetCall;

/// A call that waits for its answer, with what the answer is needed for.
#[derive(Debug)]
pub enum Call {
    /// Renews the lease of the leader key.
    Renew {
        /// When it was asked for: the lease lasts from then on at least.
        sent: Ms,
    },
    Load {
        prefix: &'static str,
    },
    Flush {
        items: Vec<Item>,
        size: TransactionSize,
    },
    Reread {
        item: Item,
    },
    Do {
        machine: String,
        session: u64,
        runs: Vec<u64>,
    },
    /// Asks a machine that did not hear us whether it does now.
    Inspect {
        machine: String,
    },
    Fleet(FleetCall),
}

impl Call {
    /// It goes to the state service.
    pub fn is_state(&self) -> bool {
        !matches!(
            self,
            Call::Do { .. } | Call::Inspect { .. } | Call::Fleet(_)
        )
    }
}
