//! A leader alone with a small state service, for tests of what it stores.
use super::*;
use crate::limits::StoreLimits;

/// Applies transactions at once and refuses what passes its limits, whatever the settings say.
pub struct StateService {
    keys: BTreeMap<String, (Value, u64)>,
    revision: u64,
    pub value_bytes: usize,
    pub writes: usize,
    /// Writes in one transaction beyond which the rate is exceeded.
    pub burst: usize,
}

impl Default for StateService {
    fn default() -> StateService {
        StateService {
            keys: BTreeMap::new(),
            revision: 0,
            value_bytes: usize::MAX,
            writes: usize::MAX,
            burst: usize::MAX,
        }
    }
}

impl StateService {
    pub fn put(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.keys.insert(key.into(), (value, self.revision));
    }

    pub fn shards(&self) -> impl Iterator<Item = (&String, ShardRecord)> {
        self.keys
            .iter()
            .filter_map(|(key, (value, _))| match value {
                Value::Shard(record) => Some((key, record.clone())),
                _ => None,
            })
    }

    fn read(&self, key: &str) -> (u16, Vec<u8>) {
        let Some((value, version)) = self.keys.get(key) else {
            return (404, vec![]);
        };
        let entry = Entry {
            key: key.to_owned(),
            value: value.clone(),
            version: *version,
            lease: None,
        };
        (200, encode(&entry))
    }

    fn apply(&mut self, txn: Txn<Value>) -> (u16, Vec<u8>) {
        let large = |w: &Write<Value>| match w {
            Write::Put { value, .. } => json_len(value) > self.value_bytes,
            Write::Delete { .. } => false,
        };
        let conditions = txn.conditions.len();
        let most = self.writes.saturating_mul(4);
        if txn.writes.len() > self.writes || conditions > most || txn.writes.iter().any(large) {
            return (400, vec![]);
        }
        if txn.writes.len() > self.burst {
            return (429, vec![]);
        }
        for c in &txn.conditions {
            let stamp = self.keys.get(&c.key).map_or(0, |k| k.1);
            assert!(c.key == LEADER || stamp == c.version, "{}", c.key);
        }
        self.revision += 1;
        for w in txn.writes {
            match w {
                Write::Put { key, value, .. } => {
                    self.keys.insert(key, (value, self.revision));
                }
                Write::Delete { key } => drop(self.keys.remove(&key)),
            }
        }
        let answer = TxnAnswer {
            revision: self.revision,
            failed: vec![],
        };
        (200, encode(&answer))
    }
}

/// What becomes of transactions and their answers.
#[derive(Clone, Copy, PartialEq)]
pub enum Answers {
    AtOnce,
    /// Transactions are carried out; their answers come once others come at once again.
    Late,
    /// Transactions are carried out, their answers lost.
    Lost,
    /// Transactions are lost.
    Silent,
}

pub struct World {
    pub state: StateService,
    pub answers: Answers,
    late: Vec<(Call, CallResult)>,
    pub set: Settings,
    pub limits: StoreLimits,
    pub ms: Ms,
    pub transactions: usize,
    pub refused: usize,
    pub most_writes: usize,
    refused_at: Option<Ms>,
    replica: Replica,
    reads: Bucket,
    writes: Bucket,
    out: Out,
}

pub fn machine(n: usize) -> String {
    format!("host-{n:06}")
}

