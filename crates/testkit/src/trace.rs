//! Reads and plays the scenarios in `traces/`: one line an event, `#` comments. Where a line takes
//! a MACHINE to `cut`, make `deaf` or `mute`, `hang` or `die`, it also takes several: `host-000010..000019`.
//! A node is its number, `leader`, or `follower` and `other`: the first and the last that don't lead.
//!
//! | line | meaning |
//! | --- | --- |
//! | `nodes N` | controllers (3 if not said) |
//! | `machines N ZONE` | machines up at the start |
//! | `write-rps N` | changes a second that the state service takes |
//! | `state-rps N` | requests a second that it takes |
//! | `team NAME N MOST` | its guarantee and limit, in CPUs |
//! | `value-bytes N` | bytes a record may take; little makes one record a machine |
//! | `wire S` | how long a message takes between nodes, and between them and workers and users |
//! | `spot-machines` | the cloud has them too |
//! | `capacity N` | machines the cloud has at most |
//! | `T submit JOB KIND N [key value]...` | keys: cpus, gb, run, estimate, due, team, zone, type, one-zone, spread, spot, priority, image |
//! | `T cancel JOB` | its user asks to cancel |
//! | `T cancel-now JOB N` | likewise, in this very moment and at that node |
//! | `T cancel-at-end JOB [LAG]` | its user cancels in the moment its last task ends, or so much later |
//! | `T crash leader\|all\|N [BACK]` | the process ends, back after so many seconds (4) |
//! | `T trap crash-before\|crash-after KEY [BACK]` | the process ends before or after the next transaction on such a key |
//! | `T trap lose-answer KEY` | its answer is lost |
//! | `T trap delay KEY S` | that transaction arrives so much later |
//! | `T trap slow-answer KEY S` | it is carried out, but its answer arrives so much later |
//! | `T refuse leader\|all\|N S` | the state service answers it 503 |
//! | `T hang MACHINE S` | it stands still with its tasks; what is sent to it arrives afterwards |
//! | `T die MACHINE` | it stops with all that is on it |
//! | `T cut MACHINE S` | the machine's network; what is sent to it arrives afterwards |
//! | `T cut-zone ZONE NODE S` | the zone's machines and that node reach nobody else but the state service |
//! | `T lone N S` | the node reaches neither the state service nor other nodes, but its workers |
//! | `T cut-peers A B S` | the links between two nodes are down |
//! | `T hold-frames A B S` | what they send each other arrives only afterwards, in order |
//! | `T mute MACHINE S` | its reports reach no node, though commands reach it |
//! | `T slow-state S LAG` | for that time the state service's answers take so much longer |
//! | `T late-writes SHARE S` | for that time such a share of transactions gets no answer and is carried out 2 to 12 s later |
//! | `T late-reports SHARE FROM TO S` | for that time such a share of reports arrives once more, so much later, at each node in turn |
//! | `T deaf MACHINE S` | its reports arrive, answers don't; commands arrive afterwards |
//! | `T copy-reports MACHINE LAG` | from now on its reports arrive once more so much later, elsewhere |
//! | `T copy-do MACHINE LAG` | direct commands to it are carried out once more so much later |
//! | `T restart MACHINE` | its process ends and is back at once |
//! | `T arrive EVERY N FIRST KIND TASKS [key value]...` | from now on such jobs keep coming, N of them, named from that number |
//! | `calm T` | the troubles are over; from then on each job's questions are answered within 75 s, and none waits 90 s beside room |
//! | `T deliver-watch N` | a watch held while that node was refused tells the first change it saw |
//! | `T new-session MACHINE` | its worker kills and forgets everything |
//! | `T notice MACHINE S` | its worker reports that much notice from now on |
//! | `T keep-report MACHINE` / `T deliver-kept N` | a report now made arrives at a node then |
//! | `T hold-do MACHINE S` | only direct commands to it are held back |
//! | `T probe N METHOD PATH` | a stray request; its status is logged |
//! | `T odd N repeat\|cancel-done JOB` | a submission once more; the cancel of a job that is done |
//! | `T odd N impossible KIND N [key value]...` | a submission that can never run |
//! | `T odd N no-field FIELD` / `bad-field FIELD VALUE` / `list` / `no-message` | a malformed one |
//! | `T odd N unknown` | a question about a job of nobody's |
//! | `T expect JOB done\|cancelled\|ended\|accepted\|open\|begun\|STATUS` | what the user was told by then, or whether a task has started |
//! | `T expect-log TEXT` / `T expect-no-log TEXT` | what the log holds by then |
//! | `until T` | the end; no rule may be broken by then |
use crate::outside::Ms;
use crate::sim::{Odd, Sim, Trap, TrapKind};
use serde_json::Value;
use stonegw_wire::msg::{decode, encode, JobKind, JobPhase, JobSpec, Priority};

