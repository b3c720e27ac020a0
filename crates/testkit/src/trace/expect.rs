//! What a trace expects to hold at a moment.
use super::words::ms;
use crate::outside::Ms;
use crate::sim::{Job, Sim};
use stonegw_wire::msg::{JobPhase, TaskState};

/// `expect JOB WORD [N]`, `expect-log TEXT`, `expect-no-log TEXT`. False: the line is none of them.
pub(super) fn expect(sim: &mut Sim, line: &[String]) -> bool {
    let holds = match line[0].as_str() {
        "expect" => expect_job(sim, line),
        "expect-log" => in_log(sim, &line[1..]),
        "expect-no-log" => !in_log(sim, &line[1..]),
        _ => return false,
    };
    if !holds {
        let seen = line.get(1).and_then(|id| sim.jobs.get(id));
        let seen = seen.map(|j| described(sim, &line[1], j));
        sim.fail(format!("{}{}", line.join(" "), seen.unwrap_or_default()));
    }
    true
}

fn described(sim: &Sim, id: &str, job: &Job) -> String {
    let count = |state: TaskState| sim.tasks_in(id, state);
    format!(
        ": accepted {}, told {:?}, status {}, begun {:?}, {} attempts, {} gang starts, \
         {} ms saved, {} fetching, {} gathering, {} running",
        job.accepted,
        job.ended,
        job.status,
        job.begun,
        job.attempts.len(),
        job.gang_starts.len(),
        job.saved_ms,
        count(TaskState::Fetching),
        count(TaskState::Gathering),
        count(TaskState::Running),
    )
}

fn in_log(sim: &Sim, words: &[String]) -> bool {
    let wanted = words.join(" ");
    sim.log.iter().any(|l| l.contains(&wanted))
}

fn expect_job(sim: &Sim, line: &[String]) -> bool {
    let id = line[1].as_str();
    let job = &sim.jobs[id];
    match line[2].as_str() {
        "done" => job.ended == Some(JobPhase::Done),
        "cancelled" => job.ended == Some(JobPhase::Cancelled),
        "accepted" => job.accepted,
        "open" => job.ended.is_none(),
        "ended" => job.ended.is_some(),
        "begun" => job.begun.is_some(),
        "gone" => tasks_left(sim, id) == 0,
        "started-within" => started_within(job, ms(&line[3])),
        "attempts" => job.attempts.len() <= count(line),
        "starts" => job.gang_starts.len() == count(line),
        "saved" => job.saved_ms >= ms(&line[3]),
        "fetching" => sim.tasks_in(id, TaskState::Fetching) == count(line),
        "gathering" => sim.tasks_in(id, TaskState::Gathering) == count(line),
        "running" => sim.tasks_in(id, TaskState::Running) == count(line),
        "on-spot" => sim.tasks_on_spot(id) == count(line),
        status => job.status.to_string() == status,
    }
}

fn count(line: &[String]) -> usize {
    line[3].parse().expect("number")
}

fn started_within(job: &Job, ms: Ms) -> bool {
    job.begun.is_some_and(|at| at <= job.submitted + ms)
}

fn tasks_left(sim: &Sim, id: &str) -> usize {
    let states = [
        TaskState::Fetching,
        TaskState::Gathering,
        TaskState::Running,
        TaskState::Saving,
    ];
    states.iter().map(|s| sim.tasks_in(id, *s)).sum()
}
