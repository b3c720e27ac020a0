//! The simulated workers run gangs as the protocol says: commands are given to them directly,
//! without a controller.
use stonegw_testkit::sim::Simulation;
use stonegw_testkit::stand_ins::{
    default_job_spec, machine_id, Ms, GANG_PEER_TIMEOUT_MS, GANG_WAIT_TIMEOUT_MS,
};
use stonegw_wire::msg::{Command, ExitCause, JobKind, JobSpec, TaskState, TaskStatus};

const JOB_ID: &str = "run-1";
const NEVER_MS: Ms = 1 << 40;
const STEP_MS: Ms = 100;
/// How long a start takes on a machine without the image, with some margin.
const TASK_START_MS: Ms = 1_500;

/// How an attempt of a task is reported in a heartbeat.
#[derive(Debug, PartialEq)]
struct ReportedTask {
    state: TaskState,
    exit_cause: Option<ExitCause>,
    progress_saved: Option<bool>,
}

impl ReportedTask {
    /// It was stopped, and has saved its progress or not.
    fn stopped(progress_saved: Option<bool>) -> ReportedTask {
        ReportedTask {
            state: TaskState::Exited,
            exit_cause: Some(ExitCause::Stopped),
            progress_saved,
        }
    }
}

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
        WorkerFixture {
            sim,
            leases_expire: false,
        }
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
        for worker in self.sim.workers.values_mut() {
            worker.lease_renewed_at = now;
        }
    }

    fn execute(&mut self, machine: u32, command: Command) {
        let id = machine_id(machine.into());
        self.sim.execute_commands(&id, vec![command]);
    }

    fn start_task(&mut self, index: u32, attempt: u64, machine: u32) {
        let task_id = task_id(index);
        self.execute(machine, Command::Start { task_id, attempt });
    }

    fn stop_task(&mut self, index: u32, attempt: u64, machine: u32, grace_period_s: f64) {
        let command = Command::Stop {
            task_id: task_id(index),
            attempt,
            grace_period_s,
        };
        self.execute(machine, command);
    }

    fn crash_machine(&mut self, machine: u32) {
        self.sim.crash_machine(&machine_id(machine.into()));
    }

    fn hang_machine(&mut self, machine: u32, duration: Ms) {
        self.sim.hang_machine(&machine_id(machine.into()), duration);
    }

    /// The attempt of a task as the machine's heartbeat reports it.
    fn reported_task(&mut self, index: u32, attempt: u64, machine: u32) -> ReportedTask {
        let now = self.sim.now;
        let id = machine_id(machine.into());
        let worker = self.sim.workers.get_mut(&id).expect("machine");
        let heartbeat = worker.build_heartbeat(now);
        let is_wanted =
            |status: &&TaskStatus| status.task_id == task_id(index) && status.attempt == attempt;
        let status = heartbeat.tasks.iter().find(is_wanted);
        let status = status.expect("the task is reported");
        ReportedTask {
            state: status.state,
            exit_cause: status.exit_cause,
            progress_saved: status.progress_saved,
        }
    }

    fn task_state(&mut self, index: u32, attempt: u64, machine: u32) -> TaskState {
        self.reported_task(index, attempt, machine).state
    }

    fn exit_cause(&mut self, index: u32, attempt: u64, machine: u32) -> Option<ExitCause> {
        self.reported_task(index, attempt, machine).exit_cause
    }

    fn saved_progress_s(&self) -> f64 {
        self.sim.jobs[JOB_ID].saved_progress_ms as f64 / 1e3
    }

    fn is_violated(&self, rule: &str) -> bool {
        self.sim
            .violations
            .iter()
            .any(|text| text.starts_with(rule))
    }
}

fn task_id(index: u32) -> String {
    format!("{JOB_ID}/{index}")
}