fn ms(text: &str) -> Ms {
    let s: f64 = text
        .parse()
        .unwrap_or_else(|_| panic!("not a time: {text}"));
    (s * 1e3) as Ms
}

/// Plays a scenario to its end.
pub fn play(text: &str) -> Sim {
    let lines: Vec<Vec<String>> = text
        .lines()
        .map(|l| l.split('#').next().unwrap_or(""))
        .map(|l| l.split_whitespace().map(str::to_owned).collect::<Vec<_>>())
        .filter(|l| !l.is_empty())
        .collect();
    let nodes = lines
        .iter()
        .find(|l| l[0] == "nodes")
        .map_or(3, |l| l[1].parse().expect("nodes"));
    let mut sim = Sim::new(nodes);
    let (mut script, mut until) = (vec![], 0);
    for l in lines {
        match l[0].as_str() {
            "nodes" => {}
            "machines" => {
                for _ in 0..l[1].parse().expect("machines") {
                    sim.add_machine(&l[2]);
                }
            }
            "write-rps" => sim.write_rps(l[1].parse().expect("rate")),
            "state-rps" => sim.state_rps(l[1].parse().expect("rate")),
            "team" => {
                let n = |i: usize| l[i].parse().expect("cpus");
                sim.team(&l[1], n(2), n(3));
            }
            "value-bytes" => sim.value_bytes(l[1].parse().expect("bytes")),
            "capacity" => sim.cloud.capacity = l[1].parse().expect("capacity"),
            "until" => until = ms(&l[1]),
            "wire" => sim.wire_ms = ms(&l[1]),
            "spot-machines" => sim.spot_machines(),
            "calm" => sim.calm = Some(ms(&l[1])),
            when => script.push((ms(when), l[1..].to_vec())),
        }
    }
    assert!(until > 0, "a trace needs an end");
    sim.script(script);
    sim.run(until);
    sim
}

fn targets(sim: &mut Sim, who: &str) -> Vec<usize> {
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

/// `host-000010`, or `host-000010..000019` for ten of them.
fn machines(word: &str) -> impl Iterator<Item = String> {
    let number = |n: &str| -> u64 { n.trim_start_matches("host-").parse().expect("machine") };
    let (first, last) = word.split_once("..").unwrap_or((word, word));
    (number(first)..=number(last)).map(|n| format!("host-{n:06}"))
}

/// `JOB KIND N [key value]...`, and how long each task runs.
fn job(words: &[String]) -> (JobSpec, Ms) {
    let mut spec = JobSpec {
        id: words[0].clone(),
        class: "work".into(),
        team: "red".into(),
        kind: if words[1] == "standing" {
            JobKind::Service
        } else {
            JobKind::Array
        },
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
        1 << 40
    } else {
        10_000
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
            "image" => spec.image = pair[1].clone(),
            "priority" => {
                spec.priority = match pair[1].as_str() {
                    "high" => Priority::High,
                    "low" => Priority::Low,
                    _ => Priority::Normal,
                }
            }
            other => panic!("unknown key {other}"),
        }
    }
    (spec, run_ms)
}

