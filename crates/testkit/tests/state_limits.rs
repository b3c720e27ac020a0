//! The stand-in's state service refuses what is beyond its limits, also after they were lowered.
use serde_json::{json, Value};
use stonegw_testkit::outside::{Limits, Ms, State};
use stonegw_wire::msg::{encode, Condition, Txn, Write};

fn state(value_bytes: usize, txn_ops: usize, write_rps: f64) -> State {
    let mut state = State::default();
    state.limits = Limits {
        value_bytes,
        txn_ops,
        write_rps,
    };
    state
}

fn put(key: &str, value: Value) -> Write<Value> {
    Write::Put {
        key: key.into(),
        value,
        lease: None,
    }
}

fn write(state: &mut State, now: Ms, writes: Vec<Write<Value>>, conditions: usize) -> u16 {
    let condition = Condition {
        key: "none".into(),
        version: 0,
    };
    let txn = Txn {
        conditions: vec![condition; conditions],
        writes,
    };
    let answer = state.handle(now, "POST", "/multi", &encode(&txn));
    answer.expect("an answer").0
}

fn small(count: usize) -> Vec<Write<Value>> {
    (0..count)
        .map(|n| put(&format!("k/{n}"), json!(n)))
        .collect()
}

#[test]
fn a_larger_value_or_transaction_is_refused_with_400() {
    let mut state = state(10, 4, 1_000.0);
    assert_eq!(
        write(&mut state, 0, vec![put("a", json!("12345678"))], 0),
        200
    );
    assert_eq!(
        write(&mut state, 0, vec![put("a", json!("123456789"))], 0),
        400
    );
    assert_eq!(write(&mut state, 0, small(4), 16), 200);
    assert_eq!(write(&mut state, 0, small(5), 0), 400);
    assert_eq!(write(&mut state, 0, small(1), 17), 400);
}

#[test]
fn changes_beyond_the_rate_are_refused_with_429_and_one_second_may_come_at_once() {
    let mut state = state(100, 100, 10.0);
    assert_eq!(write(&mut state, 1_000, small(10), 0), 200);
    assert_eq!(write(&mut state, 1_000, small(1), 0), 429);
    assert_eq!(write(&mut state, 1_500, small(6), 0), 429);
    assert_eq!(write(&mut state, 1_500, small(5), 0), 200);
}

#[test]
fn what_is_stored_stays_readable_under_lower_limits() {
    let mut state = state(100, 4, 100.0);
    let long = "x".repeat(90);
    assert_eq!(write(&mut state, 0, vec![put("a", json!(long))], 0), 200);
    state.limits.value_bytes = 50;
    assert_eq!(write(&mut state, 0, vec![put("a", json!(long))], 0), 400);
    let (status, _) = state.handle(0, "GET", "/kv/a", &[]).expect("an answer");
    assert_eq!(status, 200);
}
