//! Tests of a leader whose process runs again after a pause.
use super::super::fixture_tests::{self, machine_id, FakeStore, LeaderFixture};
use super::*;
use crate::api::Millis;
use stonegw_wire::msg::{ExitCause, Heartbeat, TaskState, TaskStatus};

const TERM: u64 = 5;
const ATTEMPT: u64 = 5_000_001;
const PAUSE_MS: Millis = 13_000;

fn heartbeat(sequence: u64, state: TaskState, cause: Option<ExitCause>) -> Heartbeat {
    let task = TaskStatus {
        task_id: "run-1/0".into(),
        attempt: ATTEMPT,
        state,
        exit_cause: cause,
        progress_saved: None,
    };
    Heartbeat {
        tasks: vec![task],
        ..fixture_tests::heartbeat(sequence, TERM)
    }
}

/// A leader with a machine whose task is running, and with a record to be written.
fn busy_leader(fixture: &mut LeaderFixture) -> Leader {
    let mut leader = fixture.start_leader(TERM);
    leader.load_cursor = None;
    fixture.submit(&mut leader, "run-1", 1);
    fixture.deliver_heartbeat(&mut leader, heartbeat(1, TaskState::Running, None));
    leader
}

fn pause(fixture: &mut LeaderFixture, leader: &mut Leader) {
    fixture.now_ms += PAUSE_MS;
    let pause = Pause {
        now: fixture.now_ms,
        duration_ms: PAUSE_MS,
    };
    leader.resume(pause, fixture.now_ms);
}

/// After a pause another node may lead, whatever this node's state says. Commands and writes sent
/// before leadership is confirmed could come from a deposed leader.
#[test]
fn unconfirmed_leader_only_renews_its_lease() {
    let mut fixture = LeaderFixture::new(FakeStore::default(), 8 * 1024, 8);
    let mut leader = busy_leader(&mut fixture);
    if let Some(mut machine) = leader.cluster.machines.edit(&machine_id(0)) {
        machine.placements[0].stop_grace_s = Some(0.0);
    }
    pause(&mut fixture, &mut leader);
    let renewal = "/grants/1/touch";
    assert_eq!(fixture.paths_sent_in_turn(&mut leader, false), [renewal]);
    assert!(fixture.paths_sent_in_turn(&mut leader, false).is_empty());
    let sent = fixture.paths_sent_in_turn(&mut leader, true);
    assert!(sent.iter().any(|path| path == "/do"), "sent: {sent:?}");
    assert!(sent.iter().any(|path| path == "/multi"), "sent: {sent:?}");
}

/// A task that ended during a pause would enter the run-time histograms with the pause counted as
/// run time.
#[test]
fn run_times_that_include_a_pause_are_not_recorded() {
    for (paused, runs) in [(false, 1), (true, 0)] {
        let mut fixture = LeaderFixture::new(FakeStore::default(), 8 * 1024, 8);
        let mut leader = busy_leader(&mut fixture);
        if let Some(mut machine) = leader.cluster.machines.edit(&machine_id(0)) {
            machine.placements[0].inherited = false;
        }
        if paused {
            pause(&mut fixture, &mut leader);
        }
        let done = heartbeat(2, TaskState::Exited, Some(ExitCause::Done));
        fixture.deliver_heartbeat(&mut leader, done);
        assert_eq!(
            leader
                .scheduler
                .state
                .estimates
                .observed_runs("run-1")
                .count,
            runs,
            "paused: {paused}"
        );
    }
}

/// The silence of a machine, its boot and a job's wait do not include a pause. Deadlines that
/// passed during the pause do not activate the pruner.
#[test]
fn a_pause_counts_toward_no_timeout() {
    let mut fixture = LeaderFixture::new(FakeStore::default(), 8 * 1024, 8);
    let mut leader = busy_leader(&mut fixture);
    let paused_at = fixture.now_ms;
    if let Some(job) = leader.cluster.jobs.get_mut("run-1") {
        job.spec.deadline_s = Some(5.0);
        job.last_placed_at = Some(paused_at);
    }
    pause(&mut fixture, &mut leader);
    let machine = leader
        .cluster
        .machines
        .get(&machine_id(0))
        .expect("known machine");
    assert_eq!(machine.last_heartbeat_at, Some(fixture.now_ms));
    assert_eq!(machine.provisioned_at, paused_at + PAUSE_MS);
    let job = &leader.cluster.jobs["run-1"];
    assert_eq!(job.last_placed_at, Some(paused_at + PAUSE_MS));
    assert!(job.deadline_missed);
}
