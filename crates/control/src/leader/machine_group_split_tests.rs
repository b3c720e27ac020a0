use super::fixture_tests::{job_spec, machine_id, AnswerMode, FakeStore, LeaderFixture};
use super::Leader;
use crate::cluster::{Machine, MachineGroup, Phase, Placement};
use crate::records::{
    machine_group_key, JobEnd, JobRecord, JobRow, MachineGroupRecord, MachineRow, StoredRecord,
    TaskRow,
};
use std::collections::{BTreeMap, BTreeSet};
use stonegw_wire::msg::json_size_bytes;

const LARGE_VALUE_BYTES: usize = 8 * 1024;
const SMALL_VALUE_BYTES: usize = 2 * 1024;

fn job_row(job: String) -> JobRow {
    JobRow {
        job,
        team: 0,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 2.0,
    }
}

fn machine_row(number: usize, tasks: Vec<TaskRow>) -> MachineRow {
    MachineRow {
        machine: machine_id(number),
        machine_type: "small".to_owned(),
        zone: "a".to_owned(),
        is_spot: false,
        tasks,
    }
}

/// One record as the last version wrote it, of machines with eight tasks of a job each.
fn store_with_large_group() -> FakeStore {
    let mut store = FakeStore::default();
    let mut record = MachineGroupRecord {
        teams: vec!["red".into()],
        ..MachineGroupRecord::default()
    };
    for n in 0..32 {
        let job = format!("run-{n}");
        record.jobs.push(job_row(job));
        let tasks = (0..8).map(|index| TaskRow {
            job: n,
            index,
            attempt: 71_000_000 + (n * 10) as u64 + u64::from(index),
        });
        record.machines.push(machine_row(n, tasks.collect()));
    }
    let size = json_size_bytes(&record);
    assert!(
        size > 2 * SMALL_VALUE_BYTES && size <= LARGE_VALUE_BYTES,
        "{size}"
    );
    store.put(&machine_group_key(0), StoredRecord::MachineGroup(record));
    store
}

/// Every placement in the records, and how many of them hold it.
fn stored_placements(store: &FakeStore) -> BTreeMap<(String, u64), usize> {
    let mut stored = BTreeMap::new();
    for (_, record) in store.machine_groups() {
        for machine in record.machines {
            for task in machine.tasks {
                let placement = (machine.machine.clone(), task.attempt);
                *stored.entry(placement).or_default() += 1;
            }
        }
    }
    stored
}

/// How many placements are stored and may be started.
fn startable_count(leader: &Leader) -> usize {
    let machines = leader.cluster.machines.values();
    let placements = machines.flat_map(|machine| &machine.placements);
    placements
        .filter(|placement| placement.phase == Phase::Startable)
        .count()
}

fn assert_placed_once(leader: &Leader) {
    let mut seen = BTreeSet::new();
    for machine in leader.cluster.machines.values() {
        for placement in &machine.placements {
            let key = (
                machine.id.clone(),
                placement.job.clone(),
                placement.index,
                placement.attempt,
            );
            assert!(
                seen.insert(key),
                "{} twice on {}",
                placement.task_name(),
                machine.id
            );
        }
        let records = leader.cluster.machine_groups.values();
        let records = records
            .filter(|group| group.machines.contains(&machine.id))
            .count();
        assert_eq!(records, 1, "{}", machine.id);
    }
}

/// Writes until nothing is due, and looks after each transaction whether all that was stored still is.
fn run_until_all_stored(
    fixture: &mut LeaderFixture,
    leader: &mut Leader,
    all: &BTreeMap<(String, u64), usize>,
) {
    for _ in 0..60 {
        fixture.run_turn(leader);
        let now = stored_placements(&fixture.store);
        let lost: Vec<_> = all.keys().filter(|key| !now.contains_key(*key)).collect();
        assert!(lost.is_empty(), "in no record: {lost:?}");
    }
    let over = fixture
        .store
        .machine_groups()
        .filter(|(_, r)| json_size_bytes(r) > SMALL_VALUE_BYTES);
    assert_eq!(over.count(), 0);
    assert!(stored_placements(&fixture.store).values().all(|n| *n == 1));
    assert!(!leader
        .cluster
        .machine_groups
        .values()
        .any(MachineGroup::needs_write));
}

