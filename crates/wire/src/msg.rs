//! Message bodies. Field names inside are the field's usual terms; the names on the wire stand
//! in the serde attributes and nowhere else.
use serde::{de::DeserializeOwned, Deserialize, Serialize};

pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("message types always encode")
}

/// Decodes one body; trailing bytes are an error.
/// Every body is a map; a list, whose elements could be taken for the fields in turn, is none.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    if !matches!(body.first(), Some(0x80..=0x8f | 0xde | 0xdf)) {
        return Err("not a map".into());
    }
    let mut de = rmp_serde::Deserializer::new(std::io::Cursor::new(body));
    let value = T::deserialize(&mut de).map_err(|e| e.to_string())?;
    if de.position() != body.len() as u64 {
        return Err("trailing bytes".into());
    }
    Ok(value)
}

/// The size in which the platform counts its limits.
pub fn json_len<T: Serialize>(value: &T) -> usize {
    struct Count(usize);
    impl std::io::Write for Count {
        fn write(&mut self, b: &[u8]) -> std::io::Result<usize> {
            self.0 += b.len();
            Ok(b.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let mut count = Count(0);
    match serde_json::to_writer(&mut count, value) {
        Ok(()) => count.0,
        Err(_) => usize::MAX,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    #[serde(rename = "sweep")]
    Array,
    /// Tasks that all run at the same time, or none does.
    #[serde(rename = "ensemble")]
    Gang,
    #[serde(rename = "standing")]
    Service,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "low")]
    Low,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "prod")]
    Production,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "uid")]
    pub id: String,
    #[serde(rename = "lane")]
    pub class: String,
    #[serde(rename = "crew")]
    pub team: String,
    #[serde(rename = "shape")]
    pub kind: JobKind,
    #[serde(rename = "urgency")]
    pub priority: Priority,
    #[serde(rename = "pieces")]
    pub tasks: u32,
    pub cpus: f64,
    #[serde(rename = "cards")]
    pub gpus: f64,
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    #[serde(rename = "bundle")]
    pub image: String,
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    #[serde(rename = "builds", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(rename = "oneZone")]
    pub one_zone: bool,
    pub spread: bool,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "expectS")]
    pub estimate_s: f64,
    #[serde(rename = "markEveryS")]
    pub checkpoint_s: f64,
    #[serde(rename = "markCostS")]
    pub save_s: f64,
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// Most tasks of a job (the protocol's limit).
pub const MAX_TASKS: u32 = 100_000;

/// Job ids are always `run-` and digits.
pub fn is_job_id(id: &str) -> bool {
    match id.strip_prefix("run-") {
        Some(n) => !n.is_empty() && n.len() <= 20 && n.bytes().all(|b| b.is_ascii_digit()),
        None => false,
    }
}

