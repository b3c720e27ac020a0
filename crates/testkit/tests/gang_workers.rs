//! The stand-in's workers run gangs as the protocol tells: commands are given to them directly,
//! with no controller beside.
use stonegw_testkit::outside::Ms;
use stonegw_testkit::sim::{Sim, GANG_PEER_MS, GANG_WAIT_MS};
use stonegw_wire::msg::*;

const JOB: &str = "run-1";
const NEVER: Ms = 1 << 40;
const STEP_MS: Ms = 100;
/// How long a start takes on a machine without the image, with some margin.
const STARTED_MS: Ms = 1_500;

/// Workers alone; their leases are renewed unless a test says otherwise.
struct Workers {
    sim: Sim,
    leases_end: bool,
}

impl Workers {
    fn new(machines: usize) -> Workers {
        let mut sim = Sim::new(1);
        sim.run(1);
        sim.crash(0, NEVER);
        for _ in 0..machines {
            sim.add_machine("a");
        }
        let leases_end = false;
        Workers { sim, leases_end }
    }

    fn pass(&mut self, ms: Ms) {
        let until = self.sim.now + ms;
        while self.sim.now < until {
            let next = until.min(self.sim.now + STEP_MS);
            if !self.leases_end {
                self.renew();
            }
            self.sim.run(next);
        }
    }

    fn renew(&mut self) {
        let now = self.sim.now;
        self.sim.workers.values_mut().for_each(|w| w.renewed = now);
    }

    fn start(&mut self, index: u32, attempt: u64, machine: u32) {
        let task = format!("{JOB}/{index}");
        let command = Command::Start { task, attempt };
        self.sim.execute(&host(machine), vec![command]);
    }

    fn stop(&mut self, index: u32, attempt: u64, machine: u32, grace_s: f64) {
        let task = format!("{JOB}/{index}");
        let command = Command::Stop {
            task,
            attempt,
            grace_s,
        };
        self.sim.execute(&host(machine), vec![command]);
    }

    /// The state of a task in the machine's report, why it exited, and whether it has saved.
    fn report(
        &mut self,
        index: u32,
        attempt: u64,
        machine: u32,
    ) -> (TaskState, Option<ExitCause>, Option<bool>) {
        let name = format!("{JOB}/{index}");
        let now = self.sim.now;
        let w = self.sim.workers.get_mut(&host(machine)).expect("machine");
        let tasks = w.report(now).tasks;
        let shown = tasks
            .iter()
            .find(|t| t.task == name && t.attempt == attempt);
        let t = shown.expect("the task is reported");
        (t.state, t.why, t.saved)
    }

    fn state(&mut self, index: u32, attempt: u64, machine: u32) -> TaskState {
        self.report(index, attempt, machine).0
    }

    fn exit(&mut self, index: u32, attempt: u64, machine: u32) -> Option<ExitCause> {
        self.report(index, attempt, machine).1
    }

    fn saved_s(&self) -> f64 {
        self.sim.jobs[JOB].saved_ms as f64 / 1e3
    }

    fn broken(&self, rule: &str) -> bool {
        self.sim.broken.iter().any(|b| b.starts_with(rule))
    }
}

fn host(machine: u32) -> String {
    format!("host-{machine:06}")
}

fn gang(tasks: u32) -> JobSpec {
    JobSpec {
        id: JOB.into(),
        class: "work".into(),
        team: "red".into(),
        kind: JobKind::Gang,
        priority: Priority::Normal,
        tasks,
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "img".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 30.0,
        checkpoint_s: 10.0,
        save_s: 2.0,
        deadline_s: None,
    }
}

/// Workers on which the first attempt of a gang runs, one task on each machine, 30 s of work.
fn running(tasks: u32) -> Workers {
    let mut w = Workers::new(tasks as usize + 1);
    w.sim.submit(gang(tasks), 30_000);
    for index in 0..tasks {
        w.start(index, 1, index);
    }
    w.pass(STARTED_MS);
    for index in 0..tasks {
        assert_eq!(w.state(index, 1, index), TaskState::Running);
    }
    w
}

