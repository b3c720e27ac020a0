use super::*;

pub(in crate::node) fn settings(write_rps: f64, txn_ops: usize) -> Settings {
    Settings {
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
        state_write_rps: write_rps,
        value_bytes: 8 * 1024,
        txn_ops,
        cloud_rps: 1.0,
        list_lag_s: 1.0,
        max_sockets: 1_000,
        tuning: Default::default(),
    }
}

fn report(machine: &str) -> Report {
    Report {
        machine: machine.into(),
        addr: "10.0.0.1:9000".into(),
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        session: 1,
        seq: 1,
        token: 1,
        notice_s: None,
        tasks: vec![],
    }
}

/// The transaction that is sent in this turn, if any, and the call for it.
fn sent(node: &mut Node, ms: Ms) -> Option<(Txn<Value>, Call)> {
    node.now.ms = ms;
    node.advance_via_state();
    let actions = std::mem::take(&mut node.out.actions);
    let Action::Call { call, body, .. } = actions.into_iter().next()? else {
        return None;
    };
    let call = node.calls.remove(&call)?;
    Some((decode(&body).expect("a transaction"), call))
}

/// Reports that a lowered limit refuses were passed over until something else changed on their machines.
#[test]
fn refused_far_reports_are_handed_on_in_smaller_parts() {
    let mut node = Node::new(settings(60.0, 8), 1);
    node.sync = Sync::Live;
    for n in 0..60 {
        let id = format!("host-{n}");
        node.reports_via_state
            .insert(id.clone(), (report(&id), true, 0));
        node.redirected.insert(id, 0);
    }
    let (most, value_bytes) = (1, 2 * 1024);
    let mut handed = HashSet::new();
    let mut refused = 0;
    for turn in 1..200 {
        let Some((txn, Call::ReportsViaState { machines, size })) = sent(&mut node, turn * 100)
        else {
            continue;
        };
        assert_eq!(txn.writes.len(), size.writes);
        let large = |w: &Write<Value>| match w {
            Write::Put { value, .. } => {
                assert!(json_len(value) <= node.limits.value_bytes());
                assert!(json_len(value) <= size.largest);
                json_len(value) > value_bytes
            }
            Write::Delete { .. } => false,
        };
        let refuse = txn.writes.len() > most || txn.writes.iter().any(large);
        refused += usize::from(refuse);
        let status = if refuse { 400 } else { 200 };
        if !refuse {
            handed.extend(machines.clone());
        }
        node.stored_via_state(machines, size, Ok((status, vec![])));
    }
    assert_eq!(handed.len(), 60);
    assert!((1..20).contains(&refused), "{refused}");
}

/// With small values one transaction would hold more records than a node has slots: the last would
/// take the place of the first, and those reports would never arrive.
#[test]
fn no_far_record_takes_the_place_of_another_in_its_transaction() {
    let mut node = Node::new(settings(60.0, 32), 1);
    node.limits.lower_value_to(2 * 1024);
    node.sync = Sync::Live;
    for n in 0..400 {
        let id = format!("host-{n}");
        node.reports_via_state
            .insert(id.clone(), (report(&id), true, 0));
        node.redirected.insert(id, 0);
    }
    let mut handed = 0;
    for turn in 1..100 {
        let Some((txn, Call::ReportsViaState { machines, .. })) = sent(&mut node, turn * 100)
        else {
            continue;
        };
        handed += machines.len();
        let key = |w: &Write<Value>| match w {
            Write::Put { key, .. } | Write::Delete { key } => key.clone(),
        };
        let keys: HashSet<String> = txn.writes.iter().map(key).collect();
        assert_eq!(keys.len(), txn.writes.len());
    }
    assert!(handed >= 400, "{handed}");
}

/// A transaction larger than what may be written in a second would be refused whenever it is sent.
#[test]
fn a_burst_is_no_larger_than_a_second_allows() {
    for (write_rps, txn_ops) in [(10.0, 32), (18.0, 4), (60.0, 32)] {
        let mut node = Node::new(settings(write_rps, txn_ops), 1);
        node.role = Role::Leading;
        node.share_budgets();
        let burst = node.writes.level(3_600_000);
        assert!(burst <= write_rps, "{burst}");
        assert!(burst >= write_rps.min(txn_ops as f64), "{burst}");
    }
}

/// After a pause what was known before covers no lease: another may lead, and cancellations may have been
/// confirmed. Only what was asked for since then does.
#[test]
fn a_pause_ends_the_permission_to_renew_leases_until_a_read() {
    let mut set = settings(60.0, 8);
    set.peers = vec!["node-1".into()];
    let mut node = Node::new(set, 1);
    let turn = |node: &mut Node, ms| {
        node.handle(Now { ms, wall_ms: ms }, [Event::Tick]);
    };
    turn(&mut node, 1_000);
    node.coverage.read(1_000);
    assert!(node.covered());
    turn(&mut node, 1_000 + k::PAUSE_MS);
    assert!(!node.covered(), "nothing was asked for since");
    // The answer to what was asked before the pause.
    node.coverage.read(1_000);
    assert!(!node.covered());
    node.coverage.read(1_000 + k::PAUSE_MS);
    assert!(node.covered());
}

/// Reports that waited for the leader through a pause are refused, and not passed on as if they were new.
#[test]
fn stale_relays_are_refused_after_a_pause() {
    let mut set = settings(60.0, 8);
    set.peers = vec!["node-1".into()];
    let mut node = Node::new(set, 1);
    node.handle(
        Now {
            ms: 1_000,
            wall_ms: 0,
        },
        [Event::Tick],
    );
    let until = 1_000 + k::RELAY_TIMEOUT_MS;
    node.relays.insert(1, (7, until, report("host-1")));
    let ms = until + 5_000;
    let actions = node.handle(Now { ms, wall_ms: 0 }, [Event::Tick]);
    let refused = |action: &Action| {
        matches!(
            action,
            Action::Reply {
                id: 7,
                status: 503,
                ..
            }
        )
    };
    assert!(actions.iter().any(refused));
    assert!(node.relays.is_empty() && node.reports_via_state.is_empty());
}

/// A cut may part thousands of machines from the leader: how many reports a transaction takes follows from what
/// the state service allows, not from a number of records chosen for smaller fleets.
#[test]
fn reports_of_many_machines_take_all_that_a_transaction_holds() {
    let (machines, writes) = (2_000, 32);
    let mut set = settings(1_000.0, writes);
    set.value_bytes = 1024;
    let mut node = Node::new(set, 1);
    node.sync = Sync::Live;
    for n in 0..machines {
        let id = format!("host-{n}");
        node.reports_via_state
            .insert(id.clone(), (report(&id), true, 0));
        node.redirected.insert(id, 0);
    }
    let (txn, _) = sent(&mut node, 5_000).expect("due");
    assert_eq!(txn.writes.len(), writes);
    let key = |write: &Write<Value>| match write {
        Write::Put { key, .. } | Write::Delete { key } => key.clone(),
    };
    let first: HashSet<String> = txn.writes.iter().map(key).collect();
    let (txn, _) = sent(&mut node, 5_000 + k::FAR_GAP_MS).expect("due");
    assert!(txn.writes.iter().all(|write| !first.contains(&key(write))));
}
