use crate::leader::fixture_tests::{machine_id, FakeStore, LeaderFixture};
use stonegw_wire::msg::Heartbeat;

const TERM: u64 = 5;
const RAISED_TOKEN: u64 = 12;

fn heartbeat(sequence: u64, fencing_token: u64) -> Heartbeat {
    Heartbeat {
        machine_id: machine_id(0),
        addr: "10.0.0.1:9000".into(),
        machine_type: "small".into(),
        zone: "a".into(),
        is_spot: false,
        incarnation: 1,
        sequence,
        fencing_token,
        eviction_in_s: None,
        tasks: vec![],
    }
}

/// Another node may have raised the worker's token while it renewed the worker's lease. The worker
/// drops a reply with a lower token, which would let its lease expire.
#[test]
fn replies_carry_the_raised_token_of_the_worker() {
    let mut fixture = LeaderFixture::new(FakeStore::default(), 8 * 1024, 8);
    let mut leader = fixture.start_leader(TERM);
    fixture.read_leader_key(TERM, RAISED_TOKEN);
    let tokens: Vec<u64> = [heartbeat(1, TERM), heartbeat(2, RAISED_TOKEN)]
        .into_iter()
        .filter_map(|heartbeat| fixture.deliver_heartbeat(&mut leader, heartbeat))
        .map(|reply| reply.fencing_token)
        .collect();
    assert_eq!(tokens, [TERM, RAISED_TOKEN]);
    let machine = leader.cluster.machines.get(&machine_id(0));
    assert!(machine.is_some_and(|machine| machine.under_current_term));
    assert!(!leader.deposed);
}

/// A token that this node has not read may be a later leader's term. Only once the store shows that
/// it is not may the leader answer the worker.
#[test]
fn a_token_that_was_not_read_gets_no_reply() {
    let mut fixture = LeaderFixture::new(FakeStore::default(), 8 * 1024, 8);
    let mut leader = fixture.start_leader(TERM);
    fixture.read_leader_key(TERM, RAISED_TOKEN - 1);
    let unread = heartbeat(1, RAISED_TOKEN);
    assert_eq!(fixture.deliver_heartbeat(&mut leader, unread.clone()), None);
    assert_eq!(leader.highest_observed_token, RAISED_TOKEN);
    fixture.read_leader_key(TERM, RAISED_TOKEN);
    let reply = fixture.deliver_heartbeat(&mut leader, unread.clone());
    assert_eq!(reply.map(|reply| reply.fencing_token), Some(RAISED_TOKEN));
    // The store shows a later leader.
    fixture.read_leader_key(RAISED_TOKEN + 1, RAISED_TOKEN + 1);
    let later = heartbeat(2, RAISED_TOKEN + 1);
    assert_eq!(fixture.deliver_heartbeat(&mut leader, later), None);
}