/// `odd NODE KIND [ARG]...`: sends a request that no careful user sends, or no other.
fn odd(sim: &mut Sim, line: &[String]) {
    // A job of nobody's, as it were well formed.
    let number = 900_000 + sim.log.len();
    let stray = |rest: &str| {
        let text = format!("run-{number} {rest}");
        let words: Vec<String> = text.split_whitespace().map(str::to_owned).collect();
        job(&words).0
    };
    let name = format!("run-{number}");
    let arg = line.get(3).map_or("", String::as_str);
    let mut fields: Value = decode(&encode(&stray("sweep 1"))).expect("a job");
    let (kind, id, body) = match line[2].as_str() {
        "repeat" => {
            let spec = &sim.jobs[arg].spec;
            (Odd::Repeat, arg.to_owned(), encode(spec))
        }
        "cancel-done" => (Odd::CancelDone, arg.to_owned(), vec![]),
        "unknown" => (Odd::Unknown, name, vec![]),
        // The rest of the line says what the job is like.
        "impossible" => {
            let spec = stray(&line[3..].join(" "));
            (Odd::Impossible, name, encode(&spec))
        }
        "no-field" => {
            let gone = fields.as_object_mut().expect("a map").remove(arg);
            assert!(gone.is_some(), "no field {arg}");
            (Odd::Malformed, name, encode(&fields))
        }
        "bad-field" => {
            assert!(fields.get(arg).is_some(), "no field {arg}");
            fields[arg] = serde_json::from_str(&line[4]).expect("a value");
            (Odd::Malformed, name, encode(&fields))
        }
        "list" => {
            let order = "uid lane crew shape urgency pieces cpus cards memGb bundle pullGb builds \
                         yard oneZone spread loaners expectS markEveryS markCostS dueS";
            let values: Vec<&Value> = order.split_whitespace().map(|f| &fields[f]).collect();
            (Odd::Malformed, name, encode(&values))
        }
        "no-message" => (Odd::Malformed, name, vec![0xc1]),
        other => panic!("unknown odd request {other}"),
    };
    for n in targets(sim, &line[1]) {
        sim.odd(n, kind, &id, body.clone());
    }
}

