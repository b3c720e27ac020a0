use super::*;
use crate::node::relay::tests::settings;

const QUESTIONS: u64 = 2_000;

/// A node whose copy of the jobs is live and holds one job.
fn live_node() -> Node {
    let mut node = Node::new(settings(60.0, 8), 1);
    node.sync = Sync::Live;
    node.replica.revision = 5;
    let record = JobRecord {
        tasks: 1,
        at: 0,
        spec: None,
        end: None,
        seen: None,
    };
    node.replica.put_job("run-1", record, 5);
    node
}

fn question(id: u64) -> Event {
    let request = Request {
        method: "GET".into(),
        path: "/submissions/run-1".into(),
        close: false,
        body: vec![],
    };
    Event::Request { id, request }
}

/// Calls that read the changes without waiting for any.
fn reads(actions: &[Action]) -> Vec<u64> {
    let read = |action: &Action| match action {
        Action::Call { call, path, .. } if path.ends_with("holdMs=0") => Some(*call),
        _ => None,
    };
    actions.iter().filter_map(read).collect()
}

/// The work of a storm: questions that wait together share one read of the state service, and those that
/// come while it is under way share the next, a few a second at most.
#[test]
fn questions_that_come_together_cost_one_read() {
    let mut node = live_node();
    let now = |ms| Now { ms, wall_ms: ms };
    let actions = node.handle(now(1_000), (0..QUESTIONS).map(question));
    let read = reads(&actions);
    assert_eq!(read.len(), 1);
    let more = (QUESTIONS..2 * QUESTIONS).map(question);
    assert_eq!(reads(&node.handle(now(1_010), more)).len(), 0);
    let changes: Changes<Common> = Changes {
        revision: 5,
        events: vec![],
    };
    let result = Ok((200, encode(&changes)));
    let answered = Event::CallDone {
        call: read[0],
        result,
    };
    let actions = node.handle(now(1_020), [answered]);
    let replies = actions
        .iter()
        .filter(|a| matches!(a, Action::Reply { status: 200, .. }));
    assert_eq!(
        replies.count() as u64,
        QUESTIONS,
        "none newer than the read"
    );
    let later = node.handle(now(1_000 + k::BARRIER_GAP_MS), [Event::Tick]);
    assert_eq!(reads(&later).len(), 1);
}
