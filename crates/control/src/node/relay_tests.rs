use super::*;
use crate::test_support::single_node_settings;
use stonegw_constants::{
    HEARTBEAT_RELAY_TIMEOUT_MS, PROCESS_PAUSE_THRESHOLD_MS, RELAYED_HEARTBEATS_INTERVAL_MS,
};

pub(in crate::node) fn settings(write_rps: f64, txn_ops: usize) -> Settings {
    Settings {
        store_writes_per_s: write_rps,
        max_transaction_writes: txn_ops,
        ..single_node_settings()
    }
}

fn heartbeat(machine: &str) -> Heartbeat {
    Heartbeat {
        machine_id: machine.into(),
        addr: "10.0.0.1:9000".into(),
        machine_type: "small".into(),
        zone: "a".into(),
        is_spot: false,
        incarnation: 1,
        sequence: 1,
        fencing_token: 1,
        eviction_in_s: None,
        tasks: vec![],
    }
}

/// The transaction that is sent in this turn, if any, and the call for it.
fn take_sent_transaction(node: &mut Node, ms: Millis) -> Option<(Txn<StoredRecord>, NodeCall)> {
    node.now.monotonic_ms = ms;
    node.advance_via_store();
    let actions = std::mem::take(&mut node.outbox.actions);
    let Action::Call {
        call_id: call,
        body,
        ..
    } = actions.into_iter().next()?
    else {
        return None;
    };
    let call = node.calls_in_flight.remove(&call)?;
    Some((decode(&body).expect("a transaction"), call))
}

/// Reports that a lowered limit refuses were passed over until something else changed on their machines.
#[test]
fn rejected_relayed_heartbeats_are_resent_in_smaller_batches() {
    let mut node = Node::new(settings(60.0, 8), 1);
    node.replica_sync = ReplicaSync::Live;
    for n in 0..60 {
        let id = format!("host-{n}");
        node.heartbeats_via_store
            .insert(id.clone(), (heartbeat(&id), true, 0));
        node.served_without_leader_since.insert(id, 0);
    }
    let (most, value_bytes) = (1, 2 * 1024);
    let mut handed = HashSet::new();
    let mut refused = 0;
    for turn in 1..200 {
        let Some((txn, NodeCall::HeartbeatsViaStore { machines, size })) =
            take_sent_transaction(&mut node, turn * 100)
        else {
            continue;
        };
        assert_eq!(txn.writes.len(), size.writes);
        let large = |w: &Write<StoredRecord>| match w {
            Write::Put { value, .. } => {
                assert!(json_size_bytes(value) <= node.store_limits.max_value_bytes());
                assert!(json_size_bytes(value) <= size.largest_value_bytes);
                json_size_bytes(value) > value_bytes
            }
            Write::Delete { .. } => false,
        };
        let refuse = txn.writes.len() > most || txn.writes.iter().any(large);
        refused += usize::from(refuse);
        let status = if refuse { 400 } else { 200 };
        if !refuse {
            handed.extend(machines.clone());
        }
        node.handle_via_store_result(machines, size, Ok((status, vec![])));
    }
    assert_eq!(handed.len(), 60);
    assert!((1..20).contains(&refused), "{refused}");
}

/// With small values one transaction would hold more records than a node has slots: the last would
/// take the place of the first, and those reports would never arrive.
#[test]
fn no_relayed_heartbeats_record_overwrites_another_in_its_transaction() {
    let mut node = Node::new(settings(60.0, 32), 1);
    node.store_limits.set_max_value_bytes(2 * 1024);
    node.replica_sync = ReplicaSync::Live;
    for n in 0..400 {
        let id = format!("host-{n}");
        node.heartbeats_via_store
            .insert(id.clone(), (heartbeat(&id), true, 0));
        node.served_without_leader_since.insert(id, 0);
    }
    let mut handed = 0;
    for turn in 1..100 {
        let Some((txn, NodeCall::HeartbeatsViaStore { machines, .. })) =
            take_sent_transaction(&mut node, turn * 100)
        else {
            continue;
        };
        handed += machines.len();
        let key = |w: &Write<StoredRecord>| match w {
            Write::Put { key, .. } | Write::Delete { key } => key.clone(),
        };
        let keys: HashSet<String> = txn.writes.iter().map(key).collect();
        assert_eq!(keys.len(), txn.writes.len());
    }
    assert!(handed >= 400, "{handed}");
}

