//! The cases.
pub mod errors;
pub mod limits;
pub mod reclaim;
pub mod slow_state;

use crate::fleet::job_of;
use crate::world::World;
use std::collections::{BTreeMap, HashMap};

/// "No job is left waiting for 90 s while a machine that fits has room."
pub const MAX_WAIT_S: f64 = 90.0;

/// Watches for accepted jobs that wait although a machine that fits has room.
#[derive(Default)]
pub struct Waits {
    /// Since when each job has waited beside room, and what was the case then.
    since: BTreeMap<String, f64>,
    pub longest: BTreeMap<String, f64>,
}

impl Waits {
    /// Looks once. A job waits if it has a task that is neither done nor on a machine; all machines
    /// of a case fit all its jobs, and no team is near its limit.
    pub fn look(&mut self, world: &World, accepted: &[String]) {
        let now = world.record.now();
        let workers = world.fleet.all();
        let mut present: HashMap<String, u64> = HashMap::new();
        for worker in &workers {
            for piece in worker.present() {
                *present.entry(job_of(&piece).to_string()).or_default() += 1;
            }
        }
        let mut done: HashMap<String, u64> = HashMap::new();
        for piece in world.fleet.done.lock().unwrap().keys() {
            *done.entry(job_of(piece).to_string()).or_default() += 1;
        }
        let free: Vec<(f64, f64)> = workers.iter().map(|worker| worker.free()).collect();
        for id in accepted {
            let job = world.fleet.jobs.lock().unwrap()[id].clone();
            let count = |counts: &HashMap<String, u64>| counts.get(id).copied().unwrap_or(0);
            let fits = |(cpus, memory): &(f64, f64)| {
                *cpus + 1e-6 >= job.cpus && *memory + 1e-6 >= job.memory_gb
            };
            let waits = count(&present) + count(&done) < job.tasks;
            if !waits || !free.iter().any(fits) {
                self.since.remove(id);
                continue;
            }
            let since = *self.since.entry(id.clone()).or_insert(now);
            let longest = self.longest.entry(id.clone()).or_default();
            *longest = longest.max(now - since);
        }
    }

    /// Jobs that waited for longer than the rule allows.
    pub fn too_long(&self) -> Vec<(String, f64)> {
        let longest = self.longest.iter();
        longest
            .filter(|(_, s)| **s > MAX_WAIT_S)
            .map(|(id, s)| (id.clone(), *s))
            .collect()
    }
}
