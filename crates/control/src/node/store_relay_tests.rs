use super::*;
use crate::api::Action;
use crate::node::calls::NodeCall;
use crate::node::fixture_tests::{follow_leader, heartbeat, node_serving_without_leader, settings};
use crate::records::StoredRecord;
use std::collections::HashSet;
use stonegw_constants::LEADER_PROBE_DELAY_MS;
use stonegw_wire::msg::{decode, json_size_bytes, Write};

/// Returns the transaction that is sent in this turn, if any, and the call for it.
fn take_sent_transaction(node: &mut Node, ms: Millis) -> Option<(Txn<StoredRecord>, StoreCall)> {
    node.now.monotonic_ms = ms;
    node.advance_store_relay();
    let actions = std::mem::take(&mut node.outbox.actions);
    let Action::Call { call_id, body, .. } = actions.into_iter().next()? else {
        return None;
    };
    let NodeCall::Store(call) = node.calls_in_flight.remove(&call_id)? else {
        return None;
    };
    Some((decode(&body).expect("the body is a transaction"), call))
}

fn written_key(write: &Write<StoredRecord>) -> String {
    match write {
        Write::Put { key, .. } | Write::Delete { key } => key.clone(),
    }
}

/// Heartbeats rejected because of a lowered limit used to be skipped until something else changed
/// on their machines.
#[test]
fn rejected_relayed_heartbeats_are_resent_in_smaller_batches() {
    let mut node = node_serving_without_leader(settings(60.0, 8), 60);
    let (max_writes, max_value_bytes) = (1, 2 * 1024);
    let mut delivered = HashSet::new();
    let mut rejections = 0;
    for turn in 1..200 {
        let Some((txn, StoreCall::RelayHeartbeats { machines, size })) =
            take_sent_transaction(&mut node, turn * 100)
        else {
            continue;
        };
        assert_eq!(txn.writes.len(), size.writes);
        let is_too_large = |write: &Write<StoredRecord>| match write {
            Write::Put { value, .. } => {
                assert!(json_size_bytes(value) <= node.store_limits.max_value_bytes());
                assert!(json_size_bytes(value) <= size.largest_value_bytes);
                json_size_bytes(value) > max_value_bytes
            }
            Write::Delete { .. } => false,
        };
        let is_rejected = txn.writes.len() > max_writes || txn.writes.iter().any(is_too_large);
        rejections += usize::from(is_rejected);
        let status = if is_rejected { 400 } else { 200 };
        if !is_rejected {
            delivered.extend(machines.clone());
        }
        node.handle_store_relay_result(machines, size, Ok((status, vec![])));
    }
    assert_eq!(delivered.len(), 60);
    assert!((1..20).contains(&rejections), "{rejections}");
}

/// With small values, one transaction could hold more records than a node has slots. The last
/// records would overwrite the first ones, and the heartbeats in those would never reach the
/// leader.
#[test]
fn no_relayed_heartbeats_record_overwrites_another_in_its_transaction() {
    let mut node = node_serving_without_leader(settings(60.0, 32), 400);
    node.store_limits.set_max_value_bytes(2 * 1024);
    let mut delivered = 0;
    for turn in 1..100 {
        let Some((txn, StoreCall::RelayHeartbeats { machines, .. })) =
            take_sent_transaction(&mut node, turn * 100)
        else {
            continue;
        };
        delivered += machines.len();
        let keys: HashSet<String> = txn.writes.iter().map(written_key).collect();
        assert_eq!(keys.len(), txn.writes.len());
    }
    assert!(delivered >= 400, "{delivered}");
}

/// A partition may separate thousands of machines from the leader. The number of heartbeats in a
/// transaction must follow from the store's limits, not from a number of records chosen for smaller
/// clusters.
#[test]
fn heartbeats_of_many_machines_fill_a_transaction() {
    let (machines, max_writes) = (2_000, 32);
    let mut settings = settings(1_000.0, max_writes);
    settings.max_value_bytes = 1024;
    let mut node = node_serving_without_leader(settings, machines);
    let (txn, _) = take_sent_transaction(&mut node, 5_000).expect("a transaction is due");
    assert_eq!(txn.writes.len(), max_writes);
    let first: HashSet<String> = txn.writes.iter().map(written_key).collect();
    let (txn, _) = take_sent_transaction(&mut node, 5_000 + RELAYED_HEARTBEATS_INTERVAL_MS)
        .expect("a transaction is due");
    assert!(txn
        .writes
        .iter()
        .all(|write| !first.contains(&written_key(write))));
}

/// A worker without a token may have restarted without memory. It must get a token before a copy of
/// an earlier command arrives, and not be sent to look for the leader.
#[test]
fn a_worker_without_a_token_does_not_probe_for_the_leader() {
    let served_for_ms = LEADER_PROBE_DELAY_MS;
    for (fencing_token, status) in [(1, 421), (0, 200)] {
        let mut node = node_serving_without_leader(settings(60.0, 8), 1);
        follow_leader(&mut node, 1);
        node.cancellation_watermark.record_read(served_for_ms);
        node.now.monotonic_ms = served_for_ms;
        let heartbeat = Heartbeat {
            fencing_token,
            ..heartbeat("host-0")
        };
        node.handle_heartbeat_via_store(7, heartbeat, "node-1".into());
        let is_expected =
            |action: &Action| matches!(action, Action::Reply { status: s, .. } if *s == status);
        assert!(
            node.outbox.actions.iter().any(is_expected),
            "token {fencing_token}"
        );
    }
}
