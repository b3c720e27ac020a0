//! The state service answers slowly while a service of high priority is to take the place of one
//! of lower priority.
use super::Waits;
use crate::fleet::{job_of, Kind, Times, Worker};
use crate::record::Record;
use crate::store::Limits;
use crate::world::{Plan, Submission, World};
use crate::Outcome;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// "Responses normally take under 10 ms, and now and then a few hundred."
const SLOW_MS: u64 = 400;

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
            report_s: 3.0,
            lease_s: 24.0,
        },
        cancel_s: 54.0,
        limits: Limits {
            rps: 150.0,
            write_rps: 60.0,
            value_bytes: 8 * 1024,
            txn_ops: 32,
        },
        next_limits: None,
        teams: vec![("guest-desk", 24.0, 56.0), ("daugava-events", 0.0, 0.0)],
    };
    let world = World::start(&plan, folder, record.clone());
    if !world.await_healthy(20.0) {
        return Outcome::CannotRun;
    }
    std::thread::sleep(Duration::from_millis(500));
    for _ in 0..2 {
        world.fleet.add(&bulky);
    }
    let service = |id: &str, crew, urgency, tasks, cpus| Submission {
        id: id.into(),
        crew,
        shape: "standing",
        urgency,
        tasks,
        cpus,
        memory_gb: 2.5,
        run_s: None,
        due_s: None,
    };
    let front = service("run-000001", "guest-desk", "high", 1, 10.0);
    let guests = service("run-000002", "daugava-events", "normal", 2, 4.0);
    let other = service("run-000003", "guest-desk", "high", 1, 4.0);
    let started = |id: &str| {
        let starts = world.fleet.starts.lock().unwrap();
        starts
            .iter()
            .filter(|start| job_of(&start.piece) == id)
            .count()
    };
    for job in [&front, &guests, &other] {
        if !world.submit(job) {
            return Outcome::CannotRun;
        }
        while started(&job.id) < job.tasks as usize {
            if record.now() > 20.0 {
                return Outcome::CannotRun;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    // The front's service and one task of the guests are on one machine, the others on the other.
    let machines = world.fleet.all();
    for worker in &machines {
        record.say(&format!("{} runs {:?}", worker.id, worker.running()));
    }
    let is_with = |worker: &Worker| {
        worker
            .running()
            .iter()
            .any(|piece| job_of(piece) == front.id)
            && worker.running().len() == 2
    };
    let Some(lost) = machines.iter().find(|worker| is_with(worker)) else {
        return Outcome::CannotRun;
    };
    world.fleet.die(&lost.id);
    if with_trouble {
        world.store.latency_ms.store(SLOW_MS, Ordering::SeqCst);
        record.say(&format!(
            "each answer of the state service takes {SLOW_MS} ms"
        ));
    }
    while world.fleet.workers.lock().unwrap().contains_key(&lost.id) {
        if record.now() > 60.0 {
            return Outcome::CannotRun;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    record.say(&format!("{} is deleted", lost.id));
    let accepted = vec![front.id.clone(), guests.id.clone()];
    let mut waits = Waits::default();
    let begun = record.now();
    while started(&front.id) < 2 && waits.too_long().is_empty() && record.now() < 117.0 {
        std::thread::sleep(Duration::from_millis(100));
        waits.look(&world, &accepted);
    }
    for worker in world.fleet.all() {
        let (cpus, memory) = worker.free();
        record.say(&format!(
            "{} runs {:?}; {cpus} CPUs and {memory} GB are free",
            worker.id,
            worker.running()
        ));
    }
    record.say(&format!(
        "the guests' tasks have started {} times",
        started(&guests.id)
    ));
    let seconds = record.now() - begun;
    record.say(&format!("watched for {seconds:.1} s since then"));
    for id in &accepted {
        let longest = waits.longest.get(id).copied().unwrap_or(0.0);
        record.say(&format!(
            "{id} waited for {longest:.1} s on end while a machine that fits had room"
        ));
    }
    if !world.controllers.ended().is_empty() {
        return Outcome::CannotRun;
    }
    if !waits.too_long().is_empty() {
        Outcome::Broken
    } else if started(&front.id) > 1 {
        Outcome::Held
    } else {
        Outcome::CannotRun
    }
}
