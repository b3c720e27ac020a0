//! A leader without its node, and a small key-value store, for tests of what the leader stores.
use super::{Leader, Stage};
use crate::api::{CallError, CallResult, Millis, Now};
use crate::calls::LeaderCall;
use crate::cluster::JobState;
use crate::context::LeaderContext;
use crate::outbox::Outbox;
use crate::records::{JobRecord, LeaderRecord, MachineGroupRecord, StoredRecord, LEADER_KEY};
use crate::replica::Replica;
use crate::settings::{Settings, TokenBucket};
use crate::store_limits::StoreLimits;
pub use crate::test_support::job_spec;
use crate::test_support::single_node_settings;
use std::collections::BTreeMap;
use stonegw_constants::STORE_RETRY_BACKOFF_MS;
use stonegw_wire::msg::{
    decode, encode, json_size_bytes, Catalog, CommandBatch, Condition, Entry, Heartbeat, Txn,
    TxnResponse, Write,
};

/// A key-value store that applies transactions at once and rejects those that exceed its limits,
/// whatever limits the settings name.
pub struct FakeStore {
    records: BTreeMap<String, (StoredRecord, u64)>,
    revision: u64,
    pub max_value_bytes: usize,
    pub max_transaction_writes: usize,
    /// The number of writes in one transaction above which the rate is exceeded.
    pub max_burst_writes: usize,
}

impl Default for FakeStore {
    fn default() -> FakeStore {
        FakeStore {
            records: BTreeMap::new(),
            revision: 0,
            max_value_bytes: usize::MAX,
            max_transaction_writes: usize::MAX,
            max_burst_writes: usize::MAX,
        }
    }
}

impl FakeStore {
    pub fn put(&mut self, key: &str, value: StoredRecord) {
        self.revision += 1;
        self.records.insert(key.into(), (value, self.revision));
    }

    pub fn machine_groups(&self) -> impl Iterator<Item = (&String, MachineGroupRecord)> {
        self.records
            .iter()
            .filter_map(|(key, (value, _))| match value {
                StoredRecord::MachineGroup(record) => Some((key, record.clone())),
                _ => None,
            })
    }

    fn read(&self, key: &str) -> (u16, Vec<u8>) {
        let Some((value, revision)) = self.records.get(key) else {
            return (404, vec![]);
        };
        let entry = Entry {
            key: key.to_owned(),
            value: value.clone(),
            revision: *revision,
            lease_id: None,
        };
        (200, encode(&entry))
    }

    fn apply(&mut self, txn: Txn<StoredRecord>) -> (u16, Vec<u8>) {
        let is_large = |write: &Write<StoredRecord>| match write {
            Write::Put { value, .. } => json_size_bytes(value) > self.max_value_bytes,
            Write::Delete { .. } => false,
        };
        let conditions = txn.conditions.len();
        let max_conditions = self.max_transaction_writes.saturating_mul(4);
        if txn.writes.len() > self.max_transaction_writes
            || conditions > max_conditions
            || txn.writes.iter().any(is_large)
        {
            return (400, vec![]);
        }
        if txn.writes.len() > self.max_burst_writes {
            return (429, vec![]);
        }
        for Condition { key, revision } in &txn.conditions {
            let present = self.records.get(key).map_or(0, |record| record.1);
            assert!(
                key == LEADER_KEY || present == *revision,
                "condition fails: {key}"
            );
        }
        self.revision += 1;
        for write in txn.writes {
            match write {
                Write::Put { key, value, .. } => {
                    self.records.insert(key, (value, self.revision));
                }
                Write::Delete { key } => drop(self.records.remove(&key)),
            }
        }
        let response = TxnResponse {
            revision: self.revision,
            failed_keys: vec![],
        };
        (200, encode(&response))
    }
}

/// What happens to transactions and their responses.
#[derive(Clone, Copy, PartialEq)]
pub enum AnswerMode {
    Immediate,
    /// Transactions are applied. Their responses arrive once the mode is `Immediate` again.
    Delayed,
    /// Transactions are applied, but their responses are lost.
    AnswerLost,
    /// Transactions are lost before they reach the store.
    RequestLost,
}

