use super::*;

#[test]
fn an_old_removal_does_not_unseat_a_newer_leader() {
    let mut r = Replica::default();
    let l = LeaderRecord {
        node: "a".into(),
        nonce: 1,
        lease: 1,
    };
    r.record_own_election(l.clone(), 10);
    r.delete_record(LEADER_KEY, 8);
    assert_eq!(r.term(), Some(10));
    r.delete_record(LEADER_KEY, 11);
    assert_eq!(r.term(), None);
    r.record_own_election(l, 10);
    assert_eq!(r.term(), None);
}
