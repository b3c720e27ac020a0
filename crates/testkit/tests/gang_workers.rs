//! The stand-in's workers run gangs as the protocol tells: commands are given to them directly,
//! with no controller beside.
#[path = "../../control/src/test_support.rs"]
mod test_support;

use stonegw_testkit::sim::{Simulation, GANG_PEER_TIMEOUT_MS, GANG_WAIT_TIMEOUT_MS};
use stonegw_testkit::stand_ins::Ms;
use stonegw_wire::msg::*;

const JOB_ID: &str = "run-1";
const NEVER_MS: Ms = 1 << 40;
const STEP_MS: Ms = 100;
/// How long a start takes on a machine without the image, with some margin.
const TASK_START_MS: Ms = 1_500;

/// Workers alone; their leases are renewed unless a test says otherwise.
struct WorkerFixture {
    sim: Simulation,
    leases_expire: bool,
}

impl WorkerFixture {
    fn new(machines: usize) -> WorkerFixture {
        let mut sim = Simulation::new(1);
        sim.run_until(1);
        sim.crash_node(0, NEVER_MS);
        for _ in 0..machines {
            sim.add_machine("a");
        }
        let leases_expire = false;
        WorkerFixture { sim, leases_expire }
    }

    fn advance(&mut self, ms: Ms) {
        let until = self.sim.now + ms;
        while self.sim.now < until {
            let next = until.min(self.sim.now + STEP_MS);
            if !self.leases_expire {
                self.renew_leases();
            }
            self.sim.run_until(next);
        }
    }

    fn renew_leases(&mut self) {
        let now = self.sim.now;
        self.sim
            .workers
            .values_mut()
            .for_each(|w| w.lease_renewed_at = now);
    }

    fn start_task(&mut self, index: u32, attempt: u64, machine: u32) {
        let task = format!("{JOB_ID}/{index}");
        let command = Command::Start {
            task_id: task,
            attempt,
        };
        self.sim
            .execute_commands(&machine_id(machine), vec![command]);
    }

    fn stop_task(&mut self, index: u32, attempt: u64, machine: u32, grace_s: f64) {
        let task = format!("{JOB_ID}/{index}");
        let command = Command::Stop {
            task_id: task,
            attempt,
            grace_period_s: grace_s,
        };
        self.sim
            .execute_commands(&machine_id(machine), vec![command]);
    }

    /// The state of a task in the machine's report, why it exited, and whether it has saved.
    fn reported_task(
        &mut self,
        index: u32,
        attempt: u64,
        machine: u32,
    ) -> (TaskState, Option<ExitCause>, Option<bool>) {
        let name = format!("{JOB_ID}/{index}");
        let now = self.sim.now;
        let w = self
            .sim
            .workers
            .get_mut(&machine_id(machine))
            .expect("machine");
        let tasks = w.build_heartbeat(now).tasks;
        let shown = tasks
            .iter()
            .find(|t| t.task_id == name && t.attempt == attempt);
        let t = shown.expect("the task is reported");
        (t.state, t.exit_cause, t.progress_saved)
    }

    fn task_state(&mut self, index: u32, attempt: u64, machine: u32) -> TaskState {
        self.reported_task(index, attempt, machine).0
    }

    fn exit_cause(&mut self, index: u32, attempt: u64, machine: u32) -> Option<ExitCause> {
        self.reported_task(index, attempt, machine).1
    }

    fn saved_progress_s(&self) -> f64 {
        self.sim.jobs[JOB_ID].saved_progress_ms as f64 / 1e3
    }

    fn is_violated(&self, rule: &str) -> bool {
        self.sim.violations.iter().any(|b| b.starts_with(rule))
    }
}

fn machine_id(machine: u32) -> String {
    format!("host-{machine:06}")
}

fn gang_spec(tasks: u32) -> JobSpec {
    JobSpec {
        class: "work".into(),
        kind: JobKind::Gang,
        cpus: 2.0,
        memory_gb: 1.0,
        image: "img".into(),
        estimated_run_time_s: 30.0,
        checkpoint_interval_s: 10.0,
        checkpoint_duration_s: 2.0,
        ..test_support::job_spec(JOB_ID, tasks)
    }
}

