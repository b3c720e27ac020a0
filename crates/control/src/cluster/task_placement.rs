//! Places tasks on machines, assigns the machines to groups whose records store the placements, and
//! requeues tasks.
use super::{ClusterState, Machine, MachineGroup, Phase, Placement, StoredState, TaskKey};
use std::collections::BTreeSet;
use stonegw_constants::{
    MACHINE_GROUP_BYTES_PER_JOB, MACHINE_GROUP_BYTES_PER_MACHINE, MACHINE_GROUP_BYTES_PER_TASK,
    MACHINE_GROUP_MAX_MACHINES, MACHINE_GROUP_OVERHEAD_BYTES,
};

/// Whether a record must have capacity for a task before the task is added to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GroupCapacity {
    /// Capacity is required: the task is not on the machine yet, and is not placed without capacity
    /// in a record.
    Required,
    /// Capacity is ignored: the task is already on the machine and must be recorded in any case.
    Ignored,
}

impl ClusterState {
    /// Places a pending task on a machine. Its start command is sent only once the placement is
    /// stored. Returns `false` if the task stays pending because no record has capacity for it. If
    /// the task may already be on a machine, only removes it from the pending tasks and returns
    /// `true`.
    pub fn place_task(&mut self, machine_id: &str, job_id: &str, index: u32) -> bool {
        // The last guard against running a task twice, whatever fault led here.
        if self.machines.is_present(job_id, index) {
            log::error!("{job_id}/{index} may already be on a machine; not placed again");
            if let Some(job) = self.jobs.get_mut(job_id) {
                job.remove_pending(index);
            }
            return true;
        }
        let attempt = self.allocate_attempt();
        self.place_attempt(machine_id, job_id, index, attempt)
    }

    /// Allocates an attempt number that no leader has used before.
    pub fn allocate_attempt(&mut self) -> u64 {
        self.last_attempt += 1;
        self.last_attempt
    }

    /// Places a task on a machine as part of an attempt, which other tasks of a gang may share.
    /// Returns `false` if no record has capacity for the task, or if the machine or job is unknown.
    pub fn place_attempt(
        &mut self,
        machine_id: &str,
        job_id: &str,
        index: u32,
        attempt: u64,
    ) -> bool {
        let group = self.assign_machine_group(machine_id, job_id, GroupCapacity::Required);
        let Some(group_number) = group else {
            return false;
        };
        let (Some(mut machine), Some(job)) =
            (self.machines.edit(machine_id), self.jobs.get_mut(job_id))
        else {
            return false;
        };
        job.remove_pending(index);
        job.record_start(self.now_ms);
        machine.machine_group = Some(group_number);
        log::debug!("place {job_id}/{index}#{attempt} on {machine_id}");
        let placement = Placement::new(job_id, index, attempt, Phase::Unstored);
        machine
            .placements
            .push(placement.with_requirements(&job.spec));
        machine.idle_since = None;
        if let Some(group) = self.machine_groups.get_mut(&group_number) {
            group.add_task(self.now_ms, job_id);
            group.is_urgent |= job.is_urgent();
        }
        let mut machine_types = self.catalog.machine_types.iter();
        let cache_gb = machine_types
            .find(|t| t.name == machine.machine_type)
            .map_or(0.0, |t| t.cache_gb);
        machine.record_image_use(&job.spec.image, job.spec.image_size_gb, cache_gb);
        true
    }

    /// Returns `true` if a record has capacity for one more task of the job on the machine: either
    /// the machine's current record, or a new one to which the machine with its tasks would move.
    pub fn group_record_has_capacity(&self, machine: &Machine, job_id: &str) -> bool {
        let current = machine.machine_group;
        let current = current.and_then(|number| self.machine_groups.get(&number));
        current.is_some_and(|group| self.has_bytes_for_task(group, job_id))
            || self.fits_new_group(bytes_to_move(machine, job_id))
    }

    fn has_bytes_for_task(&self, group: &MachineGroup, job_id: &str) -> bool {
        group.estimated_bytes + group.bytes_for_task(job_id) <= self.max_value_bytes
    }

    fn fits_new_group(&self, machine_bytes: usize) -> bool {
        MACHINE_GROUP_OVERHEAD_BYTES + machine_bytes <= self.max_value_bytes
    }

