//! Plays a trace from a file and prints the simulation's log, the broken rules and the failed
//! expectations. Helps to write new traces and to profile the simulation.
fn main() {
    let path = std::env::args().nth(1).expect("usage: play FILE");
    let text = std::fs::read_to_string(&path).expect("can't read the trace file");
    let sim = stonegw_testkit::trace::play(&text);
    println!("{}", sim.log.join("\n"));
    println!(
        "broken {:#?}, failed {:#?}",
        sim.violations, sim.expectation_failures
    );
}
