//! The leader ends; its successor gives a team its guarantee at the cost of another team's work.
use super::Waits;
use crate::fleet::{job_of, Kind, Times};
use crate::record::Record;
use crate::store::Limits;
use crate::world::{Plan, Submission, World};
use crate::Outcome;
use std::sync::Arc;
use std::time::Duration;

/// "Back about 4 s after an end."
const BACK_AFTER: Duration = Duration::from_secs(4);

pub fn play(folder: &str, record: &Arc<Record>, with_trouble: bool) -> Outcome {
    let sprite = Kind {
        name: "sprite",
        zone: "riga-east",
        cpus: 4.0,
        memory_gb: 32.0,
        boot_s: 50.0,
    };
    let plan = Plan {
        nodes: 3,
        zone: "riga-east",
        kinds: vec![sprite.clone()],
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
        teams: vec![("print-room", 48.0, 112.0), ("daugava-events", 0.0, 0.0)],
    };
    let world = World::start(&plan, folder, record.clone());
    if !world.await_healthy(20.0) {
        return Outcome::CannotRun;
    }
    std::thread::sleep(Duration::from_millis(500));
    world.fleet.add(&sprite);
    let array = |id: &str, crew, urgency, tasks, run_s| Submission {
        id: id.into(),
        crew,
        shape: "sweep",
        urgency,
        tasks,
        cpus: 1.0,
        memory_gb: 3.7,
        run_s: Some(run_s),
        due_s: Some(300.0),
    };
    let guests = array("run-000101", "daugava-events", "high", 4, 40.0);
    let render = array("run-000102", "print-room", "normal", 6, 5.0);
    let started = |id: &str| {
        let starts = world.fleet.starts.lock().unwrap();
        starts
            .iter()
            .filter(|start| job_of(&start.piece) == id)
            .count()
    };
    if !world.submit(&guests) {
        return Outcome::CannotRun;
    }
    while started(&guests.id) < guests.tasks as usize {
        if record.now() > 15.0 {
            return Outcome::CannotRun;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let begun = record.now();
    record.say("the guests' array runs, and fills the machine");
    let sleep_until = |second: f64| {
        let left = (begun + second - record.now()).max(0.0);
        std::thread::sleep(Duration::from_secs_f64(left));
    };
    sleep_until(3.0);
    if with_trouble {
        let Some(leader) = world.leader() else {
            return Outcome::CannotRun;
        };
        world.controllers.crash(leader);
        std::thread::sleep(BACK_AFTER);
        world.controllers.start(leader);
    }
    sleep_until(15.0);
    if !world.submit(&render) {
        return Outcome::CannotRun;
    }
    record.say(&format!("{} is accepted", render.id));
    let accepted = vec![render.id.clone()];
    let mut waits = Waits::default();
    let mut phase = String::new();
    let mut polled_at = record.now();
    while record.now() < 117.0 && phase != "done" && waits.too_long().is_empty() {
        std::thread::sleep(Duration::from_millis(100));
        waits.look(&world, &accepted);
        if record.now() > polled_at + 5.0 {
            polled_at = record.now();
            phase = world.poll(0, &render.id).body.str("phase").to_string();
        }
    }
    for worker in world.fleet.all() {
        let (cpus, memory) = worker.free();
        record.say(&format!(
            "{} runs {:?}; {cpus} CPUs and {memory} GB are free",
            worker.id,
            worker.running()
        ));
    }
    let done = world.fleet.done.lock().unwrap().len();
    record.say(&format!(
        "the guests' 4 tasks have started {} times, {} has started {} times; {done} tasks are done",
        started(&guests.id),
        render.id,
        started(&render.id)
    ));
    let longest = waits.longest.get(&render.id).copied().unwrap_or(0.0);
    record.say(&format!(
        "{} is called {phase:?}; it waited for {longest:.1} s on end while a machine that fits had room",
        render.id
    ));
    if !world.controllers.ended().is_empty() {
        return Outcome::CannotRun;
    }
    if !waits.too_long().is_empty() {
        Outcome::Broken
    } else if phase == "done" {
        Outcome::Held
    } else {
        Outcome::CannotRun
    }
}
