//! Reads and plays the scenarios in `traces/`: one line an event, `#` comments. Where a line takes
//! a MACHINE, it also takes several, `host-000010..000019`, or a task, `run-1/0`: the machine that then holds it.
//! A node is its number, `leader`, or `follower` and `other`: the first and the last that don't lead.
//!
//! | line | meaning |
//! | --- | --- |
//! | `nodes N` | controllers (3 if not said) |
//! | `machines N ZONE` | machines up at the start |
//! | `write-rps N` | changes a second that nodes are told the state service takes; it takes 60 at least |
//! | `state-rps N` | requests a second that it takes |
//! | `team NAME N MOST` | its guarantee and limit, in CPUs |
//! | `txn-ops N` | changes that nodes are told a transaction may take; 8 at least pass |
//! | `value-bytes N` | bytes that nodes are told a record may take; little makes one record a machine; 8192 at least pass |
//! | `wire S` | how long a message takes between nodes, and between them and workers and users |
//! | `spot-machines` | the cloud has them too |
//! | `boot S` | how long machines that are rented take to be up (10 if not said) |
//! | `capacity N` | machines the cloud has at most |
//! | `T submit JOB KIND N [key value]...` | keys: cpus, gb, run, estimate, due, team, zone, type, one-zone, spread, spot, priority, image, checkpoint, save |
//! | `T broken JOB` / `T mended JOB` | from now on its tasks fail soon after they start, on every machine; or do so no more |
//! | `T cancel JOB` | its user asks to cancel |
//! | `T cancel-now JOB N` | likewise, in this very moment and at that node |
//! | `T cancel-share SHARE S` | from now on such a share of the jobs that `arrive` is cancelled, up to so long after its submission |
//! | `T cancel-at-end JOB [LAG]` | its user cancels in the moment its last task ends, or so much later |
//! | `T crash leader\|all\|N [BACK]` | the process ends, back after so many seconds (4) |
//! | `T pause leader\|all\|N S [JUMP]` | the process stands still for so long while its clock runs on, in the end so much further than time |
//! | `T trap crash-before\|crash-after KEY [BACK]` | the process ends before or after the next transaction on such a key |
//! | `T trap lose-answer KEY` | its answer is lost |
//! | `T trap delay KEY S` | that transaction arrives so much later |
//! | `T trap slow-answer KEY S` | it is carried out, but its answer arrives so much later |
//! | `T refuse leader\|all\|N S` | the state service answers it 503 |
//! | `T hang MACHINE S` | it stands still with its tasks; what is sent to it arrives afterwards |
//! | `T die MACHINE` | it stops with all that is on it |
//! | `T recall MACHINE S` | its worker reports that notice, which runs down; then the cloud takes the machine back |
//! | `T take MACHINE` | the cloud takes it back, with all that is on it |
//! | `T fail TASK` | it exits with an error |
//! | `T cut MACHINE S` | the machine's network; what is sent to it arrives afterwards |
//! | `T cut-zone ZONE NODE S` | the zone's machines and that node reach nobody else but the state service |
//! | `T lone N S` | the node reaches neither the state service nor other nodes, but its workers |
//! | `T cut-peers A B S` | the links between two nodes are down |
//! | `T hold-frames A B S` | what they send each other arrives only afterwards, in order |
//! | `T mute MACHINE S` | its reports reach no node, though commands reach it |
//! | `T slow-state S LAG` | for that time the state service's answers take so much longer |
//! | `T lower-limits BYTES OPS RATE` | the state service refuses larger values and transactions from now on, and more changes a second; no node is told |
//! | `T late-writes SHARE S` | for that time such a share of transactions gets no answer and is carried out 2 to 12 s later |
//! | `T lost-answers SHARE S` | for that time such a share of transactions is carried out at once, but its answer is lost |
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
//! | `T close-looks S` | for that time, right after each answer that a job was accepted or ended, users ask at all nodes within milliseconds and repeat its submission |
//! | `T odd N look JOB` | a question about an accepted job |
//! | `T odd N repeat\|cancel-done JOB` | a submission once more; the cancel of a job that is done |
//! | `T odd N impossible KIND N [key value]...` | a submission that can never run |
//! | `T odd N no-field FIELD` / `bad-field FIELD VALUE` / `list` / `no-message` | a malformed one |
//! | `T odd N unknown` | a question about a job of nobody's |
//! | `T expect JOB done\|cancelled\|ended\|accepted\|open\|begun\|STATUS` | what the user was told by then, or whether a task has started |
//! | `T expect JOB started-within S` | that much after its submission a task had started; of a gang, all |
//! | `T expect JOB attempts N` / `starts N` | at most so many attempts were begun; a gang started exactly so often |
//! | `T expect JOB fetching N` / `gathering N` / `running N` | so many of its tasks are in that state, on all machines |
//! | `T expect JOB on-spot N` | so many of its tasks are on spot machines |
//! | `T expect JOB saved S` | at least so much of a gang's progress is safe |
//! | `T expect JOB gone` | none of its tasks is left anywhere |
//! | `T expect-log TEXT` / `T expect-no-log TEXT` | what the log holds by then |
//! | `until T` | the end; no rule may be broken by then |
mod expectations;
mod grammar;
mod interpreter;
mod malformed;

pub(crate) use interpreter::execute_line;

use crate::sim::Simulation;
use grammar::parse_ms;

/// Plays a scenario to its end.
pub fn play(text: &str) -> Simulation {
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
    let mut sim = Simulation::new(nodes);
    let (mut script, mut until) = (vec![], 0);
    for l in lines {
        match l[0].as_str() {
            "nodes" => {}
            "machines" => {
                for _ in 0..l[1].parse().expect("machines") {
                    sim.add_machine(&l[2]);
                }
            }
            "write-rps" => sim.set_write_rate_limit(l[1].parse().expect("rate")),
            "state-rps" => sim.set_request_rate_limit(l[1].parse().expect("rate")),
            "team" => {
                let n = |i: usize| l[i].parse().expect("cpus");
                sim.set_team_quota(&l[1], n(2), n(3));
            }
            "txn-ops" => sim.set_max_transaction_writes(l[1].parse().expect("changes")),
            "value-bytes" => sim.set_max_value_bytes(l[1].parse().expect("bytes")),
            "boot" => sim.cloud.boot_ms = parse_ms(&l[1]),
            "capacity" => sim.cloud.capacity = l[1].parse().expect("capacity"),
            "until" => until = parse_ms(&l[1]),
            "wire" => sim.network_latency_ms = parse_ms(&l[1]),
            "spot-machines" => sim.offer_spot_machines(),
            "calm" => sim.faults_over_at = Some(parse_ms(&l[1])),
            when => script.push((parse_ms(when), l[1..].to_vec())),
        }
    }
    assert!(until > 0, "a trace needs an end");
    sim.schedule_script(script);
    sim.run_until(until);
    sim
}
