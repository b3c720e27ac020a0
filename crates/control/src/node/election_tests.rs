use super::*;
use crate::node::relay::tests::settings;

/// An answer larger than what is taken in was asked for again and again, and the copy stood still for ever.
#[test]
fn oversized_change_response_triggers_relist() {
    let mut node = Node::new(settings(60.0, 8), 1);
    assert_eq!(
        node.apply_changes(Err(CallError::ResponseTooLarge)),
        Some(false)
    );
    assert_eq!(node.apply_changes(Err(CallError::OutcomeUnknown)), None);
}
