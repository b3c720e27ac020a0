use super::*;
use crate::node::relay::tests::settings;

/// An answer larger than what is taken in was asked for again and again, and the copy stood still for ever.
#[test]
fn changes_too_many_for_one_answer_are_listed() {
    let mut node = Node::new(settings(60.0, 8), 1);
    assert_eq!(node.changes(Err(CallError::TooLarge)), Some(false));
    assert_eq!(node.changes(Err(CallError::Unknown)), None);
}