pub(crate) fn act(sim: &mut Sim, line: &[String]) {
    let word = |i: usize| line.get(i).map(String::as_str).unwrap_or("");
    let text = line.join(" ");
    match word(0) {
        "submit" => sim.note(text.clone()),
        "arrive" => {}
        w if w.starts_with("expect") => {}
        _ => sim.note(format!("-- {text}")),
    }
    match word(0) {
        "submit" => {
            let (spec, run_ms) = job(&line[1..]);
            sim.submit(spec, run_ms);
        }
        "cancel" => {
            if let Some(j) = sim.jobs.get_mut(word(1)) {
                j.cancel_asked = true;
            }
        }
        "cancel-now" => {
            for n in targets(sim, word(2)) {
                sim.cancel_now(word(1), n);
            }
        }
        "cancel-at-end" => {
            let lag = if word(2).is_empty() { 0 } else { ms(word(2)) };
            sim.jobs.get_mut(word(1)).expect("job").cancel_at_end = Some(lag);
        }
        "late-writes" => {
            let every = (1.0 / word(1).parse::<f64>().expect("share")).round() as u64;
            sim.late_writes = Some((every, sim.now + ms(word(2))));
        }
        "late-reports" => {
            let every = (1.0 / word(1).parse::<f64>().expect("share")).round() as u64;
            let until = sim.now + ms(word(4));
            sim.late_reports = Some((every, ms(word(2)), ms(word(3)), until));
        }
        "slow-state" => sim.slow_state = Some((ms(word(2)), sim.now + ms(word(1)))),
        "mute" => {
            let until = sim.now + ms(word(2));
            sim.mute.extend(machines(word(1)).map(|m| (m, until)));
        }
        "hold-frames" => {
            let (a, b) = (targets(sim, word(1))[0], targets(sim, word(2))[0]);
            let until = sim.now + ms(word(3));
            sim.hold_frames.insert((a.min(b), a.max(b)), until);
        }
        "odd" => odd(sim, line),
        "cut-peers" => {
            let (a, b) = (targets(sim, word(1)), targets(sim, word(2)));
            sim.cut_peers(a[0], b[0], ms(word(3)));
        }
        "crash" => {
            let back = if word(2).is_empty() {
                4_000
            } else {
                ms(word(2))
            };
            for n in targets(sim, word(1)) {
                sim.crash(n, back);
            }
        }
        "trap" => {
            let key = word(2).to_owned();
            let back = if word(3).is_empty() {
                4_000
            } else {
                ms(word(3))
            };
            let kind = match word(1) {
                "crash-before" => TrapKind::CrashBefore,
                "crash-after" => TrapKind::CrashAfter,
                "lose-answer" => TrapKind::LoseAnswer,
                "slow-answer" => TrapKind::SlowAnswer,
                "delay" => TrapKind::Delay,
                other => panic!("unknown trap {other}"),
            };
            sim.traps.push(Trap {
                kind,
                key,
                ms: back,
            });
        }
        "refuse" => {
            let until = sim.now + ms(word(2));
            for n in targets(sim, word(1)) {
                sim.state_out.insert(n, until);
            }
            if word(1) == "all" {
                sim.state.outage_over(until);
            }
        }
        "cut" => {
            let until = sim.now + ms(word(2));
            sim.cut.extend(machines(word(1)).map(|m| (m, until)));
        }
        "hang" => machines(word(1)).for_each(|m| sim.hang(&m, ms(word(2)))),
        "die" => machines(word(1)).for_each(|m| sim.die(&m)),
        "lone" => {
            let until = sim.now + ms(word(2));
            sim.lone = targets(sim, word(1)).first().map(|n| (*n, until));
        }
        "deaf" => {
            let until = sim.now + ms(word(2));
            sim.deaf.extend(machines(word(1)).map(|m| (m, until)));
        }
        "copy-reports" => {
            sim.copy_reports.insert(word(1).into(), ms(word(2)));
        }
        "copy-do" => {
            sim.copy_do.insert(word(1).into(), ms(word(2)));
        }
        "restart" => sim.restart_machine(word(1)),
        "arrive" => {
            let n: usize = word(2).parse().expect("number");
            if n > 0 {
                let mut job = line[2..].to_vec();
                job[0] = "submit".into();
                let first: usize = word(3).parse().expect("number");
                job[1] = format!("run-{}", first + n);
                act(sim, &job);
                let mut next = line.to_vec();
                next[2] = (n - 1).to_string();
                sim.later(ms(word(1)), next);
            }
        }
        "cut-zone" => {
            let (zone, until) = (word(1).to_owned(), sim.now + ms(word(3)));
            sim.zone_cut = Some((zone, word(2).parse().expect("node"), until));
        }
        "new-session" => {
            sim.lose_session(word(1));
        }
        "notice" => {
            let w = sim.workers.get_mut(word(1)).expect("machine");
            w.notice_s = Some(word(2).parse().expect("seconds"));
        }
        "deliver-watch" => {
            for n in targets(sim, word(1)) {
                sim.deliver_watch(n);
            }
        }
        "keep-report" => {
            let report = sim.workers.get_mut(word(1)).expect("machine").report();
            sim.kept.push_back(stonegw_wire::msg::encode(&report));
        }
        "deliver-kept" => {
            for n in targets(sim, word(1)) {
                sim.deliver_kept(n);
            }
        }
        "hold-do" => {
            let until = sim.now + ms(word(2));
            sim.hold_do.insert(word(1).into(), until);
        }
        "probe" => sim.probe(word(1).parse().expect("node"), word(2), word(3)),
        "expect" => {
            let j = &sim.jobs[word(1)];
            let ok = match word(2) {
                "done" => j.ended == Some(JobPhase::Done),
                "cancelled" => j.ended == Some(JobPhase::Cancelled),
                "accepted" => j.accepted,
                "open" => j.ended.is_none(),
                "ended" => j.ended.is_some(),
                "begun" => j.begun.is_some(),
                status => j.status.to_string() == status,
            };
            if !ok {
                let seen = format!(
                    "{text}: accepted {}, told {:?}, status {}",
                    j.accepted, j.ended, j.status
                );
                sim.failures
                    .push(format!("{:.1} s: {seen}", sim.now as f64 / 1e3));
            }
        }
        "expect-log" | "expect-no-log" => {
            let wanted = line[1..].join(" ");
            let found = sim.log.iter().any(|l| l.contains(&wanted));
            if found != (word(0) == "expect-log") {
                sim.failures
                    .push(format!("{:.1} s: {text}", sim.now as f64 / 1e3));
            }
        }
        other => panic!("unknown event {other}"),
    }
}
