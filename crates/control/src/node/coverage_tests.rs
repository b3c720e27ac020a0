use super::*;

#[test]
fn nothing_is_covered_before_the_first_read() {
    let mut c = Coverage::new(1);
    c.attested(0, 1, 10, 11);
    c.attested(0, 1, 20, 21);
    assert_eq!(c.upto(99), None);
    c.read(30);
    assert_eq!(c.upto(99), Some(30));
}

#[test]
fn all_the_others_must_answer() {
    let mut c = Coverage::new(2);
    c.attested(0, 1, 10, 11);
    c.read(15);
    c.attested(0, 1, 20, 21);
    // The second was never heard: it may tell users anything.
    assert_eq!(c.upto(99), Some(15));
    c.attested(1, 1, 20, 21);
    c.read(22);
    c.attested(0, 1, 40, 41);
    assert_eq!(c.upto(99), Some(22));
    c.attested(1, 1, 30, 31);
    assert_eq!(c.upto(99), Some(30));
}

#[test]
fn another_life_answers_for_itself_only() {
    let mut c = Coverage::new(1);
    c.attested(0, 1, 10, 11);
    c.read(12);
    c.attested(0, 1, 30, 31);
    assert_eq!(c.upto(99), Some(30));
    // Its earlier life may have told something between 30 and 50.
    c.attested(0, 2, 49, 50);
    c.attested(0, 2, 60, 61);
    assert_eq!(c.upto(99), Some(30));
    // A read sent before the new life was heard does not show what the old one told after it.
    c.read(45);
    c.attested(0, 2, 62, 63);
    assert_eq!(c.upto(99), Some(45));
    c.read(50);
    assert_eq!(c.upto(99), Some(62));
}

#[test]
fn late_answers_take_nothing_back() {
    let mut c = Coverage::new(1);
    c.attested(0, 1, 10, 11);
    c.read(20);
    c.attested(0, 1, 30, 31);
    c.attested(0, 1, 25, 32);
    c.read(21);
    assert_eq!(c.upto(99), Some(30));
}

#[test]
fn a_node_without_others_needs_one_read() {
    let mut c = Coverage::new(0);
    assert_eq!(c.upto(5), None);
    c.read(10);
    assert_eq!(c.upto(99), Some(99));
}
