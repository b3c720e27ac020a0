use super::*;
use crate::cluster::StoredState;

#[test]
fn no_group_record_starves_behind_others() {
    let mut shards = BTreeMap::new();
    for n in 0..4 {
        let mut s = MachineGroup::new(StoredState::absent());
        s.add_task(10 - Millis::from(n), "run-1");
        shards.insert(n, s);
    }
    // It changed again after it was written: behind those that wait.
    shards.get_mut(&3).expect("there").dirty_since = 20;
    shards
        .get_mut(&1)
        .expect("there")
        .stored_state
        .write_in_flight = true;
    assert_eq!(
        groups_to_write(&shards, |s| s.stored_state.dirty),
        [2, 0, 3]
    );
}