fn gang_spec(task_count: u32) -> JobSpec {
    JobSpec {
        cpus: 2.0,
        estimated_run_time_s: 30.0,
        checkpoint_interval_s: 10.0,
        checkpoint_duration_s: 2.0,
        ..default_job_spec(JOB_ID, JobKind::Gang, task_count)
    }
}

/// Workers on which the first attempt of a gang runs, one task on each machine, 30 s of work.
fn start_running_gang(tasks: u32) -> WorkerFixture {
    let mut workers = WorkerFixture::new(tasks as usize + 1);
    workers.sim.submit_job(gang_spec(tasks), 30_000);
    for index in 0..tasks {
        workers.start_task(index, 1, index);
    }
    workers.advance(TASK_START_MS);
    for index in 0..tasks {
        assert_eq!(workers.task_state(index, 1, index), TaskState::Running);
    }
    workers
}

#[test]
fn tasks_start_together_when_the_last_has_its_image() {
    let mut workers = WorkerFixture::new(3);
    workers.sim.submit_job(gang_spec(3), 10_000);
    workers.start_task(0, 1, 0);
    workers.start_task(1, 1, 1);
    assert_eq!(workers.task_state(0, 1, 0), TaskState::Fetching);
    workers.advance(20_000);
    assert_eq!(workers.task_state(0, 1, 0), TaskState::WaitingForGang);
    assert_eq!(workers.sim.jobs[JOB_ID].started_at, None);
    workers.start_task(2, 1, 2);
    workers.advance(TASK_START_MS);
    for index in 0..3 {
        assert_eq!(workers.task_state(index, 1, index), TaskState::Running);
    }
    workers.advance(10_000);
    for index in 0..3 {
        assert_eq!(workers.exit_cause(index, 1, index), Some(ExitCause::Done));
    }
    assert_eq!(workers.sim.jobs[JOB_ID].finished_tasks.len(), 3);
    assert!(
        workers.sim.violations.is_empty(),
        "{:?}",
        workers.sim.violations
    );
}

#[test]
fn another_attempt_does_not_complete_a_gang() {
    let mut workers = WorkerFixture::new(3);
    workers.sim.submit_job(gang_spec(2), 10_000);
    workers.start_task(0, 1, 0);
    workers.start_task(1, 2, 1);
    workers.advance(10_000);
    assert_eq!(workers.task_state(0, 1, 0), TaskState::WaitingForGang);
    assert_eq!(workers.task_state(1, 2, 1), TaskState::WaitingForGang);
    assert!(workers.sim.jobs[JOB_ID].gang_start_times.is_empty());
}

#[test]
fn a_task_that_waits_too_long_exits_incomplete() {
    let mut workers = WorkerFixture::new(2);
    workers.sim.submit_job(gang_spec(2), 10_000);
    workers.start_task(0, 1, 0);
    workers.advance(GANG_WAIT_TIMEOUT_MS);
    assert_eq!(workers.task_state(0, 1, 0), TaskState::WaitingForGang);
    workers.advance(TASK_START_MS);
    assert_eq!(workers.exit_cause(0, 1, 0), Some(ExitCause::GangIncomplete));
}

#[test]
fn a_replacement_of_the_same_attempt_completes_a_waiting_gang() {
    let mut workers = WorkerFixture::new(4);
    workers.sim.submit_job(gang_spec(3), 10_000);
    workers.start_task(0, 1, 0);
    workers.start_task(1, 1, 1);
    workers.advance(5_000);
    workers.crash_machine(0);
    workers.advance(5_000);
    assert_eq!(workers.task_state(1, 1, 1), TaskState::WaitingForGang);
    workers.start_task(0, 1, 3);
    workers.start_task(2, 1, 2);
    workers.advance(TASK_START_MS);
    assert_eq!(workers.task_state(1, 1, 1), TaskState::Running);
    assert_eq!(workers.task_state(0, 1, 3), TaskState::Running);
    assert!(
        workers.sim.violations.is_empty(),
        "{:?}",
        workers.sim.violations
    );
}