    /// Returns the number of the group whose record is to store one more task of the job on the
    /// machine. A machine whose record is full moves to another group with all tasks that may be
    /// running on it. Returns `None` if no record has capacity for these tasks.
    fn find_machine_group(
        &self,
        machine: &Machine,
        job_id: &str,
        capacity: GroupCapacity,
    ) -> Option<u32> {
        let ignores_capacity = capacity == GroupCapacity::Ignored;
        let fits =
            |group: &MachineGroup| ignores_capacity || self.has_bytes_for_task(group, job_id);
        if let Some(number) = machine.machine_group {
            if self.machine_groups.get(&number).is_some_and(fits) {
                return Some(number);
            }
        }
        let bytes = bytes_to_move(machine, job_id);
        if !ignores_capacity && !self.fits_new_group(bytes) {
            return None;
        }
        let is_busy = machine.placements.iter().any(Placement::is_present);
        let open = self.machine_groups.iter().find(|(_, group)| {
            // A busy machine must not join a group with a write in flight: the write does not
            // contain the machine, but its acknowledgement would allow the machine's old record to
            // be rewritten without the machine. A group with successors is not written until its
            // successors' records are stored, so the machine's tasks would have to wait as well.
            group.successors.is_empty()
                && !(is_busy && group.stored_state.write_in_flight)
                && group.estimated_bytes.max(bytes) <= self.max_value_bytes / 2
                && group.machines.len() < MACHINE_GROUP_MAX_MACHINES
        });
        let open = open.map(|(number, _)| *number);
        open.or_else(|| Some(self.free_group_number()))
    }

    /// Assigns a machine to the group whose record is to store one more task of the job on it, and
    /// returns the group's number, or `None` if no record has capacity.
    pub(crate) fn assign_machine_group(
        &mut self,
        machine_id: &str,
        job_id: &str,
        capacity: GroupCapacity,
    ) -> Option<u32> {
        let machine = self.machines.get(machine_id)?;
        let number = self.find_machine_group(machine, job_id, capacity)?;
        let previous = machine.machine_group.filter(|previous| *previous != number);
        let jobs_on_machine: Vec<String> = machine
            .placements
            .iter()
            .filter(|placement| placement.is_present())
            .map(|placement| placement.job.clone())
            .collect();
        let previous = previous.and_then(|previous| self.machine_groups.get_mut(&previous));
        if let Some(previous) = previous {
            previous.machines.remove(machine_id);
            previous.stored_state.stale = true;
            // The tasks that may be running on the machine stay in the old record until the record
            // of the new group is stored.
            if !jobs_on_machine.is_empty() {
                previous.successors.insert(number);
            }
        }
        let group = self
            .machine_groups
            .entry(number)
            .or_insert_with(|| MachineGroup::new(StoredState::absent()));
        if group.machines.insert(machine_id.to_owned()) {
            group.estimated_bytes += MACHINE_GROUP_BYTES_PER_MACHINE;
            for job in jobs_on_machine {
                group.add_task(self.now_ms, &job);
            }
        }
        Some(number)
    }

    /// Marks the machine's record as stale, because it contains placements that are no longer
    /// needed.
    pub(crate) fn mark_group_stale(&mut self, machine_id: &str) {
        let machine = self.machines.get(machine_id);
        let number = machine.and_then(|machine| machine.machine_group);
        if let Some(group) = number.and_then(|number| self.machine_groups.get_mut(&number)) {
            group.stored_state.stale = true;
        }
    }

    /// Makes a task pending again after its placement was withdrawn or is proven terminated, unless
    /// the task is placed or queued elsewhere.
    pub fn requeue_task(&mut self, job_id: &str, index: u32) {
        self.scheduling_needed = true;
        let job = self.jobs.get(job_id);
        self.gangs_changed |= job.is_some_and(|job| job.gang.is_some());
        // A queued task already waits for its start; if it were also pending, it would start twice.
        let is_elsewhere =
            self.machines.is_present(job_id, index) || self.machines.is_queued(job_id, index);
        if is_elsewhere {
            return;
        }
        if let Some(job) = self.jobs.get_mut(job_id) {
            job.requeue(index);
        }
    }

    /// Makes several tasks pending again; see [`Self::requeue_task`].
    pub(crate) fn requeue_tasks(&mut self, tasks: impl IntoIterator<Item = TaskKey>) {
        for task in tasks {
            self.requeue_task(&task.job, task.index);
        }
    }
}

/// Returns an upper estimate of the bytes that a machine takes in a record with its present tasks
/// and one more task of the job.
fn bytes_to_move(machine: &Machine, job_id: &str) -> usize {
    let mut jobs: BTreeSet<&str> = BTreeSet::from([job_id]);
    let mut tasks = 1;
    for placement in &machine.placements {
        if placement.is_present() {
            jobs.insert(&placement.job);
            tasks += 1;
        }
    }
    MACHINE_GROUP_BYTES_PER_MACHINE
        + tasks * MACHINE_GROUP_BYTES_PER_TASK
        + jobs.len() * MACHINE_GROUP_BYTES_PER_JOB
}