/// Workers on which the first attempt of a gang runs, one task on each machine, 30 s of work.
fn start_running_gang(tasks: u32) -> WorkerFixture {
    let mut w = WorkerFixture::new(tasks as usize + 1);
    w.sim.submit_job(gang_spec(tasks), 30_000);
    for index in 0..tasks {
        w.start_task(index, 1, index);
    }
    w.advance(TASK_START_MS);
    for index in 0..tasks {
        assert_eq!(w.task_state(index, 1, index), TaskState::Running);
    }
    w
}

#[test]
fn tasks_start_together_when_the_last_has_its_image() {
    let mut w = WorkerFixture::new(3);
    w.sim.submit_job(gang_spec(3), 10_000);
    w.start_task(0, 1, 0);
    w.start_task(1, 1, 1);
    assert_eq!(w.task_state(0, 1, 0), TaskState::Fetching);
    w.advance(20_000);
    assert_eq!(w.task_state(0, 1, 0), TaskState::WaitingForGang);
    assert_eq!(w.sim.jobs[JOB_ID].started_at, None);
    w.start_task(2, 1, 2);
    w.advance(TASK_START_MS);
    for index in 0..3 {
        assert_eq!(w.task_state(index, 1, index), TaskState::Running);
    }
    w.advance(10_000);
    for index in 0..3 {
        assert_eq!(w.exit_cause(index, 1, index), Some(ExitCause::Done));
    }
    assert_eq!(w.sim.jobs[JOB_ID].finished_tasks.len(), 3);
    assert!(w.sim.violations.is_empty(), "{:?}", w.sim.violations);
}

#[test]
fn another_attempt_does_not_complete_a_gang() {
    let mut w = WorkerFixture::new(3);
    w.sim.submit_job(gang_spec(2), 10_000);
    w.start_task(0, 1, 0);
    w.start_task(1, 2, 1);
    w.advance(10_000);
    assert_eq!(w.task_state(0, 1, 0), TaskState::WaitingForGang);
    assert_eq!(w.task_state(1, 2, 1), TaskState::WaitingForGang);
    assert!(w.sim.jobs[JOB_ID].gang_start_times.is_empty());
}

#[test]
fn a_task_that_waits_too_long_exits_incomplete() {
    let mut w = WorkerFixture::new(2);
    w.sim.submit_job(gang_spec(2), 10_000);
    w.start_task(0, 1, 0);
    w.advance(GANG_WAIT_TIMEOUT_MS);
    assert_eq!(w.task_state(0, 1, 0), TaskState::WaitingForGang);
    w.advance(TASK_START_MS);
    assert_eq!(w.exit_cause(0, 1, 0), Some(ExitCause::GangIncomplete));
}

#[test]
fn a_replacement_of_the_same_attempt_completes_a_waiting_gang() {
    let mut w = WorkerFixture::new(4);
    w.sim.submit_job(gang_spec(3), 10_000);
    w.start_task(0, 1, 0);
    w.start_task(1, 1, 1);
    w.advance(5_000);
    w.sim.crash_machine(&machine_id(0));
    w.advance(5_000);
    assert_eq!(w.task_state(1, 1, 1), TaskState::WaitingForGang);
    w.start_task(0, 1, 3);
    w.start_task(2, 1, 2);
    w.advance(TASK_START_MS);
    assert_eq!(w.task_state(1, 1, 1), TaskState::Running);
    assert_eq!(w.task_state(0, 1, 3), TaskState::Running);
    assert!(w.sim.violations.is_empty(), "{:?}", w.sim.violations);
}

#[test]
fn a_waiting_task_that_is_stopped_exits_at_once() {
    let mut w = WorkerFixture::new(2);
    w.sim.submit_job(gang_spec(2), 10_000);
    w.start_task(0, 1, 0);
    w.advance(5_000);
    w.stop_task(0, 1, 0, 30.0);
    assert_eq!(w.exit_cause(0, 1, 0), Some(ExitCause::Stopped));
}

