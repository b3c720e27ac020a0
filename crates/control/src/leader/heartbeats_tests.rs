use crate::api::Millis;
use crate::cluster::{Phase, Placement};
use crate::leader::fixture_tests::{heartbeat, machine_id, FakeStore, LeaderFixture};
use crate::leader::Leader;
use stonegw_wire::msg::{Command, Heartbeat, TaskState, TaskStatus};

const TERM: u64 = 5;
const RAISED_TOKEN: u64 = 12;
const ATTEMPT: u64 = 5_000_001;

/// Another node may have raised the worker's token while it renewed the worker's lease. The worker
/// drops a reply with a lower token, which would let its lease expire.
#[test]
fn replies_carry_the_raised_token_of_the_worker() {
    let mut fixture = LeaderFixture::new(FakeStore::default(), 8 * 1024, 8);
    let mut leader = fixture.start_leader(TERM);
    fixture.read_leader_key(TERM, RAISED_TOKEN);
    let tokens: Vec<u64> = [heartbeat(1, TERM), heartbeat(2, RAISED_TOKEN)]
        .into_iter()
        .filter_map(|heartbeat| fixture.deliver_heartbeat(&mut leader, heartbeat))
        .map(|reply| reply.fencing_token)
        .collect();
    assert_eq!(tokens, [TERM, RAISED_TOKEN]);
    let machine = leader.cluster.machines.get(&machine_id(0));
    assert!(machine.is_some_and(|machine| machine.under_current_term));
    assert!(!leader.deposed);
}

/// A token that this node has not read may be a later leader's term. Only once the store shows that
/// it is not may the leader answer the worker.
#[test]
fn a_token_that_was_not_read_gets_no_reply() {
    let mut fixture = LeaderFixture::new(FakeStore::default(), 8 * 1024, 8);
    let mut leader = fixture.start_leader(TERM);
    fixture.read_leader_key(TERM, RAISED_TOKEN - 1);
    let unread = heartbeat(1, RAISED_TOKEN);
    assert_eq!(fixture.deliver_heartbeat(&mut leader, unread.clone()), None);
    assert_eq!(leader.highest_observed_token, RAISED_TOKEN);
    fixture.read_leader_key(TERM, RAISED_TOKEN);
    let reply = fixture.deliver_heartbeat(&mut leader, unread.clone());
    assert_eq!(reply.map(|reply| reply.fencing_token), Some(RAISED_TOKEN));
    // The store shows a later leader.
    fixture.read_leader_key(RAISED_TOKEN + 1, RAISED_TOKEN + 1);
    let later = heartbeat(2, RAISED_TOKEN + 1);
    assert_eq!(fixture.deliver_heartbeat(&mut leader, later), None);
}

/// A leader whose direct start command of a task had no answer; the job was cancelled `age_ms` ago.
fn leader_with_unanswered_start(fixture: &mut LeaderFixture, age_ms: Millis) -> Leader {
    let mut leader = fixture.start_leader(TERM);
    fixture.read_leader_key(TERM, RAISED_TOKEN);
    fixture.now_ms += age_ms;
    fixture.deliver_heartbeat(&mut leader, heartbeat(1, TERM));
    if let Some(mut machine) = leader.cluster.machines.edit(&machine_id(0)) {
        machine.commands.record_unanswered_start(TERM);
        machine.placements.push(Placement {
            sent_directly: true,
            stop_grace_s: Some(0.0),
            cancelled_at: Some(fixture.now_ms - age_ms),
            ..Placement::new("run-1", 0, ATTEMPT, Phase::Sent)
        });
    }
    leader
}

fn placement_count(leader: &Leader) -> usize {
    let machine = leader.cluster.machines.get(&machine_id(0));
    machine.map_or(0, |machine| machine.placements.len())
}

