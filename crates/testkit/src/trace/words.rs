//! The words of a trace's lines: times, nodes, machines, jobs.
use crate::outside::Ms;
use crate::sim::Sim;
use stonegw_wire::msg::{JobKind, JobSpec, Priority};

/// How long a replica runs: until its job is cancelled.
const FOREVER_MS: Ms = 1 << 40;
const RUN_MS: Ms = 10_000;

/// Seconds, as a number.
pub(super) fn ms(text: &str) -> Ms {
    let s: f64 = text
        .parse()
        .unwrap_or_else(|_| panic!("not a time: {text}"));
    (s * 1e3) as Ms
}

/// Seconds, or so many if the word is missing.
pub(super) fn ms_or(text: &str, missing: Ms) -> Ms {
    match text {
        "" => missing,
        text => ms(text),
    }
}

/// One in how many a share is.
pub(super) fn one_in(share: &str) -> u64 {
    (1.0 / share.parse::<f64>().expect("share")).round() as u64
}

/// The nodes that a word names.
pub(super) fn targets(sim: &mut Sim, who: &str) -> Vec<usize> {
    let leader = sim.leader();
    let follows = |n: &usize| leader != Some(*n);
    match who {
        "leader" => sim.leader().into_iter().collect(),
        "all" => (0..sim.nodes.len()).collect(),
        // The first and the last node that doesn't lead.
        "follower" => (0..sim.nodes.len()).find(follows).into_iter().collect(),
        "other" => (0..sim.nodes.len())
            .rev()
            .find(follows)
            .into_iter()
            .collect(),
        "any" => sim.any_node().into_iter().collect(),
        n => vec![n.parse().expect("node")],
    }
}

/// `host-000010`, `host-000010..000019` for ten of them, or the machine of the task `run-1/0`.
pub(super) fn machines(sim: &mut Sim, word: &str) -> Vec<String> {
    if word.starts_with("run-") {
        let found = sim.machines_of(word);
        if found.is_empty() {
            sim.fail(format!("no machine holds {word}"));
        }
        return found;
    }
    let number = |n: &str| -> u64 { n.trim_start_matches("host-").parse().expect("machine") };
    let (first, last) = word.split_once("..").unwrap_or((word, word));
    let numbers = number(first)..=number(last);
    numbers.map(|n| format!("host-{n:06}")).collect()
}

fn kind(word: &str) -> JobKind {
    match word {
        "standing" => JobKind::Service,
        "ensemble" => JobKind::Gang,
        _ => JobKind::Array,
    }
}

fn priority(word: &str) -> Priority {
    match word {
        "high" => Priority::High,
        "low" => Priority::Low,
        _ => Priority::Normal,
    }
}

/// `JOB KIND N [key value]...`, and how long each task runs.
pub(super) fn job(words: &[String]) -> (JobSpec, Ms) {
    let mut spec = JobSpec {
        id: words[0].clone(),
        class: "work".into(),
        team: "red".into(),
        kind: kind(&words[1]),
        priority: Priority::Normal,
        tasks: words[2].parse().expect("tasks"),
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "img".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    };
    let mut run_ms = if spec.kind == JobKind::Service {
        FOREVER_MS
    } else {
        RUN_MS
    };
    for pair in words[3..].chunks(2) {
        match pair[0].as_str() {
            "cpus" => spec.cpus = pair[1].parse().expect("cpus"),
            "gb" => spec.memory_gb = pair[1].parse().expect("gb"),
            "type" => spec.types = Some(vec![pair[1].clone()]),
            "one-zone" => spec.one_zone = pair[1] == "yes",
            "spread" => spec.spread = pair[1] == "yes",
            "spot" => spec.spot = pair[1] == "yes",
            "run" => run_ms = ms(&pair[1]),
            "estimate" => spec.estimate_s = pair[1].parse().expect("estimate"),
            "due" => spec.deadline_s = Some(pair[1].parse().expect("due")),
            "team" => spec.team = pair[1].clone(),
            "zone" => spec.zone = Some(pair[1].clone()),
            "checkpoint" => spec.checkpoint_s = pair[1].parse().expect("checkpoint"),
            "save" => spec.save_s = pair[1].parse().expect("save"),
            "image" => spec.image = pair[1].clone(),
            "priority" => spec.priority = priority(&pair[1]),
            other => panic!("unknown key {other}"),
        }
    }
    (spec, run_ms)
}
