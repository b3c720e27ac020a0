//! What this version sends has the form of the version in production, which it meets in a rolling
//! upgrade. `crates/testkit/capture-production.sh` writes the fixtures.
#[path = "fixtures/compare.rs"]
mod compare;
#[path = "fixtures/values.rs"]
mod values;

const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/production");

#[test]
fn messages_and_frames_have_the_production_form() {
    let mut compare = compare::Compare::new(FIXTURES);
    values::messages(&mut compare);
    values::frames(&mut compare);
    compare.all_compared();
}
