//! Plays one case of the review: `standin CASE FOLDER with|without`, with its disruption or without
//! it. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
mod cases;
mod controllers;
mod fleet;
mod http;
mod record;
mod store;
mod value;
mod world;

use record::Record;
use std::sync::Arc;

pub enum Outcome {
    Held,
    Broken,
    CannotRun,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, disruption] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER with|without");
        std::process::exit(2);
    };
    let with_trouble = match disruption.as_str() {
        "with" => true,
        "without" => false,
        _ => {
            eprintln!("the last argument is neither `with` nor `without`");
            std::process::exit(2);
        }
    };
    let record = Arc::new(Record::new(&format!("{folder}/record.txt")));
    let temporary = std::env::temp_dir().join(format!("stonegw-review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let path = temporary.to_string_lossy().to_string();
    record.say(&format!("case {case}, with the disruption: {with_trouble}"));
    let outcome = match case.as_str() {
        "reclaim" => cases::reclaim::play(&path, &record, with_trouble),
        "limits" => cases::limits::play(&path, &record, with_trouble),
        "errors" => cases::errors::play(&path, &record, with_trouble),
        "slow-state" => cases::slow_state::play(&path, &record, with_trouble),
        _ => Outcome::CannotRun,
    };
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let (word, code) = match outcome {
        Outcome::Held => ("the rule held", 0),
        Outcome::Broken => ("the rule was broken", 1),
        Outcome::CannotRun => ("the case couldn't run", 2),
    };
    record.say(word);
    std::process::exit(code);
}