#[test]
fn tasks_start_together_when_the_last_has_its_image() {
    let mut w = Workers::new(3);
    w.sim.submit(gang(3), 10_000);
    w.start(0, 1, 0);
    w.start(1, 1, 1);
    assert_eq!(w.state(0, 1, 0), TaskState::Fetching);
    w.pass(20_000);
    assert_eq!(w.state(0, 1, 0), TaskState::Gathering);
    assert_eq!(w.sim.jobs[JOB].begun, None);
    w.start(2, 1, 2);
    w.pass(STARTED_MS);
    for index in 0..3 {
        assert_eq!(w.state(index, 1, index), TaskState::Running);
    }
    w.pass(10_000);
    for index in 0..3 {
        assert_eq!(w.exit(index, 1, index), Some(ExitCause::Done));
    }
    assert_eq!(w.sim.jobs[JOB].finished.len(), 3);
    assert!(w.sim.broken.is_empty(), "{:?}", w.sim.broken);
}

#[test]
fn another_attempt_does_not_complete_a_gang() {
    let mut w = Workers::new(3);
    w.sim.submit(gang(2), 10_000);
    w.start(0, 1, 0);
    w.start(1, 2, 1);
    w.pass(10_000);
    assert_eq!(w.state(0, 1, 0), TaskState::Gathering);
    assert_eq!(w.state(1, 2, 1), TaskState::Gathering);
    assert!(w.sim.jobs[JOB].gang_starts.is_empty());
}

#[test]
fn a_task_that_waits_too_long_exits_incomplete() {
    let mut w = Workers::new(2);
    w.sim.submit(gang(2), 10_000);
    w.start(0, 1, 0);
    w.pass(GANG_WAIT_MS);
    assert_eq!(w.state(0, 1, 0), TaskState::Gathering);
    w.pass(STARTED_MS);
    assert_eq!(w.exit(0, 1, 0), Some(ExitCause::Incomplete));
}

#[test]
fn a_replacement_of_the_same_attempt_completes_a_waiting_gang() {
    let mut w = Workers::new(4);
    w.sim.submit(gang(3), 10_000);
    w.start(0, 1, 0);
    w.start(1, 1, 1);
    w.pass(5_000);
    w.sim.die(&host(0));
    w.pass(5_000);
    assert_eq!(w.state(1, 1, 1), TaskState::Gathering);
    w.start(0, 1, 3);
    w.start(2, 1, 2);
    w.pass(STARTED_MS);
    assert_eq!(w.state(1, 1, 1), TaskState::Running);
    assert_eq!(w.state(0, 1, 3), TaskState::Running);
    assert!(w.sim.broken.is_empty(), "{:?}", w.sim.broken);
}

#[test]
fn a_waiting_task_that_is_stopped_exits_at_once() {
    let mut w = Workers::new(2);
    w.sim.submit(gang(2), 10_000);
    w.start(0, 1, 0);
    w.pass(5_000);
    w.stop(0, 1, 0, 30.0);
    assert_eq!(w.exit(0, 1, 0), Some(ExitCause::Stopped));
}

#[test]
fn tasks_notice_in_time_that_another_is_gone() {
    let losses: [fn(&mut Workers); 5] = [
        |w| w.sim.die(&host(1)),
        |w| w.sim.lose_session(&host(1)),
        |w| w.sim.fail_task("run-1/1"),
        |w| w.stop(1, 1, 1, 0.0),
        |w| w.sim.hang(&host(1), 20_000),
    ];
    for lose in losses {
        let mut w = running(3);
        w.pass(12_000);
        lose(&mut w);
        assert_eq!(w.state(0, 1, 0), TaskState::Running);
        w.pass(GANG_PEER_MS + STEP_MS);
        for index in [0, 2] {
            assert_eq!(w.exit(index, 1, index), Some(ExitCause::PeersGone));
        }
        assert_eq!(w.saved_s(), 10.0);
    }
}

#[test]
fn tasks_of_a_failed_run_show_running_until_they_exit() {
    let mut w = running(3);
    w.sim.die(&host(1));
    w.pass(GANG_PEER_MS / 4);
    let states = [w.state(0, 1, 0), w.state(2, 1, 2)];
    assert!(states.contains(&TaskState::Running), "{states:?}");
}

