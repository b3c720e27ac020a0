//! The words of a trace's lines: times, nodes, machines, jobs.
use crate::sim::Simulation;
use crate::stand_ins::Ms;
use stonegw_wire::msg::{JobKind, JobSpec, Priority};

/// How long a replica runs: until its job is cancelled.
const SERVICE_RUN_MS: Ms = 1 << 40;
const DEFAULT_RUN_MS: Ms = 10_000;

/// Seconds, as a number.
pub(super) fn parse_ms(text: &str) -> Ms {
    let s: f64 = text
        .parse()
        .unwrap_or_else(|_| panic!("not a time: {text}"));
    (s * 1e3) as Ms
}

/// Seconds, or so many if the word is missing.
pub(super) fn parse_ms_or(text: &str, missing: Ms) -> Ms {
    match text {
        "" => missing,
        text => parse_ms(text),
    }
}

/// One in how many a share is.
pub(super) fn parse_share(share: &str) -> u64 {
    (1.0 / share.parse::<f64>().expect("share")).round() as u64
}

/// The nodes that a word names.
pub(super) fn resolve_nodes(sim: &mut Simulation, who: &str) -> Vec<usize> {
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
        "any" => sim.next_balanced_node().into_iter().collect(),
        n => vec![n.parse().expect("node")],
    }
}

/// `host-000010`, `host-000010..000019` for ten of them, or the machine of the task `run-1/0`.
pub(super) fn resolve_machines(sim: &mut Simulation, word: &str) -> Vec<String> {
    if word.starts_with("run-") {
        let found = sim.machines_holding_task(word);
        if found.is_empty() {
            sim.record_expectation_failure(format!("no machine holds {word}"));
        }
        return found;
    }
    let number = |n: &str| -> u64 { n.trim_start_matches("host-").parse().expect("machine") };
    let (first, last) = word.split_once("..").unwrap_or((word, word));
    let numbers = number(first)..=number(last);
    numbers.map(|n| format!("host-{n:06}")).collect()
}

fn parse_job_kind(word: &str) -> JobKind {
    match word {
        "standing" => JobKind::Service,
        "ensemble" => JobKind::Gang,
        _ => JobKind::Array,
    }
}

fn parse_priority(word: &str) -> Priority {
    match word {
        "high" => Priority::High,
        "low" => Priority::Low,
        _ => Priority::Normal,
    }
}

/// `JOB KIND N [key value]...`, and how long each task runs.
pub(super) fn parse_job(words: &[String]) -> (JobSpec, Ms) {
    let mut spec = JobSpec {
        id: words[0].clone(),
        class: "work".into(),
        team: "red".into(),
        kind: parse_job_kind(&words[1]),
        priority: Priority::Normal,
        task_count: words[2].parse().expect("tasks"),
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "img".into(),
        image_size_gb: 1.0,
        machine_types: None,
        zone: None,
        requires_single_zone: false,
        spreads_across_zones: false,
        allows_spot: false,
        estimated_run_time_s: 10.0,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
    };
    let mut run_ms = if spec.kind == JobKind::Service {
        SERVICE_RUN_MS
    } else {
        DEFAULT_RUN_MS
    };
    for pair in words[3..].chunks(2) {
        match pair[0].as_str() {
            "cpus" => spec.cpus = pair[1].parse().expect("cpus"),
            "gb" => spec.memory_gb = pair[1].parse().expect("gb"),
            "type" => spec.machine_types = Some(vec![pair[1].clone()]),
            "one-zone" => spec.requires_single_zone = pair[1] == "yes",
            "spread" => spec.spreads_across_zones = pair[1] == "yes",
            "spot" => spec.allows_spot = pair[1] == "yes",
            "run" => run_ms = parse_ms(&pair[1]),
            "estimate" => spec.estimated_run_time_s = pair[1].parse().expect("estimate"),
            "due" => spec.deadline_s = Some(pair[1].parse().expect("due")),
            "team" => spec.team = pair[1].clone(),
            "zone" => spec.zone = Some(pair[1].clone()),
            "checkpoint" => spec.checkpoint_interval_s = pair[1].parse().expect("checkpoint"),
            "save" => spec.checkpoint_duration_s = pair[1].parse().expect("save"),
            "image" => spec.image = pair[1].clone(),
            "priority" => spec.priority = parse_priority(&pair[1]),
            other => panic!("unknown key {other}"),
        }
    }
    (spec, run_ms)
}