pub struct LeaderFixture {
    pub store: FakeStore,
    pub answer_mode: AnswerMode,
    delayed_answers: Vec<(LeaderCall, CallResult)>,
    pub settings: Settings,
    pub store_limits: StoreLimits,
    pub now_ms: Millis,
    pub transactions: usize,
    pub rejected_transactions: usize,
    pub max_writes_seen: usize,
    last_rejected_at: Option<Millis>,
    replica: Replica,
    read_budget: TokenBucket,
    write_budget: TokenBucket,
    outbox: Outbox,
    /// The token to which the leader may raise those of workers.
    pub raised_token: Option<u64>,
}

pub fn machine_id(number: usize) -> String {
    format!("host-{number:06}")
}

/// Returns a heartbeat of the first machine, without tasks.
pub fn heartbeat(sequence: u64, fencing_token: u64) -> Heartbeat {
    Heartbeat {
        machine_id: machine_id(0),
        addr: "10.0.0.1:9000".into(),
        machine_type: "small".into(),
        zone: "a".into(),
        is_spot: false,
        incarnation: 1,
        sequence,
        fencing_token,
        eviction_in_s: None,
        tasks: vec![],
    }
}

/// The context of a leader's turn at the fixture's present time. It is a macro so that it borrows
/// only the fields that it names.
macro_rules! context {
    ($fixture:expr, $confirmed:expr, $calls:expr) => {
        LeaderContext {
            leadership_confirmed: $confirmed,
            now: Now {
                monotonic_ms: $fixture.now_ms,
                wall_ms: $fixture.now_ms,
            },
            settings: &$fixture.settings,
            may_resign: false,
            watermark_current: $confirmed,
            raised_token: $fixture.raised_token,
            replica: &mut $fixture.replica,
            read_budget: &mut $fixture.read_budget,
            write_budget: &mut $fixture.write_budget,
            store_limits: &mut $fixture.store_limits,
            outbox: &mut $fixture.outbox,
            calls: &mut $calls,
        }
    };
}

impl LeaderFixture {
    pub fn new(
        store: FakeStore,
        max_value_bytes: usize,
        max_transaction_writes: usize,
    ) -> LeaderFixture {
        let settings = Settings {
            max_value_bytes,
            max_transaction_writes,
            ..single_node_settings()
        };
        LeaderFixture {
            store,
            answer_mode: AnswerMode::Immediate,
            delayed_answers: vec![],
            store_limits: StoreLimits::new(&settings),
            settings,
            now_ms: 1_000,
            transactions: 0,
            rejected_transactions: 0,
            max_writes_seen: 0,
            last_rejected_at: None,
            replica: Replica::default(),
            read_budget: TokenBucket::new(100.0, 100.0),
            write_budget: TokenBucket::new(60.0, 60.0),
            outbox: Outbox {
                actions: vec![],
                last_call_id: 0,
            },
            raised_token: None,
        }
    }

    /// Starts an active leader that has loaded the stored machine groups.
    pub fn start_leader(&mut self, term: u64) -> Leader {
        let catalog = Catalog {
            machine_types: vec![],
        };
        let mut leader = Leader::new(term, 1, self.now_ms, self.now_ms, catalog, &self.settings);
        leader
            .cluster
            .lower_max_value_bytes(self.store_limits.max_value_bytes());
        for (key, (value, revision)) in &self.store.records {
            if let StoredRecord::MachineGroup(record) = value {
                let entry = Entry {
                    key: key.clone(),
                    value: record.clone(),
                    revision: *revision,
                    lease_id: None,
                };
                leader.load_machine_group(self.now_ms, entry);
            }
        }
        leader.stage = Stage::Active;
        leader
    }

    pub fn submit(&mut self, leader: &mut Leader, id: &str, tasks: u32) {
        let job = JobState::new(job_spec(id, tasks), 0);
        leader.cluster.jobs.insert(id.into(), job);
    }

