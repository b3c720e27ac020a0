//! Executes one line of a trace.
use super::edge_case::send_edge_case_request;
use super::expectations::check_expectation;
use super::grammar::{
    parse_job, parse_ms, parse_ms_or, parse_share, resolve_machines, resolve_nodes, word_at,
};
use crate::sim::Simulation;
use crate::stand_ins::{
    IsolatedNode, Ms, NodePair, StoreLimits, StoreSlowdown, SubmittedJob, TransactionFault,
    TransactionFaultKind, ZonePartition,
};

/// How long a crashed process is down if the line does not say; also the delay of a transaction
/// fault without one.
const DEFAULT_RESTART_MS: Ms = 4_000;

/// Executes one line of a trace, given without its time. Panics if the event is unknown.
pub(super) fn execute_line(sim: &mut Simulation, line: &[String]) {
    let text = line.join(" ");
    match word_at(line, 0) {
        "submit" => sim.append_log(text.clone()),
        "submit-every" => {}
        word if word.starts_with("expect") => {}
        _ => sim.append_log(format!("-- {text}")),
    }
    let is_known = check_expectation(sim, line)
        || execute_user_event(sim, line)
        || execute_node_event(sim, line)
        || execute_store_event(sim, line)
        || execute_machine_event(sim, line)
        || execute_message_event(sim, line);
    assert!(is_known, "unknown event: {text}");
}

/// Returns the time that is the given number of seconds from now.
fn time_after(sim: &Simulation, text: &str) -> Ms {
    sim.now + parse_ms(text)
}

fn job_mut<'a>(sim: &'a mut Simulation, job_id: &str) -> &'a mut SubmittedJob {
    sim.jobs.get_mut(job_id).expect("a submitted job")
}

/// Executes what the user of one job does. Returns `false` if the line is another event.
fn execute_user_event(sim: &mut Simulation, line: &[String]) -> bool {
    let job_id = word_at(line, 1);
    match word_at(line, 0) {
        "submit" => {
            let job = parse_job(&line[1..]);
            sim.submit_job(job.spec, job.task_run_ms);
        }
        "submit-every" => submit_recurring_job(sim, line),
        "cancel" => {
            if let Some(job) = sim.jobs.get_mut(job_id) {
                job.cancel_requested = true;
            }
        }
        "tasks-fail" => job_mut(sim, job_id).tasks_fail = true,
        "tasks-succeed" => job_mut(sim, job_id).tasks_fail = false,
        "cancel-at-node" => {
            for node in resolve_nodes(sim, word_at(line, 2)) {
                sim.cancel_job_now(job_id, node);
            }
        }
        "cancel-at-end" => {
            let delay_ms = parse_ms_or(word_at(line, 2), 0);
            job_mut(sim, job_id).cancel_after_end_ms = Some(delay_ms);
        }
        _ => return execute_user_behavior(sim, line),
    }
    true
}

/// Executes what users do in general, and requests that belong to no job. Returns `false` if the
/// line is another event.
fn execute_user_behavior(sim: &mut Simulation, line: &[String]) -> bool {
    match word_at(line, 0) {
        "cancel-share" => {
            let every = parse_share(word_at(line, 1));
            sim.user_faults.cancellations.start(every, Ms::MAX);
            sim.user_faults.max_cancellation_delay_ms = parse_ms(word_at(line, 2));
        }
        "read-after-write-checks" => {
            let until = time_after(sim, word_at(line, 1));
            sim.user_faults.read_after_write_checks_until = until;
        }
        "request" => send_edge_case_request(sim, line),
        "probe" => {
            let node = word_at(line, 1).parse().expect("number of a node");
            sim.send_probe_request(node, word_at(line, 2), word_at(line, 3));
        }
        _ => return false,
    }
    true
}

