//! Plays a trace from a file and prints what happened: for writing new ones, and for profiling.
fn main() {
    let path = std::env::args().nth(1).expect("usage: play FILE");
    let text = std::fs::read_to_string(&path).expect("the trace");
    let sim = stonegw_testkit::trace::play(&text);
    println!("{}", sim.log.join("\n"));
    println!(
        "broken {:#?}, failed {:#?}",
        sim.violations, sim.expectation_failures
    );
}
