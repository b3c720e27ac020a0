use super::*;
use crate::api::{Event, Now};
use crate::node::fixture_tests::{follow_leader, heartbeat, settings};
use crate::records::JobRecord;
use crate::test_support::job_spec;
use stonegw_constants::{HEARTBEAT_RELAY_TIMEOUT_MS, PROCESS_PAUSE_THRESHOLD_MS};
use stonegw_wire::frame::{to_padded_text, Cancellation};

fn node_with_a_peer() -> Node {
    let mut settings = settings(60.0, 8);
    settings.peers = vec!["node-1".into()];
    Node::new(settings, 1)
}

fn tick(node: &mut Node, ms: Millis) -> Vec<Action> {
    let now = Now {
        monotonic_ms: ms,
        wall_ms: ms,
    };
    node.handle(now, [Event::Tick])
}

/// After a pause, a node must not renew leases on the basis of what it read before: another node
/// may lead by now, and cancellations may have been confirmed. Only the response to a request sent
/// after the pause allows renewals again.
#[test]
fn a_pause_blocks_lease_renewal_until_a_read() {
    let mut node = node_with_a_peer();
    tick(&mut node, 1_000);
    node.cancellation_watermark.record_read(1_000);
    assert!(node.watermark_current());
    tick(&mut node, 1_000 + PROCESS_PAUSE_THRESHOLD_MS);
    assert!(
        !node.watermark_current(),
        "no read was sent after the pause"
    );
    // This is the response to a request sent before the pause.
    node.cancellation_watermark.record_read(1_000);
    assert!(!node.watermark_current());
    node.cancellation_watermark
        .record_read(1_000 + PROCESS_PAUSE_THRESHOLD_MS);
    assert!(node.watermark_current());
}

/// Heartbeats that waited for the leader during a pause are rejected instead of being relayed as if
/// they were new.
#[test]
fn stale_relays_are_rejected_after_a_pause() {
    let mut node = node_with_a_peer();
    tick(&mut node, 1_000);
    node.pending_relays.add(7, heartbeat("host-1"), 1_000);
    let actions = tick(&mut node, 1_000 + HEARTBEAT_RELAY_TIMEOUT_MS + 5_000);
    let is_rejection = |action: &Action| {
        matches!(
            action,
            Action::Reply {
                request_id: 7,
                status: 503,
                ..
            }
        )
    };
    assert!(actions.iter().any(is_rejection));
    assert!(node.pending_relays.is_empty() && node.store_relay.is_empty());
}

/// A start command of a job may be on its way to a worker whose lease this node renews without the
/// leader. Once the job is cancelled, the reply must make the worker reject the command, but not
/// while a node of an earlier version may take the token for a later leader's.
#[test]
fn leases_renewed_without_the_leader_fence_cancelled_jobs() {
    const TERM: u64 = 10;
    const CANCELLED_AT: u64 = 20;
    for (gate_is_open, expected_token) in [(false, TERM), (true, CANCELLED_AT)] {
        let mut node = node_with_a_peer();
        tick(&mut node, 1_000);
        node.cancellation_watermark.record_read(1_000);
        follow_leader(&mut node, TERM);
        let job = JobRecord::submitted(&job_spec("run-1", 1), 0);
        node.replica.put_job("run-1", job.cancelled(), CANCELLED_AT);
        node.replica.revision = CANCELLED_AT;
        if gate_is_open {
            node.feature_gate.open();
        }
        node.handle_heartbeat_via_store(7, heartbeat("host-1"), "node-1".into());
        let reply = std::mem::take(&mut node.outbox.actions)
            .into_iter()
            .find_map(|action| match action {
                Action::Reply {
                    request_id: 7,
                    status: 200,
                    body,
                    ..
                } => decode::<CommandBatch>(&body).ok(),
                _ => None,
            });
        let token = reply.map(|reply| reply.fencing_token);
        assert_eq!(token, Some(expected_token), "gate open: {gate_is_open}");
    }
}

/// A cancellation that a peer announced, but that this node can't read in the store, raises no
/// token. The node must not keep a worker alive longer than the cancellation allows, although the
/// answers of all peers keep its watermark current.
#[test]
fn leases_are_not_renewed_past_a_cancellation_that_raises_no_token() {
    let mut node = node_with_a_peer();
    let lag_ms = node.settings.max_watermark_lag_ms();
    tick(&mut node, 1_000);
    node.cancellation_watermark.record_read(1_000);
    follow_leader(&mut node, 10);
    node.replica.revision = 20;
    let job = JobRecord::submitted(&job_spec("run-1", 1), 0);
    node.replica.put_job("run-1", job, 15);
    let announced_at = 1_000 + 2 * lag_ms;
    let mut may_renew_at = |at: Millis| {
        node.now.monotonic_ms = at;
        node.cancellation_watermark
            .record_peer_answer(0, 1, 900, 900);
        node.cancellation_watermark.record_peer_answer(0, 1, at, at);
        if at == announced_at {
            let cancellation = Cancellation {
                job_id: to_padded_text("run-1"),
                revision: 25.into(),
            };
            node.handle_cancellations(&[cancellation]);
        }
        node.track_unread_cancellations();
        assert!(node.watermark_current());
        node.renewal_token(&heartbeat("host-1")).is_some()
    };
    assert!(may_renew_at(announced_at - 1));
    assert!(may_renew_at(announced_at));
    assert!(may_renew_at(announced_at + lag_ms));
    assert!(!may_renew_at(announced_at + lag_ms + 1));
}

/// A raised token that this node has read tells its peers nothing. A leader that has not read it yet
/// would stop, and could not go on during an outage of the store. A token that this node has not read
/// may be a later leader's, so its peers must hear of it.
#[test]
fn hellos_announce_only_tokens_of_unknown_terms() {
    let mut node = node_with_a_peer();
    tick(&mut node, 1_000);
    follow_leader(&mut node, 10);
    node.replica.revision = 20;
    for (observed_token, announced) in [(15, 10), (20, 10), (21, 21)] {
        node.observe_token(observed_token);
        node.handle_link_up(0);
        let hello = std::mem::take(&mut node.outbox.actions)
            .into_iter()
            .find_map(|action| match action {
                Action::SendFrame {
                    frame: Frame::Hello(hello),
                    ..
                } => Some(hello),
                _ => None,
            });
        let term = hello.map(|hello| hello.term.get());
        assert_eq!(term, Some(announced), "observed token {observed_token}");
    }
}