/// A record of the time before the limit was lowered could never be written again, and what was placed
/// on its machines never started.
#[test]
fn a_record_above_the_limit_is_divided_and_none_of_it_is_lost() {
    let mut fixture = LeaderFixture::new(store_with_large_group(), SMALL_VALUE_BYTES, 4);
    let mut leader = fixture.start_leader(2);
    let all = stored_placements(&fixture.store);
    fixture.run_turn(&mut leader);
    fixture.submit(&mut leader, "run-99", 1);
    let placed = (0..120).any(|_| {
        fixture.run_turn(&mut leader);
        leader.cluster.place_task(&machine_id(3), "run-99", 0)
    });
    assert!(placed);
    run_until_all_stored(&mut fixture, &mut leader, &all);
    assert!(fixture.max_writes_seen <= 4);
    let machine = leader.cluster.machines.get(&machine_id(3)).expect("there");
    assert!(machine
        .placements
        .iter()
        .any(|placement| placement.phase == Phase::Startable));
    assert_placed_once(&leader);
}

/// The process ends after any of the transactions of a division: the next leader finds machines in two
/// records and must neither count their tasks twice nor lose them when it collects garbage.
#[test]
fn a_division_cut_short_leaves_no_task_twice_and_none_lost() {
    let all = stored_placements(&store_with_large_group());
    for ends_after in 0..12 {
        let mut fixture = LeaderFixture::new(store_with_large_group(), SMALL_VALUE_BYTES, 4);
        let mut first = fixture.start_leader(2);
        while fixture.transactions < ends_after && fixture.now_ms < 120_000 {
            fixture.run_turn(&mut first);
        }
        drop(first);
        let mut second = fixture.start_leader(3);
        assert_placed_once(&second);
        let held = second
            .cluster
            .machines
            .values()
            .map(|machine| machine.placements.len());
        assert_eq!(held.sum::<usize>(), all.len());
        run_until_all_stored(&mut fixture, &mut second, &all);
        assert_placed_once(&second);
    }
}

/// Garbage collection does not wait for other writes as placements do: it must not take a machine out of its old
/// record before the new one is stored.
#[test]
fn a_divided_record_stays_until_its_parts_are_stored() {
    let mut fixture = LeaderFixture::new(store_with_large_group(), SMALL_VALUE_BYTES, 32);
    let mut leader = fixture.start_leader(2);
    let all = stored_placements(&fixture.store);
    leader.writer.next_batch_at = fixture.now_ms + 1_000;
    run_until_all_stored(&mut fixture, &mut leader, &all);
}

/// The old record is within the limit again and goes on holding a machine: what only the other one
/// holds must be stored there before it is removed from that one.
#[test]
fn a_machine_leaves_a_record_only_for_one_that_tells_all_of_it() {
    let record = |attempts: &[u64]| {
        let tasks = attempts.iter().map(|attempt| TaskRow {
            job: 0,
            index: *attempt as u32,
            attempt: *attempt,
        });
        StoredRecord::MachineGroup(MachineGroupRecord {
            teams: vec!["red".into()],
            jobs: vec![job_row("run-1".into())],
            machines: vec![machine_row(1, tasks.collect())],
        })
    };
    let mut store = FakeStore::default();
    store.put(&machine_group_key(0), record(&[1]));
    store.put(&machine_group_key(7), record(&[1, 2]));
    let all = stored_placements(&store);
    let mut fixture = LeaderFixture::new(store, LARGE_VALUE_BYTES, 1);
    let mut leader = fixture.start_leader(2);
    assert_placed_once(&leader);
    leader.writer.next_batch_at = fixture.now_ms + 1_000;
    run_until_all_stored(&mut fixture, &mut leader, &all);
    assert_placed_once(&leader);
}

/// A machine with more tasks than any record has capacity for keeps the record it has; a task that was to
/// go there and can't be stored goes elsewhere instead of waiting for ever.
#[test]
fn what_fits_no_record_stays_stored_and_blocks_nothing() {
    let mut fixture = LeaderFixture::new(FakeStore::default(), LARGE_VALUE_BYTES, 8);
    let mut leader = fixture.start_leader(2);
    let id = machine_id(1);
    leader
        .cluster
        .machines
        .add(&id, || Machine::new(&id, "small", "a", false, 0));
    for n in 0..50 {
        fixture.submit(&mut leader, &format!("run-{n}"), 2);
        assert!(leader.cluster.place_task(&id, &format!("run-{n}"), 0));
    }
    fixture.run_turn(&mut leader);
    let all = stored_placements(&fixture.store);
    assert_eq!(all.len(), 50);
    assert!(leader.cluster.place_task(&id, "run-7", 1));
    fixture.store_limits.set_max_value_bytes(SMALL_VALUE_BYTES);
    for _ in 0..20 {
        fixture.run_turn(&mut leader);
    }
    assert_eq!(stored_placements(&fixture.store), all);
    assert!(!leader.cluster.machines.is_present("run-7", 1));
    assert!(leader.cluster.jobs["run-7"].pending_tasks.contains(&1));
    assert!(!leader.cluster.place_task(&id, "run-7", 1));
}