#[test]
fn a_hung_task_exits_only_when_its_machine_goes_on() {
    let mut w = running(2);
    w.sim.hang(&host(1), 20_000);
    w.pass(19_000);
    assert_eq!(w.exit(0, 1, 0), Some(ExitCause::PeersGone));
    assert_eq!(w.state(1, 1, 1), TaskState::Running);
    w.pass(2_000);
    assert_eq!(w.exit(1, 1, 1), Some(ExitCause::PeersGone));
}

#[test]
fn a_hung_machine_keeps_a_gang_from_starting() {
    let mut w = Workers::new(2);
    w.sim.submit(gang(2), 10_000);
    w.start(0, 1, 0);
    w.pass(STARTED_MS);
    w.sim.hang(&host(0), 10_000);
    w.start(1, 1, 1);
    w.pass(9_000);
    assert_eq!(w.state(1, 1, 1), TaskState::Gathering);
    w.pass(2_000);
    assert_eq!(w.state(1, 1, 1), TaskState::Running);
}

#[test]
fn a_lease_that_ends_takes_the_gang_with_it() {
    let mut w = running(2);
    w.leases_end = true;
    w.pass(24_000);
    w.leases_end = false;
    w.pass(GANG_PEER_MS + STEP_MS);
    assert_eq!(w.sim.tasks_in(JOB, TaskState::Running), 0);
    assert_eq!(w.saved_s(), 20.0);
}

#[test]
fn a_gang_told_to_stop_in_time_saves_and_goes_on_from_there() {
    let mut w = running(2);
    w.pass(13_000);
    w.stop(0, 1, 0, 5.0);
    w.pass(1_500);
    assert_eq!(w.state(0, 1, 0), TaskState::Running);
    w.pass(1_500);
    // It has saved, and waits for the other.
    assert_eq!(w.state(0, 1, 0), TaskState::Running);
    w.stop(1, 1, 1, 5.0);
    w.pass(STEP_MS);
    let stopped = (TaskState::Exited, Some(ExitCause::Stopped), Some(true));
    assert_eq!(w.report(0, 1, 0), stopped);
    let saved_s = w.saved_s();
    assert!((12.5..14.0).contains(&saved_s), "{saved_s}");
    // The other still saves; what becomes of it takes nothing back.
    assert_eq!(w.state(1, 1, 1), TaskState::Running);
    w.sim.die(&host(1));
    w.pass(1_000);
    assert_eq!(w.saved_s(), saved_s);
    w.start(0, 2, 0);
    w.start(1, 2, 2);
    w.pass(STARTED_MS);
    assert_eq!(w.state(0, 2, 0), TaskState::Running);
    w.pass(30_000 - (saved_s * 1e3) as Ms);
    assert_eq!(w.exit(0, 2, 0), Some(ExitCause::Done));
    assert!(w.sim.broken.is_empty(), "{:?}", w.sim.broken);
}

#[test]
fn a_gang_of_which_one_is_told_too_late_falls_back() {
    let mut w = running(3);
    w.pass(13_000);
    w.stop(0, 1, 0, 5.0);
    w.stop(1, 1, 1, 5.0);
    w.pass(GANG_PEER_MS + 2 * STEP_MS);
    let vain = (TaskState::Exited, Some(ExitCause::Stopped), Some(false));
    assert_eq!(w.report(0, 1, 0), vain);
    w.pass(GANG_PEER_MS);
    assert_eq!(w.exit(2, 1, 2), Some(ExitCause::PeersGone));
    assert_eq!(w.saved_s(), 10.0);
}

#[test]
fn too_little_grace_fails_the_gang() {
    let mut w = running(2);
    w.pass(13_000);
    w.stop(0, 1, 0, 5.0);
    w.stop(1, 1, 1, 1.0);
    let stopped = (TaskState::Exited, Some(ExitCause::Stopped), Some(false));
    assert_eq!(w.report(1, 1, 1), stopped);
    w.pass(GANG_PEER_MS + STEP_MS);
    assert_eq!(w.report(0, 1, 0), stopped);
    assert_eq!(w.saved_s(), 10.0);
}

#[test]
fn a_second_kill_without_grace_ends_the_saving() {
    let mut w = running(2);
    w.pass(13_000);
    w.stop(0, 1, 0, 5.0);
    w.stop(1, 1, 1, 5.0);
    w.stop(1, 1, 1, 5.0);
    assert_eq!(w.state(1, 1, 1), TaskState::Running);
    w.stop(1, 1, 1, 0.0);
    assert_eq!(w.state(1, 1, 1), TaskState::Exited);
    w.pass(GANG_PEER_MS + STEP_MS);
    assert_eq!(w.saved_s(), 10.0);
}

