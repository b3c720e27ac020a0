//! The state of the cluster as the leader holds it. All of the leader's parts work on this one owner.
use super::{JobState, MachineGroup, Machines};
use crate::api::Millis;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use stonegw_constants::ATTEMPTS_PER_TERM;
use stonegw_wire::msg::{Catalog, MachineType};

/// Machines, placements, jobs, the catalogue and the records that hold the placements.
pub struct ClusterState {
    /// The term of the leader that holds this state.
    pub term: u64,
    /// The machine types and zones that the cloud offers.
    pub catalog: Catalog,
    /// All known machines with their placements.
    pub machines: Machines,
    /// All accepted jobs that have not ended.
    pub jobs: BTreeMap<String, JobState>,
    /// Jobs with results or an end to be stored.
    pub(crate) jobs_to_store: BTreeSet<String>,
    /// The records that hold the machines' placements, by number.
    pub(crate) machine_groups: BTreeMap<u32, MachineGroup>,
    /// Bytes of JSON that a record may take.
    pub(crate) max_value_bytes: usize,
    /// The time of the present turn.
    pub(crate) now_ms: Millis,
    /// Deleted machines, with the time: late machine lists and heartbeats still name them.
    pub deleted_machines: HashMap<String, Millis>,
    /// The highest attempt number handed out.
    pub(super) last_attempt: u64,
    /// Something changed that could let a task start.
    pub scheduling_needed: bool,
    /// A task of a gang changed, so the state of its gang may have to.
    pub gangs_changed: bool,
    /// When the state of every gang is checked again in any case.
    pub(crate) next_gang_check_at: Millis,
}

/// Why everything on a machine is gone.
#[derive(Clone, Copy)]
pub(crate) enum TerminationEvidence {
    /// The cloud has deleted it.
    MachineDeleted,
    /// Its worker began a new session.
    NewIncarnation { includes_inherited: bool },
}

impl ClusterState {
    /// The state of a leader that has loaded nothing yet.
    pub fn new(term: u64, now: Millis, catalog: Catalog, max_value_bytes: usize) -> ClusterState {
        ClusterState {
            term,
            catalog,
            machines: Machines::default(),
            jobs: BTreeMap::new(),
            jobs_to_store: BTreeSet::new(),
            machine_groups: BTreeMap::new(),
            max_value_bytes,
            now_ms: now,
            deleted_machines: HashMap::new(),
            last_attempt: term * ATTEMPTS_PER_TERM,
            scheduling_needed: true,
            gangs_changed: true,
            next_gang_check_at: now,
        }
    }

    /// The machine type of this name.
    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.catalog.machine_types.iter().find(|t| t.name == name)
    }
}
