//! Sizes of the stored records.

/// Number of tasks whose completion one record holds as a bitmap. 8192 bits are 1.4 kB of base64,
/// far below the smallest value limit.
pub const RESULT_CHUNK_TASKS: u32 = 8_192;
/// Lower bound of the limit on values, in bytes of JSON, whatever the store rejects. The largest
/// record that cannot be divided, a chunk of results or an ordinary submission, is smaller.
pub const MIN_VALUE_BYTES: usize = 2 * 1024;
/// Bytes of JSON that a submission or cancellation takes in a transaction in addition to its value.
pub const JOB_WRITE_OVERHEAD_BYTES: usize = 300;

/// Maximum number of machines in one machine-group record. Few records mean few writes, and a
/// transaction of eight writes covers a whole cluster. The limit on the size of a value may lower
/// the number further.
pub const MACHINE_GROUP_MAX_MACHINES: usize = 32;
/// Upper estimate of the bytes of JSON that a machine-group record takes in addition to its rows,
/// mostly team names.
pub const MACHINE_GROUP_OVERHEAD_BYTES: usize = 300;
/// Upper estimate of the bytes of JSON for one machine in a machine-group record.
pub const MACHINE_GROUP_BYTES_PER_MACHINE: usize = 90;
/// Upper estimate of the bytes of JSON for one job in a machine-group record.
pub const MACHINE_GROUP_BYTES_PER_JOB: usize = 70;
/// Upper estimate of the bytes of JSON for one task in a machine-group record.
pub const MACHINE_GROUP_BYTES_PER_TASK: usize = 34;

/// Time for which the results of a job wait so that one write holds several of them, in ms. The
/// worker repeats results until they are stored. A job's last result does not wait.
pub const RESULT_COMMIT_DELAY_MS: u64 = 2_000;
/// Maximum average fraction of the leader's writes that results take. With more jobs running, each
/// result waits longer. The worker continues to report results, so none is lost.
pub const RESULT_WRITE_FRACTION: f64 = 0.2;
/// Results may use the number of writes of a transaction divided by this, rounded up, before
/// placements that are not urgent.
pub const RESULT_TXN_DIVISOR: usize = 4;