#[test]
fn a_gang_without_checkpoints_exits_at_once_and_loses_its_work() {
    let mut w = Workers::new(2);
    let mut spec = gang(2);
    (spec.checkpoint_s, spec.save_s) = (0.0, 0.0);
    w.sim.submit(spec, 30_000);
    w.start(0, 1, 0);
    w.start(1, 1, 1);
    w.pass(20_000);
    w.stop(0, 1, 0, 60.0);
    assert_eq!(
        w.report(0, 1, 0),
        (TaskState::Exited, Some(ExitCause::Stopped), None)
    );
    w.pass(GANG_PEER_MS + STEP_MS);
    assert_eq!(w.exit(1, 1, 1), Some(ExitCause::PeersGone));
    assert_eq!(w.saved_s(), 0.0);
}

#[test]
fn checkpoints_count_the_progress_of_the_job_over_all_attempts() {
    let mut w = running(2);
    w.pass(16_000);
    // Saved at 17 or so: the next checkpoint is at 20, 4 s into the next attempt.
    w.stop(0, 1, 0, 5.0);
    w.stop(1, 1, 1, 5.0);
    w.pass(3_000);
    assert!((16.0..17.0).contains(&w.saved_s()), "{}", w.saved_s());
    w.start(0, 2, 0);
    w.start(1, 2, 1);
    w.pass(6_000);
    w.sim.die(&host(1));
    w.pass(STEP_MS * 2);
    assert_eq!(w.saved_s(), 20.0);
}

#[test]
fn the_result_of_a_gang_is_kept() {
    let mut w = running(2);
    w.pass(30_000);
    assert_eq!(w.exit(0, 1, 0), Some(ExitCause::Done));
    w.start(0, 2, 2);
    w.pass(STARTED_MS);
    assert_eq!(w.exit(0, 2, 2), Some(ExitCause::Done));
    assert_eq!(w.sim.jobs[JOB].gang_starts.len(), 1);
}

#[test]
fn a_late_start_of_an_attempt_that_failed_waits_in_vain() {
    let mut w = running(2);
    w.sim.die(&host(1));
    w.pass(1_000);
    w.start(1, 1, 2);
    w.pass(GANG_PEER_MS);
    assert_eq!(w.exit(0, 1, 0), Some(ExitCause::PeersGone));
    assert_eq!(w.state(1, 1, 2), TaskState::Gathering);
    w.pass(GANG_WAIT_MS);
    assert_eq!(w.exit(1, 1, 2), Some(ExitCause::Incomplete));
}

#[test]
fn a_start_is_refused_where_the_task_is_with_another_attempt() {
    let mut w = Workers::new(1);
    w.sim.submit(gang(2), 10_000);
    w.start(0, 1, 0);
    w.start(0, 2, 0);
    assert_eq!(w.exit(0, 2, 0), Some(ExitCause::Busy));
    assert_eq!(w.state(0, 1, 0), TaskState::Fetching);
    w.stop(0, 1, 0, 0.0);
    w.start(0, 2, 0);
    // The refused attempt is known to the worker until it is told to forget it.
    assert_eq!(w.exit(0, 2, 0), Some(ExitCause::Busy));
    w.start(0, 3, 0);
    assert_eq!(w.state(0, 3, 0), TaskState::Fetching);
}

#[test]
fn a_start_is_refused_where_fetching_and_waiting_tasks_leave_no_room() {
    let mut w = Workers::new(1);
    w.sim.submit(gang(4), 10_000);
    w.start(0, 1, 0);
    w.pass(STARTED_MS);
    assert_eq!(w.state(0, 1, 0), TaskState::Gathering);
    w.start(1, 1, 0);
    w.start(2, 1, 0);
    assert_eq!(w.exit(2, 1, 0), Some(ExitCause::NoRoom));
    w.stop(1, 1, 0, 0.0);
    w.start(3, 1, 0);
    assert_eq!(w.exit(3, 1, 0), None);
}

// ---- Rules ------------------------------------------------------------------------------------

