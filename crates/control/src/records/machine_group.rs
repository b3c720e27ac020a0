//! The record of the tasks on a group of machines.
use serde::{Deserialize, Serialize, Serializer};

/// The tasks that may be on a group of machines. One record for many machines, since the store limits
/// the rate of writes. It is self-contained, so that a new leader can account for the resources in
/// use whatever became of the jobs. Rows are stored as arrays without field names to keep it small.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineGroupRecord {
    /// Names of the teams whose jobs are in `jobs`.
    pub teams: Vec<String>,
    /// The jobs whose tasks are in `machines`.
    pub jobs: Vec<JobRow>,
    /// The machines that have tasks.
    pub machines: Vec<MachineRow>,
}

/// A job; stored as an array of its fields in this order.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct JobRow {
    /// The job's id.
    pub job: String,
    /// Index of its team in [`MachineGroupRecord::teams`].
    pub team: usize,
    /// CPUs that a task requests.
    pub cpus: f64,
    /// GPUs that a task requests.
    pub gpus: f64,
    /// Memory that a task requests, GB.
    pub memory_gb: f64,
}

impl Serialize for JobRow {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let row = (&self.job, self.team, self.cpus, self.gpus, self.memory_gb);
        row.serialize(serializer)
    }
}

/// A machine; stored as an array of its fields in this order.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct MachineRow {
    /// The machine's id.
    pub machine: String,
    /// Name of its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub is_spot: bool,
    /// The tasks that may be on it.
    pub tasks: Vec<TaskRow>,
}

impl Serialize for MachineRow {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let row = (
            &self.machine,
            &self.machine_type,
            &self.zone,
            self.is_spot,
            &self.tasks,
        );
        row.serialize(serializer)
    }
}

/// A task; stored as an array of its fields in this order.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct TaskRow {
    /// Index of its job in [`MachineGroupRecord::jobs`].
    pub job: usize,
    /// Index of the task in its job.
    pub index: u32,
    /// The attempt.
    pub attempt: u64,
}

impl Serialize for TaskRow {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.job, self.index, self.attempt).serialize(serializer)
    }
}
