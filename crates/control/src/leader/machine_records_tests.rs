use super::*;

#[test]
fn no_record_waits_for_ever_behind_others() {
    let mut shards = BTreeMap::new();
    for n in 0..4 {
        let mut s = Shard::new(Stored::absent());
        s.add(10 - Ms::from(n), "run-1");
        shards.insert(n, s);
    }
    // It changed again after it was written: behind those that wait.
    shards.get_mut(&3).expect("there").since = 20;
    shards.get_mut(&1).expect("there").stored.writing = true;
    assert_eq!(in_turn(&shards, |s| s.stored.dirty), [2, 0, 3]);
}
