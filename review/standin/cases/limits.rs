//! The state service lowers its limits while a box runs many small services.
use super::Waits;
use crate::fleet::{Kind, Times};
use crate::record::Record;
use crate::store::Limits;
use crate::world::{Plan, Submission, World};
use crate::Outcome;
use std::sync::Arc;

const JOBS: u64 = 60;

const BEFORE: Limits = Limits {
    rps: 150.0,
    write_rps: 60.0,
    value_bytes: 8 * 1024,
    txn_ops: 32,
};
const AFTER: Limits = Limits {
    rps: 150.0,
    write_rps: 42.0,
    value_bytes: 2 * 1024,
    txn_ops: 10,
};
const NEXT: &str = "write_rps = 42.0\nvalue_kb = 2.0\ntxn_ops = 10";

pub fn play(folder: &str, record: &Arc<Record>, with_trouble: bool) -> Outcome {
    let bulky = Kind {
        name: "bulky",
        zone: "riga-east",
        cpus: 16.0,
        memory_gb: 32.0,
        boot_s: 25.0,
    };
    let plan = Plan {
        nodes: 3,
        zone: "riga-east",
        kinds: vec![bulky.clone()],
        times: Times {
            report_s: 4.0,
            lease_s: 24.0,
        },
        cancel_s: 54.0,
        limits: BEFORE,
        next_limits: with_trouble.then_some(NEXT),
        teams: vec![("postbox", 400.0, 1800.0)],
    };
    let world = World::start(&plan, folder, record.clone());
    world.fleet.add(&bulky);
    // The cloud rents what it is asked for.
    world
        .fleet
        .has_capacity
        .store(true, std::sync::atomic::Ordering::SeqCst);
    if !world.await_healthy(20.0) {
        return Outcome::CannotRun;
    }
    record.say("all controllers are healthy");
    if with_trouble {
        world.store.set_limits(AFTER);
        record.say("the state service has its new limits");
    }
    let mut accepted = vec![];
    for number in 0..JOBS {
        let job = Submission {
            id: format!("run-{:06}", 412 + number),
            crew: "postbox",
            shape: "standing",
            urgency: "normal",
            tasks: 1,
            cpus: 0.25,
            memory_gb: 0.25,
            run_s: None,
            due_s: None,
        };
        if !world.submit(&job) {
            record.say(&format!("{} was not accepted", job.id));
            return Outcome::CannotRun;
        }
        accepted.push(job.id);
    }
    record.say(&format!(
        "{JOBS} services of 0.25 CPUs and 0.25 GB are accepted"
    ));
    let mut waits = Waits::default();
    let begun = record.now();
    while record.now() < begun + 96.0 && record.now() < 113.0 {
        std::thread::sleep(std::time::Duration::from_millis(500));
        waits.look(&world, &accepted);
    }
    let started = world.fleet.starts.lock().unwrap().len();
    let machines = world.fleet.all();
    for worker in &machines {
        let (cpus, memory) = worker.free();
        record.say(&format!(
            "{} has {cpus} CPUs and {memory} GB free",
            worker.id
        ));
    }
    record.say(&format!("{started} of {JOBS} services have started"));
    let answer = world.poll(0, &accepted[accepted.len() - 1]);
    record.say(&format!(
        "{}: {}",
        accepted[accepted.len() - 1],
        answer.body.json()
    ));
    if !world.controllers.ended().is_empty() {
        return Outcome::CannotRun;
    }
    let too_long = waits.too_long();
    for (id, seconds) in &too_long {
        record.say(&format!(
            "{id} has waited for {seconds:.1} s while a machine that fits had room"
        ));
    }
    if too_long.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}