/// Executes a line `submit-every EVERY N FIRST KIND TASKS [key value]...`: submits one job and
/// schedules the line again with N - 1.
fn submit_recurring_job(sim: &mut Simulation, line: &[String]) {
    let left: usize = word_at(line, 2).parse().expect("number of jobs");
    if left == 0 {
        return;
    }
    let first: usize = word_at(line, 3).parse().expect("first job number");
    let job_id = format!("run-{}", first + left);
    let mut submission = vec!["submit".to_owned(), job_id.clone()];
    submission.extend_from_slice(&line[4..]);
    execute_line(sim, &submission);
    if let Some(delay_ms) = sim.user_faults.next_cancellation_delay(sim.now) {
        let cancel = vec!["cancel".to_owned(), job_id];
        sim.schedule_script_line(sim.now + delay_ms, cancel);
    }
    let mut rest = line.to_vec();
    rest[2] = (left - 1).to_string();
    let next_at = time_after(sim, word_at(line, 1));
    sim.schedule_script_line(next_at, rest);
}

/// Executes what happens to nodes and between them. Returns `false` if the line is another event.
fn execute_node_event(sim: &mut Simulation, line: &[String]) -> bool {
    let who = word_at(line, 1);
    match word_at(line, 0) {
        "crash" => {
            let restart_delay_ms = parse_ms_or(word_at(line, 2), DEFAULT_RESTART_MS);
            for node in resolve_nodes(sim, who) {
                sim.crash_node(node, restart_delay_ms);
            }
        }
        "pause" => {
            let duration = parse_ms(word_at(line, 2));
            let clock_jump_ms = parse_ms_or(word_at(line, 3), 0);
            for node in resolve_nodes(sim, who) {
                sim.pause_node(node, duration, clock_jump_ms);
            }
        }
        "isolate-node" => {
            let until = time_after(sim, word_at(line, 2));
            let node = resolve_nodes(sim, who).first().copied();
            sim.network_faults.isolated_node = node.map(|node| IsolatedNode { node, until });
        }
        "partition-peers" => {
            let one = resolve_nodes(sim, who)[0];
            let other = resolve_nodes(sim, word_at(line, 2))[0];
            sim.partition_peers(one, other, parse_ms(word_at(line, 3)));
        }
        "delay-frames" => {
            let one = resolve_nodes(sim, who)[0];
            let other = resolve_nodes(sim, word_at(line, 2))[0];
            let until = time_after(sim, word_at(line, 3));
            let held_until = &mut sim.network_faults.frames_held_until;
            held_until.insert(NodePair::new(one, other), until);
        }
        _ => return false,
    }
    true
}

/// Executes what the store does. Returns `false` if the line is another event.
fn execute_store_event(sim: &mut Simulation, line: &[String]) -> bool {
    match word_at(line, 0) {
        "transaction-fault" => add_transaction_fault(sim, line),
        "store-unavailable" => {
            let until = time_after(sim, word_at(line, 2));
            for node in resolve_nodes(sim, word_at(line, 1)) {
                sim.store_faults.unavailable_until.insert(node, until);
            }
            if word_at(line, 1) == "all" {
                sim.store.renew_all_leases(until);
            }
        }
        "slow-store" => {
            sim.store_faults.slowdown = Some(StoreSlowdown {
                extra_ms: parse_ms(word_at(line, 2)),
                until: time_after(sim, word_at(line, 1)),
            });
        }
        "delay-transaction-share" => {
            let until = time_after(sim, word_at(line, 2));
            let every = parse_share(word_at(line, 1));
            sim.store_faults.delayed_transactions.start(every, until);
        }
        "drop-response-share" => {
            let until = time_after(sim, word_at(line, 2));
            let every = parse_share(word_at(line, 1));
            sim.store_faults.dropped_responses.start(every, until);
        }
        "lower-store-limits" => {
            let number = |index: usize| word_at(line, index).parse().expect("limit of the store");
            sim.lower_store_limits(StoreLimits {
                max_value_bytes: number(1),
                max_transaction_writes: number(2),
                max_writes_per_second: number(3) as f64,
            });
        }
        "deliver-stale-watch" => {
            for node in resolve_nodes(sim, word_at(line, 1)) {
                sim.deliver_stale_watch(node);
            }
        }
        _ => return false,
    }
    true
}