#[test]
fn a_waiting_task_that_is_stopped_exits_at_once() {
    let mut workers = WorkerFixture::new(2);
    workers.sim.submit_job(gang_spec(2), 10_000);
    workers.start_task(0, 1, 0);
    workers.advance(5_000);
    workers.stop_task(0, 1, 0, 30.0);
    assert_eq!(workers.exit_cause(0, 1, 0), Some(ExitCause::Stopped));
}

#[test]
fn tasks_notice_in_time_that_another_is_gone() {
    let losses: [fn(&mut WorkerFixture); 5] = [
        |workers| workers.crash_machine(1),
        |workers| workers.sim.begin_new_incarnation(&machine_id(1)),
        |workers| workers.sim.fail_task("run-1/1"),
        |workers| workers.stop_task(1, 1, 1, 0.0),
        |workers| workers.hang_machine(1, 20_000),
    ];
    for lose in losses {
        let mut workers = start_running_gang(3);
        workers.advance(12_000);
        lose(&mut workers);
        assert_eq!(workers.task_state(0, 1, 0), TaskState::Running);
        workers.advance(GANG_PEER_TIMEOUT_MS + STEP_MS);
        for index in [0, 2] {
            assert_eq!(
                workers.exit_cause(index, 1, index),
                Some(ExitCause::GangMembersGone)
            );
        }
        assert_eq!(workers.saved_progress_s(), 10.0);
    }
}

#[test]
fn tasks_of_a_failed_run_show_running_until_they_exit() {
    let mut workers = start_running_gang(3);
    workers.crash_machine(1);
    workers.advance(GANG_PEER_TIMEOUT_MS / 4);
    let states = [workers.task_state(0, 1, 0), workers.task_state(2, 1, 2)];
    assert!(states.contains(&TaskState::Running), "{states:?}");
}

#[test]
fn a_hung_task_exits_only_when_its_machine_goes_on() {
    let mut workers = start_running_gang(2);
    workers.hang_machine(1, 20_000);
    workers.advance(19_000);
    assert_eq!(
        workers.exit_cause(0, 1, 0),
        Some(ExitCause::GangMembersGone)
    );
    assert_eq!(workers.task_state(1, 1, 1), TaskState::Running);
    workers.advance(2_000);
    assert_eq!(
        workers.exit_cause(1, 1, 1),
        Some(ExitCause::GangMembersGone)
    );
}

#[test]
fn a_hung_machine_keeps_a_gang_from_starting() {
    let mut workers = WorkerFixture::new(2);
    workers.sim.submit_job(gang_spec(2), 10_000);
    workers.start_task(0, 1, 0);
    workers.advance(TASK_START_MS);
    workers.hang_machine(0, 10_000);
    workers.start_task(1, 1, 1);
    workers.advance(9_000);
    assert_eq!(workers.task_state(1, 1, 1), TaskState::WaitingForGang);
    workers.advance(2_000);
    assert_eq!(workers.task_state(1, 1, 1), TaskState::Running);
}

#[test]
fn a_lease_that_ends_takes_the_gang_with_it() {
    let mut workers = start_running_gang(2);
    workers.leases_expire = true;
    workers.advance(24_000);
    workers.leases_expire = false;
    workers.advance(GANG_PEER_TIMEOUT_MS + STEP_MS);
    let cluster = workers.sim.cluster();
    assert_eq!(cluster.count_tasks_in_state(JOB_ID, TaskState::Running), 0);
    assert_eq!(workers.saved_progress_s(), 20.0);
}

