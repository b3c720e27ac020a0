//! A leader whose process runs again after a pause.
use super::fixture_tests::*;
use super::*;
use crate::pause::Pause;
use stonegw_wire::msg::TaskState;

const TERM: u64 = 5;
const ATTEMPT: u64 = 5_000_001;
const PAUSE_MS: Millis = 13_000;

fn heartbeat(seq: u64, state: TaskState, cause: Option<ExitCause>) -> Heartbeat {
    let task = TaskStatus {
        task_id: "run-1/0".into(),
        attempt: ATTEMPT,
        state,
        exit_cause: cause,
        progress_saved: None,
    };
    Heartbeat {
        machine_id: machine_id(0),
        addr: "10.0.0.1:9000".into(),
        machine_type: "small".into(),
        zone: "a".into(),
        is_spot: false,
        incarnation: 1,
        sequence: seq,
        fencing_token: TERM,
        eviction_in_s: None,
        tasks: vec![task],
    }
}

/// A leader whose machine runs a task that is to be stopped, with a record to be written.
fn busy_leader(world: &mut LeaderFixture) -> Leader {
    let mut leader = world.start_leader(TERM);
    leader.load_cursor = None;
    world.submit(&mut leader, "run-1", 1);
    world.deliver_heartbeat(&mut leader, heartbeat(1, TaskState::Running, None));
    leader
}

fn pause(world: &mut LeaderFixture, leader: &mut Leader) {
    world.now_ms += PAUSE_MS;
    let pause = Pause {
        now: world.now_ms,
        duration_ms: PAUSE_MS,
    };
    leader.resume(pause, world.now_ms);
}

/// After a pause another may lead, whatever is at hand says: a command or a write then comes from a leader that
/// was deposed.
#[test]
fn until_leadership_is_confirmed_it_only_renews_its_lease() {
    let mut world = LeaderFixture::new(FakeStore::default(), 8 * 1024, 8);
    let mut leader = busy_leader(&mut world);
    if let Some(mut m) = leader.cluster.machines.edit(&machine_id(0)) {
        m.placements[0].stop_grace_s = Some(0.0);
    }
    pause(&mut world, &mut leader);
    let renewal = "/grants/1/touch";
    assert_eq!(world.paths_sent_in_turn(&mut leader, false), [renewal]);
    assert!(world.paths_sent_in_turn(&mut leader, false).is_empty());
    let sent = world.paths_sent_in_turn(&mut leader, true);
    assert!(sent.iter().any(|path| path == "/do"), "{sent:?}");
    assert!(sent.iter().any(|path| path == "/multi"), "{sent:?}");
}

/// A task that ended while nobody watched would enter the histograms with the pause in its run time.
#[test]
fn runs_that_a_pause_fell_into_are_not_learnt() {
    for (paused, runs) in [(false, 1), (true, 0)] {
        let mut world = LeaderFixture::new(FakeStore::default(), 8 * 1024, 8);
        let mut leader = busy_leader(&mut world);
        if let Some(mut m) = leader.cluster.machines.edit(&machine_id(0)) {
            m.placements[0].inherited = false;
        }
        if paused {
            pause(&mut world, &mut leader);
        }
        let done = heartbeat(2, TaskState::Exited, Some(ExitCause::Done));
        world.deliver_heartbeat(&mut leader, done);
        assert_eq!(
            leader.scheduler.state.estimates.observed_runs("run-1").0,
            runs,
            "paused: {paused}"
        );
    }
}

/// Neither silence nor a boot nor a job's wait is counted on through a pause, and deadlines that passed in it
/// don't turn the pruner on.
#[test]
fn a_pause_counts_toward_no_timeout() {
    let mut world = LeaderFixture::new(FakeStore::default(), 8 * 1024, 8);
    let mut leader = busy_leader(&mut world);
    let heard_before = world.now_ms;
    if let Some(work) = leader.cluster.jobs.get_mut("run-1") {
        work.spec.deadline_s = Some(5.0);
        work.last_placed_at = Some(heard_before);
    }
    pause(&mut world, &mut leader);
    let m = leader.cluster.machines.get(&machine_id(0)).expect("heard");
    assert_eq!(m.last_heartbeat_at, Some(world.now_ms));
    assert_eq!(m.provisioned_at, heard_before + PAUSE_MS);
    let work = &leader.cluster.jobs["run-1"];
    assert_eq!(work.last_placed_at, Some(heard_before + PAUSE_MS));
    assert!(work.deadline_missed);
}
