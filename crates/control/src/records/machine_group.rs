//! The record of the tasks on a group of machines.
use serde::{Deserialize, Serialize, Serializer};

/// The tasks that may be on a group of machines. One record holds many machines, because the store
/// limits the rate of writes. The record includes what the tasks request, so that a new leader can
/// account for the resources in use whatever the state of the jobs' own records. Rows are stored as
/// arrays without field names to keep the record small.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineGroupRecord {
    /// Names of the teams whose jobs are in `jobs`.
    pub teams: Vec<String>,
    /// The jobs whose tasks are in `machines`.
    pub jobs: Vec<JobRow>,
    /// The machines that have tasks.
    pub machines: Vec<MachineRow>,
}

/// A job. It is stored as an array of the fields in this order.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct JobRow {
    /// The job's id.
    pub job: String,
    /// Index of the job's team in [`MachineGroupRecord::teams`].
    pub team: usize,
    /// Number of CPUs that each task requests.
    pub cpus: f64,
    /// Number of GPUs that each task requests.
    pub gpus: f64,
    /// Memory that each task requests, in GB.
    pub memory_gb: f64,
}

impl Serialize for JobRow {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let row = (&self.job, self.team, self.cpus, self.gpus, self.memory_gb);
        row.serialize(serializer)
    }
}

/// A machine. It is stored as an array of the fields in this order.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct MachineRow {
    /// The machine's id.
    pub machine: String,
    /// Name of the machine's type.
    pub machine_type: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether the machine is a spot machine.
    pub is_spot: bool,
    /// The tasks that may be on the machine.
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

/// A task. It is stored as an array of the fields in this order.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct TaskRow {
    /// Index of the task's job in [`MachineGroupRecord::jobs`].
    pub job: usize,
    /// Index of the task in the job.
    pub index: u32,
    /// Number of the attempt to run the task.
    pub attempt: u64,
}

impl Serialize for TaskRow {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.job, self.index, self.attempt).serialize(serializer)
    }
}
