//! The stand-in's state service refuses what is beyond its limits, also after they were lowered.
use serde_json::{json, Value};
use stonegw_testkit::stand_ins::{KeyValueStore, Ms, StoreLimits};
use stonegw_wire::msg::{encode, Condition, Txn, Write};

fn store_with_limits(value_bytes: usize, txn_ops: usize, write_rps: f64) -> KeyValueStore {
    let mut state = KeyValueStore::default();
    state.limits = StoreLimits {
        max_value_bytes: value_bytes,
        max_transaction_writes: txn_ops,
        max_writes_per_second: write_rps,
    };
    state
}

fn put_write(key: &str, value: Value) -> Write<Value> {
    Write::Put {
        key: key.into(),
        value,
        lease_id: None,
    }
}

fn submit_transaction(
    state: &mut KeyValueStore,
    now: Ms,
    writes: Vec<Write<Value>>,
    conditions: usize,
) -> u16 {
    let condition = Condition {
        key: "none".into(),
        revision: 0,
    };
    let txn = Txn {
        conditions: vec![condition; conditions],
        writes,
    };
    let answer = state.handle_request(now, "POST", "/multi", &encode(&txn));
    answer.expect("an answer").0
}

fn small_writes(count: usize) -> Vec<Write<Value>> {
    (0..count)
        .map(|n| put_write(&format!("k/{n}"), json!(n)))
        .collect()
}

#[test]
fn a_larger_value_or_transaction_is_refused_with_400() {
    let mut state = store_with_limits(10, 4, 1_000.0);
    assert_eq!(
        submit_transaction(&mut state, 0, vec![put_write("a", json!("12345678"))], 0),
        200
    );
    assert_eq!(
        submit_transaction(&mut state, 0, vec![put_write("a", json!("123456789"))], 0),
        400
    );
    assert_eq!(submit_transaction(&mut state, 0, small_writes(4), 16), 200);
    assert_eq!(submit_transaction(&mut state, 0, small_writes(5), 0), 400);
    assert_eq!(submit_transaction(&mut state, 0, small_writes(1), 17), 400);
}

#[test]
fn changes_beyond_the_rate_are_refused_with_429_and_one_second_may_come_at_once() {
    let mut state = store_with_limits(100, 100, 10.0);
    assert_eq!(
        submit_transaction(&mut state, 1_000, small_writes(10), 0),
        200
    );
    assert_eq!(
        submit_transaction(&mut state, 1_000, small_writes(1), 0),
        429
    );
    assert_eq!(
        submit_transaction(&mut state, 1_500, small_writes(6), 0),
        429
    );
    assert_eq!(
        submit_transaction(&mut state, 1_500, small_writes(5), 0),
        200
    );
}

#[test]
fn what_is_stored_stays_readable_under_lower_limits() {
    let mut state = store_with_limits(100, 4, 100.0);
    let long = "x".repeat(90);
    assert_eq!(
        submit_transaction(&mut state, 0, vec![put_write("a", json!(long))], 0),
        200
    );
    state.limits.max_value_bytes = 50;
    assert_eq!(
        submit_transaction(&mut state, 0, vec![put_write("a", json!(long))], 0),
        400
    );
    let (status, _) = state
        .handle_request(0, "GET", "/kv/a", &[])
        .expect("an answer");
    assert_eq!(status, 200);
}
