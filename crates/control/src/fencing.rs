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
    /// rejects those of cancelled jobs.
    pub(crate) fn renewal_token(&self, worker_token: u64, may_raise: bool) -> Option<u64> {
        let term = self.term()?;
        if worker_token > term && !self.is_token_of_term(worker_token, term) {
            return None;
        }
        let raised = match may_raise {
            true => self.newest_read_cancellation(),
            false => 0,
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