/// A transaction larger than what may be written in a second would be refused whenever it is sent.
#[test]
fn write_burst_stays_within_one_second_of_writes() {
    for (write_rps, txn_ops) in [(10.0, 32), (18.0, 4), (60.0, 32)] {
        let mut node = Node::new(settings(write_rps, txn_ops), 1);
        node.role = Role::Leader;
        node.share_budgets();
        let burst = node.write_budget.available(3_600_000);
        assert!(burst <= write_rps, "{burst}");
        assert!(burst >= write_rps.min(txn_ops as f64), "{burst}");
    }
}

/// After a pause what was known before covers no lease: another may lead, and cancellations may have been
/// confirmed. Only what was asked for since then does.
#[test]
fn a_pause_blocks_lease_renewal_until_a_read() {
    let mut settings = settings(60.0, 8);
    settings.peers = vec!["node-1".into()];
    let mut node = Node::new(settings, 1);
    let turn = |node: &mut Node, ms| {
        node.handle(
            Now {
                monotonic_ms: ms,
                wall_ms: ms,
            },
            [Event::Tick],
        );
    };
    turn(&mut node, 1_000);
    node.cancellation_watermark.record_read(1_000);
    assert!(node.watermark_current());
    turn(&mut node, 1_000 + PROCESS_PAUSE_THRESHOLD_MS);
    assert!(!node.watermark_current(), "nothing was asked for since");
    // The answer to what was asked before the pause.
    node.cancellation_watermark.record_read(1_000);
    assert!(!node.watermark_current());
    node.cancellation_watermark
        .record_read(1_000 + PROCESS_PAUSE_THRESHOLD_MS);
    assert!(node.watermark_current());
}

/// Reports that waited for the leader through a pause are refused, and not passed on as if they were new.
#[test]
fn stale_relays_are_rejected_after_a_pause() {
    let mut settings = settings(60.0, 8);
    settings.peers = vec!["node-1".into()];
    let mut node = Node::new(settings, 1);
    node.handle(
        Now {
            monotonic_ms: 1_000,
            wall_ms: 0,
        },
        [Event::Tick],
    );
    let until = 1_000 + HEARTBEAT_RELAY_TIMEOUT_MS;
    node.pending_relays
        .insert(1, (7, until, heartbeat("host-1")));
    let ms = until + 5_000;
    let actions = node.handle(
        Now {
            monotonic_ms: ms,
            wall_ms: 0,
        },
        [Event::Tick],
    );
    let refused = |action: &Action| {
        matches!(
            action,
            Action::Reply {
                request_id: 7,
                status: 503,
                ..
            }
        )
    };
    assert!(actions.iter().any(refused));
    assert!(node.pending_relays.is_empty() && node.heartbeats_via_store.is_empty());
}

/// A cut may part thousands of machines from the leader: how many reports a transaction takes follows from what
/// the state service allows, not from a number of records chosen for smaller fleets.
#[test]
fn heartbeats_of_many_machines_fill_a_transaction() {
    let (machines, writes) = (2_000, 32);
    let mut settings = settings(1_000.0, writes);
    settings.max_value_bytes = 1024;
    let mut node = Node::new(settings, 1);
    node.replica_sync = ReplicaSync::Live;
    for n in 0..machines {
        let id = format!("host-{n}");
        node.heartbeats_via_store
            .insert(id.clone(), (heartbeat(&id), true, 0));
        node.served_without_leader_since.insert(id, 0);
    }
    let (txn, _) = take_sent_transaction(&mut node, 5_000).expect("due");
    assert_eq!(txn.writes.len(), writes);
    let key = |write: &Write<StoredRecord>| match write {
        Write::Put { key, .. } | Write::Delete { key } => key.clone(),
    };
    let first: HashSet<String> = txn.writes.iter().map(key).collect();
    let (txn, _) =
        take_sent_transaction(&mut node, 5_000 + RELAYED_HEARTBEATS_INTERVAL_MS).expect("due");
    assert!(txn.writes.iter().all(|write| !first.contains(&key(write))));
}
