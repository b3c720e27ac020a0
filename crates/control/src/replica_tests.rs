use super::*;

#[test]
fn an_old_deletion_does_not_depose_a_newer_leader() {
    let mut replica = Replica::default();
    let leader = LeaderRecord {
        node: "a".into(),
        nonce: 1,
        lease: 1,
    };
    replica.record_own_election(leader.clone(), 10);
    replica.delete_record(LEADER_KEY, 8);
    assert_eq!(replica.term(), Some(10));
    replica.delete_record(LEADER_KEY, 11);
    assert_eq!(replica.term(), None);
    replica.record_own_election(leader, 10);
    assert_eq!(replica.term(), None);
}
