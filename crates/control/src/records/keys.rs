//! The keys of the records, and the names of tasks.

/// Prefix of the keys of the replicated records, of which every node keeps a copy.
pub const REPLICATED_PREFIX: &str = "c/";
/// Key of the leader's record.
pub const LEADER_KEY: &str = "c/leader";
/// Prefix of the keys of jobs' records.
pub const JOBS_PREFIX: &str = "c/j/";
/// Prefix of the keys of relayed heartbeats.
pub const RELAYED_HEARTBEATS_PREFIX: &str = "c/r/";
/// Prefix of the keys of chunks of jobs' results.
pub const RESULT_CHUNKS_PREFIX: &str = "d/";
/// Prefix of the keys of machine groups' records.
pub const MACHINE_GROUPS_PREFIX: &str = "m/";
/// Prefix of the keys of the records that state which version a node runs.
pub const VERSIONS_PREFIX: &str = "v/";

/// Returns the key of a job's record.
pub fn job_key(job: &str) -> String {
    format!("{JOBS_PREFIX}{job}")
}

/// Returns the key of a chunk of a job's results.
pub fn result_chunk_key(job: &str, chunk: u32) -> String {
    format!("{RESULT_CHUNKS_PREFIX}{job}/{chunk}")
}

/// Returns the key of a record of heartbeats that a node relays. The node uses several slots in
/// turn.
pub fn relayed_heartbeats_key(node: &str, slot: usize) -> String {
    format!("{RELAYED_HEARTBEATS_PREFIX}{node}/{slot}")
}

/// Returns the key of a machine group's record.
pub fn machine_group_key(machine_group: u32) -> String {
    format!("{MACHINE_GROUPS_PREFIX}{machine_group}")
}

/// Returns the key of the record that states which version a node runs.
pub fn version_key(node: &str) -> String {
    format!("{VERSIONS_PREFIX}{node}")
}

/// Returns the name of a task in messages to and from workers.
pub fn task_name(job: &str, index: u32) -> String {
    format!("{job}/{index}")
}

/// Returns the job and the index in a task's name, or `None` if the name is malformed.
pub fn parse_task_name(task: &str) -> Option<(&str, u32)> {
    let (job, index) = task.rsplit_once('/')?;
    Some((job, index.parse().ok()?))
}