#[test]
fn a_gang_told_to_stop_in_time_saves_and_goes_on_from_there() {
    let mut workers = start_running_gang(2);
    workers.advance(13_000);
    workers.stop_task(0, 1, 0, 5.0);
    workers.advance(1_500);
    assert_eq!(workers.task_state(0, 1, 0), TaskState::Running);
    workers.advance(1_500);
    // It has saved, and waits for the other.
    assert_eq!(workers.task_state(0, 1, 0), TaskState::Running);
    workers.stop_task(1, 1, 1, 5.0);
    workers.advance(STEP_MS);
    let stopped = ReportedTask::stopped(Some(true));
    assert_eq!(workers.reported_task(0, 1, 0), stopped);
    let saved_s = workers.saved_progress_s();
    assert!((12.5..14.0).contains(&saved_s), "{saved_s}");
    // The other still saves; what becomes of it takes nothing back.
    assert_eq!(workers.task_state(1, 1, 1), TaskState::Running);
    workers.crash_machine(1);
    workers.advance(1_000);
    assert_eq!(workers.saved_progress_s(), saved_s);
    workers.start_task(0, 2, 0);
    workers.start_task(1, 2, 2);
    workers.advance(TASK_START_MS);
    assert_eq!(workers.task_state(0, 2, 0), TaskState::Running);
    workers.advance(30_000 - (saved_s * 1e3) as Ms);
    assert_eq!(workers.exit_cause(0, 2, 0), Some(ExitCause::Done));
    assert!(
        workers.sim.violations.is_empty(),
        "{:?}",
        workers.sim.violations
    );
}

#[test]
fn a_gang_of_which_one_is_told_too_late_falls_back() {
    let mut workers = start_running_gang(3);
    workers.advance(13_000);
    workers.stop_task(0, 1, 0, 5.0);
    workers.stop_task(1, 1, 1, 5.0);
    workers.advance(GANG_PEER_TIMEOUT_MS + 2 * STEP_MS);
    let stopped_in_vain = ReportedTask::stopped(Some(false));
    assert_eq!(workers.reported_task(0, 1, 0), stopped_in_vain);
    workers.advance(GANG_PEER_TIMEOUT_MS);
    assert_eq!(
        workers.exit_cause(2, 1, 2),
        Some(ExitCause::GangMembersGone)
    );
    assert_eq!(workers.saved_progress_s(), 10.0);
}

#[test]
fn too_little_grace_fails_the_gang() {
    let mut workers = start_running_gang(2);
    workers.advance(13_000);
    workers.stop_task(0, 1, 0, 5.0);
    workers.stop_task(1, 1, 1, 1.0);
    let stopped = ReportedTask::stopped(Some(false));
    assert_eq!(workers.reported_task(1, 1, 1), stopped);
    workers.advance(GANG_PEER_TIMEOUT_MS + STEP_MS);
    assert_eq!(workers.reported_task(0, 1, 0), stopped);
    assert_eq!(workers.saved_progress_s(), 10.0);
}

#[test]
fn a_second_kill_without_grace_ends_the_saving() {
    let mut workers = start_running_gang(2);
    workers.advance(13_000);
    workers.stop_task(0, 1, 0, 5.0);
    workers.stop_task(1, 1, 1, 5.0);
    workers.stop_task(1, 1, 1, 5.0);
    assert_eq!(workers.task_state(1, 1, 1), TaskState::Running);
    workers.stop_task(1, 1, 1, 0.0);
    assert_eq!(workers.task_state(1, 1, 1), TaskState::Exited);
    workers.advance(GANG_PEER_TIMEOUT_MS + STEP_MS);
    assert_eq!(workers.saved_progress_s(), 10.0);
}

#[test]
fn a_gang_without_checkpoints_exits_at_once_and_loses_its_work() {
    let mut workers = WorkerFixture::new(2);
    let mut spec = gang_spec(2);
    (spec.checkpoint_interval_s, spec.checkpoint_duration_s) = (0.0, 0.0);
    workers.sim.submit_job(spec, 30_000);
    workers.start_task(0, 1, 0);
    workers.start_task(1, 1, 1);
    workers.advance(20_000);
    workers.stop_task(0, 1, 0, 60.0);
    assert_eq!(workers.reported_task(0, 1, 0), ReportedTask::stopped(None));
    workers.advance(GANG_PEER_TIMEOUT_MS + STEP_MS);
    assert_eq!(
        workers.exit_cause(1, 1, 1),
        Some(ExitCause::GangMembersGone)
    );
    assert_eq!(workers.saved_progress_s(), 0.0);
}