    /// Runs a full turn of the leader and returns the paths of the requests that it sends.
    /// `confirmed` is whether its leadership is confirmed, see [`LeaderContext`].
    pub fn paths_sent_in_turn(&mut self, leader: &mut Leader, confirmed: bool) -> Vec<String> {
        self.now_ms += 100;
        let mut calls = vec![];
        let mut context = context!(self, confirmed, calls);
        leader.advance(&mut context);
        let path = |action| match action {
            crate::api::Action::Call { path, .. } => Some(path),
            _ => None,
        };
        std::mem::take(&mut context.outbox.actions)
            .into_iter()
            .filter_map(path)
            .collect()
    }

    /// Delivers a heartbeat to the leader and returns the reply.
    pub fn deliver_heartbeat(
        &mut self,
        leader: &mut Leader,
        heartbeat: Heartbeat,
    ) -> Option<CommandBatch> {
        let mut calls = vec![];
        let mut context = context!(self, true, calls);
        leader.handle_heartbeat(&mut context, heartbeat)
    }

    /// Makes the replica hold a heartbeat that another node relayed through the store, and runs a
    /// turn.
    pub fn relay_heartbeat(&mut self, leader: &mut Leader, heartbeat: Heartbeat) {
        self.replica.relayed_heartbeats.push(heartbeat);
        self.paths_sent_in_turn(leader, true);
    }

    /// Makes the replica hold a cancelled job.
    pub fn read_cancelled_job(&mut self, id: &str, revision: u64) {
        let record = JobRecord::submitted(&job_spec(id, 1), 0).cancelled();
        self.replica.put_job(id, record, revision);
    }

    /// Makes the replica hold the leader key of a term, with all changes up to a revision.
    pub fn read_leader_key(&mut self, term: u64, revision: u64) {
        let record = LeaderRecord {
            node: self.settings.node_name.clone(),
            nonce: 1,
            lease: 1,
        };
        self.replica.record_own_election(record, term);
        self.replica.revision = revision;
    }

    /// Advances the time by a tenth of a second, commits what is due and delivers the responses.
    pub fn run_turn(&mut self, leader: &mut Leader) {
        self.now_ms += 100;
        let mut calls = vec![];
        let mut context = context!(self, true, calls);
        leader.cluster.now_ms = context.now.monotonic_ms;
        leader
            .cluster
            .lower_max_value_bytes(context.store_limits.max_value_bytes());
        if self.answer_mode == AnswerMode::Immediate {
            for (call, result) in std::mem::take(&mut self.delayed_answers) {
                leader.call_done(&mut context, call, result);
            }
        }
        leader.commit(&mut context);
        let actions = std::mem::take(&mut context.outbox.actions);
        let sent = std::mem::take(context.calls);
        for (action, (_, call)) in actions.into_iter().zip(sent) {
            let crate::api::Action::Call { path, body, .. } = action else {
                continue;
            };
            if let Some(key) = path.strip_prefix("/kv/") {
                let answer = self.store.read(key);
                leader.call_done(&mut context, call, Ok(answer));
                continue;
            }
            let txn: Txn<StoredRecord> =
                decode(&body).expect("the request body must be a transaction");
            let since_rejection = self
                .last_rejected_at
                .map_or(Millis::MAX, |at| self.now_ms - at);
            assert!(
                since_rejection >= STORE_RETRY_BACKOFF_MS,
                "transaction sent {since_rejection} ms after a rejected one"
            );
            self.transactions += 1;
            self.max_writes_seen = self.max_writes_seen.max(txn.writes.len());
            if self.answer_mode == AnswerMode::RequestLost {
                leader.call_done(&mut context, call, Err(CallError::OutcomeUnknown));
                continue;
            }
            let answer = self.store.apply(txn);
            self.rejected_transactions += usize::from(answer.0 == 400);
            self.last_rejected_at = (answer.0 != 200).then_some(self.now_ms);
            match self.answer_mode {
                AnswerMode::Delayed => self.delayed_answers.push((call, Ok(answer))),
                AnswerMode::AnswerLost => {
                    leader.call_done(&mut context, call, Err(CallError::OutcomeUnknown))
                }
                AnswerMode::Immediate | AnswerMode::RequestLost => {
                    leader.call_done(&mut context, call, Ok(answer))
                }
            }
        }
    }
}