/// The store lowers both limits without announcement: all that waits to be stored still is, and no
/// transaction follows a refused one at once (the fixture checks that).
#[test]
fn unannounced_lower_limits_block_nothing() {
    for (value, writes) in [
        (LARGE_VALUE_BYTES, 3),
        (SMALL_VALUE_BYTES, 8),
        (SMALL_VALUE_BYTES, 1),
    ] {
        let mut fixture = LeaderFixture::new(store_with_large_group(), LARGE_VALUE_BYTES, 8);
        let mut leader = fixture.start_leader(2);
        let all = stored_placements(&fixture.store);
        for n in 0..200 {
            let id = machine_id(n);
            leader
                .cluster
                .machines
                .add(&id, || Machine::new(&id, "small", "a", false, 0));
            fixture.submit(&mut leader, &format!("run-{}", 100 + n), 1);
        }
        fixture.store.max_value_bytes = value;
        fixture.store.max_transaction_writes = writes;
        let mut waiting: BTreeSet<usize> = (0..200).collect();
        for _ in 0..900 {
            waiting.retain(|n| {
                !leader
                    .cluster
                    .place_task(&machine_id(*n), &format!("run-{}", 100 + n), 0)
            });
            fixture.run_turn(&mut leader);
            let now = stored_placements(&fixture.store);
            assert!(all.keys().all(|key| now.contains_key(key)));
        }
        assert!(waiting.is_empty(), "{waiting:?}");
        assert_eq!(startable_count(&leader), 200);
        assert!(
            fixture.refused_transactions > 0 && fixture.refused_transactions < 30,
            "{}",
            fixture.refused_transactions
        );
        assert!(fixture
            .store
            .machine_groups()
            .all(|(_, r)| json_size_bytes(&r) <= value));
    }
}

/// A transaction that meets a lowered rate is sent again later, and smaller after a while.
#[test]
fn a_lowered_rate_delays_and_loses_nothing() {
    let mut fixture = LeaderFixture::new(FakeStore::default(), SMALL_VALUE_BYTES, 32);
    let mut leader = fixture.start_leader(2);
    for n in 0..60 {
        let id = machine_id(n);
        leader
            .cluster
            .machines
            .add(&id, || Machine::new(&id, "small", "a", false, 0));
        fixture.submit(&mut leader, &format!("run-{n}"), 9);
        for index in 0..9 {
            assert!(leader.cluster.place_task(&id, &format!("run-{n}"), index));
        }
    }
    // More than so many writes at once are never taken.
    fixture.store.max_burst_writes = 3;
    for _ in 0..400 {
        fixture.run_turn(&mut leader);
    }
    assert_eq!(startable_count(&leader), 540);
}

/// A cancellation of a job accepted under the larger limit could not be stored, nor confirmed to its user.
#[test]
fn a_cancelled_record_above_the_limit_is_stored_without_its_description() {
    let spec = job_spec("run-1", 3);
    let record = JobRecord::submitted(&spec, 5).cancelled();
    let size = json_size_bytes(&record);
    assert_eq!(record.clone().fit_within(size).spec, Some(spec.clone()));
    let short = record.fit_within(size - 1);
    assert_eq!((short.spec, short.end), (None, Some(JobEnd::Cancelled)));
    let open = JobRecord::submitted(&spec, 5);
    assert_eq!(open.fit_within(10).spec, Some(spec));
}

/// Six machines with tasks share a record that has no capacity for one more task.
fn leader_with_full_group_record(fixture: &mut LeaderFixture) -> Leader {
    let mut leader = fixture.start_leader(2);
    add_machines(&mut leader, 1..7);
    for n in 0.. {
        let job = format!("run-{n}");
        // Only what is stored was measured; before, the estimate is higher.
        for _ in 0..30 {
            fixture.run_turn(&mut leader);
        }
        let record = leader.cluster.machine_groups.get(&0);
        if record.is_some_and(|group| {
            group.estimated_bytes + group.bytes_for_task(&job) > SMALL_VALUE_BYTES
        }) {
            break;
        }
        fixture.submit(&mut leader, &job, 1);
        assert!(leader.cluster.place_task(&machine_id(1 + n % 6), &job, 0));
    }
    assert_eq!(leader.cluster.machine_groups.len(), 1);
    assert!(!leader
        .cluster
        .machine_groups
        .values()
        .any(MachineGroup::needs_write));
    leader
}