/// A start command that may still arrive must be rejected by its worker, without a start of the
/// cancelled task. Once the worker shows the raised token, its report proves that the task never
/// started.
#[test]
fn an_unwanted_start_is_rejected_by_a_raised_token() {
    let mut fixture = LeaderFixture::new(FakeStore::default(), 8 * 1024, 8);
    let mut leader = leader_with_unanswered_start(&mut fixture, 0);
    fixture.raised_token = Some(RAISED_TOKEN);
    let reply = fixture.deliver_heartbeat(&mut leader, heartbeat(2, TERM));
    let reply = reply.expect("the heartbeat is answered");
    assert_eq!(reply.fencing_token, RAISED_TOKEN);
    assert!(matches!(reply.commands[..], [Command::Stop { .. }]));
    // The reply was lost, so the start may still arrive, and the token can't be raised any more.
    fixture.raised_token = None;
    let reply = fixture.deliver_heartbeat(&mut leader, heartbeat(3, TERM));
    assert_eq!(
        reply.map(|reply| reply.fencing_token),
        Some(RAISED_TOKEN),
        "no later command may carry a lower token"
    );
    assert_eq!(placement_count(&leader), 1);
    fixture.deliver_heartbeat(&mut leader, heartbeat(4, RAISED_TOKEN));
    assert_eq!(placement_count(&leader), 0);
}

/// While tokens can't be raised, the attempt is used up by a start and a stop together, but not
/// when the task would be on its machine beyond the deadline of its cancellation.
#[test]
fn a_task_cancelled_long_ago_is_not_started_to_be_stopped() {
    let fixture = LeaderFixture::new(FakeStore::default(), 8 * 1024, 8);
    let deadline_ms = (fixture.settings.cancellation_deadline_s * 1e3) as Millis;
    for (age_ms, starts) in [(0, 1), (deadline_ms / 4, 1), (deadline_ms, 0)] {
        let mut fixture = LeaderFixture::new(FakeStore::default(), 8 * 1024, 8);
        let mut leader = leader_with_unanswered_start(&mut fixture, age_ms);
        let reply = fixture.deliver_heartbeat(&mut leader, heartbeat(2, TERM));
        let commands = reply.expect("the heartbeat is answered").commands;
        let is_start = |command: &&Command| matches!(command, Command::Start { .. });
        assert_eq!(commands.iter().filter(is_start).count(), starts, "{age_ms}");
        assert!(matches!(commands.last(), Some(Command::Stop { .. })));
        assert_eq!(placement_count(&leader), 1);
    }
}

/// A leader whose machine, at heartbeat 10, holds a task that was started directly.
fn leader_with_started_task(fixture: &mut LeaderFixture) -> Leader {
    let mut leader = fixture.start_leader(TERM);
    fixture.read_leader_key(TERM, RAISED_TOKEN);
    fixture.raised_token = Some(RAISED_TOKEN);
    fixture.deliver_heartbeat(&mut leader, heartbeat(10, TERM));
    if let Some(mut machine) = leader.cluster.machines.edit(&machine_id(0)) {
        machine.commands.record_start_sent(TERM);
        machine.placements.push(Placement {
            sent_directly: true,
            ..Placement::new("run-1", 0, ATTEMPT, Phase::Running)
        });
    }
    leader
}

/// A worker that restarted without memory would execute a copy of an earlier start command, which
/// carries the first incarnation and a token that the worker does not remember. Its token is
/// raised, and a heartbeat with the raised token proves that the tasks before the restart are gone.
#[test]
fn a_worker_that_restarted_without_memory_gets_a_raised_token() {
    let mut fixture = LeaderFixture::new(FakeStore::default(), 8 * 1024, 8);
    let mut leader = leader_with_started_task(&mut fixture);
    let reply = fixture.deliver_heartbeat(&mut leader, heartbeat(1, 0));
    assert_eq!(reply.map(|reply| reply.fencing_token), Some(RAISED_TOKEN));
    assert_eq!(placement_count(&leader), 1, "it may be a late copy");
    fixture.deliver_heartbeat(&mut leader, heartbeat(2, RAISED_TOKEN));
    assert_eq!(placement_count(&leader), 0);
    let machine = leader.cluster.machines.get(&machine_id(0));
    let machine = machine.expect("known machine");
    assert_eq!((machine.incarnation, machine.sequence), (1, 2));
    assert!(!machine.restart_suspected);
    // A late copy of a heartbeat from before the restart changes nothing.
    fixture.deliver_heartbeat(&mut leader, heartbeat(11, TERM));
    let machine = leader.cluster.machines.get(&machine_id(0));
    assert!(machine.is_some_and(|machine| machine.sequence == 2));
}