#[test]
fn a_waiting_task_that_starts_elsewhere_too_breaks_a_rule() {
    let mut w = Workers::new(2);
    w.sim.submit(gang(2), 10_000);
    w.start(0, 1, 0);
    w.pass(STARTED_MS);
    w.start(0, 2, 1);
    w.pass(STARTED_MS);
    assert!(w.broken("ran_twice"), "{:?}", w.sim.broken);
}

#[test]
fn a_task_that_starts_beside_one_of_a_failed_run_breaks_a_rule() {
    let mut w = running(2);
    w.sim.hang(&host(1), 20_000);
    w.pass(10_000);
    w.start(1, 2, 2);
    w.pass(STARTED_MS);
    assert!(w.broken("ran_twice"), "{:?}", w.sim.broken);
}

#[test]
fn waiting_tasks_count_toward_the_limit_of_the_team() {
    let mut w = Workers::new(3);
    let mut spec = gang(3);
    spec.team = "blue".into();
    w.sim.submit(spec, 10_000);
    w.start(0, 1, 0);
    w.start(1, 1, 1);
    w.pass(STARTED_MS);
    assert!(!w.broken("quota"));
    w.start(2, 1, 2);
    w.pass(STARTED_MS);
    assert!(w.broken("quota"), "{:?}", w.sim.broken);
}

#[test]
fn tasks_of_an_old_attempt_bind_the_zone() {
    let mut w = Workers::new(2);
    w.sim.add_machine("b");
    let mut spec = gang(2);
    spec.one_zone = true;
    w.sim.submit(spec, 10_000);
    w.start(0, 1, 0);
    w.pass(STARTED_MS);
    assert!(!w.broken("wrong_place"));
    w.start(1, 2, 2);
    w.pass(STARTED_MS);
    assert!(w.broken("wrong_place"), "{:?}", w.sim.broken);
}

/// Whether the room check finds that a gang nobody starts waits too long, once it is accepted.
fn waits_beside_room(spec: JobSpec, machines_a: usize, machines_b: usize) -> bool {
    let mut w = Workers::new(machines_a);
    for _ in 0..machines_b {
        w.sim.add_machine("b");
    }
    w.sim.submit(spec, 10_000);
    w.sim.jobs.get_mut(JOB).expect("job").accepted = true;
    w.sim.calm = Some(1);
    w.pass(100_000);
    w.broken("waits_beside_room")
}

#[test]
fn a_gang_must_not_wait_beside_room_for_all_of_it() {
    assert!(waits_beside_room(gang(4), 2, 0));
    assert!(waits_beside_room(gang(4), 1, 1));
    let mut spec = gang(4);
    spec.one_zone = true;
    assert!(waits_beside_room(spec, 1, 2));
}

#[test]
fn a_gang_may_wait_beside_room_for_a_part_of_it() {
    assert!(!waits_beside_room(gang(5), 2, 0));
    let mut spec = gang(4);
    spec.one_zone = true;
    assert!(!waits_beside_room(spec.clone(), 1, 1));
    (spec.one_zone, spec.spread) = (false, true);
    assert!(!waits_beside_room(spec, 2, 0));
    let mut spec = gang(3);
    spec.team = "blue".into();
    assert!(!waits_beside_room(spec, 2, 0));
}

#[test]
fn a_gang_may_wait_while_a_task_of_an_old_run_is_on_a_machine() {
    let mut w = running(2);
    w.sim.jobs.get_mut(JOB).expect("job").accepted = true;
    w.sim.calm = Some(1);
    w.sim.hang(&host(1), 100_000);
    w.pass(99_000);
    assert!(!w.broken("waits_beside_room"), "{:?}", w.sim.broken);
}

#[test]
fn a_gang_that_waits_in_part_must_not_wait_for_long_beside_room_for_the_rest() {
    let mut w = Workers::new(2);
    w.sim.submit(gang(4), 10_000);
    w.sim.jobs.get_mut(JOB).expect("job").accepted = true;
    w.sim.calm = Some(1);
    for attempt in 1..=5 {
        w.start(0, attempt, 0);
        w.pass(20_000);
        w.stop(0, attempt, 0, 0.0);
    }
    w.pass(STARTED_MS);
    assert!(w.broken("waits_beside_room"), "{:?}", w.sim.broken);
}