#[test]
fn tasks_notice_in_time_that_another_is_gone() {
    let losses: [fn(&mut WorkerFixture); 5] = [
        |w| w.sim.crash_machine(&machine_id(1)),
        |w| w.sim.begin_new_incarnation(&machine_id(1)),
        |w| w.sim.fail_task("run-1/1"),
        |w| w.stop_task(1, 1, 1, 0.0),
        |w| w.sim.hang_machine(&machine_id(1), 20_000),
    ];
    for lose in losses {
        let mut w = start_running_gang(3);
        w.advance(12_000);
        lose(&mut w);
        assert_eq!(w.task_state(0, 1, 0), TaskState::Running);
        w.advance(GANG_PEER_TIMEOUT_MS + STEP_MS);
        for index in [0, 2] {
            assert_eq!(
                w.exit_cause(index, 1, index),
                Some(ExitCause::GangMembersGone)
            );
        }
        assert_eq!(w.saved_progress_s(), 10.0);
    }
}

#[test]
fn tasks_of_a_failed_run_show_running_until_they_exit() {
    let mut w = start_running_gang(3);
    w.sim.crash_machine(&machine_id(1));
    w.advance(GANG_PEER_TIMEOUT_MS / 4);
    let states = [w.task_state(0, 1, 0), w.task_state(2, 1, 2)];
    assert!(states.contains(&TaskState::Running), "{states:?}");
}

#[test]
fn a_hung_task_exits_only_when_its_machine_goes_on() {
    let mut w = start_running_gang(2);
    w.sim.hang_machine(&machine_id(1), 20_000);
    w.advance(19_000);
    assert_eq!(w.exit_cause(0, 1, 0), Some(ExitCause::GangMembersGone));
    assert_eq!(w.task_state(1, 1, 1), TaskState::Running);
    w.advance(2_000);
    assert_eq!(w.exit_cause(1, 1, 1), Some(ExitCause::GangMembersGone));
}

#[test]
fn a_hung_machine_keeps_a_gang_from_starting() {
    let mut w = WorkerFixture::new(2);
    w.sim.submit_job(gang_spec(2), 10_000);
    w.start_task(0, 1, 0);
    w.advance(TASK_START_MS);
    w.sim.hang_machine(&machine_id(0), 10_000);
    w.start_task(1, 1, 1);
    w.advance(9_000);
    assert_eq!(w.task_state(1, 1, 1), TaskState::WaitingForGang);
    w.advance(2_000);
    assert_eq!(w.task_state(1, 1, 1), TaskState::Running);
}

#[test]
fn a_lease_that_ends_takes_the_gang_with_it() {
    let mut w = start_running_gang(2);
    w.leases_expire = true;
    w.advance(24_000);
    w.leases_expire = false;
    w.advance(GANG_PEER_TIMEOUT_MS + STEP_MS);
    assert_eq!(w.sim.count_tasks_in_state(JOB_ID, TaskState::Running), 0);
    assert_eq!(w.saved_progress_s(), 20.0);
}

#[test]
fn a_gang_told_to_stop_in_time_saves_and_goes_on_from_there() {
    let mut w = start_running_gang(2);
    w.advance(13_000);
    w.stop_task(0, 1, 0, 5.0);
    w.advance(1_500);
    assert_eq!(w.task_state(0, 1, 0), TaskState::Running);
    w.advance(1_500);
    // It has saved, and waits for the other.
    assert_eq!(w.task_state(0, 1, 0), TaskState::Running);
    w.stop_task(1, 1, 1, 5.0);
    w.advance(STEP_MS);
    let stopped = (TaskState::Exited, Some(ExitCause::Stopped), Some(true));
    assert_eq!(w.reported_task(0, 1, 0), stopped);
    let saved_s = w.saved_progress_s();
    assert!((12.5..14.0).contains(&saved_s), "{saved_s}");
    // The other still saves; what becomes of it takes nothing back.
    assert_eq!(w.task_state(1, 1, 1), TaskState::Running);
    w.sim.crash_machine(&machine_id(1));
    w.advance(1_000);
    assert_eq!(w.saved_progress_s(), saved_s);
    w.start_task(0, 2, 0);
    w.start_task(1, 2, 2);
    w.advance(TASK_START_MS);
    assert_eq!(w.task_state(0, 2, 0), TaskState::Running);
    w.advance(30_000 - (saved_s * 1e3) as Ms);
    assert_eq!(w.exit_cause(0, 2, 0), Some(ExitCause::Done));
    assert!(w.sim.violations.is_empty(), "{:?}", w.sim.violations);
}

