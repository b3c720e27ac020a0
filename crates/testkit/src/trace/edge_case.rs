//! Builds the edge-case requests of a trace's `request` lines.
use super::grammar::{parse_job, resolve_nodes, split_words};
use crate::checks::EdgeCaseRequest;
use crate::sim::Simulation;
use serde_json::Value;
use stonegw_wire::msg::{decode, encode, JobSpec};

/// The fields of a submission, in the order of the message type.
const JOB_FIELDS: &str =
    "uid lane crew shape urgency pieces cpus cards memGb bundle pullGb builds \
                          yard oneZone spread loaners expectS markEveryS markCostS dueS";
/// The first number for ids of jobs that no `submit` line submits.
const FIRST_UNSUBMITTED_JOB_NUMBER: usize = 900_000;
/// A byte that no MessagePack value starts with.
const INVALID_MESSAGE: u8 = 0xc1;

struct EdgeCase {
    request: EdgeCaseRequest,
    job_id: String,
    body: Vec<u8>,
}

/// Sends the request of a line `request NODE KIND [ARG]...` to each node that it names.
pub(super) fn send_edge_case_request(sim: &mut Simulation, line: &[String]) {
    let edge_case = parse_edge_case(sim, line);
    for node in resolve_nodes(sim, &line[1]) {
        let body = edge_case.body.clone();
        sim.send_edge_case_request(node, edge_case.request, &edge_case.job_id, body);
    }
}

fn parse_edge_case(sim: &Simulation, line: &[String]) -> EdgeCase {
    let argument = line.get(3).map_or("", String::as_str);
    let unsubmitted_id = format!("run-{}", FIRST_UNSUBMITTED_JOB_NUMBER + sim.log.len());
    let known_job = |request, body| EdgeCase {
        request,
        job_id: argument.to_owned(),
        body,
    };
    let unsubmitted_job = |request, body| EdgeCase {
        request,
        job_id: unsubmitted_id.clone(),
        body,
    };
    match line[2].as_str() {
        "repeat" => {
            let spec = &sim.jobs[argument].spec;
            known_job(EdgeCaseRequest::Repeat, encode(spec))
        }
        "query" => known_job(EdgeCaseRequest::Query, vec![]),
        "cancel-done" => known_job(EdgeCaseRequest::CancelDone, vec![]),
        "query-unknown" => unsubmitted_job(EdgeCaseRequest::UnknownJob, vec![]),
        // The rest of the line describes the job.
        "unsatisfiable" => {
            let spec = unsubmitted_job_spec(&unsubmitted_id, &line[3..].join(" "));
            unsubmitted_job(EdgeCaseRequest::Unsatisfiable, encode(&spec))
        }
        kind => {
            let value = line.get(4).map_or("", String::as_str);
            let body = invalid_body(&unsubmitted_id, kind, argument, value);
            unsubmitted_job(EdgeCaseRequest::InvalidBody, body)
        }
    }
}

/// Returns a well-formed specification for a job that no `submit` line submits.
fn unsubmitted_job_spec(job_id: &str, rest: &str) -> JobSpec {
    parse_job(&split_words(&format!("{job_id} {rest}"))).spec
}

/// Returns the body of a submission that is malformed in the given way.
fn invalid_body(job_id: &str, kind: &str, field: &str, value: &str) -> Vec<u8> {
    let spec = unsubmitted_job_spec(job_id, "array 1");
    let mut fields: Value = decode(&encode(&spec)).expect("an encoded job");
    match kind {
        "missing-field" => {
            let removed = fields
                .as_object_mut()
                .expect("a job is a map")
                .remove(field);
            assert!(removed.is_some(), "a submission has no field {field}");
            encode(&fields)
        }
        "invalid-field" => {
            assert!(
                fields.get(field).is_some(),
                "a submission has no field {field}"
            );
            fields[field] = serde_json::from_str(value).expect("a JSON value");
            encode(&fields)
        }
        "list-body" => {
            let names = JOB_FIELDS.split_whitespace();
            let values: Vec<&Value> = names.map(|name| &fields[name]).collect();
            encode(&values)
        }
        "invalid-message" => vec![INVALID_MESSAGE],
        other => panic!("unknown kind of request: {other}"),
    }
}
