//! Runs one case of the review: `rig CASE RECORD FOLDER`. Exit code 1: the rule was broken; 0: it
//! held; 2: the case couldn't run. With TROUBLE=0 in the environment the disruption is left out.
mod cases;
mod cloud;
mod cluster;
mod http;
mod msgpack;
mod proxy;
mod record;
mod store;
mod worker;

use std::process::exit;

/// Ends a run that is not possible. The processes are ended by `run.sh`.
pub fn cannot_run(why: &str) -> ! {
    record::line(&format!("cannot run: {why}"));
    eprintln!("cannot run: {why}");
    exit(2)
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, file, folder] = arguments.as_slice() else {
        eprintln!("usage: rig CASE RECORD FOLDER");
        exit(2)
    };
    if record::open(file).is_err() {
        eprintln!("cannot write {file}");
        exit(2)
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    rec!("case {case}, with the disruption: {trouble}");
    let broken = cases::run(case, folder, trouble);
    match &broken {
        Some(what) => rec!("BROKEN: {what}"),
        None => rec!("the rule held"),
    }
    println!(
        "{case}, TROUBLE={}: {}",
        u8::from(trouble),
        broken.as_deref().unwrap_or("the rule held")
    );
    exit(i32::from(broken.is_some()))
}
