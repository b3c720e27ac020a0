//! Sizes of the stored records.

/// Tasks whose completion one record holds as a bitmap: 8192 bits are 1.4 kB of base64, far below
/// the smallest value limit.
pub const RESULT_CHUNK_TASKS: u32 = 8_192;
/// Bytes of JSON that a value may take whatever the store refuses: the largest record that cannot
/// be divided, a chunk of results or an ordinary submission, is smaller.
pub const MIN_VALUE_BYTES: usize = 2 * 1024;
/// Bytes of JSON that a submission or cancellation takes in a transaction besides its value.
pub const JOB_WRITE_OVERHEAD_BYTES: usize = 300;

/// Machines in one machine-group record at most: few records mean few writes, and a transaction of
/// eight covers a whole cluster. The size of a value bounds them further.
pub const MACHINE_GROUP_MAX_MACHINES: usize = 32;
/// Bytes of JSON that a machine-group record takes besides its rows, an upper estimate: team names.
pub const MACHINE_GROUP_OVERHEAD_BYTES: usize = 300;
/// Bytes of JSON for one machine in a machine-group record, an upper estimate.
pub const MACHINE_GROUP_BYTES_PER_MACHINE: usize = 90;
/// Bytes of JSON for one job in a machine-group record, an upper estimate.
pub const MACHINE_GROUP_BYTES_PER_JOB: usize = 70;
/// Bytes of JSON for one task in a machine-group record, an upper estimate.
pub const MACHINE_GROUP_BYTES_PER_TASK: usize = 34;

/// ms for which results of a job wait so that one write holds several. The worker repeats them
/// until they are stored; a job's last result does not wait.
pub const RESULT_COMMIT_DELAY_MS: u64 = 2_000;
/// Part of the leader's writes that results take at most on average: with more jobs running, each
/// result waits longer. The worker goes on reporting them, so none is lost.
pub const RESULT_WRITE_FRACTION: f64 = 0.2;
/// One in so many writes of a transaction is open to results before placements.
pub const RESULT_TXN_DIVISOR: usize = 4;