#[test]
fn checkpoints_count_the_progress_of_the_job_over_all_attempts() {
    let mut workers = start_running_gang(2);
    workers.advance(16_000);
    // Saved at 17 or so: the next checkpoint is at 20, 4 s into the next attempt.
    workers.stop_task(0, 1, 0, 5.0);
    workers.stop_task(1, 1, 1, 5.0);
    workers.advance(3_000);
    assert!(
        (16.0..17.0).contains(&workers.saved_progress_s()),
        "{}",
        workers.saved_progress_s()
    );
    workers.start_task(0, 2, 0);
    workers.start_task(1, 2, 1);
    workers.advance(6_000);
    workers.crash_machine(1);
    workers.advance(STEP_MS * 2);
    assert_eq!(workers.saved_progress_s(), 20.0);
}

#[test]
fn the_result_of_a_gang_is_kept() {
    let mut workers = start_running_gang(2);
    workers.advance(30_000);
    assert_eq!(workers.exit_cause(0, 1, 0), Some(ExitCause::Done));
    workers.start_task(0, 2, 2);
    workers.advance(TASK_START_MS);
    assert_eq!(workers.exit_cause(0, 2, 2), Some(ExitCause::Done));
    assert_eq!(workers.sim.jobs[JOB_ID].gang_start_times.len(), 1);
}

#[test]
fn a_late_start_of_an_attempt_that_failed_waits_in_vain() {
    let mut workers = start_running_gang(2);
    workers.crash_machine(1);
    workers.advance(1_000);
    workers.start_task(1, 1, 2);
    workers.advance(GANG_PEER_TIMEOUT_MS);
    assert_eq!(
        workers.exit_cause(0, 1, 0),
        Some(ExitCause::GangMembersGone)
    );
    assert_eq!(workers.task_state(1, 1, 2), TaskState::WaitingForGang);
    workers.advance(GANG_WAIT_TIMEOUT_MS);
    assert_eq!(workers.exit_cause(1, 1, 2), Some(ExitCause::GangIncomplete));
}

#[test]
fn a_start_is_refused_where_the_task_is_with_another_attempt() {
    let mut workers = WorkerFixture::new(1);
    workers.sim.submit_job(gang_spec(2), 10_000);
    workers.start_task(0, 1, 0);
    workers.start_task(0, 2, 0);
    assert_eq!(
        workers.exit_cause(0, 2, 0),
        Some(ExitCause::AttemptConflict)
    );
    assert_eq!(workers.task_state(0, 1, 0), TaskState::Fetching);
    workers.stop_task(0, 1, 0, 0.0);
    workers.start_task(0, 2, 0);
    // The refused attempt is known to the worker until it is told to forget it.
    assert_eq!(
        workers.exit_cause(0, 2, 0),
        Some(ExitCause::AttemptConflict)
    );
    workers.start_task(0, 3, 0);
    assert_eq!(workers.task_state(0, 3, 0), TaskState::Fetching);
}

#[test]
fn a_start_is_refused_where_fetching_and_waiting_tasks_leave_no_capacity() {
    let mut workers = WorkerFixture::new(1);
    workers.sim.submit_job(gang_spec(4), 10_000);
    workers.start_task(0, 1, 0);
    workers.advance(TASK_START_MS);
    assert_eq!(workers.task_state(0, 1, 0), TaskState::WaitingForGang);
    workers.start_task(1, 1, 0);
    workers.start_task(2, 1, 0);
    assert_eq!(workers.exit_cause(2, 1, 0), Some(ExitCause::NoCapacity));
    workers.stop_task(1, 1, 0, 0.0);
    workers.start_task(3, 1, 0);
    assert_eq!(workers.exit_cause(3, 1, 0), None);
}

