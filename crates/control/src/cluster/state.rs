//! The leader's state of the cluster. All components of the leader read and change this one value.
use super::{JobState, MachineGroup, Machines};
use crate::api::Millis;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use stonegw_constants::ATTEMPTS_PER_TERM;
use stonegw_wire::msg::{Catalog, MachineType};

/// The machines with their placements, the jobs, the catalogue, and the groups of machines whose
/// records store the placements.
pub struct ClusterState {
    /// The term of the leader that holds this state.
    pub term: u64,
    /// The machine types and zones that the cloud offers.
    pub catalog: Catalog,
    /// All known machines with their placements.
    pub machines: Machines,
    /// All accepted jobs that have not ended, by id.
    pub jobs: BTreeMap<String, JobState>,
    /// Ids of the jobs whose results or end are still to be stored.
    pub(crate) jobs_to_store: BTreeSet<String>,
    /// The machine groups by number; the record of each stores the placements of its machines.
    pub(crate) machine_groups: BTreeMap<u32, MachineGroup>,
    /// The maximum size of a machine-group record, in bytes of JSON.
    pub(crate) max_value_bytes: usize,
    /// The time of the leader's current turn, or of the heartbeat that it handles, in monotonic ms.
    pub(crate) now_ms: Millis,
    /// Machines that were deleted, with the time of the deletion. Outdated machine lists and late
    /// heartbeats may still name them and must be ignored.
    pub deleted_machines: HashMap<String, Millis>,
    /// The highest attempt number allocated so far.
    pub(super) last_attempt: u64,
    /// Whether something changed that may allow a task to be placed.
    pub scheduling_needed: bool,
    /// Whether a task of a gang changed, so that the state of a gang may have to change.
    pub gangs_changed: bool,
    /// When the state of every gang is checked next, even without a change.
    pub(crate) next_gang_check_at: Millis,
}

/// Evidence that tasks placed on a machine are no longer running there.
#[derive(Clone, Copy)]
pub(crate) enum TerminationEvidence {
    /// The cloud has deleted the machine.
    MachineDeleted,
    /// The machine's worker began a new incarnation.
    NewIncarnation {
        /// Whether the evidence also covers tasks that an earlier leader placed.
        includes_inherited: bool,
    },
}

impl ClusterState {
    /// Creates the state of a leader that has not loaded any records yet.
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

    /// Returns the machine type of this name, if the catalogue has it.
    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.catalog.machine_types.iter().find(|t| t.name == name)
    }
}
