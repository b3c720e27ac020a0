//! Carries out one line of a trace.
use super::expectations::check_expectation;
use super::grammar::{
    parse_job, parse_ms, parse_ms_or, parse_share, resolve_machines, resolve_nodes,
};
use super::malformed::send_malformed_request;
use crate::sim::{Simulation, TransactionFault, TransactionFaultKind};
use crate::stand_ins::Ms;

/// A process that ends is back after so long if the line does not say.
const DEFAULT_RESTART_MS: Ms = 4_000;

fn word_at(line: &[String], i: usize) -> &str {
    line.get(i).map_or("", String::as_str)
}

/// Carries out one line of a trace, without its time.
pub(crate) fn execute_line(sim: &mut Simulation, line: &[String]) {
    let text = line.join(" ");
    match word_at(line, 0) {
        "submit" => sim.append_log(text.clone()),
        "arrive" => {}
        w if w.starts_with("expect") => {}
        _ => sim.append_log(format!("-- {text}")),
    }
    let known = check_expectation(sim, line)
        || execute_user_event(sim, line)
        || execute_node_event(sim, line)
        || execute_store_event(sim, line)
        || execute_machine_event(sim, line)
        || execute_message_event(sim, line);
    assert!(known, "unknown event {text}");
}

/// What users do.
fn execute_user_event(sim: &mut Simulation, line: &[String]) -> bool {
    let id = word_at(line, 1);
    match word_at(line, 0) {
        "submit" => {
            let (spec, run_ms) = parse_job(&line[1..]);
            sim.submit_job(spec, run_ms);
        }
        "arrive" => submit_recurring_job(sim, line),
        "cancel" => {
            if let Some(j) = sim.jobs.get_mut(id) {
                j.cancel_requested = true;
            }
        }
        "broken" => sim.jobs.get_mut(id).expect("job").tasks_fail = true,
        "mended" => sim.jobs.get_mut(id).expect("job").tasks_fail = false,
        "cancel-now" => {
            for n in resolve_nodes(sim, word_at(line, 2)) {
                sim.cancel_job_now(id, n);
            }
        }
        "cancel-at-end" => {
            let lag = parse_ms_or(word_at(line, 2), 0);
            sim.jobs.get_mut(id).expect("job").cancel_after_end_ms = Some(lag);
        }
        "cancel-share" => {
            sim.cancellation_share = Some((parse_share(id), parse_ms(word_at(line, 2))));
        }
        "close-looks" => sim.read_after_write_checks_until = Some(sim.now + parse_ms(id)),
        "odd" => send_malformed_request(sim, line),
        "probe" => {
            let node = id.parse().expect("node");
            sim.send_probe_request(node, word_at(line, 2), word_at(line, 3));
        }
        _ => return false,
    }
    true
}

/// `arrive EVERY N FIRST KIND TASKS [key value]...`: submits one, and plans the rest.
fn submit_recurring_job(sim: &mut Simulation, line: &[String]) {
    let left: usize = word_at(line, 2).parse().expect("number");
    if left == 0 {
        return;
    }
    let first: usize = word_at(line, 3).parse().expect("number");
    let mut job = line[2..].to_vec();
    job[0] = "submit".into();
    job[1] = format!("run-{}", first + left);
    execute_line(sim, &job);
    if let Some(lag) = sim.next_cancellation_delay() {
        sim.schedule_line_after(lag, vec!["cancel".into(), job[1].clone()]);
    }
    let mut next = line.to_vec();
    next[2] = (left - 1).to_string();
    sim.schedule_line_after(parse_ms(word_at(line, 1)), next);
}

/// What happens to nodes and between them.
fn execute_node_event(sim: &mut Simulation, line: &[String]) -> bool {
    let who = word_at(line, 1);
    match word_at(line, 0) {
        "crash" => {
            for n in resolve_nodes(sim, who) {
                sim.crash_node(n, parse_ms_or(word_at(line, 2), DEFAULT_RESTART_MS));
            }
        }
        "pause" => {
            for n in resolve_nodes(sim, who) {
                sim.pause_node(
                    n,
                    parse_ms(word_at(line, 2)),
                    parse_ms_or(word_at(line, 3), 0),
                );
            }
        }
        "lone" => {
            let until = sim.now + parse_ms(word_at(line, 2));
            sim.isolated_node = resolve_nodes(sim, who).first().map(|n| (*n, until));
        }
        "cut-peers" => {
            let (a, b) = (
                resolve_nodes(sim, who),
                resolve_nodes(sim, word_at(line, 2)),
            );
            sim.partition_peers(a[0], b[0], parse_ms(word_at(line, 3)));
        }
        "hold-frames" => {
            let (a, b) = (
                resolve_nodes(sim, who)[0],
                resolve_nodes(sim, word_at(line, 2))[0],
            );
            let until = sim.now + parse_ms(word_at(line, 3));
            sim.frames_held_until.insert((a.min(b), a.max(b)), until);
        }
        _ => return false,
    }
    true
}