fn add_machines(leader: &mut Leader, numbers: std::ops::Range<usize>) {
    for id in numbers.map(machine_id) {
        let new = || Machine::new(&id, "small", "a", false, 0);
        leader.cluster.machines.add(&id, new);
    }
}

/// A task is placed on the busy machine, which moves from its full record to another. That waits for
/// other writes; the garbage collection of the full one does not.
fn move_busy_machine(fixture: &mut LeaderFixture, leader: &mut Leader) {
    fixture.submit(leader, "run-99", 1);
    assert!(leader.cluster.place_task(&machine_id(1), "run-99", 0));
    let record = leader
        .cluster
        .machines
        .get(&machine_id(1))
        .and_then(|machine| machine.machine_group);
    assert!(record.is_some_and(|n| n != 0), "not moved");
    leader.writer.next_batch_at = fixture.now_ms + 1_000;
    leader.writer.collect_garbage_at = fixture.now_ms;
}

fn run_until_next_transaction(fixture: &mut LeaderFixture, leader: &mut Leader) {
    let before = fixture.transactions;
    for _ in 0..100 {
        fixture.run_turn(leader);
        assert_all_stored(fixture, leader);
        if fixture.transactions > before {
            return;
        }
    }
    panic!("nothing was written");
}

/// Whatever may be on a machine is in a stored record.
fn assert_all_stored(fixture: &LeaderFixture, leader: &Leader) {
    let stored = stored_placements(&fixture.store);
    for machine in leader.cluster.machines.values() {
        let sendable =
            |placement: &&Placement| placement.is_present() && placement.phase != Phase::Unstored;
        for placement in machine.placements.iter().filter(sendable) {
            let key = (machine.id.clone(), placement.attempt);
            assert!(stored.contains_key(&key), "in no record: {key:?}");
        }
    }
}

fn assert_moved(fixture: &mut LeaderFixture, leader: &mut Leader) {
    for _ in 0..60 {
        fixture.run_turn(leader);
        assert_all_stored(fixture, leader);
    }
    let machine = leader.cluster.machines.get(&machine_id(1)).expect("there");
    assert!(machine
        .placements
        .iter()
        .all(|placement| placement.phase == Phase::Startable));
    assert!(stored_placements(&fixture.store).values().all(|n| *n == 1));
    assert!(!leader
        .cluster
        .machine_groups
        .values()
        .any(MachineGroup::needs_write));
    assert_placed_once(leader);
}

/// A busy machine whose record is full moves to another. Until that one is surely stored the old one
/// must go on holding it, also when nobody knows whether the transaction was carried out: a new
/// leader would start its tasks a second time.
#[test]
fn a_busy_machine_stays_in_its_full_record_until_the_next_is_stored() {
    for answers in [
        AnswerMode::Immediate,
        AnswerMode::AnswerLost,
        AnswerMode::RequestLost,
    ] {
        let mut fixture = LeaderFixture::new(FakeStore::default(), SMALL_VALUE_BYTES, 8);
        let mut leader = leader_with_full_group_record(&mut fixture);
        move_busy_machine(&mut fixture, &mut leader);
        fixture.answer_mode = answers;
        run_until_next_transaction(&mut fixture, &mut leader);
        fixture.answer_mode = AnswerMode::Immediate;
        assert_moved(&mut fixture, &mut leader);
    }
}

/// A record that is being written does not yet hold a machine that moves into it. Were it chosen,
/// the answer to that write would be taken for the proof that it does.
#[test]
fn a_busy_machine_moves_to_no_record_that_is_being_written() {
    let mut fixture = LeaderFixture::new(FakeStore::default(), SMALL_VALUE_BYTES, 8);
    let mut leader = leader_with_full_group_record(&mut fixture);
    add_machines(&mut leader, 9..10);
    fixture.submit(&mut leader, "run-98", 1);
    assert!(leader.cluster.place_task(&machine_id(9), "run-98", 0));
    fixture.answer_mode = AnswerMode::Delayed;
    run_until_next_transaction(&mut fixture, &mut leader);
    assert!(leader
        .cluster
        .machine_groups
        .values()
        .any(|group| group.stored_state.write_in_flight));
    move_busy_machine(&mut fixture, &mut leader);
    fixture.answer_mode = AnswerMode::Immediate;
    assert_moved(&mut fixture, &mut leader);
}