impl JobSpec {
    pub fn parse(body: &[u8]) -> Result<JobSpec, String> {
        let spec: JobSpec = decode(body)?;
        spec.check()?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), String> {
        if !is_job_id(&self.id) {
            return Err("uid: must be run- and digits".into());
        }
        for (name, text) in [
            ("lane", &self.class),
            ("crew", &self.team),
            ("bundle", &self.image),
        ] {
            if text.is_empty() || text.len() > 200 {
                return Err(format!("{name}: must be 1 to 200 bytes"));
            }
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(format!("pieces: must be 1 to {MAX_TASKS}"));
        }
        for (name, n) in [
            ("cpus", self.cpus),
            ("cards", self.gpus),
            ("memGb", self.memory_gb),
            ("pullGb", self.image_gb),
            ("expectS", self.estimate_s),
            ("markEveryS", self.checkpoint_s),
            ("markCostS", self.save_s),
            ("dueS", self.deadline_s.unwrap_or(0.0)),
        ] {
            if !n.is_finite() || !(0.0..=1e9).contains(&n) {
                return Err(format!("{name}: must be a number from 0 to 1e9"));
            }
        }
        if self.types.as_ref().is_some_and(|t| t.len() > 64) || json_len(self) > 6 * 1024 {
            return Err("too large".into());
        }
        Ok(())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    Queued,
    Running,
    Done,
    #[serde(rename = "withdrawn")]
    Cancelled,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    #[serde(rename = "uid")]
    pub id: String,
    #[serde(rename = "phase")]
    pub state: JobPhase,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    pub error: String,
}

// ---- Workers ------------------------------------------------------------------------------

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    Fetching,
    /// A gang's task that waits for the other tasks of its attempt.
    Gathering,
    Running,
    #[serde(rename = "flushing")]
    Saving,
    Exited,
    /// States of later protocol versions; the task is there.
    #[serde(other)]
    Other,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    Done,
    Stopped,
    Error,
    #[serde(rename = "full")]
    NoRoom,
    Busy,
    #[serde(rename = "no_such")]
    Unknown,
    /// Another task of its gang is gone.
    #[serde(rename = "mates_gone")]
    PeersGone,
    /// Its gang was not complete in time.
    Incomplete,
    /// Causes of later protocol versions; treated as a stop.
    #[serde(other)]
    Other,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    #[serde(rename = "piece")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "phase")]
    pub state: TaskState,
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<ExitCause>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    #[serde(rename = "hearth")]
    pub machine: String,
    pub addr: String,
    #[serde(rename = "build")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "tenure")]
    pub session: u64,
    #[serde(rename = "tally")]
    pub seq: u64,
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "recallS", default, skip_serializing_if = "Option::is_none")]
    pub notice_s: Option<f64>,
    #[serde(rename = "pieces")]
    pub tasks: Vec<TaskReport>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    #[serde(rename = "run")]
    Start {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    #[serde(rename = "kill")]
    Stop {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    #[serde(rename = "clear")]
    Forget {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    #[serde(rename = "baton")]
    pub token: u64,
    /// Only in direct commands.
    #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
    pub session: Option<u64>,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportTo {
    #[serde(rename = "steward", default, skip_serializing_if = "Option::is_none")]
    pub node: Option<String>,
}

// ---- Cloud --------------------------------------------------------------------------------

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "sku")]
    pub name: String,
    pub cpus: f64,
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    #[serde(rename = "cacheGb", default)]
    pub cache_gb: f64,
    #[serde(rename = "fetchGbPerS")]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "hourly")]
    pub price: f64,
    #[serde(rename = "lowPrice", default)]
    pub spot_price: Option<f64>,
    #[serde(rename = "readyS")]
    pub boot_s: f64,
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// The current price per hour and cpu.
    pub fn price_per_cpu(&self, spot: bool) -> f64 {
        let price = if spot { self.spot_price } else { None };
        price.unwrap_or(self.price) / self.cpus.max(0.01)
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    #[serde(rename = "builds")]
    pub types: Vec<MachineType>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hire {
    #[serde(rename = "hire")]
    pub request: String,
    #[serde(rename = "build")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    pub count: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Machines {
    #[serde(rename = "hearths")]
    pub machines: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    Booting,
    Running,
    Failed,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    #[serde(rename = "uid")]
    pub id: String,
    #[serde(default)]
    pub addr: Option<String>,
    #[serde(rename = "build")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "phase")]
    pub state: MachineState,
    #[serde(rename = "heldS")]
    pub age_s: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    #[serde(rename = "hearths")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "hasNext")]
    pub more: bool,
}

// ---- State service ------------------------------------------------------------------------

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write<V> {
    Put {
        #[serde(rename = "set")]
        key: String,
        #[serde(rename = "v")]
        value: V,
        #[serde(rename = "tenancy", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Txn<V> {
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "writes")]
    pub writes: Vec<Write<V>>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TxnAnswer {
    #[serde(rename = "epoch")]
    pub revision: u64,
    #[serde(default)]
    pub failed: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry<V> {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: V,
    #[serde(rename = "stamp")]
    pub version: u64,
    #[serde(rename = "tenancy", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listing<V> {
    #[serde(rename = "rows")]
    pub items: Vec<Entry<V>>,
    #[serde(rename = "hasNext")]
    pub more: bool,
    #[serde(rename = "epoch")]
    pub revision: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change<V> {
    Put {
        #[serde(rename = "set")]
        key: String,
        #[serde(rename = "v")]
        value: V,
        #[serde(rename = "stamp")]
        version: u64,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
        #[serde(rename = "stamp")]
        version: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes<V> {
    #[serde(rename = "epoch")]
    pub revision: u64,
    pub events: Vec<Change<V>>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    #[serde(rename = "tenancy")]
    pub lease: u64,
}
