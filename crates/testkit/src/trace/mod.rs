//! The trace language: parses and plays the scenarios in `traces/`. A line is one event, and `#`
//! begins a comment. Times are in seconds; `T` is the simulated time of the event. SHARE is a
//! fraction: one in 1/SHARE candidates (rounded) is affected, in a fixed pattern.
//!
//! - MACHINE is an id (`host-000010`), a range of ids (`host-000010..000019`), or a task
//!   (`run-1/0`), which means the machine that holds the task at that time.
//! - NODE is a node's number, `leader`, `all`, `follower` or `last-follower` (the first and the
//!   last node that doesn't lead), or `any` (the next node that the load balancer chooses). N is
//!   a number.
//! - KIND is the kind of a job: `array`, `service` or `gang`.
//! - The keys of a job are `cpus`, `gb`, `run`, `estimate`, `deadline`, `team`, `zone`, `type`,
//!   `one-zone`, `spread`, `spot`, `priority`, `image`, `checkpoint` and `save`.
//!
//! | line | meaning |
//! | --- | --- |
//! | `nodes N` | Number of controllers (default 3). |
//! | `machines N ZONE` | Adds N machines that are ready at the start. |
//! | `write-rps N` | Writes per second that the nodes' settings promise; the store accepts at least 60. |
//! | `store-rps N` | Requests per second that the nodes' settings promise. |
//! | `team NAME QUOTA LIMIT` | A team's quota and limit, in CPUs. |
//! | `max-transaction-writes N` | Writes per transaction that the nodes' settings promise; the store accepts at least 8. |
//! | `max-value-bytes N` | Bytes per record that the nodes' settings promise; the store accepts at least 8192. A small number leaves one machine per record. |
//! | `message-latency S` | How long a message takes between nodes, and between them and workers and users. |
//! | `spot-machines` | The cloud also offers spot machines. |
//! | `boot S` | How long a new machine takes to boot (default 10). |
//! | `capacity N` | Maximum number of machines that may exist. |
//! | `faults-end T` | The faults are over at T: from then on queries about each job must be answered within 75 s, and no job may wait 90 s while there is capacity for it. |
//! | `until T` | The end of the play; no rule may be broken by then. |
//! | `T submit JOB KIND N [key value]...` | A user submits a job of N tasks. |
//! | `T submit-every EVERY N FIRST KIND TASKS [key value]...` | Users submit N such jobs, one every EVERY seconds, with ids that count down from FIRST + N to FIRST + 1. |
//! | `T tasks-fail JOB` / `T tasks-succeed JOB` | From now on the job's tasks fail soon after they start, on every machine; or no longer do. |
//! | `T cancel JOB` | The job's user decides to cancel it, and sends the cancellation with the next request. |
//! | `T cancel-at-node JOB NODE` | The user cancels the job immediately, at that node. |
//! | `T cancel-share SHARE S` | From now on this share of the jobs of `submit-every` is cancelled, up to S seconds after the submission. |
//! | `T cancel-at-end JOB [LAG]` | The user cancels the job when its last task ends, or LAG seconds later. |
//! | `T read-after-write-checks S` | For S seconds, right after each reply that a job was accepted or has ended, users query all nodes within milliseconds and repeat the submission. |
//! | `T request NODE query JOB` | A query about an accepted job. |
//! | `T request NODE query-unknown` | A query about a job that nobody submitted. |
//! | `T request NODE repeat\|cancel-done JOB` | The submission of an accepted job once more; the cancellation of a job that is done. |
//! | `T request NODE unsatisfiable KIND N [key value]...` | A submission that can never run. |
//! | `T request NODE missing-field FIELD` / `invalid-field FIELD VALUE` / `list-body` / `invalid-message` | A malformed submission. |
//! | `T probe N METHOD PATH` | Sends a request to node N that belongs to no job; its status is logged. |
//! | `T crash NODE [BACK]` | The process crashes and restarts after BACK seconds (default 4). A process that is down is not affected. |
//! | `T pause NODE S [JUMP]` | The process is paused for S seconds while its clock runs on; at the end the clock is JUMP seconds further ahead. |
//! | `T isolate-node NODE S` | The node reaches its workers and users, but neither the store nor other nodes. |
//! | `T partition-peers A B S` | The links between two nodes are down. |
//! | `T delay-frames A B S` | Frames between two nodes are delivered only when the S seconds are over, in order. |
//! | `T partition-zone ZONE N S` | The zone's machines and node N reach each other, but no other machine or node. All nodes still reach the store, the cloud and users. |
//! | `T store-unavailable NODE S` | The store answers the node's requests with 503. With `all`, every lease in the store is renewed and runs its full time from the end of the outage. |
//! | `T slow-store S LAG` | For S seconds a call to the store and its response together take LAG seconds longer. |
//! | `T lower-store-limits BYTES WRITES RATE` | From now on the store refuses larger values, transactions with more writes, and more writes per second; the nodes' settings do not change. |
//! | `T deliver-stale-watch NODE` | The node's open watches that have undelivered changes deliver only the first of them, as if the response had been delayed while the store refused the node. |
//! | `T delay-transaction-share SHARE S` | For S seconds this share of the transactions gets no response and is applied 2 to 12 s later. |
//! | `T drop-response-share SHARE S` | For S seconds this share of the transactions is applied at once, but the response is lost. |
//! | `T transaction-fault crash-before\|crash-after KEY [BACK]` | The node crashes right before or after the next transaction with such a key, and restarts after BACK seconds. |
//! | `T transaction-fault drop-response KEY` | The next transaction with such a key is applied, but its response is lost. |
//! | `T transaction-fault delay-request KEY S` | The next transaction with such a key reaches the store S seconds later. |
//! | `T transaction-fault delay-response KEY S` | The next transaction with such a key is applied, but its response arrives S seconds later. |
//! | `T hang MACHINE S` | The machine hangs with its tasks; replies to its heartbeats are lost, and direct calls to it arrive afterwards. |
//! | `T crash-machine MACHINE` | The machine crashes with its tasks; the cloud still lists it. |
//! | `T evict MACHINE` | The cloud evicts the machine with its tasks, without notice. |
//! | `T evict-with-notice MACHINE S` | The worker reports an eviction in S seconds; then the cloud evicts the machine. |
//! | `T eviction-notice MACHINE S` | From now on the worker reports an eviction in S seconds, but none follows. |
//! | `T new-incarnation MACHINE` | The worker kills and forgets all its tasks and begins a new incarnation. |
//! | `T restart-worker MACHINE` | The worker's process restarts at once: a new incarnation, without images. |
//! | `T reset-worker MACHINE` | The worker's process restarts at once without any memory: the first incarnation again, no fencing token and no tasks. |
//! | `T fail-task TASK` | The task exits with an error. |
//! | `T partition-machine MACHINE S` | The machine's heartbeats and the replies to them are lost, and direct calls to it arrive afterwards. |
//! | `T unreachable MACHINE S` | The machine's heartbeats arrive, but replies don't reach it, and commands reach it afterwards. |
//! | `T drop-heartbeats MACHINE S` | The machine's heartbeats reach no node, but commands reach it. |
//! | `T duplicate-heartbeats MACHINE LAG` | From now on each heartbeat of the machine arrives a second time, LAG seconds later, at another node. |
//! | `T duplicate-heartbeat-share SHARE FROM TO S` | For S seconds this share of all heartbeats arrives a second time, FROM to TO seconds later, at each node in turn. |
//! | `T withhold-heartbeat MACHINE` / `T deliver-withheld-heartbeat NODE` | Withholds a heartbeat that is made now; delivers the first withheld one to the node. |
//! | `T delay-commands MACHINE S` | Direct calls to the machine (commands and probes), and nothing else, arrive only when the S seconds are over. |
//! | `T duplicate-commands MACHINE LAG` | From now on direct commands to the machine arrive a second time, LAG seconds later. |
//! | `T expect JOB done\|cancelled\|ended\|not-ended\|accepted\|STATUS` | What was reported to the user by then: the job's end, that it was accepted, or the status of the last reply to its submission. |
//! | `T expect JOB started` | A task has started by then. |
//! | `T expect JOB started-within S` | A task started at most S seconds after the submission; for a gang, all its tasks. |
//! | `T expect JOB max-attempts N` / `gang-starts N` | At most N attempts were started; the gang started exactly N times. |
//! | `T expect JOB fetching N` / `waiting-for-gang N` / `running N` | N of the job's tasks are in that state, over all machines. |
//! | `T expect JOB on-spot N` | N of the job's tasks are on spot machines. |
//! | `T expect JOB saved S` | At least S seconds of a gang's progress are saved. |
//! | `T expect JOB no-tasks` | No task of the job is left on any machine. |
//! | `T expect-log TEXT` / `T expect-no-log TEXT` | The log contains the text by then, or doesn't. |
mod edge_case;
mod expectations;
mod grammar;
mod interpreter;

