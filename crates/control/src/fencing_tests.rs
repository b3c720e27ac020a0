use super::*;
use crate::records::{JobRecord, LeaderRecord};
use crate::test_support::job_spec;

const TERM: u64 = 10;
const CANCELLED_AT: u64 = 20;
const REVISION: u64 = 30;

/// A replica that has read a leader and a cancellation.
fn replica() -> Replica {
    let mut replica = Replica::default();
    let leader = LeaderRecord {
        node: "node-1".into(),
        nonce: 1,
        lease: 1,
    };
    replica.record_own_election(leader, TERM);
    let job = JobRecord::submitted(&job_spec("run-1", 1), 0);
    replica.put_job("run-1", job.cancelled(), CANCELLED_AT);
    replica.revision = REVISION;
    replica
}

/// A start command of a cancelled job may be on its way to the worker, with the term as its token.
#[test]
fn renewal_token_covers_the_newest_cancellation() {
    let replica = replica();
    assert_eq!(replica.renewal_token(1, true), Some(CANCELLED_AT));
    assert_eq!(replica.renewal_token(TERM, true), Some(CANCELLED_AT));
    assert_eq!(replica.renewal_token(REVISION, true), Some(REVISION));
}

/// A worker without a token may have restarted without memory, and would execute a copy of any
/// command that was sent to it before.
#[test]
fn a_worker_without_a_token_gets_the_newest_one() {
    assert_eq!(replica().renewal_token(0, true), Some(REVISION));
}

/// A node of an earlier version would take a raised token for a later term.
#[test]
fn tokens_are_not_raised_beside_earlier_versions() {
    let replica = replica();
    assert_eq!(replica.renewal_token(0, false), Some(TERM));
    assert_eq!(
        replica.renewal_token(CANCELLED_AT, false),
        Some(CANCELLED_AT)
    );
}

/// A worker with a token that the replica has not read may have seen a later leader.
#[test]
fn an_unread_token_blocks_renewals() {
    let mut replica = replica();
    assert_eq!(replica.renewal_token(REVISION + 1, true), None);
    assert!(!replica.knows_term_of(REVISION + 1));
    assert!(!replica.is_token_of_term(REVISION + 1, TERM));
    replica.revision = REVISION + 1;
    assert!(replica.is_token_of_term(REVISION + 1, TERM));
    assert_eq!(
        replica.renewal_token(REVISION + 1, true),
        Some(REVISION + 1)
    );
}

/// Tokens up to the next term belong to the earlier leader, and must not be raised beyond it.
#[test]
fn a_cancellation_that_was_only_announced_raises_no_token() {
    let mut replica = replica();
    assert!(!replica.has_unread_cancellation());
    let job = JobRecord::submitted(&job_spec("run-2", 1), 0);
    replica.put_job("run-2", job, REVISION);
    replica.apply_announced_cancellation("run-2", REVISION + 5);
    assert!(replica.has_unread_cancellation());
    assert_eq!(replica.renewal_token(TERM, true), Some(CANCELLED_AT));
    replica.clear_leader(REVISION + 1);
    assert!(!replica.is_token_of_term(CANCELLED_AT, TERM));
    assert_eq!(replica.renewal_token(0, true), None);
}