pub fn spec(id: &str, tasks: u32) -> stonegw_wire::msg::JobSpec {
    stonegw_wire::msg::JobSpec {
        id: id.into(),
        class: "class".into(),
        team: "red".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 2.0,
        image: "img-1".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 60.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

/// What a leader may use at the world's present time. A macro, so that it borrows only the parts it names.
macro_rules! context {
    ($world:expr, $proven:expr, $calls:expr) => {
        Ctx {
            proven: $proven,
            now: Now {
                ms: $world.ms,
                wall_ms: $world.ms,
            },
            set: &$world.set,
            may_resign: false,
            covered: $proven,
            replica: &mut $world.replica,
            reads: &mut $world.reads,
            writes: &mut $world.writes,
            limits: &mut $world.limits,
            out: &mut $world.out,
            calls: &mut $calls,
        }
    };
}

impl World {
    pub fn new(state: StateService, value_bytes: usize, txn_ops: usize) -> World {
        let set = Settings {
            node: "node-0".into(),
            zone: "a".into(),
            peers: vec![],
            zones: vec!["a".into()],
            teams: vec![],
            promises: vec![],
            report_s: 4.0,
            lease_s: 24.0,
            cancel_s: 54.0,
            gang_wait_s: 35.0,
            gang_peer_s: 8.0,
            state_rps: 100.0,
            state_write_rps: 60.0,
            value_bytes,
            txn_ops,
            cloud_rps: 1.0,
            list_lag_s: 1.0,
            max_sockets: 1_000,
            tuning: Default::default(),
        };
        World {
            state,
            answers: Answers::AtOnce,
            late: vec![],
            limits: StoreLimits::new(&set),
            set,
            ms: 1_000,
            transactions: 0,
            refused: 0,
            most_writes: 0,
            refused_at: None,
            replica: Replica::default(),
            reads: Bucket::new(100.0, 100.0),
            writes: Bucket::new(60.0, 60.0),
            out: Out {
                actions: vec![],
                next_call: 0,
            },
        }
    }

    /// A leader that has loaded what is stored.
    pub fn lead(&mut self, term: u64) -> Leader {
        let catalog = Catalog { types: vec![] };
        let mut leader = Leader::new(term, 1, self.ms, self.ms, catalog, &self.set);
        leader.lower_value_bytes(self.limits.value_bytes());
        for (key, (value, version)) in &self.state.keys {
            if let Value::Shard(record) = value {
                let entry = Entry {
                    key: key.clone(),
                    value: record.clone(),
                    version: *version,
                    lease: None,
                };
                leader.load_shard(self.ms, entry);
            }
        }
        leader.stage = Stage::Active;
        leader
    }

    pub fn submit(&mut self, leader: &mut Leader, id: &str, tasks: u32) {
        let work = Work::new(spec(id, tasks), 0);
        leader.works.insert(id.into(), work);
    }

    /// What a whole turn of the leader sends, by its paths. `proven`: see [`Ctx`].
    pub fn sent_in_turn(&mut self, leader: &mut Leader, proven: bool) -> Vec<String> {
        self.ms += 100;
        let mut calls = vec![];
        let mut ctx = context!(self, proven, calls);
        leader.advance(&mut ctx);
        let path = |action| match action {
            crate::api::Action::Call { path, .. } => Some(path),
            _ => None,
        };
        std::mem::take(&mut ctx.out.actions)
            .into_iter()
            .filter_map(path)
            .collect()
    }

    /// A machine reports.
    pub fn hear(&mut self, leader: &mut Leader, report: Report) {
        let mut calls = vec![];
        let mut ctx = context!(self, true, calls);
        leader.beat(&mut ctx, report);
    }

    /// A tenth of a second: what is due is written, and the answer comes.
    pub fn turn(&mut self, leader: &mut Leader) {
        self.ms += 100;
        let mut calls = vec![];
        let mut ctx = context!(self, true, calls);
        leader.now_ms = ctx.now.ms;
        leader.lower_value_bytes(ctx.limits.value_bytes());
        if self.answers == Answers::AtOnce {
            for (call, result) in std::mem::take(&mut self.late) {
                leader.call_done(&mut ctx, call, result);
            }
        }
        leader.flush(&mut ctx);
        let actions = std::mem::take(&mut ctx.out.actions);
        let sent = std::mem::take(ctx.calls);
        for (action, (_, call)) in actions.into_iter().zip(sent) {
            let crate::api::Action::Call { path, body, .. } = action else {
                continue;
            };
            if let Some(key) = path.strip_prefix("/kv/") {
                let answer = self.state.read(key);
                leader.call_done(&mut ctx, call, Ok(answer));
                continue;
            }
            let txn: Txn<Value> = decode(&body).expect("a transaction");
            let pause = self.refused_at.map_or(Ms::MAX, |at| self.ms - at);
            assert!(pause >= k::STATE_RETRY_MS, "busy: again after {pause} ms");
            self.transactions += 1;
            self.most_writes = self.most_writes.max(txn.writes.len());
            if self.answers == Answers::Silent {
                leader.call_done(&mut ctx, call, Err(CallError::Unknown));
                continue;
            }
            let answer = self.state.apply(txn);
            self.refused += usize::from(answer.0 == 400);
            self.refused_at = (answer.0 != 200).then_some(self.ms);
            match self.answers {
                Answers::Late => self.late.push((call, Ok(answer))),
                Answers::Lost => leader.call_done(&mut ctx, call, Err(CallError::Unknown)),
                Answers::AtOnce | Answers::Silent => leader.call_done(&mut ctx, call, Ok(answer)),
            }
        }
    }
}