use crate::sim::Simulation;
use crate::stand_ins::Ms;
use grammar::{parse_ms, split_words};
use interpreter::execute_line;

/// The number of controllers of a trace without a `nodes` line.
const DEFAULT_NODE_COUNT: usize = 3;

/// Plays a trace to its end and returns the simulation. Panics if the trace is malformed.
pub fn play(text: &str) -> Simulation {
    let lines = parse_lines(text);
    let mut sim = Simulation::new(node_count(&lines));
    let mut timed_lines = vec![];
    let mut end: Option<Ms> = None;
    for line in lines {
        if line[0] == "until" {
            end = Some(parse_ms(&line[1]));
        } else if !apply_header_line(&mut sim, &line) {
            timed_lines.push(line);
        }
    }
    let end = end
        .filter(|end| *end > 0)
        .expect("a trace needs a line `until T`");
    for line in timed_lines {
        sim.schedule_script_line(parse_ms(&line[0]), line[1..].to_vec());
    }
    while let Some(line) = sim.run_until_script_line(end) {
        execute_line(&mut sim, &line);
    }
    sim
}

/// Returns the words of each line, without comments and empty lines.
fn parse_lines(text: &str) -> Vec<Vec<String>> {
    text.lines()
        .map(|line| line.split('#').next().unwrap_or(""))
        .map(split_words)
        .filter(|words| !words.is_empty())
        .collect()
}

