//! A leader whose process runs again after a pause.
use super::world_tests::*;
use super::*;
use crate::pause::Pause;
use stonegw_wire::msg::TaskState;

const TERM: u64 = 5;
const ATTEMPT: u64 = 5_000_001;
const GAP_MS: Ms = 13_000;

fn report(seq: u64, state: TaskState, cause: Option<ExitCause>) -> Report {
    let task = TaskReport {
        task: "run-1/0".into(),
        attempt: ATTEMPT,
        state,
        why: cause,
        saved: None,
    };
    Report {
        machine: machine(0),
        addr: "10.0.0.1:9000".into(),
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        session: 1,
        seq,
        token: TERM,
        notice_s: None,
        tasks: vec![task],
    }
}

/// A leader whose machine runs a task that is to be stopped, with a record to be written.
fn busy_leader(world: &mut World) -> Leader {
    let mut leader = world.lead(TERM);
    leader.load = None;
    world.submit(&mut leader, "run-1", 1);
    world.hear(&mut leader, report(1, TaskState::Running, None));
    leader
}

fn pause(world: &mut World, leader: &mut Leader) {
    world.ms += GAP_MS;
    let pause = Pause {
        now: world.ms,
        gap: GAP_MS,
    };
    leader.resume(pause, world.ms);
}

/// After a pause another may lead, whatever is at hand says: a command or a write then comes from a leader that
/// was deposed.
#[test]
fn until_it_is_proven_to_lead_it_only_renews_its_lease() {
    let mut world = World::new(StateService::default(), 8 * 1024, 8);
    let mut leader = busy_leader(&mut world);
    if let Some(mut m) = leader.machines.edit(&machine(0)) {
        m.placements[0].stop = Some(0.0);
    }
    pause(&mut world, &mut leader);
    let renewal = "/grants/1/touch";
    assert_eq!(world.sent_in_turn(&mut leader, false), [renewal]);
    assert!(world.sent_in_turn(&mut leader, false).is_empty());
    let sent = world.sent_in_turn(&mut leader, true);
    assert!(sent.iter().any(|path| path == "/do"), "{sent:?}");
    assert!(sent.iter().any(|path| path == "/multi"), "{sent:?}");
}

/// A task that ended while nobody watched would enter the histograms with the pause in its run time.
#[test]
fn runs_that_a_pause_fell_into_are_not_learnt() {
    for (paused, runs) in [(false, 1), (true, 0)] {
        let mut world = World::new(StateService::default(), 8 * 1024, 8);
        let mut leader = busy_leader(&mut world);
        if let Some(mut m) = leader.machines.edit(&machine(0)) {
            m.placements[0].inherited = false;
        }
        if paused {
            pause(&mut world, &mut leader);
        }
        let done = report(2, TaskState::Exited, Some(ExitCause::Done));
        world.hear(&mut leader, done);
        assert_eq!(leader.sched.observed("run-1").0, runs, "paused: {paused}");
    }
}

/// Neither silence nor a boot nor a job's wait is counted on through a pause, and deadlines that passed in it
/// don't turn the pruner on.
#[test]
fn others_are_not_judged_by_the_time_that_went_by() {
    let mut world = World::new(StateService::default(), 8 * 1024, 8);
    let mut leader = busy_leader(&mut world);
    let heard_before = world.ms;
    if let Some(work) = leader.works.get_mut("run-1") {
        work.spec.deadline_s = Some(5.0);
        work.moved_at = Some(heard_before);
    }
    pause(&mut world, &mut leader);
    let m = leader.machines.get(&machine(0)).expect("heard");
    assert_eq!(m.heard, Some(world.ms));
    assert_eq!(m.born, heard_before + GAP_MS);
    let work = &leader.works["run-1"];
    assert_eq!(work.moved_at, Some(heard_before + GAP_MS));
    assert!(work.missed);
}
