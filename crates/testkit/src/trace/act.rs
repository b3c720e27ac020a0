//! Carries out one line of a trace.
use super::expect::expect;
use super::odd::odd;
use super::words::{job, machines, ms, ms_or, one_in, targets};
use crate::outside::Ms;
use crate::sim::{Sim, Trap, TrapKind};

/// A process that ends is back after so long if the line does not say.
const BACK_MS: Ms = 4_000;

fn word(line: &[String], i: usize) -> &str {
    line.get(i).map_or("", String::as_str)
}

/// Carries out one line of a trace, without its time.
pub(crate) fn act(sim: &mut Sim, line: &[String]) {
    let text = line.join(" ");
    match word(line, 0) {
        "submit" => sim.note(text.clone()),
        "arrive" => {}
        w if w.starts_with("expect") => {}
        _ => sim.note(format!("-- {text}")),
    }
    let known = expect(sim, line)
        || user_event(sim, line)
        || node_event(sim, line)
        || state_event(sim, line)
        || machine_event(sim, line)
        || message_event(sim, line);
    assert!(known, "unknown event {text}");
}

/// What users do.
fn user_event(sim: &mut Sim, line: &[String]) -> bool {
    let id = word(line, 1);
    match word(line, 0) {
        "submit" => {
            let (spec, run_ms) = job(&line[1..]);
            sim.submit(spec, run_ms);
        }
        "arrive" => arrive(sim, line),
        "cancel" => {
            if let Some(j) = sim.jobs.get_mut(id) {
                j.cancel_asked = true;
            }
        }
        "broken" => sim.jobs.get_mut(id).expect("job").broken = true,
        "mended" => sim.jobs.get_mut(id).expect("job").broken = false,
        "cancel-now" => {
            for n in targets(sim, word(line, 2)) {
                sim.cancel_now(id, n);
            }
        }
        "cancel-at-end" => {
            let lag = ms_or(word(line, 2), 0);
            sim.jobs.get_mut(id).expect("job").cancel_at_end = Some(lag);
        }
        "cancel-share" => {
            sim.cancel_share = Some((one_in(id), ms(word(line, 2))));
        }
        "close-looks" => sim.close_looks = Some(sim.now + ms(id)),
        "odd" => odd(sim, line),
        "probe" => {
            let node = id.parse().expect("node");
            sim.probe(node, word(line, 2), word(line, 3));
        }
        _ => return false,
    }
    true
}

/// `arrive EVERY N FIRST KIND TASKS [key value]...`: submits one, and plans the rest.
fn arrive(sim: &mut Sim, line: &[String]) {
    let left: usize = word(line, 2).parse().expect("number");
    if left == 0 {
        return;
    }
    let first: usize = word(line, 3).parse().expect("number");
    let mut job = line[2..].to_vec();
    job[0] = "submit".into();
    job[1] = format!("run-{}", first + left);
    act(sim, &job);
    if let Some(lag) = sim.cancel_lag() {
        sim.later(lag, vec!["cancel".into(), job[1].clone()]);
    }
    let mut next = line.to_vec();
    next[2] = (left - 1).to_string();
    sim.later(ms(word(line, 1)), next);
}

/// What happens to nodes and between them.
fn node_event(sim: &mut Sim, line: &[String]) -> bool {
    let who = word(line, 1);
    match word(line, 0) {
        "crash" => {
            for n in targets(sim, who) {
                sim.crash(n, ms_or(word(line, 2), BACK_MS));
            }
        }
        "pause" => {
            for n in targets(sim, who) {
                sim.pause(n, ms(word(line, 2)), ms_or(word(line, 3), 0));
            }
        }
        "lone" => {
            let until = sim.now + ms(word(line, 2));
            sim.lone = targets(sim, who).first().map(|n| (*n, until));
        }
        "cut-peers" => {
            let (a, b) = (targets(sim, who), targets(sim, word(line, 2)));
            sim.cut_peers(a[0], b[0], ms(word(line, 3)));
        }
        "hold-frames" => {
            let (a, b) = (targets(sim, who)[0], targets(sim, word(line, 2))[0]);
            let until = sim.now + ms(word(line, 3));
            sim.hold_frames.insert((a.min(b), a.max(b)), until);
        }
        _ => return false,
    }
    true
}