// ---- Rules ------------------------------------------------------------------------------------

#[test]
fn a_waiting_task_that_starts_elsewhere_too_breaks_a_rule() {
    let mut workers = WorkerFixture::new(2);
    workers.sim.submit_job(gang_spec(2), 10_000);
    workers.start_task(0, 1, 0);
    workers.advance(TASK_START_MS);
    workers.start_task(0, 2, 1);
    workers.advance(TASK_START_MS);
    assert!(
        workers.is_violated("ran_twice"),
        "{:?}",
        workers.sim.violations
    );
}

#[test]
fn a_task_that_starts_beside_one_of_a_failed_run_breaks_a_rule() {
    let mut workers = start_running_gang(2);
    workers.hang_machine(1, 20_000);
    workers.advance(10_000);
    workers.start_task(1, 2, 2);
    workers.advance(TASK_START_MS);
    assert!(
        workers.is_violated("ran_twice"),
        "{:?}",
        workers.sim.violations
    );
}

#[test]
fn waiting_tasks_count_toward_the_limit_of_the_team() {
    let mut workers = WorkerFixture::new(3);
    let mut spec = gang_spec(3);
    spec.team = "blue".into();
    workers.sim.submit_job(spec, 10_000);
    workers.start_task(0, 1, 0);
    workers.start_task(1, 1, 1);
    workers.advance(TASK_START_MS);
    assert!(!workers.is_violated("quota"));
    workers.start_task(2, 1, 2);
    workers.advance(TASK_START_MS);
    assert!(workers.is_violated("quota"), "{:?}", workers.sim.violations);
}

#[test]
fn tasks_of_an_old_attempt_bind_the_zone() {
    let mut workers = WorkerFixture::new(2);
    workers.sim.add_machine("b");
    let mut spec = gang_spec(2);
    spec.requires_single_zone = true;
    workers.sim.submit_job(spec, 10_000);
    workers.start_task(0, 1, 0);
    workers.advance(TASK_START_MS);
    assert!(!workers.is_violated("wrong_place"));
    workers.start_task(1, 2, 2);
    workers.advance(TASK_START_MS);
    assert!(
        workers.is_violated("wrong_place"),
        "{:?}",
        workers.sim.violations
    );
}

/// Whether the capacity check finds that a gang nobody starts waits too long, once it is accepted.
fn is_waiting_beside_capacity(spec: JobSpec, machines_a: usize, machines_b: usize) -> bool {
    let mut workers = WorkerFixture::new(machines_a);
    for _ in 0..machines_b {
        workers.sim.add_machine("b");
    }
    workers.sim.submit_job(spec, 10_000);
    workers.sim.jobs.get_mut(JOB_ID).expect("job").is_accepted = true;
    workers.sim.faults_over_at = Some(1);
    workers.advance(100_000);
    workers.is_violated("waits_beside_room")
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
    let mut workers = start_running_gang(2);
    workers.sim.jobs.get_mut(JOB_ID).expect("job").is_accepted = true;
    workers.sim.faults_over_at = Some(1);
    workers.hang_machine(1, 100_000);
    workers.advance(99_000);
    assert!(
        !workers.is_violated("waits_beside_room"),
        "{:?}",
        workers.sim.violations
    );
}

#[test]
fn a_gang_that_waits_in_part_must_not_wait_for_long_beside_capacity_for_the_rest() {
    let mut workers = WorkerFixture::new(2);
    workers.sim.submit_job(gang_spec(4), 10_000);
    workers.sim.jobs.get_mut(JOB_ID).expect("job").is_accepted = true;
    workers.sim.faults_over_at = Some(1);
    for attempt in 1..=5 {
        workers.start_task(0, attempt, 0);
        workers.advance(20_000);
        workers.stop_task(0, attempt, 0, 0.0);
    }
    workers.advance(TASK_START_MS);
    assert!(
        workers.is_violated("waits_beside_room"),
        "{:?}",
        workers.sim.violations
    );
}