fn node_count(lines: &[Vec<String>]) -> usize {
    let line = lines.iter().find(|line| line[0] == "nodes");
    line.map_or(DEFAULT_NODE_COUNT, |line| {
        line[1].parse().expect("number of nodes")
    })
}

/// Applies a line without a time, which sets the simulation up. Returns `false` if the line has a
/// time.
fn apply_header_line(sim: &mut Simulation, line: &[String]) -> bool {
    match line[0].as_str() {
        "nodes" => {}
        "machines" => {
            for _ in 0..line[1].parse().expect("number of machines") {
                sim.add_machine(&line[2]);
            }
        }
        "write-rps" => sim.set_write_rate_limit(line[1].parse().expect("writes per second")),
        "store-rps" => sim.set_request_rate_limit(line[1].parse().expect("requests per second")),
        "team" => {
            let quota_cpus = line[2].parse().expect("quota in CPUs");
            let limit_cpus = line[3].parse().expect("limit in CPUs");
            sim.set_team_quota(&line[1], quota_cpus, limit_cpus);
        }
        "max-transaction-writes" => {
            sim.set_max_transaction_writes(line[1].parse().expect("number of writes"))
        }
        "max-value-bytes" => sim.set_max_value_bytes(line[1].parse().expect("number of bytes")),
        "boot" => sim.cloud.boot_ms = parse_ms(&line[1]),
        "capacity" => sim.cloud.capacity = line[1].parse().expect("number of machines"),
        "message-latency" => sim.network_latency_ms = parse_ms(&line[1]),
        "spot-machines" => sim.offer_spot_machines(),
        "faults-end" => sim.faults_over_at = Some(parse_ms(&line[1])),
        _ => return false,
    }
    true
}
