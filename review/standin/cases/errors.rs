//! Each machine runs a service and has room for one task more. One task of an array fails on each
//! machine; all others complete.
use super::Waits;
use crate::fleet::{Kind, Times};
use crate::record::Record;
use crate::store::Limits;
use crate::world::{Plan, Submission, World};
use crate::Outcome;
use std::collections::HashMap;
use std::sync::Arc;

const TASKS: u64 = 24;
const MACHINES: u64 = 3;

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
        teams: vec![("guest-desk", 24.0, 56.0), ("print-room", 48.0, 112.0)],
    };
    let world = World::start(&plan, folder, record.clone());
    for _ in 0..MACHINES {
        world.fleet.add(&sprite);
    }
    if with_trouble {
        // One task fails on each machine: the second that ends on the first machine, the third on
        // the second, the fourth on the third. Every other task completes.
        let mut ended: HashMap<String, u64> = HashMap::new();
        *world.fleet.on_end.lock().unwrap() = Some(Box::new(move |machine, _| {
            let ended = ended.entry(machine.to_string()).or_default();
            *ended += 1;
            let number: u64 = machine.trim_start_matches("host-").parse().unwrap_or(0);
            if *ended == number + 1 {
                "error"
            } else {
                "done"
            }
        }));
    }
    if !world.await_healthy(20.0) {
        return Outcome::CannotRun;
    }
    record.say("all controllers are healthy");
    for number in 0..MACHINES {
        let front = Submission {
            id: format!("run-{:06}", 300 + number),
            crew: "guest-desk",
            shape: "standing",
            urgency: "high",
            tasks: 1,
            cpus: 3.0,
            memory_gb: 2.5,
            run_s: None,
            due_s: None,
        };
        if !world.submit(&front) {
            return Outcome::CannotRun;
        }
    }
    while world.fleet.starts.lock().unwrap().len() < MACHINES as usize {
        if record.now() > 15.0 {
            return Outcome::CannotRun;
        }
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    record.say("a service runs on each machine");
    let job = Submission {
        id: "run-000398".into(),
        crew: "print-room",
        shape: "sweep",
        urgency: "normal",
        tasks: TASKS,
        cpus: 1.0,
        memory_gb: 3.7,
        run_s: Some(1.5),
        due_s: None,
    };
    if !world.submit(&job) {
        return Outcome::CannotRun;
    }
    let accepted = vec![job.id.clone()];
    let mut waits = Waits::default();
    let mut phase = String::new();
    let mut polled_at = 0.0;
    while record.now() < 117.0 && phase != "done" {
        std::thread::sleep(std::time::Duration::from_millis(500));
        waits.look(&world, &accepted);
        if !waits.too_long().is_empty() {
            break;
        }
        if record.now() > polled_at + 5.0 {
            polled_at = record.now();
            phase = world.poll(0, &job.id).body.str("phase").to_string();
        }
    }
    let done = world.fleet.done.lock().unwrap().len();
    record.say(&format!(
        "{done} of {TASKS} tasks are done; the job is called {phase}"
    ));
    for worker in world.fleet.all() {
        let (cpus, memory) = worker.free();
        record.say(&format!(
            "{} has {cpus} CPUs and {memory} GB free",
            worker.id
        ));
    }
    if !world.controllers.ended().is_empty() {
        return Outcome::CannotRun;
    }
    let too_long = waits.too_long();
    for (id, seconds) in &too_long {
        record.say(&format!(
            "{id} has waited for {seconds:.1} s while a machine that fits had room"
        ));
    }
    match (too_long.is_empty(), phase.as_str()) {
        (false, _) => Outcome::Broken,
        (true, "done") => Outcome::Held,
        (true, _) => Outcome::CannotRun,
    }
}
