//! Odd requests, as a trace's line words them.
use super::grammar::{parse_job, resolve_nodes};
use crate::sim::{MalformedRequest, Simulation};
use serde_json::Value;
use stonegw_wire::msg::{decode, encode};

/// `odd NODE KIND [ARG]...`: sends a request that no careful user sends, or no other.
pub(super) fn send_malformed_request(sim: &mut Simulation, line: &[String]) {
    // A job of nobody's, as it were well formed.
    let number = 900_000 + sim.log.len();
    let stray = |rest: &str| {
        let text = format!("run-{number} {rest}");
        let words: Vec<String> = text.split_whitespace().map(str::to_owned).collect();
        parse_job(&words).0
    };
    let name = format!("run-{number}");
    let arg = line.get(3).map_or("", String::as_str);
    let mut fields: Value = decode(&encode(&stray("sweep 1"))).expect("a job");
    let (kind, id, body) = match line[2].as_str() {
        "repeat" => {
            let spec = &sim.jobs[arg].spec;
            (MalformedRequest::Repeat, arg.to_owned(), encode(spec))
        }
        "look" => (MalformedRequest::Look, arg.to_owned(), vec![]),
        "cancel-done" => (MalformedRequest::CancelDone, arg.to_owned(), vec![]),
        "unknown" => (MalformedRequest::UnknownJob, name, vec![]),
        // The rest of the line says what the job is like.
        "impossible" => {
            let spec = stray(&line[3..].join(" "));
            (MalformedRequest::Unsatisfiable, name, encode(&spec))
        }
        "no-field" => {
            let gone = fields.as_object_mut().expect("a map").remove(arg);
            assert!(gone.is_some(), "no field {arg}");
            (MalformedRequest::InvalidBody, name, encode(&fields))
        }
        "bad-field" => {
            assert!(fields.get(arg).is_some(), "no field {arg}");
            fields[arg] = serde_json::from_str(&line[4]).expect("a value");
            (MalformedRequest::InvalidBody, name, encode(&fields))
        }
        "list" => {
            let order = "uid lane crew shape urgency pieces cpus cards memGb bundle pullGb builds \
                         yard oneZone spread loaners expectS markEveryS markCostS dueS";
            let values: Vec<&Value> = order.split_whitespace().map(|f| &fields[f]).collect();
            (MalformedRequest::InvalidBody, name, encode(&values))
        }
        "no-message" => (MalformedRequest::InvalidBody, name, vec![0xc1]),
        other => panic!("unknown odd request {other}"),
    };
    for n in resolve_nodes(sim, &line[1]) {
        sim.send_malformed_request(n, kind, &id, body.clone());
    }
}