#[test]
fn a_gang_of_which_one_is_told_too_late_falls_back() {
    let mut w = start_running_gang(3);
    w.advance(13_000);
    w.stop_task(0, 1, 0, 5.0);
    w.stop_task(1, 1, 1, 5.0);
    w.advance(GANG_PEER_TIMEOUT_MS + 2 * STEP_MS);
    let vain = (TaskState::Exited, Some(ExitCause::Stopped), Some(false));
    assert_eq!(w.reported_task(0, 1, 0), vain);
    w.advance(GANG_PEER_TIMEOUT_MS);
    assert_eq!(w.exit_cause(2, 1, 2), Some(ExitCause::GangMembersGone));
    assert_eq!(w.saved_progress_s(), 10.0);
}

#[test]
fn too_little_grace_fails_the_gang() {
    let mut w = start_running_gang(2);
    w.advance(13_000);
    w.stop_task(0, 1, 0, 5.0);
    w.stop_task(1, 1, 1, 1.0);
    let stopped = (TaskState::Exited, Some(ExitCause::Stopped), Some(false));
    assert_eq!(w.reported_task(1, 1, 1), stopped);
    w.advance(GANG_PEER_TIMEOUT_MS + STEP_MS);
    assert_eq!(w.reported_task(0, 1, 0), stopped);
    assert_eq!(w.saved_progress_s(), 10.0);
}

#[test]
fn a_second_kill_without_grace_ends_the_saving() {
    let mut w = start_running_gang(2);
    w.advance(13_000);
    w.stop_task(0, 1, 0, 5.0);
    w.stop_task(1, 1, 1, 5.0);
    w.stop_task(1, 1, 1, 5.0);
    assert_eq!(w.task_state(1, 1, 1), TaskState::Running);
    w.stop_task(1, 1, 1, 0.0);
    assert_eq!(w.task_state(1, 1, 1), TaskState::Exited);
    w.advance(GANG_PEER_TIMEOUT_MS + STEP_MS);
    assert_eq!(w.saved_progress_s(), 10.0);
}

#[test]
fn a_gang_without_checkpoints_exits_at_once_and_loses_its_work() {
    let mut w = WorkerFixture::new(2);
    let mut spec = gang_spec(2);
    (spec.checkpoint_interval_s, spec.checkpoint_duration_s) = (0.0, 0.0);
    w.sim.submit_job(spec, 30_000);
    w.start_task(0, 1, 0);
    w.start_task(1, 1, 1);
    w.advance(20_000);
    w.stop_task(0, 1, 0, 60.0);
    assert_eq!(
        w.reported_task(0, 1, 0),
        (TaskState::Exited, Some(ExitCause::Stopped), None)
    );
    w.advance(GANG_PEER_TIMEOUT_MS + STEP_MS);
    assert_eq!(w.exit_cause(1, 1, 1), Some(ExitCause::GangMembersGone));
    assert_eq!(w.saved_progress_s(), 0.0);
}

#[test]
fn checkpoints_count_the_progress_of_the_job_over_all_attempts() {
    let mut w = start_running_gang(2);
    w.advance(16_000);
    // Saved at 17 or so: the next checkpoint is at 20, 4 s into the next attempt.
    w.stop_task(0, 1, 0, 5.0);
    w.stop_task(1, 1, 1, 5.0);
    w.advance(3_000);
    assert!(
        (16.0..17.0).contains(&w.saved_progress_s()),
        "{}",
        w.saved_progress_s()
    );
    w.start_task(0, 2, 0);
    w.start_task(1, 2, 1);
    w.advance(6_000);
    w.sim.crash_machine(&machine_id(1));
    w.advance(STEP_MS * 2);
    assert_eq!(w.saved_progress_s(), 20.0);
}

