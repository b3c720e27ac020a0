//! Parses the words of a trace's lines: times, nodes, machines and jobs.
use crate::sim::Simulation;
use crate::stand_ins::{default_job_spec, machine_id, Ms};
use stonegw_wire::msg::{JobKind, JobSpec, Priority};

/// The run time of a replica: longer than any trace, so that it runs until its job is cancelled.
const SERVICE_RUN_MS: Ms = 1 << 40;
const DEFAULT_RUN_MS: Ms = 10_000;

/// The job that a line describes, and how long each of its tasks runs.
pub(super) struct JobLine {
    pub spec: JobSpec,
    pub task_run_ms: Ms,
}

/// Returns a word of a line, or an empty text if the line has fewer words.
pub(super) fn word_at(line: &[String], index: usize) -> &str {
    line.get(index).map_or("", String::as_str)
}

/// Splits a text into its words.
pub(super) fn split_words(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

/// Parses a number of seconds.
pub(super) fn parse_ms(text: &str) -> Ms {
    let seconds: f64 = text
        .parse()
        .unwrap_or_else(|_| panic!("not a number of seconds: {text}"));
    (seconds * 1e3) as Ms
}

/// Parses a number of seconds, or returns the default if the word is empty.
pub(super) fn parse_ms_or(text: &str, default_ms: Ms) -> Ms {
    match text {
        "" => default_ms,
        text => parse_ms(text),
    }
}

/// Parses a fraction and returns its reciprocal, rounded: one in that many candidates is affected.
pub(super) fn parse_share(share: &str) -> u64 {
    (1.0 / share.parse::<f64>().expect("a fraction")).round() as u64
}

/// Returns the nodes that a word names; none if there is no such node at present.
pub(super) fn resolve_nodes(sim: &mut Simulation, word: &str) -> Vec<usize> {
    let leader = sim.leader();
    let mut followers = (0..sim.nodes.len()).filter(|node| leader != Some(*node));
    match word {
        "leader" => leader.into_iter().collect(),
        "all" => (0..sim.nodes.len()).collect(),
        // The first and the last node that is not the leader.
        "follower" => followers.next().into_iter().collect(),
        "last-follower" => followers.next_back().into_iter().collect(),
        "any" => sim.next_balanced_node().into_iter().collect(),
        number => vec![number.parse().expect("number of a node")],
    }
}

/// Returns the ids of the machines that a word names: `host-000010`, the ten machines
/// `host-000010..000019`, or the machine that holds the task `run-1/0`. If no machine holds the
/// task, records a failed expectation.
pub(super) fn resolve_machines(sim: &mut Simulation, word: &str) -> Vec<String> {
    if word.starts_with("run-") {
        let machine_ids = sim.cluster().machines_holding_task(word);
        if machine_ids.is_empty() {
            sim.record_expectation_failure(format!("no machine holds {word}"));
        }
        return machine_ids;
    }
    let parse_number = |id: &str| -> u64 {
        let digits = id.trim_start_matches("host-");
        digits.parse().expect("number of a machine")
    };
    let (first, last) = word.split_once("..").unwrap_or((word, word));
    let numbers = parse_number(first)..=parse_number(last);
    numbers.map(machine_id).collect()
}

fn parse_job_kind(word: &str) -> JobKind {
    match word {
        "array" => JobKind::Array,
        "service" => JobKind::Service,
        "gang" => JobKind::Gang,
        other => panic!("unknown kind of job: {other}"),
    }
}

fn parse_priority(word: &str) -> Priority {
    match word {
        "high" => Priority::High,
        "low" => Priority::Low,
        _ => Priority::Normal,
    }
}

/// Parses a job, written as `JOB KIND N [key value]...`.
pub(super) fn parse_job(words: &[String]) -> JobLine {
    let kind = parse_job_kind(&words[1]);
    let task_count = words[2].parse().expect("number of tasks");
    let task_run_ms = match kind {
        JobKind::Service => SERVICE_RUN_MS,
        _ => DEFAULT_RUN_MS,
    };
    let mut job = JobLine {
        spec: default_job_spec(&words[0], kind, task_count),
        task_run_ms,
    };
    for pair in words[3..].chunks(2) {
        job.set(&pair[0], &pair[1]);
    }
    job
}

impl JobLine {
    fn set(&mut self, key: &str, value: &str) {
        let spec = &mut self.spec;
        match key {
            "cpus" => spec.cpus = value.parse().expect("number of CPUs"),
            "gb" => spec.memory_gb = value.parse().expect("memory in GB"),
            "type" => spec.machine_types = Some(vec![value.to_owned()]),
            "one-zone" => spec.requires_single_zone = value == "yes",
            "spread" => spec.spreads_across_zones = value == "yes",
            "spot" => spec.allows_spot = value == "yes",
            "run" => self.task_run_ms = parse_ms(value),
            "estimate" => {
                spec.estimated_run_time_s = value.parse().expect("estimated run time in seconds")
            }
            "deadline" => spec.deadline_s = Some(value.parse().expect("deadline in seconds")),
            "team" => spec.team = value.to_owned(),
            "zone" => spec.zone = Some(value.to_owned()),
            "checkpoint" => {
                spec.checkpoint_interval_s = value.parse().expect("checkpoint interval in seconds")
            }
            "save" => {
                spec.checkpoint_duration_s = value.parse().expect("checkpoint duration in seconds")
            }
            "image" => spec.image = value.to_owned(),
            "priority" => spec.priority = parse_priority(value),
            other => panic!("unknown key of a job: {other}"),
        }
    }
}