/// What the state service does.
fn execute_store_event(sim: &mut Simulation, line: &[String]) -> bool {
    let number = |i: usize| word_at(line, i).parse().expect("number");
    match word_at(line, 0) {
        "trap" => add_transaction_fault(sim, line),
        "refuse" => {
            let until = sim.now + parse_ms(word_at(line, 2));
            for n in resolve_nodes(sim, word_at(line, 1)) {
                sim.store_unavailable_until.insert(n, until);
            }
            if word_at(line, 1) == "all" {
                sim.store.renew_all_leases(until);
            }
        }
        "slow-state" => {
            let (lag, until) = (
                parse_ms(word_at(line, 2)),
                sim.now + parse_ms(word_at(line, 1)),
            );
            sim.store_slowdown = Some((lag, until));
        }
        "late-writes" => {
            let until = sim.now + parse_ms(word_at(line, 2));
            sim.delayed_transactions = Some((parse_share(word_at(line, 1)), until));
        }
        "lost-answers" => {
            let until = sim.now + parse_ms(word_at(line, 2));
            sim.dropped_responses = Some((parse_share(word_at(line, 1)), until));
        }
        "lower-limits" => sim.lower_store_limits(number(1), number(2), number(3) as f64),
        "deliver-watch" => {
            for n in resolve_nodes(sim, word_at(line, 1)) {
                sim.deliver_stale_watch(n);
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
        "lose-answer" => TransactionFaultKind::DropResponse,
        "slow-answer" => TransactionFaultKind::DelayResponse,
        "delay" => TransactionFaultKind::DelayRequest,
        other => panic!("unknown trap {other}"),
    };
    let key = word_at(line, 2).to_owned();
    let ms = parse_ms_or(word_at(line, 3), DEFAULT_RESTART_MS);
    sim.transaction_faults.push(TransactionFault {
        kind,
        key,
        delay_ms: ms,
    });
}

/// What happens to machines and their tasks.
fn execute_machine_event(sim: &mut Simulation, line: &[String]) -> bool {
    let event: fn(&mut Simulation, &str, Ms) = match word_at(line, 0) {
        "hang" => Simulation::hang_machine,
        "die" => |sim, id, _| sim.crash_machine(id),
        "recall" => Simulation::schedule_eviction,
        "take" => |sim, id, _| sim.evict_machine(id),
        "restart" => |sim, id, _| sim.restart_machine(id),
        "new-session" => |sim, id, _| sim.begin_new_incarnation(id),
        "notice" => |sim, id, ms| {
            let w = sim.workers.get_mut(id).expect("machine");
            w.eviction_notice_s = Some(ms as f64 / 1e3);
        },
        "fail" => {
            sim.fail_task(word_at(line, 1));
            return true;
        }
        _ => return false,
    };
    for id in resolve_machines(sim, word_at(line, 1)) {
        event(sim, &id, parse_ms_or(word_at(line, 2), 0));
    }
    true
}

/// What happens to messages between nodes and machines.
fn execute_message_event(sim: &mut Simulation, line: &[String]) -> bool {
    match word_at(line, 0) {
        "cut-zone" => {
            let until = sim.now + parse_ms(word_at(line, 3));
            let node = word_at(line, 2).parse().expect("node");
            sim.zone_partition = Some((word_at(line, 1).to_owned(), node, until));
        }
        "late-reports" => {
            let (from, to) = (parse_ms(word_at(line, 2)), parse_ms(word_at(line, 3)));
            let until = sim.now + parse_ms(word_at(line, 4));
            sim.duplicated_heartbeats = Some((parse_share(word_at(line, 1)), from, to, until));
        }
        "deliver-kept" => {
            for n in resolve_nodes(sim, word_at(line, 1)) {
                sim.deliver_withheld_heartbeat(n);
            }
        }
        "keep-report" => {
            let now = sim.now;
            for id in resolve_machines(sim, word_at(line, 1)) {
                let report = sim
                    .workers
                    .get_mut(&id)
                    .expect("machine")
                    .build_heartbeat(now);
                sim.withheld_heartbeats
                    .push_back(stonegw_wire::msg::encode(&report));
            }
        }
        "cut" | "deaf" | "mute" | "hold-do" | "copy-reports" | "copy-do" => {
            add_machine_message_fault(sim, line);
        }
        _ => return false,
    }
    true
}

fn add_machine_message_fault(sim: &mut Simulation, line: &[String]) {
    let lag = parse_ms(word_at(line, 2));
    let until = sim.now + lag;
    for id in resolve_machines(sim, word_at(line, 1)) {
        match word_at(line, 0) {
            "cut" => sim.machine_partitioned_until.insert(id, until),
            "deaf" => sim.machine_unreachable_until.insert(id, until),
            "mute" => sim.heartbeats_dropped_until.insert(id, until),
            "hold-do" => sim.direct_commands_held_until.insert(id, until),
            "copy-reports" => sim.heartbeat_copy_delay_ms.insert(id, lag),
            _ => sim.direct_command_copy_delay_ms.insert(id, lag),
        };
    }
}