/// A start command with the raised token may be on its way to a worker that restarted. The worker
/// would execute it, so no heartbeat with that token proves that the task is gone.
#[test]
fn a_restart_proves_nothing_while_a_start_with_its_token_may_arrive() {
    let mut fixture = LeaderFixture::new(FakeStore::default(), 8 * 1024, 8);
    let mut leader = leader_with_started_task(&mut fixture);
    fixture.deliver_heartbeat(&mut leader, heartbeat(1, 0));
    if let Some(mut machine) = leader.cluster.machines.edit(&machine_id(0)) {
        machine.commands.record_start_sent(RAISED_TOKEN);
    }
    fixture.deliver_heartbeat(&mut leader, heartbeat(2, RAISED_TOKEN));
    assert_eq!(placement_count(&leader), 1);
    // The next reply raises the token once more.
    fixture.raised_token = Some(RAISED_TOKEN + 1);
    fixture.read_leader_key(TERM, RAISED_TOKEN + 1);
    let reply = fixture.deliver_heartbeat(&mut leader, heartbeat(3, RAISED_TOKEN));
    assert_eq!(
        reply.map(|reply| reply.fencing_token),
        Some(RAISED_TOKEN + 1)
    );
    fixture.deliver_heartbeat(&mut leader, heartbeat(4, RAISED_TOKEN + 1));
    assert_eq!(placement_count(&leader), 0);
}

/// A worker whose first heartbeats after a restart are lost may report with the old token, because
/// it executed a copy of a command. Its heartbeats look like late copies, but the machine is silent
/// otherwise.
#[test]
fn an_old_heartbeat_of_a_silent_machine_raises_its_token() {
    let mut fixture = LeaderFixture::new(FakeStore::default(), 8 * 1024, 8);
    let mut leader = leader_with_started_task(&mut fixture);
    let reply = fixture.deliver_heartbeat(&mut leader, heartbeat(2, TERM));
    assert_eq!(reply.map(|reply| reply.fencing_token), Some(TERM));
    fixture.now_ms += (fixture.settings.worker_lease_s * 1e3) as Millis;
    let reply = fixture.deliver_heartbeat(&mut leader, heartbeat(3, TERM));
    assert_eq!(reply.map(|reply| reply.fencing_token), Some(RAISED_TOKEN));
}

/// Records of the store hold heartbeats from an earlier term long after it. If they made the leader
/// suspect restarts, it would send no direct commands to healthy machines.
#[test]
fn an_old_relayed_heartbeat_raises_no_suspicion() {
    let mut fixture = LeaderFixture::new(FakeStore::default(), 8 * 1024, 8);
    let mut leader = leader_with_started_task(&mut fixture);
    fixture.relay_heartbeat(&mut leader, heartbeat(9, TERM - 1));
    let machine = leader.cluster.machines.get(&machine_id(0));
    assert!(machine.is_some_and(|machine| !machine.restart_suspected && !machine.via_store));
}

/// A worker that restarted may already have executed a copy of a start command when its heartbeats
/// still look like late copies.
#[test]
fn an_old_heartbeat_stops_tasks_of_cancelled_jobs() {
    let mut fixture = LeaderFixture::new(FakeStore::default(), 8 * 1024, 8);
    let mut leader = leader_with_started_task(&mut fixture);
    fixture.read_cancelled_job("run-1", RAISED_TOKEN);
    let task = TaskStatus {
        task_id: "run-1/0".into(),
        attempt: ATTEMPT,
        state: TaskState::Running,
        exit_cause: None,
        progress_saved: None,
    };
    let old = Heartbeat {
        tasks: vec![task],
        ..heartbeat(1, TERM)
    };
    let reply = fixture.deliver_heartbeat(&mut leader, old);
    let commands = reply.expect("the heartbeat is answered").commands;
    assert!(matches!(commands[..], [Command::Stop { .. }]));
}
