//! Fencing tokens: which term a token belongs to, and which token a reply to a worker carries.
//!
//! A worker executes a command only if its fencing token is at least the highest one that the
//! worker has seen. Tokens are revisions of the store. A leader's term is the revision of its leader
//! key, and all tokens from that revision up to the next leader's term belong to the term. Any node
//! may therefore *raise* a worker's token to a revision that its replica has read: the leader stays
//! entitled, no later leader's term is reached, and commands that were sent to the worker with a
//! lower token and have not arrived yet are rejected when they do.
//!
//! The leader starts a task only with a token that its replica has read, and starts no task of a
//! job whose cancellation its replica has read. A worker whose token is at least the revision of a
//! cancellation therefore starts no task of that job any more, however late a start command
//! arrives.
//!
//! Tokens are raised only while every node is known to run a version that reads them this way.
use crate::replica::Replica;
use stonegw_wire::msg::Heartbeat;

/// The position of a heartbeat among all heartbeats of its machine: a newer heartbeat has a greater
/// position. While a worker's process lives, its token, its incarnation and its sequence number
/// never decrease. A process that restarted without memory begins again with the first incarnation,
/// and its heartbeats count as newer once its token was raised above all that its predecessor
/// showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct HeartbeatPosition {
    fencing_token: u64,
    incarnation: u64,
    sequence: u64,
}

impl HeartbeatPosition {
    /// Returns the position of the heartbeat with these numbers.
    pub(crate) fn new(fencing_token: u64, incarnation: u64, sequence: u64) -> HeartbeatPosition {
        HeartbeatPosition {
            fencing_token,
            incarnation,
            sequence,
        }
    }

    /// Returns the position of a heartbeat.
    pub(crate) fn of(heartbeat: &Heartbeat) -> HeartbeatPosition {
        HeartbeatPosition::new(
            heartbeat.fencing_token,
            heartbeat.incarnation,
            heartbeat.sequence,
        )
    }

    /// Returns whether this position, which is greater than `earlier`, is that of another process of
    /// the worker: its numbers would have decreased otherwise.
    pub(crate) fn is_of_restarted_worker(&self, earlier: &HeartbeatPosition) -> bool {
        (self.incarnation, self.sequence) <= (earlier.incarnation, earlier.sequence)
    }
}

impl Replica {
    /// Returns whether this node knows which term a token belongs to: the replica has read all
    /// changes up to the token, or a leader key that is newer.
    pub(crate) fn knows_term_of(&self, token: u64) -> bool {
        token <= self.revision.max(self.highest_term)
    }

    /// Returns whether a token belongs to a term: the term's leader key is the one that the replica
    /// holds, and the replica has read all changes up to the token. The term itself always does.
    pub(crate) fn is_token_of_term(&self, token: u64, term: u64) -> bool {
        token == term || (token > term && token <= self.revision && self.term() == Some(term))
    }

    /// Returns the fencing token with which a node that can't reach the leader may renew the lease
    /// of a worker with this token, or `None` if the worker may have seen a term that this node has
    /// not read.
    ///
    /// Start commands of the leader may be on their way to the worker. If `may_raise`, the token is
    /// at least the revision of the newest cancellation that this node has read, so that the worker
    /// rejects those of cancelled jobs. A worker without a token may have forgotten what it had seen
    /// before, and gets the newest token, with which it rejects copies of commands that were carried
    /// out before.
    pub(crate) fn renewal_token(&self, worker_token: u64, may_raise: bool) -> Option<u64> {
        let term = self.term()?;
        if worker_token > term && !self.is_token_of_term(worker_token, term) {
            return None;
        }
        let raised = if !may_raise {
            0
        } else if worker_token == 0 {
            self.revision
        } else {
            self.newest_read_cancellation()
        };
        Some(term.max(worker_token).max(raised))
    }

    /// Returns whether this node knows a cancellation that the replica has not read in the store:
    /// one that a peer announced or that this node stored.
    pub(crate) fn has_unread_cancellation(&self) -> bool {
        self.cancellations_since(self.revision).next().is_some()
    }
}

#[cfg(test)]
#[path = "fencing_tests.rs"]
mod tests;
