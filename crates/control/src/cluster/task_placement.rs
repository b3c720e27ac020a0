//! Putting tasks on machines and taking them back.
use super::{ClusterState, Machine, MachineGroup, Phase, Placement, StoredState};
use std::collections::BTreeSet;
use stonegw_constants::{
    MACHINE_GROUP_BYTES_PER_JOB, MACHINE_GROUP_BYTES_PER_MACHINE, MACHINE_GROUP_BYTES_PER_TASK,
    MACHINE_GROUP_MAX_MACHINES, MACHINE_GROUP_OVERHEAD_BYTES,
};

impl ClusterState {
    /// Puts a waiting task on a machine. Nothing goes out before it is stored. False: it waits
    /// on, for there is no room in the record.
    pub fn place_task(&mut self, machine: &str, job: &str, index: u32) -> bool {
        // The last guard against running twice, whatever went wrong before.
        if self.machines.is_present(job, index) {
            log::error!("{job}/{index} may already be on a machine; not placed again");
            if let Some(w) = self.jobs.get_mut(job) {
                w.remove_pending(index);
            }
            return true;
        }
        let attempt = self.allocate_attempt();
        self.place_attempt(machine, job, index, attempt)
    }

    /// A number that no attempt of any leader has had.
    pub fn allocate_attempt(&mut self) -> u64 {
        self.last_attempt += 1;
        self.last_attempt
    }

    /// Puts a task on a machine under an attempt that may have other tasks. False: there is no room
    /// in the record.
    pub fn place_attempt(&mut self, machine: &str, job: &str, index: u32, attempt: u64) -> bool {
        let Some(shard) = self.assign_machine_group(machine, job, false) else {
            return false;
        };
        let (Some(mut m), Some(w)) = (self.machines.edit(machine), self.jobs.get_mut(job)) else {
            return false;
        };
        w.remove_pending(index);
        w.record_start(self.now_ms);
        m.machine_group = Some(shard);
        log::debug!("place {job}/{index}#{attempt} on {machine}");
        m.placements.push(Placement {
            cpus: w.spec.cpus,
            gpus: w.spec.gpus,
            memory_gb: w.spec.memory_gb,
            team: w.spec.team.clone(),
            ..Placement::new(job, index, attempt, Phase::Unstored)
        });
        m.idle_since = None;
        if let Some(s) = self.machine_groups.get_mut(&shard) {
            s.add_task(self.now_ms, job);
            s.is_urgent |= w.is_urgent();
        }
        let cache = self
            .catalog
            .machine_types
            .iter()
            .find(|t| t.name == m.machine_type)
            .map_or(0.0, |t| t.cache_gb);
        m.record_image_use(&w.spec.image, w.spec.image_size_gb, cache);
        true
    }

    /// Whether some record can tell of one more task of the job on the machine.
    pub fn group_record_has_capacity(&self, m: &Machine, job: &str) -> bool {
        let own = m.machine_group.and_then(|n| self.machine_groups.get(&n));
        own.is_some_and(|s| s.estimated_bytes + s.bytes_for_task(job) <= self.max_value_bytes)
            || MACHINE_GROUP_OVERHEAD_BYTES + bytes_to_move(m, job) <= self.max_value_bytes
    }

    /// The record that will tell of one more task of the job on the machine. A machine whose record
    /// is full moves to another with all that may be on it. `None`: no record has room for that.
    /// `force`: the task is there already and must be told of.
    fn find_machine_group(&self, m: &Machine, job: &str, force: bool) -> Option<u32> {
        let fits = |s: &MachineGroup| {
            force || s.estimated_bytes + s.bytes_for_task(job) <= self.max_value_bytes
        };
        if let Some(n) = m.machine_group {
            if self.machine_groups.get(&n).is_some_and(fits) {
                return Some(n);
            }
        }
        let bytes = bytes_to_move(m, job);
        if !force && MACHINE_GROUP_OVERHEAD_BYTES + bytes > self.max_value_bytes {
            return None;
        }
        let busy = m.placements.iter().any(Placement::is_present);
        // A write on its way does not tell of the machine, and once it is answered the old record
        // would no longer wait. One that waits for others would keep these tasks waiting as well.
        let takes =
            |s: &MachineGroup| s.successors.is_empty() && !(busy && s.stored_state.write_in_flight);
        let roomy = |s: &MachineGroup| s.estimated_bytes.max(bytes) <= self.max_value_bytes / 2;
        let open = self
            .machine_groups
            .iter()
            .find(|(_, s)| takes(s) && roomy(s) && s.machines.len() < MACHINE_GROUP_MAX_MACHINES);
        let open = open.map(|(n, _)| *n);
        open.or_else(|| Some(self.free_group_number()))
    }

    pub(crate) fn assign_machine_group(
        &mut self,
        machine: &str,
        job: &str,
        force: bool,
    ) -> Option<u32> {
        let m = self.machines.get(machine)?;
        let n = self.find_machine_group(m, job, force)?;
        let was = m.machine_group.filter(|was| *was != n);
        let rows: Vec<String> = m
            .placements
            .iter()
            .filter(|p| p.is_present())
            .map(|p| p.job.clone())
            .collect();
        if let Some(s) = was.and_then(|w| self.machine_groups.get_mut(&w)) {
            s.machines.remove(machine);
            s.stored_state.stale = true;
            // What may be on the machine stands here until it stands there.
            if !rows.is_empty() {
                s.successors.insert(n);
            }
        }
        let new = || MachineGroup::new(StoredState::absent());
        let s = self.machine_groups.entry(n).or_insert_with(new);
        if s.machines.insert(machine.to_owned()) {
            s.estimated_bytes += MACHINE_GROUP_BYTES_PER_MACHINE;
            for job in rows {
                s.add_task(self.now_ms, &job);
            }
        }
        Some(n)
    }

    /// What the machine's record holds is more than need be.
    pub(crate) fn mark_group_stale(&mut self, machine: &str) {
        let shard = self.machines.get(machine).and_then(|m| m.machine_group);
        if let Some(s) = shard.and_then(|n| self.machine_groups.get_mut(&n)) {
            s.stored_state.stale = true;
        }
    }

    /// A task is proven gone from where it was: it waits again, unless it is elsewhere.
    pub fn requeue_task(&mut self, job: &str, index: u32) {
        self.scheduling_needed = true;
        self.gangs_changed |= self.jobs.get(job).is_some_and(|w| w.gang.is_some());
        // A task that is held waits already; waiting twice, it would start twice.
        let elsewhere = self.machines.is_present(job, index) || self.machines.is_queued(job, index);
        if let (false, Some(w)) = (elsewhere, self.jobs.get_mut(job)) {
            w.requeue(index);
        }
    }
}

/// Bytes that a machine and its tasks, with one more of the job, take in a record at most.
fn bytes_to_move(m: &Machine, job: &str) -> usize {
    let mut jobs: BTreeSet<&str> = BTreeSet::from([job]);
    let mut tasks = 1;
    for p in m.placements.iter().filter(|p| p.is_present()) {
        jobs.insert(&p.job);
        tasks += 1;
    }
    MACHINE_GROUP_BYTES_PER_MACHINE
        + tasks * MACHINE_GROUP_BYTES_PER_TASK
        + jobs.len() * MACHINE_GROUP_BYTES_PER_JOB
}