/// What the state service does.
fn state_event(sim: &mut Sim, line: &[String]) -> bool {
    let number = |i: usize| word(line, i).parse().expect("number");
    match word(line, 0) {
        "trap" => trap(sim, line),
        "refuse" => {
            let until = sim.now + ms(word(line, 2));
            for n in targets(sim, word(line, 1)) {
                sim.state_out.insert(n, until);
            }
            if word(line, 1) == "all" {
                sim.state.outage_over(until);
            }
        }
        "slow-state" => {
            let (lag, until) = (ms(word(line, 2)), sim.now + ms(word(line, 1)));
            sim.slow_state = Some((lag, until));
        }
        "late-writes" => {
            let until = sim.now + ms(word(line, 2));
            sim.late_writes = Some((one_in(word(line, 1)), until));
        }
        "lost-answers" => {
            let until = sim.now + ms(word(line, 2));
            sim.lost_answers = Some((one_in(word(line, 1)), until));
        }
        "lower-limits" => sim.lower_limits(number(1), number(2), number(3) as f64),
        "deliver-watch" => {
            for n in targets(sim, word(line, 1)) {
                sim.deliver_watch(n);
            }
        }
        _ => return false,
    }
    true
}

fn trap(sim: &mut Sim, line: &[String]) {
    let kind = match word(line, 1) {
        "crash-before" => TrapKind::CrashBefore,
        "crash-after" => TrapKind::CrashAfter,
        "lose-answer" => TrapKind::LoseAnswer,
        "slow-answer" => TrapKind::SlowAnswer,
        "delay" => TrapKind::Delay,
        other => panic!("unknown trap {other}"),
    };
    let key = word(line, 2).to_owned();
    let ms = ms_or(word(line, 3), BACK_MS);
    sim.traps.push(Trap { kind, key, ms });
}

/// What happens to machines and their tasks.
fn machine_event(sim: &mut Sim, line: &[String]) -> bool {
    let event: fn(&mut Sim, &str, Ms) = match word(line, 0) {
        "hang" => Sim::hang,
        "die" => |sim, id, _| sim.die(id),
        "recall" => Sim::recall,
        "take" => |sim, id, _| sim.take(id),
        "restart" => |sim, id, _| sim.restart_machine(id),
        "new-session" => |sim, id, _| sim.lose_session(id),
        "notice" => |sim, id, ms| {
            let w = sim.workers.get_mut(id).expect("machine");
            w.notice_s = Some(ms as f64 / 1e3);
        },
        "fail" => {
            sim.fail_task(word(line, 1));
            return true;
        }
        _ => return false,
    };
    for id in machines(sim, word(line, 1)) {
        event(sim, &id, ms_or(word(line, 2), 0));
    }
    true
}

/// What happens to messages between nodes and machines.
fn message_event(sim: &mut Sim, line: &[String]) -> bool {
    match word(line, 0) {
        "cut-zone" => {
            let until = sim.now + ms(word(line, 3));
            let node = word(line, 2).parse().expect("node");
            sim.zone_cut = Some((word(line, 1).to_owned(), node, until));
        }
        "late-reports" => {
            let (from, to) = (ms(word(line, 2)), ms(word(line, 3)));
            let until = sim.now + ms(word(line, 4));
            sim.late_reports = Some((one_in(word(line, 1)), from, to, until));
        }
        "deliver-kept" => {
            for n in targets(sim, word(line, 1)) {
                sim.deliver_kept(n);
            }
        }
        "keep-report" => {
            let now = sim.now;
            for id in machines(sim, word(line, 1)) {
                let report = sim.workers.get_mut(&id).expect("machine").report(now);
                sim.kept.push_back(stonegw_wire::msg::encode(&report));
            }
        }
        "cut" | "deaf" | "mute" | "hold-do" | "copy-reports" | "copy-do" => {
            machine_messages(sim, line);
        }
        _ => return false,
    }
    true
}

fn machine_messages(sim: &mut Sim, line: &[String]) {
    let lag = ms(word(line, 2));
    let until = sim.now + lag;
    for id in machines(sim, word(line, 1)) {
        match word(line, 0) {
            "cut" => sim.cut.insert(id, until),
            "deaf" => sim.deaf.insert(id, until),
            "mute" => sim.mute.insert(id, until),
            "hold-do" => sim.hold_do.insert(id, until),
            "copy-reports" => sim.copy_reports.insert(id, lag),
            _ => sim.copy_do.insert(id, lag),
        };
    }
}
