use super::*;
use crate::node::fixture_tests::settings;

/// A response above the size limit was requested again and again, and the replica stayed as it was for ever.
#[test]
fn oversized_change_response_triggers_relist() {
    let mut node = Node::new(settings(60.0, 8), 1);
    assert_eq!(
        node.apply_changes(Err(CallError::ResponseTooLarge)),
        ChangesOutcome::RelistNeeded
    );
    assert_eq!(
        node.apply_changes(Err(CallError::OutcomeUnknown)),
        ChangesOutcome::Failed
    );
}