fn add_transaction_fault(sim: &mut Simulation, line: &[String]) {
    let kind = match word_at(line, 1) {
        "crash-before" => TransactionFaultKind::CrashBefore,
        "crash-after" => TransactionFaultKind::CrashAfter,
        "drop-response" => TransactionFaultKind::DropResponse,
        "delay-response" => TransactionFaultKind::DelayResponse,
        "delay-request" => TransactionFaultKind::DelayRequest,
        other => panic!("unknown kind of transaction fault: {other}"),
    };
    sim.store_faults.transaction_faults.push(TransactionFault {
        kind,
        key: word_at(line, 2).to_owned(),
        delay_ms: parse_ms_or(word_at(line, 3), DEFAULT_RESTART_MS),
    });
}

/// Executes what happens to machines and their tasks. Returns `false` if the line is another event.
fn execute_machine_event(sim: &mut Simulation, line: &[String]) -> bool {
    let event: fn(&mut Simulation, &str, Ms) = match word_at(line, 0) {
        "hang" => Simulation::hang_machine,
        "crash-machine" => |sim, id, _| sim.crash_machine(id),
        "evict-with-notice" => Simulation::schedule_eviction,
        "evict" => |sim, id, _| sim.evict_machine(id),
        "restart-worker" => |sim, id, _| sim.restart_machine(id),
        "reset-worker" => |sim, id, _| sim.reset_machine(id),
        "new-incarnation" => |sim, id, _| sim.begin_new_incarnation(id),
        "eviction-notice" => Simulation::set_eviction_notice,
        "fail-task" => {
            sim.fail_task(word_at(line, 1));
            return true;
        }
        _ => return false,
    };
    let time_ms = parse_ms_or(word_at(line, 2), 0);
    for id in resolve_machines(sim, word_at(line, 1)) {
        event(sim, &id, time_ms);
    }
    true
}

/// Executes what happens to messages between nodes and machines. Returns `false` if the line is
/// another event.
fn execute_message_event(sim: &mut Simulation, line: &[String]) -> bool {
    match word_at(line, 0) {
        "partition-zone" => {
            sim.network_faults.zone_partition = Some(ZonePartition {
                zone: word_at(line, 1).to_owned(),
                node: word_at(line, 2).parse().expect("number of a node"),
                until: time_after(sim, word_at(line, 3)),
            });
        }
        "duplicate-heartbeat-share" => {
            let until = time_after(sim, word_at(line, 4));
            let duplication = &mut sim.worker_faults.duplicated_heartbeats;
            duplication.min_delay_ms = parse_ms(word_at(line, 2));
            duplication.max_delay_ms = parse_ms(word_at(line, 3));
            let every = parse_share(word_at(line, 1));
            duplication.sample.start(every, until);
        }
        "deliver-withheld-heartbeat" => {
            for node in resolve_nodes(sim, word_at(line, 1)) {
                sim.deliver_withheld_heartbeat(node);
            }
        }
        "withhold-heartbeat" => {
            for id in resolve_machines(sim, word_at(line, 1)) {
                sim.withhold_heartbeat(&id);
            }
        }
        "partition-machine"
        | "unreachable"
        | "drop-heartbeats"
        | "delay-commands"
        | "duplicate-heartbeats"
        | "duplicate-commands" => {
            add_machine_message_fault(sim, line);
        }
        _ => return false,
    }
    true
}

fn add_machine_message_fault(sim: &mut Simulation, line: &[String]) {
    let time_ms = parse_ms(word_at(line, 2));
    let until = sim.now + time_ms;
    for id in resolve_machines(sim, word_at(line, 1)) {
        let faults = &mut sim.worker_faults;
        match word_at(line, 0) {
            "partition-machine" => faults.partitioned_until.insert(id, until),
            "unreachable" => faults.unreachable_until.insert(id, until),
            "drop-heartbeats" => faults.heartbeats_dropped_until.insert(id, until),
            "delay-commands" => faults.direct_commands_held_until.insert(id, until),
            "duplicate-heartbeats" => faults.heartbeat_copy_delay_ms.insert(id, time_ms),
            _ => faults.direct_command_copy_delay_ms.insert(id, time_ms),
        };
    }
}