#[test]
fn the_result_of_a_gang_is_kept() {
    let mut w = start_running_gang(2);
    w.advance(30_000);
    assert_eq!(w.exit_cause(0, 1, 0), Some(ExitCause::Done));
    w.start_task(0, 2, 2);
    w.advance(TASK_START_MS);
    assert_eq!(w.exit_cause(0, 2, 2), Some(ExitCause::Done));
    assert_eq!(w.sim.jobs[JOB_ID].gang_start_times.len(), 1);
}

#[test]
fn a_late_start_of_an_attempt_that_failed_waits_in_vain() {
    let mut w = start_running_gang(2);
    w.sim.crash_machine(&machine_id(1));
    w.advance(1_000);
    w.start_task(1, 1, 2);
    w.advance(GANG_PEER_TIMEOUT_MS);
    assert_eq!(w.exit_cause(0, 1, 0), Some(ExitCause::GangMembersGone));
    assert_eq!(w.task_state(1, 1, 2), TaskState::WaitingForGang);
    w.advance(GANG_WAIT_TIMEOUT_MS);
    assert_eq!(w.exit_cause(1, 1, 2), Some(ExitCause::GangIncomplete));
}

#[test]
fn a_start_is_refused_where_the_task_is_with_another_attempt() {
    let mut w = WorkerFixture::new(1);
    w.sim.submit_job(gang_spec(2), 10_000);
    w.start_task(0, 1, 0);
    w.start_task(0, 2, 0);
    assert_eq!(w.exit_cause(0, 2, 0), Some(ExitCause::AttemptConflict));
    assert_eq!(w.task_state(0, 1, 0), TaskState::Fetching);
    w.stop_task(0, 1, 0, 0.0);
    w.start_task(0, 2, 0);
    // The refused attempt is known to the worker until it is told to forget it.
    assert_eq!(w.exit_cause(0, 2, 0), Some(ExitCause::AttemptConflict));
    w.start_task(0, 3, 0);
    assert_eq!(w.task_state(0, 3, 0), TaskState::Fetching);
}

#[test]
fn a_start_is_refused_where_fetching_and_waiting_tasks_leave_no_capacity() {
    let mut w = WorkerFixture::new(1);
    w.sim.submit_job(gang_spec(4), 10_000);
    w.start_task(0, 1, 0);
    w.advance(TASK_START_MS);
    assert_eq!(w.task_state(0, 1, 0), TaskState::WaitingForGang);
    w.start_task(1, 1, 0);
    w.start_task(2, 1, 0);
    assert_eq!(w.exit_cause(2, 1, 0), Some(ExitCause::NoCapacity));
    w.stop_task(1, 1, 0, 0.0);
    w.start_task(3, 1, 0);
    assert_eq!(w.exit_cause(3, 1, 0), None);
}

// ---- Rules ------------------------------------------------------------------------------------

#[test]
fn a_waiting_task_that_starts_elsewhere_too_breaks_a_rule() {
    let mut w = WorkerFixture::new(2);
    w.sim.submit_job(gang_spec(2), 10_000);
    w.start_task(0, 1, 0);
    w.advance(TASK_START_MS);
    w.start_task(0, 2, 1);
    w.advance(TASK_START_MS);
    assert!(w.is_violated("ran_twice"), "{:?}", w.sim.violations);
}

#[test]
fn a_task_that_starts_beside_one_of_a_failed_run_breaks_a_rule() {
    let mut w = start_running_gang(2);
    w.sim.hang_machine(&machine_id(1), 20_000);
    w.advance(10_000);
    w.start_task(1, 2, 2);
    w.advance(TASK_START_MS);
    assert!(w.is_violated("ran_twice"), "{:?}", w.sim.violations);
}

