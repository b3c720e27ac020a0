//! Records and transactions whose encoding by the version in production is stored as fixtures.
//! `crates/control/tests/fixtures/records.rs` builds the same values with this version's names.
use super::values::{idle_report, job, report, Visitor};
use stonegw_control::records::*;
use stonegw_wire::msg::{Change, Changes, Condition, Entry, JobKind, Listing, Txn, Write};

const AT: u64 = 1_764_650_000_000;

fn jobs() -> Vec<(&'static str, JobRecord)> {
    let array = JobRecord::submitted(&job(412, JobKind::Array, true), AT);
    let least_array = JobRecord::submitted(&job(413, JobKind::Array, false), AT);
    let service = JobRecord::submitted(&job(414, JobKind::Service, true), AT);
    let least_service = JobRecord::submitted(&job(415, JobKind::Service, false), AT);
    let mut done = array.clone();
    done.spec = None;
    done.end = Some(End::Done);
    let mut done_seen = done.clone();
    done_seen.seen = Some(Seen {
        class: "train".into(),
        ratio: 1.25,
    });
    let cancelled = service.cancelled();
    vec![
        ("job_array", array),
        ("job_array_least", least_array),
        ("job_service", service),
        ("job_service_least", least_service),
        ("job_done", done),
        ("job_done_seen", done_seen),
        ("job_cancelled", cancelled),
    ]
}

fn leader() -> LeaderRecord {
    LeaderRecord {
        node: "hearth-2".into(),
        nonce: 0x000f_1234_5678_9abc,
        lease: 7,
    }
}

fn far() -> FarRecord {
    FarRecord {
        via: "hearth-3".into(),
        reports: vec![report(), idle_report()],
    }
}

fn done() -> DoneRecord {
    let mut bits = Bitmap::default();
    for task in [0, 1, 7, 8, 700] {
        bits.set(task);
    }
    DoneRecord {
        bits: bits.encode(0, 8_192),
        runs: 5,
        run_s: 238.5,
    }
}

/// Returns a record of the given number of machines with four tasks each.
fn shard(machines: usize) -> ShardRecord {
    let mut record = ShardRecord::default();
    if machines == 0 {
        return record;
    }
    record.teams = vec!["vision".into(), "speech".into()];
    for number in 0..4 {
        let id = format!("run-{:06}", 412 + number);
        record.jobs.push(JobRow(id, number % 2, 8.0, 1.0, 64.5));
    }
    for number in 0..machines {
        let tasks = (0..4).map(|row| TaskRow(row, number as u32, 41_000_000 + row as u64));
        record.machines.push(MachineRow(
            format!("host-{number:06}"),
            "g8".into(),
            "a".into(),
            number % 2 == 0,
            tasks.collect(),
        ));
    }
    record
}

/// Returns the record with as many machines as fit into a value of 8 KiB of JSON.
pub fn largest_shard() -> ShardRecord {
    let fits = |machines: &usize| stonegw_wire::msg::json_len(&shard(*machines)) <= 8 * 1024;
    let most = (1..1_000)
        .take_while(fits)
        .last()
        .expect("a record of one machine fits into 8 KiB");
    shard(most)
}

fn put(key: String, value: Value, lease: Option<u64>) -> Write<Value> {
    Write::Put { key, value, lease }
}

/// Returns a transaction that puts every kind of record and deletes one.
fn transaction() -> Txn<Value> {
    let job = jobs().remove(0).1;
    Txn {
        conditions: vec![Condition {
            key: LEADER.into(),
            version: 412,
        }],
        writes: vec![
            put(LEADER.into(), Value::Leader(leader()), Some(7)),
            put(job_key("run-000412"), Value::Job(Box::new(job)), None),
            put(shard_key(3), Value::Shard(shard(2)), None),
            put(done_key("run-000412", 0), Value::Done(done()), None),
            put(far_key("hearth-3", 5), Value::Far(Box::new(far())), None),
            Write::Delete { key: shard_key(4) },
        ],
    }
}

/// Returns entries of every kind that all nodes read under the prefix `c/`.
fn common() -> Vec<(String, Common)> {
    let records = jobs().into_iter().zip(412..);
    let jobs = records.map(|((_, record), number)| {
        let key = job_key(&format!("run-{number:06}"));
        (key, Common::Job(Box::new(record)))
    });
    let mut all: Vec<_> = jobs.collect();
    all.push((LEADER.into(), Common::Leader(leader())));
    all.push((far_key("hearth-3", 5), Common::Far(Box::new(far()))));
    all
}

fn listing() -> Listing<Common> {
    let entries = common().into_iter().zip(400..);
    let items = entries.map(|((key, value), version)| Entry {
        lease: (key == LEADER).then_some(7),
        key,
        value,
        version,
    });
    Listing {
        items: items.collect(),
        more: false,
        revision: 431,
    }
}

fn changes() -> Changes<Common> {
    let puts = common().into_iter().zip(400..);
    let mut events: Vec<_> = puts
        .map(|((key, value), version)| Change::Put {
            key,
            value,
            version,
        })
        .collect();
    events.push(Change::Delete {
        key: LEADER.into(),
        version: 431,
    });
    Changes {
        revision: 431,
        events,
    }
}

/// Passes all records, with the names of their fixtures, to the visitor.
pub fn records(visitor: &mut impl Visitor) {
    for (name, record) in jobs() {
        visitor.message(name, &record);
    }
    visitor.message("leader", &leader());
    visitor.message("far", &far());
    visitor.message("done", &done());
    visitor.message("shard_empty", &shard(0));
    visitor.message("shard_small", &shard(2));
    visitor.message("shard_near_8_kib", &largest_shard());
    visitor.message("transaction", &transaction());
    visitor.message("listing", &listing());
    visitor.message("changes", &changes());
}
