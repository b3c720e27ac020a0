use super::super::world_tests::*;
use super::*;

/// A leader with some machines that are up and some jobs of four tasks.
fn leader_with(machines: usize, jobs: &[&str]) -> Leader {
    let mut world = World::new(StateService::default(), 8 * 1024, 8);
    let mut leader = world.lead(5);
    for n in 0..machines {
        let id = machine(n);
        leader
            .machines
            .add(&id, || Machine::new(&id, "small", "a", false, 1_000));
        if let Some(mut m) = leader.machines.edit(&id) {
            m.set_life(Life::Up);
        }
    }
    for job in jobs {
        world.submit(&mut leader, job, 4);
    }
    leader
}

fn life(leader: &Leader, n: usize) -> Life {
    leader.machines.get(&machine(n)).expect("known").life
}

fn fails(leader: &mut Leader, now: Ms, n: usize, job: &str) {
    leader.failed(now, &machine(n), job, 0, ExitCause::Error);
}

/// Two jobs that were submitted with a mistake and met on a machine had it drained and returned.
#[test]
fn broken_jobs_cost_no_machine() {
    let mut leader = leader_with(4, &["run-1", "run-2", "run-3"]);
    for n in 0..4 {
        for job in ["run-1", "run-2"] {
            fails(&mut leader, 10_000 * n as Ms, n, job);
        }
    }
    for n in 0..4 {
        assert_eq!(life(&leader, n), Life::Up, "machine {n}");
        assert!(leader
            .machines
            .get(&machine(n))
            .expect("known")
            .errors
            .is_empty());
        assert!(!leader.works["run-1"].failures.avoids(&machine(n)));
    }
    assert!(leader.works["run-1"].failures.job_is_broken());
    assert!(!leader.works["run-3"].failures.job_is_broken());
}

/// A faulty machine is told from broken jobs: jobs whose tasks are done elsewhere fail there.
#[test]
fn a_faulty_machine_is_drained() {
    let mut leader = leader_with(2, &["run-1", "run-2"]);
    for job in ["run-1", "run-2"] {
        let work = leader.works.get_mut(job).expect("submitted");
        work.done.set(3);
        work.done_count = 1;
        work.failures.task_done();
    }
    fails(&mut leader, 1_000, 0, "run-1");
    assert_eq!(life(&leader, 0), Life::Up, "one job is not enough");
    fails(&mut leader, 1_000, 0, "run-2");
    assert_eq!(life(&leader, 0), Life::Draining);
    assert_eq!(life(&leader, 1), Life::Up);
    assert!(leader.works["run-1"].failures.avoids(&machine(0)));
}

/// All tasks of a round that failed counted one by one, so that a job of many tasks waited a minute after
/// its first failure.
#[test]
fn tasks_that_fail_together_lengthen_the_wait_once() {
    let mut leader = leader_with(1, &["run-1"]);
    for _ in 0..4 {
        fails(&mut leader, 1_000, 0, "run-1");
    }
    let wait = leader.works["run-1"].retry_at - 1_000;
    assert!(wait <= 2 * k::START_RETRY_MS, "{wait} ms");
}

/// A job that fails everywhere is tried with one task at a time, and what waits for a retry holds no place in a
/// queue.
#[test]
fn a_broken_job_is_tried_one_task_at_a_time() {
    let mut leader = leader_with(4, &["run-1"]);
    for n in 0..3 {
        fails(&mut leader, 100_000 * n as Ms, n, "run-1");
    }
    if let Some(mut m) = leader.machines.edit(&machine(3)) {
        m.held.push(("run-1".into(), 2));
    }
    fails(&mut leader, 400_000, 3, "run-1");
    assert_eq!(leader.machines.held_of("run-1"), 0);
    let retry_at = leader.works["run-1"].retry_at;
    let work = leader.works.get_mut("run-1").expect("submitted");
    assert_eq!(work.startable(retry_at - 1), 0);
    assert_eq!(work.startable(retry_at), 1);
    work.started(retry_at);
    assert_eq!(work.startable(retry_at + 1), 0, "the outcome is awaited");
    work.failures.task_done();
    work.retry_at = retry_at;
    assert!(work.startable(retry_at) > 1);
}