#[test]
fn waiting_tasks_count_toward_the_limit_of_the_team() {
    let mut w = WorkerFixture::new(3);
    let mut spec = gang_spec(3);
    spec.team = "blue".into();
    w.sim.submit_job(spec, 10_000);
    w.start_task(0, 1, 0);
    w.start_task(1, 1, 1);
    w.advance(TASK_START_MS);
    assert!(!w.is_violated("quota"));
    w.start_task(2, 1, 2);
    w.advance(TASK_START_MS);
    assert!(w.is_violated("quota"), "{:?}", w.sim.violations);
}

#[test]
fn tasks_of_an_old_attempt_bind_the_zone() {
    let mut w = WorkerFixture::new(2);
    w.sim.add_machine("b");
    let mut spec = gang_spec(2);
    spec.requires_single_zone = true;
    w.sim.submit_job(spec, 10_000);
    w.start_task(0, 1, 0);
    w.advance(TASK_START_MS);
    assert!(!w.is_violated("wrong_place"));
    w.start_task(1, 2, 2);
    w.advance(TASK_START_MS);
    assert!(w.is_violated("wrong_place"), "{:?}", w.sim.violations);
}

/// Whether the room check finds that a gang nobody starts waits too long, once it is accepted.
fn is_waiting_beside_capacity(spec: JobSpec, machines_a: usize, machines_b: usize) -> bool {
    let mut w = WorkerFixture::new(machines_a);
    for _ in 0..machines_b {
        w.sim.add_machine("b");
    }
    w.sim.submit_job(spec, 10_000);
    w.sim.jobs.get_mut(JOB_ID).expect("job").is_accepted = true;
    w.sim.faults_over_at = Some(1);
    w.advance(100_000);
    w.is_violated("waits_beside_room")
}

#[test]
fn a_gang_must_not_wait_beside_capacity_for_all_of_it() {
    assert!(is_waiting_beside_capacity(gang_spec(4), 2, 0));
    assert!(is_waiting_beside_capacity(gang_spec(4), 1, 1));
    let mut spec = gang_spec(4);
    spec.requires_single_zone = true;
    assert!(is_waiting_beside_capacity(spec, 1, 2));
}

#[test]
fn a_gang_may_wait_beside_capacity_for_a_part_of_it() {
    assert!(!is_waiting_beside_capacity(gang_spec(5), 2, 0));
    let mut spec = gang_spec(4);
    spec.requires_single_zone = true;
    assert!(!is_waiting_beside_capacity(spec.clone(), 1, 1));
    (spec.requires_single_zone, spec.spreads_across_zones) = (false, true);
    assert!(!is_waiting_beside_capacity(spec, 2, 0));
    let mut spec = gang_spec(3);
    spec.team = "blue".into();
    assert!(!is_waiting_beside_capacity(spec, 2, 0));
}

#[test]
fn a_gang_may_wait_while_a_task_of_an_old_run_is_on_a_machine() {
    let mut w = start_running_gang(2);
    w.sim.jobs.get_mut(JOB_ID).expect("job").is_accepted = true;
    w.sim.faults_over_at = Some(1);
    w.sim.hang_machine(&machine_id(1), 100_000);
    w.advance(99_000);
    assert!(
        !w.is_violated("waits_beside_room"),
        "{:?}",
        w.sim.violations
    );
}

#[test]
fn a_gang_that_waits_in_part_must_not_wait_for_long_beside_capacity_for_the_rest() {
    let mut w = WorkerFixture::new(2);
    w.sim.submit_job(gang_spec(4), 10_000);
    w.sim.jobs.get_mut(JOB_ID).expect("job").is_accepted = true;
    w.sim.faults_over_at = Some(1);
    for attempt in 1..=5 {
        w.start_task(0, attempt, 0);
        w.advance(20_000);
        w.stop_task(0, attempt, 0, 0.0);
    }
    w.advance(TASK_START_MS);
    assert!(w.is_violated("waits_beside_room"), "{:?}", w.sim.violations);
}
